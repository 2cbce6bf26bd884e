"""Server side of the connections between scheduler hosts."""

__all__ = [
    "FRAME_BYTES",
    "MAX_MESSAGE_BYTES",
    "CountBytes",
    "Handler",
    "PeerServer",
    "ignore_bytes",
    "typed_handler",
]

import asyncio
import contextlib
import logging
import socket
from collections.abc import Awaitable, Callable, Iterator, Mapping
from typing import Any

import pynng
from returns.result import Failure, Result

from dragonflybank.cluster.messages import (
    Envelope,
    RequestKind,
    decode,
    decode_request,
    encode_reply,
)
from dragonflybank.model.codes import Code, failure

_log = logging.getLogger(__name__)

Handler = Callable[[str, bytes], Awaitable[bytes]]
# Called with the peer, the bytes sent and the bytes received.
CountBytes = Callable[[str, int, int], None]

# Larger than a store value (1 MB) and its envelope.
MAX_MESSAGE_BYTES = 4_000_000
# nng prefixes each message with a length of 8 bytes and a request number of 4
# bytes. Headers of TCP and IP are not counted.
FRAME_BYTES = 12
SERVER_CONTEXTS = 256
# Contexts are added while fewer than this number are idle.
MIN_IDLE_CONTEXTS = 16
CONTEXTS_ADDED = 32
# nng reports a reply as sent before it is written to the kernel completely.
REPLY_FLUSH_S = 0.1
# Contexts reserved for short control requests. Otherwise slow lookups could
# delay gossip until other hosts consider this host dead.
CONTROL_CONTEXTS = 16
CONTROL_KINDS = frozenset(
    {RequestKind.GOSSIP, RequestKind.FETCH_CONFIG, RequestKind.HANDOVER}
)


def ignore_bytes(peer: str, sent: int, received: int) -> None:
    """Ignores the byte counts of an exchange."""


def typed_handler(
    request_class: type, answer: Callable[[str, Any], Awaitable[Result]]
) -> Handler:
    """Returns a handler that decodes requests and encodes replies.

    Args:
        request_class: A class in ``messages.REQUEST_TYPES``.
        answer: Called with the sender and the message; returns a Result.
    """

    async def handler(sender: str, body: bytes) -> bytes:
        request = decode(body, request_class)
        if isinstance(request, Failure):
            return encode_reply(request)
        return encode_reply(await answer(sender, request.unwrap()))

    return handler


