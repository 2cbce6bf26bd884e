"""Reservations, starts and ends of tasks under a worker's epoch."""

__all__ = [
    "LEASE_MARGIN_S",
    "LEASE_S",
    "RENEW_INTERVAL_S",
    "Reservation",
    "Resolution",
    "ResolutionKind",
    "StartReply",
    "TaskEvent",
    "TaskState",
]

import enum

import attrs

from dragonflybank.model.resources import Resources

LEASE_S = 15.0
RENEW_INTERVAL_S = 3.0
# Covers clock drift and the transit time of the last renewal.
LEASE_MARGIN_S = 5.0


class TaskState(enum.StrEnum):
    """State of a task at its worker."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@attrs.frozen
class TaskEvent:
    """The end of a task as its worker reports it.

    Attributes:
        task_id: Identity of the start.
        worker: Name of the worker.
        state: Final state of the task.
        result: Result text if it is done.
        reason: Why it failed, as ``size_exceeded``.
        run_s: Run time in seconds.
        peak: Largest measured use.
    """

    task_id: str
    worker: str
    state: TaskState
    result: str = ""
    reason: str = ""
    run_s: float = 0.0
    peak: Resources = Resources()


@attrs.frozen
class Reservation:
    """Room held at a worker for a start.

    Attributes:
        id: Identity, unique within the owning host.
        worker: Name of the worker.
        host: Name of the owning host.
        epoch: Epoch of the ownership under which the room is held.
        grant: Resources held.
        expires_at: Time at which the room is free again, seconds since 1970.
        incarnation: Identity of the start of the worker's VM.
    """

    id: str
    worker: str
    host: str
    epoch: int
    grant: Resources
    expires_at: float
    incarnation: str = ""


class StartReply(enum.StrEnum):
    """A worker's answer to a start."""

    STARTED = "started"
    KNOWN = "known"


class ResolutionKind(enum.StrEnum):
    """What became of a start whose answer was lost."""

    ADOPTED = "adopted"
    FINISHED = "finished"
    NOT_STARTED = "not_started"
    LEASE_LAPSED = "lease_lapsed"
    UNDECIDED = "undecided"


@attrs.frozen
class Resolution:
    """The state of a start, decided under a later epoch.

    Attributes:
        kind: What became of the start.
        event: The end of the task if it is finished.
    """

    kind: ResolutionKind
    event: TaskEvent | None = None
