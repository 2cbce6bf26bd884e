"""Jobs of several steps, as callers submit them and as the store keeps them.

A job has steps, a step has tasks that are alike. A job that repeats has
occurrences, each with all of its steps.
"""

__all__ = [
    "AdviceTiming",
    "CellConfig",
    "Job",
    "JobPhase",
    "Progress",
    "Queue",
    "Service",
    "Step",
    "TaskId",
    "critical_path_s",
    "decode_job",
    "decode_progress",
    "encode_record",
    "find_queue",
]

import enum
from collections.abc import Mapping, Sequence

import attrs
import msgspec


class JobPhase(enum.StrEnum):
    """State of a job as its caller sees it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state never changes again."""
        return self not in (JobPhase.QUEUED, JobPhase.RUNNING)


@attrs.frozen
class TaskId:
    """Identity of a task.

    Attributes:
        job: Identity of the job.
        occurrence: Number of the occurrence, from 0.
        step: Number of the step, from 0.
        index: Number of the task within its step, from 0.
    """

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"


@attrs.frozen
class Step:
    """Tasks of a job that are alike.

    Attributes:
        count: Number of tasks.
        millicores: Processors of one task, in thousandths of a core.
        memory_mb: Memory of one task in MiB.
        accelerators: Accelerators of one task.
        estimate_s: Declared run time of one task in seconds; a rough figure.
        after: Numbers of the steps that must be done before.
        gang: Whether all tasks must run at the same time.
        same_rack: Whether tasks on several racks are slower.
        label: Label that an executor must have, or an empty string.
        near_rack: Rack where the data is, or an empty string.
        max_per_executor: Largest number of tasks on one executor; 0 for any.
        checkpoints: Whether tasks save their progress.
        duplicates: Whether copies of a task may run at the same time.
        lasting: Whether tasks run until the job is cancelled.
        image: What the tasks run.
        tail_target_s: Response time that a serving task must keep, or 0.
        filling: Whether tasks use only processors that others leave idle.
        max_unavailable: Tasks that may be stopped at once; 0 for any number.
    """

    count: int
    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    near_rack: str = ""
    max_per_executor: int = 0
    checkpoints: bool = False
    duplicates: bool = False
    lasting: bool = False
    image: str = ""
    tail_target_s: float = 0.0
    filling: bool = False
    max_unavailable: int = 0


@attrs.frozen
class AdviceTiming:
    """Cost and validity of the advice that a queue needs.

    Attributes:
        base_s: Time of a call for advice, in seconds.
        each_s: Further time for each executor named, in seconds.
        valid_s: Time for which a ticket is valid, in seconds.
    """

    base_s: float
    each_s: float
    valid_s: float


@attrs.frozen
class Queue:
    """A queue of jobs.

    Attributes:
        name: Name of the queue.
        host: Host name that callers use.
        prefix: Path prefix that callers use, ending in a slash.
        service: Service whose executors run the tasks.
        priority: Rank among the queues; 0 comes first.
        objective_s: Latency objective of a job without work, in seconds.
        slack: Factor on a job's longest chain that the objective allows.
        max_attempts: Failed attempts after which a task is given up.
        advised: Advice that its steps need, or None.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    objective_s: float
    slack: float
    max_attempts: int
    advised: AdviceTiming | None = None


@attrs.frozen
class Service:
    """A pool of executors.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        guarded: Whether its executors refuse what does not fit.
        standby: Whether its machines are switched off.
    """

    name: str
    health_path: str = ""
    guarded: bool = False
    standby: bool = False


@attrs.frozen
class CellConfig:
    """The configuration of the operators.

    Attributes:
        version: Version; it only grows.
        queues: Queues by host name, those with the longest prefix first.
        services: Services by name.
        max_body_bytes: Largest body of a request.
    """

    version: int
    queues: Mapping[str, Sequence[Queue]]
    services: Mapping[str, Service]
    max_body_bytes: int = 262_144


@attrs.frozen
class Job:
    """An accepted job.

    Attributes:
        id: Identity, chosen by the caller.
        queue: Queue that accepted it.
        spec: Text that each task is started with.
        steps: Its steps.
        accepted_at: Time of acceptance, seconds since 1970.
        start_at: Time of the first occurrence, seconds since 1970; 0 for now.
        interval_s: Time between occurrences in seconds.
        repeat: Number of occurrences; 0 for a job that runs once.
    """

    id: str
    queue: Queue
    spec: str
    steps: tuple[Step, ...]
    accepted_at: float
    start_at: float = 0.0
    interval_s: float = 0.0
    repeat: int = 0

    @property
    def is_recurring(self) -> bool:
        """Whether its occurrences have times."""
        return self.repeat > 0

    def due_at(self, occurrence: int) -> float:
        """Returns the time of an occurrence, seconds since 1970."""
        if not self.is_recurring:
            return self.accepted_at
        return self.start_at + occurrence * self.interval_s


@attrs.define
class Progress:
    """What the store keeps of a job's execution.

    Attributes:
        phase: State that callers are told.
        done: Indices of finished tasks, by ``occurrence.step``.
        failed: Attempts that failed, by task ``occurrence.step.index``.
        saved: Checkpoints, by task ``occurrence.step.index``.
        placed: Number of the last attempt and the executor on which it may
            run, or an empty string, by task ``occurrence.step.index``.
        ended_at: Time at which the job ended, seconds since 1970; 0 before.
    """

    phase: JobPhase = JobPhase.QUEUED
    done: dict[str, list[int]] = attrs.field(factory=dict)
    failed: dict[str, list[int]] = attrs.field(factory=dict)
    saved: dict[str, str] = attrs.field(factory=dict)
    placed: dict[str, tuple[int, str]] = attrs.field(factory=dict)
    ended_at: float = 0.0


def find_queue(cfg: CellConfig, host: str, path: str) -> Queue | None:
    """Returns the queue with the longest prefix of a path, if any."""
    return next(
        (q for q in cfg.queues.get(host, ()) if path.startswith(q.prefix)),
        None,
    )


def critical_path_s(steps: Sequence[Step]) -> float:
    """Returns the declared time of the longest chain of steps, in seconds.

    Example:
        >>> critical_path_s((Step(1, estimate_s=2.0),
        ...                  Step(1, estimate_s=1.0, after=(0,))))
        3.0
    """
    ends: list[float] = []
    for step in steps:
        begin = max((ends[n] for n in step.after if n < len(ends)), default=0.0)
        ends.append(begin + step.estimate_s)
    return max(ends, default=0.0)


_job_decoder = msgspec.json.Decoder(Job)
_progress_decoder = msgspec.json.Decoder(Progress)
_encoder = msgspec.json.Encoder()


def encode_record(value: Job | Progress) -> bytes:
    """Returns the stored form of a job or its progress."""
    return _encoder.encode(value)


def decode_job(raw: bytes) -> Job:
    """Returns a job from its stored form.

    Raises:
        msgspec.MsgspecError: The bytes are no job.
    """
    return _job_decoder.decode(raw)


def decode_progress(raw: bytes) -> Progress:
    """Returns the progress of a job from its stored form.

    Raises:
        msgspec.MsgspecError: The bytes are no progress.
    """
    return _progress_decoder.decode(raw)
