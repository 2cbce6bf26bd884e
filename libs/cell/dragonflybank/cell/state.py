"""The leader's in-memory state of jobs, tasks, attempts and executors."""

__all__ = [
    "Attempt",
    "AttemptPhase",
    "Call",
    "Executor",
    "ExecutorAdvice",
    "JobState",
    "StepState",
    "SuspendedLease",
    "Task",
]

import enum
import functools

import attrs

from dragonflybank.cell.jobs import (
    Job,
    JobPhase,
    Progress,
    Queue,
    Step,
    TaskId,
    remaining_paths_s,
)
from dragonflybank.cell.ports import ExecutorInfo
from dragonflybank.cell.suspension_records import Suspension
from dragonflybank.cell.team_usage import TeamUsage


class AttemptPhase(enum.Enum):
    """State of an attempt.

    An attempt occupies resources in every phase except ``OVER``.

    Attributes:
        RESERVED: It waits for a ticket; nothing is stored or sent yet.
        STARTING: Its placement is being stored, or its start command was sent.
        RUNNING: It runs, or an earlier leader placed it and it may run.
        STOPPING: A stop was requested, or its gang is done.
        OVER: It does not run and never will.
    """

    RESERVED = "reserved"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    OVER = "over"


@attrs.define(eq=False)
class Attempt:
    """An attempt of a task on an executor.

    Attributes:
        task: The task.
        number: Number of the attempt; each attempt of a task has a higher one.
        executor: Where it runs.
        phase: Its state.
        began_at: Time at which it was placed, or known to run.
        percent: How much of its work is done, 0 to 100.
        advanced_at: Time at which ``percent`` last increased.
        load: See `ports.RunningAttempt.load`.
        speed_percent: Limit of its speed that was last sent, in percent.
        absence_conclusive_after: A list requested after this time that lacks
            the attempt proves that it does not run; None while a start may
            still arrive.
        is_start_sent: Whether a command to start it was sent.
        seen_in: Incarnation of its executor that was seen to run it, by its
            list or by its answer; 0 if none was.
        meant_for: Incarnation that its start was sent to; 0 if it was not sent
            by this leader, or to more than one.
        ticket_received_at: Time at which the ticket of its start was received;
            infinity without one.
        start_arrives_until: Latest time at which a command to start it that
            has no answer may still be carried out.
        service: Service of its executor when it was placed.
    """

    task: "Task"
    number: int
    executor: "Executor"
    phase: AttemptPhase
    began_at: float
    percent: float = 0.0
    advanced_at: float = 0.0
    load: float = -1.0
    speed_percent: int = 100
    absence_conclusive_after: float | None = None
    is_start_sent: bool = False
    seen_in: int = 0
    meant_for: int = 0
    ticket_received_at: float = float("inf")
    start_arrives_until: float = float("-inf")
    service: str = ""

    @property
    def may_run_on_newer_incarnation(self) -> bool:
        """Whether a newer incarnation of its executor may run it.

        A start is sent again only with a ticket, which holds for a single
        incarnation, so that an attempt runs in one incarnation at most.
        """
        return self.is_start_sent and not self.is_bound_to_known_incarnation

    @property
    def is_bound_to_known_incarnation(self) -> bool:
        """Whether no incarnation after the one that answered last can run it.

        It was seen in an incarnation, or its ticket was issued to the one that
        its start was meant for: that one answered after it was issued.
        """
        executor = self.executor
        return bool(self.seen_in) or (
            0 < self.meant_for == executor.answered_incarnation
            and self.ticket_received_at <= executor.alive_at
        )

    @property
    def is_ending(self) -> bool:
        """Whether it is over or a stop of it was requested.

        Replies of the executor about such an attempt are ignored; one that is
        over may have run on an earlier incarnation of the executor.
        """
        return self.phase in (AttemptPhase.STOPPING, AttemptPhase.OVER)

    @property
    def log_fields(self) -> dict[str, str | int]:
        """Fields that identify it in log entries."""
        return {
            "task": str(self.task.id),
            "attempt": self.number,
            "executor": self.executor.info.id,
        }

    def remaining_s(self, now: float) -> float:
        """Returns the expected remaining run time in seconds.

        It follows from the reported progress, or from the estimate if there
        is none yet.
        """
        spec = self.task.step.spec
        if spec.lasting:
            return float("inf")
        elapsed_s = now - self.began_at
        if self.percent > 0:
            return elapsed_s * (100.0 - self.percent) / self.percent
        return max(0.0, spec.estimate_s - elapsed_s)


