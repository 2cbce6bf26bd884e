"""Renewal of a worker's leases and the loops of an owned worker."""

__all__ = ["renew", "serve"]

import asyncio
import logging

from returns.result import Failure

from dragonflybank.cluster.claims import reclaim
from dragonflybank.cluster.clock import Clock
from dragonflybank.cluster.epochs import worker_epoch
from dragonflybank.cluster.events import OnFinished, poll
from dragonflybank.cluster.managed_worker import (
    DropReason,
    OwnedWorker,
    is_problem,
)
from dragonflybank.model.codes import Code
from dragonflybank.model.leases import LEASE_S, RENEW_INTERVAL_S
from dragonflybank.platform.worker import WorkerState

_log = logging.getLogger(__name__)

# Interval of probes while the worker does not answer.
PROBE_INTERVAL_S = 1.0
# Pause after a poll that failed or whose events were not journalled.
POLL_PAUSE_S = 1.0
# Bounds the calls to a worker whose tasks end quickly.
POLL_GAP_S = 0.05
# A start without an answer is settled by a claim when its home has not asked
# for that, so that its room is not lost.
SETTLE_AFTER_S = 10.0
# No lookup runs longer, so the former owner's are over.
LONGEST_LOOKUP_S = 30.0


async def serve(
    worker: OwnedWorker, on_finished: OnFinished, clock: Clock
) -> None:
    """Renews leases and hands on events until the ownership is lost."""
    loops = [
        asyncio.create_task(_renew_all(worker, clock)),
        asyncio.create_task(_poll_all(worker, on_finished, clock)),
        asyncio.create_task(worker.dropped.wait()),
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
        look = await worker.client.state()
        look.map(lambda state: worker.note_vm(state.incarnation))


async def renew(worker: OwnedWorker, now: float) -> None:
    """Renews the leases of a worker's tasks once.

    After a renewal without an answer the worker is only probed, which extends
    no lease; the worst case of the last renewal so stays where it is.

    Args:
        worker: An owned worker.
        now: Present time, which counts as the time of the renewal.
    """
    worker.ended.purge(now)
    worker.ledger.expire(now)
    if now - worker.claimed_at > LONGEST_LOOKUP_S:
        worker.ledger.clear_foreign()
    if worker.contact.is_unconfirmed and not await _probe(worker, now):
        return
    epoch = worker.epoch
    reply = await worker.fenced(
        lambda number: worker.client.renew(epoch=number, lease_s=LEASE_S)
    )
    if not is_problem(reply, Code.UNREACHABLE):
        worker.contact.lease_sent(now)
    if worker.epoch != epoch:
        return
    if isinstance(reply, Failure):
        worker.contact.is_unconfirmed = True
        await _missed(worker, now)
    elif _is_same_vm(worker, reply.unwrap()):
        worker.contact.answered()
        worker.refresh(reply.unwrap())
        await _stop_strays(worker)


async def _renew_all(worker: OwnedWorker, clock: Clock) -> None:
    while worker.is_owned:
        now = clock.now()
        await renew(worker, now)
        if worker.ledger.unsettled_before(now - SETTLE_AFTER_S):
            async with worker.lock:
                await reclaim(worker)
        is_answered = worker.contact.failures == 0
        wait_s = RENEW_INTERVAL_S if is_answered else PROBE_INTERVAL_S
        await clock.sleep(max(0.0, now + wait_s - clock.now()))


async def _poll_all(
    worker: OwnedWorker, on_finished: OnFinished, clock: Clock
) -> None:
    while worker.is_owned:
        is_done = worker.is_reachable and await poll(
            worker, on_finished, clock.now
        )
        await clock.sleep(POLL_GAP_S if is_done else POLL_PAUSE_S)


async def _probe(worker: OwnedWorker, now: float) -> bool:
    """Returns whether the worker answers and is still owned."""
    epoch = worker.epoch
    look = await worker.client.state()
    if worker.epoch != epoch:
        return False
    if isinstance(look, Failure):
        await _missed(worker, now)
        return False
    state = look.unwrap()
    if not _is_same_vm(worker, state):
        return False
    if state.epoch != worker_epoch(epoch):
        if not worker.is_claiming:
            worker.drop(DropReason.STALE)
        return False
    worker.contact.answered()
    return True


async def _stop_strays(worker: OwnedWorker) -> None:
    """Stops tasks whose lease was taken for ended, if they run after all."""
    strays = sorted(worker.given_up & set(worker.tasks))
    if strays:
        _log.warning("stopping %s on %s", strays, worker.name)
        await worker.fenced(
            lambda number: worker.client.stop(strays, epoch=number)
        )


async def _missed(worker: OwnedWorker, now: float) -> None:
    worker.contact.failed()
    if worker.contact.must_verify:
        # Another host may be the owner; only a takeover can count the time.
        worker.drop(DropReason.UNVERIFIED)
        return
    if worker.tasks and await worker.has_lapsed(now):
        worker.lose_tasks("lease lapsed")


def _is_same_vm(worker: OwnedWorker, state: WorkerState) -> bool:
    if state.incarnation == worker.incarnation:
        return True
    _log.info("%s was replaced", worker.name)
    worker.lose_tasks("worker replaced")
    worker.drop(DropReason.REPLACED)
    return False
