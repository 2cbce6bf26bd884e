"""A loopback proxy for TCP connections that can disturb them."""

__all__ = ["TcpProxy"]

import asyncio
import socket
import struct
from collections.abc import Callable

import attrs

CHUNK_BYTES = 65536
# Closing a socket with this option resets its connection.
LINGER_RESET = struct.pack("ii", 1, 0)


@attrs.define(eq=False)
class _Pipe:
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    is_silent: bool = False


class TcpProxy:
    """Passes connections on to a server.

    Attributes:
        address: Where it listens, once it is started.
        delay_s: Time by which everything is delayed, in seconds.

    Args:
        target: Returns the address of the server.
    """

    def __init__(self, target: Callable[[], str]):
        self.address = ""
        self.delay_s = 0.0
        self._target = target
        self._pipes: set[_Pipe] = set()
        self._gates = (asyncio.Event(), asyncio.Event())
        self._server: asyncio.Server | None = None
        self.heal()

    async def start(self, ip: str, port: int = 0) -> None:
        """Listens; port 0 lets the kernel choose."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        ip, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        self.reset()
        if self._server is not None:
            self._server.close()

    def heal(self) -> None:
        """Ends delays and cuts; silent connections stay silent."""
        self.delay_s = 0.0
        for gate in self._gates:
            gate.set()

    def cut(self, direction: int) -> None:
        """Holds back what is sent.

        Args:
            direction: 0 towards the server, 1 away from it.
        """
        self._gates[direction].clear()

    def silence(self) -> None:
        """Makes the connections that are open now pass nothing any more."""
        for pipe in self._pipes:
            pipe.is_silent = True

    def reset(self) -> None:
        """Resets all connections."""
        for pipe in list(self._pipes):
            for writer in pipe.writers:
                _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ip, port = self._target().rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                ip, int(port)
            )
        except OSError:
            _reset(writer)
            return
        pipe = _Pipe((writer, far_writer))
        self._pipes.add(pipe)
        try:
            await asyncio.gather(
                self._pump(pipe, reader, far_writer, self._gates[0]),
                self._pump(pipe, far_reader, writer, self._gates[1]),
            )
        finally:
            self._pipes.discard(pipe)

    async def _pump(
        self,
        pipe: _Pipe,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: asyncio.Event,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await gate.wait()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if pipe.is_silent:
                    continue
                writer.write(data)
                await writer.drain()
            if not pipe.is_silent:
                writer.close()
        except OSError:
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()
