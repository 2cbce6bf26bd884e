"""The leader's view of jobs, tasks, attempts and executors."""

__all__ = [
    "Attempt",
    "AttemptPhase",
    "Executor",
    "JobState",
    "StepState",
    "Task",
    "Verdict",
]

import enum

import attrs

from dragonflybank.cell.jobs import Job, JobPhase, Progress, Step, TaskId
from dragonflybank.cell.ports import ExecutorInfo


class AttemptPhase(enum.Enum):
    """State of an attempt.

    An attempt holds its room in every phase but the last.
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
        number: Number of the attempt; it rises with each one.
        executor: Where it runs.
        phase: Its state.
        began_at: Time at which it was placed.
        percent: How much of its work is done, 0 to 100.
        advanced_at: Time at which ``percent`` last rose.
        load: See `ports.RunningAttempt.load`.
        pace: Share of its speed at which it was told to work, in percent.
        absent_after: A list asked for after this time that lacks the attempt
            proves that it does not run; None while a start may arrive yet.
        is_ordered: Whether an order to start it was sent.
    """

    task: "Task"
    number: int
    executor: "Executor"
    phase: AttemptPhase
    began_at: float
    percent: float = 0.0
    advanced_at: float = 0.0
    load: float = -1.0
    pace: int = 100
    absent_after: float | None = None
    is_ordered: bool = False

    @property
    def may_have_moved(self) -> bool:
        """Whether a newer incarnation of its executor may run it.

        Its order has no answer yet, or was answered after the last list of
        the incarnation that was known.
        """
        if not self.is_ordered:
            return False
        answered_at = self.absent_after
        return answered_at is None or answered_at > self.executor.reached_at

    @property
    def is_ending(self) -> bool:
        """Whether it is over or was told to stop.

        What an executor answers about it changes nothing any more; one that
        is over may have run on an earlier incarnation.
        """
        return self.phase in (AttemptPhase.STOPPING, AttemptPhase.OVER)

    @property
    def log_fields(self) -> dict[str, str | int]:
        """What log lines say of it."""
        return {
            "task": str(self.task.id),
            "attempt": self.number,
            "executor": self.executor.info.id,
        }

    def remaining_s(self, now: float) -> float:
        """Returns how long it will still run, by its progress or estimate."""
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
        id: Its identity.
        step: The step it belongs to.
        attempts: Attempts that may be running.
        done: Whether it is finished.
        failed: Numbers of the attempts that failed.
        last_attempt: Highest attempt number used.
        checkpoint: Last checkpoint, or an empty string.
        avoided: Executors on which it failed.
        waiting_since: Time since which it waits to be placed.
    """

    id: TaskId
    step: "StepState"
    attempts: list[Attempt] = attrs.field(factory=list)
    done: bool = False
    failed: set[int] = attrs.field(factory=set)
    last_attempt: int = 0
    checkpoint: str = ""
    avoided: set[str] = attrs.field(factory=set)
    waiting_since: float = 0.0


@attrs.frozen
class Verdict:
    """Advice on one executor for a step.

    Attributes:
        ticket: Ticket, or an empty string if the executor may not run it.
        valid_until: Time until which the ticket is accepted.
    """

    ticket: str
    valid_until: float


@attrs.define(eq=False)
class StepState:
    """A step of one occurrence of a job.

    Attributes:
        job: The job.
        occurrence: Number of the occurrence.
        number: Number of the step.
        spec: Its declaration.
        tasks: Its tasks.
        undone: Number of tasks that are not done.
        ready_at: Time at which the steps before it were done, None before.
        verdicts: Advice by executor.
        asking: Whether a call for advice is in progress.
        placed_ahead: Attempts that wait for fresh tickets.
        blocked_until: Time before which it is not placed.
    """

    job: "JobState"
    occurrence: int
    number: int
    spec: Step
    tasks: list[Task] = attrs.field(factory=list)
    undone: int = 0
    ready_at: float | None = None
    verdicts: dict[str, Verdict] = attrs.field(factory=dict)
    asking: bool = False
    placed_ahead: list[Attempt] = attrs.field(factory=list)
    blocked_until: float = 0.0

    @property
    def key(self) -> str:
        """Occurrence and number, as the store has it."""
        return f"{self.occurrence}.{self.number}"

    def key_of(self, task: Task) -> str:
        """Returns occurrence, step and index of a task."""
        return f"{self.occurrence}.{self.number}.{task.id.index}"

    @property
    def name(self) -> str:
        """Job, occurrence and number."""
        return f"{self.job.job.id}.{self.occurrence}.{self.number}"

    def waiting(self) -> list[Task]:
        """Returns the tasks that neither run nor are done."""
        return [t for t in self.tasks if not t.done and not t.attempts]


@attrs.define(eq=False)
class JobState:
    """A job that is not over.

    Attributes:
        job: The job.
        phase: State that callers are told once it is stored.
        occurrences: Steps of each occurrence that is due.
        cancelled: Whether its caller cancelled it.
        progress: What the store is to have.
        progress_revision: Revision of the stored progress; 0 if none.
    """

    job: Job
    phase: JobPhase = JobPhase.QUEUED
    occurrences: dict[int, list[StepState]] = attrs.field(factory=dict)
    cancelled: bool = False
    progress: Progress = attrs.field(factory=Progress)
    progress_revision: int = 0

    def attempts(self) -> list[Attempt]:
        """Returns the attempts that may be running."""
        return [
            attempt
            for steps in self.occurrences.values()
            for step in steps
            for task in step.tasks
            for attempt in task.attempts
        ]


@attrs.define(eq=False)
class Executor:
    """An executor and the room that the leader knows to be in use.

    Attributes:
        info: What it says of itself.
        attempts: Attempts by task and number.
        used_millicores: Processors in use, in thousandths of a core.
        used_memory_mb: Memory in use in MiB.
        used_accelerators: Accelerators in use.
        strangers: Listed attempts of jobs that have ended.
        claimed: Whether it has accepted this leader's epoch.
        reborn_at: Time at which it was found to be another incarnation.
        is_listed: Whether the platform's list still has it.
        reached_at: Time of its last answer.
        clock_s: Its clock at that time.
        lease_until_s: End of the lease on its clock, the latest ever sent.
        silent_since: Time since which calls fail, None if they do not.
        acked_end: Number of the last end that the store knows the effect of.
        seen_end: Number of the last end that was taken in.
        sick_until: Time before which nothing is placed on it.
        leaves_at: Time until which it stays at least, once it drains.
        drained_after: Time after which it wrote that it drains.
        failed_jobs: Jobs that failed on it since its last success.
    """

    info: ExecutorInfo
    attempts: dict[tuple[TaskId, int], Attempt] = attrs.field(factory=dict)
    used_millicores: int = 0
    used_memory_mb: int = 0
    used_accelerators: int = 0
    strangers: set[tuple[TaskId, int]] = attrs.field(factory=set)
    claimed: bool = False
    reborn_at: float = float("-inf")
    is_listed: bool = True
    reached_at: float = 0.0
    clock_s: float = 0.0
    lease_until_s: float = 0.0
    silent_since: float | None = None
    acked_end: int = 0
    seen_end: int = 0
    sick_until: float = 0.0
    leaves_at: float = float("inf")
    drained_after: float = float("-inf")
    failed_jobs: set[str] = attrs.field(factory=set)

    @property
    def free_millicores(self) -> int:
        """Processors that are free, in thousandths of a core."""
        return self.info.millicores - self.used_millicores

    @property
    def free_memory_mb(self) -> int:
        """Memory that is free, in MiB."""
        return self.info.memory_mb - self.used_memory_mb

    @property
    def free_accelerators(self) -> int:
        """Accelerators that are free."""
        return self.info.accelerators - self.used_accelerators
