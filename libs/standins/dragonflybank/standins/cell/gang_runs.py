"""Runs of gangs in a simulated cell, which start and end together."""

__all__ = ["GangRuns"]

import functools
from collections.abc import Callable

from dragonflybank.cell.jobs import Step, TaskId
from dragonflybank.cell.ports import EndKind
from dragonflybank.standins.cell.executors import AttemptRun, MemoryExecutor


class GangRuns:
    """Knows the members of each gang on all executors.

    Args:
        find_step: Returns the step of a task, None if no caller submitted its
            job.
    """

    def __init__(self, find_step: Callable[[TaskId], Step | None]):
        self._find_step = find_step
        self._runs: dict[tuple, list[tuple[MemoryExecutor, AttemptRun]]] = {}

    def connect(self, executor: MemoryExecutor) -> None:
        """Follows the runs of an executor."""
        executor.on_run_started = functools.partial(self._record, executor)
        executor.count_gang_members = self._count_members
        executor.on_gang_member_ended = self._end_others

    def _running_members(
        self, run: AttemptRun
    ) -> list[tuple[MemoryExecutor, AttemptRun]]:
        return [
            (executor, other)
            for executor, other in self._runs.get(_gang_key(run), ())
            if other.ended_at is None
        ]

    def _record(self, executor: MemoryExecutor, run: AttemptRun) -> None:
        step = self._find_step(run.task)
        if step is not None and step.gang:
            self._runs.setdefault(_gang_key(run), []).append((executor, run))

    def _count_members(self, run: AttemptRun) -> int:
        return len({other.task for _, other in self._running_members(run)})

    def _end_others(self, run: AttemptRun, kind: EndKind) -> None:
        step = self._find_step(run.task)
        if step is None or not step.gang:
            return
        is_done = kind is EndKind.DONE
        for executor, other in self._running_members(run):
            executor.end_by_gang(
                other, EndKind.DONE if is_done else EndKind.BROKEN
            )


def _gang_key(run: AttemptRun) -> tuple[str, int, int]:
    return run.task.job, run.task.step, run.attempt
