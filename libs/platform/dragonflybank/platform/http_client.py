"""An HTTP client that opens new connections after timeouts."""

__all__ = ["HttpClient", "HttpResponse"]

import asyncio
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

    The pool is closed and opened again after calls on it have timed out.

    Args:
        url: Base URL of the server.
        timeout_s: Default timeout of a call in seconds.
        max_answer_bytes: Largest body of an answer; a larger one ends the call
            with ``TIMED_OUT``, since the call may have had an effect.

    Attributes:
        url: Base URL of the server.
        reconnects: Number of times the pool was closed after timeouts.
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
        self._session: aiohttp.ClientSession | None = None

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
        session = self._get_session()
        limit_s = (timeout_s or self._timeout_s) + server_wait_s
        try:
            async with asyncio.timeout(limit_s):
                reply = await self._send_request(
                    session, method, self.url + path, kwargs
                )
        except aiohttp.ClientConnectorError as exc:
            return failure(Code.UNREACHABLE, str(exc))
        except TimeoutError:
            await self._on_timeout(session)
            return failure(Code.TIMED_OUT, f"{method} {path} after {limit_s} s")
        except (aiohttp.ClientError, OSError) as exc:
            return failure(Code.TIMED_OUT, f"{type(exc).__name__}: {exc}")
        if session is self._session:
            self._timeouts = 0
        return Success(reply)

    async def reconnect_if_unresponsive(self) -> None:
        """Closes the pool if the last call on it timed out.

        The next call opens a new one.
        """
        if self._timeouts:
            self._timeouts = 0
            self.reconnects += 1
            await self.close()

    async def close(self) -> None:
        """Closes all connections."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=CONNECTIONS_PER_PEER, ttl_dns_cache=None
            )
            self._session = aiohttp.ClientSession(
                connector=connector, middlewares=(_prevent_retry,)
            )
        return self._session

    async def _send_request(
        self, session: aiohttp.ClientSession, method: str, url: str, kwargs
    ) -> HttpResponse:
        limit = self._max_answer_bytes
        async with session.request(method, url, **kwargs) as resp:
            parts, size = [], 0
            while part := await resp.content.readany():
                size += len(part)
                if size > limit:
                    # Leaving the block without the rest closes the connection.
                    raise _AnswerTooLargeError(f"more than {limit} bytes")
                parts.append(part)
            return HttpResponse(resp.status, resp.headers, b"".join(parts))

    async def _on_timeout(self, session: aiohttp.ClientSession) -> None:
        if session is not self._session:
            return
        self._timeouts += 1
        if self._timeouts >= TIMEOUTS_BEFORE_RECONNECT:
            self._timeouts = 0
            self.reconnects += 1
            await self.close()


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
