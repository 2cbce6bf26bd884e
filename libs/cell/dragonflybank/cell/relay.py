"""The store as a host reaches it, itself or through the leader.

The store may turn single hosts away while it serves the others. Reads and
writes on behalf of callers then go through the leader, which reaches the store
as long as it leads.
"""

__all__ = ["RelayedStore", "read_for_peer", "write_for_peer"]

from collections.abc import Callable

from returns.result import Result

from dragonflybank.cell.messages import (
    READ,
    WRITE,
    ReadReply,
    ReadRequest,
    WriteReply,
    WriteRequest,
)
from dragonflybank.cell.peering import Peers
from dragonflybank.cell.ports import Item, Store, Txn, TxnReply
from dragonflybank.model.codes import Code, Problem, failure

# The leader's own call and the way to it and back.
RELAY_TIMEOUT_S = 1.2


class RelayedStore:
    """Reads and transactions on behalf of callers.

    Args:
        store: The store.
        peers: The other hosts.
        is_answering: Returns whether the store answers this host.
        relay_address: Returns the address of the leader if it has answered
            lately and is another host, or an empty string.
    """

    def __init__(
        self,
        store: Store,
        peers: Peers,
        *,
        is_answering: Callable[[], bool],
        relay_address: Callable[[], str],
    ):
        self._store = store
        self._peers = peers
        self._is_answering = is_answering
        self._relay_address = relay_address

    @property
    def is_reachable(self) -> bool:
        """Whether a call is worth a try."""
        return self._is_answering() or bool(self._relay_address())

    async def get(self, key: str) -> Result[Item | None, Problem]:
        """See `Store.get`."""
        address = self._relay()
        if not address:
            return await self._store.get(key)
        got = await self._peers.call(
            address,
            READ,
            ReadRequest(key),
            ReadReply,
            timeout_s=RELAY_TIMEOUT_S,
        )
        return got.lash(_unsent).map(
            lambda reply: (
                None
                if reply.value is None
                else Item(key, reply.value, reply.revision)
            )
        )

    async def probe(self, key: str) -> Result[None, Problem]:
        """See `Store.probe`."""
        if self._relay():
            return (await self.get(key)).map(lambda _: None)
        return await self._store.probe(key)

    async def commit(self, txn: Txn) -> Result[TxnReply, Problem]:
        """See `Store.commit`; for transactions without leases."""
        address = self._relay()
        if not address:
            return await self._store.commit(txn)
        got = await self._peers.call(
            address,
            WRITE,
            WriteRequest(dict(txn.expected), dict(txn.puts)),
            WriteReply,
            timeout_s=RELAY_TIMEOUT_S,
        )
        return got.lash(_unsent).map(lambda reply: TxnReply(reply.revision))

    def _relay(self) -> str:
        return "" if self._is_answering() else self._relay_address()


async def read_for_peer(
    store: Store, req: ReadRequest
) -> Result[ReadReply, Problem]:
    """Reads a key for another host."""
    found = await store.get(req.key)
    return found.map(
        lambda item: (
            ReadReply(item.value, item.revision) if item else ReadReply()
        )
    )


async def write_for_peer(
    store: Store, req: WriteRequest
) -> Result[WriteReply, Problem]:
    """Carries out a transaction for another host."""
    done = await store.commit(Txn(expected=req.expected, puts=req.puts))
    return done.map(lambda reply: WriteReply(reply.revision))


def _unsent(failed: Problem) -> Result:
    if failed.code is Code.UNREACHABLE:
        return failure(Code.STORE_UNAVAILABLE, failed.detail)
    return failure(failed.code, failed.detail)
