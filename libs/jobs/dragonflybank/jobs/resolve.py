"""Resolution of starts whose outcome is unknown."""

__all__ = ["StartResolver"]

import asyncio

from returns.result import Failure, Success

from dragonflybank.jobs.context import HomeContext
from dragonflybank.jobs.entries import (
    Entry,
    job_key_of,
    live_start,
    live_starts,
)
from dragonflybank.jobs.outcomes import journal_task_end
from dragonflybank.jobs.transitions import (
    on_task_lost,
    on_task_not_started,
    on_task_started,
)
from dragonflybank.model.leases import Resolution, ResolutionKind
from dragonflybank.model.work import StartRecord

MAX_CONCURRENT_RESOLVES = 32
RETRY_MIN_S = 1.0
# A lost lease counts as expired 20 s after its last renewal: `LEASE_S` plus
# `LEASE_MARGIN_S`.
RETRY_MAX_S = 10.0
# Running tasks are checked at this interval, so that a job ends even if the
# loss of its worker is never reported.
RECHECK_S = 300.0


class StartResolver:
    """Resolves the starts of a shard and rechecks its running tasks."""

    def __init__(self, ctx: HomeContext):
        self._ctx = ctx
        self._resolving: set[str] = set()
        self._failed_attempts: dict[str, int] = {}
        self._next_at: dict[str, float] = {}
        self._semaphore = asyncio.Semaphore(MAX_CONCURRENT_RESOLVES)

    def recheck_all(self) -> None:
        """Makes every live start due, as after a change of the home."""
        self._failed_attempts.clear()
        self._next_at = {
            start.task_id: 0.0
            for entry in self._ctx.journal.table.unfinished()
            for start in live_starts(entry)
        }

    async def run_round(self, now: float) -> None:
        """Resolves the starts that are due."""
        if not self._ctx.can_write(now):
            return
        due = self._due(now)
        await asyncio.gather(*(self.resolve(start, now) for start in due))

    async def resolve(self, start: StartRecord, now: float) -> None:
        """Resolves one start and journals its outcome."""
        task = start.task_id
        if task in self._resolving or not self._ctx.journal.is_open:
            return
        self._resolving.add(task)
        try:
            async with self._semaphore:
                outcome = await self._ctx.runner.resolve(start, now=now)
                applied = isinstance(
                    outcome, Success
                ) and await self._journal_resolution(
                    start, outcome.unwrap(), now
                )
        finally:
            self._resolving.discard(task)
        if applied:
            self._failed_attempts.pop(task, None)
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
        for mapping in (self._failed_attempts, self._next_at):
            for task in mapping.keys() - live:
                del mapping[task]
        for entry, start in starts:
            if start.task_id in entry.running:
                first_at = start.sent_at + RECHECK_S
                self._next_at.setdefault(start.task_id, first_at)
        return [
            start
            for _, start in starts
            if start.task_id not in self._ctx.starts_in_flight
            and self._next_at.get(start.task_id, 0.0) <= now
        ]

    async def _journal_resolution(
        self, start: StartRecord, found: Resolution, now: float
    ) -> bool:
        if found.kind is ResolutionKind.UNDECIDED:
            return False
        if found.kind is ResolutionKind.FINISHED:
            event = found.event
            return event is not None and await journal_task_end(
                self._ctx, event, now
            )
        entry = self._ctx.journal.table.latest(job_key_of(start.task_id))
        if not isinstance(entry, Entry):
            return True
        if live_start(entry, start.task_id) is None:
            return True
        after = self._entry_after(entry, start, found.kind, now)
        outcome = await self._ctx.commit_if_changed(entry, after, now)
        return not isinstance(outcome, Failure)

    def _entry_after(self, entry, start, kind, now) -> Entry:
        if kind is ResolutionKind.ADOPTED:
            return on_task_started(entry, start.task_id, now)
        context = self._ctx.transition_context(entry, start.worker, now)
        if kind is ResolutionKind.NOT_STARTED:
            return on_task_not_started(entry, start.task_id, context)
        return on_task_lost(entry, start.task_id, context)

    def _defer(self, task: str, now: float) -> None:
        attempts = self._failed_attempts.get(task, 0)
        delay_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**attempts)
        self._failed_attempts[task] = min(attempts + 1, 16)
        self._next_at[task] = now + delay_s * self._ctx.rng.uniform(0.5, 1.0)
