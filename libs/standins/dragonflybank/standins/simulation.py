"""Simulated work of the worker stand-in.

The payload of a task or lookup is JSON text with the fields of `Load`, all of
them optional; other text is work that takes no time. The simulation follows
the event loop's time.

A task whose memory is above its grant is stopped once it has used up the
granted part, that is after ``run_s * granted / needed`` seconds. A task that
needs more processors than granted takes ``needed / granted`` times longer.
"""

__all__ = ["Load", "Run", "expected_result", "parse_payload"]

import asyncio
import json
from collections.abc import Callable

import attrs

from dragonflybank.model.hashing import digest

# A rate of 0 would never end; a grant without processors runs this slowly.
MIN_RATE = 0.01


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

    run_s: float = 0.0
    memory_mb: float = 0.0
    cores: float = 0.0
    fail: bool = False
    answer: str = ""
    result_bytes: int = 0


def parse_payload(payload: str) -> Load:
    """Returns the load that a payload describes; unknown fields are ignored.

    Example:
        >>> parse_payload('{"run_s": 0.5, "note": "x"}').run_s
        0.5
    """
    try:
        fields = json.loads(payload)
    except ValueError:
        return Load()
    if not isinstance(fields, dict):
        return Load()
    known = {field.name for field in attrs.fields(Load)}
    return Load(**{k: v for k, v in fields.items() if k in known})


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
