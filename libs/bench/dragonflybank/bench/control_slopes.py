"""Control cost against the numbers of hosts, workers, tasks and jobs.

Each slope is that of a least-squares line through measurements of real
processes without new requests; the other numbers stay fixed.
docs/CAPACITY.md extrapolates from the slopes.
"""

__all__ = ["control_slopes", "fit_line"]

import asyncio
import itertools
import statistics
from collections.abc import Callable, Mapping, Sequence

import attrs

from dragonflybank.bench.callers import Callers
from dragonflybank.bench.deployment import LoopbackDeployment, wait_until
from dragonflybank.bench.process_runs import (
    DEPLOYMENT_FOLDERS,
    first_class_of_kind,
    running_deployment,
)
from dragonflybank.bench.table import Row
from dragonflybank.bench.usage import UsageRates, rates_between, read_counters
from dragonflybank.config.operator import OperatorConfig
from dragonflybank.model.work import WorkKind
from dragonflybank.standins.records import TaskStarted

HOSTS = (3, 6, 12, 24)
WORKERS = (24, 96, 384)
BASE_HOSTS = 6
BASE_WORKERS = 24
# Workers of the run with tasks: enough slots for the largest number of tasks.
TASK_WORKERS = 96
RUNNING_TASKS = (0, 200, 500)
WAITING_JOBS = 500
TASKS_PER_JOB = 20
MEASURED_INTERVAL_S = 6.0
SETTLE_S = 3.0
FILL_TIMEOUT_S = 30.0
# Longer than the run, so that no task ends within it.
TASK_RUN_S = 300.0
BYTES_PER_MB = 1e6

_MEASURES: Mapping[str, tuple[str, Callable[[UsageRates], float]]] = {
    "processor of a host": ("core", lambda s: s.mean_host_cores),
    "memory of a host": ("MB", lambda s: s.mean_memory_bytes / BYTES_PER_MB),
    "peer traffic of a host": ("B/s", lambda s: s.peer_bytes_per_s),
    "VM list traffic of a host": (
        "B/s",
        lambda s: s.http_bytes_per_s["VM list"],
    ),
    "store traffic of a host": ("B/s", lambda s: s.http_bytes_per_s["store"]),
    "control traffic of a worker": ("B/s", lambda s: s.worker_bytes_per_s),
    "control calls of a worker": ("calls/s", lambda s: s.worker_calls_per_s),
    "store calls": ("calls/s", lambda s: s.total_store_calls_per_s),
    "waiting watches": ("number", lambda s: float(s.waiting_watches)),
    "traffic between regions": ("B/s", lambda s: s.inter_region_bytes_per_s),
}


