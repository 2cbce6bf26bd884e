"""Resource grants estimated from the measured peak usage of a class."""

__all__ = ["SizeEstimator", "clamp_to_worker"]

import collections
from collections.abc import Collection

import attrs
from returns.result import Result, Success

from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.resources import Resources, fits, scale_resources
from dragonflybank.policy.windows import SlidingWindow

PEAK_QUANTILE = 0.95
PEAK_MARGIN_FACTOR = 1.2
# With fewer measurements the 95th percentile is the maximum.
MIN_MEASUREMENTS = 20


class SizeEstimator:
    """Keeps measured peaks by class and derives grants from them."""

    def __init__(self):
        self._cores = collections.defaultdict(SlidingWindow)
        self._memory_mb = collections.defaultdict(SlidingWindow)

    def add(self, work_class: str, peak: Resources) -> None:
        """Adds the peak usage of a finished task."""
        self._cores[work_class].add(peak.cores)
        self._memory_mb[work_class].add(peak.memory_mb)

    def estimated_size(self, work_class: str) -> Resources:
        """Returns the estimated cores and memory, zero without enough data."""
        if len(self._cores[work_class]) < MIN_MEASUREMENTS:
            return Resources()
        return Resources(
            cores=PEAK_MARGIN_FACTOR
            * self._cores[work_class].quantile(PEAK_QUANTILE),
            memory_mb=PEAK_MARGIN_FACTOR
            * self._memory_mb[work_class].quantile(PEAK_QUANTILE),
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
            sizes: Distinct sizes of the workers of the deployment.
            factor: 1 for the first attempt, doubled after each attempt that
                exceeded its size.

        Returns:
            The larger of the declared and the estimated size, times the
            factor and at most the size of the largest worker;
            ``CAN_NEVER_RUN`` if no worker can hold the declared size;
            ``SIZE_EXCEEDED`` if the previous attempt already had the memory
            of the largest worker.
        """
        large_enough = [size for size in sizes if fits(declared, size)]
        if not large_enough:
            return failure(
                Code.CAN_NEVER_RUN,
                "no worker of the deployment can hold the declared size",
                field="size",
            )
        largest = max(
            large_enough, key=lambda size: (size.memory_mb, size.cores)
        )
        estimated_size = self.estimated_size(work_class)
        base = attrs.evolve(
            declared,
            cores=max(declared.cores, estimated_size.cores),
            memory_mb=max(declared.memory_mb, estimated_size.memory_mb),
        )
        before_mb = base.memory_mb * factor / 2
        if factor > 1.0 and before_mb >= largest.memory_mb:
            return failure(
                Code.SIZE_EXCEEDED,
                "the task exceeded the memory of the largest worker",
                field="size",
            )
        return Success(clamp_to_worker(scale_resources(base, factor), largest))


def clamp_to_worker(amounts: Resources, size: Resources) -> Resources:
    """Limits cores and memory to a worker's size."""
    return attrs.evolve(
        amounts,
        cores=min(amounts.cores, size.cores),
        memory_mb=min(amounts.memory_mb, size.memory_mb),
    )
