"""Store calls that are retried until their outcome is known."""

__all__ = ["RetryingStore"]

import asyncio
from collections.abc import Awaitable, Callable

from returns.result import Failure, Result, Success

from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.platform.store import ConfigStore, VersionedValue
from dragonflybank.platform.writes import (
    MAX_RETRY_DELAY_S,
    MIN_RETRY_DELAY_S,
    CasWriter,
)

# An outage is reported after this many failed calls that certainly had no
# effect. A write that may have taken effect is repeated without limit.
ATTEMPTS_BEFORE_OUTAGE = 4


class RetryingStore:
    """Reads, writes and deletes single keys with a definite outcome.

    Args:
        store: The configuration store.
        sleep: Coroutine function that waits for a number of seconds.
    """

    def __init__(
        self,
        store: ConfigStore,
        *,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ):
        self._store = store
        self._sleep = sleep
        self._writer = CasWriter(store, sleep=sleep)

    async def get(
        self, key: str, *, retry_without_limit: bool = False
    ) -> Result[VersionedValue, Problem]:
        """Returns the value of a key.

        Args:
            key: Key.
            retry_without_limit: Whether to repeat the call until it succeeds.

        Returns:
            The value; ``STORE_UNAVAILABLE`` for every failure, since a read
            has no effect that would have to be reported.
        """
        delay_s, attempts_made = MIN_RETRY_DELAY_S, 0
        while True:
            found = await self._store.get(key)
            attempts_made += 1
            if isinstance(found, Success):
                return found
            if (
                not retry_without_limit
                and attempts_made >= ATTEMPTS_BEFORE_OUTAGE
            ):
                return found.lash(_store_unavailable)
            await self._sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    async def list_keys(self, prefix: str) -> Result[tuple[str, ...], Problem]:
        """Returns the keys with a prefix in sorted order."""
        listed = await self._store.list_versions(prefix)
        return listed.map(lambda keys: tuple(sorted(keys))).lash(
            _store_unavailable
        )

    async def put(
        self, key: str, value: bytes, *, version: int
    ) -> Result[int, Problem]:
        """Writes a key by compare-and-swap.

        Args:
            key: Key.
            value: The value.
            version: Version that the key must have before the write.

        Returns:
            The new version; ``STORE_UNAVAILABLE`` if there was no effect;
            ``CAS_CONFLICT`` if the key has another version. After a conflict
            no further call can succeed, but an earlier call whose answer was
            lost may have succeeded. The caller reads the key to find out.
        """
        written = await self._writer.put(
            key,
            value,
            version=version,
            has_mark=lambda found: found == value,
            attempts=ATTEMPTS_BEFORE_OUTAGE,
        )
        if _is_unsettled(written):
            written = await self._writer.put(
                key, value, version=version, has_mark=lambda found: False
            )
        if _is_unsettled(written):
            return failure(
                Code.CAS_CONFLICT, f"{key} no longer has the expected version"
            )
        return written

    async def delete(self, key: str, *, version: int) -> Result[int, Problem]:
        """Deletes a key if it has a given version.

        Returns:
            The version; ``CHANGE_CONFLICT`` if another write came first;
            ``STORE_UNAVAILABLE`` if there was no effect.
        """
        delay_s, attempts_made, may_have_deleted = MIN_RETRY_DELAY_S, 0, False
        while True:
            match await self._store.delete(key, version=version):
                case Success(deleted):
                    return Success(deleted)
                case Failure(Problem(code=Code.CAS_CONFLICT)):
                    return await self._after_conflict(key, may_have_deleted)
                case Failure(failed):
                    may_have_deleted |= failed.code is Code.TIMED_OUT
            attempts_made += 1
            if not may_have_deleted and attempts_made >= ATTEMPTS_BEFORE_OUTAGE:
                return _store_unavailable(failed)
            await self._sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    async def _after_conflict(
        self, key, may_have_deleted
    ) -> Result[int, Problem]:
        stored = (
            await self.get(key, retry_without_limit=may_have_deleted)
        ).value_or(None)
        if stored is not None and stored.value is None:
            return Success(stored.version)
        return failure(
            Code.CHANGE_CONFLICT, f"{key} was changed by another writer"
        )


def _is_unsettled(outcome: Result) -> bool:
    return (
        isinstance(outcome, Failure)
        and outcome.failure().code is Code.WRITE_UNSETTLED
    )


def _store_unavailable(failed: Problem) -> Failure:
    return failure(Code.STORE_UNAVAILABLE, failed.detail, retry_after_s=1.0)
