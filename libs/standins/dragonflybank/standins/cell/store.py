"""A metadata store in memory with the faults of the platform's store."""

__all__ = ["MemoryStore", "StoreFaults"]

import asyncio
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

ANSWER_S = 0.004
TIMEOUT_S = 1.0
MAX_ROWS = 32


@attrs.define
class StoreFaults:
    """Faults of the store, changed while it serves.

    Attributes:
        is_down: Whether nobody gets an answer.
        is_refusing: Whether it answers at once that nothing was done.
        cut: Hosts that get no answer.
        refused: Hosts that are told that nothing was done.
        lost_share: Share of the writes that are done and not answered.
        late_share: Share of the writes that are done seconds later.
        answer_s: Time of an answer in seconds.
        is_history_lost: Whether the next watch finds its history gone.
        leases_pause: Whether leases wait while it is down.
    """

    is_down: bool = False
    is_refusing: bool = False
    cut: set[str] = attrs.field(factory=set)
    refused: set[str] = attrs.field(factory=set)
    lost_share: float = 0.0
    late_share: float = 0.0
    answer_s: float = ANSWER_S
    is_history_lost: bool = False
    leases_pause: bool = False


class MemoryStore:
    """The store itself; `client` returns it as one host reaches it.

    Attributes:
        faults: Its present faults.
        calls: Number of calls by kind.
    """

    def __init__(self, rng: random.Random):
        self.faults = StoreFaults()
        self.calls: dict[str, int] = {}
        self._rng = rng
        self._items: dict[str, tuple[bytes, int, int]] = {}
        self._events: list[Item] = []
        self._revision = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._numbers = 100
        self._changed = asyncio.Event()
        self._late: set[asyncio.Task] = set()

    def client(self, host: str) -> Store:
        """Returns the store as a host reaches it."""
        return _Client(self, host)

    def put(self, key: str, value: bytes | None) -> None:
        """Writes as an operator or an executor does."""
        self._expire()
        self._revision += 1
        self._set(key, value, 0)

    def get(self, key: str) -> bytes | None:
        """Returns a value, without the store's faults."""
        self._expire()
        found = self._items.get(key)
        return found[0] if found else None

    def keys(self, prefix: str) -> list[str]:
        """Returns the keys with a prefix, without the store's faults."""
        self._expire()
        return sorted(k for k in self._items if k.startswith(prefix))

    def revoke(self, key: str) -> None:
        """Takes a key away without a sign to the holder of its lease."""
        if key in self._items:
            self.put(key, None)

    def commit(self, txn: Txn) -> TxnReply:
        """Carries out a transaction."""
        self._expire()
        rows = len(txn.expected) + len(txn.puts) + len(txn.removed_keys)
        if rows > MAX_ROWS:
            raise AssertionError(f"{rows} rows in a transaction")
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
        self._events.append(Item(key, value, self._revision))
        self._changed.set()

    def _expire(self) -> None:
        if self.faults.is_down and self.faults.leases_pause:
            return
        now = self._now()
        over = {n for n, (until, _) in self._leases.items() if until <= now}
        for lease in over:
            self.end_lease(lease)

    def open_lease(self, ttl_s: float) -> int:
        """Returns a new lease."""
        self._numbers += 1
        self._leases[self._numbers] = (self._now() + ttl_s, ttl_s)
        return self._numbers

    def renew_lease(self, lease: int) -> bool:
        """Renews a lease; False if it has ended."""
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
        """Waits for changes."""
        if self.faults.is_history_lost:
            self.faults.is_history_lost = False
            return Success(WatchResult((), after, is_history_lost=True))
        until = self._now() + wait_s
        while True:
            self._expire()
            revision = self._revision
            items = tuple(
                i
                for i in self._events
                if i.revision > after and i.key.startswith(prefix)
            )
            if items or self._now() >= until:
                return Success(WatchResult(items, revision))
            self._changed.clear()
            try:
                # Ends of leases are noticed within the step.
                async with asyncio.timeout(min(0.1, until - self._now())):
                    await self._changed.wait()
            except TimeoutError:
                pass
            if not self._answers(host):
                await asyncio.sleep(wait_s + TIMEOUT_S)
                return failure(Code.TIMED_OUT, "the store is silent")

    async def call(self, host: str, kind: str, work, *, writes: bool):
        """Plays one call of a host with the present faults."""
        self.calls[kind] = self.calls.get(kind, 0) + 1
        faults = self.faults
        await asyncio.sleep(faults.answer_s / 2)
        if faults.is_refusing or host in faults.refused:
            return failure(Code.STORE_UNAVAILABLE, "refused")
        if not self._answers(host):
            await asyncio.sleep(TIMEOUT_S)
            return failure(Code.TIMED_OUT, "the store is silent")
        drawn = self._rng.random()
        if writes and drawn < faults.late_share:
            self._later(work)
            await asyncio.sleep(TIMEOUT_S)
            return failure(Code.TIMED_OUT, "the answer was lost")
        found = work()
        if writes and drawn < faults.late_share + faults.lost_share:
            await asyncio.sleep(TIMEOUT_S)
            return failure(Code.TIMED_OUT, "the answer was lost")
        await asyncio.sleep(faults.answer_s / 2)
        return Success(found)

    def _later(self, work) -> None:
        async def late() -> None:
            await asyncio.sleep(self._rng.uniform(1.0, 6.0))
            work()

        # It is carried out also if the host that made the call has ended.
        task = create_task_in_process("store", late())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    def _answers(self, host: str) -> bool:
        return not (self.faults.is_down or host in self.faults.cut)


class _Client(Store):
    def __init__(self, store: MemoryStore, host: str):
        self._store = store
        self._host = host

    async def _call(self, kind: str, work, *, writes: bool = False) -> Result:
        return await self._store.call(self._host, kind, work, writes=writes)

    async def get(self, key: str) -> Result[Item | None, Problem]:
        def work() -> Item | None:
            items = self._store.scan(key).items
            return next((i for i in items if i.key == key), None)

        return await self._call("get", work)

    async def probe(self, key: str) -> Result[None, Problem]:
        return (await self.get(key)).map(lambda _: None)

    async def scan(self, prefix: str) -> Result[ScanResult, Problem]:
        return await self._call("scan", lambda: self._store.scan(prefix))

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Result[WatchResult, Problem]:
        begun = await self._call("watch", lambda: None)
        if isinstance(begun, Failure):
            return begun
        return await self._store.watch(self._host, prefix, after, wait_s)

    async def commit(self, txn: Txn) -> Result[TxnReply, Problem]:
        return await self._call(
            "commit", lambda: self._store.commit(txn), writes=True
        )

    async def open_lease(self, ttl_s: float) -> Result[int, Problem]:
        return await self._call(
            "lease", lambda: self._store.open_lease(ttl_s), writes=True
        )

    async def renew_lease(self, lease: int) -> Result[bool, Problem]:
        return await self._call("renew", lambda: self._store.renew_lease(lease))

    async def end_lease(self, lease: int) -> Result[None, Problem]:
        return await self._call("end", lambda: self._store.end_lease(lease))
