"""Relays between the peer sockets of scheduler hosts.

Each host is reached through a relay of its own, which forwards whole messages.
A relay can drop the messages between two hosts and can stop forwarding on open
connections. It replaces the addresses of hosts in messages by those of their
relays, since hosts send each other their own addresses.
"""

__all__ = ["Relay", "RelayTable"]

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable

from dragonflybank.cluster.messages import decode_request

LOOPBACK = "127.0.0.1"
# Handshake and framing of the SP protocol over TCP: 8 bytes from each side,
# then messages with their length in 8 bytes before them.
HANDSHAKE_BYTES = 8
MESSAGE_LENGTH = struct.Struct("!Q")
# A request starts with its identifier.
REQUEST_ID_BYTES = 4


class RelayTable:
    """The relays of a deployment.

    Attributes:
        drops_messages: Returns whether messages from one host to another are
            dropped; called with sender and receiver of the request.
        on_request: Called with sender, receiver and kind of each request
            before it is forwarded.
    """

    def __init__(
        self,
        on_request: Callable[[str, str, str], Awaitable[None]],
    ):
        self.drops_messages: Callable[[str, str], bool] = (
            lambda sender, receiver: False
        )
        self.on_request = on_request
        self._relays: dict[str, Relay] = {}
        self._replaced_relays: list[Relay] = []
        self._added_events: dict[str, asyncio.Event] = {}

    async def add(self, host: str, port: int) -> int:
        """Starts the relay of a host and returns the relay's port."""
        relay = Relay(self, host, port)
        await relay.start()
        if host in self._relays:
            self._replaced_relays.append(self._relays[host])
        self._relays[host] = relay
        self._added_event(host).set()
        return relay.port

    async def wait_until_added(self, host: str) -> None:
        """Waits until a host has a relay."""
        await self._added_event(host).wait()

    def stop_accepting(self, host: str) -> None:
        """Refuses connections to a host that has exited.

        Its port may already belong to a host of another deployment. Messages
        of a new host of the same name are held back until it has a relay.
        """
        self._added_events.pop(host, None)
        if host in self._relays:
            self._relays[host].accepts_connections = False

    def stop_forwarding(self) -> None:
        """Discards all further messages on the open connections."""
        for relay in self._relays.values():
            relay.stop_forwarding()

    def rewrite_addresses(self, message: bytes) -> bytes:
        """Replaces the addresses of hosts in a message by those of relays."""
        for relay in self._relays.values():
            message = message.replace(relay.host_address, relay.relay_address)
        return message

    async def close(self) -> None:
        """Closes all relays."""
        for relay in (*self._relays.values(), *self._replaced_relays):
            await relay.close()

    def _added_event(self, host: str) -> asyncio.Event:
        return self._added_events.setdefault(host, asyncio.Event())


class Relay:
    """The relay in front of one host's peer socket.

    Attributes:
        port: Port of the relay.
        host_address: The host's address in its encoding in messages.
        relay_address: The relay's address in the same encoding.
        accepts_connections: Whether new connections are accepted.
    """

    def __init__(self, table: RelayTable, host: str, host_port: int):
        self.port = 0
        self.host_address = _encode_address(host_port)
        self.relay_address = b""
        self.accepts_connections = True
        self._relay_table = table
        self._host = host
        self._host_port = host_port
        self._server: asyncio.Server | None = None
        self._conns: set[_Connection] = set()

    async def start(self) -> None:
        """Listens on a port that the kernel chooses."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.relay_address = _encode_address(self.port)

    def stop_forwarding(self) -> None:
        """Discards all further messages on the open connections."""
        for conn in self._conns:
            conn.discards_messages = True

    async def close(self) -> None:
        """Closes the socket and all connections."""
        self._server.close()
        for conn in tuple(self._conns):
            conn.close()

    async def _serve(self, reader, writer) -> None:
        if not self.accepts_connections:
            writer.close()
            return
        try:
            server_streams = await asyncio.open_connection(
                LOOPBACK, self._host_port
            )
        except OSError:
            writer.close()
            return
        conn = _Connection(
            self._relay_table, self._host, (reader, writer), server_streams
        )
        self._conns.add(conn)
        try:
            await conn.run()
        finally:
            self._conns.discard(conn)


class _Connection:
    def __init__(self, table, host, client_streams, server_streams):
        self.discards_messages = False
        self._relay_table = table
        self._host = host
        self._sender = ""
        self._client_streams = client_streams
        self._server_streams = server_streams

    async def run(self) -> None:
        """Forwards messages until one side closes."""
        tasks = [
            asyncio.create_task(
                self._forward(self._client_streams, self._server_streams, True)
            ),
            asyncio.create_task(
                self._forward(self._server_streams, self._client_streams, False)
            ),
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
        for _, writer in (self._client_streams, self._server_streams):
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def _forward(self, source, target, is_request) -> None:
        reader, writer = source[0], target[1]
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            writer.write(await reader.readexactly(HANDSHAKE_BYTES))
            while True:
                head = await reader.readexactly(MESSAGE_LENGTH.size)
                body = await reader.readexactly(MESSAGE_LENGTH.unpack(head)[0])
                if is_request:
                    await self._report_request(body)
                if self._discards_message():
                    continue
                writer.write(head + self._relay_table.rewrite_addresses(body))
                await writer.drain()

    def _discards_message(self) -> bool:
        is_dropped = self._relay_table.drops_messages(self._sender, self._host)
        return self.discards_messages or is_dropped

    async def _report_request(self, body: bytes) -> None:
        req = decode_request(body[REQUEST_ID_BYTES:]).unwrap()
        self._sender = req.sender
        # The sender's address in the message can only be replaced once the
        # sender has a relay.
        await self._relay_table.wait_until_added(req.sender)
        await self._relay_table.on_request(req.sender, self._host, req.kind)


def _encode_address(port: int) -> bytes:
    return b"\0" + socket.inet_aton(LOOPBACK) + struct.pack("!H", port)
