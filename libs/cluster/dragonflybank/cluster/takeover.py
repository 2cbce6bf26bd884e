"""Taking a worker: its former owner, the claim and unreachable workers (D1)."""

__all__ = ["Taken", "is_denied", "take"]

import asyncio
import enum

from returns.result import Failure, Success

from dragonflybank.cluster.claims import claim
from dragonflybank.cluster.clock import Clock
from dragonflybank.cluster.managed_worker import OwnedWorker
from dragonflybank.cluster.membership import Membership
from dragonflybank.cluster.messages import HandoverReply, HandoverRequest
from dragonflybank.cluster.peers import Peers
from dragonflybank.platform.worker import WorkerState

HANDOVER_TIMEOUT_S = 2.0


class Taken(enum.StrEnum):
    """How an attempt to take a worker ended."""

    WON = "won"
    LOST = "lost"
    REFUSED = "refused"
    WAITING = "waiting"
    UNREACHABLE = "unreachable"


async def take(
    worker: OwnedWorker, membership: Membership, peers: Peers, clock: Clock
) -> Taken:
    """Claims a worker if its present owner is dead or agrees.

    Args:
        worker: A worker for which this host ranks first.
        membership: The membership view.
        peers: Other hosts.
        clock: Read after each answer.
    """
    look = await worker.client.state()
    if isinstance(look, Failure):
        worker.contact.failed()
        await _count_from_takeover(worker, membership, peers, clock)
        return Taken.UNREACHABLE
    worker.contact.answered()
    seen = look.unwrap()
    worker.note_vm(seen.incarnation)
    has_other = seen.owner not in ("", worker.host)
    is_live = has_other and not membership.is_dead(seen.owner, clock.now())
    if is_live:
        refused = await _ask_owner(worker, seen.owner, peers)
        if refused is not None:
            return refused
    won = await claim(worker, seen)
    if isinstance(won, Failure):
        return Taken.UNREACHABLE
    if not won.unwrap():
        return Taken.LOST
    _count_from_claim(worker, seen, is_live, clock.now())
    return Taken.WON


async def is_denied(
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


async def _ask_owner(
    worker: OwnedWorker, owner: str, peers: Peers
) -> Taken | None:
    """Returns None if the live owner has released the worker."""
    reply = await peers.call(
        owner, HandoverRequest((worker.name,)), timeout_s=HANDOVER_TIMEOUT_S
    )
    if isinstance(reply, Failure):
        return Taken.REFUSED
    answer: HandoverReply = reply.unwrap()
    if worker.name in answer.released:
        return None
    return Taken.WAITING if worker.name in answer.waiting else Taken.REFUSED


def _count_from_claim(
    worker: OwnedWorker, seen: WorkerState, is_handed_over: bool, now: float
) -> None:
    # The former owner may have renewed the leases until the claim.
    worker.contact.lease_sent(now)
    worker.claimed_at = now
    worker.ledger.clear_foreign()
    if not is_handed_over:
        # An owner that hands over has no lookups left; a dead one may.
        worker.ledger.set_foreign(seen.usage)


async def _count_from_takeover(
    worker: OwnedWorker, membership: Membership, peers: Peers, clock: Clock
) -> None:
    """Starts the worst case of the last renewal of an unreachable worker.

    This host does not know the owner, so every live host must deny that it
    owns the worker before the time counts.
    """
    before = clock.now()
    asked = {entry.host for entry in membership.peers(before)}
    denied = await is_denied(worker.name, membership, peers, before)
    now = clock.now()
    if denied and {entry.host for entry in membership.peers(now)} <= asked:
        worker.contact.take_over(now)
        if worker.contact.has_lapsed(now, owned=False):
            worker.lose_left_tasks("lease lapsed")
    else:
        worker.contact.taken_over_at = None
