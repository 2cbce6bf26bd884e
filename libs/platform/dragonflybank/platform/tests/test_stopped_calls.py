"""Tests of calls whose server stops in the middle of a request or an answer."""

import asyncio
import contextlib

import testtools
from testtools.matchers import Equals

from dragonflybank.model.codes import Code
from dragonflybank.platform.http_client import (
    TIMEOUTS_BEFORE_RECONNECT,
    HttpClient,
)

_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# What the server sends at first, and what it still owes, by where it stops.
_STOPS = {
    "before_the_head": (b"", _HEAD + b"answer"),
    "within_the_head": (_HEAD[:20], _HEAD[20:] + b"answer"),
    "before_the_body": (_HEAD, b"answer"),
    "within_the_body": (_HEAD + b"ans", b"wer"),
    "before_the_end": (_CHUNKED + b"6\r\nanswer\r\n", b"0\r\n\r\n"),
}
# More than the buffers of a connection on loopback hold.
_UNREAD_BODY = bytes(32 * 2**20)
_SHORT_LIMIT_S = 0.05
_LONG_LIMIT_S = 600.0
# Ends a test whose call doesn't return. No call here takes this long otherwise.
_HANG_S = 20.0


class _StoppingServer:
    """A server whose connections stop in the middle of an answer.

    Attributes:
        stopped: Set when the first connection has stopped.
        resumed: Set to send the rest of each answer.

    Args:
        sent: What is sent at once.
        owed: The rest of the answer.
        reads: Whether requests are read.
        closes: Whether connections are closed in place of the rest.
    """

    def __init__(
        self,
        sent: bytes = b"",
        owed: bytes = b"",
        *,
        reads: bool = True,
        closes: bool = False,
    ):
        self.stopped = asyncio.Event()
        self.resumed = asyncio.Event()
        self._sent, self._owed = sent, owed
        self._reads, self._closes = reads, closes
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> str:
        """Starts the server and returns its URL."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"http://127.0.0.1:{port}"

    def close(self) -> None:
        """Closes all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.append(writer)
        if self._reads:
            await reader.readuntil(b"\r\n\r\n")
        writer.write(self._sent)
        self.stopped.set()
        await self.resumed.wait()
        with contextlib.suppress(OSError):
            if not self._closes:
                writer.write(self._owed)
                await writer.drain()
            writer.close()


@contextlib.asynccontextmanager
async def _serving(*args, **kwargs):
    """Runs a stopping server and a client of it."""
    server = _StoppingServer(*args, **kwargs)
    client = HttpClient(await server.start(), timeout_s=_SHORT_LIMIT_S)
    async with asyncio.timeout(_HANG_S):
        try:
            yield server, client
        finally:
            server.close()
            await client.close()


async def _begin_call(
    server: _StoppingServer, client: HttpClient, method: str, **kwargs
) -> asyncio.Task:
    """Begins a call with a long limit, and waits until the server stops."""
    call = asyncio.create_task(
        client.call(method, "/", timeout_s=_LONG_LIMIT_S, **kwargs)
    )
    await server.stopped.wait()
    return call


async def _time_out(client: HttpClient) -> list[Code]:
    """Makes calls that time out, until the client has new connections."""
    outcomes = [
        await client.call("GET", "/") for _ in range(TIMEOUTS_BEFORE_RECONNECT)
    ]
    return [outcome.failure().code for outcome in outcomes]


class TestStoppedAnswers(testtools.TestCase):
    """Guards against calls that wait for more than their own answer."""

    def _test_own_limit(self, sent, owed):
        async def run():
            async with _serving(sent, owed) as (_, client):
                return await _time_out(client)

        codes = asyncio.run(run())
        self.assertThat(set(codes), Equals({Code.TIMED_OUT}))

    def _test_timeouts_of_other_calls(self, sent, owed):
        async def run():
            async with _serving(sent, owed) as (server, client):
                call = await _begin_call(server, client, "GET")
                await _time_out(client)
                reconnects = client.reconnects
                server.resumed.set()
                return reconnects, await call

        reconnects, outcome = asyncio.run(run())
        self.assertThat(reconnects, Equals(1))
        self.assertThat(outcome.unwrap().body, Equals(b"answer"))

    def _test_lost_connection(self, sent, owed):
        async def run():
            async with _serving(sent, owed, closes=True) as (server, client):
                call = await _begin_call(server, client, "GET")
                await _time_out(client)
                server.resumed.set()
                return await call

        outcome = asyncio.run(run())
        self.assertThat(outcome.failure().code, Equals(Code.TIMED_OUT))

    def _test_close_of_the_client(self, sent, owed):
        async def run():
            async with _serving(sent, owed) as (server, client):
                call = await _begin_call(server, client, "GET")
                # Until this call ends, the other one has received what is sent.
                await client.call("GET", "/")
                await client.close()
                return await call

        outcome = asyncio.run(run())
        self.assertThat(outcome.failure().code, Equals(Code.TIMED_OUT))


class TestUnreadRequests(testtools.TestCase):
    """Guards against waiting for a server that doesn't read."""

    def test_call_ends_by_its_limit(self):
        async def run():
            async with _serving(reads=False) as (_, client):
                outcomes = [
                    await client.call("POST", "/", data=_UNREAD_BODY)
                    for _ in range(TIMEOUTS_BEFORE_RECONNECT + 1)
                ]
                return [o.failure().code for o in outcomes], client.reconnects

        codes, reconnects = asyncio.run(run())
        self.assertThat(set(codes), Equals({Code.TIMED_OUT}))
        self.assertThat(reconnects, Equals(1))

    def test_other_calls_end_by_their_limits(self):
        async def run():
            async with _serving(reads=False) as (server, client):
                call = await _begin_call(
                    server, client, "POST", data=_UNREAD_BODY
                )
                codes = await _time_out(client)
                await client.close()
                return codes, await call

        codes, outcome = asyncio.run(run())
        self.assertThat(set(codes), Equals({Code.TIMED_OUT}))
        self.assertThat(outcome.failure().code, Equals(Code.TIMED_OUT))


def _make_test(name: str, stop: str):
    def test(self):
        getattr(self, name)(*_STOPS[stop])

    return test


for _name in [n for n in vars(TestStoppedAnswers) if n.startswith("_test_")]:
    for _stop in _STOPS:
        setattr(
            TestStoppedAnswers,
            f"{_name.removeprefix('_')}__{_stop}",
            _make_test(_name, _stop),
        )
