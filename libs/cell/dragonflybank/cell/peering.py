"""Requests between the hosts of a cell."""

__all__ = ["NngPeers", "Peers", "RequestHandler"]

import abc
import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from returns.result import Result

from dragonflybank.cluster.links import PeerLink, PeerServer, typed_handler
from dragonflybank.cluster.messages import decode_reply, encode

# Concurrent requests: waiting sync requests of all other hosts and calls for
# advice. Only the leader has more than a few.
SERVER_CONTEXTS = 32
MAX_SERVER_CONTEXTS = 2048
# A running machine refuses a connection within one round trip, which is 24 ms
# between regions; a slow machine may take longer.
CONNECT_TIMEOUT_S = 0.3

RequestHandler = Callable[[str, Any], Awaitable[Result]]


class Peers(abc.ABC):
    """Requests to and from the other hosts of a cell.

    Unlike `cluster.peers.Peers`, it knows hosts by address only, and each call
    names the kind of the request and the class of the reply.

    Attributes:
        address: Address at which other hosts reach this host.
    """

    address: str

    @abc.abstractmethod
    def serve(
        self, handlers: Mapping[str, tuple[type, RequestHandler]]
    ) -> None:
        """Starts to answer requests of other hosts.

        Args:
            handlers: For each kind of request, its class and its handler,
                which gets the name of the sender and the request.
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
        """Sends a request to the host at an address and returns its answer.

        Args:
            address: Address of the host's peer socket.
            kind: Kind of the request.
            request: The request.
            reply_class: Class of the answer.
            timeout_s: Time to wait for the answer, in seconds.
        """

    @abc.abstractmethod
    async def has_process_exited(self, address: str) -> bool:
        """Returns whether the process at an address has certainly exited.

        A process that does not answer, or is unreachable, may still be running.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""


class NngPeers(Peers):
    """Requests over nng sockets.

    Args:
        name: Name of this host.
        ip: IP address to listen on.
        port: Port to listen on, 0 for a port that the kernel chooses.
        max_connections: Largest number of connections of other hosts, None
            without a limit.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        port: int,
        *,
        max_connections: int | None = None,
    ):
        self.address = f"{ip}:{port}"
        self._name = name
        self._ip = ip
        self._server = PeerServer(
            ip,
            port,
            contexts=SERVER_CONTEXTS,
            max_contexts=MAX_SERVER_CONTEXTS,
            max_connections=max_connections,
        )
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
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
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
