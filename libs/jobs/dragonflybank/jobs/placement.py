"""One scheduling round of a shard: quotas, order, reservations, starts."""

__all__ = ["Placement"]

import asyncio
import collections
import itertools
from collections.abc import Iterable, Iterator

import attrs
from returns.result import Failure, Result, Success

from dragonflybank.jobs.context import HomeContext
from dragonflybank.jobs.entries import (
    Entry,
    Key,
    key_of,
    live_start,
    live_starts,
    must_stop,
    waiting_indexes,
)
from dragonflybank.jobs.resolve import Resolver
from dragonflybank.jobs.transitions import (
    give_up,
    task_not_started,
    task_started,
    with_starts,
)
from dragonflybank.model.codes import Code, Problem, problem
from dragonflybank.model.decisions import Decision
from dragonflybank.model.leases import Reservation
from dragonflybank.model.resources import Resources, fits, scaled
from dragonflybank.model.work import StartRecord, WorkClass

# A waiting job gains one step of priority in this time, so that work of low
# priority is not passed over for ever.
AGEING_S = 300.0
# Reservations asked for at once; more would blur the order of jobs.
RESERVE_GROUP = 8
# Bounds the length of a round, which holds its reservations until the
# journal is written; they expire after 5 s.
MAX_JOBS_PER_ROUND = 64
BACKOFF_MIN_S = 0.2
BACKOFF_MAX_S = 10.0


@attrs.frozen
class _Wish:
    entry: Entry
    wc: WorkClass
    count: int
    size: Resources


@attrs.frozen
class _Placed:
    start: StartRecord
    reservation: Reservation


@attrs.frozen
class _Held:
    key: Key
    reservations: tuple[Reservation, ...]


