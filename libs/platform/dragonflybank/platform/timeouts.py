"""A timeout that adapts to the round-trip times of a service.

It is estimated as in RFC 6298 (Paxson et al., 2011) from the smoothed
round-trip time and its mean deviation. Each timeout doubles it until the next
answer arrives.
"""

__all__ = ["AdaptiveTimeout"]

# The parameters alpha, beta and K of RFC 6298, section 2.
ALPHA = 1 / 8
BETA = 1 / 4
DEVIATION_FACTOR = 4


class AdaptiveTimeout:
    """The time after which a missing answer is considered lost.

    Args:
        min_s: Shortest timeout in seconds.
        max_s: Longest timeout in seconds; also the initial one.

    Attributes:
        seconds: The current timeout in seconds.
    """

    def __init__(self, *, min_s: float, max_s: float):
        self._min_s = min_s
        self._max_s = max_s
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self.seconds = max_s

    def record_round_trip(self, round_trip_s: float) -> None:
        """Updates the estimate after an answer has arrived.

        Args:
            round_trip_s: Time from the call to its answer, in seconds.

        Example:
            >>> timeout = AdaptiveTimeout(min_s=0.1, max_s=1.0)
            >>> timeout.record_round_trip(0.02)
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
        self._set_seconds(self._mean_s + DEVIATION_FACTOR * self._deviation_s)

    def record_timeout(self) -> None:
        """Doubles the timeout after an answer has failed to arrive in time."""
        self._set_seconds(2 * self.seconds)

    def _set_seconds(self, seconds: float) -> None:
        self.seconds = min(self._max_s, max(self._min_s, seconds))
