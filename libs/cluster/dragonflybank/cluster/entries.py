"""Entries of the membership table and their compact wire form."""

__all__ = ["Entry", "HostStatus", "entry_from_wire", "entry_to_wire"]

import enum
import math

import attrs
from returns.result import Result, Success

from dragonflybank.cluster.messages import WireEntry, WireSummary
from dragonflybank.model.codes import Code, Problem, problem
from dragonflybank.model.resources import Resources
from dragonflybank.model.topology import CapacitySummary

_MS_PER_S = 1000


class HostStatus(enum.StrEnum):
    """Status of a scheduler host as its entry carries it.

    ``DEAD`` is used only in the reply to a host that the answering host had
    taken for dead; it is never passed on.
    """

    LIVE = "l"
    LEAVING = "d"
    DEAD = "x"


@attrs.frozen
class Entry:
    """What is known of one scheduler host.

    Attributes:
        host: Unique name.
        incarnation: Grows with each start of the host, and when it learns
            that others took it for dead or leaving.
        counter: Heartbeat counter within the incarnation.
        region: Region.
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
    def age_key(self) -> tuple[int, int]:
        """Orders the entries of one host; the greater one is newer."""
        return (self.incarnation, self.counter)


def entry_to_wire(entry: Entry) -> WireEntry:
    """Returns the array that is sent for an entry.

    Amounts of a summary are rounded down to whole units, which keeps a full
    entry near 100 bytes.
    """
    return (
        entry.host,
        entry.incarnation,
        entry.counter,
        entry.region,
        entry.status.value,
        entry.address,
        entry.generation,
        None if entry.summary is None else _summary_to_wire(entry.summary),
    )


def entry_from_wire(wire: WireEntry) -> Result[Entry, Problem]:
    """Returns an entry, or ``BAD_REQUEST`` if a field is out of range."""
    host, incarnation, counter, region, status, address, gen, summary = wire
    if status not in list(HostStatus):
        return problem(Code.BAD_REQUEST, f"status {status!r}", field="status")
    entry = Entry(
        host, incarnation, counter, region, HostStatus(status), address, gen
    )
    if summary is None:
        return Success(entry)
    return _summary_from_wire(host, region, summary).map(
        lambda s: attrs.evolve(entry, summary=s)
    )


def _summary_to_wire(summary: CapacitySummary) -> WireSummary:
    return (
        int(summary.at * _MS_PER_S),
        summary.free_lookup_slots,
        tuple(math.floor(n) for n in attrs.astuple(summary.free)),
        tuple(math.floor(n) for n in attrs.astuple(summary.largest)),
        math.ceil(summary.queue_s * _MS_PER_S),
    )


def _summary_from_wire(
    host: str, region: str, wire: WireSummary
) -> Result[CapacitySummary, Problem]:
    at_ms, slots, free, largest, queue_ms = wire
    width = len(attrs.fields(Resources))
    if len(free) != width or len(largest) != width:
        return problem(Code.BAD_REQUEST, "resource vector", field="summary")
    return Success(
        CapacitySummary(
            host,
            region,
            at_ms / _MS_PER_S,
            slots,
            Resources(*free),
            Resources(*largest),
            queue_ms / _MS_PER_S,
        )
    )
