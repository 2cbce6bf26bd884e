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

import attrs

from dragonflybank.cell.advising import AdviceLines
from dragonflybank.cell.background import Background
from dragonflybank.cell.commits import Committer
from dragonflybank.cell.draining import has_left, to_evacuate
from dragonflybank.cell.election import Leadership
from dragonflybank.cell.health import HealthRules
from dragonflybank.cell.jobs import Phase, TaskId
from dragonflybank.cell.ledger import release, reserve
from dragonflybank.cell.limits import CellLimits
from dragonflybank.cell.links import (
    ExecutorLink,
    doubt_ends_s,
    lease_is_over,
)
from dragonflybank.cell.metrics import CellMetrics
from dragonflybank.cell.pacing import PaceRules
from dragonflybank.cell.ports import (
    End,
    EndKind,
    ExecutorInfo,
    Held,
    Listed,
    OrderReply,
    Platform,
)
from dragonflybank.cell.scheduling import Scheduling
from dragonflybank.cell.state import (
    Attempt,
    AttemptPhase,
    Executor,
    JobState,
    StepState,
    Task,
)
from dragonflybank.cell.tickets import ticket_for
from dragonflybank.cell.workload import Workload
from dragonflybank.cluster.clock import Clock
from dragonflybank.model.codes import Problem

_log = logging.getLogger(__name__)

