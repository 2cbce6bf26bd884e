"""Membership of scheduler hosts by gossip with heartbeat counters.

Failure detection follows van Renesse, Minsky and Hayden, "A gossip-style
failure detection service", Middleware 1998: each host increments its own
counter and gossips its table; a host whose counter stops increasing counts as
dead. The table needs no store.
"""

__all__ = [
    "DEAD_AFTER_S",
    "FORGET_AFTER_S",
    "MAX_ENTRIES_PER_MESSAGE",
    "REMOTE_DEAD_AFTER_S",
    "Membership",
]

from collections.abc import Iterable

import attrs

from dragonflybank.cluster.entries import (
    HostEntry,
    HostStatus,
    TrackedEntry,
    dead_entry,
)
from dragonflybank.model.topology import CapacitySummary

DEAD_AFTER_S = 3.0
# Hosts of different regions exchange entries in every fourth round only, so
# three seconds without a newer entry of a remote host are normal.
REMOTE_DEAD_AFTER_S = 4 * DEAD_AFTER_S
# A dead host stays in the table as a join candidate for this time.
FORGET_AFTER_S = 300.0
# The last version of a removed host is kept longer. Otherwise an old entry that
# was delayed in the buffers of a paused host would add the host again as live.
# A version takes about 100 bytes; on a normal day 310 VMs are replaced.
FORGOTTEN_VERSION_KEPT_S = 86_400.0
# Bounds the size of a message.
MAX_ENTRIES_PER_MESSAGE = 16
MIN_REMOTE_ENTRIES = 4
# A longer gap between two ticks means that this process was paused. Missing
# entries of other hosts during the gap don't mean that these are dead.
PAUSE_THRESHOLD_S = 2.0


