"""Store writes whose outcome is determined even if their answer is lost."""

__all__ = ["CasWriter", "new_write_mark"]

import asyncio
import secrets
from collections.abc import Awaitable, Callable

from returns.result import Failure, Result, Success

from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.platform.store import ConfigStore

MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 2.0


def new_write_mark() -> str:
    """Returns a random mark that identifies one write."""
    return secrets.token_hex(8)


class CasWriter:
    """Repeats a compare-and-swap until its outcome is known.

    If the answer to a write is lost, a read does not show its outcome, because
    the request may still arrive. Therefore the same compare-and-swap is sent
    again; at most one of the two requests takes effect. After a conflict, the
    mark in the stored value tells whether this write or another one succeeded.

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

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        version: int,
        has_mark: Callable[[bytes], bool],
        attempts: int | None = None,
        resumed: bool = False,
    ) -> Result[int, Problem]:
        """Writes a value and determines whether the write took effect.

        Args:
            key: Key.
            value: Bytes that contain the mark of this write.
            version: Version that the key must have.
            has_mark: Returns whether a value contains the mark of this write.
            attempts: Maximum number of calls; None for no limit.
            resumed: Whether an earlier call for the same write returned
                ``WRITE_UNSETTLED``, so that the write may have had an effect.

        Returns:
            The new version; ``CAS_CONFLICT`` if another write succeeded
            instead; ``STORE_UNAVAILABLE`` if no call had an effect;
            ``WRITE_UNSETTLED`` if the outcome is still unknown after all
            attempts, or if several writes replaced the value, one of which
            may be this one.
        """
        may_have_effect = resumed
        delay_s = MIN_RETRY_DELAY_S
        last_problem = Problem(Code.STORE_UNAVAILABLE)
        tries = 0
        while attempts is None or tries < attempts:
            tries += 1
            outcome = await self._store.put(key, value, version=version)
            match outcome:
                case Success(_):
                    return outcome
                case Failure(Problem(code=Code.CAS_CONFLICT)):
                    resolved = await self._resolve_conflict(
                        key, version, has_mark
                    )
                    if resolved is not None:
                        return resolved
                case Failure(Problem(code=Code.BAD_REQUEST)):
                    return outcome
                case Failure(failed):
                    last_problem = failed
                    may_have_effect |= failed.code is Code.TIMED_OUT
            if attempts is None or tries < attempts:
                await self._sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
        code = (
            Code.WRITE_UNSETTLED if may_have_effect else Code.STORE_UNAVAILABLE
        )
        return failure(code, last_problem.detail, retry_after_s=1.0)

    async def _resolve_conflict(
        self, key: str, version: int, has_mark: Callable[[bytes], bool]
    ) -> Result[int, Problem] | None:
        # A conflict on the first call needs this as well. An earlier call may
        # have taken effect if the write is resumed, and the store's client may
        # have sent the request twice after a connection broke.
        match await self._store.get(key):
            case Success(stored) if stored.value is not None and has_mark(
                stored.value
            ):
                return Success(stored.version)
            case Success(stored) if stored.version <= version + 1:
                return failure(
                    Code.CAS_CONFLICT, f"{key} was written by another writer"
                )
            case Success(_):
                # This write may have been the first of several and replaced.
                return failure(
                    Code.WRITE_UNSETTLED, f"{key} was written more than once"
                )
        return None
