"""Wake-up of callers that wait for the end of a job."""

__all__ = ["KeyWaiters"]

import asyncio
import contextlib
from collections.abc import Callable, Iterable

from dragonflybank.jobs.entries import JobKey


class KeyWaiters:
    """Wakes callers that wait for a change of a job."""

    def __init__(self):
        self._changed: dict[JobKey, asyncio.Event] = {}

    async def wait(
        self, key: JobKey, condition: Callable[[], bool], *, timeout_s: float
    ) -> None:
        """Waits until ``condition`` is true or the timeout expires.

        The condition is checked at once and after each change of the key.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not condition():
                    event = self._changed.setdefault(key, asyncio.Event())
                    await event.wait()

    def notify(self, keys: Iterable[JobKey]) -> None:
        """Wakes the callers that wait for a change of one of the keys."""
        for key in keys:
            event = self._changed.pop(key, None)
            if event is not None:
                event.set()
