"""Links to other hosts with metrics and injected latency."""

__all__ = ["HostLinks"]

import asyncio
from collections.abc import Callable

from returns.result import Failure, Result

from dragonflybank.cluster.links import CountBytes, ignore_bytes
from dragonflybank.cluster.messages import REQUEST_TYPES
from dragonflybank.cluster.peers import PeerLinks
from dragonflybank.host.metrics import HostMetrics
from dragonflybank.model.codes import Code


class HostLinks(PeerLinks):
    """Links of one scheduler host.

    Args:
        host: Name of this host.
        address_of: Returns the peer address of a host, None if unknown.
        metrics: Metrics of this host.
        latency_to: Returns the one-way latency to inject towards an address,
            in seconds; only loopback runs inject any.
        on_bytes: Called with an address and the bytes exchanged with it.
    """

    def __init__(
        self,
        host: str,
        address_of: Callable[[str], str | None],
        *,
        metrics: HostMetrics,
        latency_to: Callable[[str], float] = lambda address: 0.0,
        on_bytes: CountBytes = ignore_bytes,
    ):
        super().__init__(host, address_of, on_bytes=on_bytes)
        self._metrics = metrics
        self._latency_to = latency_to

    async def call_address(self, address, request, *, timeout_s) -> Result:
        """See `PeerLinks.call_address`."""
        one_way_s = self._latency_to(address)
        if one_way_s:
            await asyncio.sleep(one_way_s)
        reply = await super().call_address(
            address, request, timeout_s=timeout_s
        )
        if one_way_s:
            await asyncio.sleep(one_way_s)
        kind = REQUEST_TYPES[type(request)][0].value
        code = reply.failure().code if isinstance(reply, Failure) else Code.OK
        self._metrics.peer_calls.labels(kind, code.name).inc()
        return reply
