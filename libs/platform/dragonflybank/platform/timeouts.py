"""A time-out that follows the round trips of a service.

The estimate of RFC 6298 (Paxson et al., 2011): a smoothed round trip and its
mean deviation, doubled after each time-out until the next answer.
"""

__all__ = ["AdaptiveTimeout"]

# Weights of RFC 6298, section 2.
ALPHA = 1 / 8
BETA = 1 / 4
DEVIATIONS = 4


class AdaptiveTimeout:
    """The time after which a missing answer counts as lost.

    Attributes:
        seconds: The present time-out.

    Args:
        min_s: Shortest time-out in seconds.
        max_s: Longest time-out in seconds, and the first one.
    """

    def __init__(self, *, min_s: float, max_s: float):
        self._min_s = min_s
        self._max_s = max_s
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self.seconds = max_s

    def answered(self, round_trip_s: float) -> None:
        """Notes an answer.

        Example:
            >>> timeout = AdaptiveTimeout(min_s=0.1, max_s=1.0)
            >>> timeout.answered(0.02)
            >>> timeout.seconds
            0.1
        """
        if not self._mean_s:
            self._mean_s = round_trip_s
            self._deviation_s = round_trip_s / 2
        else:
            error_s = round_trip_s - self._mean_s
            self._deviation_s += BETA * (abs(error_s) - self._deviation_s)
            self._mean_s += ALPHA * error_s
        self._set(self._mean_s + DEVIATIONS * self._deviation_s)

    def timed_out(self) -> None:
        """Notes that no answer came in time."""
        self._set(2 * self.seconds)

    def _set(self, seconds: float) -> None:
        self.seconds = min(self._max_s, max(self._min_s, seconds))
