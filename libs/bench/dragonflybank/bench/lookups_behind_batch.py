"""Lookups through real hosts while patient work holds the other slots."""

__all__ = ["lookups_behind_patient_work"]

import asyncio
import contextlib
import itertools
import pathlib
from collections.abc import Sequence

import attrs

from dragonflybank.bench.callers import Callers
from dragonflybank.bench.deployment import LoopbackDeployment, wait_until
from dragonflybank.bench.latency import START_BOUND_S, START_SOURCE
from dragonflybank.bench.process_runs import (
    DEPLOYMENT_FOLDERS,
    LoadPhase,
    TimedLookup,
    first_class_of_kind,
    percentile_s,
    running_deployment,
    send_lookups,
    waits_until_start,
)
from dragonflybank.bench.table import Better, Row
from dragonflybank.config.operator import OperatorConfig
from dragonflybank.model.work import Outcome, WorkKind
from dragonflybank.standins.records import TaskStarted

DEMAND = LoadPhase(60.0, 7.0)
CREST = LoadPhase(400.0, 6.0)
# The crest asks for this many times the slots that lookups may use.
OVERLOAD = 1.5
# Longer than the run, so that no slot becomes free while it is measured.
LONG_RUN_S = 120.0
TASKS_OF_A_JOB = 24
FILL_LIMIT_S = 20.0
LOOKUP_RESERVE = 2
PERCENTILES = (50.0, 99.0, 99.9)


def lookups_behind_patient_work() -> list[Row]:
    """Returns the rows of both deployments.

    The baseline of a wait is the wait with free slots in the same run.
    """
    return [row for f in DEPLOYMENT_FOLDERS for row in asyncio.run(_mixed(f))]


async def _mixed(folder: pathlib.Path) -> list[Row]:
    async with running_deployment(folder, config=_large_quotas) as (
        deployment,
        callers,
    ):
        free = await send_lookups(deployment, callers, [DEMAND], seed=1)
        running = await _fill(deployment, callers)
        held = await send_lookups(deployment, callers, [DEMAND], seed=2)
        servable_s = LOOKUP_RESERVE * len(deployment.topology.workers)
        run_s = servable_s * OVERLOAD / CREST.lookups_per_s
        crest = await send_lookups(
            deployment, callers, [CREST], seed=3, run_s=run_s
        )
        waits = [
            await waits_until_start(deployment, samples)
            for samples in (free, held, crest)
        ]
    where = deployment.topology.name
    batch = first_class_of_kind(deployment, WorkKind.BATCH).name
    note = f"{running} tasks of {batch} hold their slots"
    return [
        *(
            Row(
                f"wait of a lookup behind {batch} until its start, p{p:g}",
                "s",
                where,
                percentile_s(waits[1], p),
                baseline=percentile_s(waits[0], p),
                bound=START_BOUND_S,
                bound_source=START_SOURCE,
                note=f"{note}; {len(held)} lookups",
            )
            for p in PERCENTILES
        ),
        *_crest_rows(deployment, crest, waits[2], note),
    ]


def _crest_rows(
    deployment: LoopbackDeployment,
    samples: Sequence[TimedLookup],
    waits: Sequence[float],
    note: str,
) -> list[Row]:
    where = deployment.topology.name
    timeout_s = first_class_of_kind(deployment, WorkKind.LOOKUP).timeout_s
    in_time = sum(1 for s in samples if s.is_in_time(timeout_s))
    done = [s for s in samples if s.answer.outcome is Outcome.DONE]
    refused = [s for s in samples if s.answer.outcome is Outcome.REFUSED]
    unknown = sum(1 for s in samples if s.answer.outcome is Outcome.UNKNOWN)
    note = (
        f"{note}; {len(samples)} lookups: {len(done)} done,"
        f" {len(refused)} refused, {unknown} unknown"
    )
    return [
        Row(
            f"lookups in time at {OVERLOAD:g} times the free slots",
            "share",
            where,
            in_time / len(samples),
            better=Better.HIGHER,
            note=note,
        ),
        Row(
            "the same, of what the free slots can serve",
            "share",
            where,
            min(1.0, in_time / len(samples) * OVERLOAD),
            better=Better.HIGHER,
            note=note,
        ),
        Row(
            f"wait until the start at {OVERLOAD:g} times the free slots, p99",
            "s",
            where,
            percentile_s(waits, 99.0),
            bound=START_BOUND_S,
            bound_source=START_SOURCE,
            note=note,
        ),
        Row(
            f"time to the result at {OVERLOAD:g} times the free slots, p99",
            "s",
            where,
            percentile_s((s.response_time_s for s in done), 99.0),
            bound=timeout_s,
            bound_source="time-out of the class",
            note=note,
        ),
        Row(
            f"time to a refusal at {OVERLOAD:g} times the free slots, p99",
            "s",
            where,
            percentile_s((s.response_time_s for s in refused), 99.0),
            note=note,
        ),
    ]


async def _fill(deployment: LoopbackDeployment, callers: Callers) -> int:
    """Submits patient work to all slots; returns the tasks that run."""
    batch = first_class_of_kind(deployment, WorkKind.BATCH)
    workers = deployment.topology.workers
    slots = sum(int(worker.size.slots) for worker in workers)
    jobs = 2 * slots // TASKS_OF_A_JOB
    teams = itertools.cycle(team.name for team in deployment.config.teams)
    submitted = [
        callers.run_job(
            team,
            f"fill-{n}",
            batch.name,
            run_s=LONG_RUN_S,
            tasks=TASKS_OF_A_JOB,
            timeout_s=0.0,
        )
        for n, team in zip(range(jobs), teams, strict=False)
    ]
    await asyncio.gather(*submitted)
    wanted = slots - LOOKUP_RESERVE * len(workers)
    running = 0

    async def is_full() -> bool:
        nonlocal running
        records = await deployment.records("workers")
        running = sum(1 for r in records if isinstance(r, TaskStarted))
        return running >= wanted

    # If too few start, the note of the rows gives the number that did.
    with contextlib.suppress(TimeoutError):
        await wait_until(is_full, timeout_s=FILL_LIMIT_S, interval_s=0.5)
    return running


def _large_quotas(cfg: OperatorConfig) -> OperatorConfig:
    """Returns a configuration whose quotas let patient work fill all slots."""
    teams = tuple(attrs.evolve(t, max_running=400) for t in cfg.teams)
    return attrs.evolve(cfg, teams=teams)
