"""Advice received for a step, and the executors to request it for.

Advice about an executor does not change, but its ticket expires. Tasks are
placed on executors that are known to be good. Expired tickets are renewed only
for the executors of a placement plan, whose resources stay reserved meanwhile.
"""

__all__ = [
    "TICKET_MARGIN_S",
    "AdviceSplit",
    "advice_call_s",
    "count_executors_to_name",
    "executors_to_renew",
    "extra_executors_to_renew",
    "first_advice_calls",
    "record_advice",
    "split_by_advice",
    "valid_ticket",
]

import itertools
import math
from collections.abc import Iterable, Mapping, Sequence

import attrs

from dragonflybank.cell.capacity import count_fitting_tasks
from dragonflybank.cell.jobs import AdviceTiming
from dragonflybank.cell.state import Executor, ExecutorAdvice, StepState

# Number of concurrent calls for a gang, and the number of executors named in
# them as a multiple of what one call names.
GANG_CALLS = 3
GANG_NAMED_FACTOR = 2
# Expected share of good executors among those without advice.
EXPECTED_GOOD_SHARE = 0.3
# The advice service accepts at most this many executors in a call.
MAX_EXECUTORS_PER_CALL = 100
MIN_EXECUTORS_PER_CALL = 4
# A ticket must still be valid when the start command arrives, even in another
# region.
TICKET_MARGIN_S = 0.25
# Time that a call may take beyond its declared duration: the wait for an idle
# host, and the path through a peer in another region.
CALL_OVERHEAD_S = 0.5


@attrs.frozen
class AdviceSplit:
    """Executors split by the advice about them.

    Attributes:
        good: Executors that may run the step.
        unknown: Executors without advice.
    """

    good: tuple[Executor, ...]
    unknown: tuple[Executor, ...]


def split_by_advice(
    step: StepState, executors: Iterable[Executor]
) -> AdviceSplit:
    """Splits executors by the advice known for a step."""
    good, unknown = [], []
    for executor in executors:
        advice = step.advice_by_executor.get(executor.info.id)
        if advice is None:
            unknown.append(executor)
        elif advice.ticket:
            good.append(executor)
    return AdviceSplit(tuple(good), tuple(unknown))


def first_advice_calls(
    step: StepState,
    waiting: int,
    unknown: Sequence[Executor],
    *,
    has_idle_slots: bool,
) -> list[list[str]]:
    """Returns the executors to name in the first calls for a step.

    A call takes a fixed time and additional time for each executor. It names at
    most as many executors as double the fixed time. A gang is placed as a whole
    and needs many good executors, so it gets several concurrent calls if no
    other step waits for a call.

    Args:
        step: The step, whose queue requires advice.
        waiting: Number of its waiting tasks.
        unknown: Executors without advice.
        has_idle_slots: Whether hosts are idle and no call waits.

    Returns:
        Executor identifiers for each call; the calls are made concurrently.
    """
    most = _max_named(step.job_state.job.queue.advised)
    count = most
    if not step.spec.gang:
        needed = count_executors_to_name(step, waiting, unknown)
        count = min(most, max(MIN_EXECUTORS_PER_CALL, needed))
    elif has_idle_slots:
        count = GANG_NAMED_FACTOR * most
    by_capacity = sorted(unknown, key=lambda e: -e.free_millicores)
    named = [executor.info.id for executor in by_capacity[:count]]
    calls = GANG_CALLS if len(named) > most else 1
    size = math.ceil(len(named) / calls)
    return [named[n : n + size] for n in range(0, len(named), size)]


def count_executors_to_name(
    step: StepState, waiting: int, executors: Sequence[Executor]
) -> int:
    """Returns how many executors to name so that all waiting tasks should fit.

    Args:
        step: The step.
        waiting: Number of its waiting tasks.
        executors: Executors without advice.
    """
    counts = sorted(
        (count_fitting_tasks(e, step.spec) for e in executors), reverse=True
    )
    max_fit = step.spec.max_per_executor or step.spec.count
    totals = itertools.accumulate(min(fit, max_fit) for fit in counts)
    enough = sum(total < waiting for total in totals) + 1
    return math.ceil(enough / EXPECTED_GOOD_SHARE)


def extra_executors_to_renew(
    timing: AdviceTiming,
    named: Sequence[str],
    others: Iterable[Executor],
    now: float,
) -> list[str]:
    """Returns executors to add to a call that renews the tickets of a plan.

    If the step has more waiting tasks, it uses these tickets as soon as
    resources become free, instead of making a call for each task. The number of
    executors in the call is limited as for `first_advice_calls`.

    Args:
        timing: Timing of the queue's advice.
        named: Executors of the plan.
        others: Other executors that may run the step.
        now: Current time.
    """
    free_places = _max_named(timing) - len(named)
    soon = sorted(
        others, key=lambda e: (_time_to_next_end_s(e, now), e.info.id)
    )
    return [executor.info.id for executor in soon[: max(0, free_places)]]


def advice_call_s(timing: AdviceTiming, count: int) -> float:
    """Returns the declared duration of a call in seconds."""
    return timing.base_s + count * timing.each_s


def record_advice(
    step: StepState,
    asked: Iterable[str],
    tickets: Mapping[str, str],
    *,
    valid_until: float,
) -> None:
    """Records the reply to a call for advice about a step."""
    for executor in asked:
        step.advice_by_executor[executor] = ExecutorAdvice(
            tickets.get(executor, ""), valid_until
        )


def valid_ticket(step: StepState, executor: str, now: float) -> str | None:
    """Returns the ticket if it is valid, otherwise None."""
    advice = step.advice_by_executor.get(executor)
    if advice is None or not advice.ticket:
        return None
    return advice.ticket if advice.valid_until > now else None


def executors_to_renew(
    step: StepState, used: Iterable[str], timing: AdviceTiming, now: float
) -> list[str]:
    """Returns the executors of a plan whose tickets must be renewed first.

    The list is empty if all tickets are valid. Otherwise it includes those
    whose tickets would expire during the call, since all attempts of a plan
    are started together.
    """
    used = list(used)
    if all(valid_ticket(step, executor, now) for executor in used):
        return []
    ready_at = now + advice_call_s(timing, len(used)) + CALL_OVERHEAD_S
    return [e for e in used if not valid_ticket(step, e, ready_at)]


def _max_named(timing: AdviceTiming) -> int:
    """Returns how many executors double the fixed time of a call."""
    if timing.each_s <= 0:
        return MAX_EXECUTORS_PER_CALL
    most = int(timing.base_s / timing.each_s)
    return min(MAX_EXECUTORS_PER_CALL, max(MIN_EXECUTORS_PER_CALL, most))


def _time_to_next_end_s(executor: Executor, now: float) -> float:
    """Returns the expected time in seconds until an attempt ends."""
    return min(
        (attempt.remaining_s(now) for attempt in executor.attempts.values()),
        default=0.0,
    )
