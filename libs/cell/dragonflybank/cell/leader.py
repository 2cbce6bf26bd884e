"""The leader, the only host that starts tasks on the executors of the cell.

It receives jobs, executor entries and poll replies, and decides what to start
and stop. Executors refuse leaders with an older epoch, so a new leader that has
claimed an executor knows everything that runs there. Tasks that may still run
on an executor that could not be claimed are not started a second time; see
`takeover`.
"""

__all__ = ["Leader"]

import asyncio
import collections
import itertools
import logging
from collections.abc import Callable, Iterable

from dragonflybank.cell.advice_dispatch import AdviceDispatcher
from dragonflybank.cell.attempts import AttemptManager
from dragonflybank.cell.background import BackgroundTasks
from dragonflybank.cell.election import ElectionTimes, Leadership
from dragonflybank.cell.fleet import Fleet
from dragonflybank.cell.group_commit import Committer
from dragonflybank.cell.health import HealthTracker
from dragonflybank.cell.input_faults import (
    InputFaults,
)
from dragonflybank.cell.jobs import CellConfig, JobPhase
from dragonflybank.cell.lease_suspensions import LeaseSuspensions
from dragonflybank.cell.limits import CellLimits
from dragonflybank.cell.load_admission import (
    MIN_REPORTED_DELAY_S,
    estimate_start_delays,
    usable_millicores,
)
from dragonflybank.cell.messages import StartDelay
from dragonflybank.cell.metrics import CellMetrics
from dragonflybank.cell.placement import accepting_executors
from dragonflybank.cell.ports import Platform
from dragonflybank.cell.scheduling import Scheduler
from dragonflybank.cell.state import Executor, JobState
from dragonflybank.cell.stored_ends import StoredEnd
from dragonflybank.cell.suspension_records import SuspensionTimes
from dragonflybank.cell.team_delays import estimate_team_delays
from dragonflybank.cell.team_report import (
    summarise_teams,
    update_team_gauges,
)
from dragonflybank.cell.throttling import ThrottleController
from dragonflybank.cell.workload import Workload
from dragonflybank.cluster.clock import Clock

_log = logging.getLogger(__name__)

# Delay before a round of decisions, so that it handles events that arrive
# together.
ROUND_DELAY_S = 0.01
# Interval of rounds without an event, which check timeouts.
IDLE_ROUND_INTERVAL_S = 0.25
# Interval of the log line that sums up the load of the cell.
LOAD_LOG_INTERVAL_S = 1.0


