"""One scheduling round of a shard: quotas, order, reservations, starts."""

__all__ = ["Placement"]

import asyncio
import itertools
from collections.abc import Iterator

from returns.result import Failure, Result, Success

from dragonflybank.jobs.context import HomeContext
from dragonflybank.jobs.entries import Entry, Key
from dragonflybank.jobs.job_order import (
    PlacementRequest,
    placement_request,
    remaining_quotas,
    waiting_jobs_in_order,
)
from dragonflybank.jobs.resolve import Resolver
from dragonflybank.jobs.starts import Held, Starter
from dragonflybank.jobs.transitions import give_up
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.leases import Reservation
from dragonflybank.model.resources import Resources

# Reservations asked for at once; more would blur the order of jobs.
RESERVE_GROUP = 8
# Bounds the length of a round, which holds its reservations until the
# journal is written; they expire after 5 s.
MAX_JOBS_PER_ROUND = 64
BACKOFF_MIN_S = 0.2
BACKOFF_MAX_S = 10.0


class Placement:
    """Places the waiting tasks of a shard."""

    def __init__(self, ctx: HomeContext, resolver: Resolver):
        self._ctx = ctx
        self._starter = Starter(ctx, resolver)
        self._tries: dict[Key, int] = {}
        self._retry_at: dict[Key, float] = {}

    @property
    def is_placing(self) -> bool:
        """Whether a round is still reserving or journalling."""
        return self._starter.is_placing

    async def round(self, now: float) -> None:
        """Reserves room, journals the starts and sends them."""
        await self._starter.round(lambda: self._reserve_in_order(now), now)

    async def _reserve_in_order(self, now: float) -> list[Held]:
        if not self._ctx.can_start(now):
            return []
        entries = self._ctx.journal.table.unfinished()
        self._forget({entry.key for entry in entries})
        room = remaining_quotas(entries, self._ctx)
        due = [e for e in entries if self._retry_at.get(e.key, 0.0) <= now]
        full: list[Resources] = []
        held: list[Held] = []
        for group in _groups(
            waiting_jobs_in_order(due, self._ctx, now), RESERVE_GROUP
        ):
            wishes = [
                wish
                for entry in group
                if (wish := placement_request(entry, self._ctx, room, full))
                is not None
            ]
            outcomes = await asyncio.gather(
                *(self._reserve(wish, now) for wish in wishes)
            )
            for wish, outcome in zip(wishes, outcomes, strict=True):
                if isinstance(outcome, Success):
                    held.append(Held(wish.entry.key, outcome.unwrap()))
                    continue
                room[wish.entry.record.spec.team] += wish.count
                await self._refused(wish, outcome.failure(), full, now)
            if len(held) >= MAX_JOBS_PER_ROUND:
                break
        return held

    async def _reserve(
        self, wish: PlacementRequest, now: float
    ) -> Result[tuple[Reservation, ...], Problem]:
        record = wish.entry.record
        outcome = await self._ctx.runner.reserve(
            record.spec,
            wish.wc,
            wish.count,
            wish.size,
            avoid=record.failed_on,
            now=now,
        )
        if isinstance(outcome, Failure):
            return outcome
        reservations = outcome.unwrap()
        missing = wish.count - len(reservations)
        if not reservations or (wish.entry.gang and missing):
            await self._ctx.runner.release(reservations)
            return failure(Code.FULL, f"{missing} reservations are missing")
        return outcome

    async def _refused(
        self,
        wish: PlacementRequest,
        failed: Problem,
        full: list[Resources],
        now: float,
    ) -> None:
        key = wish.entry.key
        tries = self._tries.get(key, 0)
        longest_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**tries)
        delay_s = longest_s * self._ctx.rng.uniform(0.5, 1.0)
        self._tries[key] = min(tries + 1, 16)
        self._retry_at[key] = now + max(delay_s, failed.retry_after_s)
        self._ctx.note(now, "wait", key, "", failed.detail, failed.code)
        if failed.code in (Code.FULL, Code.NO_WORKER) and wish.count == 1:
            full.append(wish.size)
        if failed.code is Code.CAN_NEVER_RUN:
            entry = self._ctx.journal.table.latest(key)
            if isinstance(entry, Entry):
                changed = give_up(entry, failed, now)
                await self._ctx.commit_changed(entry, changed, now)

    def _forget(self, unfinished: set[Key]) -> None:
        for memory in (self._tries, self._retry_at):
            for key in memory.keys() - unfinished:
                del memory[key]


def _groups(entries: list[Entry], size: int) -> Iterator[tuple[Entry, ...]]:
    remaining = iter(entries)
    return iter(lambda: tuple(itertools.islice(remaining, size)), ())
