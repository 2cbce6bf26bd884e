"""What the parts of a shard home share."""

__all__ = ["HomeContext"]

import random
from collections.abc import Callable, Sequence

import attrs
from returns.result import Failure, Result, Success

from dragonflybank.jobs.entries import Entry, Key
from dragonflybank.jobs.failures import EventContext
from dragonflybank.jobs.journal import Journal
from dragonflybank.jobs.results import ResultStore
from dragonflybank.jobs.runner import SchedulingRules, TaskRunner
from dragonflybank.model.codes import Code, Problem
from dragonflybank.model.decisions import Decision
from dragonflybank.model.work import WorkClass, WorkKind

# Failures on this many workers that have nothing in common are put down to
# the job.
UNLIKE_WORKERS = 3
RETRY_MIN_S = 1.0
RETRY_MAX_S = 60.0


@attrs.define
class HomeContext:
    """The journal of a shard and what it is worked with.

    Attributes:
        journal: Journal of the shard.
        runner: Starts and stops tasks.
        rules: Operator configuration and cell.
        results: Store of long results.
        rng: Source of jitter.
        log: Takes each decision.
        sending: Task ids whose start is being sent by this home. Their
            outcome is not looked up meanwhile.
        paused_until: Time before which the store is not tried for new
            starts, seconds since 1970.
    """

    journal: Journal
    runner: TaskRunner
    rules: SchedulingRules
    results: ResultStore
    rng: random.Random
    log: Callable[[Decision], None]
    sending: set[str] = attrs.field(factory=set)
    paused_until: float = 0.0

    async def commit(
        self, *entries: Entry, now: float
    ) -> Result[None, Problem]:
        """Commits entries and notes an outage of the store."""
        outcome = await self.journal.commit(*entries, now=now)
        if isinstance(outcome, Failure):
            failed = outcome.failure()
            if failed.code in (Code.STORE_UNAVAILABLE, Code.WRITE_UNSETTLED):
                self.paused_until = now + failed.retry_after_s
        return outcome

    async def commit_changed(
        self, before: Entry, after: Entry, now: float
    ) -> Result[None, Problem]:
        """Commits an entry unless it is the same as before."""
        if after is before:
            return Success(None)
        return await self.commit(after, now=now)

    def can_start(self, now: float) -> bool:
        """Returns whether the store takes new starts as far as is known."""
        journal = self.journal
        return (
            journal.is_open
            and not journal.is_stalled
            and now >= self.paused_until
        )

    def note(
        self,
        now: float,
        kind: str,
        key: Key,
        chosen: str,
        reason: str,
        code: Code = Code.OK,
    ) -> None:
        """Logs a decision about a job."""
        subject = "/".join(key)
        self.log(Decision(now, kind, subject, chosen, reason, code=int(code)))

    def work_class(self, entry: Entry) -> WorkClass:
        """Returns the class of a job, with the rules it was accepted by."""
        name = entry.record.spec.work_class
        known = self.rules.work_class(name) or WorkClass(name)
        kind = WorkKind.GANG if entry.gang else known.kind
        # A round asks this of each waiting job; rules rarely change.
        if known.repeatable == entry.repeatable and known.kind is kind:
            return known
        return attrs.evolve(known, repeatable=entry.repeatable, kind=kind)

    def event_context(
        self, entry: Entry, worker: str, now: float
    ) -> EventContext:
        """Returns what a transition about a task on a worker needs."""
        return EventContext(
            now,
            delay_s=self._retry_delay_s(entry.failures),
            largest=self.rules.largest_worker(),
            counted=not self.rules.is_quarantined(worker),
            exhausted=self._is_exhausted,
        )

    def _retry_delay_s(self, failures: int) -> float:
        longest_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**failures)
        return longest_s * self.rng.uniform(0.5, 1.0)

    def _is_exhausted(self, workers: Sequence[str]) -> bool:
        racks = {self.rules.rack_of(worker) for worker in workers}
        racks_needed = min(2, self.rules.rack_count())
        return len(workers) >= UNLIKE_WORKERS and len(racks) >= racks_needed