class Leader:
    """The scheduler of the cell during one leadership.

    Attributes:
        limits: Limits of the platform.
        leadership: The leadership.
        clock: Clock of the host.
        workload: Jobs, steps and tasks.
        fleet: Executors and the links to them.
        attempts: Starts, follows and stops attempts.
        committer: Writer of progress records.
        scheduler: Places waiting steps.
        health: Evidence about unhealthy executors.
        throttle: Controls the speed of filling tasks.
        record_live: Called with the identifier of a job and its live phase,
            which hosts report to callers from then on.
        record_end: The same for the end of a job once it is stored.
        background: Tasks beside the rounds; a failure ends the leadership.
        suspensions: Suspended leases of silent executors.
        election_times: When this host saw the keys of former leaders.
        input_faults: Jobs whose handling ended earlier leaderships.
        has_failed: Whether a background task failed.
        is_loaded: Whether all jobs of earlier leaders are loaded.
        reported_entries: Revisions of executor entries that could not be
            decoded and were logged, by key.

    Args:
        platform: The platform.
        unix_time: Returns the current time, seconds since 1970.
        advice_dispatcher: Makes calls for advice; None without an advice
            service.
        metrics: Metrics of the host.
        suspension_times: When suspensions began, as this host knows it from
            former leaders; nothing by default.
        wake_followers: Lets the other hosts ask for changes at once.
        election_times: When this host saw the keys of former leaders; nothing
            by default.
    """

    def __init__(
        self,
        platform: Platform,
        leadership: Leadership,
        *,
        limits: CellLimits,
        clock: Clock,
        unix_time: Callable[[], float],
        advice_dispatcher: AdviceDispatcher | None,
        record_live: Callable[[str, JobPhase], None],
        record_end: Callable[[StoredEnd], None],
        metrics: CellMetrics,
        suspension_times: SuspensionTimes | None = None,
        wake_followers: Callable[[], None] = lambda: None,
        election_times: ElectionTimes | None = None,
    ):
        self.metrics = metrics
        self.platform = platform
        self.leadership = leadership
        self.limits = limits
        self.clock = clock
        self.unix_time = unix_time
        self.workload = Workload(limits.quota_overage)
        self.fleet = Fleet(self)
        self.attempts = AttemptManager(self)
        self.health = HealthTracker()
        self.throttle = ThrottleController()
        self.committer = Committer(
            platform.store,
            leadership,
            clock=clock,
            on_ended=self._on_ended,
        )
        self.suspensions = LeaseSuspensions(
            platform.store,
            leadership,
            limits=limits,
            clock=clock,
            executors=self.fleet.executors,
            times=suspension_times or SuspensionTimes(),
            metrics=metrics,
            on_stored=wake_followers,
        )
        self.scheduler = Scheduler(self, advice_dispatcher)
        self.input_faults = InputFaults(
            platform.store, leadership, clock=clock, metrics=metrics
        )
        self.election_times = election_times or ElectionTimes()
        self.record_live = record_live
        self.record_end = record_end
        self.has_failed = False
        self.is_loaded = False
        self.reported_entries: dict[str, int] = {}
        self._load_logged_at = float("-inf")
        self._wake = asyncio.Event()
        self.background = BackgroundTasks(self._on_background_failure)

    async def run_rounds(self) -> None:
        """Runs rounds of decisions until the leadership is lost."""
        while not self.leadership.lost.is_set():
            try:
                async with asyncio.timeout(IDLE_ROUND_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            await self.clock.sleep(ROUND_DELAY_S)
            self._wake.clear()
            now = self.clock.now()
            self._run_timed_checks(now)
            self.scheduler.place_waiting_steps(now, self.unix_time())
            if now - self._load_logged_at >= LOAD_LOG_INTERVAL_S:
                self._load_logged_at = now
                self._log_load()

    async def close(self) -> None:
        """Ends all calls to executors and background tasks."""
        await self.fleet.close()
        await self.background.close()

    def wake(self) -> None:
        """Requests a round of decisions."""
        self._wake.set()

    def on_fenced(self, executor: Executor) -> None:
        """Ends the leadership since an executor has accepted a newer leader."""
        _log.warning(
            "executor refused the epoch",
            extra={
                "executor": executor.info.id,
                "epoch": self.leadership.epoch,
            },
        )
        self.leadership.lost.set()

    def _on_background_failure(self) -> None:
        """Ends the leadership after a programming error.

        The state in memory may be wrong, so another host takes over.
        """
        self.has_failed = True
        self.leadership.lost.set()

    def adopt_config(self, cfg: CellConfig) -> None:
        """Lets accepted jobs follow their queues to a configuration.

        What runs goes on where it is; later starts use the new definition.
        """
        for state in self.workload.adopt_config(cfg):
            self._on_queue_redefined(state)
        self.wake()

    def update_queue(self, state: JobState) -> None:
        """Lets a loaded job follow its queue to the configuration in force."""
        if self.workload.update_queue(state):
            self._on_queue_redefined(state)

    def _on_queue_redefined(self, state: JobState) -> None:
        queue = state.queue
        _log.info(
            "queue redefined",
            extra={
                "job": state.job.id,
                "queue": queue.name,
                "team": state.job.team,
                "service": queue.service,
                "priority": queue.priority,
                "version": queue.version,
                "accepted_version": state.job.queue.version,
            },
        )
        self.committer.mark_changed(state)

    def cancel(self, job_id: str) -> None:
        """Cancels a job and stops its attempts."""
        state = self.workload.jobs.get(job_id)
        if state is None or state.phase.is_final:
            return
        state.cancelled = True
        self.end_job(state, JobPhase.CANCELLED, "cancelled by its caller")

    def on_task_started(self, state: JobState) -> None:
        """Records a job as running when its first task has started."""
        if state.phase is JobPhase.QUEUED:
            state.phase = JobPhase.RUNNING
            self.record_live(state.job.id, JobPhase.RUNNING)

    def end_job(self, state: JobState, phase: JobPhase, reason: str) -> None:
        """Sets the final state of a job and stops its attempts.

        Callers learn of it once it is stored; until then the next leader may
        have to run the job again.
        """
        if state.phase.is_final:
            return
        self.workload.end_job(state, phase, self.unix_time())
        age_s = self.unix_time() - state.job.accepted_at
        _log.info(
            "job ended",
            extra={
                "job": state.job.id,
                "queue": state.queue.name,
                "team": state.job.team,
                "phase": phase.value,
                "reason": reason,
                "age_s": round(age_s, 3),
            },
        )
        for attempt in state.attempts():
            self.attempts.stop(attempt, "job ended")
        self.committer.mark_changed(state)
        self.workload.drop_if_idle(state)

    def start_delays(self, now: float) -> tuple[StartDelay, ...]:
        """Returns the delays of new jobs under overload."""
        unix_time, usage = self.unix_time(), self.workload.team_usage
        executors = self.fleet.executors.values()
        delays = estimate_start_delays(
            self.workload.ready,
            executors,
            advice_slots=self.scheduler.advice_slots,
            now=now,
            unix_time=unix_time,
        )
        self.metrics.start_delay_seconds.set(
            max((delay.seconds for delay in delays), default=0.0)
        )
        if not usage.is_active:
            return delays
        team_delays = estimate_team_delays(
            self.workload.ready,
            usage,
            over_rate=self.workload.rate_meter.teams_over_rate(
                usage.teams, unix_time
            ),
            usable_millicores=usable_millicores(
                accepting_executors(executors, now)
            ),
            min_delay_s=MIN_REPORTED_DELAY_S,
            unix_time=unix_time,
        )
        return (*delays, *team_delays)

    def update_gauges(self) -> None:
        """Updates the gauges of the metrics."""
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
        update_team_gauges(self.workload, metrics)

    def _log_load(self) -> None:
        """Logs what waits and what is free, to explain late jobs afterwards."""
        executors = [e for e in self.fleet.executors.values() if e.claimed]
        if not self.workload.ready and not any(e.attempts for e in executors):
            return
        waiting: dict[int, list[int]] = {}
        for step in self.workload.ready:
            counts = waiting.setdefault(step.job_state.queue.priority, [0, 0])
            counts[0] += 1
            counts[1] += len(step.waiting_tasks())
        phases = collections.Counter(
            attempt.phase.value
            for executor in executors
            for attempt in executor.attempts.values()
        )
        _log.info(
            "load",
            extra={
                "waiting_steps_and_tasks": waiting,
                "attempts": phases,
                "free_cores": sum(e.free_millicores for e in executors) // 1000,
                "cores": sum(e.info.millicores for e in executors) // 1000,
                "services": self._load_by_service(executors),
                "silent": sum(e.silent_since is not None for e in executors),
                "idle_advice_slots": self.scheduler.idle_advice_slots,
                "teams": summarise_teams(self.workload),
            },
        )

    def _load_by_service(
        self, executors: Iterable[Executor]
    ) -> dict[str, dict[str, int]]:
        """Returns what waits for each service, and its cores, for the log."""
        loads: dict[str, dict[str, int]] = {}
        reserved = self.scheduler.reserved_millicores
        amounts = itertools.chain(
            (
                (step.job_state.queue.service, "waiting_steps", 1)
                for step in self.workload.ready
            ),
            (
                (e.info.service, field, millicores // 1000)
                for e in executors
                for field, millicores in (
                    ("free_cores", e.free_millicores),
                    ("cores", e.info.millicores),
                    ("reserved_cores", reserved.get(e.info.id, 0)),
                )
            ),
        )
        for service, field, amount in amounts:
            load = loads.setdefault(service, {})
            load[field] = load.get(field, 0) + amount
        return loads

    def _on_ended(self, state: JobState, end: StoredEnd) -> None:
        self.record_end(end)
        unix_time = self.unix_time()
        self.metrics.jobs_ended.labels(end.phase.value).inc()
        self.metrics.job_seconds.labels(state.queue.priority).observe(
            unix_time - state.job.accepted_at
        )
        _log.info(
            "end stored",
            extra={
                "job": end.job_id,
                "phase": end.phase.value,
                "revision": end.revision,
                "epoch": self.leadership.epoch,
                "waited_s": round(unix_time - state.progress.ended_at, 3),
            },
        )

    def _run_timed_checks(self, now: float) -> None:
        self.workload.open_due_occurrences(
            self.unix_time(),
            max_early_start_s=self.limits.max_early_start_s,
            now=now,
        )
        self.fleet.forget_unreachable(now)
        self.fleet.evacuate(now)
        self.suspensions.update(now)
        self.fleet.release_expired(now)
        for attempt, reason in self.health.find_stuck(
            self.workload.attempts(), now
        ):
            executor = attempt.executor
            rest_s = executor.quarantined_until - now
            executor.quarantine(
                now, max(rest_s, self.health.stuck_quarantine_s)
            )
            self.attempts.stop(attempt, reason)
            attempt.task.avoided_executors.add(executor.info.id)
