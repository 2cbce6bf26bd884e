"""Connections between scheduler hosts over nng request/reply sockets.

`PeerServer` answers requests with a bounded number of contexts, one task for
each. `PeerLink` sends requests to one peer and replaces its socket after
consecutive timeouts, since a connection may stop responding for good while
new ones work.
"""

__all__ = [
    "CountBytes",
    "Handler",
    "PeerLink",
    "PeerServer",
    "call_peer",
    "ignore_bytes",
    "typed_handler",
]

import asyncio
import contextlib
from typing import Any

import pynng
from returns.result import Result, Success

from dragonflybank.cluster.messages import (
    REQUEST_TYPES,
    decode_reply,
    encode,
    encode_request,
)
from dragonflybank.cluster.server import (
    FRAME_BYTES,
    MAX_MESSAGE_BYTES,
    CountBytes,
    Handler,
    PeerServer,
    ignore_bytes,
    typed_handler,
)
from dragonflybank.model.codes import Code, Problem, failure

TIMEOUTS_BEFORE_RECONNECT = 2
# A host counts as unreachable if no connection is open within this time. The
# round trip between regions is 24 ms.
CONNECT_TIMEOUT_S = 0.5
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
LINK_CONTEXTS = 128


async def call_peer(
    link: "PeerLink", request: Any, *, timeout_s: float
) -> Result:
    """Sends a typed request and returns its typed reply.

    Args:
        link: Link to the peer.
        request: A message of a class in ``messages.REQUEST_TYPES``.
        timeout_s: Time for the whole call in seconds.

    Returns:
        The reply; the peer's problem; or a problem of `PeerLink.call`.
    """
    kind, reply_class = REQUEST_TYPES[type(request)]
    raw = await link.call(kind, encode(request), timeout_s=timeout_s)
    return raw.bind(lambda reply: decode_reply(reply, reply_class))


class PeerLink:
    """A client connection to one peer.

    Attributes:
        address: Address and port, as ``127.0.0.1:7000``.
        reconnects: Number of times the socket was replaced because the peer did
            not answer.

    Args:
        sender: Name of this host.
        address: Address and port of the peer.
        contexts: Largest number of concurrent calls.
        on_bytes: Called with the address and the bytes of each exchange.
    """

    def __init__(
        self,
        sender: str,
        address: str,
        *,
        contexts: int = LINK_CONTEXTS,
        on_bytes: CountBytes = ignore_bytes,
    ):
        self.address = address
        self.reconnects = 0
        self._sender = sender
        self._on_bytes = on_bytes
        self._call_slots = asyncio.Semaphore(contexts)
        self._timeouts = 0
        self._socket: _PeerSocket | None = None
        # Replaced sockets stay open for their calls in progress, which are
        # still answered if the peer is only slow.
        self._retired: set[_PeerSocket] = set()

    @property
    def is_connected(self) -> bool:
        """Whether a connection to the peer is open, as far as nng reports."""
        return self._socket is not None and self._socket.is_connected

    async def call(
        self, kind: str, body: bytes, *, timeout_s: float
    ) -> Result[bytes, Problem]:
        """Sends one request and returns the bytes of its reply.

        Args:
            kind: Kind of the request.
            body: Encoded message.
            timeout_s: Time for the whole call in seconds.

        Returns:
            The reply; ``UNREACHABLE`` if the request was certainly not sent,
            ``TIMED_OUT`` if it may have been.
        """
        raw = encode_request(kind, self._sender, body)
        not_connected = failure(
            Code.UNREACHABLE, f"{self.address} is not connected"
        )
        deadline = asyncio.get_running_loop().time() + timeout_s
        try:
            async with asyncio.timeout_at(deadline):
                await self._call_slots.acquire()
        except TimeoutError:
            return failure(
                Code.UNREACHABLE, f"{self.address}: too many calls in progress"
            )
        peer_socket = self._open_socket()
        try:
            peer_socket.calls += 1
            connect_timeout_s = min(timeout_s, CONNECT_TIMEOUT_S)
            if not await peer_socket.wait_connected(connect_timeout_s):
                return not_connected
            return await self._exchange(peer_socket, raw, deadline)
        finally:
            self._call_slots.release()
            self._end_call(peer_socket)

    async def close(self) -> None:
        """Closes the socket; calls in progress fail with ``TIMED_OUT``."""
        peer_socket, self._socket = self._socket, None
        if peer_socket is not None:
            peer_socket.close()
        for old in tuple(self._retired):
            old.close()
        self._retired.clear()

    def _open_socket(self) -> "_PeerSocket":
        if self._socket is None:
            self._socket = _PeerSocket(self.address)
        return self._socket

    async def _exchange(
        self, peer_socket: "_PeerSocket", raw: bytes, deadline: float
    ) -> Result[bytes, Problem]:
        try:
            async with asyncio.timeout_at(deadline):
                with peer_socket.sock.new_context() as ctx:
                    await ctx.asend(raw)
                    self._on_bytes(self.address, len(raw) + FRAME_BYTES, 0)
                    reply = await ctx.arecv()
        except TimeoutError:
            self._on_timeout(peer_socket)
            return failure(Code.TIMED_OUT, f"no answer from {self.address}")
        except pynng.NNGException as exc:
            return failure(Code.TIMED_OUT, f"{self.address}: {exc}")
        self._timeouts = 0
        self._on_bytes(self.address, 0, len(reply) + FRAME_BYTES)
        return Success(reply)

    def _on_timeout(self, peer_socket: "_PeerSocket") -> None:
        # A timeout on a replaced socket says nothing about the new one.
        if peer_socket is not self._socket:
            return
        self._timeouts += 1
        if self._timeouts >= TIMEOUTS_BEFORE_RECONNECT:
            self._timeouts = 0
            self.reconnects += 1
            self._socket = None
            self._retired.add(peer_socket)

    def _end_call(self, peer_socket: "_PeerSocket") -> None:
        peer_socket.calls -= 1
        if peer_socket in self._retired and not peer_socket.calls:
            self._retired.discard(peer_socket)
            peer_socket.close()


class _PeerSocket:
    """A request socket that tracks whether it is connected.

    Attributes:
        calls: Number of calls in progress.
        sock: The socket.
    """

    def __init__(self, address: str):
        self.calls = 0
        self._loop = asyncio.get_running_loop()
        self._connected = asyncio.Event()
        self.sock = pynng.Req0(
            recv_max_size=MAX_MESSAGE_BYTES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self.sock.add_post_pipe_connect_cb(lambda _: self._set_connected(True))
        self.sock.add_post_pipe_remove_cb(lambda _: self._set_connected(False))
        self.sock.dial(f"tcp://{address}", block=False)

    @property
    def is_connected(self) -> bool:
        """Whether a connection is open."""
        return self._connected.is_set()

    async def wait_connected(self, timeout_s: float) -> bool:
        """Waits for a connection; returns False after ``timeout_s`` seconds."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._connected.wait()
        except TimeoutError:
            return False
        return True

    def close(self) -> None:
        """Closes the socket."""
        self.sock.close()

    def _set_connected(self, connected: bool) -> None:
        # Called in a thread of nng, when the event loop may be closed already.
        change = self._connected.set if connected else self._connected.clear
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(change)
