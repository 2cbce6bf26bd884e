"""Journals starts and sends them."""

__all__ = ["Held", "Starter"]

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import attrs
from returns.result import Failure, Result, Success

from dragonflybank.jobs.context import HomeContext
from dragonflybank.jobs.entries import (
    Entry,
    Key,
    key_of,
    live_start,
    must_stop,
    waiting_indexes,
)
from dragonflybank.jobs.resolve import Resolver
from dragonflybank.jobs.transitions import (
    task_not_started,
    task_started,
    with_starts,
)
from dragonflybank.model.codes import Problem
from dragonflybank.model.leases import Reservation, StartReply
from dragonflybank.model.work import StartRecord


@attrs.frozen
class Held:
    """Room that is held for a job.

    Attributes:
        key: Team and key of the job.
        reservations: One reservation for each task.
    """

    key: Key
    reservations: tuple[Reservation, ...]


@attrs.frozen
class Placed:
    """A start in the journal.

    Attributes:
        start: The start.
        reservation: The reservation that it uses.
    """

    start: StartRecord
    reservation: Reservation


class Starter:
    """Starts tasks on held room, each start journalled before it is sent."""

    def __init__(self, ctx: HomeContext, resolver: Resolver):
        self._ctx = ctx
        self._resolver = resolver
        self._lock = asyncio.Lock()

    @property
    def is_placing(self) -> bool:
        """Whether a round is still holding room or journalling."""
        return self._lock.locked()

    async def round(
        self, hold: Callable[[], Awaitable[list[Held]]], now: float
    ) -> None:
        """Holds room, journals the starts in one write and sends them.

        Args:
            hold: Coroutine function that holds room for jobs.
            now: Present time, seconds since 1970.
        """
        placed: list[Placed] = []
        try:
            # A second round meanwhile would ask for the same room.
            async with self._lock:
                await self._journal(await hold(), placed, now)
            await asyncio.gather(*(self._send(one, now) for one in placed))
        finally:
            # Starts that a cancelled round did not send are looked up.
            self._ctx.sending -= {one.start.task_id for one in placed}

    async def _journal(
        self, held: Iterable[Held], placed: list[Placed], now: float
    ) -> None:
        # Nothing waits between the check of an entry and its change, so a
        # cancellation comes either before, and is seen, or after the start.
        unused: list[Reservation] = []
        changed: list[Entry] = []
        for item in held:
            entry = self._ctx.journal.table.latest(item.key)
            if not _can_use(entry, item):
                unused += item.reservations
                continue
            after = with_starts(entry, item.reservations, now)
            added = after.record.starts[len(entry.record.starts) :]
            placed += map(Placed, added, item.reservations)
            unused += item.reservations[len(added) :]
            changed.append(after)
        self._ctx.sending |= {one.start.task_id for one in placed}
        if changed:
            outcome = await self._ctx.commit(*changed, now=now)
            if isinstance(outcome, Failure):
                self._ctx.sending -= {one.start.task_id for one in placed}
                unused += [one.reservation for one in placed]
                placed.clear()
        for one in placed:
            task, worker = one.start.task_id, one.start.worker
            self._ctx.note(now, "place", key_of(task), worker, task)
        if unused:
            await self._ctx.runner.release(unused)

    async def _send(self, placed: Placed, now: float) -> None:
        start = placed.start
        try:
            outcome = await self._send_wanted(placed, now)
        finally:
            self._ctx.sending.discard(start.task_id)
        if isinstance(outcome, Failure):
            # Whatever the problem, the worker's list decides: a start that
            # is refused may be the repetition of one that succeeded.
            await self._resolver.resolve(start, now)

    async def _send_wanted(
        self, placed: Placed, now: float
    ) -> Result[StartReply, Problem] | None:
        start = placed.start
        entry = self._entry_of(start)
        if entry is None:
            return None
        if must_stop(entry):
            await self._withdraw(entry, placed, now)
            return None
        outcome = await self._ctx.runner.start(
            start, entry.record.spec, now=now
        )
        entry = self._entry_of(start)
        if isinstance(outcome, Success) and entry is not None:
            after = task_started(entry, start.task_id, now)
            await self._ctx.commit_changed(entry, after, now)
        return outcome

    async def _withdraw(self, entry, placed: Placed, now: float) -> None:
        # The start was journalled but is certainly never sent.
        start = placed.start
        context = self._ctx.event_context(entry, start.worker, now)
        after = task_not_started(entry, start.task_id, context)
        await self._ctx.commit_changed(entry, after, now)
        await self._ctx.runner.release([placed.reservation])

    def _entry_of(self, start: StartRecord) -> Entry | None:
        # None if the start's task has ended or the shard was lost.
        entry = self._ctx.journal.table.latest(key_of(start.task_id))
        if not isinstance(entry, Entry):
            return None
        return entry if live_start(entry, start.task_id) else None


def _can_use(entry, held: Held) -> bool:
    if not isinstance(entry, Entry) or entry.final or must_stop(entry):
        return False
    waiting = len(waiting_indexes(entry))
    if entry.gang:
        return waiting == len(held.reservations)
    return waiting > 0