# Ends that an executor lists in one answer; a full answer is not complete.
ENDS_PER_ANSWER = 500
# An order to stop an attempt of an ended job is repeated after this.
STRANGER_RETRY_S = 1.0
# An executor that is not listed and does not answer is forgotten after this;
# entries that lapsed in an outage of the store are back 2 s after it.
GONE_AFTER_S = 3.0
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
        executors: Executors by identity.
        committer: Writer of progress records.
        health: What is known of sick executors.
        pacing: Pace of filling tasks.
        publish: Called with a job and its state that callers may be told.
        background: Tasks beside the rounds; a failure ends the leadership.
        has_failed: Whether one of them failed.

    Args:
        platform: The platform.
        wall: Returns the time of day, seconds since 1970.
        lines: Calls for advice, or None where there is no advice.
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
        lines: AdviceLines | None,
        publish: Callable[[str, Phase], None],
        metrics: CellMetrics,
    ):
        self.metrics = metrics
        self.platform = platform
        self.leadership = leadership
        self.limits = limits
        self.clock = clock
        self.wall = wall
        self.workload = Workload()
        self.executors: dict[str, Executor] = {}
        self.health = HealthRules()
        self.pacing = PaceRules()
        self.committer = Committer(
            platform.store,
            leadership,
            clock=clock,
            on_ended=self._on_ended,
        )
        self.scheduling = Scheduling(self, lines)
        self.publish = publish
        self.has_failed = False
        self._links: dict[str, ExecutorLink] = {}
        self._wake = asyncio.Event()
        self._strangers: dict[tuple[str, TaskId, int], float] = {}
        self.background = Background(self._fail)

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
        links, self._links = self._links, {}
        await asyncio.gather(*(link.close() for link in links.values()))
        await self.background.close()

    def wake(self) -> None:
        """Lets the next round of decisions begin."""
        self._wake.set()

    def link(self, executor: Executor) -> ExecutorLink:
        """Returns the link to an executor."""
        return self._links[executor.info.id]

    # Executors.

    def executor_listed(
        self, info: ExecutorInfo, *, written_after: float = float("-inf")
    ) -> None:
        """Takes in what the platform's list says of an executor.

        Args:
            info: What the list says.
            written_after: Time after which it was written.
        """
        executor = self.executors.get(info.id)
        if executor is None:
            executor = Executor(info)
            self.executors[info.id] = executor
            self._connect(executor)
            if info.draining:
                self._note_draining(executor, info, written_after)
            _log.info(
                "executor listed",
                extra={"executor": info.id, "zone": info.zone},
            )
        else:
            known = executor.info.incarnation
            if not info.incarnation:
                info = attrs.evolve(info, incarnation=known)
            if info.incarnation < known:
                # An entry of an earlier life, written late.
                return
            if info.incarnation > known > 0:
                self.executor_replaced(executor)
            if info.draining and not executor.info.draining:
                self._note_draining(executor, info, written_after)
            has_moved = info.address != executor.info.address
            is_new = executor.info.id not in self._links
            executor.info = info
            executor.is_listed = True
            if is_new:
                self._connect(executor)
            elif has_moved:
                self.executor_replaced(executor)
                self._connect(executor)
        self.wake()

    def executor_unlisted(self, executor_id: str) -> None:
        """Notes that the platform's list lacks an executor."""
        executor = self.executors.get(executor_id)
        if executor is None or not executor.is_listed:
            return
        executor.is_listed = False
        is_gone = has_left(executor, self.limits, self.clock.now())
        _log.info(
            "executor unlisted",
            extra={
                "executor": executor_id,
                "attempts": len(executor.attempts),
                "has_left": is_gone,
            },
        )
        if is_gone:
            self._lose_attempts(executor, "left")
            self._forget_executor(executor)

    def executor_silent(self, executor: Executor, failed: Problem) -> None:
        """Notes a call to an executor that failed."""
        now = self.clock.now()
        if executor.silent_since is None:
            executor.silent_since = now
            _log.warning(
                "executor silent",
                extra={
                    "executor": executor.info.id,
                    "code": failed.code.name,
                    "attempts": len(executor.attempts),
                },
            )
        if executor.claimed and lease_is_over(executor, now):
            self._lose_attempts(executor, "lease over")

    def executor_replaced(self, executor: Executor) -> None:
        """Notes that an executor was started anew and runs nothing."""
        self._lose_attempts(executor, "another incarnation")
        executor.acked = executor.seen_end = 0
        executor.lease_until_s = 0.0
        executor.leaves_at = float("inf")
        executor.drained_after = float("-inf")
        executor.claimed = False
        executor.strangers.clear()
        if executor.info.id in self._links:
            self.link(executor).begin_anew()
        for step in self.workload.ready:
            step.verdicts.pop(executor.info.id, None)

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

    def take_lists(
        self, executor: Executor, held: Held, *, sent_at: float
    ) -> bool:
        """Takes in an executor's lists of running and ended attempts.

        Returns:
            Whether there were ends that were not known.
        """
        now = self.clock.now()
        known = executor.info.incarnation
        if held.incarnation < known:
            return False
        if held.incarnation > known:
            if known:
                self.executor_replaced(executor)
            executor.info = attrs.evolve(
                executor.info, incarnation=held.incarnation
            )
        if executor.silent_since is not None:
            executor.silent_since = None
            _log.info("executor answers", extra={"executor": executor.info.id})
        executor.reached_at = now
        executor.clock_s = held.clock_s
        new_ends = [e for e in held.ends if e.number > executor.seen_end]
        for end in new_ends:
            executor.seen_end = end.number
            self._take_end(executor, end, now)
        if len(held.ends) < ENDS_PER_ANSWER:
            self._take_running(executor, held.running, sent_at, now)
            if not executor.claimed:
                executor.claimed = True
                _log.info(
                    "executor claimed",
                    extra={
                        "executor": executor.info.id,
                        "epoch": self.leadership.epoch,
                        "running": len(held.running),
                        "ends": len(new_ends),
                    },
                )
            self._pace(executor, now)
            self.wake()
        return bool(new_ends)

    def _connect(self, executor: Executor) -> None:
        old = self._links.get(executor.info.id)
        if old is not None:
            self.background.spawn(old.close())
        link = ExecutorLink(
            self, executor, self.platform.executor(executor.info)
        )
        self._links[executor.info.id] = link
        link.open()

    def _fail(self) -> None:
        """Gives up after a programming error, whose effects are unknown."""
        self.has_failed = True
        self.leadership.lost.set()

    def _note_draining(
        self, executor: Executor, info: ExecutorInfo, written_after: float
    ) -> None:
        executor.leaves_at = self.clock.now() + info.drain_left_s
        executor.drained_after = written_after
        _log.info(
            "executor draining",
            extra={
                "executor": info.id,
                "left_s": info.drain_left_s,
                "attempts": len(executor.attempts),
            },
        )

    def _evacuate(self, now: float) -> None:
        for executor in self.executors.values():
            for attempt in to_evacuate(executor, self.limits, now):
                self.stop(attempt, "executor leaves")

    def _forget_executor(self, executor: Executor) -> None:
        del self.executors[executor.info.id]
        link = self._links.pop(executor.info.id, None)
        if link is not None:
            self.background.spawn(link.close())
        _log.info("executor gone", extra={"executor": executor.info.id})

    def _drop_gone(self, now: float) -> None:
        for executor in list(self.executors.values()):
            if (
                not executor.is_listed
                and not executor.attempts
                and self._is_silent_for(executor, GONE_AFTER_S, now)
                and lease_is_over(executor, now)
            ):
                self._forget_executor(executor)

    def _is_silent_for(
        self, executor: Executor, seconds: float, now: float
    ) -> bool:
        if executor.info.id not in self._links:
            return True
        since = executor.silent_since
        return since is not None and now - since > seconds

    # Attempts.

    def begin(self, step: StepState, attempts: list[Attempt]) -> None:
        """Orders reserved attempts to start once the store knows of them."""
        for attempt in attempts:
            attempt.phase = AttemptPhase.STARTING
            self.workload.note_placed(attempt)
        if attempts:
            self.committer.mark(step.job, urgent=True)
            self.background.spawn(self._start(step, attempts))

    async def _start(self, step: StepState, attempts: list[Attempt]) -> None:
        await self.committer.settled()
        now = self.clock.now()
        for attempt in attempts:
            if attempt.phase is not AttemptPhase.STARTING:
                continue
            ticket = ticket_for(step, attempt.executor.info.id, now)
            if ticket is None and step.job.job.queue.advised is not None:
                self._drop(attempt)
                self.abandon_gang(attempt)
            else:
                self.link(attempt.executor).start(attempt, ticket or "")

    def restore_attempts(self) -> int:
        """Takes attempts of former leaders for running; returns their number.

        The lists of their executors, or the end of their leases, tell later
        whether they do.
        """
        now = self.clock.now()
        placed = [
            (task, *where)
            for task in self.workload.live_tasks()
            if (where := self.workload.placed(task)) is not None
        ]
        for task, number, executor_id in placed:
            executor = self.executors.get(executor_id)
            if executor is None:
                info = ExecutorInfo(
                    executor_id, task.step.job.job.queue.service, "", ""
                )
                executor = Executor(info, is_listed=False)
                self.executors[executor_id] = executor
            attempt = reserve(
                executor, task, number, phase=AttemptPhase.RUNNING, now=now
            )
            attempt.absent_after = now
        return len(placed)

    def start_answered(self, attempt: Attempt, reply: OrderReply) -> None:
        """Takes in the answer to an order to start."""
        now = self.clock.now()
        executor = attempt.executor
        self.metrics.starts.labels(reply.value).inc()
        if attempt.phase is AttemptPhase.STOPPING:
            return
        if reply is OrderReply.OK:
            self._note_running(attempt, now)
            return
        _log.warning(
            "start refused",
            extra={
                "task": str(attempt.task.id),
                "attempt": attempt.number,
                "executor": executor.info.id,
                "reply": reply.value,
                "free_millicores": executor.free_millicores,
                "free_memory_mb": executor.free_memory_mb,
            },
        )
        match reply:
            case OrderReply.FENCED:
                self.deposed(executor)
                return
            case OrderReply.OTHER_INSTANCE:
                self.executor_replaced(executor)
            case OrderReply.NO_TICKET:
                attempt.task.step.verdicts.pop(executor.info.id, None)
            case OrderReply.UNHEALTHY:
                executor.sick_until = now + self.health.shed_rest_s
            case OrderReply.NO_ROOM:
                executor.sick_until = now + self.health.room_rest_s
            case OrderReply.BAD:
                attempt.task.step.blocked_until = now + IDLE_ROUND_S * 4
        self._drop(attempt)
        self.abandon_gang(attempt)

    def start_unknown(self, attempt: Attempt) -> None:
        """Stops an attempt whose start may yet be carried out."""
        _log.warning(
            "start unknown",
            extra={
                "task": str(attempt.task.id),
                "attempt": attempt.number,
                "executor": attempt.executor.info.id,
            },
        )
        self.link(attempt.executor).stop(attempt)
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
        if attempt.executor.info.id not in self._links:
            return
        if attempt.phase is AttemptPhase.RESERVED:
            self._drop(attempt)
            return
        if attempt.phase is AttemptPhase.STOPPING:
            return
        _log.info(
            "stop",
            extra={
                "task": str(attempt.task.id),
                "attempt": attempt.number,
                "executor": attempt.executor.info.id,
                "reason": reason,
                "percent": attempt.percent,
            },
        )
        self.link(attempt.executor).stop(attempt)

    def cancel(self, job_id: str) -> None:
        """Cancels a job and stops what runs of it."""
        state = self.workload.jobs.get(job_id)
        if state is None or state.phase.is_final:
            return
        state.cancelled = True
        self._end_job(state, Phase.CANCELLED, "cancelled by its caller")

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

    def _take_end(self, executor: Executor, end: End, now: float) -> None:
        self.metrics.ends.labels(end.kind.value).inc()
        attempt = executor.attempts.get((end.task, end.attempt))
        executor.strangers.discard((end.task, end.attempt))
        task = self.workload.task(end.task)
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
        changed = self.workload.save(task, end.saved)
        if end.kind is EndKind.DONE:
            self.health.succeeded(executor, attempt, now)
            changed |= self.workload.finish_task(task, end.attempt, now)
            for other in list(task.attempts):
                self.stop(other, "another attempt is done")
            self._expect_gang_ends(task, end.attempt)
        elif end.kind is EndKind.FAILED and not state.phase.is_final:
            changed = True
            self.health.failed(executor, task, now)
            task.avoided.add(executor.info.id)
            if self.workload.fail_task(task, end.attempt):
                self._end_job(state, Phase.FAILED, "attempts used up")
        if not state.phase.is_final:
            if self.workload.is_complete(state):
                self._end_job(state, Phase.COMPLETED, "all tasks done")
            elif changed:
                self.committer.mark(state)
        self._freed(task.step, now)

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

    def _take_running(
        self,
        executor: Executor,
        running: tuple[Listed, ...],
        sent_at: float,
        now: float,
    ) -> None:
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

    def _pace(self, executor: Executor, now: float) -> None:
        percent, told = self.pacing.decide(executor, now)
        for attempt in told:
            _log.info(
                "pace",
                extra={
                    "task": str(attempt.task.id),
                    "executor": executor.info.id,
                    "percent": percent,
                },
            )
            self.link(executor).pace(attempt, percent)

    def _update(self, attempt: Attempt, row: Listed, now: float) -> None:
        if row.percent > attempt.percent:
            attempt.percent = row.percent
            attempt.advanced_at = now
        attempt.load = row.load
        self.workload.save(attempt.task, row.saved)
        if attempt.phase is AttemptPhase.STARTING:
            self._note_running(attempt, now)

    def _note_running(self, attempt: Attempt, now: float) -> None:
        if attempt.phase is AttemptPhase.STARTING:
            attempt.phase = AttemptPhase.RUNNING
            # It may have held its room for long before, for want of a ticket.
            attempt.began_at = attempt.advanced_at = now
        attempt.absent_after = now
        self._begun(attempt.task.step.job)

    def _adopt(self, executor: Executor, row: Listed, now: float) -> None:
        key = (row.task, row.attempt)
        task = self.workload.task(row.task)
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
        self.workload.note_placed(attempt)
        self._update(attempt, row, now)
        self._begun(state)
        _log.info(
            "attempt adopted",
            extra={
                "task": str(row.task),
                "attempt": row.attempt,
                "executor": executor.info.id,
            },
        )
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
        self.link(executor).stop_stranger(key)

    def _lose_attempts(self, executor: Executor, reason: str) -> None:
        now = self.clock.now()
        lost = list(executor.attempts.values())
        if lost:
            self.metrics.executors_lost.labels(reason).inc()
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

    def _release(self, attempt: Attempt) -> None:
        release(attempt)
        self.workload.note_over(attempt)

    def _drop(self, attempt: Attempt) -> None:
        self._release(attempt)
        self._freed(attempt.task.step, self.clock.now())

    def _freed(self, step: StepState, now: float) -> None:
        if step.job.phase.is_final:
            self.workload.forget(step.job)
        else:
            self.workload.requeue(step)
        self.wake()

    # Jobs.

    def _begun(self, state: JobState) -> None:
        if state.phase is Phase.QUEUED:
            state.phase = Phase.RUNNING
            self.publish(state.job.id, Phase.RUNNING)

    def _end_job(self, state: JobState, phase: Phase, reason: str) -> None:
        if state.phase.is_final:
            return
        self.workload.end(state, phase, self.wall())
        age_s = self.wall() - state.job.accepted_at
        self.metrics.jobs.labels(phase.value).inc()
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
            self.stop(attempt, "job ended")
        self.committer.mark(state)
        self.workload.forget(state)

    def report(self) -> None:
        """Brings the gauges up to date."""
        metrics = self.metrics
        executors = self.executors.values()
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
            self.wall(), early_s=self.limits.early_s, now=now
        )
        self._drop_gone(now)
        self._evacuate(now)
        if now >= self.leadership.began_at + doubt_ends_s(self.limits.lease_s):
            for executor in self.executors.values():
                if not executor.claimed and executor.attempts:
                    self._lose_attempts(executor, "no lease can be left")
        for attempt, reason in self.health.stuck(self.workload.attempts(), now):
            attempt.executor.sick_until = max(
                attempt.executor.sick_until, now + self.health.stuck_rest_s
            )
            self.stop(attempt, reason)
            attempt.task.avoided.add(attempt.executor.info.id)
