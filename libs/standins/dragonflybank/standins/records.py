"""Append-only records of what the stand-ins observed.

The checks of `invariants` read these records. Times are seconds since 1970 on
the clock of the machine, so that records of several processes on one machine
can be compared.
"""

__all__ = [
    "RECORD_TYPES",
    "ChangeAnswered",
    "ClaimWon",
    "FaultSet",
    "GenerationRead",
    "GenerationSeen",
    "HostDrained",
    "LeavingAnnounced",
    "LookupEnded",
    "LookupStarted",
    "Record",
    "RecordLog",
    "Refused",
    "StoreAnswered",
    "StoreWritten",
    "TaskEnded",
    "TaskStarted",
    "WorkerUp",
    "decode_record",
    "encode_record",
]

import attrs

from dragonflybank.model.leases import TaskState
from dragonflybank.model.resources import Resources


def encode_record(record: "Record") -> dict:
    """Returns the JSON object of a record; its type is in ``type``."""
    return {"type": type(record).__name__, **attrs.asdict(record)}


def decode_record(row: dict) -> "Record":
    """Returns a record from its JSON object.

    Example:
        >>> decode_record({"type": "FaultSet", "at": 1.0, "server": "store"})
        FaultSet(at=1.0, server='store', fault='')
    """
    fields = dict(row)
    kind = _TYPES_BY_NAME[fields.pop("type")]
    for name, convert in _CONVERTERS.items():
        if name in fields:
            fields[name] = convert(fields[name])
    return kind(**fields)


class RecordLog:
    """Records in the order in which they were added."""

    def __init__(self):
        self._records: list[Record] = []

    def add(self, record: "Record") -> None:
        """Appends a record."""
        self._records.append(record)

    def all(self, after: int = 0) -> tuple["Record", ...]:
        """Returns the records from index ``after`` on."""
        return tuple(self._records[after:])


@attrs.frozen
class Record:
    """Base of all records.

    Attributes:
        at: Seconds since 1970.
    """

    at: float


@attrs.frozen
class WorkerUp(Record):
    """A worker VM started.

    Attributes:
        size: Resources that it can hold.
    """

    worker: str
    incarnation: str
    size: Resources


@attrs.frozen
class ClaimWon(Record):
    """A host became the owner of a worker."""

    worker: str
    host: str
    epoch: int


@attrs.frozen
class TaskStarted(Record):
    """A task started.

    Attributes:
        payload_digest: SHA-256 of the payload.
    """

    worker: str
    task_id: str
    work_class: str
    epoch: int
    grant: Resources
    payload_digest: str = ""


@attrs.frozen
class TaskEnded(Record):
    """A task ended; a lapsed task ends at the expiry of its lease."""

    worker: str
    task_id: str
    state: TaskState
    reason: str = ""


@attrs.frozen
class LookupStarted(Record):
    """A lookup started on an executor slot.

    Attributes:
        grant: Resources that the worker counts for it.
        payload_digest: SHA-256 of the payload.
    """

    worker: str
    request_id: str
    work_class: str
    grant: Resources
    payload_digest: str = ""


@attrs.frozen
class LookupEnded(Record):
    """A lookup left its executor slot."""

    worker: str
    request_id: str
    state: TaskState
    reason: str = ""


@attrs.frozen
class Refused(Record):
    """A call had no effect: stale epoch, CAS conflict or no free slot."""

    server: str
    kind: str
    subject: str
    reason: str


@attrs.frozen
class StoreWritten(Record):
    """A key was written or deleted.

    Attributes:
        length: Number of bytes; 0 after a delete.
        generation: Field ``generation`` of a JSON value, 0 if it has none.
    """

    key: str
    version: int
    length: int
    generation: int = 0
    deleted: bool = False


@attrs.frozen
class StoreAnswered(Record):
    """The store's answer to a write was sent to the writer."""

    key: str
    version: int


@attrs.frozen
class ChangeAnswered(Record):
    """An operator got the answer that a configuration change is in force."""


@attrs.frozen
class GenerationRead(Record):
    """The store returned the active configuration to a reader."""

    key: str
    version: int
    generation: int


@attrs.frozen
class GenerationSeen(Record):
    """A test read the configuration generation in force at a host.

    Attributes:
        incarnation: Identifier of the host's process. A restarted process
            may have an older generation in force at first.
    """

    host: str
    generation: int
    incarnation: str = ""


@attrs.frozen
class HostDrained(Record):
    """A test shut a host down gracefully; ``at`` is the time of SIGTERM.

    Attributes:
        exited_at: Time at which the process was gone, seconds since 1970.
    """

    host: str
    exited_at: float


@attrs.frozen
class LeavingAnnounced(Record):
    """The VM list or the VM itself began to show the VM as leaving.

    Attributes:
        source: ``vmlist`` or ``worker``.
        leaving: False if the announcement was withdrawn.
    """

    vm: str
    source: str
    leaving: bool = True


@attrs.frozen
class FaultSet(Record):
    """A fault switch changed or a hook fired."""

    server: str
    fault: str = ""


RECORD_TYPES = (
    WorkerUp,
    ClaimWon,
    TaskStarted,
    TaskEnded,
    LookupStarted,
    LookupEnded,
    Refused,
    StoreWritten,
    StoreAnswered,
    ChangeAnswered,
    GenerationRead,
    GenerationSeen,
    HostDrained,
    LeavingAnnounced,
    FaultSet,
)
_TYPES_BY_NAME = {kind.__name__: kind for kind in RECORD_TYPES}
_CONVERTERS = {
    "size": lambda row: Resources(**row),
    "grant": lambda row: Resources(**row),
    "state": TaskState,
}
