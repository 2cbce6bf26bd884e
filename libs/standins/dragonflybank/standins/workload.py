"""The tasks and lookups that one worker stand-in holds.

The worker refuses no start that overloads it, and records each start with its
grant, so that the checks see an overload.
"""

__all__ = ["LOOKUP_GRANT", "HeldTask", "Workload"]

import asyncio
import collections
import itertools
import time

import attrs

from dragonflybank.model.hashing import digest
from dragonflybank.model.leases import TaskState
from dragonflybank.model.resources import Resources, plus, total
from dragonflybank.standins.records import (
    LookupEnded,
    LookupStarted,
    RecordLog,
    TaskEnded,
    TaskStarted,
)
from dragonflybank.standins.simulation import (
    Load,
    Run,
    expected_result,
    parse_payload,
)

# A lookup runs within its executor's slot, which has processors and memory of
# its own.
LOOKUP_GRANT = Resources(slots=1, connections=1)
# A sick worker fails its work sooner than a healthy one finishes it.
SICK_RUN_S = 0.01
THROTTLED_RATE = 0.5


@attrs.define(eq=False)
class HeldTask:
    """A task from its start until its end is acknowledged.

    Attributes:
        task_id: Identity of the start.
        work_class: Name of the work class.
        grant: Resources that its lease grants.
        started_at: Seconds since 1970.
        used: Resources in use while it runs.
        state: Running or final.
        result: Result text if it is done.
        reason: Why it ended otherwise.
        run_s: Run time in seconds, once it ended.
    """

    task_id: str
    work_class: str
    grant: Resources
    started_at: float
    used: Resources
    state: TaskState = TaskState.RUNNING
    result: str = ""
    reason: str = ""
    run_s: float = 0.0
    run: Run | None = None
    lease: asyncio.TimerHandle | None = None


@attrs.define(eq=False)
class _Lookup:
    request_id: str
    work_class: str
    payload: str
    done: asyncio.Future
    run: Run | None = None


