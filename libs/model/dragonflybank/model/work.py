"""Work classes, jobs, task starts and answers."""

__all__ = [
    "Answer",
    "JobRecord",
    "JobSpec",
    "JobState",
    "Outcome",
    "StartRecord",
    "WorkClass",
    "WorkKind",
    "answer_for_problem",
    "format_task_id",
    "is_final_state",
]

import enum

import attrs

from dragonflybank.model.codes import Code, Problem, proves_not_run
from dragonflybank.model.hashing import digest
from dragonflybank.model.resources import Resources


class WorkKind(enum.StrEnum):
    """Kind of a work class; selects the scheduling policies.

    A lookup is a short urgent request that a host answers directly from an
    executor slot. Work of the other kinds, called batch work, is submitted as
    jobs. The tasks of a gang must all run at the same time. A service is
    scheduled like a batch job.
    """

    LOOKUP = "lookup"
    BATCH = "batch"
    GANG = "gang"
    SERVICE = "service"


@attrs.frozen
class WorkClass:
    """A work class of the operator configuration.

    Attributes:
        name: Name, for example ``die_lookup``.
        kind: Kind of work.
        repeatable: False if a request may run at most once.
        priority: Classes with a larger number are scheduled first.
        value: Value of one finished task or lookup, in units of cost.
        size: Declared resources of one task.
        expected_s: Declared run time in seconds.
        timeout_s: Time within which a lookup must be answered, in seconds.
        can_checkpoint: Whether workers can checkpoint its tasks.
    """

    name: str
    kind: WorkKind = WorkKind.BATCH
    repeatable: bool = True
    priority: int = 0
    value: float = 1.0
    size: Resources = Resources(cores=1, memory_mb=256, slots=1, connections=1)
    expected_s: float = 10.0
    timeout_s: float = 1.2
    can_checkpoint: bool = False


class JobState(enum.StrEnum):
    """State of a job in its shard's journal.

    ``UNKNOWN`` is a final state: a worker was lost, and whether its task ran or
    was completed can no longer be determined.
    """

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


class Outcome(enum.StrEnum):
    """Outcome of a request, as reported to its caller.

    ``REFUSED`` means that the request was refused, ``NOT_RUN`` that the job was
    cancelled before its start or can never run. Both prove that the work did
    not run.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    FAILED = "failed"
    PENDING = "pending"


@attrs.frozen
class JobSpec:
    """A job as its caller submitted it.

    Attributes:
        team: Team that owns the work and its quota.
        key: The caller's idempotency key, unique within the team.
        work_class: Name of the work class.
        payload: Request body, UTF-8 text.
        tasks: Number of tasks; a gang needs all of them to run together.
        size: Resources of each task.
        expected_s: Declared run time in seconds.
    """

    team: str
    key: str
    work_class: str
    payload: str = ""
    tasks: int = 1
    size: Resources = Resources(cores=1, memory_mb=256, slots=1, connections=1)
    expected_s: float = 10.0


@attrs.frozen
class StartRecord:
    """The start of one task, written to the journal before it is sent.

    Attributes:
        task_id: Identifier of this start; each attempt has another one.
        worker: Name of the worker.
        epoch: Ownership epoch; at any other epoch the worker refuses the
            start.
        grant: Resources that the lease grants.
        sent_at: Time of the journal entry, seconds since 1970.
        reservation: Identifier of the reservation that the start uses.
        incarnation: Identifier of the boot of the worker's VM. After a reboot
            the worker does not know the task, even if it ran.
    """

    task_id: str
    worker: str
    epoch: int
    grant: Resources
    sent_at: float
    reservation: str = ""
    incarnation: str = ""


@attrs.frozen
class JobRecord:
    """A job in its shard's journal.

    Attributes:
        spec: The job as submitted.
        state: Current state.
        accepted_at: Time of acceptance, seconds since 1970.
        attempt: Number of attempts so far.
        starts: Starts of the current attempt, one for each task.
        results: Result text of each finished task, by task id.
        problem: Why the job failed, was cancelled or has an unknown outcome.
        finished_at: Time of the final state, seconds since 1970; 0 before.
        failed_on: Names of the workers on which an attempt failed.
        not_before: Earliest time of the next attempt, seconds since 1970.
        grant_factor: Factor applied to the size after a task exceeded its
            grant.
    """

    spec: JobSpec
    state: JobState = JobState.QUEUED
    accepted_at: float = 0.0
    attempt: int = 0
    starts: tuple[StartRecord, ...] = ()
    results: dict[str, str] = attrs.field(factory=dict)
    problem: Problem | None = None
    finished_at: float = 0.0
    failed_on: tuple[str, ...] = ()
    not_before: float = 0.0
    grant_factor: float = 1.0


@attrs.frozen
class Answer:
    """The answer to a caller's request.

    Attributes:
        outcome: Outcome of the request.
        code: Numbered result code.
        state: State of the job; empty for a lookup.
        length: Number of bytes of the result in UTF-8.
        digest: SHA-256 digest of the result's bytes, hexadecimal.
        result: The result; empty unless the outcome is ``done``.
        detail: One sentence that a person can read.
        retry_after_s: Seconds to wait before a retry; 0 if a retry is useless.
        ask: Path at which to ask again; empty if the answer is final.
        field: Field of the request that is invalid, if any.
        accepted: Values that the field accepts, if it is invalid.
    """

    outcome: Outcome
    code: Code = Code.OK
    state: str = ""
    length: int = 0
    digest: str = ""
    result: str = ""
    detail: str = ""
    retry_after_s: float = 0.0
    ask: str = ""
    field: str = ""
    accepted: str = ""

    @classmethod
    def from_result(cls, result: str, *, state: str = "") -> "Answer":
        """Returns the answer that carries a result and its length and digest.

        Args:
            result: The result text.
            state: State of the job; empty for a lookup.
        """
        body = result.encode()
        return cls(
            Outcome.DONE,
            state=state,
            length=len(body),
            digest=digest(body),
            result=result,
        )


def answer_for_problem(
    problem: Problem, *, ask: str = "", state: str = ""
) -> Answer:
    """Returns the answer that reports a problem.

    The outcome is "refused" or "not run" only if the code proves it.

    Args:
        problem: The problem.
        ask: Path at which the caller can ask again.
        state: State of the job; empty for a lookup.
    """
    return Answer(
        _outcome_for_code(problem.code),
        problem.code,
        state=state,
        detail=problem.detail,
        retry_after_s=problem.retry_after_s,
        ask=ask,
        field=problem.field,
        accepted=problem.accepted,
    )


def is_final_state(state: JobState) -> bool:
    """Returns whether a job in this state no longer changes."""
    return state in (
        JobState.DONE,
        JobState.FAILED,
        JobState.CANCELLED,
        JobState.UNKNOWN,
    )


def format_task_id(spec: JobSpec, attempt: int, index: int) -> str:
    """Returns the identifier of one start of one task.

    Example:
        >>> format_task_id(JobSpec("courts", "k1", "sweep"), 1, 0)
        'courts/k1/1/0'
    """
    return f"{spec.team}/{spec.key}/{attempt}/{index}"


def _outcome_for_code(code: Code) -> Outcome:
    if code in (Code.CANCELLED_BEFORE_START, Code.CAN_NEVER_RUN):
        return Outcome.NOT_RUN
    if proves_not_run(code):
        return Outcome.REFUSED
    if Code.TASK_FAILED <= code < Code.STALE_EPOCH:
        return Outcome.FAILED
    return Outcome.UNKNOWN
