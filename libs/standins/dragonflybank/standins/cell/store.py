"""A metadata store in memory that simulates the faults of the platform's."""

__all__ = ["MemoryStore", "StoreFaults"]

import asyncio
import bisect
import random

import attrs
from returns.result import Failure, Result, Success

from dragonflybank.cell.ports import (
    Item,
    ScanResult,
    Store,
    Txn,
    TxnReply,
    WatchResult,
)
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.standins.cell.virtual_time import create_task_in_process

ROUND_TRIP_S = 0.004
CALL_TIMEOUT_S = 1.0
MAX_ROWS_PER_TXN = 32


@attrs.define
class StoreFaults:
    """Faults of the store; they may change while it serves calls.

    Attributes:
        is_down: Whether no call is answered.
        is_refusing: Whether each call fails at once without an effect.
        cut_hosts: Hosts whose calls are not answered.
        refused_hosts: Hosts whose calls fail at once without an effect.
        lost_share: Share of the writes that take effect without an answer.
        late_share: Share of the writes that time out and take effect 1 to 6 s
            later.
        round_trip_s: Round-trip time of a call in seconds.
        is_history_lost: Whether the next watch reports that the store no longer
            has the events since its revision. The watch resets it.
        pauses_leases: Whether leases don't expire while the store is down.
        watch_delay_s: Longest additional delay of the answer to a watch, in
            seconds.
    """

    is_down: bool = False
    is_refusing: bool = False
    cut_hosts: set[str] = attrs.field(factory=set)
    refused_hosts: set[str] = attrs.field(factory=set)
    lost_share: float = 0.0
    late_share: float = 0.0
    round_trip_s: float = ROUND_TRIP_S
    is_history_lost: bool = False
    pauses_leases: bool = False
    watch_delay_s: float = 0.0


