"""Silences and restarts of executors, read from the logs of the hosts.

An interruption of an executor begins with a call without an answer, with a
reply of a new incarnation, or with the loss of its attempts, and ends when the
executor answers again. Silences that no line ends last to the end of the logs.
"""

__all__ = [
    "Interruption",
    "find_interruptions",
    "report_by_executor",
    "report_interruptions",
]

import itertools
import math
import statistics
from collections.abc import Callable, Iterable, Sequence

import attrs

from dragonflybank.cli.attempt_history import (
    RESTART_REASON,
    AttemptHistory,
    AttemptTracker,
    EndingKind,
    next_start,
)
from dragonflybank.cli.explain import Event
from dragonflybank.operators.render import Report

_NOT_LOGGED = "not logged"
# Ends of the time in which an executor didn't answer are in its first reply.
_FIRST_REPLY_S = 0.05


@attrs.define(eq=False)
class Interruption:
    """One time in which an executor didn't answer, or one of its restarts.

    Attributes:
        executor: Identifier of the executor.
        began_at: Time of the first line about it, in seconds since 1970.
        cause: ``silent``, ``restarted`` or ``attempts lost``, as that line
            says.
        logged_attempts: Number of attempts that the first line counts; None if
            it has none.
        answered_at: Time at which the executor answered again, in seconds
            since 1970; None if it did not.
        incarnation: Incarnation that answered again; None if not logged.
        is_restarted: Whether the executor was seen to have a new incarnation.
            Earlier logs show that by a second claim.
        lost: Number of attempts that were taken to be over.
        lost_unnamed: How many of them no line names, as in earlier logs.
        kept: Number of attempts that may still run when it answers again.
        attempts: Attempts that were on it, or were placed on it meanwhile.
        delays_s: Time from the begin to the next start of each task that was
            started again because of it, in seconds.
        releases_s: Time from the begin until the attempts of these tasks were
            taken to be over, in seconds, as far as it is logged.
    """

    executor: str
    began_at: float
    cause: str
    logged_attempts: int | None = None
    answered_at: float | None = None
    incarnation: int | None = None
    is_restarted: bool = False
    lost: int = 0
    lost_unnamed: int = 0
    kept: int = 0
    attempts: list[AttemptHistory] = attrs.field(factory=list)
    delays_s: list[float] = attrs.field(factory=list)
    releases_s: list[float] = attrs.field(factory=list)


def find_interruptions(events: Iterable[Event]) -> list[Interruption]:
    """Returns the interruptions of all executors in the order of their begin.

    Args:
        events: All events of the logs, in any order.
    """
    search = _Search()
    for event in sorted(events, key=lambda event: event.at):
        search.process(event)
    search.finish()
    return search.found


def report_interruptions(
    interruptions: Sequence[Interruption], origin: float
) -> Report:
    """Returns a table with one row for each interruption.

    Args:
        interruptions: The interruptions.
        origin: Time that counts as 0, in seconds since 1970.
    """
    rows = tuple(
        (
            found.executor,
            found.cause,
            *_span_cells([found], origin),
            *_count_cells([found]),
        )
        for found in interruptions
    )
    return _report("cause", rows, interruptions, origin)


def report_by_executor(
    interruptions: Sequence[Interruption], origin: float
) -> Report:
    """Returns a table with one row for each executor.

    Args:
        interruptions: The interruptions.
        origin: Time that counts as 0, in seconds since 1970.
    """
    ordered = sorted(interruptions, key=lambda found: found.executor)
    groups = itertools.groupby(ordered, key=lambda found: found.executor)
    by_executor = [(executor, list(group)) for executor, group in groups]
    rows = tuple(
        (
            executor,
            len(group),
            *_span_cells(group, origin),
            *_count_cells(group),
        )
        for executor, group in sorted(
            by_executor, key=lambda pair: pair[1][0].began_at
        )
    )
    return _report("interruptions", rows, interruptions, origin)


