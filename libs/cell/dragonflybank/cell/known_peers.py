"""Other hosts through which a host can read the store.

A host that the store turns away, and whose leader has gone, finds the next
leader by them. The leader knows the hosts that send it sync requests, and its
replies name some of them.
"""

__all__ = ["KnownPeers"]

import asyncio
from collections.abc import Iterable

from dragonflybank.cell.peering import Peers
from dragonflybank.cell.ports import Item
from dragonflybank.cell.relay import read_through_host

# A host that has not sent a sync request for this long is not used.
PEER_SILENCE_LIMIT_S = 2.5
PEERS_ASKED = 3
PEER_READ_TIMEOUT_S = 0.4


class KnownPeers:
    """Addresses of other hosts that were alive recently.

    Args:
        peers: The other hosts.

    Attributes:
        last_sync_at: Times of the last sync requests to this host as leader,
            by address.
        recent: Addresses to ask, the most recent ones last. There is one more
            than is asked, so that a host that finds itself among them has
            enough.
    """

    def __init__(self, peers: Peers):
        self._peers = peers
        self.last_sync_at: dict[str, float] = {}
        self.recent: tuple[str, ...] = ()

    def forget_silent(self, now: float) -> None:
        """Drops hosts that have not sent a sync request of late."""
        self.last_sync_at = {
            address: last_sync_at
            for address, last_sync_at in self.last_sync_at.items()
            if now - last_sync_at < PEER_SILENCE_LIMIT_S
        }
        by_age = sorted(self.last_sync_at, key=self.last_sync_at.get)
        self.learn(by_age[-PEERS_ASKED - 1 :])

    def learn(self, addresses: Iterable[str]) -> None:
        """Replaces the addresses to ask, unless there are none."""
        others = [a for a in addresses if a != self._peers.address]
        self.recent = tuple(others) or self.recent

    async def read(self, key: str) -> Item | None:
        """Reads a key of the store through other hosts.

        Returns:
            The item; None if no host got an answer or the key has no value.
        """
        found = await asyncio.gather(
            *(
                read_through_host(
                    self._peers, address, key, timeout_s=PEER_READ_TIMEOUT_S
                )
                for address in self.recent[-PEERS_ASKED:]
            )
        )
        return next((i for got in found if (i := got.value_or(None))), None)
