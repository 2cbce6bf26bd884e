"""The configuration and its staged changes in the platform's store.

An operator gets a reply only after the outcome of the write is known. If the
store's answer is lost, the same compare-and-swap is repeated until the store
gives a definite answer. The history of the configuration holds the identifier
of each applied change, which makes applying a change idempotent.
"""

__all__ = ["STAGED_PREFIX", "ConfigEditor"]

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from returns.result import Failure, Result, Success

from dragonflybank.config import changes
from dragonflybank.config.changes import EditRequest
from dragonflybank.config.edits import (
    CHANGE_NAME_RULE,
    AppliedChange,
    Change,
    Difference,
    decode_change,
    encode_change,
)
from dragonflybank.config.operator import (
    ACTIVE_KEY,
    OperatorConfig,
    decode_operator_config,
    encode_operator_config,
)
from dragonflybank.config.retrying_store import RetryingStore
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.platform.store import ConfigStore, VersionedValue
from dragonflybank.platform.writes import new_write_mark

STAGED_PREFIX = "config/staged/"
# Each failed attempt means that the change of another operator was written.
MAX_WRITE_ATTEMPTS = 20


class ConfigEditor:
    """Stages, compares, applies and withdraws changes.

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
        self._retrying_store = RetryingStore(store, sleep=sleep)

    async def active_config(self) -> Result[OperatorConfig, Problem]:
        """Returns the configuration in force."""
        return (await self._retrying_store.get(ACTIVE_KEY)).bind(_decode_active)

    async def create(
        self, cfg: OperatorConfig
    ) -> Result[OperatorConfig, Problem]:
        """Writes the first configuration; fails with 208 if one exists."""
        stored = await self._retrying_store.get(ACTIVE_KEY)
        if isinstance(stored, Failure):
            return stored
        value = encode_operator_config(cfg).encode()
        before = stored.unwrap()
        if before.value is None:
            written = await self._retrying_store.put(
                ACTIVE_KEY, value, version=before.version
            )
            if not _is_conflict(written):
                return written.map(lambda _: cfg)
            stored = await self._retrying_store.get(
                ACTIVE_KEY, retry_without_limit=True
            )
            if stored.unwrap().value == value:
                return Success(cfg)
        return failure(
            Code.CHANGE_CONFLICT,
            "a configuration is in force already",
            accepted="stage and apply a change",
        )

    async def list_staged(self) -> Result[tuple[Change, ...], Problem]:
        """Returns the staged changes sorted by name."""
        keys = await self._retrying_store.list_keys(STAGED_PREFIX)
        if isinstance(keys, Failure):
            return keys
        found = [await self._retrying_store.get(key) for key in keys.unwrap()]
        decoded = [stored.bind(_decode_staged) for stored in found]
        failed = next((e for e in decoded if isinstance(e, Failure)), None)
        if failed is not None:
            return failed
        staged = (each.unwrap() for each in decoded)
        return Success(tuple(change for change in staged if change))

    async def stage(
        self,
        name: str,
        author: str,
        requests: Sequence[EditRequest],
        *,
        now: float,
    ) -> Result[Change, Problem]:
        """Stages a change, or replaces a staged change of the same author.

        Args:
            name: Name of the change.
            author: Operator who stages it.
            requests: Edits in order.
            now: Seconds since 1970.
        """
        if not CHANGE_NAME_RULE.accepts(name):
            return failure(
                Code.BAD_COMMAND,
                f"{name!r} is not a name of a change",
                field="name",
                accepted=CHANGE_NAME_RULE.description,
            )
        change = (await self.active_config()).bind(
            lambda cfg: changes.stage(
                cfg, name, author, requests, change_id=new_write_mark(), now=now
            )
        )
        if isinstance(change, Failure):
            return change
        return await self._write_staged(change.unwrap())

    async def diff(self, name: str) -> Result[tuple[Difference, ...], Problem]:
        """Returns the effect that a staged change would have now."""
        change = (await self._get_staged(name)).map(lambda found: found[1])
        active = await self.active_config()
        return change.bind(
            lambda chg: active.map(lambda cfg: changes.diff(cfg, chg))
        )

    async def apply(
        self, name: str, by: str, *, now: float
    ) -> Result[AppliedChange, Problem]:
        """Applies a staged change and removes it from the staged changes.

        Args:
            name: Name of the change.
            by: Operator who applies it.
            now: Seconds since 1970.
        """
        found = await self._get_staged(name)
        if isinstance(found, Failure):
            return await self._find_applied(name, found)
        version, change = found.unwrap()
        applied = await self._apply_until_settled(change, by, now)
        if isinstance(applied, Success):
            # If this fails, the change remains staged. Applying it again
            # returns the same generation.
            await self._store.delete(STAGED_PREFIX + name, version=version)
        return applied

    async def withdraw(self, name: str) -> Result[Change, Problem]:
        """Removes a staged change."""
        found = await self._get_staged(name)
        if isinstance(found, Failure):
            return found
        version, change = found.unwrap()
        deleted = await self._retrying_store.delete(
            STAGED_PREFIX + name, version=version
        )
        return deleted.map(lambda _: change)

    async def _apply_until_settled(
        self, change, by, now
    ) -> Result[AppliedChange, Problem]:
        attempted_generation = 0
        for _ in range(MAX_WRITE_ATTEMPTS):
            # After a write that may have taken effect, reads are retried
            # until the store answers, since the outcome depends on them.
            stored = await self._retrying_store.get(
                ACTIVE_KEY, retry_without_limit=attempted_generation > 0
            )
            active = stored.bind(_decode_active)
            if isinstance(active, Failure):
                return active
            cfg = active.unwrap()
            applied = changes.find_applied_change(cfg, change.id)
            if applied is not None:
                return Success(applied)
            if (
                0
                < attempted_generation
                <= cfg.generation - changes.MAX_HISTORY_ENTRIES
            ):
                return _unknown_outcome(change)
            updated = changes.apply(cfg, change, by=by, now=now)
            if isinstance(updated, Failure):
                return updated
            attempted_generation = updated.unwrap().generation
            written = await self._retrying_store.put(
                ACTIVE_KEY,
                encode_operator_config(updated.unwrap()).encode(),
                version=stored.unwrap().version,
            )
            if isinstance(written, Success):
                return Success(updated.unwrap().history[-1])
            if not _is_conflict(written):
                return written
        return failure(
            Code.CHANGE_CONFLICT,
            f"{MAX_WRITE_ATTEMPTS} other changes were applied first",
            retry_after_s=1.0,
        )

    async def _find_applied(self, name, failed) -> Result:
        """Returns the change if it was applied earlier, else the failure."""
        if failed.failure().code is not Code.BAD_COMMAND:
            return failed
        history = (await self.active_config()).map(lambda cfg: cfg.history)
        applied = [e for e in history.value_or(()) if e.name == name]
        return Success(applied[-1]) if applied else failed

    async def _write_staged(self, change) -> Result[Change, Problem]:
        key = STAGED_PREFIX + change.name
        value = encode_change(change).encode()
        may_have_written = False
        for _ in range(MAX_WRITE_ATTEMPTS):
            stored = await self._retrying_store.get(
                key, retry_without_limit=may_have_written
            )
            match stored.bind(_decode_staged):
                case Success(Change(id=change.id)):
                    return Success(change)
                case Success(Change(author=author)) if author != change.author:
                    return _name_taken(change.name, author)
                case Failure(failed):
                    return Failure(failed)
            may_have_written = True
            written = await self._retrying_store.put(
                key, value, version=stored.unwrap().version
            )
            if not _is_conflict(written):
                return written.map(lambda _: change)
        return _name_taken(change.name, "several operators")

    async def _get_staged(
        self, name: str
    ) -> Result[tuple[int, Change], Problem]:
        if not CHANGE_NAME_RULE.accepts(name):
            return changes.unknown_change_failure(name, ())
        stored = await self._retrying_store.get(STAGED_PREFIX + name)
        change = stored.bind(_decode_staged)
        if isinstance(change, Success) and change.unwrap() is None:
            names = (await self.list_staged()).value_or(())
            return changes.unknown_change_failure(name, (c.name for c in names))
        return change.map(lambda chg: (stored.unwrap().version, chg))


def _decode_active(stored: VersionedValue) -> Result[OperatorConfig, Problem]:
    if stored.value is None:
        return failure(
            Code.BAD_CONFIGURATION,
            "the store has no configuration",
            field=ACTIVE_KEY,
            accepted="a first configuration",
        )
    return decode_operator_config(stored.value)


def _decode_staged(stored: VersionedValue) -> Result[Change | None, Problem]:
    if stored.value is None:
        return Success(None)
    return decode_change(stored.value)


def _is_conflict(outcome: Result) -> bool:
    return (
        isinstance(outcome, Failure)
        and outcome.failure().code is Code.CAS_CONFLICT
    )


def _unknown_outcome(change: Change) -> Failure:
    return failure(
        Code.WRITE_UNSETTLED,
        f"{changes.MAX_HISTORY_ENTRIES} changes were applied since"
        f" {change.name}; the history no longer tells whether it was applied",
    )


def _name_taken(name: str, author: str) -> Failure:
    return failure(
        Code.CHANGE_CONFLICT,
        f"{name} is staged by {author}",
        field=name,
        accepted="another name, or withdraw that change first",
    )
