"""Placement and task control on the workers that this host owns.

Each worker has one owner at a time, a scheduler host. The owner keeps a session
for the worker, and shard homes of all hosts place tasks on it through its
owner.
"""

__all__ = ["OwnedWorkers"]

from collections.abc import Iterable, Sequence

from returns.result import Failure, Result, Success

from dragonflybank.cluster.messages import StartRequest
from dragonflybank.cluster.sessions import WorkerSession
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.decisions import Decision
from dragonflybank.model.leases import (
    Reservation,
    Resolution,
    StartReply,
    TaskEvent,
)
from dragonflybank.model.work import StartRecord
from dragonflybank.policy.placement import Candidate


class OwnedWorkers:
    """Placement candidates and task calls for the owned workers.

    Shard homes of other hosts call it through `make_peer_handlers`.
    """

    def __init__(self, host):
        self._host = host
        self._class_by_task: dict[str, str] = {}

    def session(self, worker: str) -> WorkerSession | None:
        """Returns the session of a worker; None if it is not known."""
        return self._host.ownership.sessions.get(worker)

    def ready_sessions(self, now: float) -> list[WorkerSession]:
        """Returns the sessions of the workers that accept new work."""
        return [
            session
            for session in self._host.ownership.owned_sessions()
            if session.refusal(now) is None
        ]

    def lookup_candidates(self, now: float) -> list[Candidate]:
        """Returns the executors as candidates for a lookup."""
        quarantined = self._host.worker_health.quarantined
        quarantined -= self._host.worker_health.workers_to_probe(now)
        return [
            self._candidate(session, session.free_for_lookups, quarantined, now)
            for session in self.ready_sessions(now)
        ]

    def task_candidates(self, now: float) -> list[Candidate]:
        """Returns the workers as candidates for a task; none at a load peak."""
        if self._host.preemptor.is_batch_blocked(now):
            return []
        quarantined = self._host.worker_health.quarantined
        return [
            self._candidate(session, session.free_for_tasks, quarantined, now)
            for session in self.ready_sessions(now)
        ]

    def release(self, reservations: Iterable[Reservation]) -> None:
        """Frees reservations."""
        for held in reservations:
            session = self.session(held.worker)
            if session is not None:
                session.release(held.id)

    async def start(self, req: StartRequest) -> Result[StartReply, Problem]:
        """Sends a start to its worker and logs the decision."""
        start = req.start
        session = self.session(start.worker)
        if session is None:
            return failure(Code.NOT_OWNER, f"{start.worker} is not known")
        now = self._host.clock()
        self._class_by_task[start.task_id] = req.work_class
        reply = await session.start(
            start, work_class=req.work_class, payload=req.payload, now=now
        )
        code = reply.failure().code if isinstance(reply, Failure) else Code.OK
        self._host.decisions.add(
            Decision(
                now,
                "start",
                start.task_id.rsplit("/", 2)[0],
                start.worker,
                f"{start.task_id} at epoch {start.epoch}",
                code=int(code),
            )
        )
        return reply

    def on_task_ended(self, event: TaskEvent) -> None:
        """Updates worker health and run times from the end of a task.

        An end is reported again until it is journalled, but counts only once.
        """
        work_class = self._class_by_task.pop(event.task_id, None)
        if work_class is None:
            return
        team = event.task_id.split("/", 1)[0]
        now = self._host.clock()
        self._host.worker_health.record_task_end(team, work_class, event, now)
        self._host.class_statistics.record_run_time(work_class, event)
        self._host.preemptor.on_task_ended(event.task_id)

    async def stop(
        self, starts: Sequence[StartRecord]
    ) -> Result[None, Problem]:
        """Stops tasks with one call per worker."""
        by_worker: dict[str, list[str]] = {}
        for start in starts:
            by_worker.setdefault(start.worker, []).append(start.task_id)
        for worker, task_ids in by_worker.items():
            session = self.session(worker)
            if session is None:
                return failure(Code.NOT_OWNER, f"{worker} is not known")
            stopped = await session.stop(task_ids)
            if isinstance(stopped, Failure):
                return stopped
        return Success(None)

    async def resolve(self, start: StartRecord) -> Result[Resolution, Problem]:
        """Determines what became of a start."""
        session = self.session(start.worker)
        if session is None:
            return failure(Code.NOT_OWNER, f"{start.worker} is not known")
        return await session.resolve(start, now=self._host.clock())

    def _candidate(self, session, free, quarantined, now) -> Candidate:
        return Candidate(
            session.name,
            session.size,
            free,
            rack=session.info.rack,
            long_running=self._count_long_running(session, now),
            quarantined=session.name in quarantined,
            failure_domain=session.info.failure_domain,
        )

    def _count_long_running(self, session, now) -> int:
        run_times = self._host.class_statistics.run_times
        found = (
            (
                self._host.active_config.work_class(t.work_class),
                now - t.started_at,
            )
            for t in session.tasks.values()
        )
        return sum(
            1
            for wc, age_s in found
            if isinstance(wc, Success)
            and run_times.is_long(wc.unwrap(), age_s=age_s)
        )
