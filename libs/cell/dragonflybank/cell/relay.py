"""Access to the store, either directly or through the leader.

The store may refuse single hosts while it serves the others. Such a host sends
its callers' reads and writes through the leader, which can reach the store as
long as it leads.
"""

__all__ = [
    "RelayedStore",
    "read_for_peer",
    "read_through_host",
    "write_for_peer",
]

from collections.abc import Callable

from returns.result import Result

from dragonflybank.cell.messages import (
    READ_KIND,
    WRITE_KIND,
    ReadReply,
    ReadRequest,
    WriteReply,
    WriteRequest,
)
from dragonflybank.cell.peering import Peers
from dragonflybank.cell.ports import Item, Store, Txn, TxnReply
from dragonflybank.model.codes import Code, Problem, failure

# The leader's own store call, and the network time to the leader and back.
RELAY_TIMEOUT_S = 1.2


class RelayedStore:
    """Reads and transactions on behalf of callers.

    Args:
        store: The store.
        peers: The other hosts.
        is_store_answering: Returns whether the store answers this host.
        get_relay_address: Returns the address of the leader if it is another
            host and has answered recently, otherwise an empty string.
    """

    def __init__(
        self,
        store: Store,
        peers: Peers,
        *,
        is_store_answering: Callable[[], bool],
        get_relay_address: Callable[[], str],
    ):
        self._store = store
        self._peers = peers
        self._is_store_answering = is_store_answering
        self._get_relay_address = get_relay_address

    @property
    def is_reachable(self) -> bool:
        """Whether the store can be called, directly or through the leader."""
        return self._is_store_answering() or bool(self._get_relay_address())

    async def get(self, key: str) -> Result[Item | None, Problem]:
        """See `Store.get`."""
        address = self._address_if_relayed()
        if not address:
            return await self._store.get(key)
        got = await read_through_host(
            self._peers, address, key, timeout_s=RELAY_TIMEOUT_S
        )
        return got.lash(_to_store_problem)

    async def probe(self, key: str) -> Result[None, Problem]:
        """See `Store.probe`."""
        if self._address_if_relayed():
            return (await self.get(key)).map(lambda _: None)
        return await self._store.probe(key)

    async def commit(self, txn: Txn) -> Result[TxnReply, Problem]:
        """See `Store.commit`; leases and removals are not relayed."""
        address = self._address_if_relayed()
        if not address:
            return await self._store.commit(txn)
        got = await self._peers.call(
            address,
            WRITE_KIND,
            WriteRequest(dict(txn.expected), dict(txn.puts)),
            WriteReply,
            timeout_s=RELAY_TIMEOUT_S,
        )
        return got.lash(_to_store_problem).map(
            lambda reply: TxnReply(reply.revision)
        )

    def _address_if_relayed(self) -> str:
        return "" if self._is_store_answering() else self._get_relay_address()


async def read_through_host(
    peers: Peers, address: str, key: str, *, timeout_s: float
) -> Result[Item | None, Problem]:
    """Reads a key of the store through another host; None if it has no value.

    Args:
        peers: The other hosts.
        address: Address of the host.
        key: The key.
        timeout_s: Time to wait for its answer, in seconds.
    """
    got = await peers.call(
        address, READ_KIND, ReadRequest(key), ReadReply, timeout_s=timeout_s
    )
    return got.map(
        lambda reply: (
            None
            if reply.value is None
            else Item(key, reply.value, reply.revision)
        )
    )


async def read_for_peer(
    store: Store, req: ReadRequest
) -> Result[ReadReply, Problem]:
    """Reads a key on behalf of another host."""
    found = await store.get(req.key)
    return found.map(
        lambda item: (
            ReadReply(item.value, item.revision) if item else ReadReply()
        )
    )


async def write_for_peer(
    store: Store, req: WriteRequest
) -> Result[WriteReply, Problem]:
    """Commits a transaction on behalf of another host."""
    done = await store.commit(Txn(expected=req.expected, puts=req.puts))
    return done.map(lambda reply: WriteReply(reply.revision))


def _to_store_problem(failed: Problem) -> Result:
    """Reports an unreachable leader, which got no call, as for `Store`."""
    if failed.code is Code.UNREACHABLE:
        return failure(Code.STORE_UNAVAILABLE, failed.detail)
    return failure(failed.code, failed.detail)
