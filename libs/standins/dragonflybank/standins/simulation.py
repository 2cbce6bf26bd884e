"""Simulates the work of tasks and lookups at a worker.

The payload of a task or lookup is JSON text with the fields of `WorkSpec`, all
of them optional; other text is work that takes no time. The simulation uses
the event loop's time.

A task that needs more memory than granted is stopped when its use reaches the
grant, that is after ``run_s * granted / needed`` seconds. A task that needs
more cores than granted takes ``needed / granted`` times longer.
"""

__all__ = [
    "LaggedUsage",
    "PlannedEnd",
    "SimulatedRun",
    "WorkSpec",
    "expected_result",
    "parse_payload",
    "plan_end",
    "progress_rate",
]

import asyncio
import collections
import json
from collections.abc import Callable

import attrs

from dragonflybank.model.hashing import digest
from dragonflybank.model.leases import TaskState
from dragonflybank.model.resources import Resources

# Rate of a task whose grant has no cores; with rate 0 it would never end.
MIN_RATE = 0.01
# A sick worker, which fails all its work, ends it sooner than a healthy one.
SICK_RUN_S = 0.01


@attrs.frozen
class WorkSpec:
    """What a task or lookup needs and does, as its payload says.

    Attributes:
        run_s: Run time with enough cores, in seconds.
        memory_mb: Memory that it needs, in MiB.
        cores: CPU cores that it needs.
        fail: Whether it fails at its end.
        answer: Text that becomes part of the result.
        result_bytes: Shortest length of the result, which is padded with dots.
    """

    run_s: float = attrs.field(default=0.0, converter=float)
    memory_mb: float = attrs.field(default=0.0, converter=float)
    cores: float = attrs.field(default=0.0, converter=float)
    fail: bool = attrs.field(default=False, converter=bool)
    answer: str = attrs.field(default="", converter=str)
    result_bytes: int = attrs.field(default=0, converter=int)


def parse_payload(payload: str) -> WorkSpec:
    """Returns the work that a payload describes; ignores unknown fields.

    Example:
        >>> parse_payload('{"run_s": 0.5, "note": "x"}').run_s
        0.5
    """
    known = {field.name for field in attrs.fields(WorkSpec)}
    try:
        fields = json.loads(payload)
        return WorkSpec(**{k: v for k, v in fields.items() if k in known})
    except (ValueError, TypeError, AttributeError):
        return WorkSpec()


def expected_result(work_class: str, payload: str) -> str:
    """Returns the result of work that ended as done.

    It is ``<class> <SHA-256 of the payload> <answer>``, padded with dots to
    ``result_bytes``, so that the checks recognise an answer to another request.

    Example:
        >>> expected_result("sweep", '{"answer": "clean"}')[-6:]
        ' clean'
    """
    spec = parse_payload(payload)
    text = f"{work_class} {digest(payload.encode())} {spec.answer}"
    return text + "." * (spec.result_bytes - len(text.encode()))


def plan_end(
    work_class: str, payload: str, grant: Resources | None, *, is_sick: bool
) -> "PlannedEnd":
    """Returns how a task or lookup will end.

    Args:
        work_class: Name of the work class.
        payload: Payload of the task or lookup.
        grant: Grant of a task; None for a lookup, which has no limit.
        is_sick: Whether the worker fails all its work.
    """
    spec = parse_payload(payload)
    if is_sick:
        after_s = min(spec.run_s, SICK_RUN_S)
        return PlannedEnd(after_s, TaskState.FAILED, "sick_worker")
    if grant is not None and spec.memory_mb > grant.memory_mb:
        after_s = spec.run_s * grant.memory_mb / spec.memory_mb
        return PlannedEnd(after_s, TaskState.STOPPED, "size_exceeded")
    if spec.fail:
        return PlannedEnd(spec.run_s, TaskState.FAILED, "task_failed")
    result = expected_result(work_class, payload)
    return PlannedEnd(spec.run_s, TaskState.DONE, result=result)


def progress_rate(spec: WorkSpec, grant: Resources) -> float:
    """Returns the rate of progress of a task under its grant, at most 1."""
    return min(1.0, grant.cores / spec.cores) if spec.cores > 0 else 1.0


@attrs.frozen
class PlannedEnd:
    """How a task or lookup will end.

    Attributes:
        after_s: Time until its end at rate 1, in seconds.
        state: Final state.
        reason: Why it isn't done.
        result: Result if it is done.
    """

    after_s: float
    state: TaskState
    reason: str = ""
    result: str = ""


class LaggedUsage:
    """The usage of a worker, reported with a lag.

    Args:
        lag_s: Age of the reported usage in seconds.
    """

    def __init__(self, lag_s: float):
        self._lag_s = lag_s
        self._samples = collections.deque([(0.0, Resources())])

    def record(self, used: Resources, now: float) -> None:
        """Records the usage from now on."""
        self._samples.append((now, used))
        self.reported_at(now)

    def reported_at(self, now: float) -> Resources:
        """Returns the usage that is reported at a time."""
        while (
            len(self._samples) > 1 and self._samples[1][0] <= now - self._lag_s
        ):
            self._samples.popleft()
        return self._samples[0][1]


class SimulatedRun:
    """Progress of a task or lookup, which can be slowed down and paused.

    Args:
        duration_s: Time that it takes at rate 1, in seconds.
        rate: Rate of progress.
        on_end: Called when the work is finished.
        paused: Whether it starts paused.
    """

    def __init__(
        self,
        duration_s: float,
        rate: float,
        on_end: Callable[[], None],
        *,
        paused: bool = False,
    ):
        self.rate = max(rate, MIN_RATE)
        self._remaining_s = duration_s
        self._on_end = on_end
        self._resumed_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        if not paused:
            self.resume()

    def resume(self) -> None:
        """Resumes the progress after a pause."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._resumed_at = loop.time()
            self._timer = loop.call_later(
                self._remaining_s / self.rate, self._on_end
            )

    def pause(self) -> None:
        """Stops the progress until `resume`; cancels the work without it."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            passed_s = asyncio.get_running_loop().time() - self._resumed_at
            self._remaining_s = max(
                0.0, self._remaining_s - passed_s * self.rate
            )

    def set_rate(self, rate: float) -> None:
        """Changes the rate."""
        was_running = self._timer is not None
        self.pause()
        self.rate = max(rate, MIN_RATE)
        if was_running:
            self.resume()
