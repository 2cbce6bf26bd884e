"""Calls for advice, distributed over the hosts of the cell.

The advice service handles one call at a time per calling host, so the hosts are
slots for calls. No call waits in a queue here: the leader asks for a slot in
each round, in the order of its steps, and a step without a slot asks again in a
later round. Otherwise calls would be made for steps that have become late or
were cancelled, and capacity would be reserved while they wait.

Some slots are reserved for short calls, which urgent steps need. Short calls
are pipelined: a host gets the next one while the answer to the last one is on
its way.
"""

__all__ = [
    "AdviceDispatcher",
    "AdviceSlot",
    "CallPeer",
    "is_long_call",
    "max_long_calls",
]

import logging
import math
from collections.abc import Awaitable, Callable, Mapping, Sequence

import attrs
from returns.result import Failure, Result

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
# Share of the slots for long calls that one priority may use while steps of a
# lower priority ask for slots in vain.
PRIORITY_SHARE = 0.7
# A refused request for a slot counts as demand for this long. Rounds follow
# each other within 0.25 s.
DEMAND_MEMORY_S = 0.5
# The round trip between regions takes longer than a short call.
SHORT_CALLS_PER_HOST = 2
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
class AdviceSlot:
    """A host that makes calls.

    Attributes:
        address: Peer address of the host, or an empty string for this host.
        overhead_s: Average time that its calls take beyond the declared
            duration, in seconds.
        short_calls: Number of short calls in progress.
        long_priority: Priority of the step whose long call is in progress;
            None without one.
        backoff_until: Time before which it gets no call.
    """

    address: str
    overhead_s: float
    short_calls: int = 0
    long_priority: int | None = None
    backoff_until: float = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether no call is in progress."""
        return not self.short_calls and self.long_priority is None


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
        self._slots: dict[str, AdviceSlot] = {
            "": AdviceSlot("", OWN_OVERHEAD_S)
        }
        # Time of the last refused request for a slot for a long call, by
        # priority.
        self._refused_at: dict[int, float] = {}

    @property
    def slots(self) -> int:
        """Number of hosts that make calls."""
        return len(self._slots)

    @property
    def idle_slots(self) -> int:
        """Number of hosts without a call in progress."""
        return sum(slot.is_idle for slot in self._slots.values())

    @property
    def is_mostly_idle(self) -> bool:
        """Whether most hosts make no call and no step asked in vain."""
        now = self._now()
        return 2 * self.idle_slots > len(self._slots) and all(
            now - at > DEMAND_MEMORY_S for at in self._refused_at.values()
        )

    def set_peers(self, addresses: Sequence[str]) -> None:
        """Sets the peers that calls may be assigned to."""
        for address in addresses:
            self._slots.setdefault(
                address, AdviceSlot(address, PEER_OVERHEAD_S)
            )
        for gone in set(self._slots) - {"", *addresses}:
            if self._slots[gone].is_idle:
                del self._slots[gone]

    def acquire_slot(
        self, *, priority: int, duration_s: float, now: float
    ) -> AdviceSlot | None:
        """Returns a slot for a call, or None if the call has to wait.

        Each slot must be used for one call of `request_advice`.

        Args:
            priority: Priority of the step's queue; 0 is the highest.
            duration_s: Declared duration of the call in seconds.
            now: Current time.
        """
        usable = [s for s in self._slots.values() if s.backoff_until <= now]
        if is_long_call(duration_s):
            slot = self._find_long_slot(usable, priority, now)
            if slot is None:
                self._refused_at[priority] = now
            else:
                slot.long_priority = priority
            return slot
        # Short calls are urgent and get the host with the least overhead.
        free = [
            s
            for s in usable
            if s.long_priority is None and s.short_calls < SHORT_CALLS_PER_HOST
        ]
        slot = min(
            free, key=lambda s: (s.short_calls, s.overhead_s), default=None
        )
        if slot is not None:
            slot.short_calls += 1
        return slot

    async def request_advice(
        self,
        slot: AdviceSlot,
        step: str,
        executors: Sequence[str],
        *,
        duration_s: float,
    ) -> Advice:
        """Returns the tickets of those executors that may run a step.

        Args:
            slot: Slot for this call.
            step: Name of the step.
            executors: Identifiers of the executors to ask about.
            duration_s: Declared duration of the call in seconds.
        """
        # The service handles the calls of a host in turn.
        in_turn = max(1, slot.short_calls)
        timeout_s = in_turn * duration_s + TIMEOUT_MARGIN_S
        began_at = self._now()
        try:
            if slot.address:
                got = await self._call_peer(
                    slot.address, step, executors, timeout_s
                )
            else:
                got = await self._service.advise(
                    step, executors, timeout_s=timeout_s
                )
        except Exception as exc:
            # The step would wait for its advice forever.
            _log.exception("call for advice failed unexpectedly")
            got = failure(Code.TIMED_OUT, f"{type(exc).__name__}: {exc}")
        finally:
            if is_long_call(duration_s):
                slot.long_priority = None
            else:
                slot.short_calls -= 1
        overhead_s = max(0.0, self._now() - began_at - duration_s)
        slot.overhead_s += OVERHEAD_WEIGHT * (overhead_s - slot.overhead_s)
        if isinstance(got, Failure):
            slot.backoff_until = self._now() + FAILED_SLOT_BACKOFF_S
            _log.warning(
                "advice failed",
                extra={
                    "step": step,
                    "via": slot.address or "self",
                    "code": got.failure().code.name,
                    "detail": got.failure().detail,
                },
            )
        return got

    def _find_long_slot(
        self, usable: list[AdviceSlot], priority: int, now: float
    ) -> AdviceSlot | None:
        in_progress = [
            slot.long_priority
            for slot in self._slots.values()
            if slot.long_priority is not None
        ]
        most = max_long_calls(len(self._slots))
        if len(in_progress) >= most:
            return None
        is_lower_waiting = any(
            lower > priority and now - at <= DEMAND_MEMORY_S
            for lower, at in self._refused_at.items()
        )
        # At least one slot is left, also if there are only two.
        share = max(1, min(most - 1, math.ceil(PRIORITY_SHARE * most)))
        if is_lower_waiting and in_progress.count(priority) >= share:
            return None
        # The hosts with the least overhead are left to short calls.
        idle = [slot for slot in usable if slot.is_idle]
        return max(idle, key=lambda s: s.overhead_s, default=None)


def is_long_call(duration_s: float) -> bool:
    """Returns whether a call would delay urgent steps on the same host."""
    return duration_s > LONG_CALL_S


def max_long_calls(slots: int) -> int:
    """Returns the number of hosts that may make long calls.

    Example:
        >>> [max_long_calls(hosts) for hosts in (1, 2, 6, 36)]
        [1, 1, 4, 27]
    """
    return max(1, slots - max(1, math.ceil(SHORT_CALL_SHARE * slots)))
