"""Requests to the host that owns a worker, and their replies."""

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
    """Requests reservations on the workers of the receiver.

    Attributes:
        request_id: Identifier; a repeated request gets the same reservations.
        work_class: Name of the work class.
        need: Resources of one task.
        count: Number of tasks.
        avoid: Names of workers that must not be used.
        hold_s: Time after which the reservations expire, in seconds.
    """

    request_id: str
    work_class: str
    need: Resources
    count: int = 1
    avoid: tuple[str, ...] = ()
    hold_s: float = 5.0


@attrs.frozen
class ReserveReply:
    """Reservations for the sender of the request.

    Attributes:
        reservations: At most as many as were requested.
    """

    reservations: tuple[Reservation, ...]


@attrs.frozen
class ReleaseRequest:
    """Releases reservations.

    Attributes:
        reservations: Reservations that will not be used.
    """

    reservations: tuple[Reservation, ...]


@attrs.frozen
class StartRequest:
    """Asks the owner of a worker to start a task there.

    Attributes:
        start: The start as the home journalled it.
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
        reply: Started now, or known from an earlier request.
    """

    reply: StartReply


@attrs.frozen
class StopRequest:
    """Asks the owner of workers to stop tasks.

    Attributes:
        starts: Starts of the tasks.
    """

    starts: tuple[StartRecord, ...]


@attrs.frozen
class ResolveRequest:
    """Asks the owner of a worker what became of a start.

    Attributes:
        start: The start as the home journalled it.
    """

    start: StartRecord


@attrs.frozen
class HandoverRequest:
    """Asks the owner of workers to release them to the sender.

    Attributes:
        workers: Names of the workers.
        query: Whether to release none and only report which of them the
            receiver owns.
    """

    workers: tuple[str, ...]
    query: bool = False


@attrs.frozen
class HandoverReply:
    """Which workers the sender of the request may claim.

    Attributes:
        released: Workers that the replying host does not own, or no longer.
        waiting: Workers that it still owns; they are released once the calls in
            progress have ended, unless the request was a query.
    """

    released: tuple[str, ...]
    waiting: tuple[str, ...] = ()


@attrs.frozen
class EmptyReply:
    """An empty reply."""
