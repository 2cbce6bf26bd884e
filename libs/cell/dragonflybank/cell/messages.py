"""Messages between the hosts of a cell."""

__all__ = [
    "ADVISE",
    "NOTICE",
    "READ",
    "SYNC",
    "WRITE",
    "AdviceReply",
    "AdviceRequest",
    "KeyWrittenReply",
    "KeyWrittenRequest",
    "ReadReply",
    "ReadRequest",
    "SyncReply",
    "SyncRequest",
    "WriteReply",
    "WriteRequest",
]

import attrs

SYNC = "cell_sync"
ADVISE = "cell_advise"
NOTICE = "cell_notice"
READ = "cell_read"
WRITE = "cell_write"


@attrs.frozen
class SyncRequest:
    """A host asks the leader for news.

    Attributes:
        address: Address of the asking host's peer socket.
        epoch: Epoch of the leader whose news it has.
        number: Number of the last change that it has.
        version: Version of its configuration.
    """

    address: str
    epoch: int
    number: int
    version: int


@attrs.frozen
class SyncReply:
    """News of the leader.

    Attributes:
        epoch: Epoch of the leader; 0 if the host does not lead.
        number: Number of the last change.
        is_whole: Whether ``states`` has all jobs and not only changes.
        states: Jobs and their states.
        pending: Number of jobs without a started task, by queue.
        config: The operators' configuration if the asking host's is older.
        over_term: Last term in which this host led, if that is over.
    """

    epoch: int
    number: int = 0
    is_whole: bool = False
    states: tuple[tuple[str, str], ...] = ()
    pending: dict[str, int] = attrs.field(factory=dict)
    config: bytes = b""
    over_term: int = 0


@attrs.frozen
class AdviceRequest:
    """The leader lets a host call the advice service.

    Attributes:
        step: Name of the step.
        executors: Identities of the executors.
        timeout_s: Time for the call in seconds.
    """

    step: str
    executors: tuple[str, ...]
    timeout_s: float


@attrs.frozen
class AdviceReply:
    """Answer to `AdviceRequest`.

    Attributes:
        tickets: Tickets by executor.
    """

    tickets: dict[str, str]


@attrs.frozen
class KeyWrittenRequest:
    """A host tells the leader of a key that it has just stored.

    Attributes:
        epoch: Epoch of the leader that the host knew before it stored the
            key. Another leader may already have seen the job's end, and
            learns of live jobs from the store.
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
    """A host lets the leader read a key of the store for it.

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
    """A host lets the leader carry out a transaction for it.

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
