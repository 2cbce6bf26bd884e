"""State that a host keeps of one worker, whether it owns the worker or not."""

__all__ = ["DropReason", "ManagedWorker", "failed_with"]

import asyncio
import enum
from collections.abc import Awaitable, Callable

from returns.result import Failure, Result

from dragonflybank.cluster.capacity import CapacityTracker
from dragonflybank.cluster.epochs import tagged_epoch, worker_epoch
from dragonflybank.cluster.liveness import WorkerLiveness
from dragonflybank.cluster.task_ends import TaskEnds
from dragonflybank.model.codes import Code, failure
from dragonflybank.model.leases import LEASE_S, TaskEvent, TaskState
from dragonflybank.model.resources import Resources
from dragonflybank.model.topology import VmInfo, VmState
from dragonflybank.platform.worker import (
    Fence,
    WorkerClient,
    WorkerState,
    WorkerTask,
)


class DropReason(enum.StrEnum):
    """Why a host is no longer the owner of a worker.

    Attributes:
        STALE: The worker has another epoch, since another host is the owner or
            the worker's VM was replaced.
        RELEASED: This host handed the worker over.
        REPLACED: The worker's VM was replaced or is gone.
        UNVERIFIED: The worker did not confirm the owner after a pause of this
            host.
        FAILED: The loop that maintains the ownership raised an exception.
    """

    STALE = "stale epoch"
    RELEASED = "handed over"
    REPLACED = "worker replaced"
    UNVERIFIED = "not confirmed after a pause"
    FAILED = "session failed"


