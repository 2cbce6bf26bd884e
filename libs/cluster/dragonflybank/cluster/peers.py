"""Calls to other hosts, with one link for each address."""

__all__ = ["PeerLinks", "Peers"]

import abc
from collections.abc import Callable
from typing import Any

from returns.result import Result

from dragonflybank.cluster.links import (
    CountBytes,
    PeerLink,
    call_peer,
    ignore_bytes,
)
from dragonflybank.model.codes import Code, failure


class Peers(abc.ABC):
    """Calls to other hosts by name or address; see `PeerLinks`."""

    @abc.abstractmethod
    async def call(
        self, host: str, request: Any, *, timeout_s: float
    ) -> Result:
        """Sends a typed request to a host and returns its typed reply."""

    @abc.abstractmethod
    async def call_address(
        self, address: str, request: Any, *, timeout_s: float
    ) -> Result:
        """Sends a typed request to an address."""


class PeerLinks(Peers):
    """Calls over one link for each peer, opened at the first call.

    Attributes:
        host: Name of this host, the sender of all requests.

    Args:
        host: Name of this host.
        address_of: Returns the peer address of a host, None if unknown.
        on_bytes: Called with an address and the bytes exchanged with it.
    """

    def __init__(
        self,
        host: str,
        address_of: Callable[[str], str | None],
        *,
        on_bytes: CountBytes = ignore_bytes,
    ):
        self.host = host
        self._on_bytes = on_bytes
        self._address_of = address_of
        self._links: dict[str, PeerLink] = {}

    async def call(
        self, host: str, request: Any, *, timeout_s: float
    ) -> Result:
        """Sends a typed request to a host by name; see `links.call_peer`."""
        address = self._address_of(host)
        if not address:
            return failure(Code.UNREACHABLE, f"address of {host} is unknown")
        return await self.call_address(address, request, timeout_s=timeout_s)

    async def call_address(
        self, address: str, request: Any, *, timeout_s: float
    ) -> Result:
        """Sends a typed request to an address; see `links.call_peer`."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = PeerLink(
                self.host, address, on_bytes=self._on_bytes
            )
        return await call_peer(link, request, timeout_s=timeout_s)

    async def close_all_except(self, addresses: set[str]) -> None:
        """Closes all links but those to the given addresses."""
        for address in set(self._links) - addresses:
            await self._links.pop(address).close()

    async def close(self) -> None:
        """Closes all links."""
        await self.close_all_except(set())
