"""Tests of connections that go silent."""

import asyncio

import testtools
from testtools.matchers import Equals

from dragonflybank.model.codes import Code
from dragonflybank.platform.http_client import HttpClient

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


async def _serve_silent_first(silent_connections):
    """Serves HTTP; the first connections accept requests and never answer."""
    accepted = []

    async def handle(reader, writer):
        accepted.append(writer)
        silent = len(accepted) <= silent_connections
        while await reader.readline():
            if not silent:
                writer.write(_ANSWER)

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return server, f"http://127.0.0.1:{port}"


class TestHttpClient(testtools.TestCase):
    """Guards against waiting for good on a connection that went silent."""

    def test_silent_connections_are_dialled_anew(self):
        async def run():
            server, url = await _serve_silent_first(2)
            conn = HttpClient(url, timeout_s=0.05)
            codes = [
                (await conn.call("GET", "/")).map(lambda r: r.status)
                for _ in range(3)
            ]
            await conn.close()
            server.close()
            return codes, conn.reconnects

        codes, reconnects = asyncio.run(run())
        self.assertThat(reconnects, Equals(1))
        self.assertThat(codes[0].failure().code, Equals(Code.TIMED_OUT))
        self.assertThat(codes[2].unwrap(), Equals(200))

    def test_refused_connection_is_certainly_without_effect(self):
        async def run():
            server, url = await _serve_silent_first(0)
            server.close()
            await server.wait_closed()
            conn = HttpClient(url, timeout_s=1.0)
            outcome = await conn.call("GET", "/")
            await conn.close()
            return outcome

        outcome = asyncio.run(run())
        self.assertThat(outcome.failure().code, Equals(Code.UNREACHABLE))
