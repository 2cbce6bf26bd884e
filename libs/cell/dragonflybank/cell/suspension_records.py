"""Stored suspensions of executors' leases, and when each of them began.

Hosts share no clock: wall clocks may jump, and monotonic clocks start at any
value. A stored record therefore holds durations only. Each host notes on its
own monotonic clock when a suspension began, as the leader tells it, so that a
host that is elected later counts from the same moment as its predecessors.
"""

__all__ = [
    "LateStart",
    "Suspension",
    "SuspensionAge",
    "SuspensionRecord",
    "SuspensionTimes",
    "decode_first_term",
    "encode_terms",
]

from collections.abc import Iterable

import attrs
import msgspec

# Longer than any hold, after which a suspension's begin doesn't matter.
TIMES_KEPT_S = 120.0


@attrs.frozen
class LateStart:
    """An attempt whose start may be carried out after the suspension began.

    Attributes:
        task: Identifier of the task.
        attempt: Number of the attempt.
        held_s: See `Suspension.held_s`.
    """

    task: str
    attempt: int
    held_s: float


@attrs.frozen
class Suspension:
    """An executor at which no leader renews the lease or starts an attempt.

    Attributes:
        executor: Identifier of the executor.
        incarnation: Incarnation that last answered the leader that suspended
            it; 0 if none did.
        term: Term of that leader.
        number: Number of the suspension in that term.
        held_s: Time after its begin from which none of the attempts runs that
            were placed there before, in seconds.
        late: Attempts to which a longer time applies.
        age_s: Time from its begin until the record was encoded, in seconds.
    """

    executor: str
    incarnation: int
    term: int
    number: int
    held_s: float
    late: tuple[LateStart, ...] = ()
    age_s: float = 0.0

    @property
    def key(self) -> tuple[int, int]:
        """Term and number, which identify it in the cell."""
        return self.term, self.number

    @property
    def longest_held_s(self) -> float:
        """Time after its begin from which nothing runs, in seconds."""
        return max(self.held_s, *(late.held_s for late in self.late), 0.0)

    def held_s_of(self, task: str, attempt: int) -> float:
        """Returns the time after its begin for which an attempt may run.

        Args:
            task: Identifier of the task.
            attempt: Number of the attempt.

        Example:
            >>> late = LateStart("5c0e.0.0.1", 2, held_s=12.5)
            >>> found = Suspension("e1", 7, 1, 1, 6.1, (late,))
            >>> [found.held_s_of(f"5c0e.0.0.{n}", 2) for n in (0, 1)]
            [6.1, 12.5]
        """
        return next(
            (
                late.held_s
                for late in self.late
                if (late.task, late.attempt) == (task, attempt)
            ),
            self.held_s,
        )


@attrs.frozen
class SuspensionRecord:
    """The stored suspensions of a cell.

    Attributes:
        suspensions: The suspensions.
    """

    suspensions: tuple[Suspension, ...] = ()


@attrs.frozen
class SuspensionAge:
    """How long ago a suspension began, as a leader tells another host.

    Attributes:
        term: See `Suspension.term`.
        number: See `Suspension.number`.
        age_s: Time from its begin until the message was sent, in seconds.
    """

    term: int
    number: int
    age_s: float


class SuspensionTimes:
    """When suspensions began, on a host's own monotonic clock.

    A message is received after it was sent, so that a time may be too late but
    never too early: what is counted from it lasts long enough.

    Attributes:
        revision: Revision of the stored record whose suspensions are known.
    """

    def __init__(self):
        self.revision = 0
        self._began_at: dict[tuple[int, int], float] = {}

    def learn(
        self, ages: Iterable[SuspensionAge], revision: int, now: float
    ) -> None:
        """Notes the ages of suspensions that a leader has sent.

        Args:
            ages: The ages.
            revision: Revision of the stored record that they belong to.
            now: Time at which they were received.
        """
        for age in ages:
            self.note((age.term, age.number), now - age.age_s)
        self.revision = revision
        self._began_at = {
            key: began_at
            for key, began_at in self._began_at.items()
            if now - began_at < TIMES_KEPT_S
        }

    def note(self, key: tuple[int, int], began_at: float) -> float:
        """Notes a time of a suspension's begin; returns the earliest known.

        Args:
            key: See `Suspension.key`.
            began_at: Time at which it had begun at the latest.

        Example:
            >>> times = SuspensionTimes()
            >>> times.note((3, 1), 50.0), times.note((3, 1), 54.0)
            (50.0, 50.0)
        """
        self._began_at[key] = min(began_at, self._began_at.get(key, began_at))
        return self._began_at[key]


def encode_terms(first_term: int, last_term: int) -> bytes:
    """Returns the value that tells in which terms suspensions were kept to.

    Args:
        first_term: First of these terms, which follow each other.
        last_term: The last one.
    """
    return msgspec.json.encode((first_term, last_term))


def decode_first_term(value: bytes | None, term: int) -> int:
    """Returns since which term suspensions have been kept to without a break.

    Args:
        value: What `encode_terms` returned for an earlier term; None before.
        term: The term that begins.

    Example:
        >>> decode_first_term(encode_terms(3, 7), 8)
        3
        >>> decode_first_term(encode_terms(3, 7), 9)
        9
    """
    try:
        first, last = msgspec.json.decode(value or b"", type=tuple[int, int])
    except msgspec.DecodeError:
        return term
    return first if last == term - 1 else term
