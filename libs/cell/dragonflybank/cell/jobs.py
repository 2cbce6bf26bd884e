"""Jobs of several steps: their declaration and their stored progress.

A job consists of steps, and a step of identical tasks. A recurring job has
several occurrences, each of which runs all steps.
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
    "remaining_paths_s",
]

import enum
from collections.abc import Mapping, Sequence

import attrs
import msgspec

from dragonflybank.cell.teams import Team


class JobPhase(enum.StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state can no longer change."""
        return self not in (JobPhase.QUEUED, JobPhase.RUNNING)


@attrs.frozen
class TaskId:
    """Identifier of a task.

    Attributes:
        job: Identifier of the job.
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
    """Identical tasks of a job.

    Attributes:
        count: Number of tasks.
        millicores: CPU cores of one task, in thousandths of a core.
        memory_mb: Memory of one task in MiB.
        accelerators: Accelerators of one task.
        estimate_s: Declared run time of one task in seconds, a rough estimate.
        after: Numbers of the steps that must be done before this one starts.
        gang: Whether all tasks must run at the same time.
        same_rack: Whether tasks run slower when spread over several racks.
        label: Label that an executor must have, or an empty string.
        near_rack: Rack that holds the input data, or an empty string.
        max_per_executor: Maximum number of tasks on one executor; 0 for no
            limit.
        checkpoints: Whether tasks save checkpoints.
        duplicates: Whether several copies of a task may run at the same time.
        lasting: Whether tasks run until the job is cancelled (long-running).
        image: Image that the tasks run.
        tail_target_s: Target of a serving task for its tail latency in
            seconds; 0 if it serves no requests.
        filling: Whether tasks are best-effort: they reserve no CPU cores and
            use those that other tasks leave idle. Elsewhere they are called
            filling tasks.
        max_unavailable: Maximum number of tasks that may be down at the same
            time; 0 for no limit.
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
    """Duration of advice calls and lifetime of tickets for a queue.

    Steps of such a queue run only on executors for which the advice service
    has returned a ticket; see `ports.AdviceService`.

    Attributes:
        base_s: Fixed part of the duration of a call, in seconds.
        each_s: Additional duration per executor in the call, in seconds.
        valid_s: Lifetime of a ticket in seconds.
    """

    base_s: float
    each_s: float
    valid_s: float