class ManagedWorker:
    """A worker, its capacity and the epoch under which this host owns it.

    Args:
        info: The worker's row of the VM list.
        client: The worker.
        host: Name of this host.
        lookup_reserve: Slots reserved for lookups.
        is_ownership_denied: Given the current time, asks all other hosts that
            are not dead whether they own the worker and returns whether each
            denied it; None if there is no other host.

    Attributes:
        info: The worker's row of the VM list.
        host: Name of this host.
        epoch: Epoch under which this host owns the worker, 0 if it does not.
        incarnation: The worker's incarnation at the last claim.
        unaccounted_ids: Ids of running tasks that the last claim listed and
            that no shard home has asked for yet; they count as used.
        capacity: Resources in use, reserved and free.
        liveness: Answered and unanswered calls, and times of leases.
        task_ends: Tasks whose end is known.
        unreported_ids: Ids of ended tasks that the last claim listed and whose
            events have not arrived yet.
        lost_events: Ends of tasks that the worker can no longer report, by
            task id.
        presumed_ended_ids: Ids of tasks that were reported as lost or lapsed;
            a task that turns out to run is stopped.
        client: The worker.
        lock: Serialises starts and claims.
        not_owned: Set while this host is not the owner.
        handover_until: Time until which the worker takes no new work because
            of a handover, seconds since 1970.
        claimed_at: Time of the last claim.
        is_claiming: Whether this host is raising the epoch of the worker that
            it owns and has no answer yet.
        drop_reason: Why this host's last ownership ended.
    """

    def __init__(
        self,
        info: VmInfo,
        client: WorkerClient,
        *,
        host: str,
        lookup_reserve: int = 2,
        is_ownership_denied: Callable[[float], Awaitable[bool]] | None = None,
    ):
        self.info = info
        self.client = client
        self.host = host
        self.epoch = 0
        self.incarnation = ""
        self.unaccounted_ids: set[str] = set()
        self.capacity = CapacityTracker(
            info.size, lookup_reserve=lookup_reserve
        )
        self.liveness = WorkerLiveness()
        self.task_ends = TaskEnds()
        self.lock = asyncio.Lock()
        self._is_ownership_denied = is_ownership_denied
        self.unreported_ids: set[str] = set()
        self.lost_events: dict[str, TaskEvent] = {}
        self.presumed_ended_ids: set[str] = set()
        self.not_owned = asyncio.Event()
        self.not_owned.set()
        self.is_claiming = False
        self.drop_reason: DropReason | None = None
        self._reported_leaving = False
        # Tasks that ran when the last ownership ended.
        self._dropped_task_ids: tuple[str, ...] = ()
        self.handover_until = 0.0
        self.claimed_at = 0.0
        # The worker's clock minus this host's, or less.
        self._clock_offset_s = 0.0

    @property
    def name(self) -> str:
        """Name of the worker."""
        return self.info.name

    @property
    def is_owned(self) -> bool:
        """Whether this host is the owner, as far as it knows."""
        return self.epoch != 0

    @property
    def is_leaving(self) -> bool:
        """Whether the VM list or the worker reports that it is leaving."""
        return self._reported_leaving or self.info.state is VmState.LEAVING

    @property
    def is_reachable(self) -> bool:
        """Whether the worker answers calls."""
        return self.liveness.is_reachable

    @property
    def size(self) -> Resources:
        """Total resources of the worker."""
        return self.capacity.size

    @property
    def free_for_tasks(self) -> Resources:
        """Free resources for tasks, without the slots reserved for lookups."""
        return self.capacity.free_for_tasks

    @property
    def free_for_lookups(self) -> Resources:
        """Free resources for lookups."""
        return self.capacity.free

    @property
    def tasks(self) -> dict[str, WorkerTask]:
        """Running tasks by id."""
        return self.capacity.tasks

    def refusal(self, now: float) -> Failure | None:
        """Returns why the worker takes no new work, None if it does."""
        if not self.is_owned:
            return failure(Code.NOT_OWNER, f"{self.name} is not owned here")
        if self.is_leaving:
            return failure(Code.DRAINING, f"{self.name} is leaving")
        if now < self.handover_until:
            return failure(
                Code.NOT_OWNER,
                f"{self.name} is being handed over",
                retry_after_s=1.0,
            )
        if not self.is_reachable:
            return failure(Code.UNREACHABLE, f"{self.name} does not answer")
        return None

    def on_clock_read(self, clock_s: float, now: float) -> None:
        """Records the worker's clock.

        Args:
            clock_s: The clock in an answer of the owned incarnation.
            now: Current time, at or after the arrival of the answer.
        """
        self._clock_offset_s = clock_s - now

    def worker_time(self, now: float) -> float:
        """Returns the time of the worker's clock at ``now``, or earlier."""
        return now + self._clock_offset_s

    def lease_until(self, now: float) -> float:
        """Returns the end of a lease on the worker's clock.

        It ends no later than ``LEASE_S`` after ``now``, up to the difference of
        the clock rates, whenever the worker carries out the call.

        Args:
            now: Time from which the lease counts.
        """
        return self.worker_time(now) + LEASE_S

    def become_owner(self, state: WorkerState) -> None:
        """Makes this host the owner, given the state that a claim returned.

        The worker's task list replaces what was known of its tasks.
        """
        if self.is_owned and self.incarnation != state.incarnation:
            self.mark_tasks_lost("worker replaced")
        if self.incarnation and self.incarnation != state.incarnation:
            self.presumed_ended_ids.clear()
        accounted = set(self.tasks) - self.unaccounted_ids
        self.incarnation = state.incarnation
        self.epoch = tagged_epoch(state.incarnation, state.epoch)
        self.capacity.reset(state.size, state.tasks)
        self.unaccounted_ids = set(self.tasks) - accounted
        self.unreported_ids = {
            t.task_id for t in state.tasks if t.state is not TaskState.RUNNING
        }
        self._reported_leaving = state.leaving
        self.handover_until = 0.0
        self.not_owned.clear()

    def update_from_renewal(self, state: WorkerState) -> None:
        """Updates the state of the worker from the answer to a renewal.

        Unknown running tasks come from starts whose answer was lost. No task
        is removed, since the answer may be older than a start.
        """
        self._reported_leaving = self._reported_leaving or state.leaving
        self.capacity.size = state.size
        for task in state.tasks:
            is_new = task.task_id not in self.tasks
            is_over = task.task_id in self.task_ends
            if is_new and not is_over and task.state is TaskState.RUNNING:
                self.capacity.add_task(task)
        self.capacity.shrink_former_lookups(state.usage)

    def on_task_ended(self, event: TaskEvent) -> None:
        """Records the end of a task and frees its resources."""
        self.task_ends.add(event)
        self.capacity.remove_task(event.task_id)
        self.unaccounted_ids.discard(event.task_id)
        self.unreported_ids.discard(event.task_id)

    def mark_tasks_lost(self, reason: str) -> None:
        """Treats all running tasks as ended without a report of the worker."""
        for task_id in tuple(self.tasks):
            self._mark_lost(task_id, reason)
            self.capacity.remove_task(task_id)

    async def have_leases_expired(self, now: float) -> bool:
        """Returns whether every lease of the worker has certainly expired.

        Time alone does not prove it: while this host was paused, another one
        may have become the owner and renewed the leases. So all other hosts
        must deny that they own the worker.
        """
        if not self.liveness.have_leases_expired(now, is_owned=self.is_owned):
            return False
        return (
            self._is_ownership_denied is None
            or await self._is_ownership_denied(now)
        )

    def check_incarnation(self, incarnation: str) -> None:
        """Marks the tasks of the last ownership as lost if the VM was replaced.

        A replaced VM refuses the old epoch just as a VM with a new owner does;
        only its incarnation shows that the tasks are gone.
        """
        if self.incarnation and incarnation != self.incarnation:
            self.mark_dropped_tasks_lost("worker replaced")
        self._dropped_task_ids = ()

    def mark_dropped_tasks_lost(self, reason: str) -> None:
        """Treats the tasks of the last ownership as ended without a report."""
        for task_id in self._dropped_task_ids:
            self._mark_lost(task_id, reason)
        self._dropped_task_ids = ()

    def drop_ownership(self, reason: DropReason) -> None:
        """Ends the ownership; does nothing if this host is not the owner."""
        if not self.is_owned:
            return
        self.epoch = 0
        self._dropped_task_ids = tuple(self.tasks)
        self.drop_reason = reason
        self.unaccounted_ids = set()
        self.unreported_ids = set()
        self.task_ends.clear()
        self.capacity.reset(self.capacity.size, ())
        self.not_owned.set()

    async def call_fenced(
        self, call: Callable[[Fence], Awaitable[Result]]
    ) -> Result:
        """Calls the worker with the incarnation and epoch that this host owns.

        The ownership is dropped if the worker refuses them as stale.
        """
        epoch = self.epoch
        if not epoch:
            return failure(Code.NOT_OWNER, f"{self.name} is not owned here")
        reply = await call(Fence(self.incarnation, worker_epoch(epoch)))
        is_stale = failed_with(reply, Code.STALE_EPOCH) and self.epoch == epoch
        # The epoch may be stale because this host's own claim in progress has
        # raised it.
        if is_stale and not self.is_claiming:
            self.drop_ownership(DropReason.STALE)
        return reply

    def inherit_history(self, former: "ManagedWorker") -> None:
        """Copies what was known of the worker at its former address."""
        if former.is_owned:
            former.drop_ownership(DropReason.REPLACED)
        self.incarnation = former.incarnation
        self.lost_events = former.lost_events
        self.presumed_ended_ids = former.presumed_ended_ids
        self._dropped_task_ids = former._dropped_task_ids

    def _mark_lost(self, task_id: str, reason: str) -> None:
        self.presumed_ended_ids.add(task_id)
        self.lost_events[task_id] = TaskEvent(
            task_id, self.name, TaskState.LAPSED, reason=reason
        )


def failed_with(reply: Result, code: Code) -> bool:
    """Returns whether a result is a problem with a code."""
    return isinstance(reply, Failure) and reply.failure().code is code
