"""Lookups through real hosts while batch tasks use the other slots."""

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

BASE_PHASE = LoadPhase(60.0, 7.0)
OVERLOAD_PHASE = LoadPhase(400.0, 6.0)
# Demand in the overload phase, relative to the slots that lookups may use.
OVERLOAD_FACTOR = 1.5
# Longer than the run, so that no slot becomes available during it.
TASK_RUN_S = 120.0
TASKS_PER_JOB = 24
FILL_TIMEOUT_S = 20.0
LOOKUP_RESERVE = 2
PERCENTILES = (50.0, 99.0, 99.9)


def lookups_behind_patient_work() -> list[Row]:
    """Returns the rows of each deployment.

    The baseline of a wait is the wait in the same run before the batch tasks.
    """
    return [
        row
        for f in DEPLOYMENT_FOLDERS
        for row in asyncio.run(_measure_deployment(f))
    ]


async def _measure_deployment(folder: pathlib.Path) -> list[Row]:
    async with running_deployment(folder, config=_large_quotas) as (
        deployment,
        callers,
    ):
        slots_free = await send_lookups(
            deployment, callers, [BASE_PHASE], seed=1
        )
        running = await _fill_slots(deployment, callers)
        slots_held = await send_lookups(
            deployment, callers, [BASE_PHASE], seed=2
        )
        servable_slots = LOOKUP_RESERVE * len(deployment.topology.workers)
        run_s = servable_slots * OVERLOAD_FACTOR / OVERLOAD_PHASE.lookups_per_s
        overloaded = await send_lookups(
            deployment, callers, [OVERLOAD_PHASE], seed=3, run_s=run_s
        )
        waits = [
            await waits_until_start(deployment, samples)
            for samples in (slots_free, slots_held, overloaded)
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
                note=f"{note}; {len(slots_held)} lookups",
            )
            for p in PERCENTILES
        ),
        *_overload_rows(deployment, overloaded, waits[2], note),
    ]


def _overload_rows(
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
            f"lookups in time at {OVERLOAD_FACTOR:g} times the free slots",
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
            min(1.0, in_time / len(samples) * OVERLOAD_FACTOR),
            better=Better.HIGHER,
            note=note,
        ),
        Row(
            f"wait until the start at {OVERLOAD_FACTOR:g}"
            " times the free slots, p99",
            "s",
            where,
            percentile_s(waits, 99.0),
            bound=START_BOUND_S,
            bound_source=START_SOURCE,
            note=note,
        ),
        Row(
            f"time to the result at {OVERLOAD_FACTOR:g}"
            " times the free slots, p99",
            "s",
            where,
            percentile_s((s.response_time_s for s in done), 99.0),
            bound=timeout_s,
            bound_source="time-out of the class",
            note=note,
        ),
        Row(
            f"time to a refusal at {OVERLOAD_FACTOR:g}"
            " times the free slots, p99",
            "s",
            where,
            percentile_s((s.response_time_s for s in refused), 99.0),
            note=note,
        ),
    ]


async def _fill_slots(deployment: LoopbackDeployment, callers: Callers) -> int:
    """Submits batch jobs for all slots; returns how many tasks run."""
    batch = first_class_of_kind(deployment, WorkKind.BATCH)
    workers = deployment.topology.workers
    slots = sum(int(worker.size.slots) for worker in workers)
    jobs = 2 * slots // TASKS_PER_JOB
    teams = itertools.cycle(team.name for team in deployment.config.teams)
    submitted = [
        callers.run_job(
            team,
            f"fill-{n}",
            batch.name,
            run_s=TASK_RUN_S,
            tasks=TASKS_PER_JOB,
            timeout_s=0.0,
        )
        for n, team in zip(range(jobs), teams, strict=False)
    ]
    await asyncio.gather(*submitted)
    wanted = slots - LOOKUP_RESERVE * len(workers)
    running = 0

    async def is_full() -> bool:
        nonlocal running
        records = await deployment.read_records("workers")
        running = sum(1 for r in records if isinstance(r, TaskStarted))
        return running >= wanted

    # If too few tasks start, the note of the rows gives their number.
    with contextlib.suppress(TimeoutError):
        await wait_until(is_full, timeout_s=FILL_TIMEOUT_S, interval_s=0.5)
    return running


def _large_quotas(cfg: OperatorConfig) -> OperatorConfig:
    """Returns a configuration whose quotas let batch tasks fill all slots."""
    teams = tuple(attrs.evolve(t, max_running=400) for t in cfg.teams)
    return attrs.evolve(cfg, teams=teams)
