"""The journal of a shard: one value in the store, written in group commits.

One write is in flight at a time, and changes made in the meantime share the
next one. The store thus gets at most ten writes per second for each shard,
whatever the load. Writes are compare-and-swap operations, which fence off a
former home.
"""

__all__ = ["Journal"]

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from returns.result import Failure, Result, Success

from dragonflybank.jobs.entries import JobKey
from dragonflybank.jobs.table import ShardTable
from dragonflybank.jobs.value import (
    EncodedItem,
    Item,
    decode_home,
    decode_mark,
    decode_shard,
    shard_key,
)
from dragonflybank.jobs.write_batch import WriteBatch
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.decoding import DecodeError
from dragonflybank.platform.store import ConfigStore
from dragonflybank.platform.writes import CasWriter, new_write_mark

WRITE_INTERVAL_S = 0.1
# After three calls of at most 2 s each, callers get ``WRITE_UNSETTLED``. The
# write is still repeated until it is settled.
ATTEMPTS_BEFORE_ANSWER = 3
RETRY_AFTER_S = 1.0


class Journal:
    """The items of a shard and their commits to the store.

    Attributes:
        shard: Name of the shard.
        host: Name of this host.
        table: Items of the shard.
        written_at: Time of the latest settled write, seconds since 1970.
        is_open: Whether this host is the home as far as it knows.
        is_stalled: Whether the outcome of the write in flight is unknown.

    Args:
        store: The store.
        shard: Name of the shard.
        host: Name of this host.
        sleep: Coroutine function that waits for some seconds.
        on_settled: Called with the changed keys after each settled write,
            and with all keys when the shard is lost.
    """

    def __init__(
        self,
        store: ConfigStore,
        shard: str,
        host: str,
        *,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        on_settled: Callable[[Iterable[JobKey]], None] = lambda keys: None,
    ):
        self.shard = shard
        self.host = host
        self.table = ShardTable()
        self.written_at = 0.0
        self.is_open = False
        self.is_stalled = False
        self._store = store
        self._sleep = sleep
        self._writer = CasWriter(store, sleep=sleep)
        self._on_settled = on_settled
        self._version = 0
        self._releasing = False
        self._in_flight: WriteBatch | None = None
        self._pending: WriteBatch | None = None
        self._flushing: asyncio.Task | None = None

    async def open(
        self,
        now: float,
        *,
        min_idle_s: float = 0.0,
        is_dead: Callable[[str], bool] = lambda host: True,
    ) -> Result[None, Problem]:
        """Reads the shard and makes this host its home.

        Args:
            now: Current time, seconds since 1970.
            min_idle_s: Minimum time since the latest write of another home,
                in seconds.
            is_dead: Returns whether a host is dead. A shard is taken over
                only from a home that is dead or has released it.

        Returns:
            ``NOT_HOME`` if the shard has another home, ``CAS_CONFLICT`` if
            another host took the shard over at the same time, or the problem
            of the store.
        """
        found = await self._store.get(shard_key(self.shard))
        if isinstance(found, Failure):
            return found
        stored = found.unwrap()
        if stored.value is not None:
            refused = self._load(stored.value, now, min_idle_s, is_dead)
            if refused is not None:
                return refused
        self._version = stored.version
        mark = new_write_mark()
        outcome = await self._put(
            self.table.encode(self.shard, self.host, mark, now),
            mark,
            attempts=ATTEMPTS_BEFORE_ANSWER,
        )
        if isinstance(outcome, Failure):
            self.table.clear()
            return outcome
        self.is_open = True
        self.table.mark_all_settled()
        self._version, self.written_at = outcome.unwrap(), now
        return Success(None)

    async def commit(
        self, *items: Item, now: float, remove: Iterable[JobKey] = ()
    ) -> Result[None, Problem]:
        """Changes items and waits until the change is settled.

        The latest state has the changes before the first await. They are
        reverted if the write certainly had no effect. Without items the shard
        is rewritten.

        Args:
            *items: Changed entries and tombstones.
            now: Current time, seconds since 1970.
            remove: Keys to remove.

        Returns:
            ``STORE_UNAVAILABLE`` if the change was certainly not made,
            ``WRITE_UNSETTLED`` if the outcome is unknown, ``NOT_HOME`` if
            this host lost the shard, ``DRAINING`` if it is releasing it.
        """
        changes = {item.key: EncodedItem.from_item(item) for item in items}
        changes.update(dict.fromkeys(remove))
        refused = self._commit_refusal(changes)
        if refused is not None:
            return refused
        self.table.apply(changes)
        batch = self._pending = self._pending or WriteBatch()
        batch.items.update(changes)
        batch.changed_at = max(batch.changed_at, now)
        if self._flushing is None or self._flushing.done():
            self._flushing = asyncio.create_task(self._flush())
        return await batch.wait()

    async def wait_settled(self, key: JobKey) -> Result[None, Problem]:
        """Waits until all changes of a key are settled."""
        # The write in flight comes first: while it is not settled, a pending
        # change of the same key is refused as not made.
        for batch in (self._in_flight, self._pending):
            if batch is not None and key in batch.items:
                outcome = await batch.wait()
                if isinstance(outcome, Failure):
                    return outcome
        if not self.is_open:
            return failure(Code.NOT_HOME, f"{self.shard} has another home")
        return Success(None)

    async def confirm_home(self) -> Result[None, Problem]:
        """Checks in the store whether this host is still the home.

        A home that was paused doesn't know of jobs that another home has
        accepted in the meantime.

        Returns:
            ``NOT_HOME`` if it is not the home or the store does not answer.
        """
        found = await self._store.get(shard_key(self.shard))
        raw = found.map(lambda stored: stored.value).value_or(None)
        if self.is_open and raw is not None and decode_home(raw) == self.host:
            return Success(None)
        return failure(
            Code.NOT_HOME,
            f"{self.shard} may have another home",
            retry_after_s=RETRY_AFTER_S,
        )

    @property
    def is_releasing(self) -> bool:
        """Whether a release is in progress or must be repeated."""
        return self._releasing

    async def release(self, now: float) -> bool:
        """Waits for the changes in progress and releases the shard.

        Returns:
            False if the store did not accept the release. The shard then
            stays at this host, since no other host takes it over from a live
            home.
        """
        self._releasing = True
        for batch in (self._in_flight, self._pending):
            if batch is not None:
                await batch.wait()
        self._releasing = not self.is_stalled
        if self.is_open and not self.is_stalled:
            mark = new_write_mark()
            value = self.table.encode(self.shard, "", mark, now)
            outcome = await self._put(value, mark, attempts=1)
            failed = isinstance(outcome, Failure)
            code = outcome.failure().code if failed else Code.OK
            if code is Code.WRITE_UNSETTLED and await self._is_replaced():
                code = Code.CAS_CONFLICT
            if code in (Code.OK, Code.CAS_CONFLICT):
                self._stop()
            # A release that may have had an effect must be repeated.
            self._releasing = code is not Code.STORE_UNAVAILABLE
        return not self.is_open

    async def _is_replaced(self) -> bool:
        """Returns whether the store has a later version of the shard.

        An earlier release may have had an effect without an answer, after which
        other homes may have opened the shard. This one can't write any more.
        """
        found = await self._store.get(shard_key(self.shard))
        return (
            isinstance(found, Success)
            and found.unwrap().version > self._version
        )

    async def close(self, now: float) -> None:
        """Releases the shard; closes it even if the store does not answer."""
        await self.release(now)
        if self.is_open:
            self._stop()

    def _stop(self) -> None:
        if self._flushing is not None:
            self._flushing.cancel()
        self._lose_shard(Problem(Code.NOT_HOME, f"{self.shard} was released"))

    def _load(
        self,
        raw: bytes,
        now: float,
        min_idle_s: float,
        is_dead: Callable[[str], bool],
    ) -> Result | None:
        try:
            value, items = decode_shard(raw)
        except DecodeError as exc:
            # The value is not overwritten: a newer version may have written it.
            return _unavailable(f"{self.shard} cannot be read: {exc}")
        # Clocks differ between hosts, so the age may be negative.
        is_recent = min_idle_s > 0 and now - value.written_at < min_idle_s
        has_other = value.home not in ("", self.host)
        if has_other and (is_recent or not is_dead(value.home)):
            return failure(Code.NOT_HOME, f"the home is {value.home}")
        self.table.load(items)
        return None

    def _commit_refusal(self, keys: Iterable[JobKey]) -> Result | None:
        if not self.is_open:
            return failure(Code.NOT_HOME, f"{self.shard} has another home")
        if self.is_stalled:
            if any(key in self._in_flight.items for key in keys):
                return failure(
                    Code.WRITE_UNSETTLED,
                    "an earlier change of this job is not settled",
                    retry_after_s=RETRY_AFTER_S,
                )
            return _unavailable("the store does not answer")
        if self._releasing:
            return failure(
                Code.DRAINING,
                "the shard is being moved to another host",
                retry_after_s=RETRY_AFTER_S,
            )
        return None

    async def _flush(self) -> None:
        try:
            while self._pending is not None:
                self._in_flight, self._pending = self._pending, None
                await asyncio.gather(
                    self._write(self._in_flight), self._sleep(WRITE_INTERVAL_S)
                )
        except Exception as exc:
            # A programming error must not leave callers waiting forever.
            self._lose_shard(Problem(Code.WRITE_UNSETTLED, repr(exc)))
            raise

    async def _write(self, batch: WriteBatch) -> None:
        mark = new_write_mark()
        value = self.table.encode(self.shard, self.host, mark, batch.changed_at)
        outcome = await self._put(value, mark, attempts=ATTEMPTS_BEFORE_ANSWER)
        match outcome:
            case Failure(Problem(code=Code.WRITE_UNSETTLED) as failed):
                self._stall(failed)
                outcome = await self._put(value, mark, resumed=True)
                self.is_stalled = False
        match outcome:
            case Success(version):
                self._complete_write(batch, version)
            case Failure(
                Problem(code=Code.CAS_CONFLICT | Code.WRITE_UNSETTLED) as failed
            ):
                self._lose_shard(failed)
            case Failure(failed):
                self._roll_back(failed)

    def _complete_write(self, batch: WriteBatch, version: int) -> None:
        self._version, self.written_at = version, batch.changed_at
        self.table.mark_settled(batch.items)
        self._in_flight = None
        batch.set_outcome(Success(None))
        self._on_settled(batch.items)

    def _stall(self, failed: Problem) -> None:
        # Callers get their answer now. The write is repeated until it is
        # settled.
        self.is_stalled = True
        self._in_flight.set_outcome(Failure(failed))
        pending, self._pending = self._pending, None
        if pending is not None:
            self.table.revert(pending.items, self._in_flight.items)
            pending.set_outcome(_unavailable(failed.detail))

    def _roll_back(self, failed: Problem) -> None:
        # Pending changes may depend on those of the failed write.
        for batch in self._take_batches():
            self.table.revert(batch.items, {})
            batch.set_outcome(_unavailable(failed.detail))

    def _lose_shard(self, failed: Problem) -> None:
        self.is_open = self.is_stalled = False
        keys = self.table.clear()
        unsettled = failed.code is Code.WRITE_UNSETTLED
        code = Code.WRITE_UNSETTLED if unsettled else Code.NOT_HOME
        for batch in self._take_batches():
            batch.set_outcome(failure(code, failed.detail))
        self._on_settled(keys)

    def _take_batches(self) -> list[WriteBatch]:
        batches = (self._in_flight, self._pending)
        self._in_flight = self._pending = None
        return [batch for batch in batches if batch is not None]

    async def _put(
        self, value: bytes, mark: str, **how
    ) -> Result[int, Problem]:
        return await self._writer.put(
            shard_key(self.shard),
            value,
            version=self._version,
            has_mark=lambda raw: decode_mark(raw) == mark,
            **how,
        )


def _unavailable(detail: str) -> Result:
    return failure(Code.STORE_UNAVAILABLE, detail, retry_after_s=RETRY_AFTER_S)
