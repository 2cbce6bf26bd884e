"""Messages to the owner of a worker."""

__all__ = [
    "EmptyReply",
    "HandoverReply",
    "HandoverRequest",
    "ReleaseRequest",
    "ReserveReply",
    "ReserveRequest",
    "ResolveRequest",
    "StartAnswer",
    "StartRequest",
    "StopRequest",
]

import attrs

from dragonflybank.model.leases import Reservation, StartReply
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import StartRecord


@attrs.frozen
class ReserveRequest:
    """Asks an owner for room on its workers.

    Attributes:
        request_id: Identity; a repeated request gets the same reservations.
        work_class: Name of the work class.
        need: Resources of one task.
        count: Number of tasks.
        avoid: Names of workers that must not be used.
        hold_s: Time for which the room is held, in seconds.
    """

    request_id: str
    work_class: str
    need: Resources
    count: int = 1
    avoid: tuple[str, ...] = ()
    hold_s: float = 5.0


@attrs.frozen
class ReserveReply:
    """Room held for the asker.

    Attributes:
        reservations: At most as many as were asked for.
    """

    reservations: tuple[Reservation, ...]


@attrs.frozen
class ReleaseRequest:
    """Gives room back.

    Attributes:
        reservations: Reservations that will not be used.
    """

    reservations: tuple[Reservation, ...]


@attrs.frozen
class StartRequest:
    """Asks an owner to pass a start on to its worker.

    Attributes:
        start: The journalled start.
        work_class: Name of the work class.
        payload: Request body, UTF-8 text.
    """

    start: StartRecord
    work_class: str
    payload: str


@attrs.frozen
class StartAnswer:
    """The worker's answer to a start.

    Attributes:
        reply: Started, or known from before.
    """

    reply: StartReply


@attrs.frozen
class StopRequest:
    """Asks an owner to stop tasks.

    Attributes:
        starts: Starts of the tasks.
    """

    starts: tuple[StartRecord, ...]


@attrs.frozen
class ResolveRequest:
    """Asks the owner of a worker what became of a start.

    Attributes:
        start: The journalled start.
    """

    start: StartRecord


@attrs.frozen
class HandoverRequest:
    """Asks the owner of workers to release them to the sender.

    Attributes:
        workers: Names of the workers.
        query: Only ask which of them the host owns, and release none.
    """

    workers: tuple[str, ...]
    query: bool = False


@attrs.frozen
class HandoverReply:
    """The workers that the sender may claim.

    Attributes:
        released: Workers that the host does not own, or no longer.
        waiting: Workers that the host still owns; they are released once the
            calls in progress have ended, unless it was a query.
    """

    released: tuple[str, ...]
    waiting: tuple[str, ...] = ()


@attrs.frozen
class EmptyReply:
    """An empty reply."""
