"""The configuration and its staged changes in the platform's store.

An operator is answered only after the write is settled: a lost answer is
followed by the same compare-and-swap until the store gives a definite answer.
The identity of a change is kept in the history of the configuration, so that
applying it twice has the effect of applying it once.
"""

__all__ = ["STAGED_PREFIX", "ConfigEditor"]

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from returns.result import Failure, Result, Success

from dragonflybank.config import changes
from dragonflybank.config.changes import EditRequest
from dragonflybank.config.edits import (
    CHANGE_NAME,
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
from dragonflybank.config.retrying_store import SettledKeys
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.platform.store import ConfigStore, VersionedValue
from dragonflybank.platform.writes import new_write_mark

STAGED_PREFIX = "config/staged/"
# Each lost race means that another operator's change went through.
RACES_MAX = 20


class ConfigEditor:
    """Stages, compares, applies and withdraws changes.

    Args:
        store: The configuration store.
        sleep: Coroutine function that waits for some seconds.
    """

    def __init__(
        self,
        store: ConfigStore,
        *,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ):
        self._store = store
        self._keys = SettledKeys(store, sleep=sleep)

    async def active(self) -> Result[OperatorConfig, Problem]:
        """Returns the configuration in force."""
        return (await self._keys.get(ACTIVE_KEY)).bind(_config_in)

    async def create(
        self, cfg: OperatorConfig
    ) -> Result[OperatorConfig, Problem]:
        """Writes the first configuration; fails with 208 if there is one."""
        stored = await self._keys.get(ACTIVE_KEY)
        if isinstance(stored, Failure):
            return stored
        value = encode_operator_config(cfg).encode()
        before = stored.unwrap()
        if before.value is None:
            written = await self._keys.put(
                ACTIVE_KEY, value, version=before.version
            )
            if not _is_conflict(written):
                return written.map(lambda _: cfg)
            stored = await self._keys.get(ACTIVE_KEY, until_answered=True)
            if stored.unwrap().value == value:
                return Success(cfg)
        return failure(
            Code.CHANGE_CONFLICT,
            "a configuration is in force already",
            accepted="stage and apply a change",
        )

    async def staged(self) -> Result[tuple[Change, ...], Problem]:
        """Returns the staged changes in order of name."""
        listed = await self._keys.names(STAGED_PREFIX)
        if isinstance(listed, Failure):
            return listed
        found = [await self._keys.get(key) for key in listed.unwrap()]
        decoded = [stored.bind(_change_in) for stored in found]
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
        """Stages a change; the same author may replace it.

        Args:
            name: Name of the change.
            author: Operator who stages it.
            requests: Edits in order.
            now: Seconds since 1970.
        """
        if not CHANGE_NAME.accepts(name):
            return failure(
                Code.BAD_COMMAND,
                f"{name!r} is not a name of a change",
                field="name",
                accepted=CHANGE_NAME.description,
            )
        change = (await self.active()).bind(
            lambda cfg: changes.stage(
                cfg, name, author, requests, change_id=new_write_mark(), now=now
            )
        )
        if isinstance(change, Failure):
            return change
        return await self._write_staged(change.unwrap())

    async def diff(self, name: str) -> Result[tuple[Difference, ...], Problem]:
        """Returns what a staged change would do now."""
        change = (await self._staged_at(name)).map(lambda found: found[1])
        active = await self.active()
        return change.bind(
            lambda chg: active.map(lambda cfg: changes.diff(cfg, chg))
        )

    async def apply(
        self, name: str, by: str, *, now: float
    ) -> Result[AppliedChange, Problem]:
        """Applies a staged change and removes it from the staged ones.

        Args:
            name: Name of the change.
            by: Operator who applies it.
            now: Seconds since 1970.
        """
        found = await self._staged_at(name)
        if isinstance(found, Failure):
            return await self._applied_before(name, found)
        version, change = found.unwrap()
        done = await self._apply(change, by, now)
        if isinstance(done, Success):
            # If this fails the change stays listed; applying it again
            # returns the same generation.
            await self._store.delete(STAGED_PREFIX + name, version=version)
        return done

    async def withdraw(self, name: str) -> Result[Change, Problem]:
        """Removes a staged change."""
        found = await self._staged_at(name)
        if isinstance(found, Failure):
            return found
        version, change = found.unwrap()
        deleted = await self._keys.delete(STAGED_PREFIX + name, version=version)
        return deleted.map(lambda _: change)

    async def _apply(self, change, by, now) -> Result[AppliedChange, Problem]:
        attempted = 0
        for _ in range(RACES_MAX):
            # After a write that may have had an effect nothing is said
            # before the store has answered.
            stored = await self._keys.get(
                ACTIVE_KEY, until_answered=attempted > 0
            )
            active = stored.bind(_config_in)
            if isinstance(active, Failure):
                return active
            cfg = active.unwrap()
            done = changes.applied_as(cfg, change.id)
            if done is not None:
                return Success(done)
            if 0 < attempted <= cfg.generation - changes.HISTORY_KEPT:
                return _forgotten(change)
            made = changes.apply(cfg, change, by=by, now=now)
            if isinstance(made, Failure):
                return made
            attempted = made.unwrap().generation
            written = await self._keys.put(
                ACTIVE_KEY,
                encode_operator_config(made.unwrap()).encode(),
                version=stored.unwrap().version,
            )
            if isinstance(written, Success):
                return Success(made.unwrap().history[-1])
            if not _is_conflict(written):
                return written
        return failure(
            Code.CHANGE_CONFLICT,
            f"{RACES_MAX} other changes were applied first",
            retry_after_s=1.0,
        )

    async def _applied_before(self, name, failed) -> Result:
        """Returns the change if it was applied and is no longer staged."""
        if failed.failure().code is not Code.BAD_COMMAND:
            return failed
        history = (await self.active()).map(lambda cfg: cfg.history)
        done = [e for e in history.value_or(()) if e.name == name]
        return Success(done[-1]) if done else failed

    async def _write_staged(self, change) -> Result[Change, Problem]:
        key = STAGED_PREFIX + change.name
        value = encode_change(change).encode()
        attempted = False
        for _ in range(RACES_MAX):
            stored = await self._keys.get(key, until_answered=attempted)
            match stored.bind(_change_in):
                case Success(Change(id=change.id)):
                    return Success(change)
                case Success(Change(author=author)) if author != change.author:
                    return _staged_by_another(change.name, author)
                case Failure(failed):
                    return Failure(failed)
            attempted = True
            written = await self._keys.put(
                key, value, version=stored.unwrap().version
            )
            if not _is_conflict(written):
                return written.map(lambda _: change)
        return _staged_by_another(change.name, "several operators")

    async def _staged_at(
        self, name: str
    ) -> Result[tuple[int, Change], Problem]:
        if not CHANGE_NAME.accepts(name):
            return changes.unknown_change(name, ())
        stored = await self._keys.get(STAGED_PREFIX + name)
        change = stored.bind(_change_in)
        if isinstance(change, Success) and change.unwrap() is None:
            names = (await self.staged()).value_or(())
            return changes.unknown_change(name, (c.name for c in names))
        return change.map(lambda chg: (stored.unwrap().version, chg))


def _config_in(stored: VersionedValue) -> Result[OperatorConfig, Problem]:
    if stored.value is None:
        return failure(
            Code.BAD_CONFIGURATION,
            "the store has no configuration",
            field=ACTIVE_KEY,
            accepted="a first configuration",
        )
    return decode_operator_config(stored.value)


def _change_in(stored: VersionedValue) -> Result[Change | None, Problem]:
    if stored.value is None:
        return Success(None)
    return decode_change(stored.value)


def _is_conflict(outcome: Result) -> bool:
    return (
        isinstance(outcome, Failure)
        and outcome.failure().code is Code.CAS_CONFLICT
    )


def _forgotten(change: Change) -> Failure:
    return failure(
        Code.WRITE_UNSETTLED,
        f"{changes.HISTORY_KEPT} changes were applied since {change.name};"
        " the history no longer tells whether it was applied",
    )


def _staged_by_another(name: str, author: str) -> Failure:
    return failure(
        Code.CHANGE_CONFLICT,
        f"{name} is staged by {author}",
        field=name,
        accepted="another name, or withdraw that change first",
    )
