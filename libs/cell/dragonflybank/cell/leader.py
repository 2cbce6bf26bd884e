"""The leader: it alone starts tasks, on all executors of the cell.

It takes in jobs, lists and ends, and decides what to start and stop.
Executors refuse leaders with an older epoch, so a new leader that has claimed
an executor knows all that runs there. What may still run on executors that it
could not claim is never started a second time; see `takeover`.
"""

__all__ = ["Leader"]

import asyncio
import logging
from collections.abc import Callable

from dragonflybank.cell.advice_dispatch import AdviceDispatcher
from dragonflybank.cell.attempts import Attempts
from dragonflybank.cell.background import BackgroundTasks
from dragonflybank.cell.commits import Committer
from dragonflybank.cell.election import Leadership
from dragonflybank.cell.fleet import Fleet
from dragonflybank.cell.health import HealthRules
from dragonflybank.cell.jobs import JobPhase
from dragonflybank.cell.limits import CellLimits
from dragonflybank.cell.metrics import CellMetrics
from dragonflybank.cell.ports import Platform
from dragonflybank.cell.scheduling import Scheduling
from dragonflybank.cell.state import Executor, JobState
from dragonflybank.cell.throttling import PaceRules
from dragonflybank.cell.workload import Workload
from dragonflybank.cluster.clock import Clock

_log = logging.getLogger(__name__)

# Gathers the events that arrive together into one round of decisions.
ROUND_S = 0.01
# Rounds without an event, for time-outs and checks that depend on time.
IDLE_ROUND_S = 0.25


class Leader:
    """The deciding host during one leadership.

    Attributes:
        limits: Bounds of the platform.
        leadership: The leadership.
        clock: Clock of the host.
        workload: Jobs that are not over.
        fleet: Executors and the links to them.
        attempts: What runs on them.
        committer: Writer of progress records.
        health: What is known of sick executors.
        pacing: Pace of filling tasks.
        publish: Called with a job and its state that callers may be told.
        background: Tasks beside the rounds; a failure ends the leadership.
        has_failed: Whether one of them failed.
        is_loaded: Whether it knows all jobs of its predecessors.

    Args:
        platform: The platform.
        wall: Returns the time of day, seconds since 1970.
        advice_dispatcher: Calls for advice, or None where there is no advice.
        metrics: Metrics of the host.
    """

    def __init__(
        self,
        platform: Platform,
        leadership: Leadership,
        *,
        limits: CellLimits,
        clock: Clock,
        wall: Callable[[], float],
        advice_dispatcher: AdviceDispatcher | None,
        publish: Callable[[str, JobPhase], None],
        metrics: CellMetrics,
    ):
        self.metrics = metrics
        self.platform = platform
        self.leadership = leadership
        self.limits = limits
        self.clock = clock
        self.wall = wall
        self.workload = Workload()
        self.fleet = Fleet(self)
        self.attempts = Attempts(self)
        self.health = HealthRules()
        self.pacing = PaceRules()
        self.committer = Committer(
            platform.store,
            leadership,
            clock=clock,
            on_ended=self._on_ended,
        )
        self.scheduling = Scheduling(self, advice_dispatcher)
        self.publish = publish
        self.has_failed = False
        self.is_loaded = False
        self._wake = asyncio.Event()
        self.background = BackgroundTasks(self._fail)

    async def run_rounds(self) -> None:
        """Decides, again and again, until the leadership is lost."""
        while not self.leadership.lost.is_set():
            try:
                async with asyncio.timeout(IDLE_ROUND_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            await self.clock.sleep(ROUND_S)
            self._wake.clear()
            now = self.clock.now()
            self._check_times(now)
            self.scheduling.decide(now, self.wall())

    async def close(self) -> None:
        """Ends all calls to executors."""
        await self.fleet.close()
        await self.background.close()

    def wake(self) -> None:
        """Lets the next round of decisions begin."""
        self._wake.set()

    def deposed(self, executor: Executor) -> None:
        """Notes that an executor has accepted a newer leader."""
        _log.warning(
            "epoch refused",
            extra={
                "executor": executor.info.id,
                "epoch": self.leadership.epoch,
            },
        )
        self.leadership.lost.set()

    def _fail(self) -> None:
        """Gives up after a programming error, whose effects are unknown."""
        self.has_failed = True
        self.leadership.lost.set()

    def cancel(self, job_id: str) -> None:
        """Cancels a job and stops what runs of it."""
        state = self.workload.jobs.get(job_id)
        if state is None or state.phase.is_final:
            return
        state.cancelled = True
        self.end_job(state, JobPhase.CANCELLED, "cancelled by its caller")

    def begun(self, state: JobState) -> None:
        """Notes that a task of a job has started."""
        if state.phase is JobPhase.QUEUED:
            state.phase = JobPhase.RUNNING
            self.publish(state.job.id, JobPhase.RUNNING)

    def end_job(self, state: JobState, phase: JobPhase, reason: str) -> None:
        """Gives a job its final state and stops what runs of it."""
        if state.phase.is_final:
            return
        self.workload.end(state, phase, self.wall())
        age_s = self.wall() - state.job.accepted_at
        self.metrics.jobs_ended.labels(phase.value).inc()
        self.metrics.job_seconds.labels(state.job.queue.priority).observe(age_s)
        _log.info(
            "job ended",
            extra={
                "job": state.job.id,
                "queue": state.job.queue.name,
                "phase": phase.value,
                "reason": reason,
                "age_s": round(age_s, 3),
            },
        )
        for attempt in state.attempts():
            self.attempts.stop(attempt, "job ended")
        self.committer.mark_changed(state)
        self.workload.forget(state)

    def update_gauges(self) -> None:
        """Brings the gauges up to date."""
        metrics = self.metrics
        executors = self.fleet.executors.values()
        claimed = [e for e in executors if e.claimed]
        silent = [e for e in claimed if e.silent_since is not None]
        metrics.waiting_steps.set(len(self.workload.ready))
        metrics.executors.labels("listed").set(
            sum(e.is_listed for e in executors)
        )
        metrics.executors.labels("claimed").set(len(claimed))
        metrics.executors.labels("silent").set(len(silent))
        metrics.free_cores.set(sum(e.free_millicores for e in claimed) / 1000)

    def _on_ended(self, state: JobState) -> None:
        self.publish(state.job.id, state.phase)

    def _check_times(self, now: float) -> None:
        self.workload.open_due(
            self.wall(), early_s=self.limits.max_early_start_s, now=now
        )
        self.fleet.drop_gone(now)
        self.fleet.evacuate(now)
        self.fleet.end_doubt(now)
        for attempt, reason in self.health.stuck(self.workload.attempts(), now):
            attempt.executor.sick_until = max(
                attempt.executor.sick_until, now + self.health.stuck_rest_s
            )
            self.attempts.stop(attempt, reason)
            attempt.task.avoided.add(attempt.executor.info.id)
