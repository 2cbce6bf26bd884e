"""What became of each attempt, read from the structured logs of the hosts.

An executor may restart under its identifier. Commands are meant for the
incarnation that last answered a poll, but a later one may carry them out. The
leader's log lines name both, and why it took an attempt to be over.

Logs of earlier versions lack some of the fields. They are None here.
"""

__all__ = [
    "RESTART_REASON",
    "AttemptHistory",
    "AttemptTracker",
    "Call",
    "Ending",
    "EndingKind",
    "Hold",
    "attempt_histories",
    "next_start",
]

import collections
import enum
import itertools
import re
from collections.abc import Iterable
from typing import Any

import attrs

from dragonflybank.cli.explain import Event, is_part_of

# Reason of a loss that spares attempts which the new incarnation may run.
RESTART_REASON = "another incarnation"
# Rates of the clocks of executors differ by this fraction at most.
_CLOCK_DRIFT = 0.02
# Covers the transit of an answer, and clocks that are read in milliseconds.
_CLOCK_MARGIN_S = 0.25
_TASK_ENTRY = re.compile(r"(\S+)/(\d+)(?: in (\d+))?")
_FENCED_REPLY = "fenced"


class EndingKind(enum.StrEnum):
    """Why an attempt is taken to be over.

    Attributes:
        ENDED: Its executor listed its end.
        LOST: Its executor was taken to run nothing any more.
        ABSENT: Its executor's list of running attempts lacked it.
        REFUSED: Its executor refused the start command.
        WITHDRAWN: The leader gave up the start command.
    """

    ENDED = "ended"
    LOST = "lost"
    ABSENT = "absent"
    REFUSED = "refused"
    WITHDRAWN = "withdrawn"


@attrs.frozen
class Call:
    """A start or stop command.

    Attributes:
        at: Time of its answer, or at which the leader gave up waiting for one,
            in seconds since 1970.
        command: ``start`` or ``stop``.
        meant_for: Incarnation that it was meant for; None if not logged.
        is_answered: Whether there was an answer.
        reply: The reply; None without an answer.
        answered_by: Which incarnation answered, as the leader logged it:
            ``known``, ``newer`` or ``unknown``; None if not logged.
        executor_clock_s: Clock of the executor in the answer, in seconds.
        tries: Number of times it was sent; None if not logged.
    """

    at: float
    command: str
    meant_for: int | None
    is_answered: bool
    reply: str | None = None
    answered_by: str | None = None
    executor_clock_s: float | None = None
    tries: int | None = None


@attrs.frozen
class Ending:
    """A log line that takes an attempt to be over.

    Attributes:
        at: Time of the line, in seconds since 1970.
        kind: Why the attempt is over.
        detail: Kind of a listed end, reason of a loss, or a reply.
        incarnation: Incarnation in which the attempt was seen, or whose list
            lacked it; None if not logged.
        silent_s: Time since the executor's last poll reply, in seconds; only
            of a loss, None if not logged.
        lease_s: Lease that the leader counted with from that reply on, in
            seconds; only of a loss, None if not logged.
        is_named: Whether the line names the attempt. A loss in earlier logs
            names only the executor.
    """

    at: float
    kind: EndingKind
    detail: str = ""
    incarnation: int | None = None
    silent_s: float | None = None
    lease_s: float | None = None
    is_named: bool = True


@attrs.frozen
class Hold:
    """A log line that tells until when an attempt may run on its executor.

    Attributes:
        at: Time of the line, in seconds since 1970.
        until: Time from which the attempt certainly doesn't run if the executor
            isn't heard again, in seconds since 1970.
        reason: The term of the bound that holds it until then.
    """

    at: float
    until: float
    reason: str


@attrs.define(eq=False)
class AttemptHistory:
    """One attempt of a task.

    Attributes:
        task: Identifier of the task.
        number: Number of the attempt.
        executor: Identifier of its executor; None if not logged.
        placed_at: Time at which it was placed, in seconds since 1970; None if
            not logged.
        adopted: Times at which a leader found it running, in seconds since
            1970.
        calls: Start and stop commands.
        stops: Pairs of the time at which the leader stopped it, in seconds
            since 1970, and the reason.
        holds: Until when it may run while its executor is silent, as each
            leader logged it.
        endings: What took it to be over, in order. There is more than one if
            an executor lists what was lost before.
        possible_losses: Losses of attempts of its executor, of which the lines
            don't tell whether it was among them.
        is_open: Whether it may be running after the last line.
    """

    task: str
    number: int
    executor: str | None = None
    placed_at: float | None = None
    adopted: list[float] = attrs.field(factory=list)
    calls: list[Call] = attrs.field(factory=list)
    stops: list[tuple[float, str]] = attrs.field(factory=list)
    holds: list[Hold] = attrs.field(factory=list)
    endings: list[Ending] = attrs.field(factory=list)
    possible_losses: list[Ending] = attrs.field(factory=list)
    is_open: bool = False

    @property
    def was_started(self) -> bool:
        """Whether its start command was neither refused nor withdrawn."""
        return not self.endings or self.endings[0].kind not in (
            EndingKind.REFUSED,
            EndingKind.WITHDRAWN,
        )


