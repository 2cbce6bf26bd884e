"""The clock of background loops.

Deciding functions take the present time as an argument; only ``run`` loops
read a clock, which is passed in so that tests can move it.
"""

__all__ = ["Clock", "SystemClock"]

import abc
import asyncio
import time


class Clock(abc.ABC):
    """A source of the present time and of waits."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns seconds since 1970."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Waits for a number of seconds."""


class SystemClock(Clock):
    """The clock of the machine."""

    def now(self) -> float:
        """See `Clock.now`."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """See `Clock.sleep`."""
        await asyncio.sleep(seconds)
