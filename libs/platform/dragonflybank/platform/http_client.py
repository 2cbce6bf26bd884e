"""An HTTP client that opens new connections after timeouts."""

__all__ = ["HttpClient", "HttpResponse"]

import asyncio
import contextlib
import socket
import weakref
from collections.abc import Mapping
from typing import Any

import aiohttp
import attrs
from returns.result import Result, Success

from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.decoding import decode_json

# If the network drops the state of a connection, every later request on it
# times out, although new connections work.
TIMEOUTS_BEFORE_RECONNECT = 2
CONNECTIONS_PER_PEER = 64
# The largest answers, pages of the store, have 1 MB. aiohttp has no setting for
# the size of an answer.
MAX_ANSWER_BYTES = 16 * 2**20


@attrs.frozen
class HttpResponse:
    """An HTTP response whose body has been read completely.

    Attributes:
        status: HTTP status.
        headers: Response headers.
        body: Response body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json_for_status(self, *accepted: int) -> Result[dict, Problem]:
        """Returns the JSON body if the status is an accepted one.

        Args:
            *accepted: Accepted HTTP statuses.

        Returns:
            The decoded body; ``TIMED_OUT`` for any other status or an invalid
            body, because it does not tell whether the call had an effect.
        """
        if self.status in accepted:
            return decode_json(self.body, Any, code=Code.TIMED_OUT)
        return failure(Code.TIMED_OUT, f"unexpected status {self.status}")


class HttpClient:
    """A client of one HTTP server with a pool of connections.

    After calls on a pool have timed out, later calls use a new one. Calls that
    are in progress keep their connections, and end by their own limits.

    Args:
        url: Base URL of the server.
        timeout_s: Default timeout of a call in seconds.
        max_answer_bytes: Largest body of an answer; a larger one ends the call
            with ``TIMED_OUT``, since the call may have had an effect.

    Attributes:
        url: Base URL of the server.
        reconnects: Number of times that a new pool was needed after timeouts.
    """

    def __init__(
        self,
        url: str,
        *,
        timeout_s: float,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ):
        self.url = url
        self.reconnects = 0
        self._timeout_s = timeout_s
        self._max_answer_bytes = max_answer_bytes
        self._timeouts = 0
        self._pool: _Pool | None = None
        self._replaced_pools: set[_Pool] = set()

    async def call(
        self,
        method: str,
        path: str,
        *,
        server_wait_s: float = 0.0,
        timeout_s: float | None = None,
        **kwargs,
    ) -> Result[HttpResponse, Problem]:
        """Sends one request and reads the whole response.

        Args:
            method: HTTP method.
            path: Path below the base URL.
            server_wait_s: Time in seconds for which the server may hold the
                request back; it is added to the timeout.
            timeout_s: Timeout of this call in seconds; the default is that
                of the client.
            **kwargs: Passed on to ``aiohttp.ClientSession.request``.

        Returns:
            The response; ``UNREACHABLE`` if the server certainly did not
            receive the request, ``TIMED_OUT`` if it may have received it.
        """
        if self._pool is None:
            self._pool = _Pool()
        pool = self._pool
        limit_s = (timeout_s or self._timeout_s) + server_wait_s
        try:
            async with pool.call_limit(limit_s):
                reply = await self._send_request(
                    pool, method, self.url + path, kwargs
                )
        except aiohttp.ClientConnectorError as exc:
            return failure(Code.UNREACHABLE, str(exc))
        except TimeoutError:
            if pool.is_closed:
                return failure(Code.TIMED_OUT, "the client was closed")
            self._on_timeout(pool)
            return failure(Code.TIMED_OUT, f"{method} {path} after {limit_s} s")
        except (aiohttp.ClientError, OSError) as exc:
            return failure(Code.TIMED_OUT, f"{type(exc).__name__}: {exc}")
        finally:
            if self._replaced_pools:
                await self._close_idle_pools()
        if pool is self._pool:
            self._timeouts = 0
        return Success(reply)

    async def reconnect_if_unresponsive(self) -> None:
        """Replaces the pool if the last call on it timed out."""
        if self._timeouts and self._pool is not None:
            self._replace_pool(self._pool)
            await self._close_idle_pools()

    async def close(self) -> None:
        """Ends all calls with ``TIMED_OUT`` and closes all connections."""
        pools = [*self._replaced_pools, *filter(None, [self._pool])]
        self._replaced_pools.clear()
        self._pool = None
        await asyncio.gather(*(pool.close() for pool in pools))

    async def _send_request(
        self, pool: "_Pool", method: str, url: str, kwargs
    ) -> HttpResponse:
        limit = self._max_answer_bytes
        async with pool.session.request(method, url, **kwargs) as resp:
            parts, size = [], 0
            while part := await resp.content.readany():
                size += len(part)
                if size > limit:
                    # Leaving the block without the rest closes the connection.
                    raise _AnswerTooLargeError(f"more than {limit} bytes")
                parts.append(part)
            return HttpResponse(resp.status, resp.headers, b"".join(parts))

    def _on_timeout(self, pool: "_Pool") -> None:
        if pool is not self._pool:
            return
        self._timeouts += 1
        if self._timeouts >= TIMEOUTS_BEFORE_RECONNECT:
            self._replace_pool(pool)

    def _replace_pool(self, pool: "_Pool") -> None:
        self._timeouts = 0
        self.reconnects += 1
        self._pool = None
        self._replaced_pools.add(pool)

    async def _close_idle_pools(self) -> None:
        """Closes the replaced pools whose last call has ended."""
        idle = [pool for pool in self._replaced_pools if pool.is_idle]
        self._replaced_pools.difference_update(idle)
        for pool in idle:
            await pool.close()


class _Pool:
    """Connections of a client that are given up together.

    Attributes:
        session: Session that opens the connections.
        is_closed: Whether `close` was called.
    """

    def __init__(self):
        self.is_closed = False
        self._limits: set[asyncio.Timeout] = set()
        self._sockets: weakref.WeakSet[socket.socket] = weakref.WeakSet()
        connector = aiohttp.TCPConnector(
            limit=CONNECTIONS_PER_PEER,
            ttl_dns_cache=None,
            socket_factory=self._open_socket,
        )
        self.session = aiohttp.ClientSession(
            connector=connector, middlewares=(_prevent_retry,)
        )

    @property
    def is_idle(self) -> bool:
        """Whether no call is in progress."""
        return not self._limits

    @contextlib.asynccontextmanager
    async def call_limit(self, limit_s: float):
        """Limits the time of a call; `close` ends it earlier.

        Args:
            limit_s: Longest duration of the call in seconds.
        """
        async with asyncio.timeout(limit_s) as limit:
            self._limits.add(limit)
            try:
                yield
            finally:
                self._limits.discard(limit)

    async def close(self) -> None:
        """Ends all calls and closes the connections, whatever peers do.

        aiohttp waits until unsent data is written before it closes a
        connection, and a call whose connection it closes gets no error.
        """
        self.is_closed = True
        now = asyncio.get_running_loop().time()
        for limit in self._limits:
            if not limit.expired():
                limit.reschedule(now)
        for sock in self._sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        await self.session.close()

    def _open_socket(self, address_info: tuple) -> socket.socket:
        family, kind, protocol, *_ = address_info
        sock = socket.socket(family, kind, protocol)
        self._sockets.add(sock)
        return sock


class _AnswerTooLargeError(aiohttp.ClientError):
    """The answer is larger than the limit."""


class _ConnectionLostError(aiohttp.ClientError):
    """The connection was closed after the request may have been received."""


# aiohttp retries GET, PUT and DELETE automatically if a reused connection is
# closed. If the first request was a store write that took effect, the retry
# would report a conflict with the caller's own write.
async def _prevent_retry(req, handler) -> aiohttp.ClientResponse:
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise _ConnectionLostError(str(exc)) from exc
