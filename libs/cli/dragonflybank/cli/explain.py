"""History of one request, read from the structured logs of a cell's hosts.

`dragonflybank.cell.logs` writes these logs. Their events name a job by the
identifier that its caller chose.
"""

__all__ = ["Event", "format_history", "read_events", "related_events"]

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

_HIDDEN = frozenset({"at", "event", "level", "logger", "host_name"})


@attrs.frozen
class Event:
    """One structured log line.

    Attributes:
        at: Seconds since 1970.
        host: Last word before the JSON object; empty if there is none.
        name: Name of the event.
        fields: Other fields of the line.
    """

    at: float
    host: str
    name: str
    fields: dict[str, Any]


def read_events(lines: Iterable[str]) -> Iterator[Event]:
    """Yields the events of log lines and skips lines in other formats.

    A log collector may put the time and the host before the JSON object.

    Example:
        >>> [e.name for e in read_events(['h1 {"at": 1.0, "event": "end"}'])]
        ['end']
    """
    for line in lines:
        before, brace, rest = line.partition("{")
        if not brace:
            continue
        try:
            row = json.loads(brace + rest)
        except ValueError:
            continue
        if isinstance(row, dict) and "at" in row and "event" in row:
            words = before.split()
            host = words[-1] if words else ""
            fields = {k: v for k, v in row.items() if k not in _HIDDEN}
            yield Event(row["at"], host, row["event"], fields)


def related_events(events: Iterable[Event], job: str) -> list[Event]:
    """Returns the events of a job and of the executors it was placed on.

    Events of these executors are included from the job's first to its last
    event, since a lost or failing executor explains what happened to the job.
    Changes of leadership in this time are included as well.
    """
    ordered = sorted(events, key=lambda event: event.at)
    own = [event for event in ordered if _mentions_job(event, job)]
    if not own:
        return []
    first, last = own[0].at, own[-1].at
    used = {event.fields.get("executor") for event in own} - {None}
    return [
        event
        for event in ordered
        if _mentions_job(event, job)
        or (first <= event.at <= last and _is_related_event(event, used))
    ]


def format_history(events: list[Event], job: str) -> list[str]:
    """Formats one line for each event and marks the longest pause."""
    own = [event for event in events if _mentions_job(event, job)]
    pauses = [
        (later.at - event.at, later)
        for event, later in zip(own, own[1:], strict=False)
    ]
    longest = max(pauses, key=lambda pair: pair[0], default=(0.0, None))
    lines = []
    for event in events:
        fields = " ".join(f"{k}={v}" for k, v in event.fields.items())
        age_s = event.at - own[0].at
        lines.append(f"{age_s:8.3f} s  {event.host:20} {event.name}  {fields}")
        if event is longest[1]:
            lines[-1] += f"  <- after the longest pause, {longest[0]:.3f} s"
    return lines


def _mentions_job(event: Event, job: str) -> bool:
    fields = event.fields
    if fields.get("job") == job:
        return True
    names = (fields.get("task"), fields.get("step"))
    return any(
        isinstance(name, str) and name.split(".")[0] == job for name in names
    )


def _is_related_event(event: Event, executors: set[Any]) -> bool:
    if event.name in ("elected", "leadership lost", "taken over"):
        return True
    has_task = "task" in event.fields
    return event.fields.get("executor") in executors and not has_task
