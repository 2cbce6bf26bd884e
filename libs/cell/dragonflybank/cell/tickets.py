"""Which executors a step may run on, by the advice received so far.

Advice on an executor does not change, but its ticket expires. A plan is made
on executors known to be good; expired tickets are asked for again only for
the executors of a plan, while the plan keeps its room.
"""

__all__ = [
    "TICKET_MARGIN_S",
    "Needed",
    "ask_cost_s",
    "named_in_ask",
    "needed_advice",
    "take_advice",
    "ticket_for",
    "to_renew",
]

from collections.abc import Iterable, Mapping, Sequence

import attrs

from dragonflybank.cell.jobs import Advised
from dragonflybank.cell.state import Executor, StepState, Verdict

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


def named_in_ask(
    advised: Advised, unknown: Sequence[Executor]
) -> list[Executor]:
    """Returns the executors to name in a first call, freest first.

    So many are named that they cost no more than the call itself.
    """
    by_room = sorted(unknown, key=lambda e: -e.free_millicores)
    if advised.each_s <= 0:
        return by_room[:MAX_NAMED]
    most = int(advised.base_s / advised.each_s)
    return by_room[: min(MAX_NAMED, max(MIN_NAMED, most))]


def ask_cost_s(advised: Advised, count: int) -> float:
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
    step: StepState, used: Iterable[str], advised: Advised, now: float
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
