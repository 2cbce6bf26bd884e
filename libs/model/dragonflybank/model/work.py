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
    """The policy family of a work class."""

    LOOKUP = "lookup"
    BATCH = "batch"
    GANG = "gang"
    SERVICE = "service"


@attrs.frozen
class WorkClass:
    """A workload class of the operator configuration.

    Attributes:
        name: Name, as ``die_lookup``.
        kind: Policy family.
        repeatable: False if a request may run at most once.
        priority: Larger goes first.
        value: Worth of one finished piece, in units of cost.
        size: Declared size of one task.
        expected_s: Declared run time in seconds.
        timeout_s: Time within which a lookup must be answered, in seconds.
        can_checkpoint: Whether the worker can checkpoint its tasks.
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
    """State of a job in its shard's journal."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


class Outcome(enum.StrEnum):
    """What a caller is told."""

    DONE = "done"
    NOT_RUN = "not_run"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    FAILED = "failed"
    PENDING = "pending"


@attrs.frozen
class JobSpec:
    """What a caller asked for under its own key.

    Attributes:
        team: Team that owns the work and its quota.
        key: The caller's idempotency key, unique within the team.
        work_class: Name of the work class.
        payload: Request body, UTF-8 text.
        tasks: Number of tasks; all are needed at once if it is a gang.
        size: Size of each task.
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
    """A start of one task, journalled before it is sent.

    Attributes:
        task_id: Identity of this start; a new attempt has a new one.
        worker: Name of the worker.
        epoch: Ownership epoch at which alone the start can succeed.
        grant: Resources that the lease grants.
        sent_at: Time of the journal entry, in seconds since 1970.
        reservation: Identity of the reservation that the start uses.
        incarnation: Identity of the start of the worker's VM. A worker of
            another incarnation does not know the task even if it ran.
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
        spec: What was asked for.
        state: Present state.
        accepted_at: Seconds since 1970.
        attempt: Number of starts so far.
        starts: Starts of the present attempt, one for each task.
        results: Result text of each finished task, by task id.
        problem: Why the job failed, was cancelled or is unknown.
        finished_at: Seconds since 1970, 0 while it is not final.
        failed_on: Names of the workers on which an attempt failed.
        not_before: Earliest time of the next attempt, seconds since 1970.
        grant_factor: Factor on the size after a task exceeded its grant.
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
    """The answer to a caller.

    Attributes:
        outcome: What happened.
        code: Numbered result code.
        state: Journal state for patient work, else empty.
        length: Number of bytes of the result in UTF-8.
        digest: SHA-256 of the result's bytes, hexadecimal.
        result: The result; empty unless the outcome is done.
        detail: One sentence for people.
        retry_after_s: Seconds after which a retry is useful; 0 if never.
        ask: Path to ask again, empty if the answer is final.
        field: Field of the request at fault, if any.
        accepted: What would be accepted, if a field is at fault.
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
        """Returns the answer for a result, with its length and digest."""
        body = result.encode()
        return cls(
            Outcome.DONE,
            state=state,
            length=len(body),
            digest=digest(body),
            result=result,
        )


def answer_for_problem(
    failed: Problem, *, ask: str = "", state: str = ""
) -> Answer:
    """Returns the answer for a problem.

    Only a code that proves it leads to "refused" or "not run".

    Args:
        failed: The problem.
        ask: Path at which the caller can ask again.
        state: Journal state for patient work.
    """
    return Answer(
        _outcome_of(failed.code),
        failed.code,
        state=state,
        detail=failed.detail,
        retry_after_s=failed.retry_after_s,
        ask=ask,
        field=failed.field,
        accepted=failed.accepted,
    )


def is_final_state(state: JobState) -> bool:
    """Returns whether a job in this state never changes again."""
    return state in (
        JobState.DONE,
        JobState.FAILED,
        JobState.CANCELLED,
        JobState.UNKNOWN,
    )


def format_task_id(spec: JobSpec, attempt: int, index: int) -> str:
    """Returns the identity of one start of one task.

    Example:
        >>> format_task_id(JobSpec("courts", "k1", "sweep"), 1, 0)
        'courts/k1/1/0'
    """
    return f"{spec.team}/{spec.key}/{attempt}/{index}"


def _outcome_of(code: Code) -> Outcome:
    if code in (Code.CANCELLED_BEFORE_START, Code.CAN_NEVER_RUN):
        return Outcome.NOT_RUN
    if proves_not_run(code):
        return Outcome.REFUSED
    if Code.TASK_FAILED <= code < Code.STALE_EPOCH:
        return Outcome.FAILED
    return Outcome.UNKNOWN
