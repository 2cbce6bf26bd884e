"""A loop over events in simulated time."""

__all__ = ["EventLoop"]

import heapq
import itertools
from collections.abc import Callable


class EventLoop:
    """Runs functions in order of their time; equal times keep their order.

    Attributes:
        now: Present simulated time in seconds.
    """

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._number = itertools.count()

    def at(self, time_s: float, action: Callable[..., None], *args) -> None:
        """Plans a call at a time."""
        item = (time_s, next(self._number), action, args)
        heapq.heappush(self._events, item)

    def after(self, delay_s: float, action: Callable[..., None], *args) -> None:
        """Plans a call after a delay."""
        self.at(self.now + delay_s, action, *args)

    def run(self, until_s: float) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now = until_s
