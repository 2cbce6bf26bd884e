"""Simulated work of the worker stand-in.

The payload of a task or lookup is JSON text with the fields of `Load`, all of
them optional; other text is work that takes no time. The simulation follows
the event loop's time.

A task whose memory is above its grant is stopped once it has used up the
granted part, that is after ``run_s * granted / needed`` seconds. A task that
needs more processors than granted takes ``needed / granted`` times longer.
"""

__all__ = [
    "Ending",
    "LaggedUsage",
    "Load",
    "Run",
    "ending_of",
    "expected_result",
    "parse_payload",
    "rate_of",
]

import asyncio
import collections
import json
from collections.abc import Callable

import attrs

from dragonflybank.model.hashing import digest
from dragonflybank.model.leases import TaskState
from dragonflybank.model.resources import Resources

# A rate of 0 would never end; a grant without processors runs this slowly.
MIN_RATE = 0.01
# A sick worker fails its work sooner than a healthy one finishes it.
SICK_RUN_S = 0.01


@attrs.frozen
class Load:
    """What a piece of work needs and does.

    Attributes:
        run_s: Run time with enough processors, in seconds.
        memory_mb: Memory that it needs, in MiB.
        cores: Processors that it needs.
        fail: Whether it fails at its end.
        answer: Text that becomes part of the result.
        result_bytes: Smallest length of the result; it is padded with dots.
    """

    run_s: float = attrs.field(default=0.0, converter=float)
    memory_mb: float = attrs.field(default=0.0, converter=float)
    cores: float = attrs.field(default=0.0, converter=float)
    fail: bool = attrs.field(default=False, converter=bool)
    answer: str = attrs.field(default="", converter=str)
    result_bytes: int = attrs.field(default=0, converter=int)


def parse_payload(payload: str) -> Load:
    """Returns the load that a payload describes; unknown fields are ignored.

    Example:
        >>> parse_payload('{"run_s": 0.5, "note": "x"}').run_s
        0.5
    """
    known = {field.name for field in attrs.fields(Load)}
    try:
        fields = json.loads(payload)
        return Load(**{k: v for k, v in fields.items() if k in known})
    except (ValueError, TypeError, AttributeError):
        return Load()


def expected_result(work_class: str, payload: str) -> str:
    """Returns the result of work that is done.

    It is ``<class> <SHA-256 of the payload> <answer>``, padded with dots to
    ``result_bytes``, so that an answer to another request is recognised.

    Example:
        >>> expected_result("sweep", '{"answer": "clean"}')[-6:]
        ' clean'
    """
    load = parse_payload(payload)
    text = f"{work_class} {digest(payload.encode())} {load.answer}"
    return text + "." * (load.result_bytes - len(text.encode()))


def ending_of(
    work_class: str, payload: str, grant: Resources | None, *, is_sick: bool
) -> "Ending":
    """Returns how work ends.

    Args:
        work_class: Name of the work class.
        payload: Payload.
        grant: Grant of a task; None for a lookup, which has no cap.
        is_sick: Whether the worker fails everything.
    """
    load = parse_payload(payload)
    if is_sick:
        after_s = min(load.run_s, SICK_RUN_S)
        return Ending(after_s, TaskState.FAILED, "sick_worker")
    if grant is not None and load.memory_mb > grant.memory_mb:
        after_s = load.run_s * grant.memory_mb / load.memory_mb
        return Ending(after_s, TaskState.STOPPED, "size_exceeded")
    if load.fail:
        return Ending(load.run_s, TaskState.FAILED, "task_failed")
    result = expected_result(work_class, payload)
    return Ending(load.run_s, TaskState.DONE, result=result)


def rate_of(load: Load, grant: Resources) -> float:
    """Returns the speed of a task that is throttled to its grant."""
    return min(1.0, grant.cores / load.cores) if load.cores > 0 else 1.0


@attrs.frozen
class Ending:
    """How a piece of work ends.

    Attributes:
        after_s: Time until then at rate 1, in seconds.
        state: Final state.
        reason: Why it is not done.
        result: Result if it is done.
    """

    after_s: float
    state: TaskState
    reason: str = ""
    result: str = ""


class LaggedUsage:
    """The use of a worker as it was some seconds ago.

    Args:
        lag_s: Age of the use that is reported, in seconds.
    """

    def __init__(self, lag_s: float):
        self._lag_s = lag_s
        self._marks = collections.deque([(0.0, Resources())])

    def note(self, used: Resources, now: float) -> None:
        """Notes the use from now on."""
        self._marks.append((now, used))
        self.at(now)

    def at(self, now: float) -> Resources:
        """Returns the use that is reported now."""
        while len(self._marks) > 1 and self._marks[1][0] <= now - self._lag_s:
            self._marks.popleft()
        return self._marks[0][1]


class Run:
    """Progress of one piece of work, which can be slowed down and paused.

    Args:
        seconds: Time that it takes at rate 1, in seconds.
        rate: Speed of progress.
        on_end: Called when the work is done.
        paused: Whether it starts paused.
    """

    def __init__(
        self,
        seconds: float,
        rate: float,
        on_end: Callable[[], None],
        *,
        paused: bool = False,
    ):
        self.rate = max(rate, MIN_RATE)
        self._left_s = seconds
        self._on_end = on_end
        self._since = 0.0
        self._timer: asyncio.TimerHandle | None = None
        if not paused:
            self.resume()

    def resume(self) -> None:
        """Continues."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._since = loop.time()
            self._timer = loop.call_later(
                self._left_s / self.rate, self._on_end
            )

    def pause(self) -> None:
        """Stops the progress until `resume`; also cancels the work."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            passed_s = asyncio.get_running_loop().time() - self._since
            self._left_s = max(0.0, self._left_s - passed_s * self.rate)

    def slow_down(self, rate: float) -> None:
        """Changes the rate."""
        was_running = self._timer is not None
        self.pause()
        self.rate = max(rate, MIN_RATE)
        if was_running:
            self.resume()
