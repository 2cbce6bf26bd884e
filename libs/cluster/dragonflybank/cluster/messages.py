"""Messages between scheduler hosts and their codec.

A request is sent as the msgpack array ``[kind, sender, body]``, in which the
body is a message encoded on its own. A reply is the array ``[problem,
value]``, of which exactly one is meaningful. Every handler must be idempotent,
since a request may be delivered twice after a reconnect.
"""

__all__ = [
    "REQUEST_TYPES",
    "CancelJob",
    "ConfigValue",
    "EmptyReply",
    "Envelope",
    "FetchConfig",
    "FinishedReply",
    "Gossip",
    "HandoverReply",
    "HandoverRequest",
    "JobReply",
    "ListWork",
    "LookupReply",
    "LookupRequest",
    "QueryJob",
    "ReleaseRequest",
    "RequestKind",
    "ReserveReply",
    "ReserveRequest",
    "ResolveRequest",
    "StartAnswer",
    "StartRequest",
    "StopRequest",
    "SubmitJob",
    "TaskFinished",
    "WireEntry",
    "WireSummary",
    "WorkRows",
    "decode",
    "decode_reply",
    "decode_request",
    "encode",
    "encode_reply",
    "encode_request",
]

import enum
from typing import Any, TypeVar

import attrs
import msgspec
from returns.result import Failure, Result, Success

from dragonflybank.cluster.owner_messages import (
    EmptyReply,
    HandoverReply,
    HandoverRequest,
    ReleaseRequest,
    ReserveReply,
    ReserveRequest,
    ResolveRequest,
    StartAnswer,
    StartRequest,
    StopRequest,
)
from dragonflybank.cluster.work_messages import (
    CancelJob,
    FinishedReply,
    JobReply,
    ListWork,
    LookupReply,
    LookupRequest,
    QueryJob,
    SubmitJob,
    TaskFinished,
    WorkRows,
)
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.decoding import decode_msgpack
from dragonflybank.model.leases import Resolution

T = TypeVar("T")

# Gossip is sent several times a second, so its entries are encoded compactly as
# arrays without field names: host, incarnation, counter, region, status,
# address, configuration generation, summary.
WireSummary = tuple[int, int, tuple[float, ...], tuple[float, ...], int, int]
WireEntry = tuple[str, int, int, str, str, bytes, int, WireSummary | None]


class RequestKind(enum.StrEnum):
    """Kind of a request."""

    GOSSIP = "gossip"
    FETCH_CONFIG = "fetch_config"
    LOOKUP = "lookup"
    JOB_SUBMIT = "job_submit"
    JOB_QUERY = "job_query"
    JOB_CANCEL = "job_cancel"
    RESERVE = "reserve"
    RELEASE = "release"
    START = "start"
    STOP = "stop"
    RESOLVE = "resolve"
    TASK_FINISHED = "task_finished"
    HANDOVER = "handover"
    LIST_WORK = "list_work"


@attrs.frozen
class Envelope:
    """A request as it is sent.

    Attributes:
        kind: Kind of the request; any text, possibly no `RequestKind`.
        sender: Name of the sending host.
        body: Encoded message.
    """

    kind: str
    sender: str
    body: bytes


@attrs.frozen
class Gossip:
    """Membership entries, the sender's own first; request and reply alike.

    Attributes:
        entries: At most ``membership.MAX_ENTRIES_PER_MESSAGE`` entries.
    """

    entries: tuple[WireEntry, ...] = ()


@attrs.frozen
class FetchConfig:
    """Requests the configuration in force on the receiver.

    Attributes:
        generation: Generation that the sender has in force.
    """

    generation: int


@attrs.frozen
class ConfigValue:
    """Reply to `FetchConfig`.

    Attributes:
        generation: Generation of the configuration, 0 if the host has none.
        value: Encoded configuration, empty unless its generation is greater
            than that of the requesting host.
    """

    generation: int
    value: bytes = b""


# Request class -> (kind, reply class).
REQUEST_TYPES: dict[type, tuple[RequestKind, type]] = {
    Gossip: (RequestKind.GOSSIP, Gossip),
    FetchConfig: (RequestKind.FETCH_CONFIG, ConfigValue),
    LookupRequest: (RequestKind.LOOKUP, LookupReply),
    SubmitJob: (RequestKind.JOB_SUBMIT, JobReply),
    QueryJob: (RequestKind.JOB_QUERY, JobReply),
    CancelJob: (RequestKind.JOB_CANCEL, JobReply),
    ReserveRequest: (RequestKind.RESERVE, ReserveReply),
    ReleaseRequest: (RequestKind.RELEASE, EmptyReply),
    StartRequest: (RequestKind.START, StartAnswer),
    StopRequest: (RequestKind.STOP, EmptyReply),
    ResolveRequest: (RequestKind.RESOLVE, Resolution),
    TaskFinished: (RequestKind.TASK_FINISHED, FinishedReply),
    HandoverRequest: (RequestKind.HANDOVER, HandoverReply),
    ListWork: (RequestKind.LIST_WORK, WorkRows),
}


def encode(message: Any) -> bytes:
    """Returns the msgpack bytes of a message.

    Example:
        >>> decode(encode(FetchConfig(3)), FetchConfig).unwrap().generation
        3
    """
    return msgspec.msgpack.encode(message)


def decode(body: bytes, message_class: type[T]) -> Result[T, Problem]:
    """Returns the decoded message; ``BAD_REQUEST`` if it is malformed."""
    return decode_msgpack(body, message_class, code=Code.BAD_REQUEST)


def encode_request(kind: str, sender: str, body: bytes) -> bytes:
    """Returns the bytes of a request."""
    return encode((kind, sender, body))


def decode_request(raw: bytes) -> Result[Envelope, Problem]:
    """Returns the envelope of a request."""
    return decode(raw, tuple[str, str, bytes]).map(lambda e: Envelope(*e))


def encode_reply(result: Result[Any, Problem]) -> bytes:
    """Returns the bytes of a reply with a value or a problem."""
    if isinstance(result, Failure):
        return encode((result.failure(), None))
    return encode((None, result.unwrap()))


def decode_reply(raw: bytes, reply_class: type[T]) -> Result[T, Problem]:
    """Returns the value or the problem that a reply holds.

    Args:
        raw: Bytes of the reply.
        reply_class: Class of the value.

    Returns:
        The value; the problem that the peer replied with; ``TIMED_OUT`` if the
        reply is malformed, since the request may have had an effect.
    """
    read = decode(raw, tuple[Problem | None, msgspec.Raw]).bind(
        lambda parts: (
            decode(bytes(parts[1]), reply_class)
            if parts[0] is None
            else Failure(_PeerProblem(parts[0]))
        )
    )
    if isinstance(read, Success):
        return read
    failed = read.failure()
    if isinstance(failed, _PeerProblem):
        return Failure(failed.problem)
    return failure(Code.TIMED_OUT, f"malformed reply: {failed.detail}")


@attrs.frozen
class _PeerProblem:
    # Distinguishes a problem that the peer replied with from a malformed reply.
    problem: Problem
