"""Claims of a worker, and what they decide about earlier starts.

A claim raises the worker's epoch, which fences every call with an earlier
epoch or for an earlier VM. The worker's answer to the claim lists its tasks. A
start with an earlier epoch that is not in the list did not take effect and
never will.
"""

__all__ = ["claim", "reclaim", "resolve"]

from returns.result import Failure, Result, Success

from dragonflybank.cluster.epochs import is_same_incarnation, worker_epoch
from dragonflybank.cluster.managed_worker import (
    DropReason,
    ManagedWorker,
    failed_with,
)
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.leases import Resolution, ResolutionKind
from dragonflybank.model.work import StartRecord
from dragonflybank.platform.worker import ClaimResult, Fence, WorkerState


async def claim(
    worker: ManagedWorker, seen: WorkerState
) -> Result[bool, Problem]:
    """Claims a worker if its epoch is still the one that was seen.

    Returns:
        Whether this host is the owner now; or the problem of the call, after
        which the claim may still have taken effect.
    """
    async with worker.lock:
        reply = await worker.client.claim(worker.host, fence=seen.fence)
        if isinstance(reply, Failure):
            return reply
        claimed = reply.unwrap()
        if claimed.won:
            worker.become_owner(claimed.state)
        return Success(claimed.won)


async def reclaim(worker: ManagedWorker) -> Result[None, Problem]:
    """Raises the epoch of an owned worker; its lock must be held.

    The task list that the worker returns is final for every earlier epoch, so
    it decides about all unanswered starts.
    """
    worker.is_claiming = True
    try:
        reply = await _claim_next_epoch(worker)
    finally:
        worker.is_claiming = False
    if isinstance(reply, Failure):
        worker.liveness.on_no_answer()
        return reply
    claimed = reply.unwrap()
    if not worker.is_owned:
        # The ownership was dropped during the call, so nothing renews the
        # worker's leases any more.
        return failure(
            Code.NOT_OWNER,
            f"ownership of {worker.name} was dropped during the claim",
        )
    if not claimed.won:
        worker.drop_ownership(DropReason.STALE)
        return failure(Code.NOT_OWNER, f"{worker.name} has another owner")
    worker.liveness.on_answer()
    worker.become_owner(claimed.state)
    return Success(None)


async def resolve(
    worker: ManagedWorker, start: StartRecord, now: float
) -> Result[Resolution, Problem]:
    """Decides what became of a start; the worker's lock must be held.

    Args:
        worker: The worker of the start.
        start: The start as the home journalled it.
        now: Current time.

    Returns:
        The resolution, or ``NOT_OWNER`` if another host must decide. The kind
        is ``ADOPTED`` also for an ended task whose event has not arrived yet,
        and ``UNDECIDED`` also for one whose end is already acknowledged.
    """
    if _has_later_owner(worker, start):
        worker.drop_ownership(DropReason.STALE)
    known = _known_resolution(worker, start)
    if known is not None:
        return Success(known)
    if not worker.is_owned:
        return await _resolve_by_lease(worker, start, now)
    fenced = await _ensure_fenced(worker, start)
    if failed_with(fenced, Code.NOT_OWNER):
        return fenced
    if isinstance(fenced, Failure):
        if not _is_same_vm(worker, start):
            # The VM of the start may be a later one with another owner, about
            # whose leases those of this host tell nothing.
            if worker.is_reachable:
                return Success(Resolution(ResolutionKind.UNDECIDED))
            worker.drop_ownership(DropReason.UNVERIFIED)
        return await _resolve_by_lease(worker, start, now)
    known = _known_resolution(worker, start)
    return Success(known or Resolution(_kind_of_absent(worker, start)))


async def _ensure_fenced(
    worker: ManagedWorker, start: StartRecord
) -> Result[None, Problem]:
    """Makes sure that the start can no longer take effect."""
    if not _is_same_vm(worker, start):
        return await _confirm_incarnation(worker)
    if start.epoch < worker.epoch:
        return Success(None)
    return await reclaim(worker)