@attrs.define(eq=False)
class Task:
    """A task of a step.

    Attributes:
        id: Its identifier.
        step: The step it belongs to.
        attempts: Attempts that may be running.
        done: Whether it is done.
        failed: Numbers of the attempts that failed.
        last_attempt: Highest attempt number used.
        checkpoint: Last checkpoint, or an empty string.
        avoided_executors: Executors on which it failed or made no progress.
        created_at: Time at which it was created.
        is_set_aside: Whether an end of it could not be processed; this leader
            starts it no more.
    """

    id: TaskId
    step: "StepState"
    attempts: list[Attempt] = attrs.field(factory=list)
    done: bool = False
    failed: set[int] = attrs.field(factory=set)
    last_attempt: int = 0
    checkpoint: str = ""
    avoided_executors: set[str] = attrs.field(factory=set)
    created_at: float = 0.0
    is_set_aside: bool = False


@attrs.frozen
class ExecutorAdvice:
    """Advice about one executor for a step.

    Attributes:
        ticket: Ticket, or an empty string if the executor may not run it.
        valid_until: Time at which the ticket expires.
        received_at: Time at which it was received.
    """

    ticket: str
    valid_until: float
    received_at: float = float("inf")


@attrs.define(eq=False)
class StepState:
    """A step of one occurrence of a job.

    Attributes:
        job_state: State of the job.
        occurrence: Number of the occurrence.
        number: Number of the step.
        spec: Its declaration.
        tasks: Its tasks.
        unfinished_count: Number of tasks that are not done.
        blocking_count: Number of steps before it that are not done.
        ready_at: Time at which the steps before it were done; None before.
        advice_by_executor: Advice by executor.
        advice_pending: Whether a call for advice is in progress.
        awaiting_tickets: Reserved attempts that wait for new tickets.
        blocked_until: Time before which its tasks are not placed.
        hold_logged_at: Time at which the last log line said why it waits.
        fault_count: Number of exceptions that its placement has raised.
    """

    job_state: "JobState"
    occurrence: int
    number: int
    spec: Step
    tasks: list[Task] = attrs.field(factory=list)
    unfinished_count: int = 0
    blocking_count: int = 0
    ready_at: float | None = None
    advice_by_executor: dict[str, ExecutorAdvice] = attrs.field(factory=dict)
    advice_pending: bool = False
    awaiting_tickets: list[Attempt] = attrs.field(factory=list)
    blocked_until: float = 0.0
    hold_logged_at: float = float("-inf")
    fault_count: int = 0

    @property
    def key(self) -> str:
        """Occurrence and number, as in the keys of `Progress`."""
        return f"{self.occurrence}.{self.number}"

    def task_key(self, task: Task) -> str:
        """Returns occurrence, step and index of a task, as in `Progress`."""
        return f"{self.occurrence}.{self.number}.{task.id.index}"

    @property
    def name(self) -> str:
        """Job, occurrence and number, as the advice service expects them."""
        return f"{self.job_state.job.id}.{self.occurrence}.{self.number}"

    def waiting_tasks(self) -> list[Task]:
        """Returns the tasks that are not done and have no attempt."""
        return [
            t
            for t in self.tasks
            if not (t.done or t.attempts or t.is_set_aside)
        ]


