"""Connections between scheduler hosts over nng request/reply sockets.

`PeerServer` answers requests with a bounded number of contexts, one task for
each. `PeerLink` sends requests to one peer and replaces its socket after
consecutive time-outs, since a connection may go silent for good while new
ones work.
"""

__all__ = [
    "CountBytes",
    "Handler",
    "PeerLink",
    "PeerServer",
    "ask",
    "not_counted",
    "typed",
]

import asyncio
import contextlib
import logging
import socket
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import pynng
from returns.result import Failure, Result, Success

from dragonflybank.cluster.messages import (
    MESSAGES,
    Envelope,
    Kind,
    decode,
    decode_reply,
    decode_request,
    encode,
    encode_reply,
    encode_request,
)
from dragonflybank.model.codes import Code, Problem, problem

_log = logging.getLogger(__name__)

Handler = Callable[[str, bytes], Awaitable[bytes]]
# Takes the peer, bytes sent and bytes received.
CountBytes = Callable[[str, int, int], None]

TIMEOUTS_BEFORE_REDIAL = 2
# A host that is not connected within this time is taken as unreachable; the
# round trip between regions is 24 ms.
CONNECT_LIMIT_S = 0.5
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
# Larger than a store value (1 MB) and its envelope.
MAX_MESSAGE_BYTES = 4_000_000
# nng puts a length of 8 bytes and a request number of 4 bytes before each
# message; headers of TCP and IP are not counted.
FRAME_BYTES = 12
SERVER_CONTEXTS = 256
LINK_CONTEXTS = 128
# Contexts that only short control messages may take, so that slow lookups do
# not delay gossip until the host counts as dead.
CONTROL_CONTEXTS = 16
CONTROL_KINDS = frozenset({Kind.GOSSIP, Kind.FETCH_CONFIG, Kind.HANDOVER})


def not_counted(peer: str, sent: int, received: int) -> None:
    """Counts no bytes."""


async def ask(link: "PeerLink", request: Any, *, timeout_s: float) -> Result:
    """Sends a typed request and returns its typed reply.

    Args:
        link: Link to the peer.
        request: A message of a class in ``messages.MESSAGES``.
        timeout_s: Time for the whole call in seconds.

    Returns:
        The reply; the peer's problem; or a problem of `PeerLink.call`.
    """
    kind, reply_class = MESSAGES[type(request)]
    raw = await link.call(kind, encode(request), timeout_s=timeout_s)
    return raw.bind(lambda reply: decode_reply(reply, reply_class))


def typed(
    request_class: type, answer: Callable[[str, Any], Awaitable[Result]]
) -> Handler:
    """Returns a handler that decodes requests and encodes replies.

    Args:
        request_class: A class in ``messages.MESSAGES``.
        answer: Takes the sender and the message; returns a Result.
    """

    async def handler(sender: str, body: bytes) -> bytes:
        request = decode(body, request_class)
        if isinstance(request, Failure):
            return encode_reply(request)
        return encode_reply(await answer(sender, request.unwrap()))

    return handler


class PeerServer:
    """Answers the requests of other hosts.

    Attributes:
        port: The port in use once it serves, chosen by the kernel if 0 was
            given.

    Args:
        address: IP number to listen on.
        port: TCP port; 0 lets the kernel choose.
        contexts: Number of requests that are answered at once.
        on_bytes: Called with the sender's name and the bytes of each
            exchange.
    """

    def __init__(
        self,
        address: str,
        port: int,
        *,
        contexts: int = SERVER_CONTEXTS,
        on_bytes: CountBytes = not_counted,
    ):
        self.port = port
        self._address = address
        self._contexts = contexts
        self._on_bytes = on_bytes
        self._ordinary_limit = max(1, contexts - CONTROL_CONTEXTS)
        self._ordinary = 0
        self._sock: pynng.Rep0 | None = None
        self._tasks: list[asyncio.Task] = []

    def serve(self, handlers: Mapping[str, Handler]) -> None:
        """Listens and answers until it is closed.

        Args:
            handlers: The handler of each kind of request.
        """
        self._sock = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        listener = self._sock.listen(f"tcp://{self._address}:{self.port}")
        self.port = socket.ntohs(listener.local_address.port)
        self._tasks = [
            asyncio.create_task(self._answer_all(self._sock, handlers))
            for _ in range(self._contexts)
        ]

    async def close(self) -> None:
        """Stops listening; requests in progress are not answered."""
        sock, self._sock = self._sock, None
        if sock is not None:
            sock.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []

    async def _answer_all(self, sock, handlers) -> None:
        with contextlib.suppress(pynng.Closed), sock.new_context() as ctx:
            while self._sock is sock:
                raw = await ctx.arecv()
                reply = await self._answer(raw, handlers)
                await _send_reply(ctx, reply)

    async def _answer(self, raw: bytes, handlers) -> bytes:
        read = decode_request(raw)
        if isinstance(read, Failure):
            return encode_reply(read)
        req = read.unwrap()
        reply = await self._reply(req, handlers)
        self._on_bytes(
            req.sender, len(reply) + FRAME_BYTES, len(raw) + FRAME_BYTES
        )
        return reply

    async def _reply(self, req: Envelope, handlers) -> bytes:
        handler = handlers.get(req.kind)
        if handler is None:
            return encode_reply(
                problem(Code.BAD_REQUEST, f"unknown kind {req.kind}")
            )
        if req.kind in CONTROL_KINDS:
            return await _handle(handler, req)
        if self._ordinary >= self._ordinary_limit:
            return encode_reply(problem(Code.FULL, "no free peer context"))
        self._ordinary += 1
        try:
            return await _handle(handler, req)
        finally:
            self._ordinary -= 1


