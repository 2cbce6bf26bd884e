"""Tests of the proxy between hosts, callers and executors of the soak."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import testtools
from testtools.matchers import Equals

from dragonflybank.bench.soak.proxy import TcpProxy

Received = asyncio.Queue[bytes]


async def _send(address: str, line: bytes):
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(line)
    await writer.drain()
    return reader, writer


async def _with_proxy(
    check: Callable[[TcpProxy, str, Received], Awaitable[None]],
) -> None:
    """Runs a check with a proxy, its server's address and what that got."""
    received: Received = asyncio.Queue()

    async def serve(reader, writer):
        received.put_nowait(await reader.readline())
        writer.write(b"answer\n")
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1")
    ip, port = server.sockets[0].getsockname()
    proxy = TcpProxy(lambda: f"{ip}:{port}")
    await proxy.start("127.0.0.1")
    try:
        await check(proxy, f"{ip}:{port}", received)
    finally:
        await proxy.close()
        server.close()


class TestHoldConnections(testtools.TestCase):
    """Guards against calls to a starting executor that are dropped."""

    def test_forwards_after_the_release_what_came_in_meanwhile(self):
        async def check(proxy, address, received):
            proxy.hold_connections()
            reader, writer = await _send(proxy.address, b"held\n")
            _, direct_writer = await _send(address, b"direct\n")
            self.assertThat(await received.get(), Equals(b"direct\n"))

            proxy.release_connections()
            self.assertThat(await received.get(), Equals(b"held\n"))
            self.assertThat(await reader.readline(), Equals(b"answer\n"))
            writer.close()
            direct_writer.close()

        asyncio.run(_with_proxy(check))

    def test_forwards_what_a_client_sent_that_gave_up(self):
        async def check(proxy, address, received):
            proxy.hold_connections()
            _, writer = await _send(proxy.address, b"held\n")
            writer.close()
            await writer.wait_closed()

            proxy.release_connections()
            self.assertThat(await received.get(), Equals(b"held\n"))

        asyncio.run(_with_proxy(check))

    def test_forwards_nothing_of_connections_that_were_reset(self):
        async def check(proxy, address, received):
            proxy.hold_connections()
            reader, held_writer = await _send(proxy.address, b"held\n")
            _, direct_writer = await _send(address, b"direct\n")
            self.assertThat(await received.get(), Equals(b"direct\n"))
            proxy.reset()
            with contextlib.suppress(ConnectionError):
                self.assertThat(await reader.read(), Equals(b""))

            proxy.release_connections()
            _, writer = await _send(proxy.address, b"new\n")
            self.assertThat(await received.get(), Equals(b"new\n"))
            writer.close()
            held_writer.close()
            direct_writer.close()

        asyncio.run(_with_proxy(check))
