"""Summarises the attempts of a job or task in one or two lines each."""

__all__ = ["format_attempts"]

from collections.abc import Iterable, Iterator

from dragonflybank.cli.attempt_history import (
    AttemptHistory,
    AttemptTracker,
    Call,
    Ending,
    EndingKind,
    next_start,
)

_NOT_LOGGED = "not logged"


def format_attempts(
    tracker: AttemptTracker, attempts: Iterable[AttemptHistory], origin: float
) -> list[str]:
    """Formats attempts; a field that the logs lack is shown as not logged.

    The first line of an attempt tells where it was placed and who answered its
    start command. The second one, indented, tells what became of it.

    Args:
        tracker: Tracker that has processed all events of the logs.
        attempts: The attempts.
        origin: Time that counts as 0, in seconds since 1970.
    """
    return [
        line
        for attempt in attempts
        for line in _format_attempt(tracker, attempt, origin)
    ]


def _format_attempt(
    tracker: AttemptTracker, attempt: AttemptHistory, origin: float
) -> Iterator[str]:
    placed = _NOT_LOGGED
    if attempt.placed_at is not None:
        placed = _format_time(attempt.placed_at, origin)
    parts = [
        f"{attempt.task}/{attempt.number}  placed {placed}"
        f" on {attempt.executor or _NOT_LOGGED}"
    ]
    calls = [_format_call(tracker, attempt, c, origin) for c in attempt.calls]
    if not any(call.command == "start" for call in attempt.calls):
        calls.insert(0, f"start {_NOT_LOGGED}")
    yield "; ".join(parts + calls)
    followed = next_start(attempt, tracker.attempts_of(attempt.task))
    yield "    " + "; ".join(
        [
            _format_seen(tracker, attempt),
            *(f"adopted {_format_time(at, origin)}" for at in attempt.adopted),
            *(
                f"stopped {_format_time(at, origin)} ({reason})"
                for at, reason in attempt.stops
            ),
            *(
                f"held until {hold.until - origin:.3f} s by {hold.reason}"
                for hold in attempt.holds
            ),
            *_format_endings(attempt, origin),
            *_format_next_start(attempt, followed, origin),
        ]
    )


def _format_call(
    tracker: AttemptTracker, attempt: AttemptHistory, call: Call, origin: float
) -> str:
    meant_for = _or_not_logged(call.meant_for)
    text = f"{call.command} meant for incarnation {meant_for}"
    if call.is_answered:
        text += (
            f", answered {call.reply}"
            f" by {_format_answerer(tracker, attempt, call)}"
        )
    else:
        text += ", no answer"
    if call.tries is not None:
        text += f", {call.tries} {'try' if call.tries == 1 else 'tries'}"
    return f"{text}, {_format_time(call.at, origin)}"


def _format_answerer(
    tracker: AttemptTracker, attempt: AttemptHistory, call: Call
) -> str:
    found = tracker.answering_incarnation(attempt, call)
    name = "an incarnation that is not known" if found is None else str(found)
    match call.answered_by:
        case "known":
            return "the same"
        case "newer" if found is None:
            return "a newer one, not identified"
        case "newer":
            return f"a newer one, {name}"
        case None:
            return _NOT_LOGGED
    return name


def _format_seen(tracker: AttemptTracker, attempt: AttemptHistory) -> str:
    """Formats the incarnations in which an attempt is known to have run."""
    started = [
        tracker.answering_incarnation(attempt, call)
        for call in attempt.calls
        if call.command == "start" and call.reply == "ok"
    ]
    listed = [
        ending.incarnation
        for ending in attempt.endings
        if ending.kind in (EndingKind.LOST, EndingKind.ENDED)
    ]
    found = dict.fromkeys(x for x in (*started, *listed) if x is not None)
    if found:
        return "seen in incarnation " + " and ".join(map(str, found))
    is_logged = any(c.meant_for is not None for c in attempt.calls) or any(
        ending.kind is EndingKind.LOST and ending.is_named
        for ending in attempt.endings
    )
    if is_logged:
        return "seen in no known incarnation"
    return f"seen in incarnation {_NOT_LOGGED}"


def _format_endings(attempt: AttemptHistory, origin: float) -> Iterator[str]:
    for loss in attempt.possible_losses:
        yield f"perhaps {_format_ending(loss, origin)}"
    if not attempt.endings:
        yield "end not logged"
    for index, ending in enumerate(attempt.endings):
        text = _format_ending(ending, origin)
        yield f"afterwards {text}" if index else text


def _format_ending(ending: Ending, origin: float) -> str:
    time = _format_time(ending.at, origin)
    incarnation = _or_not_logged(ending.incarnation)
    match ending.kind:
        case EndingKind.LOST:
            return (
                f"lost {time}: {ending.detail or _NOT_LOGGED},"
                f" silent {_format_duration(ending.silent_s)},"
                f" lease {_format_duration(ending.lease_s)}"
            )
        case EndingKind.ABSENT:
            return f"absent {time} from the list of incarnation {incarnation}"
        case EndingKind.ENDED:
            return (
                f"ended {time} as {ending.detail or _NOT_LOGGED},"
                f" listed by incarnation {incarnation}"
            )
    detail = f": {ending.detail}" if ending.detail else ""
    return f"start {ending.kind} {time}{detail}"


def _format_next_start(
    attempt: AttemptHistory, followed: float | None, origin: float
) -> Iterator[str]:
    if followed is not None:
        if attempt.endings:
            yield f"next start {followed - attempt.endings[0].at:.3f} s later"
        else:
            yield f"next start {_format_time(followed, origin)}"
    elif any(e.kind is not EndingKind.ENDED for e in attempt.endings):
        yield "no later start"


def _format_time(at: float, origin: float) -> str:
    return f"at {at - origin:.3f} s"


def _format_duration(seconds: float | None) -> str:
    return _NOT_LOGGED if seconds is None else f"{seconds:.3f} s"


def _or_not_logged(value: int | None) -> str:
    return _NOT_LOGGED if value is None else str(value)
