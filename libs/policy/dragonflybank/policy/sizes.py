"""Grants learned from the measured peaks of a class (D11)."""

__all__ = ["SizeEstimator", "limited"]

import collections
from collections.abc import Collection

import attrs
from returns.result import Result, Success

from dragonflybank.model.codes import Code, Problem, problem
from dragonflybank.model.resources import Resources, fits, scaled
from dragonflybank.policy.windows import Window

PEAK_PART = 0.95
PEAK_FACTOR = 1.2
# With fewer measurements the 95th percentile is the largest one.
MIN_MEASURED = 20


class SizeEstimator:
    """Measured peaks of each class and the grants that follow from them."""

    def __init__(self):
        self._cores = collections.defaultdict(Window)
        self._memory_mb = collections.defaultdict(Window)

    def add(self, work_class: str, peak: Resources) -> None:
        """Adds the largest measured use of a finished task."""
        self._cores[work_class].add(peak.cores)
        self._memory_mb[work_class].add(peak.memory_mb)

    def learned(self, work_class: str) -> Resources:
        """Returns the learned cores and memory, zero if not yet known."""
        if len(self._cores[work_class]) < MIN_MEASURED:
            return Resources()
        return Resources(
            cores=PEAK_FACTOR * self._cores[work_class].percentile(PEAK_PART),
            memory_mb=PEAK_FACTOR
            * self._memory_mb[work_class].percentile(PEAK_PART),
        )

    def grant(
        self,
        work_class: str,
        declared: Resources,
        sizes: Collection[Resources],
        *,
        factor: float = 1.0,
    ) -> Result[Resources, Problem]:
        """Returns the grant for the next attempt of a task.

        Args:
            work_class: Name of the class.
            declared: Declared size.
            sizes: Distinct sizes of the workers of the cell.
            factor: 1 for the first attempt, doubled after each attempt that
                was stopped for its size.

        Returns:
            The larger of the declared and the learned size times the factor,
            at most the size of a worker; ``CAN_NEVER_RUN`` if no worker can
            hold the declared size; ``SIZE_EXCEEDED`` if the attempt before
            had the memory of the largest worker already.
        """
        able = [size for size in sizes if fits(declared, size)]
        if not able:
            return problem(
                Code.CAN_NEVER_RUN,
                "no worker of the cell can hold the declared size",
                field="size",
            )
        largest = max(able, key=lambda size: (size.memory_mb, size.cores))
        learned = self.learned(work_class)
        base = attrs.evolve(
            declared,
            cores=max(declared.cores, learned.cores),
            memory_mb=max(declared.memory_mb, learned.memory_mb),
        )
        before_mb = base.memory_mb * factor / 2
        if factor > 1.0 and before_mb >= largest.memory_mb:
            return problem(
                Code.SIZE_EXCEEDED,
                "the task exceeded the memory of the largest worker",
                field="size",
            )
        return Success(limited(scaled(base, factor), largest))


def limited(amounts: Resources, size: Resources) -> Resources:
    """Returns amounts whose cores and memory are within a worker's size."""
    return attrs.evolve(
        amounts,
        cores=min(amounts.cores, size.cores),
        memory_mb=min(amounts.memory_mb, size.memory_mb),
    )
