"""Tasks of one worker whose end is known."""

__all__ = ["TaskEnds"]

import attrs

from dragonflybank.model.leases import TaskEvent

# Longer than any answer takes that the worker sent before the acknowledgement.
ACKNOWLEDGED_KEPT_S = 60.0


@attrs.define
class _TaskEnd:
    event: TaskEvent | None
    acknowledged_at: float | None = None


class TaskEnds:
    """Ended tasks, each with its event until that is acknowledged.

    The id is kept for some time after the acknowledgement, so that an answer
    that the worker sent before the end does not count the task as running.
    """

    def __init__(self):
        self._ended: dict[str, _TaskEnd] = {}

    def __contains__(self, task_id: str) -> bool:
        return task_id in self._ended

    def add(self, event: TaskEvent) -> None:
        """Adds the end of a task."""
        self._ended.setdefault(event.task_id, _TaskEnd(event))

    def event(self, task_id: str) -> TaskEvent | None:
        """Returns the event of a task's end, None once it is acknowledged."""
        ended = self._ended.get(task_id)
        return ended.event if ended else None

    def acknowledge(self, task_ids: list[str], now: float) -> None:
        """Drops the events of tasks whose ends were acknowledged."""
        for task_id in task_ids:
            self._ended[task_id] = _TaskEnd(None, now)

    def clear(self) -> None:
        """Removes all tasks; the next claim lists those not acknowledged."""
        self._ended.clear()

    def purge(self, now: float) -> None:
        """Removes tasks that were acknowledged more than 60 s ago."""
        self._ended = {
            task_id: ended
            for task_id, ended in self._ended.items()
            if ended.acknowledged_at is None
            or now - ended.acknowledged_at <= ACKNOWLEDGED_KEPT_S
        }