class Placement:
    """Places the waiting tasks of a shard."""

    def __init__(self, ctx: HomeContext, resolver: Resolver):
        self._ctx = ctx
        self._resolver = resolver
        self._lock = asyncio.Lock()
        self._tries: dict[Key, int] = {}
        self._retry_at: dict[Key, float] = {}

    @property
    def is_placing(self) -> bool:
        """Whether a round is still reserving or journalling."""
        return self._lock.locked()

    async def round(self, now: float) -> None:
        """Reserves room, journals the starts and sends them."""
        async with self._lock:
            if not self._ctx.can_start(now):
                return
            held = await self._reserve_in_order(now)
            placed = await self._journal(held, now)
        await asyncio.gather(*(self._send(one, now) for one in placed))

    async def _reserve_in_order(self, now: float) -> list[_Held]:
        room = self._room_of_teams()
        waiting = self._in_order(now)
        full: list[Resources] = []
        held: list[_Held] = []
        for group in _groups(waiting, RESERVE_GROUP):
            wishes = [
                wish
                for entry in group
                if (wish := self._wish(entry, room, full)) is not None
            ]
            outcomes = await asyncio.gather(
                *(self._reserve(wish, now) for wish in wishes)
            )
            for wish, outcome in zip(wishes, outcomes, strict=True):
                if isinstance(outcome, Success):
                    held.append(_Held(wish.entry.key, outcome.unwrap()))
                    continue
                room[wish.entry.record.spec.team] += wish.count
                await self._refused(wish, outcome.failure(), full, now)
            if len(held) >= MAX_JOBS_PER_ROUND:
                break
        return held

    def _room_of_teams(self) -> dict[str, float]:
        running = collections.Counter()
        for entry in self._ctx.journal.entries():
            running[entry.record.spec.team] += len(live_starts(entry))
        teams = {e.record.spec.team for e in self._ctx.journal.entries()}
        limits = {team: self._ctx.rules.max_running(team) for team in teams}
        return {
            team: float("inf") if limit is None else limit - running[team]
            for team, limit in limits.items()
        }

    def _in_order(self, now: float) -> list[Entry]:
        entries = list(self._ctx.journal.entries())
        keys = {entry.key for entry in entries}
        for memory in (self._tries, self._retry_at):
            for key in memory.keys() - keys:
                del memory[key]
        waiting = (
            entry
            for entry in entries
            if waiting_indexes(entry)
            and not must_stop(entry)
            and entry.record.not_before <= now
            and self._retry_at.get(entry.key, 0.0) <= now
        )
        return sorted(waiting, key=lambda entry: self._rank(entry, now))

    def _rank(self, entry: Entry, now: float) -> tuple:
        wc = self._ctx.work_class(entry)
        aged = (now - entry.record.accepted_at) // AGEING_S
        return -(wc.priority + aged), -wc.value, entry.record.accepted_at

    def _wish(self, entry, room, full) -> _Wish | None:
        spec = entry.record.spec
        wc = self._ctx.work_class(entry)
        count = len(waiting_indexes(entry))
        if room[spec.team] < count:
            if entry.gang or room[spec.team] < 1:
                return None
            count = int(room[spec.team])
        size = self._size(entry, wc)
        if any(fits(refused, size) for refused in full):
            return None
        room[spec.team] -= count
        return _Wish(entry, wc, count, size)

    def _size(self, entry: Entry, wc: WorkClass) -> Resources:
        size = scaled(
            self._ctx.rules.grant_size(entry.record.spec, wc),
            entry.record.grant_factor,
        )
        largest = self._ctx.rules.largest()
        if largest is None or entry.record.grant_factor == 1.0:
            return size
        return attrs.evolve(
            size,
            cores=min(size.cores, largest.cores),
            memory_mb=min(size.memory_mb, largest.memory_mb),
        )

    async def _reserve(
        self, wish: _Wish, now: float
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
            return problem(Code.FULL, f"{missing} reservations are missing")
        return outcome

    async def _refused(self, wish, failed, full, now) -> None:
        key = wish.entry.key
        tries = self._tries.get(key, 0)
        longest_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**tries)
        delay_s = longest_s * self._ctx.rng.uniform(0.5, 1.0)
        self._tries[key] = min(tries + 1, 16)
        self._retry_at[key] = now + max(delay_s, failed.retry_after_s)
        self._log(now, "wait", key, "", failed.detail, failed.code)
        if failed.code in (Code.FULL, Code.NO_WORKER) and not wish.entry.gang:
            full.append(wish.size)
        if failed.code is Code.CAN_NEVER_RUN:
            entry = self._ctx.journal.latest(key)
            if isinstance(entry, Entry):
                changed = give_up(entry, failed, now)
                await self._ctx.commit_changed(entry, changed, now)

    async def _journal(
        self, held: Iterable[_Held], now: float
    ) -> list[_Placed]:
        # Nothing waits between the check of an entry and its change, so a
        # cancellation comes either before, and is seen, or after the start.
        unused: list[Reservation] = []
        changed: list[Entry] = []
        placed: list[_Placed] = []
        for item in held:
            entry = self._ctx.journal.latest(item.key)
            if not self._can_use(entry, item):
                unused += item.reservations
                continue
            after = with_starts(entry, item.reservations, now)
            added = after.record.starts[len(entry.record.starts) :]
            placed += map(_Placed, added, item.reservations)
            unused += item.reservations[len(added) :]
            changed.append(after)
        if changed and not await self._commit_starts(changed, placed, now):
            unused += [one.reservation for one in placed]
            placed = []
        if unused:
            await self._ctx.runner.release(unused)
        return placed

    def _can_use(self, entry, held: _Held) -> bool:
        if not isinstance(entry, Entry) or entry.final or must_stop(entry):
            return False
        waiting = len(waiting_indexes(entry))
        if entry.gang:
            return waiting == len(held.reservations)
        return waiting > 0

    async def _commit_starts(self, changed, placed, now) -> bool:
        ids = {one.start.task_id for one in placed}
        self._ctx.sending |= ids
        outcome = await self._ctx.commit(*changed, now=now)
        if isinstance(outcome, Failure):
            self._ctx.sending -= ids
            return False
        for one in placed:
            task, worker = one.start.task_id, one.start.worker
            self._log(now, "place", key_of(task), worker, task)
        return True

    async def _send(self, placed: _Placed, now: float) -> None:
        start = placed.start
        try:
            entry = self._entry_of(start)
            if entry is None:
                return
            if must_stop(entry):
                await self._withdraw(entry, placed, now)
                return
            outcome = await self._ctx.runner.start(
                start, entry.record.spec, now=now
            )
            entry = self._entry_of(start)
            if isinstance(outcome, Success) and entry is not None:
                after = task_started(entry, start.task_id, now)
                await self._ctx.commit_changed(entry, after, now)
        finally:
            self._ctx.sending.discard(start.task_id)
        if isinstance(outcome, Failure):
            # Whatever the problem, the worker's list decides: a start that
            # is refused may be the repetition of one that succeeded.
            await self._resolver.resolve(start, now)

    async def _withdraw(self, entry, placed: _Placed, now: float) -> None:
        # The start was journalled but is certainly never sent.
        start = placed.start
        context = self._ctx.event_context(entry, start.worker, now)
        after = task_not_started(entry, start.task_id, context)
        await self._ctx.commit_changed(entry, after, now)
        await self._ctx.runner.release([placed.reservation])

    def _entry_of(self, start: StartRecord) -> Entry | None:
        # None if the start's task has ended or the shard was lost.
        entry = self._ctx.journal.latest(key_of(start.task_id))
        if not isinstance(entry, Entry):
            return None
        return entry if live_start(entry, start.task_id) else None

    def _log(self, now, kind, key, chosen, reason, code=Code.OK) -> None:
        subject = "/".join(key)
        self._ctx.log(
            Decision(now, kind, subject, chosen, reason, code=int(code))
        )


def _groups(entries: list[Entry], size: int) -> Iterator[tuple[Entry, ...]]:
    remaining = iter(entries)
    return iter(lambda: tuple(itertools.islice(remaining, size)), ())
