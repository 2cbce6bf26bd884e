"""The home of a shard: accepts, starts, finishes and cancels its jobs.

Write-ahead journal: every acceptance and every start is settled in the journal
before the caller gets an answer or the start is sent.
"""

__all__ = ["SchedulingRules", "ShardHome", "TaskRunner"]

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable

from returns.result import Failure, Result, Success

from dragonflybank.jobs.admission import (
    check_reused_key,
    check_shard_size,
    check_spec,
)
from dragonflybank.jobs.context import HomeContext
from dragonflybank.jobs.entries import Entry, Tombstone
from dragonflybank.jobs.journal import Journal
from dragonflybank.jobs.outcomes import TaskStopper, journal_task_end
from dragonflybank.jobs.placement import TaskPlacer
from dragonflybank.jobs.resolve import StartResolver
from dragonflybank.jobs.results import ResultStore
from dragonflybank.jobs.retention import (
    Retention,
    record_from_tombstone,
)
from dragonflybank.jobs.runner import SchedulingRules, TaskRunner
from dragonflybank.jobs.transitions import new_entry, request_cancel
from dragonflybank.jobs.value import Item
from dragonflybank.jobs.waiters import KeyWaiters
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

# A shard without changes is rewritten after this time, so that other regions
# see that its home still runs.
IDLE_REWRITE_S = 20.0
MAX_ROUND_INTERVAL_S = 0.5
# Minimum interval between rounds that are triggered by events. The journal has
# the same interval between writes.
MIN_ROUND_INTERVAL_S = 0.1
RETENTION_INTERVAL_S = 30.0
# Other hosts take a shard over once its home has been silent for 3 s. So a home
# whose latest write is more recent than this is still the home.
HOME_CONFIRMED_S = 2.0