def control_slopes() -> list[Row]:
    """Returns the slopes, measured with the first deployment."""
    return asyncio.run(_measure_slopes())


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Returns slope and intercept of a least-squares line.

    Args:
        points: Pairs of a number of units and the cost at that number.
    """
    units, costs = zip(*points, strict=True)
    line = statistics.linear_regression(units, costs)
    return line.slope, line.intercept


async def _measure_slopes() -> list[Row]:
    base = await _measure_idle(BASE_HOSTS, BASE_WORKERS)
    by_hosts = [
        (n, base if n == BASE_HOSTS else await _measure_idle(n, BASE_WORKERS))
        for n in HOSTS
    ]
    by_tasks, by_jobs = await _measure_with_tasks()
    # Two of the sizes are measured already.
    measured = {BASE_WORKERS: base, TASK_WORKERS: by_tasks[0][1]}
    by_workers = [
        (n, measured.get(n) or await _measure_idle(BASE_HOSTS, n))
        for n in WORKERS
    ]
    return [
        *_rows("host", f"{BASE_WORKERS} workers", by_hosts),
        *_rows("worker", f"{BASE_HOSTS} hosts", by_workers),
        *_rows(
            "running task",
            f"{BASE_HOSTS} hosts, {TASK_WORKERS} workers",
            by_tasks,
        ),
        *_rows(
            "waiting job",
            f"{BASE_HOSTS} hosts, {TASK_WORKERS} workers",
            by_jobs,
        ),
    ]


def _rows(
    unit: str, fixed: str, points: Sequence[tuple[int, UsageRates]]
) -> list[Row]:
    rows = []
    for name, (cost_unit, cost_of) in _MEASURES.items():
        costs = [(float(n), cost_of(rates)) for n, rates in points]
        per_unit, intercept = fit_line(costs)
        listed = ", ".join(f"{n:g}: {cost:.4g}" for n, cost in costs)
        rows.append(
            Row(
                f"{name}, for each {unit}",
                cost_unit,
                fixed,
                per_unit,
                note=f"from {intercept:.4g} at none; {listed}",
            )
        )
    return rows


async def _measure_idle(hosts: int, workers: int) -> UsageRates:
    async with running_deployment(
        DEPLOYMENT_FOLDERS[0], hosts=hosts, workers=workers
    ) as (run, _):
        await asyncio.sleep(SETTLE_S)
        return await _measure_interval(run)


async def _measure_interval(deployment: LoopbackDeployment) -> UsageRates:
    before = await read_counters(deployment)
    await asyncio.sleep(MEASURED_INTERVAL_S)
    after = await read_counters(deployment)
    return rates_between(before, after, len(deployment.topology.workers))


async def _measure_with_tasks() -> tuple[list, list]:
    """Returns the costs by number of running tasks and of waiting jobs."""
    async with running_deployment(
        DEPLOYMENT_FOLDERS[0],
        hosts=BASE_HOSTS,
        workers=TASK_WORKERS,
        config=_large_quotas,
    ) as (deployment, callers):
        numbers = itertools.count()
        by_tasks = []
        running = 0
        for wanted in RUNNING_TASKS:
            jobs = (wanted - running) // TASKS_PER_JOB
            await _submit_jobs(
                deployment, callers, numbers, jobs, TASKS_PER_JOB
            )
            running = await _wait_for_running_tasks(deployment, wanted)
            await asyncio.sleep(SETTLE_S)
            by_tasks.append((running, await _measure_interval(deployment)))
        await _lower_quotas(deployment, callers)
        await _submit_jobs(deployment, callers, numbers, WAITING_JOBS, 1)
        await asyncio.sleep(SETTLE_S)
        waiting = await _measure_interval(deployment)
    return by_tasks, [(0, by_tasks[-1][1]), (WAITING_JOBS, waiting)]


async def _lower_quotas(
    deployment: LoopbackDeployment, callers: Callers
) -> None:
    """Lowers all quotas, so that new jobs wait."""
    for team in deployment.config.teams:
        text = f"set team.{team.name}.max_running = 1"
        staged = await callers.run_query(f"stage hold-{team.name}: {text}")
        applied = await callers.run_query(f"apply hold-{team.name}")
        if staged.get("code") or applied.get("code"):
            raise RuntimeError(f"quotas were not lowered: {staged} {applied}")


async def _submit_jobs(
    deployment, callers, numbers, jobs: int, tasks: int
) -> None:
    batch = first_class_of_kind(deployment, WorkKind.BATCH).name
    teams = itertools.cycle(team.name for team in deployment.config.teams)
    submitted = (
        callers.run_job(
            team,
            f"slope-{next(numbers)}",
            batch,
            run_s=TASK_RUN_S,
            tasks=tasks,
            timeout_s=0.0,
        )
        for _, team in zip(range(jobs), teams, strict=False)
    )
    for chunk in _chunks(submitted, 50):
        await asyncio.gather(*chunk)


async def _wait_for_running_tasks(
    deployment: LoopbackDeployment, wanted: int
) -> int:
    running = 0

    async def are_running() -> bool:
        nonlocal running
        records = await deployment.read_records("workers")
        running = sum(1 for r in records if isinstance(r, TaskStarted))
        return running >= wanted

    await wait_until(are_running, timeout_s=FILL_TIMEOUT_S, interval_s=0.5)
    return running


def _chunks(items, size: int):
    iterator = iter(items)
    while chunk := list(itertools.islice(iterator, size)):
        yield chunk


def _large_quotas(cfg: OperatorConfig) -> OperatorConfig:
    teams = tuple(attrs.evolve(t, max_running=1000) for t in cfg.teams)
    return attrs.evolve(cfg, teams=teams)
