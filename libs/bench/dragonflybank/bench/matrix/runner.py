"""Runs cells and checks the invariants."""

__all__ = ["CellResult", "run_cell", "run_cells"]

import asyncio
import pathlib
import traceback
from collections.abc import Callable, Iterable

import attrs

from dragonflybank.bench.deployment import wait_until
from dragonflybank.bench.matrix.cell_run import CellRun
from dragonflybank.bench.matrix.client import Job, RecordingClient
from dragonflybank.bench.matrix.layout import (
    REPEATABLE_CLASS,
)
from dragonflybank.bench.matrix.matrix_deployment import (
    MatrixDeployment,
)
from dragonflybank.bench.matrix.steps import run_step
from dragonflybank.bench.matrix.table import Cell
from dragonflybank.model.work import Outcome
from dragonflybank.standins.invariants import check_all

# Cells mostly wait for leases to expire and dead hosts to be detected.
MAX_CONCURRENT_CELLS = 24
MAX_CONCURRENT_HOST_STARTS = 8
# Far more than a lease (15 s) and the longest pause (17 s).
CELL_TIMEOUT_S = 150.0
RECOVERY_TIMEOUT_S = 40.0
LOOKUP_INTERVAL_S = 0.3


@attrs.frozen
class CellResult:
    """Result of a cell.

    Attributes:
        cell: The cell.
        problems: Violations and other failures; none if the cell passed.
        duration_s: Duration of the run in seconds.
    """

    cell: Cell
    problems: tuple[str, ...]
    duration_s: float


async def run_cells(
    cells: Iterable[Cell],
    *,
    max_concurrent: int = MAX_CONCURRENT_CELLS,
    logs: pathlib.Path | None = None,
    on_result: Callable[[CellResult], None] = lambda result: None,
) -> list[CellResult]:
    """Runs cells concurrently and returns their results in order.

    Args:
        cells: The cells.
        max_concurrent: Largest number of deployments at a time.
        logs: Folder for the hosts' logs of failing cells, None to drop them.
        on_result: Called with each result when its cell is done.
    """
    cell_slots = asyncio.Semaphore(max_concurrent)
    start_slots = asyncio.Semaphore(MAX_CONCURRENT_HOST_STARTS)

    async def run_limited(cell: Cell) -> CellResult:
        async with cell_slots:
            result = await run_cell(cell, start_slots, logs=logs)
            on_result(result)
            return result

    return await asyncio.gather(*(run_limited(cell) for cell in cells))


async def run_cell(
    cell: Cell,
    start_slots: asyncio.Semaphore,
    *,
    logs: pathlib.Path | None = None,
) -> CellResult:
    """Runs one cell in a deployment of its own; see `run_cells`."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    deployment = MatrixDeployment(
        start_slots, two_regions=cell.fault.two_regions
    )
    cell_run = CellRun(
        deployment, RecordingClient(deployment, seed=1), cell.fault
    )
    problems = []
    try:
        async with asyncio.timeout(CELL_TIMEOUT_S):
            problems = await _run_cell_steps(cell, cell_run)
    except TimeoutError:
        problems = [
            f"not over after {CELL_TIMEOUT_S:g} s",
            *_find_problems(cell_run),
        ]
    except Exception:
        problems = [traceback.format_exc()]
    finally:
        await deployment.stop_hosts()
        if problems and logs is not None:
            folder = logs / cell.name
            deployment.keep_logs(folder)
            (folder / "problems.txt").write_text("\n".join(problems) + "\n")
            problems.append(f"logs: {folder}")
        await deployment.close()
    return CellResult(cell, tuple(problems), loop.time() - started_at)


async def _run_cell_steps(cell: Cell, cell_run: CellRun) -> list[str]:
    is_done = asyncio.Event()
    async with asyncio.TaskGroup() as group:
        group.create_task(_send_lookups(cell_run, is_done))
        try:
            await run_step(cell.step, cell_run)
            await cell_run.wait_until_fault_ended()
        finally:
            is_done.set()
    await _check_recovery(cell_run)
    return _find_problems(cell_run)


async def _send_lookups(cell_run: CellRun, is_done: asyncio.Event) -> None:
    """Sends lookups, each until it is answered, while the cell runs."""
    while not is_done.is_set():
        if (
            cell_run.deployment.http is not None
            and cell_run.deployment.live_hosts()
        ):
            await cell_run.client.send_lookup()
        await asyncio.sleep(LOOKUP_INTERVAL_S)


async def _check_recovery(cell_run: CellRun) -> None:
    """Waits until the deployment serves again after the fault."""
    for name in cell_run.deployment.live_hosts():
        url = cell_run.deployment.hosts[name].url

        async def is_lookup_done(url: str = url) -> bool:
            fields = await cell_run.client.send_lookup(url=url)
            return fields.get("outcome") == Outcome.DONE

        await wait_until(
            is_lookup_done, timeout_s=RECOVERY_TIMEOUT_S, interval_s=0.2
        )
    await cell_run.client.submit_and_wait(
        Job("afterwards", REPEATABLE_CLASS, run_s=0.1)
    )

    async def has_same_generation() -> bool:
        names = cell_run.deployment.live_hosts()
        generations = {
            await cell_run.deployment.read_generation(name) for name in names
        }
        return len(generations) == 1

    await wait_until(
        has_same_generation, timeout_s=RECOVERY_TIMEOUT_S, interval_s=0.2
    )


def _find_problems(cell_run: CellRun) -> list[str]:
    client = cell_run.client
    violations = check_all(cell_run.deployment.records(), client.answers)
    unreached = (
        [] if cell_run.fault_started.is_set() else ["the step was not reached"]
    )
    descriptions = [
        str(violation) for violation in (*violations, *client.violations)
    ]
    problems = [
        *unreached,
        *descriptions,
        *cell_run.failed_checks,
        *client.unexpected_results(),
    ]
    return [*problems, *client.refusals] if problems else []