async def _confirm_incarnation(worker: ManagedWorker) -> Result[None, Problem]:
    """Checks that the worker is still the VM that this host owns."""
    state_reply = await worker.client.state()
    if isinstance(state_reply, Failure):
        worker.liveness.on_no_answer()
        return state_reply
    if state_reply.unwrap().incarnation == worker.incarnation:
        return Success(None)
    worker.mark_tasks_lost("worker replaced")
    worker.drop_ownership(DropReason.REPLACED)
    return failure(Code.NOT_OWNER, f"{worker.name} was replaced")


def _kind_of_absent(
    worker: ManagedWorker, start: StartRecord
) -> ResolutionKind:
    """Returns what became of a start that the worker does not list."""
    if not _is_same_vm(worker, start):
        # The VM on which it may have run is gone, and the task with it.
        return ResolutionKind.LEASE_LAPSED
    if start.epoch >= worker.epoch:
        return ResolutionKind.UNDECIDED
    return ResolutionKind.NOT_STARTED


def _has_later_owner(worker: ManagedWorker, start: StartRecord) -> bool:
    # A start with a later epoch of the same VM proves that another host became
    # the owner meanwhile.
    is_later = _is_same_vm(worker, start) and start.epoch > worker.epoch
    return worker.is_owned and is_later


def _is_same_vm(worker: ManagedWorker, start: StartRecord) -> bool:
    return is_same_incarnation(worker.epoch, start.epoch)


def _known_resolution(
    worker: ManagedWorker, start: StartRecord
) -> Resolution | None:
    if start.task_id in worker.task_ends:
        event = worker.task_ends.event(start.task_id)
        # The end of an acknowledged task is already in the journal of its home.
        kind = (
            ResolutionKind.UNDECIDED
            if event is None
            else ResolutionKind.FINISHED
        )
        return Resolution(kind, event)
    if start.task_id in worker.tasks or start.task_id in worker.unreported_ids:
        worker.unaccounted_ids.discard(start.task_id)
        return Resolution(ResolutionKind.ADOPTED)
    return None


async def _resolve_by_lease(
    worker: ManagedWorker, start: StartRecord, now: float
) -> Result[Resolution, Problem]:
    if await worker.have_leases_expired(now):
        worker.presumed_ended_ids.add(start.task_id)
        return Success(Resolution(ResolutionKind.LEASE_LAPSED))
    if worker.is_owned or worker.liveness.taken_over_at is not None:
        return Success(Resolution(ResolutionKind.UNDECIDED))
    return failure(
        Code.NOT_OWNER, f"{worker.name} is not owned here", retry_after_s=1.0
    )


async def _claim_next_epoch(
    worker: ManagedWorker,
) -> Result[ClaimResult, Problem]:
    fence = Fence(worker.incarnation, worker_epoch(worker.epoch))
    reply = await worker.client.claim(worker.host, fence=fence)
    if failed_with(reply, Code.TIMED_OUT):
        return await _claim_seen_epoch(worker, await worker.client.state())
    is_lost = reply.map(lambda claimed: not claimed.won).value_or(False)
    if is_lost:
        return await _claim_seen_epoch(worker, reply.map(lambda c: c.state))
    return reply


async def _claim_seen_epoch(
    worker: ManagedWorker, state_reply: Result[WorkerState, Problem]
) -> Result[ClaimResult, Problem]:
    """Repeats a claim whose answer was lost, at the epoch that it set.

    The worker reports this host as its owner then. Its current task list
    equals the lost one, since starts wait for the worker's lock.
    """
    if isinstance(state_reply, Failure):
        return state_reply
    seen = state_reply.unwrap()
    if seen.owner != worker.host or seen.incarnation != worker.incarnation:
        return Success(ClaimResult(False, seen))
    return await worker.client.claim(worker.host, fence=seen.fence)
