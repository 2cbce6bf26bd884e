"""Reads, writes and deletes of single keys with a definite outcome."""

__all__ = ["SettledKeys"]

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

# After this many refusals without effect an outage is reported; a write that
# may have had an effect is repeated without limit.
ATTEMPTS_BEFORE_OUTAGE = 4


class SettledKeys:
    """Keys of the store whose calls are repeated until they are settled.

    Args:
        store: The store.
        sleep: Coroutine function that waits for some seconds.
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
        self, key: str, *, until_answered: bool = False
    ) -> Result[VersionedValue, Problem]:
        """Returns the value of a key.

        Args:
            key: Key.
            until_answered: Whether to repeat the call without limit.

        Returns:
            The value; ``STORE_UNAVAILABLE`` for every failure, because a read
            has no effect.
        """
        delay_s, tried = MIN_RETRY_DELAY_S, 0
        while True:
            found = await self._store.get(key)
            tried += 1
            if isinstance(found, Success):
                return found
            if not until_answered and tried >= ATTEMPTS_BEFORE_OUTAGE:
                return found.lash(_unavailable)
            await self._sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    async def names(self, prefix: str) -> Result[tuple[str, ...], Problem]:
        """Returns the keys with a prefix in order of name."""
        listed = await self._store.list_versions(prefix)
        return listed.map(lambda keys: tuple(sorted(keys))).lash(_unavailable)

    async def put(
        self, key: str, value: bytes, *, version: int
    ) -> Result[int, Problem]:
        """Writes a key by compare-and-swap.

        Args:
            key: Key.
            value: The value.
            version: Version that the key must have.

        Returns:
            The new version; ``STORE_UNAVAILABLE`` if there was no effect;
            ``CAS_CONFLICT`` if the version is another one by now. After a
            conflict no call can succeed any more, but an earlier call whose
            answer was lost may have: the caller reads the key to find out.
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
            return failure(Code.CAS_CONFLICT, f"{key} was written since")
        return written

    async def delete(self, key: str, *, version: int) -> Result[int, Problem]:
        """Deletes a key at a version.

        Returns:
            The version; ``CHANGE_CONFLICT`` if another write came first;
            ``STORE_UNAVAILABLE`` if there was no effect.
        """
        delay_s, tried, was_lost = MIN_RETRY_DELAY_S, 0, False
        while True:
            match await self._store.delete(key, version=version):
                case Success(deleted):
                    return Success(deleted)
                case Failure(Problem(code=Code.CAS_CONFLICT)):
                    return await self._after_conflict(key, was_lost)
                case Failure(failed):
                    was_lost |= failed.code is Code.TIMED_OUT
            tried += 1
            if not was_lost and tried >= ATTEMPTS_BEFORE_OUTAGE:
                return _unavailable(failed)
            await self._sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    async def _after_conflict(self, key, was_lost) -> Result[int, Problem]:
        stored = (await self.get(key, until_answered=was_lost)).value_or(None)
        if stored is not None and stored.value is None:
            return Success(stored.version)
        return failure(Code.CHANGE_CONFLICT, f"{key} was changed just now")


def _is_unsettled(outcome: Result) -> bool:
    return (
        isinstance(outcome, Failure)
        and outcome.failure().code is Code.WRITE_UNSETTLED
    )


def _unavailable(failed: Problem) -> Failure:
    return failure(Code.STORE_UNAVAILABLE, failed.detail, retry_after_s=1.0)