class PeerLink:
    """Requests to one peer.

    Attributes:
        address: Address and port, as ``127.0.0.1:7000``.
        redials: Number of times the socket was replaced as silent.

    Args:
        sender: Name of the own host.
        address: Address and port of the peer.
        contexts: Number of calls at once.
        on_bytes: Called with the address and the bytes of each exchange.
    """

    def __init__(
        self,
        sender: str,
        address: str,
        *,
        contexts: int = LINK_CONTEXTS,
        on_bytes: CountBytes = not_counted,
    ):
        self.address = address
        self.redials = 0
        self._sender = sender
        self._on_bytes = on_bytes
        self._slots = asyncio.Semaphore(contexts)
        self._timeouts = 0
        self._dialled: _Dialled | None = None

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
        unsent = problem(Code.UNREACHABLE, f"{self.address} is not connected")
        deadline = asyncio.get_running_loop().time() + timeout_s
        try:
            async with asyncio.timeout_at(deadline):
                await self._slots.acquire()
        except TimeoutError:
            return problem(Code.UNREACHABLE, f"{self.address}: link is full")
        try:
            dialled = self._dial()
            limit_s = min(timeout_s, CONNECT_LIMIT_S)
            if not await dialled.wait_connected(limit_s):
                return unsent
            return await self._exchange(dialled, raw, deadline)
        finally:
            self._slots.release()

    async def close(self) -> None:
        """Closes the socket; calls in progress fail with ``TIMED_OUT``."""
        dialled, self._dialled = self._dialled, None
        if dialled is not None:
            dialled.close()

    def _dial(self) -> "_Dialled":
        if self._dialled is None:
            self._dialled = _Dialled(self.address)
        return self._dialled

    async def _exchange(
        self, dialled: "_Dialled", raw: bytes, deadline: float
    ) -> Result[bytes, Problem]:
        try:
            async with asyncio.timeout_at(deadline):
                with dialled.sock.new_context() as ctx:
                    await ctx.asend(raw)
                    self._on_bytes(self.address, len(raw) + FRAME_BYTES, 0)
                    reply = await ctx.arecv()
        except TimeoutError:
            await self._count_timeout(dialled)
            return problem(Code.TIMED_OUT, f"no answer from {self.address}")
        except pynng.NNGException as exc:
            return problem(Code.TIMED_OUT, f"{self.address}: {exc}")
        self._timeouts = 0
        self._on_bytes(self.address, 0, len(reply) + FRAME_BYTES)
        return Success(reply)

    async def _count_timeout(self, dialled: "_Dialled") -> None:
        # A call on a socket that was replaced says nothing about the new one.
        if dialled is not self._dialled:
            return
        self._timeouts += 1
        if self._timeouts >= TIMEOUTS_BEFORE_REDIAL:
            self._timeouts = 0
            self.redials += 1
            await self.close()


class _Dialled:
    """A request socket that knows whether it is connected."""

    def __init__(self, address: str):
        self._loop = asyncio.get_running_loop()
        self._connected = asyncio.Event()
        self.sock = pynng.Req0(
            recv_max_size=MAX_MESSAGE_BYTES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self.sock.add_post_pipe_connect_cb(lambda _: self._tell(True))
        self.sock.add_post_pipe_remove_cb(lambda _: self._tell(False))
        self.sock.dial(f"tcp://{address}", block=False)

    async def wait_connected(self, limit_s: float) -> bool:
        """Returns whether it is connected within a time in seconds."""
        try:
            async with asyncio.timeout(limit_s):
                await self._connected.wait()
        except TimeoutError:
            return False
        return True

    def close(self) -> None:
        """Closes the socket."""
        self.sock.close()

    def _tell(self, connected: bool) -> None:
        # Runs in a thread of nng; the loop may be closed already.
        change = self._connected.set if connected else self._connected.clear
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(change)


async def _handle(handler: Handler, req: Envelope) -> bytes:
    try:
        return await handler(req.sender, req.body)
    except Exception:
        _log.exception("handler of %s failed", req.kind)
        return encode_reply(
            problem(Code.ANSWER_LOST, f"handler of {req.kind} failed")
        )


async def _send_reply(ctx: pynng.Context, reply: bytes) -> None:
    try:
        await ctx.asend(reply)
    except pynng.Closed:
        raise
    except pynng.NNGException as exc:
        # The asker's connection is gone; it asks again.
        _log.debug("reply not sent: %s", exc)
