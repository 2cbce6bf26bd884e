"""The simulated executor of a worker, which runs lookups on slots."""

__all__ = ["LOOKUP_GRANT", "LookupExecutor"]

import asyncio
import collections
import time
from collections.abc import Callable

import attrs

from dragonflybank.model.hashing import digest
from dragonflybank.model.leases import TaskState
from dragonflybank.model.resources import Resources
from dragonflybank.standins.records import (
    LookupEnded,
    LookupStarted,
    RecordLog,
)
from dragonflybank.standins.simulation import PlannedEnd, SimulatedRun, plan_end

# A lookup counts only as a slot and a connection, since its slot has cores and
# memory of its own.
LOOKUP_GRANT = Resources(slots=1, connections=1)


@attrs.define(eq=False)
class _Lookup:
    request_id: str
    work_class: str
    payload: str
    done: asyncio.Future
    run: SimulatedRun | None = None


class LookupExecutor:
    """Runs lookups on free slots and queues a bounded number of others.

    Attributes:
        is_sick: Whether each lookup that starts now fails early.

    Args:
        worker: Name of the worker.
        size: Size of the worker, with its slots and connections.
        log: Records.
        count_task_slots: Returns the number of slots that tasks hold.
        on_change: Called after a lookup has started or ended on a slot.
        grant: Resources that the worker counts for a running lookup.
    """

    def __init__(
        self,
        worker: str,
        size: Resources,
        log: RecordLog,
        *,
        count_task_slots: Callable[[], int],
        on_change: Callable[[], None],
        grant: Resources = LOOKUP_GRANT,
    ):
        self.is_sick = False
        self._worker = worker
        self._size = size
        self._log = log
        self._count_task_slots = count_task_slots
        self._on_change = on_change
        self._grant = grant
        self._paused = False
        self._running: set[_Lookup] = set()
        self._queue: collections.deque[_Lookup] = collections.deque()

    @property
    def running(self) -> int:
        """Number of lookups that run on slots."""
        return len(self._running)

    def execute(
        self, request_id: str, work_class: str, payload: str
    ) -> asyncio.Future | None:
        """Queues a lookup for a slot.

        Returns:
            A future of its `PlannedEnd`; None if all slots and the accept queue
            are in use.
        """
        if self.running + len(self._queue) >= self._size.connections:
            return None
        done = asyncio.get_running_loop().create_future()
        self._queue.append(_Lookup(request_id, work_class, payload, done))
        self.fill_slots()
        return done

    def fill_slots(self) -> None:
        """Starts queued lookups on free slots."""
        while self._queue and not self._paused and self._count_free_slots() > 0:
            self._start(self._queue.popleft())

    def pause(self) -> None:
        """Pauses all lookups."""
        self._paused = True
        for lookup in self._running:
            lookup.run.pause()

    def resume(self) -> None:
        """Resumes all lookups."""
        self._paused = False
        for lookup in self._running:
            lookup.run.resume()
        self.fill_slots()

    def fail_all(self) -> None:
        """Fails the running lookups and drops the queue, as the VM is lost."""
        self._queue.clear()
        for lookup in tuple(self._running):
            self._end(lookup, PlannedEnd(0.0, TaskState.FAILED, "vm_lost"))

    def _count_free_slots(self) -> int:
        return self._size.slots - self._count_task_slots() - self.running

    def _start(self, lookup: _Lookup) -> None:
        planned = plan_end(
            lookup.work_class, lookup.payload, None, is_sick=self.is_sick
        )
        self._running.add(lookup)
        record = LookupStarted(
            time.time(),
            self._worker,
            lookup.request_id,
            lookup.work_class,
            self._grant,
            digest(lookup.payload.encode()),
        )
        self._log.add(record)
        lookup.run = SimulatedRun(
            planned.after_s, 1.0, lambda: self._end(lookup, planned)
        )
        self._on_change()

    def _end(self, lookup: _Lookup, planned: PlannedEnd) -> None:
        lookup.run.pause()
        self._running.discard(lookup)
        record = LookupEnded(
            time.time(),
            self._worker,
            lookup.request_id,
            planned.state,
            planned.reason,
        )
        self._log.add(record)
        if not lookup.done.done():
            lookup.done.set_result(planned)
        self._on_change()
        self.fill_slots()
