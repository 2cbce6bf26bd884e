"""Tests of the proxy between hosts, callers and executors of the soak."""

import asyncio

import testtools
from testtools.matchers import Equals

from dragonflybank.bench.soak.proxy import TcpProxy


async def _open(address: str):
    ip, port = address.rsplit(":", 1)
    return await asyncio.open_connection(ip, int(port))


class TestHoldConnections(testtools.TestCase):
    """Guards against calls to a starting executor that are dropped."""

    def test_forwards_after_the_release_what_came_in_meanwhile(self):
        asyncio.run(self._check(closes_early=False))

    def test_forwards_what_a_client_sent_that_gave_up(self):
        asyncio.run(self._check(closes_early=True))

    async def _check(self, *, closes_early: bool):
        received: asyncio.Queue[bytes] = asyncio.Queue()

        async def serve(reader, writer):
            received.put_nowait(await reader.readline())
            writer.write(b"answer\n")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1")
        ip, port = server.sockets[0].getsockname()
        proxy = TcpProxy(lambda: f"{ip}:{port}")
        await proxy.start("127.0.0.1")
        proxy.hold_connections()
        reader, writer = await _open(proxy.address)
        writer.write(b"held\n")
        await writer.drain()
        if closes_early:
            writer.close()

        _, direct_writer = await _open(f"{ip}:{port}")
        direct_writer.write(b"direct\n")
        self.assertThat(await received.get(), Equals(b"direct\n"))

        proxy.release_connections()
        self.assertThat(await received.get(), Equals(b"held\n"))
        if not closes_early:
            self.assertThat(await reader.readline(), Equals(b"answer\n"))
            writer.close()
        direct_writer.close()
        await proxy.close()
        server.close()
