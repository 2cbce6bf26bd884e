"""State and helpers that the parts of a shard home share."""

__all__ = ["HomeContext"]

import random
from collections.abc import Callable, Sequence

import attrs
from returns.result import Failure, Result, Success

from dragonflybank.jobs.entries import Entry, JobKey
from dragonflybank.jobs.failures import TransitionContext
from dragonflybank.jobs.journal import Journal
from dragonflybank.jobs.results import ResultStore
from dragonflybank.jobs.runner import SchedulingRules, TaskRunner
from dragonflybank.model.codes import Code, Problem
from dragonflybank.model.decisions import Decision
from dragonflybank.model.work import WorkClass, WorkKind

# Failures on this many workers are blamed on the job if the workers are in at
# least two racks, or if the region has only one. Workers that have nothing in
# common rarely all fail for reasons of their own.
MIN_UNLIKE_WORKERS = 3
# Bounds of the delay before a failed or lost task is started again.
RETRY_MIN_S = 1.0
RETRY_MAX_S = 60.0


@attrs.define
class HomeContext:
    """The journal of a shard and the collaborators of its home.

    Attributes:
        journal: Journal of the shard.
        runner: Starts and stops tasks.
        rules: Operator configuration and workers.
        results: Store of long results.
        rng: Generator of jitter.
        log: Called with each decision.
        starts_in_flight: Task ids of the starts that this home is sending.
            `StartResolver` skips them.
        store_retry_at: Time before which no new starts are written to the
            store, seconds since 1970.
    """

    journal: Journal
    runner: TaskRunner
    rules: SchedulingRules
    results: ResultStore
    rng: random.Random
    log: Callable[[Decision], None]
    starts_in_flight: set[str] = attrs.field(factory=set)
    store_retry_at: float = 0.0

    async def commit(
        self, *entries: Entry, now: float
    ) -> Result[None, Problem]:
        """Commits entries; after a store outage, postpones new writes."""
        outcome = await self.journal.commit(*entries, now=now)
        if isinstance(outcome, Failure):
            failed = outcome.failure()
            if failed.code in (Code.STORE_UNAVAILABLE, Code.WRITE_UNSETTLED):
                self.store_retry_at = now + failed.retry_after_s
        return outcome

    async def commit_if_changed(
        self, before: Entry, after: Entry, now: float
    ) -> Result[None, Problem]:
        """Commits an entry unless it is unchanged."""
        if after is before:
            return Success(None)
        return await self.commit(after, now=now)

    def can_write(self, now: float) -> bool:
        """Returns whether the store is expected to accept new writes."""
        journal = self.journal
        return (
            journal.is_open
            and not journal.is_stalled
            and now >= self.store_retry_at
        )

    def log_job_decision(
        self,
        now: float,
        kind: str,
        key: JobKey,
        chosen: str,
        reason: str,
        code: Code = Code.OK,
    ) -> None:
        """Logs a decision about a job."""
        subject = "/".join(key)
        self.log(Decision(now, kind, subject, chosen, reason, code=int(code)))

    def work_class(self, entry: Entry) -> WorkClass:
        """Returns the class of a job, with the rules at its acceptance."""
        name = entry.record.spec.work_class
        known = self.rules.work_class(name) or WorkClass(name)
        kind = WorkKind.GANG if entry.gang else known.kind
        # Fast path, since each round calls this for every waiting job and the
        # rules rarely change.
        if known.repeatable == entry.repeatable and known.kind is kind:
            return known
        return attrs.evolve(known, repeatable=entry.repeatable, kind=kind)

    def transition_context(
        self, entry: Entry, worker: str, now: float
    ) -> TransitionContext:
        """Returns the context of a transition of a task on a worker."""
        return TransitionContext(
            now,
            retry_delay_s=self._retry_delay_s(entry.failures),
            largest_worker=self.rules.largest_worker(),
            counts_as_failure=not self.rules.is_quarantined(worker),
            is_exhausted=self._is_exhausted,
        )

    def _retry_delay_s(self, failures: int) -> float:
        max_delay_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**failures)
        return max_delay_s * self.rng.uniform(0.5, 1.0)

    def _is_exhausted(self, workers: Sequence[str]) -> bool:
        racks = {self.rules.rack_of(worker) for worker in workers}
        racks_needed = min(2, self.rules.rack_count())
        return len(workers) >= MIN_UNLIKE_WORKERS and len(racks) >= racks_needed
