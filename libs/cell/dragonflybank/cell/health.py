"""Sick executors, told from jobs that fail anywhere.

An executor on which several jobs failed in a row, none of which had failed
elsewhere before, gets no new work for a while, and then one more chance. An
attempt whose progress stands still is stopped and its executor rested. Members
of a gang stand still without fault: until all are present, and from their own
end until that of the slowest.
"""

__all__ = ["HealthRules"]

import itertools
import logging
from collections.abc import Iterable, Iterator

from dragonflybank.cell.state import Attempt, AttemptPhase, Executor, Task

_log = logging.getLogger(__name__)

# A job that fails anywhere can fail twice on one executor by chance.
FAILED_JOBS = 3
REST_MIN_S = 3.0
REST_MAX_S = 24.0
# Progress is reported in whole percent: the slowest sound task, of 36 s on an
# executor that is six times slower, takes 2.2 s for one.
STUCK_MIN_S = 3.0
STUCK_SHARE = 0.3
CHECK_EVERY_S = 0.5
DONE_PERCENT = 100


class HealthRules:
    """Evidence on executors.

    Attributes:
        shed_rest_s: Rest of an executor that refused as unhealthy, seconds.
        room_rest_s: Rest after a refusal for want of room, in seconds.
        stuck_rest_s: Rest after an attempt stood still, in seconds.
    """

    shed_rest_s = 1.0
    room_rest_s = 0.5
    stuck_rest_s = 4.0

    def __init__(self):
        self._rests: dict[str, float] = {}
        self._checked_at = float("-inf")

    def succeeded(
        self, executor: Executor, attempt: Attempt | None, now: float
    ) -> None:
        """Notes a success, which clears the evidence against an executor."""
        executor.failed_jobs.clear()
        self._rests.pop(executor.info.id, None)

    def failed(self, executor: Executor, task: Task, now: float) -> None:
        """Notes a failure; rests the executor after several in a row."""
        if task.avoided - {executor.info.id}:
            return
        executor.failed_jobs.add(task.id.job)
        if len(executor.failed_jobs) < FAILED_JOBS:
            return
        rest_s = self._rests.get(executor.info.id, REST_MIN_S)
        self._rests[executor.info.id] = min(REST_MAX_S, 2 * rest_s)
        executor.sick_until = now + rest_s
        _log.warning(
            "executor rested",
            extra={
                "executor": executor.info.id,
                "failed_jobs": len(executor.failed_jobs),
                "rest_s": rest_s,
            },
        )
        # One more failure after the rest is enough.
        executor.failed_jobs.pop()

    def stuck(
        self, attempts: Iterable[Attempt], now: float
    ) -> Iterator[tuple[Attempt, str]]:
        """Yields attempts whose progress stands still, and why."""
        if now - self._checked_at < CHECK_EVERY_S:
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
            limit_s = max(STUCK_MIN_S, STUCK_SHARE * spec.estimate_s)
            still_s = now - attempt.advanced_at
            if still_s > limit_s and not _waits_for_gang(attempt):
                yield attempt, f"no progress for {still_s:.1f} s"


def _waits_for_gang(attempt: Attempt) -> bool:
    """Returns whether a member of a gang has nothing to do at present."""
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
