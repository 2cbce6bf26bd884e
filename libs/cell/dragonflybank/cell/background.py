"""Tasks that run beside a leader and whose failure must not go unnoticed."""

__all__ = ["BackgroundTasks"]

import asyncio
import logging
from collections.abc import Callable, Coroutine

_log = logging.getLogger(__name__)


class BackgroundTasks:
    """Keeps references to tasks and reports those that fail.

    Attributes:
        on_failure: Called after a task ended with an exception.
    """

    def __init__(self, on_failure: Callable[[], None] = lambda: None):
        self._tasks: set[asyncio.Task] = set()
        self.on_failure = on_failure

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Starts a coroutine as a task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in self._tasks:
            task.cancel()

    async def close(self) -> None:
        """Cancels all tasks and waits for their ends."""
        self.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        _log.error("background task failed", exc_info=task.exception())
        self.on_failure()
