"""Grants executor slots of this host to lookups, earliest deadline first."""

__all__ = ["LookupSlots"]

import asyncio
import itertools

from returns.result import Failure, Result, Success

from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.work import WorkClass
from dragonflybank.policy.admission import EdfQueue, QueuedRequest, ServiceTimes

# Without any slot the expected wait is infinite, which JSON can't represent.
MAX_REPORTED_WAIT_S = 60.0


class LookupSlots:
    """Queue of lookups for the slots of this host's executors.

    Attributes:
        executing: Number of lookups that are running on an executor.
    """

    def __init__(self, host):
        self._host = host
        self.executing = 0
        self._service_times = ServiceTimes()
        self._queue = EdfQueue(0, self._service_times)
        self._waiters: dict[str, asyncio.Future] = {}
        self._wait_numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """Number of lookups that are waiting for a slot."""
        return len(self._queue)

    def expected_wait_s(self) -> float:
        """Returns the expected wait of a new lookup in seconds."""
        self._update_slot_count()
        return min(self._queue.expected_wait_s(), MAX_REPORTED_WAIT_S)

    def planned_service_s(self, wc: WorkClass) -> float:
        """Returns the planned service time of a class in seconds."""
        return self._service_times.planned_service_s(
            QueuedRequest("", wc.name, 0.0, wc.expected_s)
        )

    async def acquire(
        self, request_id: str, wc: WorkClass, deadline: float
    ) -> Result[None, Problem]:
        """Waits for a slot; after a success the caller must call `release`.

        Args:
            request_id: Identifier of the lookup.
            wc: Work class of the lookup.
            deadline: Time by which the answer is due, seconds since 1970.

        Returns:
            Success, or ``OVERLOADED`` with a retry delay if the lookup would be
            late, or ``FULL`` if the host is leaving. After a failure the lookup
            has not run.
        """
        self._update_slot_count()
        key = f"{request_id}/{next(self._wait_numbers)}"
        now = self._host.clock()
        queued = self._queue.enqueue(
            QueuedRequest(key, wc.name, deadline, wc.expected_s), now
        )
        if isinstance(queued, Failure):
            return queued
        fut = asyncio.get_running_loop().create_future()
        self._waiters[key] = fut
        self.grant_free_slots()
        try:
            async with asyncio.timeout(max(0.0, deadline - now)):
                return await fut
        except TimeoutError:
            self._abandon_wait(key, fut)
            return failure(
                Code.OVERLOADED,
                "no slot became free before the deadline",
                retry_after_s=1.0,
            )
        except asyncio.CancelledError:
            self._abandon_wait(key, fut)
            raise
        finally:
            del self._waiters[key]

    def release(self, wc: WorkClass, held_s: float) -> None:
        """Releases a slot.

        Args:
            wc: Work class of the lookup.
            held_s: Time for which the lookup held the slot, in seconds.
        """
        self._queue.record_completion(wc.name, held_s)
        self.grant_free_slots()

    def grant_free_slots(self) -> None:
        """Grants free slots to waiting lookups, earliest deadline first."""
        self._update_slot_count()
        while len(self._queue) and self._queue.running < self._queue.slots:
            dequeued = self._queue.dequeue(self._host.clock())
            for late in dequeued.late:
                self._finish_wait(
                    late.id,
                    failure(
                        Code.OVERLOADED,
                        "the answer would be late",
                        retry_after_s=0.5,
                    ),
                )
            if dequeued.request is None:
                return
            if not self._finish_wait(dequeued.request.id, Success(None)):
                self._queue.running -= 1

    def refuse_waiting(self) -> None:
        """Ends all waits with ``FULL``, so that other hosts are tried."""
        for key in list(self._waiters):
            if self._queue.remove(key):
                self._finish_wait(
                    key, failure(Code.FULL, "the host is leaving")
                )

    def _finish_wait(self, key: str, outcome: Result) -> bool:
        fut = self._waiters.get(key)
        if fut is None or fut.done():
            return False
        fut.set_result(outcome)
        return True

    def _abandon_wait(self, key: str, fut: asyncio.Future) -> None:
        """Removes a wait that ended early; frees its slot if just granted."""
        self._queue.remove(key)
        was_granted = fut.done() and not fut.cancelled()
        if was_granted and isinstance(fut.result(), Success):
            self._queue.running -= 1

    def _update_slot_count(self) -> None:
        ready = self._host.owned_workers.ready_sessions(self._host.clock())
        free = sum(session.free_for_lookups.slots for session in ready)
        self._queue.slots = free + self.executing
