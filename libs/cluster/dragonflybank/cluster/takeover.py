"""Acquisition of a worker: handover by its owner, claim, unreachable workers.

A live owner is asked to hand the worker over before the claim; a dead one is
not. An unreachable worker can't be claimed; its leases are certain to expire
once no host renews them.
"""

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
    """How an attempt to acquire a worker ended.

    Attributes:
        WON: This host is the owner now.
        LOST: Another claim raised the worker's epoch first.
        REFUSED: The live owner keeps the worker, or did not answer.
        WAITING: The live owner hands the worker over as soon as its calls in
            progress have ended.
        UNREACHABLE: The worker did not answer.
    """

    WON = "won"
    LOST = "lost"
    REFUSED = "refused"
    WAITING = "waiting"
    UNREACHABLE = "unreachable"


async def acquire(
    worker: ManagedWorker, membership: Membership, peers: Peers, clock: Clock
) -> AcquireOutcome:
    """Claims a worker if its current owner is dead or hands it over.

    Args:
        worker: A worker for which this host ranks first.
        membership: The membership table of this host.
        peers: Calls to other hosts.
        clock: Read after each answer.
    """
    state_reply = await worker.client.state()
    if isinstance(state_reply, Failure):
        worker.liveness.on_no_answer()
        await _count_takeover_time(worker, membership, peers, clock)
        return AcquireOutcome.UNREACHABLE
    worker.liveness.on_answer()
    seen = state_reply.unwrap()
    worker.check_incarnation(seen.incarnation)
    has_other_owner = seen.owner not in ("", worker.host)
    has_live_owner = has_other_owner and not membership.is_dead(
        seen.owner, clock.now()
    )
    if has_live_owner:
        refused = await _request_handover(worker, seen.owner, peers)
        if refused is not None:
            return refused
    claimed = await claim(worker, seen)
    if isinstance(claimed, Failure):
        return AcquireOutcome.UNREACHABLE
    if not claimed.unwrap():
        return AcquireOutcome.LOST
    _record_claim(worker, seen, has_live_owner, clock.now())
    return AcquireOutcome.WON


async def is_ownership_denied(
    worker: str, membership: Membership, peers: Peers, now: float
) -> bool:
    """Returns whether all hosts that are not dead deny owning a worker."""
    others = [entry.host for entry in membership.peer_entries(now)]
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
    """Asks a live owner for a worker; returns None if it was released."""
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
    # The claim is won only on the incarnation whose clock was seen.
    worker.on_clock_read(seen.clock_s, now)
    # The former owner may have renewed the leases until just before the claim.
    worker.liveness.on_lease_sent(now)
    worker.claimed_at = now
    worker.capacity.clear_former_lookups()
    if not is_handed_over:
        # An owner hands over only without lookups in progress, but lookups of
        # a dead owner may still run.
        worker.capacity.set_former_lookups(seen.usage)


async def _count_takeover_time(
    worker: ManagedWorker, membership: Membership, peers: Peers, clock: Clock
) -> None:
    """Counts the time until an unreachable worker's leases have expired.

    This host does not know the owner. The time counts only once all other
    hosts deny that they own the worker and so renew no leases.
    """
    before = clock.now()
    asked_hosts = {entry.host for entry in membership.peer_entries(before)}
    is_denied = await is_ownership_denied(
        worker.name, membership, peers, before
    )
    now = clock.now()
    if (
        is_denied
        and {entry.host for entry in membership.peer_entries(now)}
        <= asked_hosts
    ):
        worker.liveness.on_takeover(now)
        if worker.liveness.have_leases_expired(now, is_owned=False):
            worker.mark_dropped_tasks_lost("lease lapsed")
    else:
        worker.liveness.taken_over_at = None
