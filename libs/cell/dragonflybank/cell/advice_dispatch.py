"""Calls for advice, shared out over the hosts of the cell.

The advice service handles one call at a time for each calling host. The leader
therefore keeps the calls in one queue by priority, gives each host one at a
time, and leaves some hosts to short calls, so that urgent steps do not wait
behind long ones when many of these wait, as after a change of leader.
"""

__all__ = ["AdviceDispatcher", "AskPeer", "most_long_calls", "order_calls"]

import asyncio
import itertools
import logging
import math
from collections.abc import Awaitable, Callable, Mapping, Sequence

import attrs
from returns.result import Failure, Result

from dragonflybank.cell.background import BackgroundTasks
from dragonflybank.cell.ports import AdviceService
from dragonflybank.model.codes import Code, Problem

_log = logging.getLogger(__name__)

Advice = Result[Mapping[str, str], Problem]
AskPeer = Callable[[str, str, Sequence[str], float], Awaitable[Advice]]

# A call that keeps its line for longer delays urgent steps noticeably: their
# objective is some hundred milliseconds.
LONG_CALL_S = 0.1
# Share of the lines that long calls leave free, one at least: a line makes some
# 60 short calls a second, and urgent jobs come at some 100 a second at a crest.
SHORT_SHARE = 0.25
# Above the declared time of a call; covers links between regions.
EXTRA_TIMEOUT_S = 0.6
# First guesses of the way to the service: 1 ms within a zone, and 25 ms to a
# peer in another region and from there to the service.
OWN_WAY_S = 0.01
PEER_WAY_S = 0.05
# Share of the latest call in a line's mean.
WAY_WEIGHT = 0.2
# A line whose last call failed is left alone for this long.
REST_S = 1.0


@attrs.define(eq=False)
class _Call:
    step: str
    executors: tuple[str, ...]
    priority: int
    cost_s: float
    number: int
    fut: asyncio.Future


@attrs.define(eq=False)
class _Line:
    """The calls of one host.

    Attributes:
        address: Peer address of the host, or an empty string for this one.
        busy: Whether a call is in progress.
        is_long: Whether that is a long one.
        rests_until: Time before which it gets no call.
        way_s: Time that its calls take beyond the declared time, in seconds.
    """

    address: str
    way_s: float
    busy: bool = False
    is_long: bool = False
    rests_until: float = 0.0


class AdviceDispatcher:
    """Shares calls for advice out over hosts.

    Args:
        service: The advice service as this host reaches it.
        ask_peer: Lets the host at an address make a call.
        now: Returns the present time in seconds.
    """

    def __init__(
        self,
        service: AdviceService,
        ask_peer: AskPeer,
        *,
        now: Callable[[], float],
    ):
        self._service = service
        self._ask_peer = ask_peer
        self._now = now
        self._lines: dict[str, _Line] = {"": _Line("", OWN_WAY_S)}
        self._waiting: list[_Call] = []
        self._numbers = itertools.count()
        self._background = BackgroundTasks()

    @property
    def has_idle(self) -> bool:
        """Whether most lines are idle and no call waits."""
        idle = sum(not line.busy for line in self._lines.values())
        return not self._waiting and 2 * idle > len(self._lines)

    def set_peers(self, addresses: Sequence[str]) -> None:
        """Replaces the peers that may be given calls."""
        for address in addresses:
            self._lines.setdefault(address, _Line(address, PEER_WAY_S))
        for gone in set(self._lines) - {"", *addresses}:
            if not self._lines[gone].busy:
                del self._lines[gone]
        self._give_out()

    async def ask(
        self,
        step: str,
        executors: Sequence[str],
        *,
        priority: int,
        cost_s: float,
    ) -> Advice:
        """Asks which of some executors may run a step.

        Args:
            step: Name of the step.
            executors: Identities of executors.
            priority: Priority of the step's queue; 0 comes first.
            cost_s: Declared time of the call in seconds.
        """
        fut = asyncio.get_running_loop().create_future()
        call = _Call(
            step, tuple(executors), priority, cost_s, next(self._numbers), fut
        )
        self._waiting.append(call)
        self._give_out()
        return await fut

    def close(self) -> None:
        """Gives up all calls."""
        self._background.cancel()
        for call in self._waiting:
            call.fut.cancel()

    def _give_out(self) -> None:
        now = self._now()
        idle = [
            line
            for line in self._lines.values()
            if not line.busy and line.rests_until <= now
        ]
        idle.sort(key=lambda line: line.way_s)
        lines = self._lines.values()
        long_calls = sum(line.busy and line.is_long for line in lines)
        most_long = most_long_calls(len(lines))
        for call in order_calls(self._waiting):
            if not idle:
                return
            is_long = call.cost_s > LONG_CALL_S
            if is_long and long_calls >= most_long:
                continue
            long_calls += is_long
            # Short calls are urgent and take the shortest way.
            line = idle.pop() if is_long else idle.pop(0)
            line.busy, line.is_long = True, is_long
            self._waiting.remove(call)
            self._background.spawn(self._carry_out(call, line))

    async def _carry_out(self, call: _Call, line: _Line) -> None:
        timeout_s = call.cost_s + EXTRA_TIMEOUT_S
        began_at = self._now()
        try:
            if line.address:
                got = await self._ask_peer(
                    line.address, call.step, call.executors, timeout_s
                )
            else:
                got = await self._service.advise(
                    call.step, call.executors, timeout_s=timeout_s
                )
        finally:
            line.busy = False
        way_s = max(0.0, self._now() - began_at - call.cost_s)
        line.way_s += WAY_WEIGHT * (way_s - line.way_s)
        if isinstance(got, Failure):
            failed = got.failure()
            line.rests_until = self._now() + REST_S
            _log.warning(
                "advice failed",
                extra={
                    "step": call.step,
                    "via": line.address or "self",
                    "code": failed.code.name,
                    "detail": failed.detail,
                },
            )
            if line.address and failed.code is not Code.BAD_REQUEST:
                # Another host may reach the service.
                self._waiting.append(call)
                self._give_out()
                return
        if not call.fut.done():
            call.fut.set_result(got)
        self._give_out()


def most_long_calls(lines: int) -> int:
    """Returns the number of lines that may make long calls.

    Example:
        >>> [most_long_calls(lines) for lines in (1, 2, 6, 36)]
        [1, 1, 4, 27]
    """
    return max(1, lines - max(1, math.ceil(SHORT_SHARE * lines)))


def order_calls(calls: Sequence[_Call]) -> list[_Call]:
    """Returns calls in the order in which they should be made."""
    return sorted(calls, key=lambda c: (c.priority, c.number))
