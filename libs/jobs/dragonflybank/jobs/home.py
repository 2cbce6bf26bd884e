"""The home of a shard: accepts, starts, finishes and cancels its jobs.

Every promise to a caller and every start is in the journal before it is made.
"""

__all__ = ["SchedulingRules", "ShardHome", "TaskRunner"]

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable

from returns.result import Failure, Result, Success

from dragonflybank.jobs.admission import (
    check_repeated,
    check_room,
    check_spec,
)
from dragonflybank.jobs.context import HomeContext
from dragonflybank.jobs.entries import Entry, Tombstone
from dragonflybank.jobs.journal import Journal
from dragonflybank.jobs.outcomes import Stopper, apply_event
from dragonflybank.jobs.placement import Placement
from dragonflybank.jobs.resolve import Resolver
from dragonflybank.jobs.results import ResultStore
from dragonflybank.jobs.retention import (
    Retention,
    tombstone_record,
)
from dragonflybank.jobs.runner import SchedulingRules, TaskRunner
from dragonflybank.jobs.transitions import new_entry, request_cancel
from dragonflybank.jobs.value import Item
from dragonflybank.jobs.waiters import Waiters
from dragonflybank.model.codes import Code, Problem, failure, proves_not_run
from dragonflybank.model.decisions import Decision, log_decision
from dragonflybank.model.leases import TaskEvent
from dragonflybank.model.work import (
    JobRecord,
    JobSpec,
    JobState,
    is_final_state,
)
from dragonflybank.platform.store import ConfigStore

# A shard without changes is written again, so that other regions see that
# its home lives.
IDLE_REWRITE_S = 20.0
TICK_S = 0.5
# Shortest time between two rounds that events ask for; the journal is not
# written more often either.
ROUND_INTERVAL_S = 0.1
RETENTION_INTERVAL_S = 30.0
# Other hosts take a shard over when its home has been silent for 3 s, so a
# home that wrote less than this ago still is the home.
SURE_HOME_S = 2.0