class _Search:
    """Finds interruptions in events in the order of their time."""

    def __init__(self):
        self.found: list[Interruption] = []
        self._tracker = AttemptTracker()
        self._current: dict[str, Interruption] = {}
        # Interruptions whose executor is not known to be claimed again.
        self._answered: dict[str, Interruption] = {}
        self._latest_by_attempt: dict[int, Interruption] = {}
        self._incarnations: dict[str, int] = {}

    def process(self, event: Event) -> None:
        """Processes the next event."""
        executor = event.fields.get("executor")
        if isinstance(executor, str):
            self._process_executor(event, executor)
        elif event.name in ("elected", "leadership lost"):
            # Each leader claims all executors.
            self._answered.clear()
        concerned = self._tracker.process(event)
        if event.name in ("place", "attempt adopted"):
            for attempt in concerned:
                current = self._current.get(attempt.executor or "")
                if current is not None:
                    self._add_attempt(current, attempt)

    def finish(self) -> None:
        """Completes the interruptions after the last event."""
        for current in self._current.values():
            _count_kept(current)
        for interruption in self.found:
            self._measure(interruption)

    def _process_executor(self, event: Event, executor: str) -> None:
        fields = event.fields
        match event.name:
            case "executor silent":
                self._begin(event, executor, "silent")
            case "executor restarted":
                self._begin(event, executor, "restarted").is_restarted = True
            case "attempts lost":
                current = self._begin(event, executor, "attempts lost")
                lost = fields.get("attempts", 0)
                current.lost += lost
                if fields.get("reason") == RESTART_REASON:
                    current.lost_unnamed += 0 if "tasks" in fields else lost
            case "executor answers again":
                self._end(event, executor)
            case "executor claimed":
                self._process_claim(event, executor)
        if event.name != "attempts lost" and "incarnation" in fields:
            self._incarnations[executor] = fields["incarnation"]

    def _begin(self, event: Event, executor: str, cause: str) -> Interruption:
        current = self._current.get(executor)
        if current is None:
            current = Interruption(
                executor, event.at, cause, event.fields.get("attempts")
            )
            self.found.append(current)
            self._current[executor] = current
            self._answered.pop(executor, None)
            for attempt in self._tracker.open_on(executor):
                self._add_attempt(current, attempt)
        return current

    def _end(self, event: Event, executor: str) -> None:
        current = self._current.pop(executor, None)
        if current is None:
            return
        current.answered_at = event.at
        _count_kept(current)
        if not current.is_restarted:
            current.incarnation = self._incarnations.get(executor)
        self._answered[executor] = current

    def _process_claim(self, event: Event, executor: str) -> None:
        incarnation = event.fields.get("incarnation")
        # A leader claims an executor again only if it has a new incarnation.
        is_restarted = executor in self._answered
        self._end(event, executor)
        answered = self._answered.pop(executor, None)
        if answered is None:
            return
        former = self._incarnations.get(executor)
        if former is not None and incarnation is not None:
            is_restarted = incarnation > former
        answered.is_restarted |= is_restarted
        answered.incarnation = incarnation

    def _add_attempt(
        self, current: Interruption, attempt: AttemptHistory
    ) -> None:
        if self._latest_by_attempt.get(id(attempt)) is not current:
            self._latest_by_attempt[id(attempt)] = current
            current.attempts.append(attempt)

    def _measure(self, interruption: Interruption) -> None:
        for attempt in interruption.attempts:
            if self._latest_by_attempt[id(attempt)] is not interruption:
                # It was still on the executor in a later interruption.
                continue
            followed = next_start(
                attempt, self._tracker.attempts_of(attempt.task)
            )
            if followed is None or not _is_cause(interruption, attempt):
                continue
            interruption.delays_s.append(followed - interruption.began_at)
            if attempt.endings:
                interruption.releases_s.append(
                    attempt.endings[0].at - interruption.began_at
                )


def _count_kept(interruption: Interruption) -> None:
    still_open = sum(attempt.is_open for attempt in interruption.attempts)
    interruption.kept = max(0, still_open - interruption.lost_unnamed)


def _is_cause(interruption: Interruption, attempt: AttemptHistory) -> bool:
    """Returns whether an interruption is why a task was started again.

    It isn't if the attempt's start was refused, or if the attempt ended by
    itself or was stopped after the executor had answered again.
    """
    answered_at = interruption.answered_at
    if answered_at is None:
        answered_at = math.inf
    if any(at > answered_at for at, _ in attempt.stops):
        return False
    first = attempt.endings[0] if attempt.endings else None
    if first is None:
        return True
    if first.kind is EndingKind.ENDED and first.detail == "broken":
        return first.at <= answered_at + _FIRST_REPLY_S
    return first.kind is not EndingKind.REFUSED and not (
        first.kind is EndingKind.ENDED and first.detail in ("done", "failed")
    )


def _span_cells(group: Sequence[Interruption], origin: float) -> tuple:
    """Returns the cells of the first begin and of the last answer."""
    last = group[-1]
    answered = "no answer"
    incarnation: object = ""
    if last.answered_at is not None:
        answered = f"{last.answered_at - origin:.3f}"
        incarnation = _NOT_LOGGED
        if last.incarnation is not None:
            incarnation = last.incarnation
    return (
        f"{group[0].began_at - origin:.3f}",
        answered,
        incarnation,
        sum(found.is_restarted for found in group),
    )


def _count_cells(group: Sequence[Interruption]) -> tuple:
    delays_s = [delay for found in group for delay in found.delays_s]
    releases_s = [each for found in group for each in found.releases_s]
    return (
        sum(len(found.attempts) for found in group),
        sum(found.lost for found in group),
        sum(found.kept for found in group),
        len(delays_s),
        *_summary(releases_s, statistics.median, max),
        *_summary(delays_s, statistics.median, _percentile_95, max),
    )


def _summary(
    values: Sequence[float], *functions: Callable[[Sequence[float]], float]
) -> tuple:
    if not values:
        return ("",) * len(functions)
    return tuple(function(values) for function in functions)


def _percentile_95(values: Sequence[float]) -> float:
    """Returns the 95th percentile by the nearest-rank method."""
    return sorted(values)[math.ceil(0.95 * len(values)) - 1]


def _report(
    second_column: str,
    rows: tuple[tuple, ...],
    interruptions: Sequence[Interruption],
    origin: float,
) -> Report:
    columns = (
        "executor",
        second_column,
        "began_s",
        "answered_s",
        "incarnation",
        "restarts",
        "attempts",
        "lost",
        "kept",
        "started_again",
        "over_median_s",
        "over_longest_s",
        "median_s",
        "p95_s",
        "longest_s",
    )
    if not rows:
        return Report(text="no executor went silent or restarted")
    total = (
        "all",
        len(interruptions),
        "",
        "",
        "",
        sum(found.is_restarted for found in interruptions),
        *_count_cells(interruptions),
    )
    note = f"began_s and answered_s count from {origin:.3f} s since 1970"
    return Report(columns, (*rows, total), notes=(note,))
