"""Detection of long tasks and stragglers from measured run times."""

__all__ = ["RunTimes"]

import collections

from dragonflybank.model.work import WorkClass
from dragonflybank.policy.windows import SlidingWindow

# A task that holds a slot for longer than urgent work may wait for its start
# can make a lookup late on its own.
LONG_TASK_S = 1.2
STRAGGLER_FACTOR = 4.0
STRAGGLER_QUANTILE = 0.95
MIN_MEASUREMENTS = 20


class RunTimes:
    """Keeps measured run times by class."""

    def __init__(self):
        self._windows = collections.defaultdict(SlidingWindow)

    def add(self, work_class: str, run_s: float) -> None:
        """Adds the run time of a finished task in seconds."""
        self._windows[work_class].add(run_s)

    def median_run_s(self, work_class: WorkClass) -> float:
        """Returns the median run time in seconds.

        This is the declared time while there are too few measurements.
        """
        return self._quantile_s(work_class, 0.5)

    def is_long(self, work_class: WorkClass, *, age_s: float = 0.0) -> bool:
        """Returns whether a task counts as long.

        Args:
            work_class: Class of the task.
            age_s: Time that the task has run, in seconds.
        """
        if self.median_run_s(work_class) > LONG_TASK_S:
            return True
        return self.is_straggler(work_class, age_s)

    def is_straggler(self, work_class: WorkClass, age_s: float) -> bool:
        """Returns whether a task has run much longer than others of its class.

        Args:
            work_class: Class of the task.
            age_s: Time that the task has run, in seconds.
        """
        p95_s = self._quantile_s(work_class, STRAGGLER_QUANTILE)
        return age_s > STRAGGLER_FACTOR * p95_s

    def _quantile_s(self, work_class, fraction):
        window = self._windows[work_class.name]
        if len(window) < MIN_MEASUREMENTS:
            return work_class.expected_s
        return window.quantile(fraction)
