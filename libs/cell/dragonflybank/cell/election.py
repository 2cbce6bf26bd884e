"""Leader election through the platform's store.

The leader's key belongs to a store lease and is created under the condition
that it does not exist. The revision of its creation is the leader's epoch:
revisions only increase, so executors that have seen a newer epoch refuse the
commands of an older leader (fencing tokens; Kleppmann, "How to do distributed
locking", 2016).

A renewed lease does not prove that the key still exists. Only a read of the key
or a transaction that expects it confirms the leadership.

The lease of a leader that was killed or has resigned need not expire first. A
host replaces the key if the leader's machine refuses connections to its port,
or if the leader's process reports that its term has ended. The condition is
that the key still has the former leader's revision. If that leader still
runs, the new revision of the key ends its leadership just as an expired lease
would.
"""

__all__ = ["Candidate", "ElectionTimes", "LeaderRecord", "Leadership"]

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

import attrs
import msgspec
from returns.result import Failure, Success

from dragonflybank.cell.keys import SUSPENSION_TERMS_KEY
from dragonflybank.cell.lag import LoopLag
from dragonflybank.cell.leader_fitness import LeaderFitness
from dragonflybank.cell.ports import Item, Store, Txn, TxnReply
from dragonflybank.cell.suspension_records import (
    decode_first_term,
    encode_terms,
)
from dragonflybank.cluster.clock import Clock
from dragonflybank.model.decoding import DecodeError

_log = logging.getLogger(__name__)

LEADER_KEY = "leader"
TERM_KEY = "term"
# After a leader's machine fails, the cell has no leader for about this long.
# The shortest lease that the store grants is 1 s.
LEADER_LEASE_S = 1.4
LEASE_RENEWAL_INTERVAL_S = 0.3
# A leader starts no new attempts if the last confirmation is older than this.
CONFIRMATION_MAX_AGE_S = 1.0
CONFIRMATION_INTERVAL_S = 0.4
# A read of the key without an answer for this long makes the leader ask other
# hosts whether the store answers them. A slow store answers within 0.35 s.
SILENCE_LIMIT_S = 0.45
# Time for a second read of the key on another connection after a failed one,
# which may have been reset. The store answers within 25 ms.
OWN_RETRY_S = 0.15
# Longest wait of a watch; a dead connection is detected after it.
WATCH_MAX_WAIT_S = 1.0
RETRY_DELAY_S = 0.2
# How often a follower checks whether the leader's process has exited. This
# makes no network call while the connection to the leader is up.
EXIT_POLL_INTERVAL_S = 0.1
# Hosts with less than one core delay their candidacy. So do hosts far from the
# store, since each decision of a leader waits for several of its answers.
FEW_CORES_DELAY_S = 0.3
ROUND_TRIP_DELAY_FACTOR = 6.0
ROUND_TRIP_DELAY_MAX_S = 0.3
# If the timers of a leader are later than this on average, its decisions are
# too late for urgent work, whose objective is a few hundred milliseconds.
LAG_LIMIT_S = 0.15
LAG_DELAY_FACTOR = 5.0
LAG_DELAY_MAX_S = 1.0


# Elections that are remembered; earlier ones don't shorten any wait.
ELECTIONS_KEPT = 16


class ElectionTimes:
    """When a host saw each leader's key first, on its own monotonic clock.

    A leader stores nothing after the election of the next one. A record of a
    revision below the next leader's epoch is therefore older than that
    election, which was over when this host saw its key.
    """

    def __init__(self):
        self._seen_at: dict[int, float] = {}

    def note(self, epoch: int, now: float) -> None:
        """Notes that the key of an epoch exists.

        Args:
            epoch: Epoch of the leader.
            now: Current time.
        """
        self._seen_at.setdefault(epoch, now)
        while len(self._seen_at) > ELECTIONS_KEPT:
            del self._seen_at[min(self._seen_at)]

    def next_after(self, revision: int, default: float) -> float:
        """Returns a time at which the leader of a revision was replaced.

        Args:
            revision: Revision of a record that a leader stored.
            default: The time if no later election was seen.

        Example:
            >>> times = ElectionTimes()
            >>> times.note(20, 5.0), times.note(60, 9.0)
            (None, None)
            >>> [times.next_after(n, 11.0) for n in (12, 31, 75)]
            [5.0, 9.0, 11.0]
        """
        return min(
            (at for epoch, at in self._seen_at.items() if epoch > revision),
            default=default,
        )