class Membership:
    """The membership table of one scheduler host.

    Attributes:
        own_entry: The entry of this host.
        incarnation_raises: Number of times this host raised its incarnation,
            since it had been paused or other hosts had a wrong entry of it.
    """

    def __init__(self, host: str, region: str, address: str, *, now: float):
        # The start time as incarnation makes the entries of a restarted host
        # newer than earlier ones; `merge` raises it if the clock went back.
        self.own_entry = HostEntry(host, int(now), 0, region, address=address)
        self.incarnation_raises = 0
        self._table: dict[str, TrackedEntry] = {}
        self._forgotten: dict[str, tuple[tuple[int, int], float]] = {}
        self._region_live_at: dict[str, float] = {}
        self._join_candidates: dict[str, str] = {}
        self._started_at = now
        self._ticked_at = now

    def tick(self, now: float) -> None:
        """Increments this host's counter and removes hosts long dead.

        Args:
            now: Current time; expected every half second.
        """
        if now - self._ticked_at > PAUSE_THRESHOLD_S:
            self._resume_after_pause(now)
        self._ticked_at = now
        self.own_entry = attrs.evolve(
            self.own_entry, counter=self.own_entry.counter + 1
        )
        self._forget(now)
        for region in {e.region for e in self._live_entries(now)}:
            self._region_live_at[region] = now

    def merge(
        self, entries: Iterable[HostEntry], now: float
    ) -> tuple[HostEntry, ...]:
        """Updates the table with the entries that are newer than its own.

        Args:
            entries: Entries of one message, the sender's own first.
            now: Current time.

        Returns:
            Entries to send back if the sender's own entry has an older
            incarnation than the known one, or if the sender counted as dead.
        """
        entries = tuple(entries)
        corrections = [
            correction
            for index, entry in enumerate(entries)
            if (correction := self._merge_entry(entry, index == 0, now))
        ]
        return tuple(corrections)

    def entries_to_send(self, now: float) -> tuple[HostEntry, ...]:
        """Returns the entries to send: this host's, then the newest others.

        A few places are reserved for hosts of other regions. Their entries are
        needed less often, so hosts of this region get most places.
        """
        known = [
            k for k in self._table.values() if not self._is_entry_dead(k, now)
        ]
        known.sort(key=lambda k: k.updated_at, reverse=True)
        local = [k.entry for k in known if self._is_local(k.entry)]
        remote = [k.entry for k in known if not self._is_local(k.entry)]
        places = MAX_ENTRIES_PER_MESSAGE - 1
        remote = remote[: max(MIN_REMOTE_ENTRIES, places - len(local))]
        return (self.own_entry, *local[: places - len(remote)], *remote)

    def live_hosts(self, region: str | None, now: float) -> tuple[str, ...]:
        """Returns the sorted names of live hosts that are not leaving.

        Args:
            region: Region, or None for all regions.
            now: Current time.
        """
        return tuple(
            sorted(
                e.host
                for e in self._live_entries(now)
                if region in (None, e.region)
            )
        )

    def peer_entries(self, now: float) -> tuple[HostEntry, ...]:
        """Returns the other hosts that are not dead, leaving ones included."""
        return tuple(
            k.entry
            for k in self._table.values()
            if not self._is_entry_dead(k, now)
        )

    def is_dead(self, host: str, now: float) -> bool:
        """Returns whether this host considers another host dead.

        An unknown host counts as dead once this host has received gossip for
        so long that it would know the host if it were live.
        """
        if host == self.own_entry.host:
            return False
        known = self._table.get(host)
        if known is not None:
            return self._is_entry_dead(known, now)
        if host in self._forgotten:
            return True
        return self.observed_s(now) > REMOTE_DEAD_AFTER_S

    def region_silent_s(self, region: str, now: float) -> float:
        """Returns the seconds since a live host of a region was known."""
        if self.live_hosts(region, now):
            return 0.0
        live_at = self._region_live_at.get(region, self._started_at)
        return self._observed_until(now) - live_at

    def observed_s(self, now: float) -> float:
        """Returns the seconds since the start or the end of the last pause."""
        return self._observed_until(now) - self._started_at

    def summaries(
        self, now: float, max_age_s: float, *, region: str | None = None
    ) -> tuple[CapacitySummary, ...]:
        """Returns the capacity summaries of other live hosts.

        Each has the time at which it was received as its time, since the clocks
        of other hosts may be wrong.

        Args:
            now: Current time.
            max_age_s: Largest time since the summary was received.
            region: Only hosts of this region, or None for all.
        """
        return tuple(
            attrs.evolve(known.entry.summary, at=known.summarised_at)
            for known in self._table.values()
            if known.entry.summary is not None
            and known.entry.status is HostStatus.LIVE
            and region in (None, known.entry.region)
            and not self._is_entry_dead(known, now)
            and now - known.summarised_at <= max_age_s
        )

    def address_of(self, host: str) -> str | None:
        """Returns the address and port of a host, or None if unknown."""
        if host == self.own_entry.host:
            return self.own_entry.address
        known = self._table.get(host)
        return known.entry.address if known else self._join_candidates.get(host)

    def region_of(self, host: str) -> str | None:
        """Returns the region of a host, or None if unknown."""
        if host == self.own_entry.host:
            return self.own_entry.region
        known = self._table.get(host)
        return known.entry.region if known else None

    def update_own_entry(self, **changes) -> None:
        """Changes status, generation or summary in this host's entry."""
        self.own_entry = attrs.evolve(self.own_entry, **changes)

    def set_join_candidates(self, addresses: dict[str, str]) -> None:
        """Sets the addresses of the hosts in the seeds and the VM list.

        Args:
            addresses: Address and port by name; a seed without a name is
                listed under its address.
        """
        self._join_candidates = dict(addresses)

    def join_candidates(self, now: float) -> tuple[str, ...]:
        """Returns addresses of possible hosts that are dead or unknown."""
        live = {e.address for e in self.peer_entries(now)} | {
            self.own_entry.address
        }
        known = {k.entry.address for k in self._table.values()}
        return tuple(
            sorted((known | set(self._join_candidates.values())) - live)
        )

    def _merge_entry(
        self, entry: HostEntry, is_from_sender: bool, now: float
    ) -> HostEntry | None:
        if entry.host == self.own_entry.host:
            self._refute(entry)
            return None
        known = self._table.get(entry.host)
        known_version = (
            known.entry.version
            if known
            else self._forgotten_version(entry.host)
        )
        if entry.status is HostStatus.DEAD:
            return None
        if known_version is not None and entry.version <= known_version:
            is_older_incarnation = entry.incarnation < known_version[0]
            return (
                dead_entry(entry, known_version)
                if is_from_sender and is_older_incarnation
                else None
            )
        was_dead = known is not None and self._is_entry_dead(known, now)
        self._table[entry.host] = TrackedEntry.merge_newer(known, entry, now)
        self._forgotten.pop(entry.host, None)
        if was_dead and is_from_sender and self._is_local(entry):
            # Only hosts of the same region take over a dead host's workers
            # within seconds, so only they inform it; it then checks ownership.
            return dead_entry(entry, entry.version)
        return None

    def _refute(self, entry: HostEntry) -> None:
        # Raises the incarnation if another host has an entry of this host that
        # this host did not send in this incarnation, or that wrongly says that
        # it is dead or leaving.
        is_newer = entry.version > self.own_entry.version
        is_wrong = (
            entry.incarnation == self.own_entry.incarnation
            and entry.status is not self.own_entry.status
            and entry.status is not HostStatus.LIVE
        )
        if is_newer or is_wrong:
            self._raise_incarnation(entry.incarnation)

    def _raise_incarnation(self, seen: int) -> None:
        self.incarnation_raises += 1
        self.own_entry = attrs.evolve(
            self.own_entry,
            incarnation=max(seen, self.own_entry.incarnation) + 1,
            counter=0,
        )

    def _resume_after_pause(self, now: float) -> None:
        paused_at = self._ticked_at
        for host, known in self._table.items():
            if not self._is_entry_dead(known, paused_at):
                self._table[host] = attrs.evolve(known, updated_at=now)
        self._region_live_at = dict.fromkeys(self._region_live_at, now)
        self._started_at = now
        self._raise_incarnation(0)

    def _forget(self, now: float) -> None:
        for host, known in list(self._table.items()):
            if now - known.updated_at > FORGET_AFTER_S:
                del self._table[host]
                self._forgotten[host] = (known.entry.version, now)
        self._forgotten = {
            host: version_and_time
            for host, version_and_time in self._forgotten.items()
            if now - version_and_time[1] <= FORGOTTEN_VERSION_KEPT_S
        }

    def _forgotten_version(self, host: str) -> tuple[int, int] | None:
        version_and_time = self._forgotten.get(host)
        return version_and_time[0] if version_and_time else None

    def _live_entries(self, now: float) -> list[HostEntry]:
        entries = [self.own_entry, *self.peer_entries(now)]
        return [e for e in entries if e.status is HostStatus.LIVE]

    def _is_local(self, entry: HostEntry) -> bool:
        return entry.region == self.own_entry.region

    def _is_entry_dead(self, known: TrackedEntry, now: float) -> bool:
        is_local = self._is_local(known.entry)
        limit_s = DEAD_AFTER_S if is_local else REMOTE_DEAD_AFTER_S
        return self._observed_until(now) - known.updated_at > limit_s

    def _observed_until(self, now: float) -> float:
        # After a pause and before the next tick, the time of the pause doesn't
        # count as time without entries of other hosts.
        return min(now, self._ticked_at + PAUSE_THRESHOLD_S)
