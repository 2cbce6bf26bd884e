"""Descriptions of jobs and of the runs of their tasks."""

__all__ = ["describe_runs", "describe_slowest_jobs"]

import re
from collections.abc import Iterable

from dragonflybank.bench.soak.process_cell import ProcessCell

SLOWEST_JOBS = 3
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


def describe_slowest_jobs(cell: ProcessCell) -> list[str]:
    """Returns lines for the accepted jobs that took longest, and their runs."""
    history = cell.history
    durations_s = {
        job: phases[-1][0] - history.accepted[job]
        for job, phases in history.observed_phases.items()
        if phases and job in history.accepted
    }
    slowest = sorted(durations_s, key=durations_s.get)[-SLOWEST_JOBS:]
    names = [
        str(run.task)
        for executor in cell.executors.values()
        for run in executor.runs
        if run.task.job in slowest
    ]
    return [
        *(
            f"job {job} of {history.jobs[job].queue.name}, accepted "
            f"{_relative(history.accepted[job], cell)}, took "
            f"{durations_s[job]:.2f} s"
            for job in reversed(slowest)
        ),
        *describe_runs(names, cell),
    ]


def _relative(at: float | None, cell: ProcessCell) -> str:
    return "never" if at is None else f"{at - cell.started_at:.2f}"
