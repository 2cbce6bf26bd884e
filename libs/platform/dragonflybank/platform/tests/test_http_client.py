"""Tests of the HTTP client on connections that stop responding."""

import asyncio

import testtools
from testtools.matchers import Equals

from dragonflybank.model.codes import Code
from dragonflybank.platform.http_client import HttpClient

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


async def _serve_after_unresponsive(unresponsive_connections):
    """Serves HTTP, except on the first connections, which never answer.

    Args:
        unresponsive_connections: Number of connections without answers.
    """
    accepted = []

    async def handle(reader, writer):
        accepted.append(writer)
        unresponsive = len(accepted) <= unresponsive_connections
        while await reader.readline():
            if not unresponsive:
                writer.write(_ANSWER)

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return server, f"http://127.0.0.1:{port}"


class TestHttpClient(testtools.TestCase):
    """Guards against timeouts that repeat on an unresponsive connection."""

    def test_new_connections_are_opened_after_two_timeouts(self):
        async def run():
            server, url = await _serve_after_unresponsive(2)
            client = HttpClient(url, timeout_s=0.05)
            codes = [
                (await client.call("GET", "/")).map(lambda r: r.status)
                for _ in range(3)
            ]
            await client.close()
            server.close()
            return codes, client.reconnects

        codes, reconnects = asyncio.run(run())
        self.assertThat(reconnects, Equals(1))
        self.assertThat(codes[0].failure().code, Equals(Code.TIMED_OUT))
        self.assertThat(codes[2].unwrap(), Equals(200))

    def test_answer_above_the_limit_is_not_read(self):
        async def run(limit):
            server, url = await _serve_after_unresponsive(0)
            client = HttpClient(url, timeout_s=5.0, max_answer_bytes=limit)
            outcome = await client.call("GET", "/")
            await client.close()
            server.close()
            return outcome

        self.assertThat(asyncio.run(run(2)).unwrap().body, Equals(b"{}"))
        failed = asyncio.run(run(1)).failure()
        self.assertThat(failed.code, Equals(Code.TIMED_OUT))

    def test_refused_connection_is_reported_as_unreachable(self):
        async def run():
            server, url = await _serve_after_unresponsive(0)
            server.close()
            await server.wait_closed()
            client = HttpClient(url, timeout_s=1.0)
            outcome = await client.call("GET", "/")
            await client.close()
            return outcome

        outcome = asyncio.run(run())
        self.assertThat(outcome.failure().code, Equals(Code.UNREACHABLE))
