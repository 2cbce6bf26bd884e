"""Bounded windows of measurements and their percentiles."""

__all__ = ["Window"]

import collections
import math

# Two digits of the 95th percentile are stable at this length; 4 KB a window.
WINDOW_LENGTH = 512


class Window:
    """The latest measurements of one quantity.

    Args:
        length: Number of measurements kept.

    Example:
        >>> window = Window()
        >>> for amount in range(1, 101):
        ...     window.add(amount)
        >>> window.percentile(0.95)
        95
    """

    def __init__(self, length: int = WINDOW_LENGTH):
        self._values = collections.deque(maxlen=length)
        self._sorted = None

    def __len__(self):
        return len(self._values)

    def add(self, amount: float) -> None:
        """Adds a measurement; the oldest one is dropped when it is full."""
        self._values.append(amount)
        self._sorted = None

    def percentile(self, part: float) -> float:
        """Returns the smallest measurement that covers a part of them.

        Args:
            part: Part of the measurements, above 0 and at most 1.

        Raises:
            ValueError: The window is empty.
        """
        if not self._values:
            raise ValueError("no measurement yet")
        if self._sorted is None:
            self._sorted = sorted(self._values)
        return self._sorted[math.ceil(part * len(self._sorted)) - 1]

    def mean(self) -> float:
        """Returns the mean of the measurements.

        Raises:
            ValueError: The window is empty.
        """
        if not self._values:
            raise ValueError("no measurement yet")
        return math.fsum(self._values) / len(self._values)