@attrs.define(eq=False)
class JobState:
    """A job that has not ended, or of which attempts may still run.

    Attributes:
        job: The job.
        phase: State; a final one is reported to callers only once it is
            stored.
        occurrences: Steps of each occurrence that is due, or of which an
            earlier leader, whose clock was ahead, has started tasks.
        due_count: Number of occurrences that are due.
        unfinished_steps: Number of steps of these that are not done.
        open_attempts: Attempts that may be running, in the order in which they
            were reserved; `capacity` keeps them.
        cancelled: Whether its caller cancelled it.
        progress: Progress to be stored.
        progress_revision: Revision of the stored progress; 0 if none.
        queue: Its queue as the configuration in force defines it, or the last
            definition known if the queue no longer exists.
        team_usage: What the teams have running; shared by all jobs of a leader.
        is_beyond_rate: Whether its team sent it beyond its rate.
    """

    job: Job
    phase: JobPhase = JobPhase.QUEUED
    occurrences: dict[int, list[StepState]] = attrs.field(factory=dict)
    due_count: int = 0
    unfinished_steps: int = 0
    open_attempts: dict[Attempt, None] = attrs.field(factory=dict)
    cancelled: bool = False
    progress: Progress = attrs.field(factory=Progress)
    progress_revision: int = 0
    queue: Queue = attrs.field(
        default=attrs.Factory(
            lambda self: self.progress.queue or self.job.queue, takes_self=True
        )
    )
    team_usage: TeamUsage = attrs.field(factory=TeamUsage)
    is_beyond_rate: bool = False

    @functools.cached_property
    def paths_s(self) -> tuple[float, ...]:
        """Declared time from each step to the end of the job, in seconds."""
        return remaining_paths_s(self.job.steps)

    @functools.cached_property
    def critical_path_s(self) -> float:
        """Declared time of the whole job, in seconds."""
        return max(self.paths_s, default=0.0)

    @functools.cached_property
    def dependents(self) -> tuple[tuple[int, ...], ...]:
        """Numbers of the steps that come after each step."""
        found: list[list[int]] = [[] for _ in self.job.steps]
        for number, step in enumerate(self.job.steps):
            for earlier in set(step.after):
                found[earlier].append(number)
        return tuple(map(tuple, found))

    def attempts(self) -> list[Attempt]:
        """Returns the attempts that may be running."""
        return list(self.open_attempts)


@attrs.frozen
class SuspendedLease:
    """A suspension of an executor's lease, see `lease_suspensions`.

    Attributes:
        began_at: Time at which it had begun at the latest, on the clock of
            this host.
        record: Its record.
    """

    began_at: float
    record: Suspension


@attrs.frozen(eq=False)
class Call:
    """A call to an executor that has no answer yet.

    Attributes:
        incarnation: Incarnation that it is meant for; 0 if none is known.
        arrives_until: Latest time at which it may arrive.
        renews: Whether it may extend the executor's lease.
        acked_end: Number of the last end that it acknowledges; 0 for none.
    """

    incarnation: int
    arrives_until: float
    renews: bool
    acked_end: int


