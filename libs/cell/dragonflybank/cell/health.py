"""Detection of unhealthy executors, as opposed to jobs that fail anywhere.

An executor on which several jobs failed in a row, none of which had failed
elsewhere before, is quarantined: it gets no new work for a while, and one more
failure quarantines it again. An attempt without progress is stopped and its
executor quarantined. Members of a gang may make no progress without a fault:
until all members are present, and from their own end until the slowest ends.
"""

__all__ = ["HealthTracker"]

import itertools
import logging
from collections.abc import Iterable, Iterator

from dragonflybank.cell.state import Attempt, AttemptPhase, Executor, Task

_log = logging.getLogger(__name__)

# Two failed jobs in a row prove nothing: jobs that fail on any executor may run
# on the same one by chance.
FAILED_JOBS_LIMIT = 3
MIN_QUARANTINE_S = 3.0
MAX_QUARANTINE_S = 24.0
# Progress is reported in whole percent. The slowest healthy task, with a run
# time of 36 s on an executor that is six times slower, takes 2.2 s for one
# percent.
MIN_STUCK_S = 3.0
# Share of its estimated run time after which an attempt without progress is
# stuck.
STUCK_ESTIMATE_SHARE = 0.3
CHECK_INTERVAL_S = 0.5
DONE_PERCENT = 100


class HealthTracker:
    """Collects evidence about executors.

    Attributes:
        unhealthy_quarantine_s: Quarantine after a refusal as unhealthy, in
            seconds.
        no_capacity_quarantine_s: Quarantine after a refusal for lack of
            resources, in seconds.
        stuck_quarantine_s: Quarantine after an attempt without progress, in
            seconds.
    """

    unhealthy_quarantine_s = 1.0
    no_capacity_quarantine_s = 0.5
    stuck_quarantine_s = 4.0

    def __init__(self):
        self._next_quarantine_s: dict[str, float] = {}
        self._checked_at = float("-inf")

    def record_success(
        self, executor: Executor, attempt: Attempt | None, now: float
    ) -> None:
        """Clears the evidence against an executor after a success on it.

        A success that began during a quarantine ends it.
        """
        if attempt is not None and attempt.began_at > executor.quarantined_at:
            executor.quarantined_until = min(executor.quarantined_until, now)
        executor.failed_jobs.clear()
        self._next_quarantine_s.pop(executor.info.id, None)

    def record_failure(
        self, executor: Executor, task: Task, now: float
    ) -> None:
        """Records a failure; several in a row quarantine the executor."""
        if task.avoided_executors - {executor.info.id}:
            return
        executor.failed_jobs.add(task.id.job)
        if len(executor.failed_jobs) < FAILED_JOBS_LIMIT:
            return
        quarantine_s = self._next_quarantine_s.get(
            executor.info.id, MIN_QUARANTINE_S
        )
        self._next_quarantine_s[executor.info.id] = min(
            MAX_QUARANTINE_S, 2 * quarantine_s
        )
        executor.quarantine(now, quarantine_s)
        _log.warning(
            "executor quarantined",
            extra={
                "executor": executor.info.id,
                "failed_jobs": len(executor.failed_jobs),
                "rest_s": quarantine_s,
            },
        )
        # A single further failure starts the next quarantine.
        executor.failed_jobs.pop()

    def find_stuck(
        self, attempts: Iterable[Attempt], now: float
    ) -> Iterator[tuple[Attempt, str]]:
        """Yields attempts without progress, and the reason to stop them."""
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        for attempt in list(attempts):
            spec = attempt.task.step.spec
            if (
                attempt.phase is not AttemptPhase.RUNNING
                or spec.lasting
                or spec.filling
                or attempt.executor.silent_since is not None
            ):
                continue
            limit_s = max(MIN_STUCK_S, STUCK_ESTIMATE_SHARE * spec.estimate_s)
            stalled_s = now - attempt.advanced_at
            if stalled_s > limit_s and not _waits_for_gang(attempt):
                yield attempt, f"no progress for {stalled_s:.1f} s"


def _waits_for_gang(attempt: Attempt) -> bool:
    """Returns whether a member of a gang waits for other members."""
    step = attempt.task.step
    if not step.spec.gang:
        return False
    if attempt.percent >= DONE_PERCENT:
        return True
    members = itertools.chain.from_iterable(t.attempts for t in step.tasks)
    return not any(
        member.percent > 0 and member.number == attempt.number
        for member in members
    )
