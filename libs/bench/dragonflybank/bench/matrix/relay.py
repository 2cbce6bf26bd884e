"""Relays between the peer sockets of scheduler hosts.

Each host is reached through a relay of its own, which passes whole messages
on. A relay can drop the messages between two hosts and can silence open
connections. Addresses of hosts inside messages are replaced by those of their
relays, since hosts tell each other their own addresses.
"""

__all__ = ["Relay", "RelayTable"]

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable

from dragonflybank.cluster.messages import decode_request

ADDRESS = "127.0.0.1"
# Handshake and framing of the SP protocol over TCP: 8 bytes from each side,
# then messages with their length in 8 bytes before them.
HANDSHAKE_BYTES = 8
LENGTH = struct.Struct("!Q")
# A request starts with its identity.
REQUEST_ID_BYTES = 4


class RelayTable:
    """All relays of a deployment.

    Attributes:
        is_cut: Returns whether messages between two hosts are dropped.
        on_request: Called with sender, receiver and kind of each request
            before it is passed on.
    """

    def __init__(
        self,
        on_request: Callable[[str, str, str], Awaitable[None]],
    ):
        self.is_cut: Callable[[str, str], bool] = lambda one, other: False
        self.on_request = on_request
        self._relays: dict[str, Relay] = {}
        self._replaced: list[Relay] = []
        self._known: dict[str, asyncio.Event] = {}

    async def add(self, host: str, port: int) -> int:
        """Starts the relay of a host and returns the relay's port."""
        relay = Relay(self, host, port)
        await relay.start()
        if host in self._relays:
            self._replaced.append(self._relays[host])
        self._relays[host] = relay
        self._event(host).set()
        return relay.port

    async def wait_known(self, host: str) -> None:
        """Waits until a host has its relay."""
        await self._event(host).wait()

    def forget(self, host: str) -> None:
        """Refuses connections to a host that is gone.

        Its port may belong to a host of another deployment by now. Messages
        of a new host of the same name are held back until it has a relay.
        """
        self._known.pop(host, None)
        if host in self._relays:
            self._relays[host].is_open = False

    def silence(self) -> None:
        """Silences the connections that are open now, for good."""
        for relay in self._relays.values():
            relay.silence()

    def rewritten(self, message: bytes) -> bytes:
        """Returns a message with the addresses of the relays."""
        for relay in self._relays.values():
            message = message.replace(relay.real, relay.shown)
        return message

    async def close(self) -> None:
        """Closes all relays."""
        for relay in (*self._relays.values(), *self._replaced):
            await relay.close()

    def _event(self, host: str) -> asyncio.Event:
        return self._known.setdefault(host, asyncio.Event())


class Relay:
    """The relay in front of one host's peer socket.

    Attributes:
        port: Port of the relay.
        real: The host's address as messages carry it.
        shown: The relay's address in the same form.
        is_open: Whether the host takes connections.
    """

    def __init__(self, table: RelayTable, host: str, host_port: int):
        self.port = 0
        self.real = _packed(host_port)
        self.shown = b""
        self.is_open = True
        self._table = table
        self._host = host
        self._host_port = host_port
        self._server: asyncio.Server | None = None
        self._conns: set[_Connection] = set()

    async def start(self) -> None:
        """Listens on a port that the kernel chooses."""
        self._server = await asyncio.start_server(self._serve, ADDRESS, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.shown = _packed(self.port)

    def silence(self) -> None:
        """Silences the open connections."""
        for conn in self._conns:
            conn.is_silent = True

    async def close(self) -> None:
        """Closes the socket and all connections."""
        self._server.close()
        for conn in tuple(self._conns):
            conn.close()

    async def _serve(self, reader, writer) -> None:
        if not self.is_open:
            writer.close()
            return
        try:
            there = await asyncio.open_connection(ADDRESS, self._host_port)
        except OSError:
            writer.close()
            return
        conn = _Connection(self._table, self._host, (reader, writer), there)
        self._conns.add(conn)
        try:
            await conn.run()
        finally:
            self._conns.discard(conn)


class _Connection:
    def __init__(self, table, host, here, there):
        self.is_silent = False
        self._table = table
        self._host = host
        self._sender = ""
        self._here = here
        self._there = there

    async def run(self) -> None:
        """Passes messages on until one side closes."""
        tasks = [
            asyncio.create_task(self._pump(self._here, self._there, True)),
            asyncio.create_task(self._pump(self._there, self._here, False)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            self.close()
            await asyncio.gather(*tasks, return_exceptions=True)

    def close(self) -> None:
        """Closes both sides."""
        for _, writer in (self._here, self._there):
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def _pump(self, source, target, is_request) -> None:
        reader, writer = source[0], target[1]
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            writer.write(await reader.readexactly(HANDSHAKE_BYTES))
            while True:
                head = await reader.readexactly(LENGTH.size)
                body = await reader.readexactly(LENGTH.unpack(head)[0])
                if is_request:
                    await self._note(body)
                if self._is_lost():
                    continue
                writer.write(head + self._table.rewritten(body))
                await writer.drain()

    def _is_lost(self) -> bool:
        is_cut = self._table.is_cut(self._sender, self._host)
        return self.is_silent or is_cut

    async def _note(self, body: bytes) -> None:
        req = decode_request(body[REQUEST_ID_BYTES:]).unwrap()
        self._sender = req.sender
        # The sender's own address must be known before it is passed on.
        await self._table.wait_known(req.sender)
        await self._table.on_request(req.sender, self._host, req.kind)


def _packed(port: int) -> bytes:
    return b"\0" + socket.inet_aton(ADDRESS) + struct.pack("!H", port)
