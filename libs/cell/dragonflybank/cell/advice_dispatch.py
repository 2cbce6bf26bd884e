"""Calls for advice, distributed over the hosts of the cell.

The advice service handles one call at a time per calling host. The leader
therefore keeps waiting calls in one priority queue, assigns one call at a time
to each host, and reserves some hosts for short calls. Otherwise urgent steps
would wait behind long calls when many of these wait, as after a change of
leader.
"""

__all__ = ["AdviceDispatcher", "CallPeer", "max_long_calls", "sort_calls"]

import asyncio
import itertools
import logging
import math
from collections.abc import Awaitable, Callable, Mapping, Sequence

import attrs
from returns.result import Failure, Result

from dragonflybank.cell.background import BackgroundTasks
from dragonflybank.cell.ports import AdviceService
from dragonflybank.model.codes import Code, Problem, failure

_log = logging.getLogger(__name__)

Advice = Result[Mapping[str, str], Problem]
CallPeer = Callable[[str, str, Sequence[str], float], Awaitable[Advice]]

# Calls that occupy a host for longer would delay urgent steps, whose objective
# is a few hundred milliseconds.
LONG_CALL_S = 0.1
# Share of the hosts that is reserved for short calls, at least one. A host
# makes some 60 short calls per second, and some 100 urgent jobs per second
# arrive at a load peak.
SHORT_CALL_SHARE = 0.25
# Added to the declared duration of a call; covers links between regions.
TIMEOUT_MARGIN_S = 0.6
# Initial estimates of the time that a call takes beyond its declared duration:
# 1 ms within a zone, and 25 ms to a peer in another region and from there to
# the service.
OWN_OVERHEAD_S = 0.01
PEER_OVERHEAD_S = 0.05
# Weight of the latest call in the moving average of a host's overhead.
OVERHEAD_WEIGHT = 0.2
# A host whose last call failed gets no call for this long.
FAILED_SLOT_BACKOFF_S = 1.0


@attrs.define(eq=False)
class _Call:
    step: str
    executors: tuple[str, ...]
    priority: int
    duration_s: float
    number: int
    fut: asyncio.Future


@attrs.define(eq=False)
class _HostSlot:
    """The slot of one host, which makes one call at a time.

    Attributes:
        address: Peer address of the host, or an empty string for this host.
        overhead_s: Average time that its calls take beyond the declared
            duration, in seconds.
        busy: Whether a call is in progress.
        is_long: Whether that call is a long one.
        backoff_until: Time before which it gets no call.
    """

    address: str
    overhead_s: float
    busy: bool = False
    is_long: bool = False
    backoff_until: float = 0.0


class AdviceDispatcher:
    """Distributes calls for advice over the hosts of the cell.

    Args:
        service: The advice service as this host reaches it.
        call_peer: Makes a call through the host at an address.
        now: Returns the current time in seconds.
    """

    def __init__(
        self,
        service: AdviceService,
        call_peer: CallPeer,
        *,
        now: Callable[[], float],
    ):
        self._service = service
        self._call_peer = call_peer
        self._now = now
        self._slots: dict[str, _HostSlot] = {"": _HostSlot("", OWN_OVERHEAD_S)}
        self._waiting: list[_Call] = []
        self._numbers = itertools.count()
        self._background = BackgroundTasks()

    @property
    def is_mostly_idle(self) -> bool:
        """Whether most slots are idle and no call waits."""
        idle = sum(not slot.busy for slot in self._slots.values())
        return not self._waiting and 2 * idle > len(self._slots)

    def set_peers(self, addresses: Sequence[str]) -> None:
        """Sets the peers that calls may be assigned to."""
        for address in addresses:
            self._slots.setdefault(address, _HostSlot(address, PEER_OVERHEAD_S))
        for gone in set(self._slots) - {"", *addresses}:
            if not self._slots[gone].busy:
                del self._slots[gone]
        self._dispatch()

    async def request_advice(
        self,
        step: str,
        executors: Sequence[str],
        *,
        priority: int,
        duration_s: float,
    ) -> Advice:
        """Returns the tickets of those executors that may run a step.

        Args:
            step: Name of the step.
            executors: Identifiers of the executors to ask about.
            priority: Priority of the step's queue; 0 is the highest.
            duration_s: Declared duration of the call in seconds.
        """
        fut = asyncio.get_running_loop().create_future()
        call = _Call(
            step,
            tuple(executors),
            priority,
            duration_s,
            next(self._numbers),
            fut,
        )
        self._waiting.append(call)
        self._dispatch()
        return await fut

    def close(self) -> None:
        """Cancels all calls."""
        self._background.cancel()
        for call in self._waiting:
            call.fut.cancel()

    def _dispatch(self) -> None:
        now = self._now()
        idle = [
            slot
            for slot in self._slots.values()
            if not slot.busy and slot.backoff_until <= now
        ]
        idle.sort(key=lambda slot: slot.overhead_s)
        slots = self._slots.values()
        long_calls = sum(slot.busy and slot.is_long for slot in slots)
        most_long = max_long_calls(len(slots))
        for call in sort_calls(self._waiting):
            if not idle:
                return
            is_long = call.duration_s > LONG_CALL_S
            if is_long and long_calls >= most_long:
                continue
            long_calls += is_long
            # Short calls are urgent and get the host with the least overhead.
            slot = idle.pop() if is_long else idle.pop(0)
            slot.busy, slot.is_long = True, is_long
            self._waiting.remove(call)
            self._background.spawn(self._make_call(call, slot))

    async def _make_call(self, call: _Call, slot: _HostSlot) -> None:
        timeout_s = call.duration_s + TIMEOUT_MARGIN_S
        began_at = self._now()
        try:
            if slot.address:
                got = await self._call_peer(
                    slot.address, call.step, call.executors, timeout_s
                )
            else:
                got = await self._service.advise(
                    call.step, call.executors, timeout_s=timeout_s
                )
        except Exception as exc:
            # The step would wait for its advice forever.
            _log.exception("call for advice failed unexpectedly")
            got = failure(Code.TIMED_OUT, f"{type(exc).__name__}: {exc}")
        finally:
            slot.busy = False
        overhead_s = max(0.0, self._now() - began_at - call.duration_s)
        slot.overhead_s += OVERHEAD_WEIGHT * (overhead_s - slot.overhead_s)
        if isinstance(got, Failure):
            failed = got.failure()
            slot.backoff_until = self._now() + FAILED_SLOT_BACKOFF_S
            _log.warning(
                "advice failed",
                extra={
                    "step": call.step,
                    "via": slot.address or "self",
                    "code": failed.code.name,
                    "detail": failed.detail,
                },
            )
            if slot.address and failed.code is not Code.BAD_REQUEST:
                # Retried, since another host may reach the service.
                self._waiting.append(call)
                self._dispatch()
                return
        if not call.fut.done():
            call.fut.set_result(got)
        self._dispatch()


def max_long_calls(slots: int) -> int:
    """Returns the number of hosts that may make long calls.

    Example:
        >>> [max_long_calls(hosts) for hosts in (1, 2, 6, 36)]
        [1, 1, 4, 27]
    """
    return max(1, slots - max(1, math.ceil(SHORT_CALL_SHARE * slots)))


def sort_calls(calls: Sequence[_Call]) -> list[_Call]:
    """Returns calls in the order in which they should be made."""
    return sorted(calls, key=lambda c: (c.priority, c.number))
