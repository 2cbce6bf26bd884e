"""What calls for advice are spent on: how many executors to name.

The advice service takes a fixed time for a call and additional time for each
executor that is named, and handles one call at a time for each host. A call
that names too few executors is followed by another one; a call that names too
many occupies its host for longer.
"""

__all__ = [
    "AdviceHistory",
    "count_executors_to_name",
    "max_executors_to_name",
    "pending_demand",
]

import itertools
import math
from collections.abc import Iterable, Sequence

from dragonflybank.cell.capacity import count_fitting_tasks
from dragonflybank.cell.jobs import AdviceTiming
from dragonflybank.cell.state import Executor, StepState

# The advice service accepts at most this many executors in a call.
MAX_EXECUTORS_PER_CALL = 100
MIN_EXECUTORS_PER_CALL = 4
# A gang names executors for two calls at most.
MAX_EXECUTORS_COUNTED = 2 * MAX_EXECUTORS_PER_CALL
# Share of good executors that is expected before there is any advice, and its
# weight as a number of executors.
INITIAL_GOOD_SHARE = 0.3
INITIAL_WEIGHT = 30
MIN_GOOD_SHARE = 0.05
# Older advice is forgotten as new advice arrives, so that the share follows a
# changed policy.
MAX_WEIGHT = 2000


class AdviceHistory:
    """The share of good executors in the advice for each queue.

    Which executors are good differs from step to step. Their share is a
    property of the queue's policy.
    """

    def __init__(self):
        self._asked: dict[str, float] = {}
        self._good: dict[str, float] = {}

    def record(self, queue: str, *, asked: int, good: int) -> None:
        """Records the answer to a call about executors without advice."""
        total = self._asked.get(queue, 0.0)
        kept = min(1.0, MAX_WEIGHT / max(1.0, total + asked))
        self._asked[queue] = kept * (total + asked)
        self._good[queue] = kept * (self._good.get(queue, 0.0) + good)

    def good_share(self, queue: str) -> float:
        """Returns the expected share of good executors among those named.

        Example:
            >>> history = AdviceHistory()
            >>> history.record("lookup", asked=270, good=201)
            >>> history.good_share("lookup")
            0.7
        """
        good = self._good.get(queue, 0.0) + INITIAL_GOOD_SHARE * INITIAL_WEIGHT
        asked = self._asked.get(queue, 0.0) + INITIAL_WEIGHT
        return max(MIN_GOOD_SHARE, good / asked)


def count_executors_to_name(
    step: StepState,
    waiting: int,
    executors: Sequence[Executor],
    *,
    good_share: float,
    other_millicores: int = 0,
) -> int:
    """Returns how many executors to name so that all waiting tasks should fit.

    Args:
        step: The step.
        waiting: Number of its waiting tasks.
        executors: Executors without advice, those with most free CPU cores
            first.
        good_share: Expected share of good executors.
        other_millicores: CPU cores that other steps will take from the same
            executors during the call, in thousandths of a core.
    """
    spec = step.spec
    most = spec.max_per_executor or spec.count
    # No caller names more; in a large cell most executors are not looked at.
    looked_at = itertools.islice(executors, MAX_EXECUTORS_COUNTED)
    fits = (count_fitting_tasks(e, spec) for e in looked_at)
    needed = waiting
    if spec.millicores and not spec.filling:
        needed += other_millicores // spec.millicores
    totals = itertools.accumulate(min(fit, most) for fit in fits)
    short = itertools.takewhile(lambda total: total < needed, totals)
    enough = sum(1 for _ in short) + 1
    return math.ceil(enough / good_share)


def max_executors_to_name(timing: AdviceTiming) -> int:
    """Returns how many executors double the fixed time of a call."""
    if timing.each_s <= 0:
        return MAX_EXECUTORS_PER_CALL
    most = int(timing.base_s / timing.each_s)
    return min(MAX_EXECUTORS_PER_CALL, max(MIN_EXECUTORS_PER_CALL, most))


def pending_demand(
    steps: Iterable[StepState], service: str, priority: int
) -> int:
    """Returns the CPU cores that steps in a call for advice are waiting for.

    All of them ask about the executors with most free capacity.

    Args:
        steps: Steps with waiting tasks.
        service: Service of the executors.
        priority: Lowest priority to count, as the largest number.

    Returns:
        CPU cores in thousandths of a core.
    """
    return sum(
        step.spec.millicores * len(step.waiting_tasks())
        for step in steps
        if step.advice_pending
        and not step.awaiting_tickets
        and not step.spec.filling
        and step.job_state.queue.service == service
        and step.job_state.queue.priority <= priority
    )