class ShardHome:
    """The jobs of one shard.

    Args:
        shard: Name of the shard, ``<region>/<number>``.
        host: Name of this host.
        store: The store.
        runner: Starts and stops tasks.
        rules: Operator configuration and cell.
        results: Store of long results, shared by the shards of a host.
        seed: Seed of the jitter.
        clock: Returns the present time in seconds since 1970.
        sleep: Coroutine function that waits for some seconds.
        log: Takes each decision.
    """

    def __init__(
        self,
        shard: str,
        host: str,
        *,
        store: ConfigStore,
        runner: TaskRunner,
        rules: SchedulingRules,
        results: ResultStore | None = None,
        seed: int = 0,
        clock: Callable[[], float] = time.time,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        log: Callable[[Decision], None] = log_decision,
    ):
        self._clock = clock
        self._sleep = sleep
        self._waiters = Waiters()
        self._journal = Journal(
            store, shard, host, sleep=sleep, on_settled=self._waiters.notify
        )
        self._table = self._journal.table
        self._ctx = HomeContext(
            self._journal,
            runner,
            rules,
            results or ResultStore(store, sleep=sleep),
            random.Random(seed),
            log,
        )
        self._resolver = Resolver(self._ctx)
        self._placement = Placement(self._ctx, self._resolver)
        self._stopper = Stopper(self._ctx)
        self._retention = Retention(self._ctx)
        self._work = asyncio.Event()
        self._retained_at = 0.0

    @property
    def is_open(self) -> bool:
        """Whether this host is the shard's home as far as it knows."""
        return self._journal.is_open

    async def open(
        self,
        now: float,
        *,
        min_idle_s: float = 0.0,
        is_dead: Callable[[str], bool] = lambda host: True,
    ) -> Result[None, Problem]:
        """Takes the shard over and resolves its started work.

        Args:
            now: Present time, seconds since 1970.
            min_idle_s: Time since the latest write of another home below
                which the shard is not taken, in seconds.
            is_dead: Whether a host is dead; the shard of a home that is not
                dead is taken only after the home released it.

        Returns:
            ``NOT_HOME`` or ``CAS_CONFLICT`` if another host is the home, or
            the problem of the store.
        """
        opened = await self._journal.open(
            now, min_idle_s=min_idle_s, is_dead=is_dead
        )
        if isinstance(opened, Success):
            self._resolver.distrust_all()
            await self._resolver.round(now)
            self._work.set()
        return opened

    async def accept(
        self, spec: JobSpec, now: float
    ) -> Result[JobRecord, Problem]:
        """Accepts a job once; the same key and payload get the same record.

        Returns:
            The record; ``KEY_REUSED`` if the key was used for something
            else, ``WRITE_UNSETTLED`` if it is not known whether the job is
            accepted, or why it is not.
        """
        key = spec.team, spec.key
        present = self._table.latest(key)
        if present is not None:
            return check_repeated(spec, present) or (
                await self._accepted_before(present)
            )
        refused = check_spec(spec, self._ctx.rules) or check_room(
            spec, self._journal
        )
        if refused is not None:
            return await self._refused(spec, refused)
        wc = self._ctx.rules.work_class(spec.work_class)
        entry = new_entry(spec, wc, now)
        outcome = await self._ctx.commit(entry, now=now)
        self._work.set()
        if isinstance(outcome, Failure):
            return await self._not_accepted(spec, outcome)
        return Success(entry.record)

    async def cancel(
        self, team: str, key: str, now: float
    ) -> Result[JobRecord, Problem]:
        """Cancels a job; its record tells whether any of it ran.

        The record of a job with live tasks is not final yet.

        Returns:
            The record after the request is journalled; ``UNKNOWN_JOB``, or
            why the request is not journalled.
        """
        item = self._table.latest((team, key))
        if item is None and self.is_open:
            return await self.confirm_unknown(team, key)
        if isinstance(item, Entry) and not item.final:
            changed = request_cancel(item, now)
            outcome = await self._ctx.commit_changed(item, changed, now)
            if isinstance(outcome, Failure):
                return _not_cancelled(outcome.failure())
        outcome = await self._journal.settle((team, key))
        if isinstance(outcome, Failure):
            return _not_cancelled(outcome.failure())
        record = self.record(team, key)
        await self._stopper.round(now)
        return Success(record)

    def record(self, team: str, key: str) -> JobRecord | None:
        """Returns a job as the store certainly holds it; None if unknown."""
        item = self._table.settled((team, key))
        return None if item is None else _record_of(item)

    async def confirm_unknown(
        self, team: str, key: str
    ) -> Result[JobRecord, Problem]:
        """Returns ``UNKNOWN_JOB`` if no home knows a job.

        Returns:
            ``NOT_HOME`` if another host may be the home by now; the record
            if the job was accepted meanwhile.
        """
        confirmed = await self._journal.confirm()
        if isinstance(confirmed, Failure):
            return confirmed
        record = self.record(team, key)
        if record is not None:
            return Success(record)
        return failure(Code.UNKNOWN_JOB, f"no job {team}/{key}")

    def records(self) -> list[JobRecord]:
        """Returns the jobs of the shard, without those only remembered."""
        settled = (self._table.settled(i.key) for i in self._table.items())
        return [item.record for item in settled if isinstance(item, Entry)]

    async def read_results(
        self, team: str, key: str
    ) -> Result[tuple[str, ...], Problem]:
        """Returns the results of a finished job in the order of its tasks."""
        item = self._table.settled((team, key))
        if (
            not isinstance(item, Entry)
            or item.record.state is not JobState.DONE
        ):
            return failure(Code.ASK_AGAIN, f"{team}/{key} has no result here")
        return await self._ctx.results.texts(item)

    async def wait_for_end(
        self, team: str, key: str, *, timeout_s: float
    ) -> JobRecord | None:
        """Waits for the end of a job.

        Returns:
            The record, final unless the time ran out; None if the job is
            not known or the shard was lost.
        """

        def is_over() -> bool:
            record = self.record(team, key)
            known = self._table.latest((team, key)) is not None
            return not known or (record and is_final_state(record.state))

        await self._waiters.wait((team, key), is_over, timeout_s=timeout_s)
        return self.record(team, key)

    async def on_task_ended(self, event: TaskEvent, now: float) -> bool:
        """Journals the end of a task.

        Returns:
            True once the outcome is journalled, so that the worker may
            forget it.
        """
        kept = await apply_event(self._ctx, event, now)
        self._work.set()
        return kept

    async def schedule(self, now: float) -> None:
        """Runs one round: quotas, order, reserve, journal, start."""
        await self._stopper.round(now)
        await self._placement.round(now)

    async def resolve(self, now: float) -> None:
        """Looks up the starts whose outcome is not known."""
        await self._resolver.round(now)

    def recheck_starts(self) -> None:
        """Has all live starts looked up, after an owner was lost."""
        self._resolver.distrust_all()
        self._work.set()

    async def maintain(self, now: float) -> None:
        """Reduces old jobs and rewrites an idle shard."""
        if now - self._retained_at >= RETENTION_INTERVAL_S:
            self._retained_at = now
            await self._retention.round(now)
        idle_s = now - self._journal.written_at
        if idle_s >= IDLE_REWRITE_S and self._ctx.can_start(now):
            await self._journal.commit(now=now)

    async def run(self) -> None:
        """Runs rounds until the shard is lost or closed."""
        async with asyncio.TaskGroup() as group:
            resolving = maintaining = None
            while self.is_open:
                self._work.clear()
                now = self._clock()
                if not self._placement.is_placing:
                    group.create_task(self.schedule(now))
                if resolving is None or resolving.done():
                    resolving = group.create_task(self.resolve(now))
                if maintaining is None or maintaining.done():
                    maintaining = group.create_task(self.maintain(now))
                await self._sleep(ROUND_INTERVAL_S)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(TICK_S):
                        await self._work.wait()

    @property
    def is_releasing(self) -> bool:
        """Whether `release` is to be called again, see `Journal.release`."""
        return self._journal.is_releasing

    async def release(self, now: float) -> bool:
        """Releases the shard; returns whether the store took the release."""
        released = await self._journal.release(now)
        self._work.set()
        return released

    async def close(self) -> None:
        """Finishes the changes in progress and releases the shard."""
        await self._journal.close(self._clock())
        self._work.set()

    async def _not_accepted(
        self, spec: JobSpec, failed: Failure
    ) -> Result[JobRecord, Problem]:
        """Returns the answer to a job whose acceptance was not journalled.

        A home that was paused does not know whether another one accepted the
        job meanwhile, even if its own write had no effect.
        """
        idle_s = self._clock() - self._journal.written_at
        is_refusal = proves_not_run(failed.failure().code)
        if is_refusal and idle_s > SURE_HOME_S:
            return await self._refused(spec, failed)
        return failed

    async def _refused(
        self, spec: JobSpec, refused: Failure
    ) -> Result[JobRecord, Problem]:
        # An earlier submission may have been accepted by another home.
        confirmed = await self._journal.confirm()
        if isinstance(confirmed, Failure):
            return confirmed
        present = self._table.latest((spec.team, spec.key))
        if present is None:
            return refused
        return check_repeated(spec, present) or (
            await self._accepted_before(present)
        )

    async def _accepted_before(self, present: Item) -> Result:
        if self.record(*present.key) is None:
            outcome = await self._journal.settle(present.key)
            if isinstance(outcome, Failure):
                return outcome
        # A settled job is reported even if a later change of it fails.
        return Success(self.record(*present.key))


def _record_of(item: Item) -> JobRecord:
    if isinstance(item, Tombstone):
        return tombstone_record(item)
    return item.record


def _not_cancelled(failed: Problem) -> Result[JobRecord, Problem]:
    # A code that means "not run" would be taken to be about the job.
    if not proves_not_run(failed.code):
        return Failure(failed)
    detail = f"the cancellation is not journalled: {failed.detail}"
    return failure(Code.ASK_AGAIN, detail, retry_after_s=failed.retry_after_s)
