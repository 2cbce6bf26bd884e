"""Statistics from ended work: task sizes, run times and worker health."""

__all__ = ["ClassStatistics", "HealthTracker"]

from returns.result import Failure, Result, Success

from dragonflybank.model.codes import Code, Problem
from dragonflybank.model.decisions import Decision
from dragonflybank.model.leases import TaskEvent, TaskState
from dragonflybank.policy.health import WorkerHealth
from dragonflybank.policy.sizes import SizeEstimator
from dragonflybank.policy.stragglers import RunTimes

SIZE_EXCEEDED = "size_exceeded"


class ClassStatistics:
    """Measured sizes and run times of tasks by work class.

    Attributes:
        sizes: Estimates grants from measured peaks.
        run_times: Measured run times.
    """

    def __init__(self):
        self.sizes = SizeEstimator()
        self.run_times = RunTimes()

    def record_size(self, work_class: str, event: TaskEvent) -> None:
        """Records the measured peak of a task that is done."""
        if event.state is TaskState.DONE:
            self.sizes.add(work_class, event.peak)

    def record_run_time(self, work_class: str, event: TaskEvent) -> None:
        """Records the run time of a task that is done."""
        if event.state is TaskState.DONE:
            self.run_times.add(work_class, event.run_s)


class HealthTracker:
    """Quarantines unhealthy workers, on which unrelated work fails."""

    def __init__(self, host):
        self._host = host
        self._workers = WorkerHealth()

    @property
    def quarantined(self) -> frozenset[str]:
        """Names of the workers in quarantine."""
        return self._workers.quarantined

    def workers_to_probe(self, now: float) -> frozenset[str]:
        """Returns the quarantined workers that a lookup may probe now.

        Lookups are repeatable, so one that fails is tried on another worker.
        """
        return frozenset(self._workers.probes_due(now))

    def record_lookup_start(self, worker: str, now: float) -> None:
        """Records a placed lookup, which is a probe on a quarantined worker."""
        self._workers.record_probe(worker, now)

    def record_task_end(
        self, team: str, work_class: str, event: TaskEvent, now: float
    ) -> None:
        """Records the end of a task as a success or failure of its worker."""
        if event.state is TaskState.DONE:
            self._workers.record_success(event.worker)
        # A task that exceeded its grant is no evidence against its worker.
        if event.state is TaskState.FAILED and event.reason != SIZE_EXCEEDED:
            self._record_failure(event.worker, team, work_class, now)

    def record_lookup_end(self, worker: str, req, reply: Result) -> None:
        """Records the end of a lookup as a success or failure of its worker."""
        match reply:
            case Success(_):
                self._workers.record_success(worker)
            case Failure(Problem(code=Code.TASK_FAILED)):
                self._record_failure(
                    worker, req.team, req.work_class, self._host.clock()
                )

    def _record_failure(self, worker, team, work_class, now) -> None:
        region = self._host.settings.region
        rows = [vm for vm in self._host.fleet.workers if vm.region == region]
        # Hosts that quarantine workers in the same gossip round don't see each
        # other's. With two hosts the limit may be exceeded by one worker, and
        # by one more for each further host.
        quarantined_elsewhere = sum(
            summary.quarantined
            for summary in self._host.fresh_summaries(now)
            if summary.region == region
        )
        is_new = self._workers.record_failure(
            worker,
            team,
            work_class,
            now,
            region_workers=len(rows),
            quarantined_elsewhere=quarantined_elsewhere,
        )
        if is_new:
            self._host.decisions.add(
                Decision(
                    now,
                    "quarantine",
                    worker,
                    worker,
                    "unrelated jobs fail on it",
                )
            )