class MemoryStore:
    """The state of the store; `client` returns a host's access to it.

    Attributes:
        faults: Faults in force.
        calls: Number of calls of hosts by kind.
    """

    def __init__(self, rng: random.Random):
        self.faults = StoreFaults()
        self.calls: dict[str, int] = {}
        self._rng = rng
        self._items: dict[str, tuple[bytes, int, int]] = {}
        self._last_values: dict[str, bytes] = {}
        self._events: list[Item] = []
        self._revision = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 100
        self._changed = asyncio.Event()
        self._late_writes: set[asyncio.Task] = set()

    def client(self, host: str) -> Store:
        """Returns a host's client, whose calls are subject to the faults."""
        return _Client(self, host)

    def put(self, key: str, value: bytes | None) -> None:
        """Writes a key as an operator or an executor does; None removes it."""
        self._expire()
        self._revision += 1
        self._set(key, value, 0)

    def get(self, key: str) -> bytes | None:
        """Returns the value of a key, unaffected by faults."""
        self._expire()
        found = self._items.get(key)
        return found[0] if found else None

    def last_value(self, key: str) -> bytes | None:
        """Returns the last value of a key, also if it has been removed."""
        return self._last_values.get(key)

    def keys(self, prefix: str) -> list[str]:
        """Returns the keys with a prefix, unaffected by faults."""
        self._expire()
        return sorted(k for k in self._items if k.startswith(prefix))

    def revoke(self, key: str) -> None:
        """Removes a key without ending the lease that it is bound to."""
        if key in self._items:
            self.put(key, None)

    def commit(self, txn: Txn) -> TxnReply:
        """Applies a transaction if all expected revisions match.

        Raises:
            AssertionError: It has more rows than the platform accepts.
        """
        self._expire()
        rows = len(txn.expected) + len(txn.puts) + len(txn.removed_keys)
        if rows > MAX_ROWS_PER_TXN:
            raise AssertionError(f"transaction has too many rows: {rows}")
        current = {
            key: self._items[key][1] if key in self._items else 0
            for key in txn.expected
        }
        if current != dict(txn.expected):
            found = [
                Item(key, self._items[key][0], self._items[key][1])
                for key in txn.expected
                if key in self._items
            ]
            return TxnReply(None, tuple(found))
        if txn.lease and txn.lease not in self._leases:
            return TxnReply(None)
        self._revision += 1
        for key, value in txn.puts.items():
            self._set(key, value, txn.lease if key in txn.leased_keys else 0)
        for key in txn.removed_keys:
            if key in self._items:
                self._set(key, None, 0)
        return TxnReply(self._revision)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _set(self, key: str, value: bytes | None, lease: int) -> None:
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = (value, self._revision, lease)
            self._last_values[key] = value
        self._events.append(Item(key, value, self._revision))
        self._changed.set()

    def _expire(self) -> None:
        if self.faults.is_down and self.faults.pauses_leases:
            return
        now = self._now()
        expired = {n for n, (until, _) in self._leases.items() if until <= now}
        for lease in expired:
            self.end_lease(lease)

    def open_lease(self, ttl_s: float) -> int:
        """Grants a lease and returns its number."""
        self._last_lease += 1
        self._leases[self._last_lease] = (self._now() + ttl_s, ttl_s)
        return self._last_lease

    def renew_lease(self, lease: int) -> bool:
        """Renews a lease; returns False if it has ended."""
        self._expire()
        if lease not in self._leases:
            return False
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (self._now() + ttl_s, ttl_s)
        return True

    def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        if self._leases.pop(lease, None) is None:
            return
        keys = [k for k, (_, _, n) in self._items.items() if n == lease]
        for key in keys:
            self._revision += 1
            self._set(key, None, 0)

    def item(self, key: str) -> Item | None:
        """Returns a key as a host reads it, None if it does not exist."""
        self._expire()
        found = self._items.get(key)
        return Item(key, found[0], found[1]) if found else None

    def scan(self, prefix: str) -> ScanResult:
        """Returns all items with a prefix."""
        self._expire()
        items = [
            Item(key, self._items[key][0], self._items[key][1])
            for key in sorted(self._items)
            if key.startswith(prefix)
        ]
        return ScanResult(tuple(items), self._revision)

    async def watch(
        self, host: str, prefix: str, after: int, wait_s: float
    ) -> Result[WatchResult, Problem]:
        """Waits for changes of keys with a prefix after a revision.

        Args:
            host: Host that watches.
            prefix: Prefix of the keys.
            after: Revision that the host knows.
            wait_s: Longest time to wait, in seconds.
        """
        if self.faults.is_history_lost:
            self.faults.is_history_lost = False
            return Success(WatchResult((), after, is_history_lost=True))
        until = self._now() + wait_s
        # Events up to here are older than the watch or have other keys.
        first = bisect.bisect_right(
            self._events, after, key=lambda i: i.revision
        )
        while True:
            self._expire()
            revision = self._revision
            items = tuple(
                i for i in self._events[first:] if i.key.startswith(prefix)
            )
            first = len(self._events)
            if items or self._now() >= until:
                if self.faults.watch_delay_s:
                    await asyncio.sleep(
                        self._rng.uniform(0.0, self.faults.watch_delay_s)
                    )
                return Success(WatchResult(items, revision))
            self._changed.clear()
            try:
                # Leases expire only when a call checks them, so the watch
                # checks every 0.1 s.
                async with asyncio.timeout(min(0.1, until - self._now())):
                    await self._changed.wait()
            except TimeoutError:
                pass
            if not self._is_reachable(host):
                await asyncio.sleep(wait_s + CALL_TIMEOUT_S)
                return failure(Code.TIMED_OUT, "the store does not answer")

    async def call(self, host: str, kind: str, operation, *, is_write: bool):
        """Handles a call of a host under the faults in force."""
        self.calls[kind] = self.calls.get(kind, 0) + 1
        faults = self.faults
        await asyncio.sleep(faults.round_trip_s / 2)
        if faults.is_refusing or host in faults.refused_hosts:
            return failure(Code.STORE_UNAVAILABLE, "refused")
        if not self._is_reachable(host):
            await asyncio.sleep(CALL_TIMEOUT_S)
            return failure(Code.TIMED_OUT, "the store does not answer")
        draw = self._rng.random()
        if is_write and draw < faults.late_share:
            self._apply_late(operation)
            await asyncio.sleep(CALL_TIMEOUT_S)
            return failure(Code.TIMED_OUT, "the answer was lost")
        found = operation()
        if is_write and draw < faults.late_share + faults.lost_share:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return failure(Code.TIMED_OUT, "the answer was lost")
        await asyncio.sleep(faults.round_trip_s / 2)
        return Success(found)

    def _apply_late(self, operation) -> None:
        async def apply_after_delay() -> None:
            await asyncio.sleep(self._rng.uniform(1.0, 6.0))
            operation()

        # The write takes effect even if the calling host has been killed.
        task = create_task_in_process("store", apply_after_delay())
        self._late_writes.add(task)
        task.add_done_callback(self._late_writes.discard)

    def _is_reachable(self, host: str) -> bool:
        return not (self.faults.is_down or host in self.faults.cut_hosts)


class _Client(Store):
    def __init__(self, store: MemoryStore, host: str):
        self._store = store
        self._host = host

    async def _call(
        self, kind: str, operation, *, is_write: bool = False
    ) -> Result:
        return await self._store.call(
            self._host, kind, operation, is_write=is_write
        )

    async def get(self, key: str) -> Result[Item | None, Problem]:
        def operation() -> Item | None:
            return self._store.item(key)

        return await self._call("get", operation)

    async def probe(self, key: str) -> Result[None, Problem]:
        return (await self.get(key)).map(lambda _: None)

    async def scan(self, prefix: str) -> Result[ScanResult, Problem]:
        return await self._call("scan", lambda: self._store.scan(prefix))

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Result[WatchResult, Problem]:
        reached = await self._call("watch", lambda: None)
        if isinstance(reached, Failure):
            return reached
        return await self._store.watch(self._host, prefix, after, wait_s)

    async def commit(self, txn: Txn) -> Result[TxnReply, Problem]:
        return await self._call(
            "commit", lambda: self._store.commit(txn), is_write=True
        )

    async def open_lease(self, ttl_s: float) -> Result[int, Problem]:
        return await self._call(
            "lease", lambda: self._store.open_lease(ttl_s), is_write=True
        )

    async def renew_lease(self, lease: int) -> Result[bool, Problem]:
        return await self._call("renew", lambda: self._store.renew_lease(lease))

    async def end_lease(self, lease: int) -> Result[None, Problem]:
        return await self._call("end", lambda: self._store.end_lease(lease))