class PeerServer:
    """Answers requests of other hosts.

    Attributes:
        port: The port in use once it serves, chosen by the kernel if 0 was
            given.

    Args:
        address: IP address to listen on.
        port: TCP port; 0 lets the kernel choose.
        contexts: Number of concurrent requests at the start.
        max_contexts: Largest number of concurrent requests; ``contexts`` if
            None.
        max_connections: Largest number of connections, None without a limit.
        on_bytes: Called with the sender's name and the bytes of each
            exchange.
    """

    def __init__(
        self,
        address: str,
        port: int,
        *,
        contexts: int = SERVER_CONTEXTS,
        max_contexts: int | None = None,
        max_connections: int | None = None,
        on_bytes: CountBytes = ignore_bytes,
    ):
        self.port = port
        self._address = address
        self._contexts = contexts
        self._max_contexts = max(contexts, max_contexts or 0)
        self._max_connections = max_connections
        self._on_bytes = on_bytes
        self._non_control_limit = max(1, self._max_contexts - CONTROL_CONTEXTS)
        self._non_control_in_progress = 0
        self._requests_in_progress = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._sock: pynng.Rep0 | None = None
        self._handlers: Mapping[str, Handler] = {}
        self._tasks: list[asyncio.Task] = []

    def serve(self, handlers: Mapping[str, Handler]) -> None:
        """Listens and answers until it is closed.

        Args:
            handlers: The handler of each kind of request.
        """
        self._sock = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        self._sock.add_pre_pipe_connect_cb(self._refuse_excess)
        listener = self._sock.listen(f"tcp://{self._address}:{self.port}")
        self.port = socket.ntohs(listener.local_address.port)
        self._handlers = handlers
        self._tasks = [
            asyncio.create_task(self._serve_context(self._sock, handlers))
            for _ in range(self._contexts)
        ]

    def _refuse_excess(self, pipe: pynng.Pipe) -> None:
        """Closes a connection above the limit; called in a thread of nng."""
        limit = self._max_connections
        if limit is not None and len(self._sock.pipes) > limit:
            pipe.close()

    async def drain(self) -> None:
        """Waits until every request received so far is answered.

        Called after this host has announced that it is leaving, so that no new
        requests arrive.
        """
        await self._idle.wait()
        await asyncio.sleep(REPLY_FLUSH_S)

    async def close(self) -> None:
        """Stops listening; requests in progress are not answered."""
        sock, self._sock = self._sock, None
        if sock is not None:
            sock.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []

    async def _serve_context(self, sock, handlers) -> None:
        with contextlib.suppress(pynng.Closed), sock.new_context() as ctx:
            while self._sock is sock:
                raw = await ctx.arecv()
                with self._track_request():
                    reply = await self._handle_raw(raw, handlers)
                    await _send_reply(ctx, reply)

    @contextlib.contextmanager
    def _track_request(self) -> Iterator[None]:
        self._requests_in_progress += 1
        self._idle.clear()
        self._add_contexts()
        try:
            yield
        finally:
            self._requests_in_progress -= 1
            if not self._requests_in_progress:
                self._idle.set()

    def _add_contexts(self) -> None:
        """Adds contexts if few are idle.

        Peers hold requests open while they wait for changes, so the number of
        concurrent requests grows with the number of hosts.
        """
        idle = len(self._tasks) - self._requests_in_progress
        count = min(CONTEXTS_ADDED, self._max_contexts - len(self._tasks))
        if idle >= MIN_IDLE_CONTEXTS or count <= 0:
            return
        self._tasks += [
            asyncio.create_task(self._serve_context(self._sock, self._handlers))
            for _ in range(count)
        ]

    async def _handle_raw(self, raw: bytes, handlers) -> bytes:
        decoded = decode_request(raw)
        if isinstance(decoded, Failure):
            return encode_reply(decoded)
        req = decoded.unwrap()
        reply = await self._dispatch(req, handlers)
        self._on_bytes(
            req.sender, len(reply) + FRAME_BYTES, len(raw) + FRAME_BYTES
        )
        return reply

    async def _dispatch(self, req: Envelope, handlers) -> bytes:
        handler = handlers.get(req.kind)
        if handler is None:
            return encode_reply(
                failure(
                    Code.BAD_REQUEST, f"unknown kind of request: {req.kind}"
                )
            )
        if req.kind in CONTROL_KINDS:
            return await _handle(handler, req)
        if self._non_control_in_progress >= self._non_control_limit:
            return encode_reply(
                failure(
                    Code.FULL, "too many requests of other hosts in progress"
                )
            )
        self._non_control_in_progress += 1
        try:
            return await _handle(handler, req)
        finally:
            self._non_control_in_progress -= 1


async def _handle(handler: Handler, req: Envelope) -> bytes:
    try:
        return await handler(req.sender, req.body)
    except Exception:
        _log.exception("handler of %s requests failed", req.kind)
        return encode_reply(
            failure(Code.ANSWER_LOST, f"handler of {req.kind} requests failed")
        )


async def _send_reply(ctx: pynng.Context, reply: bytes) -> None:
    try:
        await ctx.asend(reply)
    except pynng.Closed:
        raise
    except pynng.NNGException as exc:
        # The connection of the requesting host is closed; it repeats the call.
        _log.debug("reply not sent: %s", exc)