class AttemptTracker:
    """Follows the attempts that events name, in the order of the events.

    Attributes:
        attempts: Attempts by task and number, in the order of their placement.
    """

    def __init__(self):
        self.attempts: dict[tuple[str, int], AttemptHistory] = {}
        self._by_task: dict[str, list[AttemptHistory]] = (
            collections.defaultdict(list)
        )
        self._open: dict[str | None, list[AttemptHistory]] = (
            collections.defaultdict(list)
        )
        # Times, incarnations and clocks of the claims of each executor.
        self._claims: dict[str, list[tuple[float, int, float]]] = (
            collections.defaultdict(list)
        )

    def open_on(self, executor: str) -> list[AttemptHistory]:
        """Returns the attempts that an executor may run."""
        return list(self._open[executor])

    def attempts_of(self, task: str) -> list[AttemptHistory]:
        """Returns the attempts of a task in the order of their placement."""
        return self._by_task[task]

    def process(self, event: Event) -> list[AttemptHistory]:
        """Processes the next event and returns the attempts it is about."""
        fields = event.fields
        match event.name:
            case "attempts lost":
                return self._process_loss(event)
            case "attempts held":
                return self._process_holds(event)
            case "executor claimed":
                self._record_claim(event)
                return []
            case "job ended":
                # Attempts that are stopped now may end without a line.
                ended = [
                    attempt
                    for attempt in itertools.chain(*self._open.values())
                    if is_part_of(attempt.task, fields.get("job", ""))
                ]
                for attempt in ended:
                    self._close(attempt)
                return ended
        task, number = fields.get("task"), fields.get("attempt")
        if not isinstance(task, str) or not isinstance(number, int):
            return []
        attempt = self._find(task, number)
        self._move(attempt, fields.get("executor", attempt.executor))
        self._process_line(attempt, event)
        return [attempt]

    def answering_incarnation(
        self, attempt: AttemptHistory, call: Call
    ) -> int | None:
        """Returns which incarnation answered a call; None if not known.

        An incarnation that the leader had not heard of is identified by its
        clock, once it is claimed: it must have advanced as time has.
        """
        if not call.is_answered:
            return None
        if call.answered_by == "known":
            return call.meant_for
        if call.executor_clock_s is None:
            return None
        for at, incarnation, clock_s in self._claims[attempt.executor or ""]:
            passed_s = at - call.at
            error_s = clock_s - call.executor_clock_s - passed_s
            allowed_s = _CLOCK_DRIFT * abs(passed_s) + _CLOCK_MARGIN_S
            if passed_s >= 0 and abs(error_s) <= allowed_s:
                return incarnation
        return None

    def _process_line(self, attempt: AttemptHistory, event: Event) -> None:
        fields = event.fields
        match event.name:
            case "place":
                # An earlier attempt has ended, though earlier logs do not
                # contain that it was absent.
                for earlier in self._by_task[attempt.task]:
                    if earlier is not attempt:
                        self._close(earlier)
                attempt.placed_at = event.at
                self._reopen(attempt)
            case "attempt adopted":
                attempt.adopted.append(event.at)
                self._reopen(attempt)
            case "start answered" | "stop answered":
                attempt.calls.append(_answered_call(event))
            case "start outcome unknown":
                attempt.calls.append(
                    Call(
                        event.at,
                        "start",
                        fields.get("meant_for"),
                        is_answered=False,
                        tries=fields.get("tries"),
                    )
                )
            case "stop":
                attempt.stops.append((event.at, fields.get("reason", "")))
            case "end":
                self._end(attempt, event, EndingKind.ENDED, "kind")
            case "attempt absent":
                self._end(attempt, event, EndingKind.ABSENT, "phase")
            case "start withdrawn":
                self._end(attempt, event, EndingKind.WITHDRAWN, "reason")
            case "start refused" if fields.get("reply") != _FENCED_REPLY:
                self._end(attempt, event, EndingKind.REFUSED, "reply")

    def _process_loss(self, event: Event) -> list[AttemptHistory]:
        fields = event.fields
        ending = Ending(
            event.at,
            EndingKind.LOST,
            fields.get("reason", ""),
            silent_s=fields.get("silent_s"),
            lease_s=fields.get("lease_s"),
        )
        executor = fields.get("executor")
        if "tasks" not in fields:
            lost = self.open_on(executor)
            if ending.detail == RESTART_REASON:
                for attempt in lost:
                    attempt.possible_losses.append(
                        attrs.evolve(ending, is_named=False)
                    )
                return lost
            for attempt in lost:
                attempt.endings.append(attrs.evolve(ending, is_named=False))
                self._close(attempt)
            return lost
        lost = []
        for task, number, incarnation in _named_attempts(fields["tasks"]):
            attempt = self._find(task, number)
            attempt.executor = attempt.executor or executor
            attempt.endings.append(
                attrs.evolve(ending, incarnation=incarnation)
            )
            self._close(attempt)
            lost.append(attempt)
        return lost

    def _process_holds(self, event: Event) -> list[AttemptHistory]:
        fields, held = event.fields, []
        for (task, number, _), reason, held_s in zip(
            _named_attempts(fields.get("tasks")),
            fields.get("held_by", ()),
            fields.get("held_until_s", ()),
            strict=False,
        ):
            attempt = self._find(task, number)
            attempt.executor = attempt.executor or fields.get("executor")
            attempt.holds.append(Hold(event.at, event.at + held_s, reason))
            held.append(attempt)
        return held

    def _record_claim(self, event: Event) -> None:
        fields = event.fields
        incarnation = fields.get("incarnation")
        clock_s = fields.get("executor_clock_s")
        if incarnation is not None and clock_s is not None:
            self._claims[fields.get("executor")].append(
                (event.at, incarnation, clock_s)
            )

    def _end(
        self,
        attempt: AttemptHistory,
        event: Event,
        kind: EndingKind,
        detail: str,
    ) -> None:
        attempt.endings.append(
            Ending(
                event.at,
                kind,
                event.fields.get(detail, ""),
                event.fields.get("incarnation"),
            )
        )
        self._close(attempt)

    def _find(self, task: str, number: int) -> AttemptHistory:
        attempt = self.attempts.get((task, number))
        if attempt is None:
            attempt = AttemptHistory(task, number)
            self.attempts[task, number] = attempt
            self._by_task[task].append(attempt)
        return attempt

    def _move(self, attempt: AttemptHistory, executor: str | None) -> None:
        """Records where an attempt is.

        A leader that is killed before a placement is stored leaves the attempt
        number to its successor, which may choose another executor.
        """
        if attempt.executor == executor:
            return
        is_open = attempt.is_open
        self._close(attempt)
        attempt.executor = executor
        if is_open:
            self._reopen(attempt)

    def _reopen(self, attempt: AttemptHistory) -> None:
        if not attempt.is_open:
            attempt.is_open = True
            self._open[attempt.executor].append(attempt)

    def _close(self, attempt: AttemptHistory) -> None:
        if attempt.is_open:
            attempt.is_open = False
            self._open[attempt.executor].remove(attempt)


