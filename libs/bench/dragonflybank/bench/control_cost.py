"""Cost of control at the hosts of a deployment, idle and with some load."""

__all__ = ["BYTES_BOUND", "MEMORY_BOUND", "PROCESSOR_BOUND", "control_cost"]

import asyncio
import itertools
import pathlib

from dragonflybank.bench.callers import Callers
from dragonflybank.bench.deployment import LoopbackDeployment
from dragonflybank.bench.process_runs import (
    FOLDERS,
    Phase,
    class_of,
    drive,
    open_run,
)
from dragonflybank.bench.table import Row
from dragonflybank.bench.usage import Spent, spent_between, take_counts
from dragonflybank.model.work import WorkKind

BUDGET = "section 1: control budget of a node"
PROCESSOR_BOUND = 0.031
# Decimal units, the stricter reading of 32 MB and 4 KB.
MEMORY_BOUND = 32.0
BYTES_BOUND = 4000.0
BYTES_PER_MB = 1e6
INTERVAL_S = 10.0
# Claims and first polls after the start are over by then.
SETTLE_S = 3.0
LOAD = Phase(100.0, INTERVAL_S)
JOBS = 40
JOB_RUN_S = 1.0


def control_cost() -> list[Row]:
    """Returns the rows of both deployments."""
    return [row for f in FOLDERS for row in asyncio.run(_cost(f))]


async def _cost(folder: pathlib.Path) -> list[Row]:
    async with open_run(folder) as (deployment, callers):
        await asyncio.sleep(SETTLE_S)
        counts = await take_counts(deployment)
        await asyncio.sleep(INTERVAL_S)
        later = await take_counts(deployment)
        workers = len(deployment.topology.workers)
        idle = spent_between(counts, later, workers)
        lookups = await _load(deployment, callers)
        busy = spent_between(later, await take_counts(deployment), workers)
    where = deployment.topology.name
    between = (busy.between_bytes - idle.between_bytes) * busy.seconds
    note = f"{lookups} lookups and {JOBS} jobs in {busy.seconds:.0f} s"
    # The budget is for control, but the two cannot be told apart here.
    shared = f"{note}; holds the cost of serving them"
    return [
        *_rows(where, "idle", idle, f"{len(deployment.hosts)} hosts"),
        *_rows(where, "some load", busy, shared),
        Row(
            "bytes between regions for each 1,000 requests",
            "B",
            where,
            1000 * between / (lookups + JOBS),
            note=f"beyond those of an idle interval; {note}",
        ),
    ]


async def _load(deployment: LoopbackDeployment, callers: Callers) -> int:
    """Sends lookups and jobs; returns the number of lookups."""
    teams = itertools.cycle(team.name for team in deployment.config.teams)
    batch = class_of(deployment, WorkKind.BATCH)
    jobs = [
        callers.job(team, f"control-{n}", batch.name, run_s=JOB_RUN_S)
        for n, team in zip(range(JOBS), teams, strict=False)
    ]
    samples, *_ = await asyncio.gather(
        drive(deployment, callers, [LOAD], seed=1), *jobs
    )
    return len(samples)


def _rows(where: str, name: str, spent: Spent, note: str) -> list[Row]:
    def row(measure, unit, value, bound=None) -> Row:
        source = BUDGET if bound is not None else ""
        title = f"{measure}, {name}"
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
            spent.processor_most,
            PROCESSOR_BOUND,
        ),
        row("processor of a host, mean", "cores", spent.processor),
        row(
            "resident memory of a host, largest",
            "MB",
            spent.memory_most / BYTES_PER_MB,
            MEMORY_BOUND,
        ),
        row("peer traffic of a host", "B/s", spent.peer_bytes, BYTES_BOUND),
        row(
            "control traffic of a host, all parts",
            "B/s",
            spent.control_bytes,
            BYTES_BOUND,
        ),
        *(
            row(f"control traffic of a host with the {part}", "B/s", rate)
            for part, rate in spent.http_bytes.items()
        ),
        row(
            "control traffic of a worker",
            "B/s",
            spent.worker_bytes,
            BYTES_BOUND,
        ),
        row("control calls of a worker", "calls/s", spent.worker_calls),
        row("traffic between regions", "B/s", spent.between_bytes),
        *(
            row(f"store calls, {kind}", "calls/s", rate)
            for kind, rate in sorted(spent.store.items())
        ),
        row("store calls, all", "calls/s", spent.store_calls),
        row("watches that wait at the store", "number", float(spent.watches)),
    ]
