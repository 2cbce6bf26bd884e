"""Discrete-event simulation: calls functions in simulated time."""

__all__ = ["EventLoop"]

import heapq
import itertools
from collections.abc import Callable


class EventLoop:
    """Calls functions in order of time; equal times in order of scheduling.

    Attributes:
        now: Current simulated time in seconds.
    """

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._sequence = itertools.count()

    def schedule_at(
        self, time_s: float, action: Callable[..., None], *args
    ) -> None:
        """Schedules a call at a simulated time in seconds."""
        event = (time_s, next(self._sequence), action, args)
        heapq.heappush(self._events, event)

    def schedule_after(
        self, delay_s: float, action: Callable[..., None], *args
    ) -> None:
        """Schedules a call after a delay in seconds."""
        self.schedule_at(self.now + delay_s, action, *args)

    def run(self, until_s: float) -> None:
        """Runs all calls up to a simulated time in seconds."""
        while self._events and self._events[0][0] <= until_s:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now = until_s