@attrs.frozen
class LeaderRecord:
    """The value of the leader's key.

    Attributes:
        name: Name of the leading host.
        address: Address of its peer socket.
        term: Sequence number of this leadership, from 1. Unlike the epoch, it
            is known before the key is written.
    """

    name: str
    address: str
    term: int


@attrs.define
class Leadership:
    """An elected leader's ownership of the leader's key.

    Attributes:
        epoch: Revision of the key's creation.
        term: Sequence number of this leadership.
        began_at: Time after which no other host owned the key.
        confirmed_at: Start time of the last call that proved that the key
            still existed.
        lost: Set once the leadership has ended: the key is known to be gone,
            or the host gives the leadership up.
        suspensions_since: First term since which all leaders have kept to
            suspended leases; see `lease_suspensions`.
    """

    epoch: int
    term: int
    began_at: float
    confirmed_at: float
    lost: asyncio.Event = attrs.field(factory=asyncio.Event)
    suspensions_since: int = 0

    def may_start_attempts(self, now: float) -> bool:
        """Returns whether the leader may start new attempts."""
        is_fresh = now - self.confirmed_at <= CONFIRMATION_MAX_AGE_S
        return is_fresh and not self.lost.is_set()

    def confirm(self, called_at: float) -> None:
        """Records that a call proved that the key existed.

        Args:
            called_at: Start time of the call.
        """
        self.confirmed_at = max(self.confirmed_at, called_at)