def attempt_histories(
    events: Iterable[Event], identifier: str
) -> tuple[AttemptTracker, list[AttemptHistory]]:
    """Returns the attempts of a job or task by task and placement.

    Args:
        events: All events of the logs, in any order.
        identifier: Identifier of the job or task.

    Returns:
        The tracker that has processed the events, and the attempts.
    """
    tracker = AttemptTracker()
    for event in sorted(events, key=lambda event: event.at):
        tracker.process(event)
    tasks = {task: None for task, _ in tracker.attempts}
    return tracker, [
        attempt
        for task in tasks
        if is_part_of(task, identifier)
        for attempt in tracker.attempts_of(task)
    ]


def next_start(
    attempt: AttemptHistory, attempts: Iterable[AttemptHistory]
) -> float | None:
    """Returns when an attempt's task was started next.

    Attempts whose start command was refused or withdrawn do not count.

    Args:
        attempt: The attempt.
        attempts: All attempts of its task.

    Returns:
        Time of the placement, in seconds since 1970; None if there was none.
    """
    return min(
        (
            other.placed_at
            for other in attempts
            if other.number > attempt.number
            and other.placed_at is not None
            and other.was_started
        ),
        default=None,
    )


def _answered_call(event: Event) -> Call:
    fields = event.fields
    return Call(
        event.at,
        event.name.split()[0],
        fields.get("meant_for"),
        is_answered=True,
        reply=fields.get("reply"),
        answered_by=fields.get("answered_by"),
        executor_clock_s=fields.get("executor_clock_s"),
        tries=fields.get("tries"),
    )


def _named_attempts(entries: Any) -> Iterable[tuple[str, int, int | None]]:
    texts = entries if isinstance(entries, list) else ()
    for found in map(_TASK_ENTRY.fullmatch, map(str, texts)):
        if found is not None:
            task, number, incarnation = found.groups()
            yield task, int(number), incarnation and int(incarnation)
