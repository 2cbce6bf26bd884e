"""What a host learns from ended work: sizes, run times, sick workers."""

__all__ = ["ClassStatistics", "Health"]

from returns.result import Failure, Result, Success

from dragonflybank.model.codes import Code, Problem
from dragonflybank.model.decisions import Decision
from dragonflybank.model.leases import TaskEvent, TaskState
from dragonflybank.policy.health import WorkerHealth
from dragonflybank.policy.sizes import SizeEstimator
from dragonflybank.policy.stragglers import RunTimes

SIZE_EXCEEDED = "size_exceeded"


class ClassStatistics:
    """Measured sizes and run times by class.

    Attributes:
        sizes: Learned sizes.
        run_times: Learned run times.
    """

    def __init__(self):
        self.sizes = SizeEstimator()
        self.run_times = RunTimes()

    def note_size(self, work_class: str, event: TaskEvent) -> None:
        """Takes over the measured size of an ended task."""
        if event.state is TaskState.DONE:
            self.sizes.add(work_class, event.peak)

    def note_run(self, work_class: str, event: TaskEvent) -> None:
        """Takes over the run time of an ended task."""
        if event.state is TaskState.DONE:
            self.run_times.add(work_class, event.run_s)


class Health:
    """Evidence of sick workers from tasks and lookups."""

    def __init__(self, host):
        self._host = host
        self._workers = WorkerHealth()

    @property
    def quarantined(self) -> frozenset[str]:
        """Names of the workers in quarantine."""
        return self._workers.quarantined

    def open_to_lookups(self, now: float) -> frozenset[str]:
        """Returns the quarantined workers that may be probed by a lookup.

        Lookups are repeatable: one that fails is tried at another worker.
        """
        return frozenset(self._workers.probes_due(now))

    def chosen(self, worker: str, now: float) -> None:
        """Notes that a lookup was placed; it probes a quarantined worker."""
        self._workers.record_probe(worker, now)

    def note_task(
        self, team: str, work_class: str, event: TaskEvent, now: float
    ) -> None:
        """Takes over the end of a task."""
        if event.state is TaskState.DONE:
            self._workers.record_success(event.worker)
        # A task that outgrew its grant says nothing about its worker.
        if event.state is TaskState.FAILED and event.reason != SIZE_EXCEEDED:
            self._failed(event.worker, team, work_class, now)

    def note_lookup(self, worker: str, req, reply: Result) -> None:
        """Takes over the end of a lookup."""
        match reply:
            case Success(_):
                self._workers.record_success(worker)
            case Failure(Problem(code=Code.TASK_FAILED)):
                self._failed(
                    worker, req.team, req.work_class, self._host.clock()
                )

    def _failed(self, worker, team, work_class, now) -> None:
        region = self._host.settings.region
        rows = [vm for vm in self._host.fleet.workers if vm.region == region]
        # Two hosts that quarantine within one gossip round may pass the limit
        # by one worker for each further host.
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
                Decision(now, "quarantine", worker, worker, "unlike jobs fail")
            )
