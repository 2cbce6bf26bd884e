"""Which incarnation of an executor answered a command.

An executor may restart under its identifier, and calls that were meant for its
former incarnation then reach the new one. Answers to commands don't name the
incarnation, but they contain its monotonic clock, which starts anew with each
one, at any value.
"""

__all__ = [
    "CLOCK_MARGIN_S",
    "MIN_CLOCK_RATE",
    "Answerer",
    "identify_answerer",
]

import enum

from dragonflybank.cell.state import Executor

# An executor's clock may run 2% slow.
MIN_CLOCK_RATE = 0.98
# Covers that clocks are read and sent in whole milliseconds.
CLOCK_MARGIN_S = 0.02
# Longest time from an executor's reading of its clock until the leader has
# processed the reply. If it takes longer, the executor is polled once more.
MAX_REPLY_AGE_S = 1.0


class Answerer(enum.StrEnum):
    """Incarnation that answered a command.

    Attributes:
        KNOWN: The incarnation that last answered a poll of this leader.
        NEWER: A later one, of which the leader hasn't heard yet.
        UNKNOWN: The answer has no clock, or no poll was answered yet.
    """

    KNOWN = "known"
    NEWER = "newer"
    UNKNOWN = "unknown"


def identify_answerer(
    executor: Executor, clock_s: float | None, sent_at: float, now: float
) -> Answerer:
    """Returns which incarnation answered a command.

    A newer one is taken for the known one only if its clock happens to be less
    than about a second off.

    Args:
        executor: The executor.
        clock_s: Its clock in the answer, in seconds; None if there is none.
        sent_at: Time at which the command was sent, in seconds on the leader's
            clock.
        now: Time at which the answer arrived.
    """
    if clock_s is None or not executor.answered_incarnation:
        return Answerer.UNKNOWN
    passed_s = sent_at - executor.last_reply_at
    rate = MIN_CLOCK_RATE if passed_s > 0 else 1.0
    least_s = executor.clock_s + rate * passed_s - CLOCK_MARGIN_S
    most_s = executor.clock_s + now - executor.last_reply_at + MAX_REPLY_AGE_S
    return Answerer.KNOWN if least_s <= clock_s <= most_s else Answerer.NEWER
