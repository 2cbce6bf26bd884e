"""One structured log line for each routing or placement decision."""

__all__ = ["Decision", "DecisionLog", "log_decision"]

import collections
import json
import logging

import attrs

_log = logging.getLogger("dragonflybank.decisions")
# Decisions kept in memory for `explain`; about 300 bytes each.
MAX_KEPT_DECISIONS = 4096


@attrs.frozen
class Decision:
    """A routing or placement decision.

    Attributes:
        at: Seconds since 1970.
        kind: What was decided, as ``place``, ``forward`` or ``refuse``.
        subject: The request or job, as ``team/key``.
        chosen: The worker, host or region chosen, empty if none.
        reason: Why, in a few words.
        passed_over: Alternatives and why each was not taken.
        code: Numbered result code.
    """

    at: float
    kind: str
    subject: str
    chosen: str = ""
    reason: str = ""
    passed_over: tuple[tuple[str, str], ...] = ()
    code: int = 0


class DecisionLog:
    """The latest decisions of a process, by subject."""

    def __init__(self, capacity: int = MAX_KEPT_DECISIONS):
        self._latest = collections.deque(maxlen=capacity)

    def add(self, decision: Decision) -> None:
        """Logs a decision and keeps it for `explain`."""
        log_decision(decision)
        self._latest.append(decision)

    def for_subject(self, subject: str) -> list[Decision]:
        """Returns the kept decisions about a subject, oldest first."""
        return [d for d in self._latest if d.subject == subject]

    def of_kind(self, kind: str) -> list[Decision]:
        """Returns the kept decisions of a kind, oldest first."""
        return [d for d in self._latest if d.kind == kind]


def log_decision(decision: Decision) -> None:
    """Writes one JSON log line for a decision."""
    if _log.isEnabledFor(logging.INFO):
        _log.info(json.dumps(attrs.asdict(decision), separators=(",", ":")))