@attrs.define(eq=False)
class Executor:
    """An executor and its resources in use, as far as the leader knows.

    Attributes:
        info: What it reports about itself.
        attempts: Attempts by task and number.
        used_millicores: CPU cores in use, in thousandths of a core.
        used_memory_mb: Memory in use in MiB.
        used_accelerators: Accelerators in use.
        lasting_millicores: The part of ``used_millicores`` that lasting tasks
            hold, which have no end.
        lasting_memory_mb: The same of ``used_memory_mb``.
        lasting_accelerators: The same of ``used_accelerators``.
        orphan_attempts: Attempts of ended jobs that it lists as running.
        claimed: Whether it has accepted this leader's epoch.
        entry_incarnation: Incarnation of the entry that ``info`` is from. A
            later one may have another capacity and other labels.
        calls_under_way: Calls without an answer that haven't timed out yet.
        renewals_arrive_until: Latest time at which a call without an answer
            may still extend its lease.
        former_renewals_arrive_until: The same for calls that were meant for a
            former incarnation.
        acks_arrive_until: Latest time at which an acknowledgement of ends
            without an answer may still arrive.
        fence: Fencing token of calls to it, where that is higher than the
            leader's epoch.
        ack_fence: Token of the last acknowledgement of ends.
        closed_until: Time before which a new incarnation gets no work, since
            polls meant for a former one may still extend its lease or remove
            its ends.
        suspension: The suspension of its lease; None if it has none.
        holds_logged_at: Time at which it was last logged what holds its
            attempts.
        is_listed: Whether it has an entry in the platform's list.
        answered_incarnation: Incarnation in its last poll reply to this leader;
            0 before the first one.
        last_reply_at: Time of its last poll reply.
        alive_at: Latest time at which that incarnation certainly ran.
        clock_s: Its clock in that reply.
        lease_until_s: Latest expiry of its lease ever requested, on its
            clock.
        silent_since: Time since which calls fail; None if they succeed.
        acked_end: Number of the last end whose effect is stored.
        confirmed_ack: Number of the last end whose acknowledgement was
            answered.
        seen_end: Number of the last end that was processed.
        is_ack_blocked: Whether no further ends are acknowledged to it, since
            one could not be processed.
        quarantined_until: Time before which nothing is placed on it.
        quarantined_at: Time at which its last quarantine began.
        leaves_at: Earliest time at which a draining executor leaves.
        drain_written_after: Time after which it wrote its last draining
            entry.
        failed_jobs: Jobs with failures on it since its last success.
    """

    info: ExecutorInfo
    attempts: dict[tuple[TaskId, int], Attempt] = attrs.field(factory=dict)
    used_millicores: int = 0
    used_memory_mb: int = 0
    used_accelerators: int = 0
    lasting_millicores: int = 0
    lasting_memory_mb: int = 0
    lasting_accelerators: int = 0
    orphan_attempts: set[tuple[TaskId, int]] = attrs.field(factory=set)
    claimed: bool = False
    entry_incarnation: int = 0
    calls_under_way: set[Call] = attrs.field(factory=set)
    renewals_arrive_until: float = float("-inf")
    former_renewals_arrive_until: float = float("-inf")
    acks_arrive_until: float = float("-inf")
    fence: int = 0
    ack_fence: int = 0
    closed_until: float = float("-inf")
    suspension: SuspendedLease | None = None
    holds_logged_at: float = float("-inf")
    is_listed: bool = True
    answered_incarnation: int = 0
    last_reply_at: float = 0.0
    alive_at: float = float("-inf")
    clock_s: float = 0.0
    lease_until_s: float = 0.0
    silent_since: float | None = None
    acked_end: int = 0
    confirmed_ack: int = 0
    seen_end: int = 0
    is_ack_blocked: bool = False
    quarantined_until: float = 0.0
    quarantined_at: float = float("-inf")
    leaves_at: float = float("inf")
    drain_written_after: float = float("-inf")
    failed_jobs: set[str] = attrs.field(factory=set)

    def quarantine(self, now: float, duration_s: float) -> None:
        """Keeps new work away for some time.

        Args:
            now: Current time.
            duration_s: Duration of the quarantine in seconds.
        """
        self.quarantined_at = now
        self.quarantined_until = now + duration_s

    @property
    def is_identified(self) -> bool:
        """Whether it has answered as the incarnation that ``info`` names.

        Until then nothing but an entry, which may be another writer's, says
        where it is.
        """
        return self.answered_incarnation == self.info.incarnation > 0

    @property
    def free_millicores(self) -> int:
        """CPU cores that are free, in thousandths of a core."""
        return self.info.millicores - self.used_millicores

    @property
    def attainable_millicores(self) -> int:
        """CPU cores that are free once all tasks with an end have ended."""
        return self.info.millicores - self.lasting_millicores

    @property
    def attainable_memory_mb(self) -> int:
        """Memory that is free once all tasks with an end have ended, in MiB."""
        return self.info.memory_mb - self.lasting_memory_mb

    @property
    def attainable_accelerators(self) -> int:
        """Accelerators that are free once all tasks with an end have ended."""
        return self.info.accelerators - self.lasting_accelerators

    @property
    def free_memory_mb(self) -> int:
        """Memory that is free, in MiB."""
        return self.info.memory_mb - self.used_memory_mb

    @property
    def free_accelerators(self) -> int:
        """Accelerators that are free."""
        return self.info.accelerators - self.used_accelerators
