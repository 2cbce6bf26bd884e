"""Gossip rounds: choice of the receivers, and the loop that sends the table."""

__all__ = [
    "FANOUT",
    "ROUND_INTERVAL_S",
    "Gossiper",
    "choose_targets",
    "gossip_message",
]

import asyncio
import itertools
import random
from collections.abc import Callable, Sequence

from returns.result import Result, Success

from dragonflybank.cluster.clock import Clock
from dragonflybank.cluster.entries import (
    HostEntry,
    HostStatus,
    entries_from_wire,
    entries_to_wire,
)
from dragonflybank.cluster.membership import MAX_ENTRIES_PER_MESSAGE, Membership
from dragonflybank.cluster.messages import Gossip
from dragonflybank.cluster.peers import PeerLinks
from dragonflybank.model.codes import Problem
from dragonflybank.model.topology import CapacitySummary

ROUND_INTERVAL_S = 0.5
FANOUT = 3
ROUNDS_PER_LINK_CLEANUP = 120
# Traffic between regions is slow and billed by volume.
ROUNDS_PER_REMOTE = 4
# Shorter than the time after which a host counts as dead, so that a connection
# that stopped responding is replaced while other peers still pass on the host's
# entry.
CALL_TIMEOUT_S = 1.0


def choose_targets(
    membership: Membership, rng: random.Random, now: float
) -> tuple[str, ...]:
    """Returns the addresses that receive the table in this round.

    They are three peers of this host's region, or two of them and a peer of
    another region in every fourth round, and a join candidate if there is any.
    """
    peers = sorted(membership.peer_entries(now), key=lambda e: e.host)
    local = [
        e.address for e in peers if e.region == membership.own_entry.region
    ]
    remote = [
        e.address for e in peers if e.region != membership.own_entry.region
    ]
    is_remote = membership.own_entry.counter % ROUNDS_PER_REMOTE == 0 and bool(
        remote
    )
    local_count = FANOUT - 1 if is_remote else FANOUT
    chosen = rng.sample(local, min(local_count, len(local)))
    if is_remote:
        chosen.append(rng.choice(remote))
    candidates = membership.join_candidates(now)
    if candidates:
        chosen.append(rng.choice(candidates))
    return tuple(chosen)


def gossip_message(entries: Sequence[HostEntry]) -> Gossip:
    """Returns the message for entries, the sender's own first."""
    return Gossip(entries_to_wire(entries))


class Gossiper:
    """Sends the membership table to peers and merges what they send.

    Attributes:
        membership: The membership table.

    Args:
        membership: The membership table.
        links: Calls to other hosts.
        rng: Source for the choice of receivers.
        summary: Returns the free capacity of this host's workers at a time,
            None if there is none to send.
    """

    def __init__(
        self,
        membership: Membership,
        links: PeerLinks,
        *,
        rng: random.Random,
        summary: Callable[[float], CapacitySummary | None] = lambda now: None,
    ):
        self.membership = membership
        self._links = links
        self._rng = rng
        self._summary = summary
        self._calls_in_progress: dict[str, asyncio.Task] = {}

    async def run(self, clock: Clock) -> None:
        """Sends the table every half second until it is cancelled."""
        try:
            for number in itertools.count(1):
                self.send_round(clock)
                if number % ROUNDS_PER_LINK_CLEANUP == 0:
                    await self._close_unused_links(clock.now())
                await clock.sleep(ROUND_INTERVAL_S)
        finally:
            for task in self._calls_in_progress.values():
                task.cancel()
            await asyncio.gather(
                *self._calls_in_progress.values(), return_exceptions=True
            )

    def send_round(self, clock: Clock) -> None:
        """Updates the table and sends it; replies are merged as they arrive.

        A peer that has not yet answered an earlier round is skipped, so that at
        most one message to a peer is in progress.
        """
        now = clock.now()
        self.membership.tick(now)
        self.membership.update_own_entry(summary=self._summary(now))
        message = gossip_message(self.membership.entries_to_send(now))
        for address in choose_targets(self.membership, self._rng, now):
            if address not in self._calls_in_progress:
                task = asyncio.create_task(self._send(address, message, clock))
                self._calls_in_progress[address] = task

    async def handle_gossip(
        self, message: Gossip, now: float
    ) -> Result[Gossip, Problem]:
        """Merges a peer's message; handles requests of kind ``gossip``."""
        corrections = self.membership.merge(_decode_entries(message), now)
        return Success(gossip_message(corrections))

    async def announce_leaving(self, clock: Clock) -> None:
        """Sets this host's status to leaving and sends it to every peer."""
        self.membership.update_own_entry(status=HostStatus.LEAVING)
        now = clock.now()
        self.membership.tick(now)
        message = gossip_message(self.membership.entries_to_send(now))
        calls = [
            self._links.call_address(
                e.address, message, timeout_s=CALL_TIMEOUT_S
            )
            for e in self.membership.peer_entries(now)
        ]
        await asyncio.gather(*calls)

    async def _close_unused_links(self, now: float) -> None:
        known = {e.address for e in self.membership.peer_entries(now)}
        await self._links.close_all_except(
            known | set(self.membership.join_candidates(now))
        )

    async def _send(self, address: str, message: Gossip, clock: Clock) -> None:
        try:
            reply = await self._links.call_address(
                address, message, timeout_s=CALL_TIMEOUT_S
            )
            if isinstance(reply, Success):
                self.membership.merge(
                    _decode_entries(reply.unwrap()), clock.now()
                )
        finally:
            del self._calls_in_progress[address]


def _decode_entries(message: Gossip) -> tuple[HostEntry, ...]:
    return entries_from_wire(message.entries[:MAX_ENTRIES_PER_MESSAGE])
