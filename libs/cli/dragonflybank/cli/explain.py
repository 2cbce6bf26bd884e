"""History of one request, read from the structured logs of a cell's hosts.

`dragonflybank.cell.logs` writes these logs. Their events name a job by the
identifier that its caller chose, and a task by that of its job with numbers
appended.
"""

__all__ = [
    "Event",
    "format_history",
    "is_part_of",
    "read_events",
    "related_events",
]

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
        if not isinstance(row, dict) or "event" not in row:
            continue
        if isinstance(row.get("at"), int | float):
            words = before.split()
            host = words[-1] if words else ""
            fields = {k: v for k, v in row.items() if k not in _HIDDEN}
            yield Event(row["at"], host, row["event"], fields)


def is_part_of(name: str, identifier: str) -> bool:
    """Returns whether a task or step is an identified one or belongs to it.

    Example:
        >>> is_part_of("7d.0.0.4", "7d"), is_part_of("7d.0.0.4", "7d.0.0")
        (True, True)
        >>> is_part_of("7d.0.0.4", "7")
        False
    """
    return name == identifier or name.startswith(f"{identifier}.")


def related_events(events: Iterable[Event], identifier: str) -> list[Event]:
    """Returns the events of a job and of the executors it was placed on.

    Events of these executors are included from the job's first to its last
    event, since a lost or failing executor explains what happened to the job.
    Changes of leadership in this time are included as well.

    Args:
        events: All events of the logs, in any order.
        identifier: Identifier of the job, or of one of its tasks.
    """
    ordered = sorted(events, key=lambda event: event.at)
    own = [event for event in ordered if _mentions(event, identifier)]
    if not own:
        return []
    first, last = own[0].at, own[-1].at
    used = {event.fields.get("executor") for event in own} - {None}
    return [
        event
        for event in ordered
        if _mentions(event, identifier)
        or (first <= event.at <= last and _is_related_event(event, used))
    ]


def format_history(events: list[Event], identifier: str) -> list[str]:
    """Formats one line for each event and marks the longest pause.

    Args:
        events: What `related_events` returned.
        identifier: Identifier of the job or task.
    """
    own = [event for event in events if _mentions(event, identifier)]
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


def _mentions(event: Event, identifier: str) -> bool:
    fields = event.fields
    if fields.get("job") == identifier:
        return True
    lost = fields.get("tasks")
    names = (
        fields.get("task"),
        fields.get("step"),
        *(
            str(entry).split("/")[0]
            for entry in lost or ()
            if "/" in str(entry)
        ),
    )
    return any(
        isinstance(name, str) and is_part_of(name, identifier) for name in names
    )


def _is_related_event(event: Event, executors: set[Any]) -> bool:
    if event.name in ("elected", "leadership lost", "taken over"):
        return True
    has_task = "task" in event.fields
    return event.fields.get("executor") in executors and not has_task
