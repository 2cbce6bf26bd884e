"""Sliding windows of measurements and their quantiles."""

__all__ = ["SlidingWindow"]

import collections
import math

# Long enough that two digits of the 95th percentile are stable; a window takes
# 4 KB.
WINDOW_LENGTH = 512


class SlidingWindow:
    """Keeps the latest measurements of one quantity.

    Args:
        length: Maximum number of measurements.

    Example:
        >>> window = SlidingWindow()
        >>> for value in range(1, 101):
        ...     window.add(value)
        >>> window.quantile(0.95)
        95
    """

    def __init__(self, length: int = WINDOW_LENGTH):
        self._values = collections.deque(maxlen=length)
        self._sorted = None

    def __len__(self):
        return len(self._values)

    def add(self, value: float) -> None:
        """Adds a measurement; a full window drops its oldest one."""
        self._values.append(value)
        self._sorted = None

    def quantile(self, fraction: float) -> float:
        """Returns a quantile by the nearest-rank method.

        Args:
            fraction: Fraction of the measurements that are at most the result,
                above 0 and at most 1.

        Raises:
            ValueError: The window is empty.
        """
        if not self._values:
            raise ValueError("no measurement yet")
        if self._sorted is None:
            self._sorted = sorted(self._values)
        return self._sorted[math.ceil(fraction * len(self._sorted)) - 1]

    def mean(self) -> float:
        """Returns the mean of the measurements.

        Raises:
            ValueError: The window is empty.
        """
        if not self._values:
            raise ValueError("no measurement yet")
        return math.fsum(self._values) / len(self._values)
