"""The attempts of tasks: placed, started, followed, stopped and given up.

An attempt holds its room until it is known to be over: by its end, by a list
that lacks it, by another incarnation of its executor, or by the end of the
executor's lease.
"""

__all__ = ["Attempts"]

import logging
from typing import TYPE_CHECKING

from dragonflybank.cell.capacity import release, reserve
from dragonflybank.cell.jobs import JobPhase, TaskId
from dragonflybank.cell.ports import (
    AttemptEnd,
    CommandReply,
    EndKind,
    ExecutorInfo,
    RunningAttempt,
)
from dragonflybank.cell.state import (
    Attempt,
    AttemptPhase,
    Executor,
    StepState,
    Task,
)
from dragonflybank.cell.tickets import ticket_for

if TYPE_CHECKING:
    from dragonflybank.cell.leader import Leader

_log = logging.getLogger(__name__)

# An order to stop an attempt of an ended job is repeated after this.
STRANGER_RETRY_S = 1.0
# A step whose start an executor called wrong is not placed for this long.
BAD_START_REST_S = 1.0


class Attempts:
    """What the leader does about attempts.

    Args:
        leader: The leader.
    """

    def __init__(self, leader: "Leader"):
        self._leader = leader
        self._strangers: dict[tuple[str, TaskId, int], float] = {}

    def place(
        self, step: StepState, pairs: list, number: int, now: float
    ) -> list[Attempt]:
        """Reserves room for attempts of a step's tasks."""
        return [
            reserve(
                executor, task, number, phase=AttemptPhase.RESERVED, now=now
            )
            for task, executor in pairs
        ]

    def begin(self, step: StepState, attempts: list[Attempt]) -> None:
        """Orders reserved attempts to start once the store knows of them."""
        for attempt in attempts:
            attempt.phase = AttemptPhase.STARTING
            self._leader.workload.note_placed(attempt)
        if attempts:
            self._leader.committer.mark_changed(step.job, urgent=True)
            self._leader.background.spawn(self._start(step, attempts))

    def restore(self) -> int:
        """Takes attempts of former leaders for running; returns their number.

        The lists of their executors, or the end of their leases, tell later
        whether they do.
        """
        now = self._leader.clock.now()
        placed = [
            (task, *where)
            for task in self._leader.workload.live_tasks()
            if (where := self._leader.workload.placed(task)) is not None
        ]
        for task, number, executor_id in placed:
            executor = self._leader.fleet.executors.get(executor_id)
            if executor is None:
                info = ExecutorInfo(
                    executor_id, task.step.job.job.queue.service, "", ""
                )
                executor = Executor(info, is_listed=False)
                self._leader.fleet.executors[executor_id] = executor
            attempt = reserve(
                executor, task, number, phase=AttemptPhase.RUNNING, now=now
            )
            attempt.absent_after = now
        return len(placed)

    def answered(self, attempt: Attempt, reply: CommandReply) -> None:
        """Takes in the answer to an order to start."""
        now = self._leader.clock.now()
        executor = attempt.executor
        self._leader.metrics.starts.labels(reply.value).inc()
        if attempt.is_ending:
            return
        if reply is CommandReply.OK:
            self._note_running(attempt, now)
            return
        _log.warning(
            "start refused",
            extra={
                **attempt.log_fields,
                "reply": reply.value,
                "free_millicores": executor.free_millicores,
                "free_memory_mb": executor.free_memory_mb,
            },
        )
        match reply:
            case CommandReply.FENCED:
                self._leader.deposed(executor)
                return
            case CommandReply.OTHER_INSTANCE:
                self._leader.fleet.replaced(executor, is_elsewhere=True)
            case CommandReply.NO_TICKET:
                attempt.task.step.verdicts.pop(executor.info.id, None)
            case CommandReply.UNHEALTHY:
                executor.sick_until = now + self._leader.health.shed_rest_s
            case CommandReply.NO_ROOM:
                executor.sick_until = now + self._leader.health.room_rest_s
            case CommandReply.BAD:
                attempt.task.step.blocked_until = now + BAD_START_REST_S
        self._drop(attempt)
        self.abandon_gang(attempt)

    def unknown(self, attempt: Attempt) -> None:
        """Stops an attempt whose start may yet be carried out."""
        _log.warning("start unknown", extra=attempt.log_fields)
        self._leader.fleet.link(attempt.executor).stop(attempt)
        self.abandon_gang(attempt)

    def abandon_gang(self, attempt: Attempt) -> None:
        """Stops the other members of a gang that cannot be complete."""
        if not attempt.task.step.spec.gang:
            return
        for task in attempt.task.step.tasks:
            for other in list(task.attempts):
                if other.number == attempt.number:
                    self.stop(other, "gang incomplete")

    def stop(self, attempt: Attempt, reason: str) -> None:
        """Stops an attempt.

        One whose executor has no address is over with its last lease.
        """
        link = self._leader.fleet.link(attempt.executor)
        if link is None:
            return
        if attempt.phase is AttemptPhase.RESERVED:
            self._drop(attempt)
            return
        if attempt.is_ending:
            return
        _log.info(
            "stop",
            extra={
                **attempt.log_fields,
                "reason": reason,
                "percent": attempt.percent,
            },
        )
        link.stop(attempt)

    def take_end(self, executor: Executor, end: AttemptEnd, now: float) -> None:
        """Takes in an end that an executor lists."""
        self._leader.metrics.ends.labels(end.kind.value).inc()
        attempt = executor.attempts.get((end.task, end.attempt))
        executor.strangers.discard((end.task, end.attempt))
        task = self._leader.workload.task(end.task)
        _log.info(
            "end",
            extra={
                "task": str(end.task),
                "attempt": end.attempt,
                "executor": executor.info.id,
                "kind": end.kind.value,
                "known": task is not None,
            },
        )
        if attempt is not None:
            self._release(attempt)
        if task is None:
            # Its job has ended: jobs that may run are known before claims.
            return
        state = task.step.job
        task.last_attempt = max(task.last_attempt, end.attempt)
        changed = self._leader.workload.save(task, end.checkpoint)
        if end.kind is EndKind.DONE:
            self._leader.health.succeeded(executor, attempt, now)
            changed |= self._leader.workload.finish_task(task, end.attempt, now)
            for other in list(task.attempts):
                self.stop(other, "another attempt is done")
            self._expect_gang_ends(task, end.attempt)
        elif end.kind is EndKind.FAILED and not state.phase.is_final:
            changed = True
            self._leader.health.failed(executor, task, now)
            task.avoided.add(executor.info.id)
            if self._leader.workload.fail_task(task, end.attempt):
                self._leader.end_job(state, JobPhase.FAILED, "attempts used up")
        if not state.phase.is_final:
            if self._leader.workload.is_complete(state):
                self._leader.end_job(
                    state, JobPhase.COMPLETED, "all tasks done"
                )
            elif changed:
                self._leader.committer.mark_changed(state)
        self._freed(task.step, now)

    def take_running(
        self,
        executor: Executor,
        running: tuple[RunningAttempt, ...],
        sent_at: float,
        now: float,
    ) -> None:
        """Takes in all that an executor lists as running.

        Args:
            executor: The executor.
            running: What it lists.
            sent_at: Time at which it was asked.
            now: Present time.
        """
        listed = {(row.task, row.attempt): row for row in running}
        for key, attempt in list(executor.attempts.items()):
            row = listed.get(key)
            if row is not None:
                self._update(attempt, row, now)
            elif (
                attempt.absent_after is not None
                and sent_at > attempt.absent_after
            ):
                self._drop(attempt)
                self.abandon_gang(attempt)
        executor.strangers &= set(listed)
        for key, row in listed.items():
            if key not in executor.attempts:
                self._adopt(executor, row, now)

    def pace(self, executor: Executor, now: float) -> None:
        """Tells filling tasks their pace."""
        percent, told = self._leader.pacing.decide(executor, now)
        for attempt in told:
            _log.info(
                "pace",
                extra={
                    "task": str(attempt.task.id),
                    "executor": executor.info.id,
                    "percent": percent,
                },
            )
            self._leader.fleet.link(executor).pace(attempt, percent)

    def lose(
        self, executor: Executor, reason: str, *, keep_moved: bool = False
    ) -> None:
        """Notes that nothing runs on an executor any more.

        Args:
            executor: The executor.
            reason: Why nothing does, for the log.
            keep_moved: Whether to keep what a newer incarnation may run; its
                lists, or a stop, decide.
        """
        now = self._leader.clock.now()
        lost = [
            attempt
            for attempt in executor.attempts.values()
            if not (keep_moved and attempt.may_have_moved)
        ]
        if lost:
            self._leader.metrics.executors_lost.labels(reason).inc()
            _log.warning(
                "attempts lost",
                extra={
                    "executor": executor.info.id,
                    "attempts": len(lost),
                    "reason": reason,
                },
            )
        for attempt in lost:
            self._release(attempt)
            self._freed(attempt.task.step, now)
        for attempt in lost:
            self.abandon_gang(attempt)

    async def _start(self, step: StepState, attempts: list[Attempt]) -> None:
        await self._leader.committer.wait_until_stored()
        now = self._leader.clock.now()
        for attempt in attempts:
            if attempt.phase is not AttemptPhase.STARTING:
                continue
            ticket = ticket_for(step, attempt.executor.info.id, now)
            if ticket is None and step.job.job.queue.advised is not None:
                self._drop(attempt)
                self.abandon_gang(attempt)
            else:
                self._leader.fleet.link(attempt.executor).start(
                    attempt, ticket or ""
                )

    def _expect_gang_ends(self, task: Task, number: int) -> None:
        """Leaves the members of a gang that is done to end by themselves.

        They end together; their room is free when each end is listed.
        """
        if not task.step.spec.gang:
            return
        for member in task.step.tasks:
            for attempt in member.attempts:
                if (
                    attempt.number == number
                    and attempt.phase is AttemptPhase.RUNNING
                ):
                    attempt.phase = AttemptPhase.STOPPING

    def _update(
        self, attempt: Attempt, row: RunningAttempt, now: float
    ) -> None:
        if row.percent > attempt.percent:
            attempt.percent = row.percent
            attempt.advanced_at = now
        attempt.load = row.load
        self._leader.workload.save(attempt.task, row.checkpoint)
        if attempt.phase is AttemptPhase.STARTING:
            self._note_running(attempt, now)
        else:
            # A former leader may have started it without telling anybody.
            self._leader.begun(attempt.task.step.job)

    def _note_running(self, attempt: Attempt, now: float) -> None:
        if attempt.phase is AttemptPhase.STARTING:
            attempt.phase = AttemptPhase.RUNNING
            # It may have held its room for long before, for want of a ticket.
            attempt.began_at = attempt.advanced_at = now
        attempt.absent_after = now
        self._leader.begun(attempt.task.step.job)

    def _adopt(
        self, executor: Executor, row: RunningAttempt, now: float
    ) -> None:
        key = (row.task, row.attempt)
        task = self._leader.workload.task(row.task)
        if task is None:
            self._meet_stranger(executor, key, now)
            return
        executor.strangers.discard(key)
        state = task.step.job
        others = list(task.attempts)
        attempt = reserve(
            executor, task, row.attempt, phase=AttemptPhase.RUNNING, now=now
        )
        attempt.absent_after = now
        self._leader.workload.note_placed(attempt)
        self._update(attempt, row, now)
        self._leader.begun(state)
        _log.info("attempt adopted", extra=attempt.log_fields)
        if state.phase.is_final or task.done or others:
            self.stop(attempt, "not wanted")

    def _meet_stranger(
        self, executor: Executor, key: tuple[TaskId, int], now: float
    ) -> None:
        executor.strangers.add(key)
        met = (executor.info.id, *key)
        if now - self._strangers.get(met, float("-inf")) < STRANGER_RETRY_S:
            return
        self._strangers[met] = now
        _log.warning(
            "attempt of an ended job stopped",
            extra={"task": str(key[0]), "executor": executor.info.id},
        )
        self._leader.fleet.link(executor).stop_stranger(key)

    def _release(self, attempt: Attempt) -> None:
        release(attempt)
        self._leader.workload.note_over(attempt)

    def _drop(self, attempt: Attempt) -> None:
        self._release(attempt)
        self._freed(attempt.task.step, self._leader.clock.now())

    def _freed(self, step: StepState, now: float) -> None:
        if step.job.phase.is_final:
            self._leader.workload.forget(step.job)
        else:
            self._leader.workload.requeue(step)
        self._leader.wake()
