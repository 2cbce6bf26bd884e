"""How late the event loop of a host runs its timers.

A host whose machine has turned slow still answers, but late. The mean lateness
of a timer shows it within a second (exponentially weighted moving average).
"""

__all__ = ["LoopLag"]

from dragonflybank.cluster.clock import Clock

PERIOD_S = 0.1
# Weight of the latest period; a single long step does not count as slow.
WEIGHT = 0.2


class LoopLag:
    """The lateness of timers.

    Attributes:
        mean_s: Mean lateness in seconds.
    """

    def __init__(self):
        self.mean_s = 0.0

    async def run(self, clock: Clock) -> None:
        """Measures until it is cancelled."""
        while True:
            began_at = clock.now()
            await clock.sleep(PERIOD_S)
            self.note(clock.now() - began_at - PERIOD_S)

    def note(self, late_s: float) -> None:
        """Adds the lateness of one timer in seconds.

        Example:
            >>> lag = LoopLag()
            >>> lag.note(0.5)
            >>> lag.mean_s
            0.1
        """
        self.mean_s += WEIGHT * (max(0.0, late_s) - self.mean_s)
