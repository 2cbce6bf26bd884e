"""Which executors a step may run on, by the advice received so far.

Advice on an executor does not change, but its ticket expires. A plan is made
on executors known to be good; expired tickets are asked for again only for
the executors of a plan, while the plan keeps its room.
"""

__all__ = [
    "TICKET_MARGIN_S",
    "Needed",
    "ask_cost_s",
    "executors_needed",
    "extra_renewals",
    "first_calls",
    "needed_advice",
    "take_advice",
    "ticket_for",
    "to_renew",
]

import itertools
import math
from collections.abc import Iterable, Mapping, Sequence

import attrs

from dragonflybank.cell.capacity import fits
from dragonflybank.cell.jobs import AdviceTiming
from dragonflybank.cell.state import Executor, StepState, Verdict

# Calls at the same time for a gang, and executors named in them in multiples
# of what one call names.
GANG_CALLS = 3
GANG_FACTOR = 2
# Share of the executors that a step may use, where it is not known yet.
GOOD_SHARE = 0.3
# The advice service takes at most this many executors in a call.
MAX_NAMED = 100
MIN_NAMED = 4
# A ticket must live until the start has arrived, also in another region.
TICKET_MARGIN_S = 0.25
# Time that a call may take beyond its declared time: the wait for a free line
# and the way over a peer in another region.
ASK_EXTRA_S = 0.5


@attrs.frozen
class Needed:
    """What is known of the executors that a step could use.

    Attributes:
        good: Executors that may run it.
        unknown: Executors on which there is no advice.
    """

    good: tuple[Executor, ...]
    unknown: tuple[Executor, ...]


def needed_advice(step: StepState, executors: Iterable[Executor]) -> Needed:
    """Splits executors by the advice known for a step."""
    good, unknown = [], []
    for executor in executors:
        verdict = step.verdicts.get(executor.info.id)
        if verdict is None:
            unknown.append(executor)
        elif verdict.ticket:
            good.append(executor)
    return Needed(tuple(good), tuple(unknown))


def first_calls(
    step: StepState,
    waiting: int,
    unknown: Sequence[Executor],
    *,
    has_idle_lines: bool,
) -> list[list[str]]:
    """Returns the executors to name in calls at the same time.

    In one call, no more are named than cost as much as the call itself. A gang
    is placed whole, so that all that may be good for it counts; it gets
    several calls if nobody else waits for one.

    Args:
        step: The step, whose queue is advised.
        waiting: Number of its waiting tasks.
        unknown: Executors on which there is no advice.
        has_idle_lines: Whether calls can be made that nobody waits for.
    """
    most = _most_named(step.job.job.queue.advised)
    count = most
    if not step.spec.gang:
        needed = executors_needed(step, waiting, unknown)
        count = min(most, max(MIN_NAMED, needed))
    elif has_idle_lines:
        count = GANG_FACTOR * most
    by_room = sorted(unknown, key=lambda e: -e.free_millicores)
    named = [executor.info.id for executor in by_room[:count]]
    calls = GANG_CALLS if len(named) > most else 1
    size = math.ceil(len(named) / calls)
    return [named[n : n + size] for n in range(0, len(named), size)]


def executors_needed(
    step: StepState, waiting: int, executors: Sequence[Executor]
) -> int:
    """Returns how many executors to name so that a step finds room.

    Args:
        step: The step.
        waiting: Number of its waiting tasks.
        executors: Executors on which there is no advice.
    """
    by_room = sorted((fits(e, step.spec) for e in executors), reverse=True)
    most_fit = step.spec.max_per_executor or step.spec.count
    found = itertools.accumulate(min(fit, most_fit) for fit in by_room)
    enough = sum(room < waiting for room in found) + 1
    return math.ceil(enough / GOOD_SHARE)


def extra_renewals(
    advised: AdviceTiming,
    named: Sequence[str],
    others: Iterable[Executor],
    now: float,
) -> list[str]:
    """Returns executors to name in a renewal beside those of its plan.

    A step that goes on waiting uses their tickets as soon as room is free on
    them, instead of a call for each single task. So many are named that they
    cost no more than the call itself.

    Args:
        advised: The queue's advice.
        named: Executors of the plan.
        others: Other executors that may run the step.
        now: Present time.
    """
    room = _most_named(advised) - len(named)
    soon = sorted(others, key=lambda e: (_frees_in_s(e, now), e.info.id))
    return [executor.info.id for executor in soon[: max(0, room)]]


def ask_cost_s(advised: AdviceTiming, count: int) -> float:
    """Returns the declared time of a call in seconds."""
    return advised.base_s + count * advised.each_s


def take_advice(
    step: StepState,
    asked: Iterable[str],
    tickets: Mapping[str, str],
    *,
    valid_until: float,
) -> None:
    """Adds the answer to a call to what is known for a step."""
    for executor in asked:
        step.verdicts[executor] = Verdict(
            tickets.get(executor, ""), valid_until
        )


def ticket_for(step: StepState, executor: str, now: float) -> str | None:
    """Returns a valid ticket, or None if it has to be asked for again."""
    verdict = step.verdicts.get(executor)
    if verdict is None or not verdict.ticket:
        return None
    return verdict.ticket if verdict.valid_until > now else None


def to_renew(
    step: StepState, used: Iterable[str], advised: AdviceTiming, now: float
) -> list[str]:
    """Returns the executors of a plan to ask for before it can be begun.

    None if all tickets are valid. Otherwise also those whose tickets would
    expire during the call, since a plan is begun whole.
    """
    used = list(used)
    if all(ticket_for(step, executor, now) for executor in used):
        return []
    ready_at = now + ask_cost_s(advised, len(used)) + ASK_EXTRA_S
    return [e for e in used if not ticket_for(step, e, ready_at)]


def _most_named(advised: AdviceTiming) -> int:
    """Returns the number of executors that cost as much as a call itself."""
    if advised.each_s <= 0:
        return MAX_NAMED
    most = int(advised.base_s / advised.each_s)
    return min(MAX_NAMED, max(MIN_NAMED, most))


def _frees_in_s(executor: Executor, now: float) -> float:
    """Returns the time until something that runs on an executor ends."""
    return min(
        (attempt.remaining_s(now) for attempt in executor.attempts.values()),
        default=0.0,
    )
