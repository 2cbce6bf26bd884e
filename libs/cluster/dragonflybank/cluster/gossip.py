"""Gossip rounds: whom to send the table to, and the loop that does it."""

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
ROUNDS_PER_PRUNING = 120
# Cross-region traffic is slow and billed by volume.
ROUNDS_PER_REMOTE = 4
# Shorter than the time after which a host is dead, so that a silent
# connection is replaced while other peers still carry the host's entry.
CALL_TIMEOUT_S = 1.0


def choose_targets(
    membership: Membership, rng: random.Random, now: float
) -> tuple[str, ...]:
    """Returns the addresses that receive the table in this round.

    Three peers of the own region, of which one gives way to a peer of another
    region on every fourth round, and one join candidate if there is any.
    """
    peers = sorted(membership.peers(now), key=lambda e: e.host)
    near = [e.address for e in peers if e.region == membership.own_entry.region]
    far = [e.address for e in peers if e.region != membership.own_entry.region]
    is_remote = membership.own_entry.counter % ROUNDS_PER_REMOTE == 0 and bool(
        far
    )
    wanted = FANOUT - 1 if is_remote else FANOUT
    chosen = rng.sample(near, min(wanted, len(near)))
    if is_remote:
        chosen.append(rng.choice(far))
    candidates = membership.join_candidates(now)
    if candidates:
        chosen.append(rng.choice(candidates))
    return tuple(chosen)


def gossip_message(entries: Sequence[HostEntry]) -> Gossip:
    """Returns the message for entries, the own one first."""
    return Gossip(entries_to_wire(entries))


class Gossiper:
    """Sends gossip and merges what comes in.

    Attributes:
        membership: The table.
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
        self._in_progress: dict[str, asyncio.Task] = {}

    async def run(self, clock: Clock) -> None:
        """Sends a round every half second until it is cancelled."""
        try:
            for number in itertools.count(1):
                self.send_round(clock)
                if number % ROUNDS_PER_PRUNING == 0:
                    await self._close_unused(clock.now())
                await clock.sleep(ROUND_INTERVAL_S)
        finally:
            for task in self._in_progress.values():
                task.cancel()
            await asyncio.gather(
                *self._in_progress.values(), return_exceptions=True
            )

    def send_round(self, clock: Clock) -> None:
        """Ticks the table and sends it; answers are merged as they come.

        A peer that has not yet answered an earlier round is passed over, so
        that a silent peer holds at most one message.
        """
        now = clock.now()
        self.membership.tick(now)
        self.membership.update_own(summary=self._summary(now))
        message = gossip_message(self.membership.entries_to_send(now))
        for address in choose_targets(self.membership, self._rng, now):
            if address not in self._in_progress:
                task = asyncio.create_task(self._send(address, message, clock))
                self._in_progress[address] = task

    async def handle_gossip(
        self, message: Gossip, now: float
    ) -> Result[Gossip, Problem]:
        """Merges a peer's message; the handler of kind ``gossip``."""
        corrections = self.membership.merge(_decode_entries(message), now)
        return Success(gossip_message(corrections))

    async def announce_leaving(self, clock: Clock) -> None:
        """Sets the own status to leaving and tells every peer at once."""
        self.membership.update_own(status=HostStatus.LEAVING)
        now = clock.now()
        self.membership.tick(now)
        message = gossip_message(self.membership.entries_to_send(now))
        calls = [
            self._links.call_address(
                e.address, message, timeout_s=CALL_TIMEOUT_S
            )
            for e in self.membership.peers(now)
        ]
        await asyncio.gather(*calls)

    async def _close_unused(self, now: float) -> None:
        in_view = {e.address for e in self.membership.peers(now)}
        await self._links.close_all_except(
            in_view | set(self.membership.join_candidates(now))
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
            del self._in_progress[address]


def _decode_entries(message: Gossip) -> tuple[HostEntry, ...]:
    return entries_from_wire(message.entries[:MAX_ENTRIES_PER_MESSAGE])
