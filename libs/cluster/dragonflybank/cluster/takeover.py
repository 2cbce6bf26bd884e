"""Taking a worker: its former owner, the claim and unreachable workers (D1)."""

__all__ = ["AcquireOutcome", "acquire", "is_ownership_denied"]

import asyncio
import enum

from returns.result import Failure, Success

from dragonflybank.cluster.claims import claim
from dragonflybank.cluster.clock import Clock
from dragonflybank.cluster.managed_worker import ManagedWorker
from dragonflybank.cluster.membership import Membership
from dragonflybank.cluster.messages import HandoverReply, HandoverRequest
from dragonflybank.cluster.peers import Peers
from dragonflybank.platform.worker import WorkerState

HANDOVER_TIMEOUT_S = 2.0


class AcquireOutcome(enum.StrEnum):
    """How an attempt to take a worker ended."""

    WON = "won"
    LOST = "lost"
    REFUSED = "refused"
    WAITING = "waiting"
    UNREACHABLE = "unreachable"


async def acquire(
    worker: ManagedWorker, membership: Membership, peers: Peers, clock: Clock
) -> AcquireOutcome:
    """Claims a worker if its present owner is dead or agrees.

    Args:
        worker: A worker for which this host ranks first.
        membership: The membership view.
        peers: Other hosts.
        clock: Read after each answer.
    """
    look = await worker.client.state()
    if isinstance(look, Failure):
        worker.liveness.on_no_answer()
        await _count_takeover_time(worker, membership, peers, clock)
        return AcquireOutcome.UNREACHABLE
    worker.liveness.on_answer()
    seen = look.unwrap()
    worker.check_incarnation(seen.incarnation)
    has_other = seen.owner not in ("", worker.host)
    is_live = has_other and not membership.is_dead(seen.owner, clock.now())
    if is_live:
        refused = await _request_handover(worker, seen.owner, peers)
        if refused is not None:
            return refused
    won = await claim(worker, seen)
    if isinstance(won, Failure):
        return AcquireOutcome.UNREACHABLE
    if not won.unwrap():
        return AcquireOutcome.LOST
    _record_claim(worker, seen, is_live, clock.now())
    return AcquireOutcome.WON


async def is_ownership_denied(
    worker: str, membership: Membership, peers: Peers, now: float
) -> bool:
    """Returns whether every host in view denies that it owns a worker."""
    others = [entry.host for entry in membership.peers(now)]
    query = HandoverRequest((worker,), query=True)
    replies = await asyncio.gather(
        *(peers.call(h, query, timeout_s=HANDOVER_TIMEOUT_S) for h in others)
    )
    return all(
        isinstance(reply, Success) and worker in reply.unwrap().released
        for reply in replies
    )


async def _request_handover(
    worker: ManagedWorker, owner: str, peers: Peers
) -> AcquireOutcome | None:
    """Returns None if the live owner has released the worker."""
    reply = await peers.call(
        owner, HandoverRequest((worker.name,)), timeout_s=HANDOVER_TIMEOUT_S
    )
    if isinstance(reply, Failure):
        return AcquireOutcome.REFUSED
    answer: HandoverReply = reply.unwrap()
    if worker.name in answer.released:
        return None
    return (
        AcquireOutcome.WAITING
        if worker.name in answer.waiting
        else AcquireOutcome.REFUSED
    )


def _record_claim(
    worker: ManagedWorker, seen: WorkerState, is_handed_over: bool, now: float
) -> None:
    # The former owner may have renewed the leases until the claim.
    worker.liveness.on_lease_sent(now)
    worker.claimed_at = now
    worker.capacity.clear_former_lookups()
    if not is_handed_over:
        # An owner that hands over has no lookups left; a dead one may.
        worker.capacity.set_former_lookups(seen.usage)


async def _count_takeover_time(
    worker: ManagedWorker, membership: Membership, peers: Peers, clock: Clock
) -> None:
    """Starts the worst case of the last renewal of an unreachable worker.

    This host does not know the owner, so every live host must deny that it
    owns the worker before the time counts.
    """
    before = clock.now()
    asked = {entry.host for entry in membership.peers(before)}
    denied = await is_ownership_denied(worker.name, membership, peers, before)
    now = clock.now()
    if denied and {entry.host for entry in membership.peers(now)} <= asked:
        worker.liveness.on_takeover(now)
        if worker.liveness.have_leases_expired(now, owned=False):
            worker.mark_dropped_tasks_lost("lease lapsed")
    else:
        worker.liveness.taken_over_at = None
