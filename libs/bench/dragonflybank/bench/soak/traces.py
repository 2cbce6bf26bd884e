"""Descriptions of the runs of tasks that violations are about."""

__all__ = ["describe_runs"]

import re
from collections.abc import Iterable

from dragonflybank.bench.soak.process_cell import ProcessCell

_TASK = re.compile(r"[0-9a-f]{16}\.\d+\.\d+\.\d+")


def describe_runs(violations: Iterable[str], cell: ProcessCell) -> list[str]:
    """Returns a line for each run of each task that a violation names.

    Args:
        violations: Lines of the checks.
        cell: The cell; times are given relative to its start.
    """
    tasks = {name for line in violations for name in _TASK.findall(line)}
    runs = [
        run
        for executor in cell.executors.values()
        for run in executor.runs
        if str(run.task) in tasks
    ]
    return [
        f"run {run.attempt} of {run.task} on {run.executor}: "
        f"{_relative(run.started_at, cell)} to {_relative(run.ended_at, cell)} "
        f"{run.end_kind.value if run.end_kind else 'running'}, "
        f"acknowledged {_relative(run.acked_at, cell)}"
        f"{', started late' if run.was_late else ''}"
        for run in sorted(runs, key=lambda r: (str(r.task), r.started_at))
    ]


def _relative(at: float | None, cell: ProcessCell) -> str:
    return "never" if at is None else f"{at - cell.started_at:.2f}"
