"""What the owning host knows of one worker and of its own ownership."""

__all__ = ["DropReason", "OwnedWorker", "is_problem"]

import asyncio
import enum
from collections.abc import Awaitable, Callable

from returns.result import Failure, Result

from dragonflybank.cluster.capacity import CapacityTracker
from dragonflybank.cluster.ended_tasks import EndedTasks
from dragonflybank.cluster.epochs import joined_epoch, worker_epoch
from dragonflybank.cluster.liveness import Contact
from dragonflybank.model.codes import Code, failure
from dragonflybank.model.leases import TaskEvent, TaskState
from dragonflybank.model.resources import Resources
from dragonflybank.model.topology import VmInfo, VmState
from dragonflybank.platform.worker import (
    WorkerClient,
    WorkerState,
    WorkerTask,
)


class DropReason(enum.StrEnum):
    """Why a host is no longer the owner of a worker."""

    STALE = "stale epoch"
    RELEASED = "handed over"
    REPLACED = "worker replaced"
    UNVERIFIED = "not confirmed after a pause"
    FAILED = "session failed"


class OwnedWorker:
    """One worker, its capacity and the epoch under which it is owned.

    Args:
        info: The worker's row of the VM list.
        client: The worker.
        host: Name of the own host.
        lookup_reserve: Slots that patient work cannot take.
        is_denied: Asks all hosts in view at the present time and returns
            whether each denies that it owns the worker; None if there is no
            other host.

    Attributes:
        info: The worker's row of the VM list.
        host: Name of the own host.
        epoch: Epoch under which this host owns the worker, 0 if it does not.
        incarnation: The worker's incarnation at the last claim.
        unexplained: Ids of running tasks of the claim's list that no home has
            accounted for; they count as used.
        ledger: Capacity.
        contact: Answered and unanswered calls.
        ended: Tasks whose end is known.
        unreported: Ids of ended tasks of the claim's list whose events have
            not come yet.
        lost: Ends of tasks that the worker can no longer report.
        given_up: Ids of tasks that were reported as lost or lapsed; one that
            runs after all is stopped.
        client: The worker.
        lock: Serialises starts and claims.
        dropped: Set while this host is not the owner.
        closing_until: Time until which a handover keeps new work away.
        claimed_at: Time of the last claim.
        is_claiming: Whether a claim that raises the own epoch has no answer
            yet.
        drop_reason: Why the ownership ended last.
    """

    def __init__(
        self,
        info: VmInfo,
        client: WorkerClient,
        *,
        host: str,
        lookup_reserve: int = 2,
        is_denied: Callable[[float], Awaitable[bool]] | None = None,
    ):
        self.info = info
        self.client = client
        self.host = host
        self.epoch = 0
        self.incarnation = ""
        self.unexplained: set[str] = set()
        self.ledger = CapacityTracker(info.size, lookup_reserve=lookup_reserve)
        self.contact = Contact()
        self.ended = EndedTasks()
        self.lock = asyncio.Lock()
        self._is_denied = is_denied
        self.unreported: set[str] = set()
        self.lost: dict[str, TaskEvent] = {}
        self.given_up: set[str] = set()
        self.dropped = asyncio.Event()
        self.dropped.set()
        self.is_claiming = False
        self.drop_reason: DropReason | None = None
        self._told_leaving = False
        self._left_tasks: tuple[str, ...] = ()
        self.closing_until = 0.0
        self.claimed_at = 0.0

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
        """Whether the VM list or the worker says that it is leaving."""
        return self._told_leaving or self.info.state is VmState.LEAVING

    @property
    def is_reachable(self) -> bool:
        """Whether the worker answers."""
        return self.contact.is_reachable

    @property
    def size(self) -> Resources:
        """What the worker can hold."""
        return self.ledger.size

    @property
    def free_for_tasks(self) -> Resources:
        """What patient work may take, without the slots kept for lookups."""
        return self.ledger.free_for_tasks

    @property
    def free_for_lookups(self) -> Resources:
        """What lookups may take."""
        return self.ledger.free

    @property
    def tasks(self) -> dict[str, WorkerTask]:
        """Running tasks by id."""
        return self.ledger.tasks

    def refusal(self, now: float) -> Failure | None:
        """Returns why the worker takes no new work, or None if it does."""
        if not self.is_owned:
            return failure(Code.NOT_OWNER, f"{self.name} is not owned here")
        if self.is_leaving:
            return failure(Code.DRAINING, f"{self.name} is leaving")
        if now < self.closing_until:
            return failure(
                Code.NOT_OWNER, f"{self.name} changes owner", retry_after_s=1.0
            )
        if not self.is_reachable:
            return failure(Code.UNREACHABLE, f"{self.name} does not answer")
        return None

    def adopt(self, state: WorkerState) -> None:
        """Becomes the owner with the list of a claim (D2)."""
        if self.is_owned and self.incarnation != state.incarnation:
            self.lose_tasks("worker replaced")
        if self.incarnation and self.incarnation != state.incarnation:
            self.given_up.clear()
        explained = set(self.tasks) - self.unexplained
        self.incarnation = state.incarnation
        self.epoch = joined_epoch(state.incarnation, state.epoch)
        self.ledger.reset(state.size, state.tasks)
        self.unexplained = set(self.tasks) - explained
        self.unreported = {
            t.task_id for t in state.tasks if t.state is not TaskState.RUNNING
        }
        self._told_leaving = state.leaving
        self.closing_until = 0.0
        self.dropped.clear()

    def refresh(self, state: WorkerState) -> None:
        """Takes over what a renewal's answer tells.

        Running tasks that were not known come from starts whose answer was
        lost. No task is removed: the answer may be older than a start.
        """
        self._told_leaving = self._told_leaving or state.leaving
        self.ledger.size = state.size
        for task in state.tasks:
            is_new = task.task_id not in self.tasks
            is_over = task.task_id in self.ended
            if is_new and not is_over and task.state is TaskState.RUNNING:
                self.ledger.add_task(task)
        self.ledger.shrink_foreign(state.usage)

    def end(self, event: TaskEvent) -> None:
        """Frees the room of a task that ended."""
        self.ended.add(event)
        self.ledger.remove_task(event.task_id)
        self.unexplained.discard(event.task_id)
        self.unreported.discard(event.task_id)

    def lose_tasks(self, reason: str) -> None:
        """Takes all running tasks for ended without a report."""
        for task_id in tuple(self.tasks):
            self._lose(task_id, reason)
            self.ledger.remove_task(task_id)

    async def has_lapsed(self, now: float) -> bool:
        """Returns whether every lease of the worker has surely ended.

        Time alone does not tell: while this host was paused, another one may
        have become the owner. So every host in view must deny that it is.
        """
        if not self.contact.has_lapsed(now, owned=self.is_owned):
            return False
        return self._is_denied is None or await self._is_denied(now)

    def note_vm(self, incarnation: str) -> None:
        """Compares the worker's present incarnation with the one owned last.

        A replaced VM refuses the old epoch as another owner's VM would; only
        its incarnation tells that the tasks are gone.
        """
        if self.incarnation and incarnation != self.incarnation:
            self.lose_left_tasks("worker replaced")
        self._left_tasks = ()

    def lose_left_tasks(self, reason: str) -> None:
        """Takes the tasks of a dropped ownership for ended."""
        for task_id in self._left_tasks:
            self._lose(task_id, reason)
        self._left_tasks = ()

    def drop(self, reason: DropReason) -> None:
        """Stops being the owner."""
        if not self.is_owned:
            return
        self.epoch = 0
        self._left_tasks = tuple(self.tasks)
        self.drop_reason = reason
        self.unexplained = set()
        self.unreported = set()
        self.ended.clear()
        self.ledger.reset(self.ledger.size, ())
        self.dropped.set()

    async def fenced(self, call: Callable[[int], Awaitable[Result]]) -> Result:
        """Makes a call with the worker's epoch; drops a lost ownership."""
        epoch = self.epoch
        if not epoch:
            return failure(Code.NOT_OWNER, f"{self.name} is not owned here")
        reply = await call(worker_epoch(epoch))
        is_stale = is_problem(reply, Code.STALE_EPOCH) and self.epoch == epoch
        # A claim of this host on its way may have raised the epoch.
        if is_stale and not self.is_claiming:
            self.drop(DropReason.STALE)
        return reply

    def inherit(self, former: "OwnedWorker") -> None:
        """Takes over what was known of a worker at its former address."""
        if former.is_owned:
            former.drop(DropReason.REPLACED)
        self.incarnation = former.incarnation
        self.lost = former.lost
        self.given_up = former.given_up
        self._left_tasks = former._left_tasks

    def _lose(self, task_id: str, reason: str) -> None:
        self.given_up.add(task_id)
        self.lost[task_id] = TaskEvent(
            task_id, self.name, TaskState.LAPSED, reason=reason
        )


def is_problem(reply: Result, code: Code) -> bool:
    """Returns whether a result is a problem with a code."""
    return isinstance(reply, Failure) and reply.failure().code is code
