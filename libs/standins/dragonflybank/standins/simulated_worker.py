"""Simulates one worker: tasks under leases, and lookups.

The worker accepts starts that overload it and records each start with its
grant, so that the checks detect an overload.
"""

__all__ = ["SimulatedTask", "SimulatedWorker"]

import asyncio
import time
from collections.abc import Iterable

import attrs

from dragonflybank.model.hashing import digest
from dragonflybank.model.leases import TaskState
from dragonflybank.model.resources import (
    Resources,
    add_resources,
    sum_resources,
)
from dragonflybank.standins.lookup_executor import LOOKUP_GRANT, LookupExecutor
from dragonflybank.standins.records import (
    RecordLog,
    TaskEnded,
    TaskStarted,
)
from dragonflybank.standins.simulation import (
    LaggedUsage,
    PlannedEnd,
    SimulatedRun,
    parse_payload,
    plan_end,
    progress_rate,
)

THROTTLED_RATE = 0.5


@attrs.define(eq=False)
class SimulatedTask:
    """A task from its start until its end is acknowledged.

    Attributes:
        task_id: Identifier of the start.
        work_class: Name of the work class.
        grant: Resources that its lease grants.
        started_at: Seconds since 1970.
        used: Resources in use while it runs; never above the grant.
        state: Running or a final state.
        result: Text of the result if it is done.
        reason: Why it isn't done, once it ended.
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
    run: SimulatedRun | None = None
    lease: asyncio.TimerHandle | None = None


class SimulatedWorker:
    """Simulates the work of one worker.

    Attributes:
        tasks: Tasks by id, from their start until their end is
            acknowledged.
        executor: Executor of its lookups.
        changed: Event that `notify_waiters` sets and replaces when a task
            ends.

    Args:
        worker: Name of the worker.
        size: Resources that the worker can hold.
        log: Records.
        usage_lag_s: Age of the usage that `usage` returns, in seconds.
        lookup_grant: Resources that the worker counts for a running lookup.
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
        self.tasks: dict[str, SimulatedTask] = {}
        self.changed = asyncio.Event()
        self.executor = LookupExecutor(
            worker,
            size,
            log,
            count_task_slots=self._count_task_slots,
            on_change=self._record_usage,
            grant=lookup_grant,
        )
        self._worker = worker
        self._log = log
        self._paused = False
        self._is_sick = False
        self._is_holding_ends = False
        self._held_ends: list[tuple[SimulatedTask, PlannedEnd]] = []
        self._usage = LaggedUsage(usage_lag_s)

    def notify_waiters(self) -> None:
        """Wakes the coroutines that wait for `changed`."""
        self.changed.set()
        self.changed = asyncio.Event()

    def hold_ends(self) -> None:
        """Keeps tasks running beyond their run time until `release_ends`.

        They can still be stopped, and their leases can lapse.
        """
        self._is_holding_ends = True

    def release_ends(self) -> None:
        """Ends the tasks whose run time is over, and no longer holds any.

        On a paused worker they end when it is resumed.
        """
        self._is_holding_ends = False
        self._process_held_ends()

    def set_sick(self, is_sick: bool) -> None:
        """Sets whether tasks and lookups that start from now on fail early."""
        self._is_sick = is_sick
        self.executor.is_sick = is_sick

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
        spec = parse_payload(payload)
        used = Resources(
            cores=min(spec.cores, grant.cores),
            memory_mb=min(spec.memory_mb, grant.memory_mb),
            slots=grant.slots,
            connections=grant.connections,
        )
        task = SimulatedTask(task_id, work_class, grant, now, used)
        planned = plan_end(work_class, payload, grant, is_sick=self._is_sick)
        task.run = SimulatedRun(
            planned.after_s,
            progress_rate(spec, grant),
            lambda: self._end_as_planned(task, planned),
            paused=self._paused,
        )
        self.tasks[task_id] = task
        self._extend_lease(task, lease_s)
        payload_digest = digest(payload.encode())
        record = TaskStarted(
            now, self._worker, task_id, work_class, epoch, grant, payload_digest
        )
        self._log.add(record)
        self._record_usage()

    def renew(self, lease_s: float) -> None:
        """Renews the leases of all running tasks; shortens none."""
        for task in self.running_tasks():
            self._extend_lease(task, lease_s)

    def stop(self, task_ids: Iterable[str], reason: str) -> None:
        """Stops those of the tasks that run; ignores the others."""
        for task in self._running_among(task_ids):
            self._end(task, PlannedEnd(0.0, TaskState.STOPPED, reason))

    def throttle(self, task_ids: Iterable[str]) -> None:
        """Runs tasks at no more than half of their speed."""
        for task in self._running_among(task_ids):
            task.run.set_rate(min(task.run.rate, THROTTLED_RATE))

    def remove_ended(self, task_ids: Iterable[str]) -> None:
        """Removes ended tasks once their ends are acknowledged."""
        wanted = set(task_ids)
        for task in self.unacked_tasks():
            if task.task_id in wanted:
                del self.tasks[task.task_id]

    def pause(self) -> None:
        """Pauses all tasks and lookups; leases expire meanwhile."""
        self._paused = True
        for task in self.running_tasks():
            task.run.pause()
        self.executor.pause()

    def resume(self) -> None:
        """Resumes all tasks and lookups."""
        self._paused = False
        for task in self.running_tasks():
            task.run.resume()
        self.executor.resume()
        self._process_held_ends()

    def fail_all(self) -> None:
        """Fails all tasks and lookups, as the VM is lost."""
        self.executor.fail_all()
        for task in self.running_tasks():
            self._end(task, PlannedEnd(0.0, TaskState.FAILED, "vm_lost"))
        self.tasks.clear()

    def cancel(self) -> None:
        """Cancels all timers without records, at the end of a test."""
        self.pause()
        for task in self.running_tasks():
            task.lease.cancel()

    def running_tasks(self) -> list[SimulatedTask]:
        """Returns the tasks that run now."""
        held = self.tasks.values()
        return [task for task in held if task.state is TaskState.RUNNING]

    def unacked_tasks(self) -> list[SimulatedTask]:
        """Returns the tasks that ended and aren't acknowledged yet."""
        held = self.tasks.values()
        return [task for task in held if task.state is not TaskState.RUNNING]

    def usage(self, now: float) -> Resources:
        """Returns the usage that the worker reports at a time."""
        return self._usage.reported_at(now)

    def _extend_lease(self, task: SimulatedTask, lease_s: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + lease_s
        if task.lease is not None:
            if task.lease.when() >= end:
                return
            task.lease.cancel()
        lapsed = PlannedEnd(0.0, TaskState.LAPSED, "lease_expired")
        task.lease = loop.call_at(end, self._end, task, lapsed)

    def _process_held_ends(self) -> None:
        if self._is_holding_ends or self._paused:
            return
        held, self._held_ends = self._held_ends, []
        for task, planned in held:
            if task.state is TaskState.RUNNING:
                self._end(task, planned)

    def _end_as_planned(self, task: SimulatedTask, planned: PlannedEnd) -> None:
        if self._is_holding_ends:
            self._held_ends.append((task, planned))
        else:
            self._end(task, planned)

    def _end(self, task: SimulatedTask, planned: PlannedEnd) -> None:
        now = time.time()
        task.run.pause()
        task.lease.cancel()
        task.state = planned.state
        task.reason = planned.reason
        task.result = planned.result
        task.run_s = now - task.started_at
        record = TaskEnded(
            now, self._worker, task.task_id, planned.state, planned.reason
        )
        self._log.add(record)
        self._record_usage()
        self.executor.fill_slots()
        self.notify_waiters()

    def _count_task_slots(self) -> int:
        return sum(task.grant.slots for task in self.running_tasks())

    def _running_among(self, task_ids: Iterable[str]) -> list[SimulatedTask]:
        wanted = set(task_ids)
        return [task for task in self.running_tasks() if task.task_id in wanted]

    def _record_usage(self) -> None:
        used = sum_resources(task.used for task in self.running_tasks())
        lookups = self.executor.running
        counts = Resources(slots=lookups, connections=lookups)
        self._usage.record(add_resources(used, counts), time.time())