class ShardHome:
    """Schedules and manages the jobs of one shard.

    Args:
        shard: Name of the shard, ``<region>/<number>``.
        host: Name of this host.
        store: The store.
        runner: Starts and stops tasks.
        rules: Operator configuration and workers.
        results: Store of long results, shared by all shards of a host.
        seed: Seed of the jitter.
        clock: Returns the current time in seconds since 1970.
        sleep: Coroutine function that waits for some seconds.
        log: Called with each decision.
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
        self._waiters = KeyWaiters()
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
        self._resolver = StartResolver(self._ctx)
        self._placement = TaskPlacer(self._ctx, self._resolver)
        self._stopper = TaskStopper(self._ctx)
        self._retention = Retention(self._ctx)
        self._wakeup = asyncio.Event()
        self._last_retention_at = 0.0

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
        """Makes this host the home of the shard and resolves its live starts.

        Args:
            now: Current time, seconds since 1970.
            min_idle_s: Minimum time since the latest write of another home,
                in seconds.
            is_dead: Returns whether a host is dead. A shard is taken over
                only from a home that is dead or has released it.

        Returns:
            ``NOT_HOME`` or ``CAS_CONFLICT`` if another host is the home, or
            the problem of the store.
        """
        opened = await self._journal.open(
            now, min_idle_s=min_idle_s, is_dead=is_dead
        )
        if isinstance(opened, Success):
            self._resolver.recheck_all()
            await self._resolver.run_round(now)
            self._wakeup.set()
        return opened

    async def accept(
        self, spec: JobSpec, now: float
    ) -> Result[JobRecord, Problem]:
        """Accepts a job; idempotent for the same key and spec.

        Returns:
            The record; ``KEY_REUSED`` if the key was used for another job,
            ``WRITE_UNSETTLED`` if it is unknown whether the job is accepted,
            or the reason why it is not.
        """
        key = spec.team, spec.key
        present = self._table.latest(key)
        if present is not None:
            return check_reused_key(spec, present) or (
                await self._already_accepted(present)
            )
        refused = check_spec(spec, self._ctx.rules) or check_shard_size(
            spec, self._journal
        )
        if refused is not None:
            return await self._refuse(spec, refused)
        wc = self._ctx.rules.work_class(spec.work_class)
        entry = new_entry(spec, wc, now)
        outcome = await self._ctx.commit(entry, now=now)
        self._wakeup.set()
        if isinstance(outcome, Failure):
            return await self._after_failed_accept(spec, outcome)
        return Success(entry.record)

    async def cancel(
        self, team: str, key: str, now: float
    ) -> Result[JobRecord, Problem]:
        """Cancels a job; its record says whether any task of it ran.

        The record of a job with live tasks is not final yet.

        Returns:
            The record once the cancellation is journalled; ``UNKNOWN_JOB``;
            or the reason why the cancellation is not journalled.
        """
        item = self._table.latest((team, key))
        if item is None and self.is_open:
            return await self.confirm_unknown(team, key)
        if isinstance(item, Entry) and not item.is_final:
            changed = request_cancel(item, now)
            outcome = await self._ctx.commit_if_changed(item, changed, now)
            if isinstance(outcome, Failure):
                return _cancel_failed(outcome.failure())
        outcome = await self._journal.wait_settled((team, key))
        if isinstance(outcome, Failure):
            return _cancel_failed(outcome.failure())
        record = self.record(team, key)
        await self._stopper.run_round(now)
        return Success(record)

    def record(self, team: str, key: str) -> JobRecord | None:
        """Returns the settled record of a job; None if there is none."""
        item = self._table.settled((team, key))
        return None if item is None else _record_of(item)

    async def confirm_unknown(
        self, team: str, key: str
    ) -> Result[JobRecord, Problem]:
        """Confirms in the store that a job does not exist.

        Returns:
            ``UNKNOWN_JOB`` if it does not exist; ``NOT_HOME`` if another host
            may be the home by now; the record if the job was accepted in the
            meantime.
        """
        confirmed = await self._journal.confirm_home()
        if isinstance(confirmed, Failure):
            return confirmed
        record = self.record(team, key)
        if record is not None:
            return Success(record)
        return failure(Code.UNKNOWN_JOB, f"no job {team}/{key}")

    def records(self) -> list[JobRecord]:
        """Returns the settled records of the shard, without tombstones."""
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
        return await self._ctx.results.read_all(item)

    async def wait_for_end(
        self, team: str, key: str, *, timeout_s: float
    ) -> JobRecord | None:
        """Waits for the end of a job.

        Returns:
            The record, final unless the timeout expired; None if the job is
            unknown or the shard was lost.
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
            True once the outcome is journalled and the worker may discard
            it.
        """
        is_journalled = await journal_task_end(self._ctx, event, now)
        self._wakeup.set()
        return is_journalled

    async def schedule(self, now: float) -> None:
        """Runs one scheduling round, which also sends due stops."""
        await self._stopper.run_round(now)
        await self._placement.run_round(now)

    async def resolve(self, now: float) -> None:
        """Resolves the starts whose outcome is unknown."""
        await self._resolver.run_round(now)

    def recheck_starts(self) -> None:
        """Makes all live starts due for resolution, after an owner was lost.

        The owner is the host that held the leases of the workers.
        """
        self._resolver.recheck_all()
        self._wakeup.set()

    async def maintain(self, now: float) -> None:
        """Applies the retention rules and rewrites an idle shard."""
        if now - self._last_retention_at >= RETENTION_INTERVAL_S:
            self._last_retention_at = now
            await self._retention.run_round(now)
        idle_s = now - self._journal.written_at
        if idle_s >= IDLE_REWRITE_S and self._ctx.can_write(now):
            await self._journal.commit(now=now)

    async def run(self) -> None:
        """Runs scheduling rounds until the shard is lost or closed."""
        async with asyncio.TaskGroup() as group:
            resolving = maintaining = None
            while self.is_open:
                self._wakeup.clear()
                now = self._clock()
                if not self._placement.is_placing:
                    group.create_task(self.schedule(now))
                if resolving is None or resolving.done():
                    resolving = group.create_task(self.resolve(now))
                if maintaining is None or maintaining.done():
                    maintaining = group.create_task(self.maintain(now))
                await self._sleep(MIN_ROUND_INTERVAL_S)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(MAX_ROUND_INTERVAL_S):
                        await self._wakeup.wait()

    @property
    def is_releasing(self) -> bool:
        """Whether `release` must be repeated, see `Journal.is_releasing`."""
        return self._journal.is_releasing

    async def release(self, now: float) -> bool:
        """Releases the shard; returns whether the store accepted that."""
        released = await self._journal.release(now)
        self._wakeup.set()
        return released

    async def close(self) -> None:
        """Waits for the changes in progress and closes the shard."""
        await self._journal.close(self._clock())
        self._wakeup.set()

    async def _after_failed_accept(
        self, spec: JobSpec, failed: Failure
    ) -> Result[JobRecord, Problem]:
        """Returns the answer for a job whose acceptance was not journalled.

        A home that was paused doesn't know whether another home has accepted
        the job in the meantime, even if its own write had no effect.
        """
        idle_s = self._clock() - self._journal.written_at
        is_refusal = proves_not_run(failed.failure().code)
        if is_refusal and idle_s > HOME_CONFIRMED_S:
            return await self._refuse(spec, failed)
        return failed

    async def _refuse(
        self, spec: JobSpec, refused: Failure
    ) -> Result[JobRecord, Problem]:
        # Another home may have accepted an earlier submission.
        confirmed = await self._journal.confirm_home()
        if isinstance(confirmed, Failure):
            return confirmed
        present = self._table.latest((spec.team, spec.key))
        if present is None:
            return refused
        return check_reused_key(spec, present) or (
            await self._already_accepted(present)
        )

    async def _already_accepted(self, present: Item) -> Result:
        if self.record(*present.key) is None:
            outcome = await self._journal.wait_settled(present.key)
            if isinstance(outcome, Failure):
                return outcome
        # A settled job is reported even if a later change to it fails.
        return Success(self.record(*present.key))


def _record_of(item: Item) -> JobRecord:
    if isinstance(item, Tombstone):
        return record_from_tombstone(item)
    return item.record


def _cancel_failed(failed: Problem) -> Result[JobRecord, Problem]:
    # A code that proves "not run" is about the cancellation here. Callers would
    # apply it to the job, so it is replaced.
    if not proves_not_run(failed.code):
        return Failure(failed)
    detail = f"the cancellation was not journalled: {failed.detail}"
    return failure(Code.ASK_AGAIN, detail, retry_after_s=failed.retry_after_s)
