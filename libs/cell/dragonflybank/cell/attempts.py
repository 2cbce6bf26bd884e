"""Lifecycle of attempts: reserve, start, adopt, stop and release.

An attempt occupies its resources until it is known to be over: its end was
listed, a list lacks it, its executor has a new incarnation, or the executor's
lease has expired.
"""

__all__ = ["AttemptManager"]

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from dragonflybank.cell.capacity import release, reserve
from dragonflybank.cell.election import CONFIRMATION_MAX_AGE_S
from dragonflybank.cell.jobs import JobPhase, TaskId
from dragonflybank.cell.lease_bounds import (
    find_hold,
    latest_start_arrival,
)
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
from dragonflybank.cell.step_holds import is_start_within_cap
from dragonflybank.cell.tickets import valid_ticket

if TYPE_CHECKING:
    from dragonflybank.cell.leader import Leader

_log = logging.getLogger(__name__)

# The command to stop an attempt of an ended job is repeated after this time.
ORPHAN_STOP_RETRY_S = 1.0
# Time for which a step is not placed after an executor called its start
# command invalid.
BAD_START_BACKOFF_S = 1.0


class AttemptManager:
    """Starts, follows and stops the leader's attempts.

    Args:
        leader: The leader.
    """

    def __init__(self, leader: "Leader"):
        self._leader = leader
        self._orphan_stops_sent_at: dict[tuple[str, TaskId, int], float] = {}

    def reserve_attempts(
        self, step: StepState, pairs: list, number: int, now: float
    ) -> list[Attempt]:
        """Reserves resources for attempts of a step's tasks.

        Args:
            step: The step.
            pairs: Pairs of a task and its executor.
            number: Attempt number that each of the attempts gets.
            now: Current time.
        """
        return [
            reserve(
                executor, task, number, phase=AttemptPhase.RESERVED, now=now
            )
            for task, executor in pairs
        ]

    def start_attempts(self, step: StepState, attempts: list[Attempt]) -> None:
        """Starts reserved attempts as soon as their placement is stored."""
        for attempt in attempts:
            attempt.phase = AttemptPhase.STARTING
            self._leader.workload.record_placement(attempt)
        if attempts:
            self._leader.committer.mark_changed(step.job_state, urgent=True)
            self._leader.background.spawn(self._start(step, attempts))

    def restore_placed(self) -> int:
        """Restores attempts that earlier leaders placed; returns their number.

        They count as running until the lists of their executors, or the
        expiry of their leases, prove otherwise.
        """
        now = self._leader.clock.now()
        placed = [
            (task, *where)
            for task in self._leader.workload.unfinished_tasks()
            if (where := self._leader.workload.placement_of(task)) is not None
        ]
        for task, number, executor_id in placed:
            executor = self._leader.fleet.executors.get(executor_id)
            if executor is None:
                info = ExecutorInfo(
                    executor_id, task.step.job_state.queue.service, "", ""
                )
                executor = Executor(
                    info,
                    is_listed=False,
                    suspension=self._leader.suspensions.find(executor_id),
                )
                self._leader.fleet.executors[executor_id] = executor
            attempt = reserve(
                executor, task, number, phase=AttemptPhase.RUNNING, now=now
            )
            attempt.absence_conclusive_after = now
            attempt.is_start_sent = True
            state = task.step.job_state
            replaced_at = self._leader.election_times.next_after(
                state.progress_revision, self._leader.leadership.began_at
            )
            attempt.start_arrives_until = latest_start_arrival(
                state.queue,
                self._leader.limits,
                # A former leader starts attempts until its last confirmation
                # is too old.
                replaced_at + CONFIRMATION_MAX_AGE_S,
            )
        return len(placed)

    def on_start_reply(self, attempt: Attempt, reply: CommandReply) -> None:
        """Handles the reply to a start command."""
        now = self._leader.clock.now()
        executor = attempt.executor
        self._leader.metrics.starts.labels(reply.value).inc()
        if attempt.is_ending:
            return
        if reply is CommandReply.OK:
            self._mark_running(attempt, now)
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
                self._leader.on_fenced(executor)
                return
            case CommandReply.OTHER_INSTANCE:
                self._leader.fleet.on_new_incarnation(
                    executor, has_left_address=True
                )
            case CommandReply.NO_TICKET:
                attempt.task.step.advice_by_executor.pop(executor.info.id, None)
            case CommandReply.UNHEALTHY:
                executor.quarantine(
                    now, self._leader.health.unhealthy_quarantine_s
                )
            case CommandReply.NO_ROOM:
                executor.quarantine(
                    now, self._leader.health.no_capacity_quarantine_s
                )
            case CommandReply.BAD:
                attempt.task.step.blocked_until = now + BAD_START_BACKOFF_S
        self._release_and_requeue(attempt)
        self.stop_gang(attempt)

    def withdraw_start(self, attempt: Attempt) -> None:
        """Gives up an attempt whose start was not sent."""
        _log.info("start withdrawn", extra=attempt.log_fields)
        self._release_and_requeue(attempt)
        self.stop_gang(attempt)

    def on_start_outcome_unknown(self, attempt: Attempt) -> None:
        """Stops an attempt whose start command may still be executed."""
        _log.warning(
            "start outcome unknown",
            extra={
                **attempt.log_fields,
                "meant_for": attempt.executor.answered_incarnation,
            },
        )
        self._leader.fleet.link(attempt.executor).stop(attempt)
        self.stop_gang(attempt)

    def stop_gang(self, attempt: Attempt) -> None:
        """Stops the remaining members of a gang that lacks a member."""
        if not attempt.task.step.spec.gang:
            return
        for task in attempt.task.step.tasks:
            for other in list(task.attempts):
                if other.number == attempt.number:
                    self.stop(other, "gang incomplete")

    def stop(self, attempt: Attempt, reason: str) -> None:
        """Stops an attempt.

        If its executor has no address, the attempt is over when its last
        lease has expired.
        """
        link = self._leader.fleet.link(attempt.executor)
        if link is None:
            return
        if attempt.phase is AttemptPhase.RESERVED:
            self._release_and_requeue(attempt)
            return
        if attempt.phase is AttemptPhase.STARTING and not attempt.is_start_sent:
            # It will not be sent any more, so nothing has to be waited for.
            _log.info(
                "start withdrawn",
                extra={**attempt.log_fields, "reason": reason},
            )
            self._release_and_requeue(attempt)
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

    def process_end(
        self, executor: Executor, end: AttemptEnd, now: float
    ) -> None:
        """Processes an ended attempt that an executor lists."""
        self._leader.metrics.ends.labels(end.kind.value).inc()
        attempt = executor.attempts.get((end.task, end.attempt))
        executor.orphan_attempts.discard((end.task, end.attempt))
        task = self._leader.workload.find_task(end.task)
        _log.info(
            "end",
            extra={
                "task": str(end.task),
                "attempt": end.attempt,
                "executor": executor.info.id,
                "incarnation": executor.answered_incarnation,
                "number": end.number,
                "kind": end.kind.value,
                "known": task is not None,
            },
        )
        if attempt is not None:
            self._release(attempt)
        if task is None:
            # Its job has ended: all other jobs are loaded before executors
            # are claimed.
            return
        state = task.step.job_state
        task.last_attempt = max(task.last_attempt, end.attempt)
        # Without a record of its end, a new leader waits for its start.
        changed = attempt is not None
        changed |= self._leader.workload.save_checkpoint(task, end.checkpoint)
        if end.kind is EndKind.DONE:
            self._leader.health.record_success(executor, attempt, now)
            changed |= self._leader.workload.finish_task(task, end.attempt, now)
            for other in list(task.attempts):
                self.stop(other, "another attempt is done")
            self._mark_gang_ending(task, end.attempt)
        elif end.kind is EndKind.FAILED and not state.phase.is_final:
            changed = True
            self._leader.health.record_failure(executor, task, now)
            task.avoided_executors.add(executor.info.id)
            if self._leader.workload.fail_task(task, end.attempt):
                self._leader.end_job(state, JobPhase.FAILED, "attempts used up")
        if not state.phase.is_final:
            if self._leader.workload.is_complete(state):
                self._leader.end_job(
                    state, JobPhase.COMPLETED, "all tasks done"
                )
            elif changed:
                self._leader.committer.mark_changed(state)
        self._on_capacity_freed(task.step, now)

    def process_running(
        self,
        executor: Executor,
        running: tuple[RunningAttempt, ...],
        sent_at: float,
        now: float,
    ) -> None:
        """Processes an executor's complete list of running attempts.

        Args:
            executor: The executor.
            running: The list.
            sent_at: Time at which the list was requested.
            now: Current time.
        """
        listed = {(row.task, row.attempt): row for row in running}
        for key, attempt in list(executor.attempts.items()):
            row = listed.get(key)
            if row is not None:
                self._update(attempt, row, now)
            elif (
                attempt.absence_conclusive_after is not None
                and sent_at > attempt.absence_conclusive_after
                and sent_at > attempt.start_arrives_until
            ):
                _log.info(
                    "attempt absent",
                    extra={
                        **attempt.log_fields,
                        "incarnation": executor.answered_incarnation,
                        "phase": attempt.phase.value,
                    },
                )
                self._release_and_requeue(attempt)
                self.stop_gang(attempt)
        executor.orphan_attempts &= set(listed)
        for key, row in listed.items():
            if key not in executor.attempts:
                self._adopt(executor, row, now)

    def update_speed_limits(self, executor: Executor, now: float) -> None:
        """Sends filling tasks on an executor a changed speed limit."""
        percent, outdated = self._leader.throttle.update(executor, now)
        for attempt in outdated:
            _log.info(
                "throttle",
                extra={
                    "task": str(attempt.task.id),
                    "executor": executor.info.id,
                    "percent": percent,
                },
            )
            self._leader.fleet.link(executor).throttle(attempt, percent)

    def release_lost(
        self,
        executor: Executor,
        reason: str,
        *,
        is_lost: Callable[[Attempt], bool] = lambda attempt: True,
    ) -> None:
        """Releases attempts on an executor that does not run them any more.

        Args:
            executor: The executor.
            reason: Why it does not run them, for the log and a metric label.
            is_lost: Whether it does not run an attempt any more.
        """
        now = self._leader.clock.now()
        lost = [a for a in executor.attempts.values() if is_lost(a)]
        holds = [
            find_hold(
                attempt,
                self._leader.limits,
                self._leader.leadership.began_at,
            )
            for attempt in lost
        ]
        if lost:
            self._leader.metrics.executors_lost.labels(reason).inc()
            _log.warning(
                "attempts lost",
                extra={
                    "executor": executor.info.id,
                    "incarnation": executor.answered_incarnation,
                    "attempts": len(lost),
                    "reason": reason,
                    "kept": len(executor.attempts) - len(lost),
                    "tasks": [
                        f"{a.task.id}/{a.number} in {a.seen_in}" for a in lost
                    ],
                    "held_until_s": [round(h.until - now, 3) for h in holds],
                    "held_by": [h.reason.value for h in holds],
                    "silent_s": round(now - executor.last_reply_at, 3),
                    "lease_s": round(
                        executor.lease_until_s - executor.clock_s, 3
                    ),
                },
            )
        for attempt in lost:
            self._release(attempt)
            self._on_capacity_freed(attempt.task.step, now)
        for attempt in lost:
            self.stop_gang(attempt)

    async def _start(self, step: StepState, attempts: list[Attempt]) -> None:
        await self._leader.committer.wait_until_stored()
        now = self._leader.clock.now()
        for attempt in attempts:
            if attempt.phase is not AttemptPhase.STARTING:
                continue
            if not is_start_within_cap(step, attempts):
                # The cap was lowered since the reservation.
                self._release_and_requeue(attempt)
                self.stop_gang(attempt)
                continue
            ticket = valid_ticket(step, attempt.executor.info.id, now)
            if ticket is None and step.job_state.queue.advised is not None:
                self._release_and_requeue(attempt)
                self.stop_gang(attempt)
            else:
                if ticket is not None:
                    advice = step.advice_by_executor[attempt.executor.info.id]
                    attempt.ticket_received_at = advice.received_at
                self._leader.fleet.link(attempt.executor).start(
                    attempt, ticket or ""
                )

    def _mark_gang_ending(self, task: Task, number: int) -> None:
        """Marks the other members of a gang that is done as ending.

        They end together and need no stop command. The resources of each
        become free when its end is listed.
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
        attempt.seen_in = attempt.executor.answered_incarnation
        attempt.start_arrives_until = float("-inf")
        self._leader.workload.save_checkpoint(attempt.task, row.checkpoint)
        if attempt.phase is AttemptPhase.STARTING:
            self._mark_running(attempt, now)
        else:
            # An earlier leader may have started it and failed before it
            # recorded the job as running.
            self._leader.on_task_started(attempt.task.step.job_state)
        if attempt.task.step.job_state.phase.is_final:
            # Its executor had no address when the job ended.
            self.stop(attempt, "job ended")

    def _mark_running(self, attempt: Attempt, now: float) -> None:
        if attempt.phase is AttemptPhase.STARTING:
            attempt.phase = AttemptPhase.RUNNING
            # It may have been reserved long before, while it waited for a
            # ticket.
            attempt.began_at = attempt.advanced_at = now
        attempt.absence_conclusive_after = now
        self._leader.on_task_started(attempt.task.step.job_state)

    def _adopt(
        self, executor: Executor, row: RunningAttempt, now: float
    ) -> None:
        key = (row.task, row.attempt)
        task = self._leader.workload.find_task(row.task)
        if task is None:
            self._stop_orphan(executor, key, now)
            return
        executor.orphan_attempts.discard(key)
        state = task.step.job_state
        others = list(task.attempts)
        attempt = reserve(
            executor, task, row.attempt, phase=AttemptPhase.RUNNING, now=now
        )
        attempt.absence_conclusive_after = now
        self._leader.workload.record_placement(attempt)
        self._update(attempt, row, now)
        self._leader.on_task_started(state)
        _log.info("attempt adopted", extra=attempt.log_fields)
        if state.phase.is_final or task.done or others:
            self.stop(attempt, "duplicate, or its job or task has ended")

    def _stop_orphan(
        self, executor: Executor, key: tuple[TaskId, int], now: float
    ) -> None:
        executor.orphan_attempts.add(key)
        attempt_on_executor = (executor.info.id, *key)
        if (
            now
            - self._orphan_stops_sent_at.get(attempt_on_executor, float("-inf"))
            < ORPHAN_STOP_RETRY_S
        ):
            return
        self._orphan_stops_sent_at[attempt_on_executor] = now
        _log.warning(
            "attempt of an ended job stopped",
            extra={"task": str(key[0]), "executor": executor.info.id},
        )
        self._leader.fleet.link(executor).stop_orphan(key)

    def _release(self, attempt: Attempt) -> None:
        release(attempt)
        self._leader.workload.clear_placement(attempt)

    def _release_and_requeue(self, attempt: Attempt) -> None:
        self._release(attempt)
        self._on_capacity_freed(attempt.task.step, self._leader.clock.now())

    def _on_capacity_freed(self, step: StepState, now: float) -> None:
        if step.job_state.phase.is_final:
            self._leader.workload.drop_if_idle(step.job_state)
        else:
            self._leader.workload.requeue(step)
        self._leader.wake()