class Candidate:
    """Takes part in elections and tracks the current leader.

    Attributes:
        record: The current leader as last read, or None.
        changed: Set, and replaced by a new event, whenever the record changes.
        election_times: When this host saw each leader's key.

    Args:
        store: The platform's store.
        name: Name of this host.
        address: Address of its peer socket.
        clock: Clock of the host.
        has_few_cores: Whether hosts with more cores should be elected first.
        fitness: How well this host can lead the cell.
        rng: Seeded random generator.
        is_leader_responsive: Returns whether the leader has answered this host
            recently and its leadership was confirmed then.
        has_process_exited: Returns whether the process at a peer address has
            exited.
        lag: Timer lag of the host.
        read_through_peers: Reads a key of the store through other hosts;
            returns None if none of them got an answer.
    """

    def __init__(
        self,
        store: Store,
        name: str,
        address: str,
        *,
        clock: Clock,
        has_few_cores: bool,
        fitness: LeaderFitness,
        rng: random.Random,
        is_leader_responsive: Callable[[float], bool],
        has_process_exited: Callable[[str], Awaitable[bool]],
        lag: LoopLag,
        read_through_peers: Callable[[str], Awaitable[Item | None]],
    ):
        self.record: LeaderRecord | None = None
        self.changed = asyncio.Event()
        self.election_times = ElectionTimes()
        self._store = store
        self._name = name
        self._address = address
        self._clock = clock
        self._has_few_cores = has_few_cores
        self._fitness = fitness
        self._rng = rng
        self._is_leader_responsive = is_leader_responsive
        self._has_process_exited = has_process_exited
        self._lag = lag
        self._read_through_peers = read_through_peers
        self._last_ended_term = 0
        self._lease = 0

    async def wait_until_elected(self) -> Leadership:
        """Tracks the leader until this host is elected."""
        while True:
            asked_at = self._clock.now()
            found = await self._store.get(LEADER_KEY)
            if isinstance(found, Failure):
                await self._find_leader_through_peers()
                await self._clock.sleep(RETRY_DELAY_S)
                continue
            round_trip_s = self._clock.now() - asked_at
            item = found.unwrap()
            if item is not None:
                self._update_record(item)
                if not await self._has_leader_ended():
                    await self._watch_leader_key(item)
                    continue
            won = await self._try_to_win(item, round_trip_s)
            if won is not None:
                return won

    async def _find_leader_through_peers(self) -> None:
        """Reads the leader's key through other hosts.

        If the store turns away this host alone, it learns of a new leader only
        by them. With a leader that answers, nothing is read, so that an outage
        of the store does not multiply the reads.
        """
        if self._is_leader_responsive(self._clock.now()):
            return
        item = await self._read_through_peers(LEADER_KEY)
        if item is not None:
            self._update_record(item)

    def record_ended_term(self, term: int) -> None:
        """Records that the leader of a term has reported its end."""
        self._last_ended_term = max(self._last_ended_term, term)

    async def maintain(self, leadership: Leadership) -> None:
        """Renews and confirms a leadership until it is lost."""
        renewing = asyncio.create_task(self._renew_lease())
        try:
            while not leadership.lost.is_set():
                now = self._clock.now()
                if now - leadership.confirmed_at >= CONFIRMATION_INTERVAL_S:
                    await self._confirm(leadership)
                if self._lag.mean_s > LAG_LIMIT_S:
                    _log.warning(
                        "resigning because the timers of the host are late",
                        extra={"lag_s": round(self._lag.mean_s, 3)},
                    )
                    leadership.lost.set()
                    await self.resign()
                await self._clock.sleep(CONFIRMATION_INTERVAL_S / 4)
        finally:
            renewing.cancel()
            self._set_record(None)
            _log.info("leadership lost", extra={"epoch": leadership.epoch})

    async def resign(self) -> None:
        """Ends the lease so that another host can be elected at once."""
        if self._lease:
            await self._store.end_lease(self._lease)
            self._lease = 0

    async def _has_leader_ended(self) -> bool:
        """Waits until the leader has ended or no longer answers.

        Returns:
            Whether it has certainly ended.
        """
        while True:
            if self.record is not None and await self._is_term_over(
                self.record
            ):
                _log.info(
                    "leader has ended",
                    extra={
                        "leader": self.record.name,
                        "term": self.record.term,
                    },
                )
                return True
            if not self._is_leader_responsive(self._clock.now()):
                return False
            await self._clock.sleep(EXIT_POLL_INTERVAL_S)

    async def _is_term_over(self, record: LeaderRecord) -> bool:
        # A record with this host's own address is from an earlier process or an
        # earlier term of this one.
        has_ended = record.term <= self._last_ended_term
        is_own = record.address == self._address
        return (
            has_ended
            or is_own
            or await self._has_process_exited(record.address)
        )

    async def _watch_leader_key(self, item: Item) -> None:
        revision = item.revision
        while not self._is_leader_responsive(self._clock.now()):
            changes = await self._store.watch(
                LEADER_KEY, after=revision, wait_s=WATCH_MAX_WAIT_S
            )
            match changes:
                case Success(found) if not found.is_history_lost:
                    revision = max(revision, found.revision)
                    key_changes = [
                        i for i in found.items if i.key == LEADER_KEY
                    ]
                    if key_changes and key_changes[-1].value is None:
                        return
                    if key_changes:
                        self._update_record(key_changes[-1])
                case _:
                    await self._clock.sleep(RETRY_DELAY_S)
                    return

    def _update_record(self, item: Item) -> None:
        try:
            record = msgspec.json.decode(item.value, type=LeaderRecord)
        except DecodeError as exc:
            _log.error(
                "leader record cannot be decoded", extra={"error": str(exc)}
            )
            return
        self.election_times.note(item.revision, self._clock.now())
        if record != self.record:
            self._set_record(record)
            _log.info(
                "leader changed",
                extra={"leader": record.name, "term": record.term},
            )

    def _set_record(self, record: LeaderRecord | None) -> None:
        self.record = record
        self.changed.set()
        self.changed = asyncio.Event()

    async def _try_to_win(
        self, former: Item | None, round_trip_s: float
    ) -> Leadership | None:
        """Tries to create the leader's key, or replace that of an ended leader.

        Args:
            former: The key of the ended leader, None if there is no key.
            round_trip_s: Response time of the store in seconds.

        Returns:
            The leadership, or None if it was not won.
        """
        delay_s = min(
            ROUND_TRIP_DELAY_MAX_S, ROUND_TRIP_DELAY_FACTOR * round_trip_s
        )
        delay_s += min(LAG_DELAY_MAX_S, LAG_DELAY_FACTOR * self._lag.mean_s)
        if self._has_few_cores:
            delay_s += FEW_CORES_DELAY_S
        delay_s += self._fitness.candidacy_delay_s
        await self._clock.sleep(delay_s + self._rng.uniform(0.0, 0.02))
        revision = former.revision if former else 0
        leader_item, term_item, kept_item = await asyncio.gather(
            self._store.get(LEADER_KEY),
            self._store.get(TERM_KEY),
            self._store.get(SUSPENSION_TERMS_KEY),
        )
        if any(
            isinstance(found, Failure)
            for found in (leader_item, term_item, kept_item)
        ):
            await self._clock.sleep(RETRY_DELAY_S)
            return None
        current = leader_item.unwrap()
        if current is not None and current.revision != revision:
            # Another host has been elected meanwhile.
            return None
        lease = await self._store.open_lease(LEADER_LEASE_S)
        if isinstance(lease, Failure):
            await self._clock.sleep(RETRY_DELAY_S)
            return None
        previous_term = term_item.unwrap()
        term = 1 + (int(previous_term.value) if previous_term else 0)
        kept = kept_item.unwrap()
        first_kept_term = decode_first_term(kept.value if kept else None, term)
        record = LeaderRecord(self._name, self._address, term)
        raw = msgspec.json.encode(record)
        txn = Txn(
            expected={
                LEADER_KEY: current.revision if current else 0,
                TERM_KEY: previous_term.revision if previous_term else 0,
            },
            puts={
                LEADER_KEY: raw,
                TERM_KEY: str(term).encode(),
                SUSPENSION_TERMS_KEY: encode_terms(first_kept_term, term),
            },
            lease=lease.unwrap(),
            leased_keys=frozenset({LEADER_KEY}),
        )
        called_at = self._clock.now()
        epoch = await self._commit_leader_key(txn, raw)
        if epoch is None:
            await self._store.end_lease(lease.unwrap())
            return None
        self._lease = lease.unwrap()
        self._set_record(record)
        self.election_times.note(epoch, self._clock.now())
        _log.info("elected", extra={"epoch": epoch, "term": term})
        return Leadership(
            epoch,
            term,
            self._clock.now(),
            called_at,
            suspensions_since=first_kept_term,
        )

    async def _commit_leader_key(self, txn: Txn, raw: bytes) -> int | None:
        """Commits the leader's key.

        Returns:
            Revision of the key, or None if it is not this host's.
        """
        match await self._store.commit(txn):
            case Success(TxnReply(revision=int(revision))):
                return revision
            case Success(reply):
                found = reply.current
            case Failure(_):
                # The key may have been created although the answer was lost. If
                # it is created later, it expires with its lease.
                read = await self._store.get(LEADER_KEY)
                found = (read.value_or(None),)
        return next(
            (
                item.revision
                for item in found
                if item is not None
                and item.key == LEADER_KEY
                and item.value == raw
            ),
            None,
        )

    async def _renew_lease(self) -> None:
        while True:
            await self._clock.sleep(LEASE_RENEWAL_INTERVAL_S)
            await self._store.renew_lease(self._lease)

    async def _confirm(self, leadership: Leadership) -> None:
        called_at = self._clock.now()
        reading = asyncio.create_task(self._store.get(LEADER_KEY))
        try:
            await asyncio.wait({reading}, timeout=SILENCE_LIMIT_S)
            if not reading.done() and await self._is_turned_away(
                leadership, reading
            ):
                await self._give_up(leadership)
                return
            found = await reading
        finally:
            reading.cancel()
        match found:
            case Success(Item(revision=revision)) if (
                revision == leadership.epoch
            ):
                leadership.confirm(called_at)
            case Success(_):
                leadership.lost.set()
            case Failure(_):
                # The connection may have been reset, so another one is tried.
                again = asyncio.create_task(self._store.get(LEADER_KEY))
                try:
                    await asyncio.wait({again}, timeout=OWN_RETRY_S)
                    if await self._is_turned_away(leadership, again):
                        await self._give_up(leadership)
                finally:
                    again.cancel()
                await self._clock.sleep(RETRY_DELAY_S / 2)

    async def _is_turned_away(
        self, leadership: Leadership, reading: asyncio.Task
    ) -> bool:
        """Returns whether the store answers other hosts but not this one.

        In an outage for all hosts the leader stays, since it keeps the leases
        of running work alive.

        Args:
            leadership: The leadership.
            reading: This host's own read of the leader's key.
        """
        if reading.done() and isinstance(reading.result(), Success):
            return False
        item = await self._read_through_peers(LEADER_KEY)
        is_answered = reading.done() and isinstance(reading.result(), Success)
        is_own = item is not None and item.revision == leadership.epoch
        return is_own and not is_answered

    async def _give_up(self, leadership: Leadership) -> None:
        _log.warning(
            "resigning because the store answers other hosts only",
            extra={"epoch": leadership.epoch},
        )
        leadership.lost.set()
        await self.resign()
