"""Reservations, task starts and task ends under a worker's epoch.

A worker is owned by one scheduler host, which places work on it and renews the
leases of its tasks. A host becomes the owner by a claim. Each claim raises the
worker's epoch, and a worker refuses calls that carry another epoch than its
own, such as those of a former owner. The incarnation of a worker identifies the
boot of its VM: a worker that was restarted has another incarnation and knows
none of its earlier tasks.
"""

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

# A worker ends a task whose lease is not renewed, so a task whose owner is lost
# ends within this time.
LEASE_S = 15.0
RENEW_INTERVAL_S = 3.0
# Allows for the rates of the clocks. A lease ends at a time on the worker's
# clock, so a call that is carried out late gives no longer lease.
LEASE_MARGIN_S = 5.0


class TaskState(enum.StrEnum):
    """State of a task on its worker.

    ``STOPPED`` means that the owner stopped or checkpointed the task, or that
    the worker stopped it because it exceeded its grant.
    ``LAPSED`` means that the lease of the task expired before it ended, or that
    its worker was replaced. Its result is lost.
    """

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@attrs.frozen
class TaskEvent:
    """The end of a task, as reported by its worker.

    Attributes:
        task_id: Identifier of the start.
        worker: Name of the worker.
        state: Final state of the task.
        result: Result text if it is done.
        reason: Why it failed, for example ``size_exceeded``.
        run_s: Run time in seconds.
        peak: Peak of the measured resource usage.
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
    """Resources of a worker that are reserved for a task start.

    Attributes:
        id: Identifier, unique within the owning host.
        worker: Name of the worker.
        host: Name of the owning host.
        epoch: Ownership epoch under which the reservation is valid.
        grant: Reserved resources.
        expires_at: Time at which the reservation ends, seconds since 1970.
        incarnation: Identifier of the boot of the worker's VM.
    """

    id: str
    worker: str
    host: str
    epoch: int
    grant: Resources
    expires_at: float
    incarnation: str = ""


class StartReply(enum.StrEnum):
    """A worker's reply to a start request.

    ``KNOWN`` means that the task had been started by an earlier request.
    """

    STARTED = "started"
    KNOWN = "known"


class ResolutionKind(enum.StrEnum):
    """Outcome of a start request whose reply was lost.

    Attributes:
        ADOPTED: The start took effect, and the worker has the task.
        FINISHED: The start took effect, and the task has ended.
        NOT_STARTED: The start had no effect and can no longer have one.
        LEASE_LAPSED: The task no longer runs, since its worker is gone or its
            lease expired. It is unknown whether it ran.
        UNDECIDED: The outcome cannot be determined yet.
    """

    ADOPTED = "adopted"
    FINISHED = "finished"
    NOT_STARTED = "not_started"
    LEASE_LAPSED = "lease_lapsed"
    UNDECIDED = "undecided"


@attrs.frozen
class Resolution:
    """The outcome of a start request, determined under a later epoch.

    Attributes:
        kind: Outcome of the start.
        event: The end of the task, if it has finished.
    """

    kind: ResolutionKind
    event: TaskEvent | None = None
