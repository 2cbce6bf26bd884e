"""An HTTP connection that is dialled anew after it went silent."""

__all__ = ["HttpConnection", "HttpResponse"]

import asyncio
import json
from collections.abc import Mapping

import aiohttp
import attrs
from returns.result import Result, Success

from dragonflybank.model.codes import Code, Problem, failure

# A connection that is lost track of between the two ends stays silent for
# good, while new ones work.
TIMEOUTS_BEFORE_RECONNECT = 2
CONNECTIONS_PER_PEER = 64


@attrs.frozen
class HttpResponse:
    """A whole HTTP response.

    Attributes:
        status: HTTP status.
        headers: Response headers.
        body: Response body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json_for_status(self, *accepted: int) -> Result[dict, Problem]:
        """Returns the JSON body, or ``TIMED_OUT`` for another status.

        An unexpected status leaves open whether the call had an effect.
        """
        if self.status in accepted:
            return Success(json.loads(self.body))
        return failure(Code.TIMED_OUT, f"unexpected status {self.status}")


class HttpConnection:
    """A connection pool to one server that replaces silent connections.

    Attributes:
        url: Base URL of the server.
        reconnects: Number of times the connections were closed as silent.
    """

    def __init__(self, url: str, *, timeout_s: float):
        self.url = url
        self.reconnects = 0
        self._timeout_s = timeout_s
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
            server_wait_s: Time that the server itself may wait, in seconds.
            timeout_s: Time-out of this call instead of the connection's.
            **kwargs: Passed on to ``aiohttp.ClientSession.request``.

        Returns:
            The reply; ``UNREACHABLE`` if the request was certainly not
            received, ``TIMED_OUT`` if it may have been.
        """
        session = self._open()
        limit_s = (timeout_s or self._timeout_s) + server_wait_s
        try:
            async with asyncio.timeout(limit_s):
                reply = await _exchange(
                    session, method, self.url + path, kwargs
                )
        except aiohttp.ClientConnectorError as exc:
            return failure(Code.UNREACHABLE, str(exc))
        except TimeoutError:
            await self._count_timeout(session)
            return failure(Code.TIMED_OUT, f"{method} {path} after {limit_s} s")
        except (aiohttp.ClientError, OSError) as exc:
            return failure(Code.TIMED_OUT, f"{type(exc).__name__}: {exc}")
        if session is self._session:
            self._timeouts = 0
        return Success(reply)

    async def reconnect_if_unresponsive(self) -> None:
        """Closes the connections if the last call on them timed out."""
        if self._timeouts:
            self._timeouts = 0
            self.reconnects += 1
            await self.close()

    async def close(self) -> None:
        """Closes all connections."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=CONNECTIONS_PER_PEER, ttl_dns_cache=None
            )
            self._session = aiohttp.ClientSession(
                connector=connector, middlewares=(_send_once,)
            )
        return self._session

    async def _count_timeout(self, session: aiohttp.ClientSession) -> None:
        if session is not self._session:
            return
        self._timeouts += 1
        if self._timeouts >= TIMEOUTS_BEFORE_RECONNECT:
            self._timeouts = 0
            self.reconnects += 1
            await self.close()


class _ConnectionLostError(aiohttp.ClientError):
    """The connection was closed after the request may have been received."""


# aiohttp repeats GET, PUT and DELETE by itself when a connection that was in
# use before is closed. After a store write that took effect, the repetition
# would be answered with a conflict with the caller's own write.
async def _send_once(req, handler) -> aiohttp.ClientResponse:
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise _ConnectionLostError(str(exc)) from exc


async def _exchange(session, method, url, kwargs) -> HttpResponse:
    async with session.request(method, url, **kwargs) as resp:
        return HttpResponse(resp.status, resp.headers, await resp.read())
