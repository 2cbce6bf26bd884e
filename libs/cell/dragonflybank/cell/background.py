"""Background tasks whose failures are logged and reported."""

__all__ = ["BackgroundTasks"]

import asyncio
import logging
from collections.abc import Callable, Coroutine

_log = logging.getLogger(__name__)


class BackgroundTasks:
    """Keeps references to running tasks and reports failed ones.

    Attributes:
        on_failure: Called after a task has ended with an exception.
    """

    def __init__(self, on_failure: Callable[[], None] = lambda: None):
        self._tasks: set[asyncio.Task] = set()
        self.on_failure = on_failure

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Starts a coroutine as a task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in self._tasks:
            task.cancel()

    async def close(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        self.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        _log.error("background task failed", exc_info=task.exception())
        self.on_failure()
