"""Requests between the hosts of a cell."""

__all__ = ["Answer", "NngPeers", "Peers"]

import abc
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from returns.result import Result

from dragonflybank.cluster.links import PeerLink, PeerServer, typed
from dragonflybank.cluster.messages import decode_reply, encode

# Waiting questions of all other hosts and calls for advice.
CONTEXTS = 96

Answer = Callable[[str, Any], Awaitable[Result]]


class Peers(abc.ABC):
    """The other hosts of a cell.

    Attributes:
        address: Where other hosts reach this one.
    """

    address: str

    @abc.abstractmethod
    def serve(self, answers: Mapping[str, tuple[type, Answer]]) -> None:
        """Answers requests.

        Args:
            answers: For each kind of request, its class and what answers it,
                given the name of the sender and the request.
        """

    @abc.abstractmethod
    async def ask(
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
    async def close(self) -> None:
        """Closes all connections."""


class NngPeers(Peers):
    """Other hosts over nng sockets.

    Args:
        name: Name of this host.
        ip: IP number to listen on.
        port: Port to listen on.
    """

    def __init__(self, name: str, ip: str, port: int):
        self.address = f"{ip}:{port}"
        self._name = name
        self._server = PeerServer(ip, port, contexts=CONTEXTS)
        self._links: dict[str, PeerLink] = {}

    def serve(self, answers: Mapping[str, tuple[type, Answer]]) -> None:
        """See `Peers.serve`."""
        self._server.serve(
            {
                kind: typed(request_class, answer)
                for kind, (request_class, answer) in answers.items()
            }
        )

    async def ask(
        self,
        address: str,
        kind: str,
        request: Any,
        reply_class: type,
        *,
        timeout_s: float,
    ) -> Result:
        """See `Peers.ask`."""
        if address not in self._links:
            self._links[address] = PeerLink(self._name, address)
        raw = await self._links[address].call(
            kind, encode(request), timeout_s=timeout_s
        )
        return raw.bind(lambda reply: decode_reply(reply, reply_class))

    async def close(self) -> None:
        """See `Peers.close`."""
        for link in self._links.values():
            await link.close()
        await self._server.close()
