"""Clock of the background loops.

Functions that make decisions get the current time as an argument. Only ``run``
loops read a clock, which is passed in so that tests can control it.
"""

__all__ = ["Clock", "SystemClock"]

import abc
import asyncio
import time


class Clock(abc.ABC):
    """A source of the current time and of waits."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns the current time in seconds.

        `SystemClock` counts from 1970; other clocks may start elsewhere.
        """

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Sleeps for a number of seconds."""


class SystemClock(Clock):
    """The system clock."""

    def now(self) -> float:
        """See `Clock.now`."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """See `Clock.sleep`."""
        await asyncio.sleep(seconds)
