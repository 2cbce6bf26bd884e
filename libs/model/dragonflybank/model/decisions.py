"""Structured log lines for routing and placement decisions."""

__all__ = ["Decision", "DecisionLog", "log_decision"]

import collections
import json
import logging

import attrs

_log = logging.getLogger("dragonflybank.decisions")
# Kept in memory for the explain command; a decision takes about 300 bytes.
MAX_KEPT_DECISIONS = 4096


@attrs.frozen
class Decision:
    """A routing or placement decision.

    Attributes:
        at: Seconds since 1970.
        kind: What was decided, such as ``place``, ``forward`` or ``refuse``.
        subject: The request or job, in the form ``team/key``.
        chosen: The chosen worker, host or region; empty if there is none.
        reason: The reason in a few words.
        passed_over: Pairs of a rejected alternative and the reason.
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
    """The latest decisions of a process.

    Args:
        capacity: Number of decisions that are kept in memory.
    """

    def __init__(self, capacity: int = MAX_KEPT_DECISIONS):
        self._latest = collections.deque(maxlen=capacity)

    def add(self, decision: Decision) -> None:
        """Logs a decision and keeps it in memory for the explain command."""
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