class Workload:
    """Simulates the work of one worker.

    Attributes:
        tasks: Held tasks by id.
        is_sick: Whether everything fails that is started now.
        changed: Set and replaced when a task ends, see `notify`.

    Args:
        worker: Name of the worker.
        size: What the worker can hold.
        log: Records.
        usage_lag_s: Age of the usage that `usage` returns, in seconds.
        lookup_grant: Room that a running lookup takes.
    """

    def __init__(
        self,
        worker: str,
        size: Resources,
        log: RecordLog,
        *,
        usage_lag_s: float = 0.0,
        lookup_grant: Resources = LOOKUP_GRANT,
    ):
        self.worker = worker
        self.size = size
        self.tasks: dict[str, HeldTask] = {}
        self.is_sick = False
        self.changed = asyncio.Event()
        self._log = log
        self._paused = False
        self._lookup_grant = lookup_grant
        self._lookups: set[_Lookup] = set()
        self._queue: collections.deque[_Lookup] = collections.deque()
        self._usage_lag_s = usage_lag_s
        self._usage = collections.deque([(0.0, Resources())])

    def notify(self) -> None:
        """Wakes those who wait for `changed`."""
        self.changed.set()
        self.changed = asyncio.Event()

    def start(
        self,
        task_id: str,
        work_class: str,
        *,
        epoch: int,
        grant: Resources,
        lease_s: float,
        payload: str,
    ) -> None:
        """Starts a task under a lease."""
        now = time.time()
        load = parse_payload(payload)
        used = Resources(
            min(load.cores, grant.cores), min(load.memory_mb, grant.memory_mb)
        )
        task = HeldTask(task_id, work_class, grant, now, used)
        ending = self._ending(load, grant, expected_result(work_class, payload))
        task.run = Run(
            ending.after_s,
            _rate(load.cores, grant.cores),
            lambda: self._end(task, *ending.outcome),
            paused=self._paused,
        )
        self.tasks[task_id] = task
        self._extend_lease(task, lease_s)
        self._log.add(
            TaskStarted(
                now,
                self.worker,
                task_id,
                work_class,
                epoch,
                grant,
                digest(payload.encode()),
            )
        )
        self._note_usage()

    def renew(self, lease_s: float) -> None:
        """Renews the leases of all running tasks."""
        for task in self.running():
            self._extend_lease(task, lease_s)

    def stop(self, task_ids, reason: str) -> None:
        """Stops running tasks; others are passed over."""
        for task in self._running_of(task_ids):
            self._end(task, TaskState.STOPPED, reason)

    def throttle(self, task_ids) -> None:
        """Runs tasks at half of their speed."""
        for task in self._running_of(task_ids):
            task.run.slow_down(min(task.run.rate, THROTTLED_RATE))

    def forget(self, task_ids) -> None:
        """Forgets tasks that ended."""
        for task_id in task_ids:
            task = self.tasks.get(task_id)
            if task is not None and task.state is not TaskState.RUNNING:
                del self.tasks[task_id]

    def execute(
        self, request_id: str, work_class: str, payload: str
    ) -> asyncio.Future | None:
        """Queues a lookup for a slot.

        Returns:
            A future of (state, result or reason); None if all slots and the
            accept queue are in use.
        """
        room = self.size.connections - len(self._lookups) - len(self._queue)
        if room <= 0:
            return None
        done = asyncio.get_running_loop().create_future()
        lookup = _Lookup(request_id, work_class, payload, done)
        self._queue.append(lookup)
        self._fill_slots()
        return done

    def pause(self) -> None:
        """Pauses all work; leases go on expiring."""
        self._paused = True
        for run in self._runs():
            run.pause()

    def resume(self) -> None:
        """Continues all work."""
        self._paused = False
        for run in self._runs():
            run.resume()
        self._fill_slots()

    def lose(self) -> None:
        """Ends all work because the VM is gone."""
        self._queue.clear()
        for task in self.running():
            self._end(task, TaskState.FAILED, "vm_lost")
        for lookup in tuple(self._lookups):
            self._end_lookup(lookup, TaskState.FAILED, "vm_lost")
        self.tasks.clear()

    def cancel(self) -> None:
        """Cancels all timers without a record, at the end of a test."""
        for run in self._runs():
            run.pause()
        for task in self.running():
            task.lease.cancel()

    def running(self) -> list[HeldTask]:
        """Returns the tasks that run now."""
        held = self.tasks.values()
        return [task for task in held if task.state is TaskState.RUNNING]

    def ended(self) -> list[HeldTask]:
        """Returns the tasks that ended and are not acknowledged."""
        held = self.tasks.values()
        return [task for task in held if task.state is not TaskState.RUNNING]

    def usage(self, now: float) -> Resources:
        """Returns the use of the worker as it was before the lag."""
        seen_at = now - self._usage_lag_s
        while len(self._usage) > 1 and self._usage[1][0] <= seen_at:
            self._usage.popleft()
        return self._usage[0][1]

    def _ending(self, load: Load, grant: Resources, result: str) -> "_Ending":
        if self.is_sick:
            after_s = min(load.run_s, SICK_RUN_S)
            return _Ending(after_s, (TaskState.FAILED, "sick_worker"))
        if load.memory_mb > grant.memory_mb:
            after_s = load.run_s * grant.memory_mb / load.memory_mb
            return _Ending(after_s, (TaskState.STOPPED, "size_exceeded"))
        if load.fail:
            return _Ending(load.run_s, (TaskState.FAILED, "task_failed"))
        return _Ending(load.run_s, (TaskState.DONE, "", result))

    def _extend_lease(self, task: HeldTask, lease_s: float) -> None:
        if task.lease is not None:
            task.lease.cancel()
        task.lease = asyncio.get_running_loop().call_later(
            lease_s, self._end, task, TaskState.LAPSED, "lease_expired"
        )

    def _end(
        self, task: HeldTask, state: TaskState, reason: str, result: str = ""
    ) -> None:
        now = time.time()
        task.run.pause()
        task.lease.cancel()
        task.state, task.reason, task.result = state, reason, result
        task.run_s = now - task.started_at
        self._log.add(TaskEnded(now, self.worker, task.task_id, state, reason))
        self._note_usage()
        self._fill_slots()
        self.notify()

    def _fill_slots(self) -> None:
        while self._queue and not self._paused and self._free_slots() > 0:
            self._begin_lookup(self._queue.popleft())

    def _free_slots(self) -> int:
        by_tasks = sum(task.grant.slots for task in self.running())
        return self.size.slots - by_tasks - len(self._lookups)

    def _begin_lookup(self, lookup: _Lookup) -> None:
        load = attrs.evolve(parse_payload(lookup.payload), memory_mb=0)
        result = expected_result(lookup.work_class, lookup.payload)
        ending = self._ending(load, self._lookup_grant, result)
        self._lookups.add(lookup)
        self._log.add(
            LookupStarted(
                time.time(),
                self.worker,
                lookup.request_id,
                lookup.work_class,
                self._lookup_grant,
                digest(lookup.payload.encode()),
            )
        )
        lookup.run = Run(
            ending.after_s,
            1.0,
            lambda: self._end_lookup(lookup, *ending.outcome),
        )
        self._note_usage()

    def _end_lookup(
        self, lookup: _Lookup, state: TaskState, reason: str, result: str = ""
    ) -> None:
        lookup.run.pause()
        self._lookups.discard(lookup)
        self._log.add(
            LookupEnded(
                time.time(), self.worker, lookup.request_id, state, reason
            )
        )
        if not lookup.done.done():
            lookup.done.set_result((state, result or reason))
        self._note_usage()
        self._fill_slots()

    def _running_of(self, task_ids) -> list[HeldTask]:
        wanted = set(task_ids)
        return [task for task in self.running() if task.task_id in wanted]

    def _runs(self):
        held = itertools.chain(self.running(), self._lookups)
        return [work.run for work in held]

    def _note_usage(self) -> None:
        now = time.time()
        used = total(task.used for task in self.running())
        slots = sum(task.grant.slots for task in self.running())
        lookups = len(self._lookups)
        counts = Resources(slots=slots + lookups, connections=slots + lookups)
        self._usage.append((now, plus(used, counts)))
        # Drops entries that no later question can return.
        self.usage(now)


@attrs.frozen
class _Ending:
    after_s: float
    outcome: tuple


def _rate(needed: float, granted: float) -> float:
    return min(1.0, granted / needed) if needed > 0 else 1.0
