"""Entries of the membership table and their compact encoding."""

__all__ = [
    "HostEntry",
    "HostStatus",
    "TrackedEntry",
    "dead_entry",
    "entries_from_wire",
    "entries_to_wire",
]

import enum
import math
import socket
import struct
from collections.abc import Sequence

import attrs
from returns.result import Result, Success

from dragonflybank.cluster.messages import WireEntry, WireSummary
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.resources import Resources
from dragonflybank.model.topology import CapacitySummary

_MS_PER_S = 1000
# First byte of an address that is packed as IPv4 address and port.
_PACKED_MARKER = b"\0"
_PACKED_BYTES = 7


class HostStatus(enum.StrEnum):
    """Status of a scheduler host in its entry.

    ``DEAD`` occurs only in the reply to a host that the replying host had taken
    for dead; it is never gossiped to others.
    """

    LIVE = ""
    LEAVING = "d"
    DEAD = "x"


@attrs.frozen
class HostEntry:
    """What one scheduler host publishes about itself.

    Attributes:
        host: Unique name.
        incarnation: Increases with each start of the host, and when it learns
            that others considered it dead or leaving.
        counter: Heartbeat counter within the incarnation.
        region: Region of the host.
        status: Live or leaving.
        address: Address and port of its peer socket.
        generation: Generation of its configuration, 0 if it has none.
        summary: Free capacity of its workers.
    """

    host: str
    incarnation: int
    counter: int
    region: str
    status: HostStatus = HostStatus.LIVE
    address: str = ""
    generation: int = 0
    summary: CapacitySummary | None = None

    @property
    def version(self) -> tuple[int, int]:
        """Version of the entry; the greater one of a host is newer."""
        return (self.incarnation, self.counter)


@attrs.frozen
class TrackedEntry:
    """An entry in the membership table, with the times of its updates.

    Attributes:
        entry: The newest entry.
        updated_at: Time at which it was received, seconds since 1970.
        summarised_at: Time at which its summary was received.
    """

    entry: HostEntry
    updated_at: float
    summarised_at: float

    @classmethod
    def merge_newer(
        cls, known: "TrackedEntry | None", entry: HostEntry, now: float
    ) -> "TrackedEntry":
        """Returns a newer entry, with the known summary if it has none.

        The summary is kept only within one incarnation.
        """
        is_same_incarnation = (
            known is not None and known.entry.incarnation == entry.incarnation
        )
        if entry.summary is not None or not is_same_incarnation:
            return cls(entry, now, now)
        kept = attrs.evolve(entry, summary=known.entry.summary)
        return cls(kept, now, known.summarised_at)


def dead_entry(entry: HostEntry, version: tuple[int, int]) -> HostEntry:
    """Returns the entry that informs a host that it was considered dead.

    Args:
        entry: The host's entry as it sent it.
        version: The newest incarnation and counter that are known of it.
    """
    return attrs.evolve(
        entry,
        incarnation=version[0],
        counter=version[1],
        status=HostStatus.DEAD,
        summary=None,
    )


def entries_to_wire(entries: Sequence[HostEntry]) -> tuple[WireEntry, ...]:
    """Returns the arrays that encode entries, the sender's own first.

    Only the first has a summary, with amounts rounded down to whole units. The
    others have an empty region if it equals that of the first. Addresses are
    packed. Three messages of 16 entries every half second must not exceed 4 KB
    a second, which holds for names of up to 13 letters.
    """
    return tuple(
        _entry_to_wire(entry, entries[0] if index else None)
        for index, entry in enumerate(entries)
    )


def entries_from_wire(wires: Sequence[WireEntry]) -> tuple[HostEntry, ...]:
    """Returns the decoded entries of a message without malformed ones."""
    region = wires[0][3] if wires else ""
    decoded = (_entry_from_wire(wire, region) for wire in wires)
    return tuple(r.unwrap() for r in decoded if isinstance(r, Success))


def _entry_to_wire(entry: HostEntry, first: HostEntry | None) -> WireEntry:
    return (
        entry.host,
        entry.incarnation,
        entry.counter,
        "" if first and first.region == entry.region else entry.region,
        entry.status.value,
        _pack_address(entry.address),
        entry.generation,
        _summary_to_wire(entry.summary)
        if entry.summary and not first
        else None,
    )


def _entry_from_wire(
    wire: WireEntry, first_region: str
) -> Result[HostEntry, Problem]:
    host, incarnation, counter, region, status, address, gen, summary = wire
    if status not in list(HostStatus):
        return failure(
            Code.BAD_REQUEST, f"unknown status {status!r}", field="status"
        )
    entry = HostEntry(
        host,
        incarnation,
        counter,
        region or first_region,
        HostStatus(status),
        _unpack_address(address),
        gen,
    )
    if summary is None:
        return Success(entry)
    return _summary_from_wire(host, entry.region, summary).map(
        lambda s: attrs.evolve(entry, summary=s)
    )


def _pack_address(address: str) -> bytes:
    ip, _, port = address.rpartition(":")
    try:
        number = socket.inet_pton(socket.AF_INET, ip)
        return _PACKED_MARKER + number + struct.pack("!H", int(port))
    except (OSError, ValueError, struct.error):
        return address.encode()


def _unpack_address(packed: bytes) -> str:
    if not packed.startswith(_PACKED_MARKER):
        return packed.decode(errors="replace")
    if len(packed) != _PACKED_BYTES:
        return ""
    ip = socket.inet_ntop(socket.AF_INET, packed[1:5])
    return f"{ip}:{struct.unpack('!H', packed[5:])[0]}"


def _summary_to_wire(summary: CapacitySummary) -> WireSummary:
    return (
        int(summary.at * _MS_PER_S),
        summary.free_lookup_slots,
        tuple(math.floor(n) for n in attrs.astuple(summary.free)),
        tuple(math.floor(n) for n in attrs.astuple(summary.largest)),
        math.ceil(summary.queue_s * _MS_PER_S),
        summary.quarantined,
    )


def _summary_from_wire(
    host: str, region: str, wire: WireSummary
) -> Result[CapacitySummary, Problem]:
    at_ms, slots, free, largest, queue_ms, quarantined = wire
    width = len(attrs.fields(Resources))
    if len(free) != width or len(largest) != width:
        return failure(
            Code.BAD_REQUEST, "wrong number of resources", field="summary"
        )
    return Success(
        CapacitySummary(
            host,
            region,
            at_ms / _MS_PER_S,
            slots,
            Resources(*free),
            Resources(*largest),
            queue_ms / _MS_PER_S,
            quarantined,
        )
    )
