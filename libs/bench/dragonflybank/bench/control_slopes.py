"""Cost of control as the numbers of hosts, workers, tasks and jobs grow.

Each slope is a least-squares line through idle intervals of real processes;
the other numbers stay fixed. docs/CAPACITY.md extrapolates from them.
"""

__all__ = ["control_slopes", "slope"]

import asyncio
import itertools
import statistics
from collections.abc import Callable, Mapping, Sequence

import attrs

from dragonflybank.bench.callers import Callers
from dragonflybank.bench.deployment import LoopbackDeployment, wait_until
from dragonflybank.bench.process_runs import FOLDERS, class_of, open_run
from dragonflybank.bench.table import Row
from dragonflybank.bench.usage import Spent, spent_between, take_counts
from dragonflybank.config.operator import OperatorConfig
from dragonflybank.model.work import WorkKind
from dragonflybank.standins.records import TaskStarted

HOSTS = (3, 6, 12, 24)
WORKERS = (24, 96, 384)
FIXED_HOSTS = 6
FIXED_WORKERS = 24
# Workers of the run with tasks: room for the largest number of them.
TASK_WORKERS = 96
TASKS = (0, 200, 500)
WAITING_JOBS = 500
TASKS_OF_A_JOB = 20
INTERVAL_S = 6.0
SETTLE_S = 3.0
FILL_LIMIT_S = 30.0
# No task ends within the run.
LONG_RUN_S = 300.0
BYTES_PER_MB = 1e6

_FIGURES: Mapping[str, tuple[str, Callable[[Spent], float]]] = {
    "processor of a host": ("core", lambda s: s.processor),
    "memory of a host": ("MB", lambda s: s.memory / BYTES_PER_MB),
    "peer traffic of a host": ("B/s", lambda s: s.peer_bytes),
    "VM list traffic of a host": ("B/s", lambda s: s.http_bytes["VM list"]),
    "store traffic of a host": ("B/s", lambda s: s.http_bytes["store"]),
    "control traffic of a worker": ("B/s", lambda s: s.worker_bytes),
    "control calls of a worker": ("calls/s", lambda s: s.worker_calls),
    "store calls": ("calls/s", lambda s: s.store_calls),
    "waiting watches": ("number", lambda s: float(s.watches)),
    "traffic between regions": ("B/s", lambda s: s.between_bytes),
}


def control_slopes() -> list[Row]:
    """Returns the slopes, measured with the first deployment's sizes."""
    return asyncio.run(_slopes())


def slope(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Returns slope and intercept of the least-squares line.

    Args:
        points: Numbers of units and the cost of each.
    """
    units, costs = zip(*points, strict=True)
    line = statistics.linear_regression(units, costs)
    return line.slope, line.intercept


async def _slopes() -> list[Row]:
    base = await _idle(FIXED_HOSTS, FIXED_WORKERS)
    by_hosts = [
        (n, base if n == FIXED_HOSTS else await _idle(n, FIXED_WORKERS))
        for n in HOSTS
    ]
    by_tasks, by_jobs = await _with_tasks()
    # Two sizes were measured already.
    known = {FIXED_WORKERS: base, TASK_WORKERS: by_tasks[0][1]}
    by_workers = [
        (n, known.get(n) or await _idle(FIXED_HOSTS, n)) for n in WORKERS
    ]
    return [
        *_rows("host", f"{FIXED_WORKERS} workers", by_hosts),
        *_rows("worker", f"{FIXED_HOSTS} hosts", by_workers),
        *_rows(
            "running task",
            f"{FIXED_HOSTS} hosts, {TASK_WORKERS} workers",
            by_tasks,
        ),
        *_rows(
            "waiting job",
            f"{FIXED_HOSTS} hosts, {TASK_WORKERS} workers",
            by_jobs,
        ),
    ]


def _rows(
    unit: str, fixed: str, points: Sequence[tuple[int, Spent]]
) -> list[Row]:
    rows = []
    for name, (figure_unit, figure) in _FIGURES.items():
        found = [(float(n), figure(spent)) for n, spent in points]
        per_unit, start = slope(found)
        listed = ", ".join(f"{n:g}: {cost:.4g}" for n, cost in found)
        rows.append(
            Row(
                f"{name}, for each {unit}",
                figure_unit,
                fixed,
                per_unit,
                note=f"from {start:.4g} at none; {listed}",
            )
        )
    return rows


async def _idle(hosts: int, workers: int) -> Spent:
    async with open_run(FOLDERS[0], hosts=hosts, workers=workers) as (run, _):
        await asyncio.sleep(SETTLE_S)
        return await _interval(run)


async def _interval(deployment: LoopbackDeployment) -> Spent:
    before = await take_counts(deployment)
    await asyncio.sleep(INTERVAL_S)
    after = await take_counts(deployment)
    return spent_between(before, after, len(deployment.topology.workers))


async def _with_tasks() -> tuple[list, list]:
    """Returns the costs by running tasks and by waiting jobs."""
    async with open_run(
        FOLDERS[0],
        hosts=FIXED_HOSTS,
        workers=TASK_WORKERS,
        config=_large_quotas,
    ) as (deployment, callers):
        numbers = itertools.count()
        by_tasks = []
        running = 0
        for wanted in TASKS:
            jobs = (wanted - running) // TASKS_OF_A_JOB
            await _submit(deployment, callers, numbers, jobs, TASKS_OF_A_JOB)
            running = await _wait_running(deployment, wanted)
            await asyncio.sleep(SETTLE_S)
            by_tasks.append((running, await _interval(deployment)))
        await _hold_all(deployment, callers)
        await _submit(deployment, callers, numbers, WAITING_JOBS, 1)
        await asyncio.sleep(SETTLE_S)
        waiting = await _interval(deployment)
    return by_tasks, [(0, by_tasks[-1][1]), (WAITING_JOBS, waiting)]


async def _hold_all(deployment: LoopbackDeployment, callers: Callers) -> None:
    """Lowers the quotas, so that new jobs wait."""
    for team in deployment.config.teams:
        text = f"set team.{team.name}.max_running = 1"
        staged = await callers.query(f"stage hold-{team.name}: {text}")
        applied = await callers.query(f"apply hold-{team.name}")
        if staged.get("code") or applied.get("code"):
            raise RuntimeError(f"quota not lowered: {staged} {applied}")


async def _submit(deployment, callers, numbers, jobs: int, tasks: int) -> None:
    batch = class_of(deployment, WorkKind.BATCH).name
    teams = itertools.cycle(team.name for team in deployment.config.teams)
    submitted = (
        callers.job(
            team,
            f"slope-{next(numbers)}",
            batch,
            run_s=LONG_RUN_S,
            tasks=tasks,
            limit_s=0.0,
        )
        for _, team in zip(range(jobs), teams, strict=False)
    )
    for chunk in _chunks(submitted, 50):
        await asyncio.gather(*chunk)


async def _wait_running(deployment: LoopbackDeployment, wanted: int) -> int:
    running = 0

    async def are_running() -> bool:
        nonlocal running
        records = await deployment.records("workers")
        running = sum(1 for r in records if isinstance(r, TaskStarted))
        return running >= wanted

    await wait_until(are_running, timeout_s=FILL_LIMIT_S, interval_s=0.5)
    return running


def _chunks(items, size: int):
    iterator = iter(items)
    while chunk := list(itertools.islice(iterator, size)):
        yield chunk


def _large_quotas(cfg: OperatorConfig) -> OperatorConfig:
    teams = tuple(attrs.evolve(t, max_running=1000) for t in cfg.teams)
    return attrs.evolve(cfg, teams=teams)
