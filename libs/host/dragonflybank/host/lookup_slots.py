"""Slots of the own executors, given to lookups by earliest deadline."""

__all__ = ["LookupSlots"]

import asyncio
import itertools

from returns.result import Failure, Result, Success

from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.work import WorkClass
from dragonflybank.policy.admission import EdfQueue, QueuedRequest, ServiceTimes

# Without any slot the expected wait is infinite, which JSON cannot carry.
LONGEST_WAIT_S = 60.0


class LookupSlots:
    """Lookups that wait for or hold a slot of this host's executors.

    Attributes:
        executing: Number of lookups that run at an executor now.
    """

    def __init__(self, host):
        self._host = host
        self.executing = 0
        self._times = ServiceTimes()
        self._queue = EdfQueue(0, self._times)
        self._granted: dict[str, asyncio.Future] = {}
        self._numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """Number of lookups that wait for a slot."""
        return len(self._queue)

    def wait_s(self) -> float:
        """Returns the expected wait of a new lookup in seconds."""
        self._count_slots()
        return min(self._queue.expected_wait_s(), LONGEST_WAIT_S)

    def planned_s(self, wc: WorkClass) -> float:
        """Returns the service time to plan for a lookup of a class."""
        return self._times.planned_service_s(
            QueuedRequest("", wc.name, 0.0, wc.expected_s)
        )

    async def acquire(
        self, request_id: str, wc: WorkClass, deadline: float
    ) -> Result[None, Problem]:
        """Waits for a slot; `release` must follow a success.

        Args:
            request_id: Identity of the lookup.
            wc: Its class.
            deadline: Time by which its answer is due, seconds since 1970.

        Returns:
            ``OVERLOADED`` with a time to retry if it would be late, ``FULL``
            if the host leaves; the lookup did not run then.
        """
        self._count_slots()
        key = f"{request_id}/{next(self._numbers)}"
        now = self._host.clock()
        offered = self._queue.enqueue(
            QueuedRequest(key, wc.name, deadline, wc.expected_s), now
        )
        if isinstance(offered, Failure):
            return offered
        fut = asyncio.get_running_loop().create_future()
        self._granted[key] = fut
        self.pump()
        try:
            async with asyncio.timeout(max(0.0, deadline - now)):
                return await fut
        except TimeoutError:
            self._give_back(key, fut)
            return failure(
                Code.OVERLOADED, "no slot in time", retry_after_s=1.0
            )
        except asyncio.CancelledError:
            self._give_back(key, fut)
            raise
        finally:
            del self._granted[key]

    def release(self, wc: WorkClass, held_s: float) -> None:
        """Gives a slot back.

        Args:
            wc: Class of the lookup.
            held_s: Time for which it held the slot, in seconds.
        """
        self._queue.record_completion(wc.name, held_s)
        self.pump()

    def pump(self) -> None:
        """Gives free slots to waiting lookups, earliest deadline first."""
        self._count_slots()
        while len(self._queue) and self._queue.running < self._queue.slots:
            taken = self._queue.dequeue(self._host.clock())
            for late in taken.late:
                self._settle(
                    late.id,
                    failure(
                        Code.OVERLOADED, "would be late", retry_after_s=0.5
                    ),
                )
            if taken.request is None:
                return
            if not self._settle(taken.request.id, Success(None)):
                self._queue.running -= 1

    def drain(self) -> None:
        """Lets waiting lookups look for room at other hosts."""
        for key in list(self._granted):
            if self._queue.remove(key):
                self._settle(key, failure(Code.FULL, "the host is leaving"))

    def _settle(self, key: str, outcome: Result) -> bool:
        fut = self._granted.get(key)
        if fut is None or fut.done():
            return False
        fut.set_result(outcome)
        return True

    def _give_back(self, key: str, fut: asyncio.Future) -> None:
        """Undoes a wait that ended as its slot was granted, or before."""
        self._queue.remove(key)
        was_granted = fut.done() and not fut.cancelled()
        if was_granted and isinstance(fut.result(), Success):
            self._queue.running -= 1

    def _count_slots(self) -> None:
        ready = self._host.owner.ready_sessions(self._host.clock())
        free = sum(session.free_for_lookups.slots for session in ready)
        self._queue.slots = free + self.executing
