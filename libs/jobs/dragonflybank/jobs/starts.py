"""Starts of tasks: journalled first, then sent to the workers."""

__all__ = ["HeldReservations", "TaskStarter"]

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import attrs
from returns.result import Failure, Result, Success

from dragonflybank.jobs.context import HomeContext
from dragonflybank.jobs.entries import (
    Entry,
    JobKey,
    job_key_of,
    live_start,
    must_stop,
    waiting_indexes,
)
from dragonflybank.jobs.resolve import StartResolver
from dragonflybank.jobs.transitions import (
    on_task_not_started,
    on_task_started,
    with_starts,
)
from dragonflybank.model.codes import Problem
from dragonflybank.model.leases import Reservation, StartReply
from dragonflybank.model.work import StartRecord


@attrs.frozen
class HeldReservations:
    """Reservations for tasks of a job.

    Attributes:
        key: Team and key of the job.
        reservations: One reservation for each task.
    """

    key: JobKey
    reservations: tuple[Reservation, ...]


@attrs.frozen
class JournalledStart:
    """A start that is in the journal.

    Attributes:
        start: Record of the start.
        reservation: The reservation that it uses.
    """

    start: StartRecord
    reservation: Reservation


class TaskStarter:
    """Starts tasks on reservations; journals each start before sending it."""

    def __init__(self, ctx: HomeContext, resolver: StartResolver):
        self._ctx = ctx
        self._resolver = resolver
        self._lock = asyncio.Lock()

    @property
    def is_placing(self) -> bool:
        """Whether a round is reserving resources or journalling starts."""
        return self._lock.locked()

    async def run_round(
        self,
        reserve: Callable[[], Awaitable[list[HeldReservations]]],
        now: float,
    ) -> None:
        """Reserves resources, journals the starts in one write, sends them.

        Args:
            reserve: Coroutine function that reserves resources for jobs.
            now: Current time, seconds since 1970.
        """
        journalled: list[JournalledStart] = []
        try:
            # A concurrent round would request the same resources.
            async with self._lock:
                await self._journal(await reserve(), journalled, now)
            await asyncio.gather(
                *(self._send(each, now) for each in journalled)
            )
        finally:
            # Starts that a cancelled round did not send become due for
            # `StartResolver`.
            self._ctx.starts_in_flight -= {
                each.start.task_id for each in journalled
            }

    async def _journal(
        self,
        held: Iterable[HeldReservations],
        journalled: list[JournalledStart],
        now: float,
    ) -> None:
        # There is no await between the check of an entry and its change. So a
        # cancellation comes either before the check, which sees it, or after
        # the start.
        unused: list[Reservation] = []
        changed: list[Entry] = []
        for item in held:
            entry = self._ctx.journal.table.latest(item.key)
            if not _can_use_reservations(entry, item):
                unused += item.reservations
                continue
            after = with_starts(entry, item.reservations, now)
            added = after.record.starts[len(entry.record.starts) :]
            journalled += map(JournalledStart, added, item.reservations)
            unused += item.reservations[len(added) :]
            changed.append(after)
        self._ctx.starts_in_flight |= {
            each.start.task_id for each in journalled
        }
        if changed:
            outcome = await self._ctx.commit(*changed, now=now)
            if isinstance(outcome, Failure):
                self._ctx.starts_in_flight -= {
                    each.start.task_id for each in journalled
                }
                unused += [each.reservation for each in journalled]
                journalled.clear()
        for each in journalled:
            task, worker = each.start.task_id, each.start.worker
            self._ctx.log_job_decision(
                now, "place", job_key_of(task), worker, task
            )
        if unused:
            await self._ctx.runner.release(unused)

    async def _send(self, journalled: JournalledStart, now: float) -> None:
        start = journalled.start
        try:
            outcome = await self._send_unless_stopped(journalled, now)
        finally:
            self._ctx.starts_in_flight.discard(start.task_id)
        if isinstance(outcome, Failure):
            # After any problem the worker's task list decides, since a refused
            # start may repeat one that succeeded.
            await self._resolver.resolve(start, now)

    async def _send_unless_stopped(
        self, journalled: JournalledStart, now: float
    ) -> Result[StartReply, Problem] | None:
        start = journalled.start
        entry = self._entry_of(start)
        if entry is None:
            return None
        if must_stop(entry):
            await self._cancel_unsent(entry, journalled, now)
            return None
        outcome = await self._ctx.runner.start(
            start, entry.record.spec, now=now
        )
        entry = self._entry_of(start)
        if isinstance(outcome, Success) and entry is not None:
            after = on_task_started(entry, start.task_id, now)
            await self._ctx.commit_if_changed(entry, after, now)
        return outcome

    async def _cancel_unsent(
        self, entry, journalled: JournalledStart, now: float
    ) -> None:
        # The start was journalled, but will certainly never be sent.
        start = journalled.start
        context = self._ctx.transition_context(entry, start.worker, now)
        after = on_task_not_started(entry, start.task_id, context)
        await self._ctx.commit_if_changed(entry, after, now)
        await self._ctx.runner.release([journalled.reservation])

    def _entry_of(self, start: StartRecord) -> Entry | None:
        # Returns None if the task has ended or the shard was lost.
        entry = self._ctx.journal.table.latest(job_key_of(start.task_id))
        if not isinstance(entry, Entry):
            return None
        return entry if live_start(entry, start.task_id) else None


def _can_use_reservations(entry, held: HeldReservations) -> bool:
    if not isinstance(entry, Entry) or entry.is_final or must_stop(entry):
        return False
    waiting = len(waiting_indexes(entry))
    if entry.gang:
        return waiting == len(held.reservations)
    return waiting > 0
