"""Messages between the hosts of a cell."""

__all__ = [
    "ADVICE_KIND",
    "KEY_WRITTEN_KIND",
    "READ_KIND",
    "SYNC_KIND",
    "WRITE_KIND",
    "AdviceReply",
    "AdviceRequest",
    "KeyWrittenReply",
    "KeyWrittenRequest",
    "ReadReply",
    "ReadRequest",
    "StartDelay",
    "SyncReply",
    "SyncRequest",
    "TeamDelay",
    "WriteReply",
    "WriteRequest",
]

import attrs

from dragonflybank.cell.suspension_records import SuspensionAge

# Kinds of requests, as they are sent to peers.
SYNC_KIND = "cell_sync"
ADVICE_KIND = "cell_advise"
KEY_WRITTEN_KIND = "cell_notice"
READ_KIND = "cell_read"
WRITE_KIND = "cell_write"


@attrs.frozen
class SyncRequest:
    """Request to the leader for changes of job phases.

    Attributes:
        address: Address of the asking host's peer socket.
        epoch: Epoch of the leader whose changes the asking host has.
        number: Number of the last change that the asking host has.
        version: Version of the asking host's configuration.
        needs_config: Whether the asking host needs a newer configuration from
            the leader, since the store does not answer it or has one that
            cannot be decoded.
        accepts_packed: Whether the asking host reads `SyncReply.packed`.
        accepts_ends: Whether the asking host reads `SyncReply.packed_ends`.
        shortfall: Share of what a leader needs that the asking host lacks; see
            `leader_fitness.shortfall`.
        pending_number: Number of the last numbers of pending jobs that the
            asking host has; -1 if it needs them in each answer.
        suspensions_revision: Revision of the stored suspensions whose ages the
            asking host has; see `lease_suspensions`.
    """

    address: str
    epoch: int
    number: int
    version: int
    needs_config: bool = True
    accepts_packed: bool = False
    accepts_ends: bool = False
    shortfall: float = 1.0
    pending_number: int = -1
    suspensions_revision: int = 0


@attrs.frozen
class StartDelay:
    """The wait of a new job of one service and priority.

    Attributes:
        service: Name of the service.
        priority: Priority of the queue.
        seconds: Estimated time until its tasks start.
    """

    service: str
    priority: int
    seconds: float


@attrs.frozen
class TeamDelay(StartDelay):
    """The wait of a new job of one team.

    Attributes:
        team: Name of the team.
    """

    team: str


@attrs.frozen
class SyncReply:
    """Answer to `SyncRequest`.

    Attributes:
        epoch: Epoch of the leader; 0 if the answering host does not lead.
        number: Number of the last change.
        is_whole: Whether ``states`` holds all live jobs instead of only
            changes.
        states: Identifiers of jobs and their phases.
        pending: Number of jobs without a started task, by queue.
        config: The operators' configuration, compressed by `pack_config`, if
            the asking host needs a newer one.
        start_delays: Delays of new jobs that the leader expects.
        team_delays: Further delays, of jobs of some teams. They have a field of
            their own, since hosts of earlier versions take ``start_delays`` to
            hold for all jobs.
        peers: Addresses of some hosts that were alive recently.
        over_term: Last term in which the answering host led, if that term has
            ended; otherwise 0.
        packed: Further ``states`` in the form of `pack_phases`.
        packed_ends: Stored ends of jobs in the form of `pack_ends`. A final
            phase in ``states`` has no revision: the asking host reads the store
            before it reports it.
        executors: Number of executors of the cell; 0 if it is not known.
        pending_number: Number of ``pending`` and ``start_delays``, -1 if they
            have none. Both are left out if the asking host has them.
        suspensions: Ages of the suspensions, left out if the asking host has
            them.
        suspensions_revision: Revision of the stored suspensions.
    """

    epoch: int
    number: int = 0
    is_whole: bool = False
    states: tuple[tuple[str, str], ...] = ()
    pending: dict[str, int] = attrs.field(factory=dict)
    config: bytes = b""
    over_term: int = 0
    start_delays: tuple[StartDelay, ...] = ()
    peers: tuple[str, ...] = ()
    packed: bytes = b""
    packed_ends: bytes = b""
    executors: int = 0
    pending_number: int = -1
    team_delays: tuple[TeamDelay, ...] = ()
    suspensions: tuple[SuspensionAge, ...] = ()
    suspensions_revision: int = 0


@attrs.frozen
class AdviceRequest:
    """Request of the leader to a host to call the advice service.

    Attributes:
        step: Name of the step.
        executors: Identifiers of the executors.
        timeout_s: Timeout of the call to the service, in seconds.
    """

    step: str
    executors: tuple[str, ...]
    timeout_s: float


@attrs.frozen
class AdviceReply:
    """Answer to `AdviceRequest`.

    Attributes:
        tickets: Tickets by identifier of the executor.
    """

    tickets: dict[str, str]


@attrs.frozen
class KeyWrittenRequest:
    """Notifies the leader that a host has stored a key.

    Attributes:
        epoch: Epoch of the leader that the host knew before it stored the
            key. A leader with another epoch ignores the notification: it may
            have already seen the job's end, and it reads live jobs from the
            store.
        key: The key.
        value: The value.
        revision: Revision of the change.
    """

    epoch: int
    key: str
    value: bytes
    revision: int


@attrs.frozen
class KeyWrittenReply:
    """Answer to `KeyWrittenRequest`."""


@attrs.frozen
class ReadRequest:
    """Request to the leader to read a key of the store.

    Attributes:
        key: The key.
    """

    key: str


@attrs.frozen
class ReadReply:
    """Answer to `ReadRequest`.

    Attributes:
        value: The value, None if the key does not exist.
        revision: Revision of its last change.
    """

    value: bytes | None = None
    revision: int = 0


@attrs.frozen
class WriteRequest:
    """Request to the leader to commit a transaction.

    Attributes:
        expected: See `ports.Txn.expected`.
        puts: See `ports.Txn.puts`.
    """

    expected: dict[str, int]
    puts: dict[str, bytes]


@attrs.frozen
class WriteReply:
    """Answer to `WriteRequest`.

    Attributes:
        revision: Revision of the change, None if a condition failed.
    """

    revision: int | None = None
