"""Requests between the hosts of a cell."""

__all__ = ["NngPeers", "Peers", "RequestHandler"]

import abc
import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from returns.result import Result

from dragonflybank.cluster.links import PeerLink, PeerServer, typed_handler
from dragonflybank.cluster.messages import decode_reply, encode

# Waiting questions of all other hosts and calls for advice.
CONTEXTS = 96
# A machine that is up refuses a connection within a round trip, 24 ms between
# regions; a slow one may take longer.
REFUSAL_LIMIT_S = 0.3

RequestHandler = Callable[[str, Any], Awaitable[Result]]


class Peers(abc.ABC):
    """The other hosts of a cell.

    Attributes:
        address: Where other hosts reach this one.
    """

    address: str

    @abc.abstractmethod
    def serve(
        self, handlers: Mapping[str, tuple[type, RequestHandler]]
    ) -> None:
        """Answers requests.

        Args:
            handlers: For each kind of request, its class and what answers it,
                given the name of the sender and the request.
        """

    @abc.abstractmethod
    async def call(
        self,
        address: str,
        kind: str,
        request: Any,
        reply_class: type,
        *,
        timeout_s: float,
    ) -> Result:
        """Returns the answer of the host at an address."""

    @abc.abstractmethod
    async def has_process_exited(self, address: str) -> bool:
        """Returns whether the process at an address has surely ended.

        A process that does not answer, or cannot be reached, may live.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""


class NngPeers(Peers):
    """Other hosts over nng sockets.

    Args:
        name: Name of this host.
        ip: IP number to listen on.
        port: Port to listen on, 0 for one that the kernel chooses.
    """

    def __init__(self, name: str, ip: str, port: int):
        self.address = f"{ip}:{port}"
        self._name = name
        self._ip = ip
        self._server = PeerServer(ip, port, contexts=CONTEXTS)
        self._links: dict[str, PeerLink] = {}

    def serve(
        self, handlers: Mapping[str, tuple[type, RequestHandler]]
    ) -> None:
        """See `Peers.serve`."""
        self._server.serve(
            {
                kind: typed_handler(request_class, handler)
                for kind, (request_class, handler) in handlers.items()
            }
        )
        self.address = f"{self._ip}:{self._server.port}"

    async def call(
        self,
        address: str,
        kind: str,
        request: Any,
        reply_class: type,
        *,
        timeout_s: float,
    ) -> Result:
        """See `Peers.call`."""
        if address not in self._links:
            self._links[address] = PeerLink(self._name, address)
        raw = await self._links[address].call(
            kind, encode(request), timeout_s=timeout_s
        )
        return raw.bind(lambda reply: decode_reply(reply, reply_class))

    async def has_process_exited(self, address: str) -> bool:
        """See `Peers.has_process_exited`.

        The process has exited if its machine refuses connections to the port.
        """
        link = self._links.get(address)
        if link is not None and link.is_connected:
            return False
        ip, port = address.rsplit(":", 1)
        try:
            async with asyncio.timeout(REFUSAL_LIMIT_S):
                _, writer = await asyncio.open_connection(ip, int(port))
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.close()
        return False

    async def close(self) -> None:
        """See `Peers.close`."""
        for link in self._links.values():
            await link.close()
        await self._server.close()
