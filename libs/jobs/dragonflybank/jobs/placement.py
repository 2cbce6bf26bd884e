"""Scheduling rounds of a shard: quotas, order, reservations and starts."""

__all__ = ["TaskPlacer"]

import asyncio
import itertools
from collections.abc import Iterator

from returns.result import Failure, Result, Success

from dragonflybank.jobs.context import HomeContext
from dragonflybank.jobs.entries import Entry, JobKey
from dragonflybank.jobs.job_order import (
    PlacementRequest,
    placement_request,
    remaining_quotas,
    waiting_jobs_in_order,
)
from dragonflybank.jobs.resolve import StartResolver
from dragonflybank.jobs.starts import HeldReservations, TaskStarter
from dragonflybank.jobs.transitions import fail_unplaceable
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.leases import Reservation
from dragonflybank.model.resources import Resources

# Jobs whose reservations are requested concurrently. A larger group would break
# the order of jobs.
RESERVATION_GROUP_SIZE = 8
# Limits the duration of a round. The reservations of a round are held until the
# journal is written, but expire after 5 s.
MAX_JOBS_PER_ROUND = 64
BACKOFF_MIN_S = 0.2
BACKOFF_MAX_S = 10.0


class TaskPlacer:
    """Places the waiting tasks of a shard."""

    def __init__(self, ctx: HomeContext, resolver: StartResolver):
        self._ctx = ctx
        self._starter = TaskStarter(ctx, resolver)
        self._failed_attempts: dict[JobKey, int] = {}
        self._retry_at: dict[JobKey, float] = {}

    @property
    def is_placing(self) -> bool:
        """Whether a round is reserving resources or journalling starts."""
        return self._starter.is_placing

    async def run_round(self, now: float) -> None:
        """Reserves resources, journals the starts and sends them."""
        await self._starter.run_round(lambda: self._reserve_in_order(now), now)

    async def _reserve_in_order(self, now: float) -> list[HeldReservations]:
        if not self._ctx.can_write(now):
            return []
        entries = self._ctx.journal.table.unfinished()
        self._forget_finished({entry.key for entry in entries})
        remaining = remaining_quotas(entries, self._ctx)
        due = [e for e in entries if self._retry_at.get(e.key, 0.0) <= now]
        exhausted_sizes: list[Resources] = []
        held: list[HeldReservations] = []
        for group in _groups(
            waiting_jobs_in_order(due, self._ctx, now), RESERVATION_GROUP_SIZE
        ):
            requests = [
                req
                for entry in group
                if (
                    req := placement_request(
                        entry, self._ctx, remaining, exhausted_sizes
                    )
                )
                is not None
            ]
            outcomes = await asyncio.gather(
                *(self._reserve(req, now) for req in requests)
            )
            for req, outcome in zip(requests, outcomes, strict=True):
                if isinstance(outcome, Success):
                    held.append(
                        HeldReservations(req.entry.key, outcome.unwrap())
                    )
                    continue
                remaining[req.entry.record.spec.team] += req.count
                await self._on_refused(
                    req, outcome.failure(), exhausted_sizes, now
                )
            if len(held) >= MAX_JOBS_PER_ROUND:
                break
        return held

    async def _reserve(
        self, req: PlacementRequest, now: float
    ) -> Result[tuple[Reservation, ...], Problem]:
        record = req.entry.record
        outcome = await self._ctx.runner.reserve(
            record.spec,
            req.wc,
            req.count,
            req.size,
            avoid=record.failed_on,
            now=now,
        )
        if isinstance(outcome, Failure):
            return outcome
        reservations = outcome.unwrap()
        missing = req.count - len(reservations)
        if not reservations or (req.entry.gang and missing):
            await self._ctx.runner.release(reservations)
            return failure(Code.FULL, f"{missing} reservations are missing")
        return outcome

    async def _on_refused(
        self,
        req: PlacementRequest,
        failed: Problem,
        exhausted_sizes: list[Resources],
        now: float,
    ) -> None:
        key = req.entry.key
        attempts = self._failed_attempts.get(key, 0)
        max_delay_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**attempts)
        delay_s = max_delay_s * self._ctx.rng.uniform(0.5, 1.0)
        self._failed_attempts[key] = min(attempts + 1, 16)
        self._retry_at[key] = now + max(delay_s, failed.retry_after_s)
        self._ctx.log_job_decision(
            now, "wait", key, "", failed.detail, failed.code
        )
        if failed.code in (Code.FULL, Code.NO_WORKER) and req.count == 1:
            exhausted_sizes.append(req.size)
        if failed.code is Code.CAN_NEVER_RUN:
            entry = self._ctx.journal.table.latest(key)
            if isinstance(entry, Entry):
                changed = fail_unplaceable(entry, failed, now)
                await self._ctx.commit_if_changed(entry, changed, now)

    def _forget_finished(self, unfinished: set[JobKey]) -> None:
        for mapping in (self._failed_attempts, self._retry_at):
            for key in mapping.keys() - unfinished:
                del mapping[key]


def _groups(entries: list[Entry], size: int) -> Iterator[tuple[Entry, ...]]:
    iterator = iter(entries)
    return iter(lambda: tuple(itertools.islice(iterator, size)), ())
