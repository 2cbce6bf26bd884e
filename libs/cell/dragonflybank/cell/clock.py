"""A monotonic clock that includes the time of system suspension."""

__all__ = ["BootClock"]

import asyncio
import time

from dragonflybank.cluster.clock import Clock


class BootClock(Clock):
    """Seconds since the machine booted, including time in suspension.

    The age of leaderships and leases must include the time in which the machine
    was suspended, and must not jump when the wall clock is set.
    """

    def now(self) -> float:
        """Returns seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, seconds: float) -> None:
        """See `Clock.sleep`."""
        await asyncio.sleep(seconds)
