"""Decides what became of starts whose outcome is not known."""

__all__ = ["Resolver"]

import asyncio

from returns.result import Failure, Success

from dragonflybank.jobs.context import HomeContext
from dragonflybank.jobs.entries import Entry, key_of, live_start, live_starts
from dragonflybank.jobs.outcomes import apply_event
from dragonflybank.jobs.transitions import (
    task_lost,
    task_not_started,
    task_started,
)
from dragonflybank.model.leases import Resolution, ResolutionKind
from dragonflybank.model.work import StartRecord

CONCURRENT_RESOLVES = 32
RETRY_MIN_S = 1.0
# A lease that was lost ends 20 s after its last renewal.
RETRY_MAX_S = 10.0
# Running tasks are looked up at this interval, so that a job ends even if
# the report of its worker's loss never comes.
RECHECK_S = 300.0


class Resolver:
    """Looks up the starts of a shard that are neither confirmed nor ended."""

    def __init__(self, ctx: HomeContext):
        self._ctx = ctx
        self._busy: set[str] = set()
        self._tries: dict[str, int] = {}
        self._next_at: dict[str, float] = {}
        self._slots = asyncio.Semaphore(CONCURRENT_RESOLVES)

    def distrust_all(self) -> None:
        """Marks every start as not known, as a new home has to."""
        self._tries.clear()
        self._next_at = {
            start.task_id: 0.0
            for entry in self._ctx.journal.table.unfinished()
            for start in live_starts(entry)
        }

    async def round(self, now: float) -> None:
        """Resolves the starts that are due."""
        if not self._ctx.can_start(now):
            return
        due = self._due(now)
        await asyncio.gather(*(self.resolve(start, now) for start in due))

    async def resolve(self, start: StartRecord, now: float) -> None:
        """Resolves one start and journals the outcome."""
        task = start.task_id
        if task in self._busy or not self._ctx.journal.is_open:
            return
        self._busy.add(task)
        try:
            async with self._slots:
                outcome = await self._ctx.runner.resolve(start, now=now)
                applied = isinstance(outcome, Success) and await self._apply(
                    start, outcome.unwrap(), now
                )
        finally:
            self._busy.discard(task)
        if applied:
            self._tries.pop(task, None)
            self._next_at[task] = now + RECHECK_S
        else:
            self._defer(task, now)

    def _due(self, now: float) -> list[StartRecord]:
        starts = [
            (entry, start)
            for entry in self._ctx.journal.table.unfinished()
            for start in live_starts(entry)
        ]
        live = {start.task_id for _, start in starts}
        for memory in (self._tries, self._next_at):
            for task in memory.keys() - live:
                del memory[task]
        for entry, start in starts:
            if start.task_id in entry.running:
                first_at = start.sent_at + RECHECK_S
                self._next_at.setdefault(start.task_id, first_at)
        return [
            start
            for _, start in starts
            if start.task_id not in self._ctx.sending
            and self._next_at.get(start.task_id, 0.0) <= now
        ]

    async def _apply(
        self, start: StartRecord, found: Resolution, now: float
    ) -> bool:
        if found.kind is ResolutionKind.UNDECIDED:
            return False
        if found.kind is ResolutionKind.FINISHED:
            event = found.event
            return event is not None and await apply_event(
                self._ctx, event, now
            )
        entry = self._ctx.journal.table.latest(key_of(start.task_id))
        if not isinstance(entry, Entry):
            return True
        if live_start(entry, start.task_id) is None:
            return True
        after = self._changed(entry, start, found.kind, now)
        outcome = await self._ctx.commit_changed(entry, after, now)
        return not isinstance(outcome, Failure)

    def _changed(self, entry, start, kind, now) -> Entry:
        if kind is ResolutionKind.ADOPTED:
            return task_started(entry, start.task_id, now)
        context = self._ctx.event_context(entry, start.worker, now)
        if kind is ResolutionKind.NOT_STARTED:
            return task_not_started(entry, start.task_id, context)
        return task_lost(entry, start.task_id, context)

    def _defer(self, task: str, now: float) -> None:
        tries = self._tries.get(task, 0)
        delay_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**tries)
        self._tries[task] = min(tries + 1, 16)
        self._next_at[task] = now + delay_s * self._ctx.rng.uniform(0.5, 1.0)
