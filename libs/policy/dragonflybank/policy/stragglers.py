"""Long work and stragglers, told by measured run times (D12)."""

__all__ = ["RunTimes"]

import collections

from dragonflybank.model.work import WorkClass
from dragonflybank.policy.windows import Window

# Work that holds a slot for longer than the bound on the start of urgent
# work can by itself make a lookup late.
LONG_S = 1.2
STRAGGLER_FACTOR = 4.0
STRAGGLER_PART = 0.95
MIN_MEASURED = 20


class RunTimes:
    """Measured run times by class."""

    def __init__(self):
        self._windows = collections.defaultdict(Window)

    def add(self, work_class: str, run_s: float) -> None:
        """Adds the run time of a finished task in seconds."""
        self._windows[work_class].add(run_s)

    def median_run_s(self, work_class: WorkClass) -> float:
        """Returns the median run time, the declared one until measured."""
        return self._percentile(work_class, 0.5)

    def is_long(self, work_class: WorkClass, *, age_s: float = 0.0) -> bool:
        """Returns whether a task counts as long.

        Args:
            work_class: Class of the task.
            age_s: For how long the task has run, in seconds.
        """
        if self.median_run_s(work_class) > LONG_S:
            return True
        return self.is_straggler(work_class, age_s)

    def is_straggler(self, work_class: WorkClass, age_s: float) -> bool:
        """Returns whether a running task is older than its class explains.

        Args:
            work_class: Class of the task.
            age_s: For how long the task has run, in seconds.
        """
        p95_s = self._percentile(work_class, STRAGGLER_PART)
        return age_s > STRAGGLER_FACTOR * p95_s

    def _percentile(self, work_class, part):
        window = self._windows[work_class.name]
        if len(window) < MIN_MEASURED:
            return work_class.expected_s
        return window.percentile(part)
