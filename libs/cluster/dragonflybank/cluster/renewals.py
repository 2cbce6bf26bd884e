"""Lease renewal and event polling for a worker that this host owns."""

__all__ = ["maintain_ownership", "renew_leases"]

import asyncio
import logging

from returns.result import Failure

from dragonflybank.cluster.claims import reclaim
from dragonflybank.cluster.clock import Clock
from dragonflybank.cluster.epochs import worker_epoch
from dragonflybank.cluster.events import OnFinished, poll_events
from dragonflybank.cluster.managed_worker import (
    DropReason,
    ManagedWorker,
    failed_with,
)
from dragonflybank.model.codes import Code
from dragonflybank.model.leases import RENEW_INTERVAL_S
from dragonflybank.platform.worker import CALL_TIMEOUT_S, WorkerState

_log = logging.getLogger(__name__)

# Interval of probes while the worker does not answer.
PROBE_INTERVAL_S = 1.0
# Wait after a poll that failed or whose events were not journalled.
POLL_RETRY_DELAY_S = 1.0
# Limits the rate of polls of a worker whose tasks end quickly.
MIN_POLL_INTERVAL_S = 0.05
# Longest time from a renewal to its answer for which the worker's clock in the
# answer is used. It bounds the error of that clock.
MAX_CLOCK_READ_S = 2.0
# An unanswered start keeps its resources until it is resolved. If its home does
# not resolve it within this time, a claim does.
RECLAIM_UNANSWERED_AFTER_S = 10.0
# No lookup runs longer, so the former owner's lookups have ended by then.
MAX_LOOKUP_S = 30.0


async def maintain_ownership(
    worker: ManagedWorker, on_finished: OnFinished, clock: Clock
) -> None:
    """Renews leases and reports ended tasks until the ownership is lost."""
    loops = [
        asyncio.create_task(_renew_loop(worker, clock)),
        asyncio.create_task(_poll_loop(worker, on_finished, clock)),
        asyncio.create_task(worker.not_owned.wait()),
    ]
    try:
        done, _ = await asyncio.wait(loops, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
    finally:
        for task in loops:
            task.cancel()
        await asyncio.gather(*loops, return_exceptions=True)
    if worker.drop_reason is DropReason.STALE:
        state_reply = await worker.client.state()
        state_reply.map(
            lambda state: worker.check_incarnation(state.incarnation)
        )


async def renew_leases(worker: ManagedWorker, now: float) -> WorkerState | None:
    """Renews the leases of a worker's tasks once.

    After an unanswered renewal the worker is first probed, which extends no
    lease. So the time by which all leases have certainly expired doesn't move
    while the worker is unreachable.

    Args:
        worker: An owned worker.
        now: Current time, which counts as the time of the renewal.

    Returns:
        The state in the answer to the renewal, None if there is none.
    """
    worker.task_ends.purge(now)
    worker.capacity.expire(now)
    if now - worker.claimed_at > MAX_LOOKUP_S:
        worker.capacity.clear_former_lookups()
    if worker.liveness.is_renewal_unconfirmed and not await _probe(worker, now):
        return None
    epoch = worker.epoch
    reply = await worker.call_fenced(
        lambda fence: worker.client.renew(
            fence=fence, lease_until_s=worker.lease_until(now)
        )
    )
    if not failed_with(reply, Code.UNREACHABLE):
        worker.liveness.on_lease_sent(now)
    if worker.epoch != epoch:
        return None
    if isinstance(reply, Failure):
        worker.liveness.is_renewal_unconfirmed = True
        await _on_no_answer(worker, now)
        return None
    if not _confirm_same_vm(worker, reply.unwrap()):
        return None
    worker.liveness.on_answer()
    worker.update_from_renewal(reply.unwrap())
    await _stop_presumed_ended(worker)
    return reply.unwrap()


async def _renew_loop(worker: ManagedWorker, clock: Clock) -> None:
    while worker.is_owned:
        now = clock.now()
        renewed = await renew_leases(worker, now)
        answered_at = clock.now()
        # The time of a late reading, as after a pause of this host, is too
        # inexact: the next leases would be too short.
        if renewed is not None and answered_at - now <= MAX_CLOCK_READ_S:
            worker.on_clock_read(renewed.clock_s, answered_at)
        if worker.capacity.has_unanswered_before(
            now - RECLAIM_UNANSWERED_AFTER_S
        ):
            async with worker.lock:
                await reclaim(worker)
        is_answered = worker.liveness.unanswered_calls == 0
        wait_s = RENEW_INTERVAL_S if is_answered else PROBE_INTERVAL_S
        await clock.sleep(max(0.0, now + wait_s - clock.now()))


async def _poll_loop(
    worker: ManagedWorker, on_finished: OnFinished, clock: Clock
) -> None:
    while worker.is_owned:
        is_done = worker.is_reachable and await poll_events(
            worker, on_finished, clock.now
        )
        await clock.sleep(
            MIN_POLL_INTERVAL_S if is_done else POLL_RETRY_DELAY_S
        )


async def _probe(worker: ManagedWorker, now: float) -> bool:
    """Returns whether the worker answers and confirms this host as owner."""
    epoch = worker.epoch
    state_reply = await worker.client.state()
    if worker.epoch != epoch:
        return False
    if isinstance(state_reply, Failure):
        await _on_no_answer(worker, now)
        return False
    state = state_reply.unwrap()
    if not _confirm_same_vm(worker, state):
        return False
    if state.epoch != worker_epoch(epoch):
        if not worker.is_claiming:
            worker.drop_ownership(DropReason.STALE)
        return False
    worker.liveness.on_answer()
    # The clock of this host may have been set since the last reading, and the
    # renewal that follows must not count from that one. The answer arrived
    # within the time-out of the call.
    worker.on_clock_read(state.clock_s, now + CALL_TIMEOUT_S)
    return True


async def _stop_presumed_ended(worker: ManagedWorker) -> None:
    """Stops running tasks that were already reported as lost or lapsed."""
    task_ids = sorted(worker.presumed_ended_ids & set(worker.tasks))
    if task_ids:
        _log.warning(
            "stopping tasks %s on %s, which were reported as ended",
            task_ids,
            worker.name,
        )
        await worker.call_fenced(
            lambda fence: worker.client.stop(task_ids, fence=fence)
        )


async def _on_no_answer(worker: ManagedWorker, now: float) -> None:
    worker.liveness.on_no_answer()
    if worker.liveness.must_verify:
        # Another host may be the owner, so the time until the leases expire can
        # only be counted from a takeover.
        worker.drop_ownership(DropReason.UNVERIFIED)
        return
    if not worker.tasks or not worker.liveness.have_leases_expired(
        now, is_owned=True
    ):
        return
    if await worker.have_leases_expired(now):
        worker.mark_tasks_lost("lease lapsed")
    else:
        # Another host may be the owner and renew the leases. Even if it dies
        # later, the last lease that this host sent decides nothing any more.
        worker.drop_ownership(DropReason.UNVERIFIED)


def _confirm_same_vm(worker: ManagedWorker, state: WorkerState) -> bool:
    """Returns whether the VM is the one owned; drops the ownership if not."""
    if state.incarnation == worker.incarnation:
        return True
    _log.info("VM of worker %s was replaced", worker.name)
    worker.mark_tasks_lost("worker replaced")
    worker.drop_ownership(DropReason.REPLACED)
    return False
