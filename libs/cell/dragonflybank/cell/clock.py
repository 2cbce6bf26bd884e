"""The clock that also counts while the machine is suspended."""

__all__ = ["BootClock"]

import asyncio
import time

from dragonflybank.cluster.clock import Clock


class BootClock(Clock):
    """Seconds since the machine started, with the time it was suspended.

    Leadership and leases must not seem younger than they are after the
    machine was suspended, and must not jump with the time of day.
    """

    def now(self) -> float:
        """See `Clock.now`."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, seconds: float) -> None:
        """See `Clock.sleep`."""
        await asyncio.sleep(seconds)
