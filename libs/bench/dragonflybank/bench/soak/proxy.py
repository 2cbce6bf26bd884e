"""A TCP proxy on the loopback address that can disturb connections."""

__all__ = ["TcpProxy"]

import asyncio
import itertools
import socket
import struct
from collections.abc import Callable

import attrs

CHUNK_BYTES = 65536
# Closing a socket with this option resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.define(eq=False)
class _Connection:
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    drops_data: bool = False


class TcpProxy:
    """Forwards connections to a server.

    Attributes:
        address: Address at which it listens, empty before the start.
        delay_s: Delay of each chunk of data, in seconds.

    Args:
        target: Returns the address of the server.
    """

    def __init__(self, target: Callable[[], str]):
        self.address = ""
        self.delay_s = 0.0
        self._target = target
        self._conns: set[_Connection] = set()
        self._forwarding_events = (asyncio.Event(), asyncio.Event())
        self._may_connect = asyncio.Event()
        self._held_writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.end_faults()

    async def start(self, ip: str, port: int = 0) -> None:
        """Starts to listen; with port 0 the kernel chooses the port."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        ip, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        self.reset()
        if self._server is not None:
            self._server.close()

    def end_faults(self) -> None:
        """Ends delays and blocks, but `stop_forwarding` lasts."""
        self.delay_s = 0.0
        self._may_connect.set()
        for may_forward in self._forwarding_events:
            may_forward.set()

    def block(self, direction: int) -> None:
        """Holds back data in one direction until `end_faults`.

        Args:
            direction: 0 towards the server, 1 away from it.
        """
        self._forwarding_events[direction].clear()

    def hold_connections(self) -> None:
        """Accepts new connections, but forwards none of their data.

        `release_connections` or `end_faults` forwards what came in meanwhile,
        also on connections that the client has closed.
        """
        self._may_connect.clear()

    def release_connections(self) -> None:
        """Ends `hold_connections`."""
        self._may_connect.set()

    def stop_forwarding(self) -> None:
        """Discards all further data on the connections that are open now."""
        for conn in self._conns:
            conn.drops_data = True

    def reset(self) -> None:
        """Resets all connections."""
        writers = itertools.chain.from_iterable(c.writers for c in self._conns)
        for writer in (*writers, *self._held_writers):
            _reset(writer)
        self._held_writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self._may_connect.is_set():
            self._held_writers.add(writer)
            await self._may_connect.wait()
            if writer not in self._held_writers:
                return
            self._held_writers.remove(writer)
        ip, port = self._target().rsplit(":", 1)
        try:
            server_reader, server_writer = await asyncio.open_connection(
                ip, int(port)
            )
        except OSError:
            _reset(writer)
            return
        conn = _Connection((writer, server_writer))
        self._conns.add(conn)
        try:
            await asyncio.gather(
                self._forward(
                    conn, reader, server_writer, self._forwarding_events[0]
                ),
                self._forward(
                    conn, server_reader, writer, self._forwarding_events[1]
                ),
            )
        finally:
            self._conns.discard(conn)

    async def _forward(
        self,
        conn: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        may_forward: asyncio.Event,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await may_forward.wait()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if conn.drops_data:
                    continue
                writer.write(data)
                await writer.drain()
            if not conn.drops_data:
                writer.close()
        except OSError:
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
