"""Final states of jobs that the store holds.

Callers are told that a job has ended only if there is a `StoredEnd` of it. It
comes from a record that was read from the store, from a transaction with such a
record that the store has answered, or from the leader, which has it from one of
these. What a leader knows in memory is no `StoredEnd`: its leadership may be
over before the end is stored, and the next leader then runs the job again.
"""

__all__ = [
    "StoredEnd",
    "committed_ends",
    "pack_ends",
    "read_end",
    "unpack_ends",
]

import itertools
import struct
from collections.abc import Iterable, Iterator

import attrs
from returns.result import Result, Success

from dragonflybank.cell.jobs import JobPhase, decode_progress
from dragonflybank.cell.keys import ENDED_PREFIX
from dragonflybank.cell.phase_packing import (
    ROW_BYTES,
    pack_phases,
    unpack_phases,
)
from dragonflybank.cell.ports import Item, Txn, TxnReply
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.decoding import DecodeError

# Revision of a group of ends, and their number.
_GROUP_HEADER = struct.Struct(">QH")
_MAX_GROUP = 0xFFFF
RETRY_AFTER_S = 1.0


@attrs.frozen
class StoredEnd:
    """The final state of a job, as the store holds it.

    Attributes:
        job_id: Identifier of the job.
        phase: Its final state.
        revision: Revision of the store at which the state was written.
    """

    job_id: str
    phase: JobPhase
    revision: int


def read_end(item: Item) -> Result[StoredEnd, Problem]:
    """Returns the end that an item with `ENDED_PREFIX` holds.

    Returns:
        ``ASK_AGAIN`` if the item is not a readable final state.
    """
    try:
        phase = decode_progress(item.value or b"").phase
    except DecodeError as exc:
        return _unreadable(f"record of the job is unreadable: {exc}")
    if not phase.is_final:
        return _unreadable(f"record of an ended job says {phase}")
    job_id = item.key.removeprefix(ENDED_PREFIX)
    return Success(StoredEnd(job_id, phase, item.revision))


def committed_ends(txn: Txn, reply: TxnReply) -> tuple[StoredEnd, ...]:
    """Returns the ends that a transaction has stored.

    Args:
        txn: The transaction.
        reply: The answer of the store; without a revision, nothing was stored.
    """
    if reply.revision is None:
        return ()
    found = (
        read_end(Item(key, value, reply.revision))
        for key, value in txn.puts.items()
        if key.startswith(ENDED_PREFIX)
    )
    return tuple(end.unwrap() for end in found if isinstance(end, Success))


def pack_ends(
    ends: Iterable[StoredEnd],
) -> tuple[bytes, tuple[tuple[str, str], ...]]:
    """Returns the short form of ends, and the states of those that have none.

    Ends of one transaction have the same revision, so it is sent once for each
    run of them.

    Example:
        >>> end = StoredEnd("5c0e7a21d94b36f8", JobPhase.FAILED, 812)
        >>> packed, rest = pack_ends([end])
        >>> list(unpack_ends(packed)) == [end], rest
        (True, ())
    """
    packed, others = bytearray(), []
    for revision, group in itertools.groupby(ends, lambda end: end.revision):
        rows, rest = pack_phases((e.job_id, e.phase.value) for e in group)
        others += rest
        for first in range(0, len(rows), _MAX_GROUP * ROW_BYTES):
            part = rows[first : first + _MAX_GROUP * ROW_BYTES]
            packed += _GROUP_HEADER.pack(revision, len(part) // ROW_BYTES)
            packed += part
    return bytes(packed), tuple(others)


def unpack_ends(packed: bytes) -> Iterator[StoredEnd]:
    """Yields the ends of a short form.

    Rows that are cut off, or whose state is not a final one, are left out.
    """
    first = 0
    while first + _GROUP_HEADER.size <= len(packed):
        revision, count = _GROUP_HEADER.unpack_from(packed, first)
        first += _GROUP_HEADER.size
        rows = packed[first : first + count * ROW_BYTES]
        first += count * ROW_BYTES
        for job_id, name in unpack_phases(rows):
            phase = JobPhase(name)
            if phase.is_final:
                yield StoredEnd(job_id, phase, revision)


def _unreadable(detail: str) -> Result:
    return failure(Code.ASK_AGAIN, detail, retry_after_s=RETRY_AFTER_S)
