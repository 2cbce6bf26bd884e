"""Callers that wait for the end of a job."""

__all__ = ["Waiters"]

import asyncio
import contextlib
from collections.abc import Callable, Iterable

from dragonflybank.jobs.entries import Key


class Waiters:
    """Wakes the callers that wait for a change of a key."""

    def __init__(self):
        self._changed: dict[Key, asyncio.Event] = {}

    async def wait(
        self, key: Key, is_over: Callable[[], bool], *, timeout_s: float
    ) -> None:
        """Waits until ``is_over`` holds after a change, or the time is out."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not is_over():
                    changed = self._changed.setdefault(key, asyncio.Event())
                    await changed.wait()

    def notify(self, keys: Iterable[Key]) -> None:
        """Wakes those that wait for a change of one of the keys."""
        for key in keys:
            changed = self._changed.pop(key, None)
            if changed is not None:
                changed.set()
