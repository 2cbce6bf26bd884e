"""Measures how late the event loop of a host runs its timers.

A host on an overloaded machine still answers, but late. The exponentially
weighted moving average of the timer lag shows this within a second.
"""

__all__ = ["LoopLag"]

from dragonflybank.cluster.clock import Clock

SAMPLE_INTERVAL_S = 0.1
# Weight of the latest sample; with it, a single long step does not mark the
# host as slow.
SAMPLE_WEIGHT = 0.2


class LoopLag:
    """The average timer lag of an event loop.

    Attributes:
        mean_s: Moving average of the lag in seconds.
    """

    def __init__(self):
        self.mean_s = 0.0

    async def run(self, clock: Clock) -> None:
        """Takes samples until it is cancelled."""
        while True:
            began_at = clock.now()
            await clock.sleep(SAMPLE_INTERVAL_S)
            self.add_sample(clock.now() - began_at - SAMPLE_INTERVAL_S)

    def add_sample(self, lag_s: float) -> None:
        """Adds the lag of one timer in seconds.

        Example:
            >>> lag = LoopLag()
            >>> lag.add_sample(0.5)
            >>> lag.mean_s
            0.1
        """
        self.mean_s += SAMPLE_WEIGHT * (max(0.0, lag_s) - self.mean_s)
