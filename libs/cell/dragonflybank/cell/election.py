"""Election of the leader through the platform's store.

The leader's key belongs to a store lease and is created under the condition
that it does not exist. The revision of its creation is the leader's epoch:
revisions only rise, so executors that have seen a newer epoch refuse an older
leader (fencing tokens; Kleppmann, "How to do distributed locking", 2016).

A lease that is renewed does not prove that the key still exists. Leadership is
confirmed only by a read of the key or by a transaction that expects it.

The lease of a leader that was killed or has given up need not be waited for: a
host whose connection to the leader's process is refused, or that is told by it
that its term is over, replaces the key, under the condition that it is still
that leader's. Should the leader live after all, the key's new revision ends its
leadership as the end of its lease would.
"""

__all__ = ["Candidate", "LeaderRecord", "Leadership"]

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

import attrs
import msgspec
from returns.result import Failure, Success

from dragonflybank.cell.lag import LoopLag
from dragonflybank.cell.ports import Item, Store, Txn, TxnReply
from dragonflybank.cluster.clock import Clock

_log = logging.getLogger(__name__)

LEADER_KEY = "leader"
TERM_KEY = "term"
# A cell is without a decider for about this long after its leader died; the
# store's shortest lease is 1 s.
LEASE_S = 1.4
RENEW_S = 0.3
# Time since the last confirmation after which nothing new is started.
CONFIRM_LIMIT_S = 1.0
CONFIRM_EVERY_S = 0.4
# Longest watch; a connection that went silent is noticed after it.
WATCH_S = 1.0
RETRY_S = 0.2
# How often a follower looks whether the leader is gone; costs no call unless
# the connection is down.
DEATH_POLL_S = 0.1
# Hosts with less than a core stand for election a little later, and so do
# those far from the store: each decision waits for several answers of it.
WEAK_HOST_DELAY_S = 0.3
DELAY_PER_ROUND_TRIP = 6.0
FAR_HOST_DELAY_MAX_S = 0.3
# A leader whose timers are this late on average decides too late for urgent
# work, whose objective is some hundred milliseconds.
LAG_LIMIT_S = 0.15
LAG_DELAY_FACTOR = 5.0
LAG_DELAY_MAX_S = 1.0


@attrs.frozen
class LeaderRecord:
    """The value of the leader's key.

    Attributes:
        name: Name of the host.
        address: Address of its peer socket.
        term: Number of this leadership, from 1.
    """

    name: str
    address: str
    term: int


@attrs.define
class Leadership:
    """An elected leader's hold on its key.

    Attributes:
        epoch: Revision of the key's creation.
        term: Number of this leadership.
        began_at: Time after which no other host held the key.
        confirmed_at: Time of the start of the last call that proved that the
            key still existed.
        lost: Set once the key is known to be gone.
    """

    epoch: int
    term: int
    began_at: float
    confirmed_at: float
    lost: asyncio.Event = attrs.field(factory=asyncio.Event)

    def may_start_attempts(self, now: float) -> bool:
        """Returns whether new attempts may be started."""
        is_fresh = now - self.confirmed_at <= CONFIRM_LIMIT_S
        return is_fresh and not self.lost.is_set()

    def confirm(self, called_at: float) -> None:
        """Notes that a call begun at a time proved that the key existed."""
        self.confirmed_at = max(self.confirmed_at, called_at)


