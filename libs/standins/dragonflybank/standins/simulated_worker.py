"""The tasks that one worker stand-in holds under leases.

The worker refuses no start that overloads it, and records each start with its
grant, so that the checks see an overload.
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
from dragonflybank.standins.lookup_executor import LOOKUP_GRANT, Executor
from dragonflybank.standins.records import (
    RecordLog,
    TaskEnded,
    TaskStarted,
)
from dragonflybank.standins.simulation import (
    Ending,
    LaggedUsage,
    Run,
    ending_of,
    parse_payload,
    rate_of,
)

THROTTLED_RATE = 0.5


@attrs.define(eq=False)
class SimulatedTask:
    """A task from its start until its end is acknowledged.

    Attributes:
        task_id: Identity of the start.
        work_class: Name of the work class.
        grant: Resources that its lease grants.
        started_at: Seconds since 1970.
        used: Resources in use while it runs; never above the grant.
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


class SimulatedWorker:
    """Simulates the work of one worker.

    Attributes:
        tasks: Held tasks by id.
        executor: Its lookups.
        changed: Set and replaced by `notify`, which is called when a task
            ends.

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
        self.tasks: dict[str, SimulatedTask] = {}
        self.changed = asyncio.Event()
        self.executor = Executor(
            worker,
            size,
            log,
            slots_of_tasks=self._slots_of_tasks,
            on_change=self._note_usage,
            grant=lookup_grant,
        )
        self._worker = worker
        self._log = log
        self._paused = False
        self._is_sick = False
        self._usage = LaggedUsage(usage_lag_s)

    def notify(self) -> None:
        """Wakes those who wait for `changed`."""
        self.changed.set()
        self.changed = asyncio.Event()

    def set_sick(self, is_sick: bool) -> None:
        """Sets whether everything fails that is started from now on."""
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
        load = parse_payload(payload)
        used = Resources(
            cores=min(load.cores, grant.cores),
            memory_mb=min(load.memory_mb, grant.memory_mb),
            slots=grant.slots,
            connections=grant.connections,
        )
        task = SimulatedTask(task_id, work_class, grant, now, used)
        ending = ending_of(work_class, payload, grant, is_sick=self._is_sick)
        task.run = Run(
            ending.after_s,
            rate_of(load, grant),
            lambda: self._end(task, ending),
            paused=self._paused,
        )
        self.tasks[task_id] = task
        self._extend_lease(task, lease_s)
        payload_digest = digest(payload.encode())
        record = TaskStarted(
            now, self._worker, task_id, work_class, epoch, grant, payload_digest
        )
        self._log.add(record)
        self._note_usage()

    def renew(self, lease_s: float) -> None:
        """Renews the leases of all running tasks."""
        for task in self.running_tasks():
            self._extend_lease(task, lease_s)

    def stop(self, task_ids: Iterable[str], reason: str) -> None:
        """Stops running tasks; others are passed over."""
        for task in self._running_of(task_ids):
            self._end(task, Ending(0.0, TaskState.STOPPED, reason))

    def throttle(self, task_ids: Iterable[str]) -> None:
        """Runs tasks at no more than half of their speed."""
        for task in self._running_of(task_ids):
            task.run.slow_down(min(task.run.rate, THROTTLED_RATE))

    def forget(self, task_ids: Iterable[str]) -> None:
        """Forgets tasks that ended."""
        wanted = set(task_ids)
        for task in self.unacked_tasks():
            if task.task_id in wanted:
                del self.tasks[task.task_id]

    def pause(self) -> None:
        """Pauses all work; leases go on expiring."""
        self._paused = True
        for task in self.running_tasks():
            task.run.pause()
        self.executor.pause()

    def resume(self) -> None:
        """Continues all work."""
        self._paused = False
        for task in self.running_tasks():
            task.run.resume()
        self.executor.resume()

    def lose(self) -> None:
        """Ends all work because the VM is gone."""
        self.executor.lose()
        for task in self.running_tasks():
            self._end(task, Ending(0.0, TaskState.FAILED, "vm_lost"))
        self.tasks.clear()

    def cancel(self) -> None:
        """Cancels all timers without a record, at the end of a test."""
        self.pause()
        for task in self.running_tasks():
            task.lease.cancel()

    def running_tasks(self) -> list[SimulatedTask]:
        """Returns the tasks that run now."""
        held = self.tasks.values()
        return [task for task in held if task.state is TaskState.RUNNING]

    def unacked_tasks(self) -> list[SimulatedTask]:
        """Returns the tasks that ended and are not acknowledged."""
        held = self.tasks.values()
        return [task for task in held if task.state is not TaskState.RUNNING]

    def usage(self, now: float) -> Resources:
        """Returns the use of the worker as it was before the lag."""
        return self._usage.at(now)

    def _extend_lease(self, task: SimulatedTask, lease_s: float) -> None:
        if task.lease is not None:
            task.lease.cancel()
        lapsed = Ending(0.0, TaskState.LAPSED, "lease_expired")
        task.lease = asyncio.get_running_loop().call_later(
            lease_s, self._end, task, lapsed
        )

    def _end(self, task: SimulatedTask, ending: Ending) -> None:
        now = time.time()
        task.run.pause()
        task.lease.cancel()
        task.state = ending.state
        task.reason = ending.reason
        task.result = ending.result
        task.run_s = now - task.started_at
        record = TaskEnded(
            now, self._worker, task.task_id, ending.state, ending.reason
        )
        self._log.add(record)
        self._note_usage()
        self.executor.fill_slots()
        self.notify()

    def _slots_of_tasks(self) -> int:
        return sum(task.grant.slots for task in self.running_tasks())

    def _running_of(self, task_ids: Iterable[str]) -> list[SimulatedTask]:
        wanted = set(task_ids)
        return [task for task in self.running_tasks() if task.task_id in wanted]

    def _note_usage(self) -> None:
        used = sum_resources(task.used for task in self.running_tasks())
        lookups = self.executor.running
        counts = Resources(slots=lookups, connections=lookups)
        self._usage.note(add_resources(used, counts), time.time())
