"""Tasks of one worker whose end is known."""

__all__ = ["EndedTasks"]

import attrs

from dragonflybank.model.leases import TaskEvent

# Longer than any answer that was on its way when the task was acknowledged.
ACKNOWLEDGED_KEPT_S = 60.0


@attrs.define
class _EndedTask:
    event: TaskEvent | None
    acknowledged_at: float | None = None


class EndedTasks:
    """Ends of tasks, with the event until it is acknowledged.

    The id is kept for some time after that, so that an answer sent by the
    worker before the end does not count the task as running again.
    """

    def __init__(self):
        self._ended: dict[str, _EndedTask] = {}

    def __contains__(self, task_id: str) -> bool:
        return task_id in self._ended

    def add(self, event: TaskEvent) -> None:
        """Adds the end of a task."""
        self._ended.setdefault(event.task_id, _EndedTask(event))

    def event(self, task_id: str) -> TaskEvent | None:
        """Returns the end of a task, None once it is acknowledged."""
        ended = self._ended.get(task_id)
        return ended.event if ended else None

    def acknowledge(self, task_ids: list[str], now: float) -> None:
        """Drops the events, which are journalled and acknowledged."""
        for task_id in task_ids:
            self._ended[task_id] = _EndedTask(None, now)

    def clear(self) -> None:
        """Forgets everything; the worker's next list has what is left."""
        self._ended.clear()

    def purge(self, now: float) -> None:
        """Forgets tasks that were acknowledged long ago."""
        self._ended = {
            task_id: ended
            for task_id, ended in self._ended.items()
            if ended.acknowledged_at is None
            or now - ended.acknowledged_at <= ACKNOWLEDGED_KEPT_S
        }