class Candidate:
    """Stands for election and follows who leads.

    Attributes:
        record: The present leader as last read, or None.
        changed: Set and replaced by a new event as the record changes.

    Args:
        store: The platform's store.
        name: Name of this host.
        address: Address of its peer socket.
        clock: Clock of the host.
        is_weak: Whether stronger hosts should be elected before it.
        rng: Seeded generator.
        is_leader_heard: Returns whether the leader has answered this host
            lately, as a leader that had confirmed its key.
        has_process_exited: Returns whether the process at a peer address has
            exited.
        lag: Lateness of the host's timers.
    """

    def __init__(
        self,
        store: Store,
        name: str,
        address: str,
        *,
        clock: Clock,
        is_weak: bool,
        rng: random.Random,
        is_leader_heard: Callable[[float], bool],
        has_process_exited: Callable[[str], Awaitable[bool]],
        lag: LoopLag,
    ):
        self.record: LeaderRecord | None = None
        self.changed = asyncio.Event()
        self._store = store
        self._name = name
        self._address = address
        self._clock = clock
        self._is_weak = is_weak
        self._rng = rng
        self._is_leader_heard = is_leader_heard
        self._is_gone = has_process_exited
        self._lag = lag
        self._over_term = 0
        self._lease = 0

    async def wait_for_turn(self) -> Leadership:
        """Follows the leader until this host is elected."""
        while True:
            asked_at = self._clock.now()
            found = await self._store.get(LEADER_KEY)
            if isinstance(found, Failure):
                await self._clock.sleep(RETRY_S)
                continue
            round_trip_s = self._clock.now() - asked_at
            item = found.unwrap()
            if item is not None:
                self._read(item)
                if not await self._has_died():
                    await self._follow(item)
                    continue
            won = await self._stand(item, round_trip_s)
            if won is not None:
                return won

    def note_over(self, term: int) -> None:
        """Notes that the leader of a term has told that it is over."""
        self._over_term = max(self._over_term, term)

    async def keep(self, leadership: Leadership) -> None:
        """Renews and confirms a leadership until it is lost."""
        renewing = asyncio.create_task(self._renew())
        try:
            while not leadership.lost.is_set():
                now = self._clock.now()
                if now - leadership.confirmed_at >= CONFIRM_EVERY_S:
                    await self._confirm(leadership)
                if self._lag.mean_s > LAG_LIMIT_S:
                    _log.warning(
                        "resigning, the host is slow",
                        extra={"lag_s": round(self._lag.mean_s, 3)},
                    )
                    leadership.lost.set()
                    await self.resign()
                await self._clock.sleep(CONFIRM_EVERY_S / 4)
        finally:
            renewing.cancel()
            self._change(None)
            _log.info("leadership lost", extra={"epoch": leadership.epoch})

    async def resign(self) -> None:
        """Ends the lease, so that another host is elected at once."""
        if self._lease:
            await self._store.end_lease(self._lease)
            self._lease = 0

    async def _has_died(self) -> bool:
        """Waits until the leader is gone or not heard; whether it is gone."""
        while True:
            if self.record is not None and await self._is_dead(self.record):
                _log.info(
                    "leader is gone",
                    extra={
                        "leader": self.record.name,
                        "term": self.record.term,
                    },
                )
                return True
            if not self._is_leader_heard(self._clock.now()):
                return False
            await self._clock.sleep(DEATH_POLL_S)

    async def _is_dead(self, record: LeaderRecord) -> bool:
        # A leadership of this address is an earlier process's, or over.
        is_over = record.term <= self._over_term
        is_own = record.address == self._address
        return is_over or is_own or await self._is_gone(record.address)

    async def _follow(self, item: Item) -> None:
        revision = item.revision
        while not self._is_leader_heard(self._clock.now()):
            changes = await self._store.watch(
                LEADER_KEY, after=revision, wait_s=WATCH_S
            )
            match changes:
                case Success(found) if not found.is_history_lost:
                    revision = max(revision, found.revision)
                    latest = [i for i in found.items if i.key == LEADER_KEY]
                    if latest and latest[-1].value is None:
                        return
                    if latest:
                        self._read(latest[-1])
                case _:
                    await self._clock.sleep(RETRY_S)
                    return

    def _read(self, item: Item) -> None:
        try:
            record = msgspec.json.decode(item.value, type=LeaderRecord)
        except msgspec.MsgspecError as exc:
            _log.error("leader record unreadable", extra={"error": str(exc)})
            return
        if record != self.record:
            self._change(record)
            _log.info(
                "leader known",
                extra={"leader": record.name, "term": record.term},
            )

    def _change(self, record: LeaderRecord | None) -> None:
        self.record = record
        self.changed.set()
        self.changed = asyncio.Event()

    async def _stand(
        self, former: Item | None, round_trip_s: float
    ) -> Leadership | None:
        """Asks for the key, which is free or that of a dead leader."""
        delay_s = min(FAR_HOST_DELAY_MAX_S, DELAY_PER_ROUND_TRIP * round_trip_s)
        delay_s += min(LAG_DELAY_MAX_S, LAG_DELAY_FACTOR * self._lag.mean_s)
        if self._is_weak:
            delay_s += WEAK_HOST_DELAY_S
        await self._clock.sleep(delay_s + self._rng.uniform(0.0, 0.02))
        revision = former.revision if former else 0
        current, term = await asyncio.gather(
            self._store.get(LEADER_KEY), self._store.get(TERM_KEY)
        )
        if isinstance(current, Failure) or isinstance(term, Failure):
            await self._clock.sleep(RETRY_S)
            return None
        present = current.unwrap()
        if present is not None and present.revision != revision:
            # Another host was quicker.
            return None
        lease = await self._store.open_lease(LEASE_S)
        if isinstance(lease, Failure):
            await self._clock.sleep(RETRY_S)
            return None
        previous = term.unwrap()
        number = 1 + (int(previous.value) if previous else 0)
        record = LeaderRecord(self._name, self._address, number)
        raw = msgspec.json.encode(record)
        txn = Txn(
            expected={
                LEADER_KEY: present.revision if present else 0,
                TERM_KEY: previous.revision if previous else 0,
            },
            puts={
                LEADER_KEY: raw,
                TERM_KEY: str(number).encode(),
            },
            lease=lease.unwrap(),
            leased_keys=frozenset({LEADER_KEY}),
        )
        called_at = self._clock.now()
        epoch = await self._created(txn, raw)
        if epoch is None:
            await self._store.end_lease(lease.unwrap())
            return None
        self._lease = lease.unwrap()
        self._change(record)
        _log.info("elected", extra={"epoch": epoch, "term": number})
        return Leadership(epoch, number, self._clock.now(), called_at)

    async def _created(self, txn: Txn, raw: bytes) -> int | None:
        """Asks for the key; returns its revision if it is this host's."""
        match await self._store.commit(txn):
            case Success(TxnReply(revision=int(revision))):
                return revision
            case Success(reply):
                found = reply.current
            case Failure(_):
                # The key may have been created without an answer; if it is
                # created later, it goes with its lease.
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

    async def _renew(self) -> None:
        while True:
            await self._clock.sleep(RENEW_S)
            await self._store.renew_lease(self._lease)

    async def _confirm(self, leadership: Leadership) -> None:
        called_at = self._clock.now()
        match await self._store.get(LEADER_KEY):
            case Success(Item(revision=revision)) if (
                revision == leadership.epoch
            ):
                leadership.confirm(called_at)
            case Success(_):
                leadership.lost.set()
            case Failure(_):
                await self._clock.sleep(RETRY_S / 2)