@attrs.frozen
class Queue:
    """A queue of jobs.

    Attributes:
        name: Name of the queue.
        host: Host name in the requests of callers.
        prefix: Path prefix in the requests of callers, with a final slash.
        service: Service whose executors run the tasks.
        priority: Priority of the queue; 0 is the highest.
        objective_s: Fixed part of the latency objective of a job, in seconds.
        slack: Multiple of the job's declared critical path that its latency
            objective allows in addition.
        max_attempts: Number of failed attempts after which a task fails.
        advised: Timing of the advice that its steps need, or None if they
            need none.
        version: Version of the configuration that defines it.
        is_public: Whether callers need no API key.
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
    version: int = 0
    is_public: bool = False


@attrs.frozen
class Service:
    """A pool of executors.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        guarded: Whether its executors refuse tasks that do not fit.
        standby: Whether its machines are switched off.
    """

    name: str
    health_path: str = ""
    guarded: bool = False
    standby: bool = False


@attrs.frozen
class CellConfig:
    """The operators' configuration.

    Attributes:
        version: Version, which only increases.
        queues: Queues by host name, sorted by descending length of prefix.
        services: Services by name.
        max_body_bytes: Maximum size of a request body.
        teams: Teams by name. Without teams, callers need no API key, and
            nothing is counted by team.
        max_header_bytes: Maximum size of the head of a request.
        header_timeout_s: Longest time for the head of a request, in seconds.
        idle_timeout_s: Longest time between two requests on a connection, in
            seconds.
    """

    version: int
    queues: Mapping[str, Sequence[Queue]]
    services: Mapping[str, Service]
    max_body_bytes: int = 262_144
    teams: Mapping[str, Team] = attrs.field(factory=dict)
    max_header_bytes: int = 16_384
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Job:
    """An accepted job.

    Attributes:
        id: Identifier, chosen by the caller.
        queue: Queue that accepted the job, as it was defined then. The
            attempts of its tasks stay limited by it; what else depends on the
            queue follows `JobState.queue`.
        spec: Text that is passed to each task.
        steps: Its steps.
        accepted_at: Time of acceptance, seconds since 1970.
        start_at: Time of the first occurrence, seconds since 1970; 0 for
            immediately.
        interval_s: Time between occurrences in seconds.
        repeat: Number of occurrences; 0 for a job that runs once.
        team: Name of the team that submitted it, or an empty string.
    """

    id: str
    queue: Queue
    spec: str
    steps: tuple[Step, ...]
    accepted_at: float
    start_at: float = 0.0
    interval_s: float = 0.0
    repeat: int = 0
    team: str = ""

    @property
    def is_recurring(self) -> bool:
        """Whether it has occurrences at fixed times."""
        return self.repeat > 0

    def due_at(self, occurrence: int) -> float:
        """Returns when an occurrence is due, in seconds since 1970."""
        if not self.is_recurring:
            return self.accepted_at
        return self.start_at + occurrence * self.interval_s


@attrs.define
class Progress:
    """Progress of a job as the store keeps it.

    Attributes:
        phase: State that is reported to callers.
        done: Indices of finished tasks, by ``occurrence.step``.
        failed: Numbers of failed attempts, by task ``occurrence.step.index``.
        saved: Last checkpoints, by task ``occurrence.step.index``.
        placed: Number of the last attempt and the executor on which it may
            run, or an empty string if it runs nowhere, by task
            ``occurrence.step.index``.
        ended_at: Time at which the job ended, seconds since 1970; 0 before.
        queue: Definition of its queue that replaced `Job.queue`, or None. A
            leader that takes over needs it if the queue no longer exists.
    """

    phase: JobPhase = JobPhase.QUEUED
    done: dict[str, list[int]] = attrs.field(factory=dict)
    failed: dict[str, list[int]] = attrs.field(factory=dict)
    saved: dict[str, str] = attrs.field(factory=dict)
    placed: dict[str, tuple[int, str]] = attrs.field(factory=dict)
    ended_at: float = 0.0
    queue: Queue | None = None


def find_queue(cfg: CellConfig, host: str, path: str) -> Queue | None:
    """Returns the queue whose prefix is the longest match of a path, if any."""
    return next(
        (q for q in cfg.queues.get(host, ()) if path.startswith(q.prefix)),
        None,
    )


def critical_path_s(steps: Sequence[Step]) -> float:
    """Returns the declared run time along the critical path, in seconds.

    Example:
        >>> critical_path_s((Step(1, estimate_s=2.0),
        ...                  Step(1, estimate_s=1.0, after=(0,))))
        3.0
    """
    return max(remaining_paths_s(steps), default=0.0)


def remaining_paths_s(steps: Sequence[Step]) -> tuple[float, ...]:
    """Returns the declared time from each step to the end of its job.

    This is the critical path of the step and those that depend on it, in
    seconds. The largest is the critical path of the job.

    Example:
        >>> remaining_paths_s((Step(1, estimate_s=2.0),
        ...                    Step(1, estimate_s=1.0, after=(0,))))
        (3.0, 1.0)
    """
    paths_s = [step.estimate_s for step in steps]
    for number in reversed(range(len(steps))):
        for earlier in steps[number].after:
            if earlier < number:
                paths_s[earlier] = max(
                    paths_s[earlier],
                    steps[earlier].estimate_s + paths_s[number],
                )
    return tuple(paths_s)


_job_decoder = msgspec.json.Decoder(Job)
_progress_decoder = msgspec.json.Decoder(Progress)
_encoder = msgspec.json.Encoder()


def encode_record(value: Job | Progress) -> bytes:
    """Encodes a job or its progress for the store."""
    return _encoder.encode(value)


def decode_job(raw: bytes) -> Job:
    """Decodes a stored job.

    Raises:
        msgspec.MsgspecError: The bytes do not encode a job.
    """
    return _job_decoder.decode(raw)


def decode_progress(raw: bytes) -> Progress:
    """Decodes the stored progress of a job.

    Raises:
        msgspec.MsgspecError: The bytes do not encode a progress record.
    """
    return _progress_decoder.decode(raw)
