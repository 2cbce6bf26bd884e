"""Advice received for a step, and the executors to request it for.

Advice about an executor does not change, but its ticket expires. Tasks are
placed on executors that are known to be good. Expired tickets are renewed only
for the executors of a placement plan, whose resources stay reserved meanwhile.
"""

__all__ = [
    "TICKET_MARGIN_S",
    "advice_call_s",
    "executors_to_renew",
    "extra_executors_to_renew",
    "first_advice_calls",
    "record_advice",
    "valid_ticket",
]

import math
from collections.abc import Iterable, Mapping, Sequence

from dragonflybank.cell.advice_spending import (
    MIN_EXECUTORS_PER_CALL,
    count_executors_to_name,
    max_executors_to_name,
)
from dragonflybank.cell.jobs import AdviceTiming
from dragonflybank.cell.state import Executor, ExecutorAdvice, StepState

# Number of concurrent calls for a gang, and the number of executors named in
# them as a multiple of what one call names.
GANG_CALLS = 3
GANG_NAMED_FACTOR = 2
# A gang needs all of its members at once, so it asks for spare capacity.
GANG_SPARE_FACTOR = 1.5
# A ticket must still be valid when the start command arrives, even in another
# region.
TICKET_MARGIN_S = 0.25
# Time that a call may take beyond its declared duration: the wait for an idle
# host, and the path through a peer in another region.
CALL_OVERHEAD_S = 0.5


def first_advice_calls(
    step: StepState,
    waiting: int,
    unknown: Sequence[Executor],
    *,
    has_idle_slots: bool,
    good_share: float,
    other_millicores: int = 0,
) -> list[list[str]]:
    """Returns the executors to name in the first calls for a step.

    A call names as many executors as the step should need, and at most as many
    as double the fixed time of the call. A gang is placed as a whole and needs
    many good executors, so it gets several concurrent calls if no other step
    waits for a call.

    Args:
        step: The step, whose queue requires advice.
        waiting: Number of its waiting tasks.
        unknown: Executors without advice.
        has_idle_slots: Whether hosts are idle and no step waits for a call.
        good_share: Expected share of good executors.
        other_millicores: CPU cores that other steps will take from the same
            executors during the call, in thousandths of a core.

    Returns:
        Executor identifiers for each call; the calls are made concurrently.
    """
    most = max_executors_to_name(step.job_state.queue.advised)
    by_capacity = sorted(unknown, key=lambda e: -e.free_millicores)
    needed = count_executors_to_name(
        step,
        waiting,
        by_capacity,
        good_share=good_share,
        other_millicores=other_millicores,
    )
    if step.spec.gang:
        needed = math.ceil(GANG_SPARE_FACTOR * needed)
        if has_idle_slots:
            most *= GANG_NAMED_FACTOR
    count = min(most, max(MIN_EXECUTORS_PER_CALL, needed))
    named = [executor.info.id for executor in by_capacity[:count]]
    is_split = step.spec.gang and has_idle_slots and len(named) > GANG_CALLS
    size = math.ceil(len(named) / (GANG_CALLS if is_split else 1))
    return [named[n : n + size] for n in range(0, len(named), size)]


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
    free_places = max_executors_to_name(timing) - len(named)
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
    received_at: float = float("inf"),
) -> None:
    """Records the reply to a call for advice about a step.

    Args:
        step: The step.
        asked: Identifiers of the executors that the call named.
        tickets: Tickets by identifier of the executor.
        valid_until: Time until which the tickets are used.
        received_at: Time of the reply, before which the tickets were issued;
            infinity if it is not known.
    """
    for executor in asked:
        step.advice_by_executor[executor] = ExecutorAdvice(
            tickets.get(executor, ""), valid_until, received_at
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


def _time_to_next_end_s(executor: Executor, now: float) -> float:
    """Returns the expected time in seconds until an attempt ends."""
    return min(
        (attempt.remaining_s(now) for attempt in executor.attempts.values()),
        default=0.0,
    )
