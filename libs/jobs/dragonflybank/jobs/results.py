"""Store of long results under their own keys.

A long result in the shard's value would be written again with every change of
the shard. It is written once under ``results/<task id>`` instead, before the
journal refers to it.
"""

__all__ = ["ResultStore", "StoredResult", "TokenBucket"]

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import msgspec
from returns.result import Failure, Result, Success

from dragonflybank.jobs.entries import Entry, JobKey, task_index
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.hashing import digest
from dragonflybank.platform.store import ConfigStore
from dragonflybank.platform.writes import CasWriter, new_write_mark

# One host's share of the several hundred writes per second of the store.
RESULT_WRITES_PER_S = 20.0
# Longest wait for a write. A result that would wait longer stays at its worker,
# which reports it again.
MAX_PACING_WAIT_S = 2.0
MAX_WRITE_ATTEMPTS = 3


@attrs.frozen
class StoredResult:
    """The value of a result key.

    Attributes:
        mark: Random mark of the write, see `new_write_mark`.
        digest: SHA-256 of the text in UTF-8, hexadecimal.
        text: The result.
    """

    mark: str
    digest: str
    text: str


class TokenBucket:
    """Rate limiter with a burst of one second of calls.

    Args:
        rate_per_s: Calls per second.
    """

    def __init__(self, rate_per_s: float):
        self._interval_s = 1.0 / rate_per_s
        self._next_at = 0.0

    def acquire(self, now: float, *, max_wait_s: float) -> float | None:
        """Reserves a token and returns the wait until it is valid, in seconds.

        Returns:
            The wait; None if it would be too long. No token is reserved then.

        Example:
            >>> bucket = TokenBucket(2.0)
            >>> [bucket.acquire(10.0, max_wait_s=1.0) for _ in range(6)]
            [0.0, 0.0, 0.0, 0.5, 1.0, None]
            >>> bucket.acquire(11.0, max_wait_s=1.0)
            0.5
        """
        next_at = max(self._next_at, now - 1.0)
        wait_s = max(0.0, next_at - now)
        if wait_s > max_wait_s:
            return None
        self._next_at = next_at + self._interval_s
        return wait_s


class ResultStore:
    """Writes, reads and deletes results at a limited rate for the whole host.

    Args:
        store: The store.
        writes_per_s: Writes and deletes per second.
        sleep: Coroutine function that waits for some seconds.
    """

    def __init__(
        self,
        store: ConfigStore,
        *,
        writes_per_s: float = RESULT_WRITES_PER_S,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ):
        self._store = store
        self._sleep = sleep
        self._writer = CasWriter(store, sleep=sleep)
        self._bucket = TokenBucket(writes_per_s)
        self._writing: set[str] = set()

    async def write(
        self, task_id: str, text: str, now: float
    ) -> Result[str, Problem]:
        """Writes a result once and returns its digest.

        Writing the same result again has no effect.

        Returns:
            The digest; ``FULL`` if too many results wait, or the problem of
            the store.
        """
        if task_id in self._writing:
            return failure(Code.FULL, "the result is being written")
        wait_s = self._bucket.acquire(now, max_wait_s=MAX_PACING_WAIT_S)
        if wait_s is None:
            return failure(
                Code.FULL,
                "too many results wait",
                retry_after_s=MAX_PACING_WAIT_S,
            )
        self._writing.add(task_id)
        try:
            await self._sleep(wait_s)
            return await self._write(task_id, text)
        finally:
            self._writing.discard(task_id)

    async def read(
        self, task_id: str, expected_digest: str
    ) -> Result[str, Problem]:
        """Returns the result of a task, checked by its digest."""
        found = await self._store.get(_key(task_id))
        if isinstance(found, Failure):
            return found
        value = found.unwrap().value
        if value is None or _decode(value).digest != expected_digest:
            return failure(Code.ASK_AGAIN, "the result is no longer stored")
        return Success(_decode(value).text)

    async def read_all(self, entry: Entry) -> Result[tuple[str, ...], Problem]:
        """Returns the results of a job in the order of its tasks."""
        texts = dict(entry.record.results)
        for task, expected_digest in entry.stored.items():
            found = await self.read(task, expected_digest)
            if isinstance(found, Failure):
                return found
            texts[task] = found.unwrap()
        return Success(tuple(texts[t] for t in sorted(texts, key=task_index)))

    async def delete(self, key: JobKey, now: float) -> Result[None, Problem]:
        """Deletes all results of a job.

        Returns:
            ``FULL`` if too many calls wait, or the problem of the store.
        """
        prefix = _key("/".join(key)) + "/"
        found = await self._store.list_versions(prefix)
        if isinstance(found, Failure):
            return found
        for name, version in found.unwrap().items():
            if not _is_task_suffix(name.removeprefix(prefix)):
                continue
            wait_s = self._bucket.acquire(now, max_wait_s=MAX_PACING_WAIT_S)
            if wait_s is None:
                return failure(Code.FULL, "too many results wait")
            await self._sleep(wait_s)
            outcome = await self._store.delete(name, version=version)
            if isinstance(outcome, Failure):
                return outcome
        return Success(None)

    async def _write(self, task_id: str, text: str) -> Result[str, Problem]:
        expected_digest = digest(text.encode())
        value = msgspec.msgpack.encode(
            StoredResult(new_write_mark(), expected_digest, text)
        )
        outcome = await self._writer.put(
            _key(task_id),
            value,
            version=0,
            has_mark=lambda raw: _decode(raw).digest == expected_digest,
            attempts=MAX_WRITE_ATTEMPTS,
        )
        if isinstance(outcome, Success):
            return Success(expected_digest)
        if outcome.failure().code is Code.CAS_CONFLICT:
            # An earlier delivery of the same event may have written it.
            present = await self.read(task_id, expected_digest)
            return present.map(lambda text: expected_digest)
        return outcome


def _decode(raw: bytes) -> StoredResult:
    return msgspec.msgpack.decode(raw, type=StoredResult)


def _key(task_id: str) -> str:
    return f"results/{task_id}"


def _is_task_suffix(rest: str) -> bool:
    # Job keys may contain slashes, so the prefix of one job's results may also
    # match those of another job.
    parts = rest.split("/")
    return len(parts) == 2 and all(part.isdecimal() for part in parts)
