"""Resources that scheduling itself uses: hosts idle and with some load."""

__all__ = ["BYTES_BOUND", "MEMORY_BOUND", "PROCESSOR_BOUND", "control_cost"]

import asyncio
import itertools
import pathlib

from dragonflybank.bench.callers import Callers
from dragonflybank.bench.deployment import LoopbackDeployment
from dragonflybank.bench.process_runs import (
    DEPLOYMENT_FOLDERS,
    LoadPhase,
    first_class_of_kind,
    running_deployment,
    send_lookups,
)
from dragonflybank.bench.table import Row
from dragonflybank.bench.usage import UsageRates, rates_between, read_counters
from dragonflybank.model.work import WorkKind

BUDGET = "section 1: control budget of a node"
PROCESSOR_BOUND = 0.031
# 32 MB and 4 KB in decimal units, the stricter reading.
MEMORY_BOUND = 32.0
BYTES_BOUND = 4000.0
BYTES_PER_MB = 1e6
INTERVAL_S = 10.0
# Covers the claims and the first polls after the start.
SETTLE_S = 3.0
LOAD = LoadPhase(100.0, INTERVAL_S)
JOBS = 40
JOB_RUN_S = 1.0


def control_cost() -> list[Row]:
    """Returns the rows of each deployment."""
    return [
        row for f in DEPLOYMENT_FOLDERS for row in asyncio.run(_measure_cost(f))
    ]


async def _measure_cost(folder: pathlib.Path) -> list[Row]:
    async with running_deployment(folder) as (deployment, callers):
        await asyncio.sleep(SETTLE_S)
        before = await read_counters(deployment)
        await asyncio.sleep(INTERVAL_S)
        after_idle = await read_counters(deployment)
        workers = len(deployment.topology.workers)
        idle = rates_between(before, after_idle, workers)
        lookups = await _send_load(deployment, callers)
        busy = rates_between(
            after_idle, await read_counters(deployment), workers
        )
    where = deployment.topology.name
    inter_region_bytes = (
        busy.inter_region_bytes_per_s - idle.inter_region_bytes_per_s
    ) * busy.duration_s
    note = f"{lookups} lookups and {JOBS} jobs in {busy.duration_s:.0f} s"
    # The budget is for control alone, but these processes do both, so that
    # the cost of serving requests cannot be separated from it.
    busy_note = f"{note}; holds the cost of serving them"
    return [
        *_rows(where, "idle", idle, f"{len(deployment.hosts)} hosts"),
        *_rows(where, "some load", busy, busy_note),
        Row(
            "bytes between regions for each 1,000 requests",
            "B",
            where,
            1000 * inter_region_bytes / (lookups + JOBS),
            note=f"beyond those of an idle interval; {note}",
        ),
    ]


async def _send_load(deployment: LoopbackDeployment, callers: Callers) -> int:
    """Sends lookups and jobs; returns the number of lookups."""
    teams = itertools.cycle(team.name for team in deployment.config.teams)
    batch = first_class_of_kind(deployment, WorkKind.BATCH)
    jobs = [
        callers.run_job(team, f"control-{n}", batch.name, run_s=JOB_RUN_S)
        for n, team in zip(range(JOBS), teams, strict=False)
    ]
    samples, *_ = await asyncio.gather(
        send_lookups(deployment, callers, [LOAD], seed=1), *jobs
    )
    return len(samples)


def _rows(where: str, load: str, rates: UsageRates, note: str) -> list[Row]:
    def row(measure, unit, value, bound=None) -> Row:
        source = BUDGET if bound is not None else ""
        title = f"{measure}, {load}"
        return Row(
            title,
            unit,
            where,
            value,
            bound=bound,
            bound_source=source,
            note=note,
        )

    return [
        row(
            "processor of a host, busiest",
            "cores",
            rates.max_host_cores,
            PROCESSOR_BOUND,
        ),
        row("processor of a host, mean", "cores", rates.mean_host_cores),
        row(
            "resident memory of a host, largest",
            "MB",
            rates.max_memory_bytes / BYTES_PER_MB,
            MEMORY_BOUND,
        ),
        row(
            "peer traffic of a host", "B/s", rates.peer_bytes_per_s, BYTES_BOUND
        ),
        row(
            "control traffic of a host, all parts",
            "B/s",
            rates.control_bytes_per_s,
            BYTES_BOUND,
        ),
        *(
            row(f"control traffic of a host with the {part}", "B/s", rate)
            for part, rate in rates.http_bytes_per_s.items()
        ),
        row(
            "control traffic of a worker",
            "B/s",
            rates.worker_bytes_per_s,
            BYTES_BOUND,
        ),
        row("control calls of a worker", "calls/s", rates.worker_calls_per_s),
        row("traffic between regions", "B/s", rates.inter_region_bytes_per_s),
        *(
            row(f"store calls, {kind}", "calls/s", rate)
            for kind, rate in sorted(rates.store_calls_per_s.items())
        ),
        row("store calls, all", "calls/s", rates.total_store_calls_per_s),
        row(
            "watches that wait at the store",
            "number",
            float(rates.waiting_watches),
        ),
    ]
