"""The base of the stand-ins' HTTP servers.

A server listens on 127.0.0.1, and `fault_injection` applies the faults to each
call. Paths below ``/control`` are exempt from faults, except that a stand-in
that is down refuses their connections too. The control port of `program` stays
reachable.
"""

__all__ = ["Route", "StandinServer"]

import asyncio
import collections
import json
import socket
from collections.abc import Awaitable, Callable, Iterable

import attrs
from aiohttp import web

from dragonflybank.standins.fault_injection import FaultInjector
from dragonflybank.standins.faults import FaultSwitches, Hook, decode_hook
from dragonflybank.standins.records import RecordLog, encode_record

ADDRESS = "127.0.0.1"
# Above the store's limit, so that the store itself answers 413.
MAX_REQUEST_BYTES = 8 << 20
# Handlers of aborted connections are cancelled at once, so there is nothing
# to wait for.
SHUTDOWN_TIMEOUT_S = 0.05
# A short queue would drop connections when many callers connect at once.
ACCEPT_BACKLOG = 1024
# HTTP versions, status and line ends of a request and its response.
START_LINES_BYTES = 32


@attrs.frozen
class Route:
    """One call that a stand-in serves.

    Attributes:
        method: HTTP method.
        path: Path pattern of aiohttp.
        kind: Name by which the call is counted and hooks are armed.
        handler: Coroutine function from request to response.
    """

    method: str
    path: str
    kind: str
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]]


class StandinServer:
    """Base class of the stand-ins' servers.

    Attributes:
        name: Name of the stand-in in records.
        log: Records of what the server observed.
        calls: Number of calls by kind.
        bytes: Bytes of requests and responses by kind of call, with the HTTP
            headers.
        port: TCP port, 0 before `start`.
    """

    def __init__(self, name: str, log: RecordLog | None = None):
        self.name = name
        self.log = RecordLog() if log is None else log
        self.calls: collections.Counter[str] = collections.Counter()
        self.bytes: collections.Counter[str] = collections.Counter()
        self.port = 0
        self._injector = FaultInjector(
            name,
            self.log,
            set_faults=self.set_faults,
            transports=self._transports,
        )
        self._runner: web.AppRunner | None = None
        self._port_reservation: socket.socket | None = None
        self._site: web.SockSite | None = None

    @property
    def url(self) -> str:
        """Base URL."""
        return f"http://{ADDRESS}:{self.port}"

    @property
    def switches(self) -> FaultSwitches:
        """Faults in force; change them with `set_faults`."""
        return self._injector.switches

    def routes(self) -> list[Route]:
        """Returns the calls that the stand-in serves."""
        raise NotImplementedError

    async def start(self, port: int = 0) -> None:
        """Serves on a port; 0 lets the kernel choose one."""
        self._runner = web.AppRunner(
            self._make_app(),
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        # This socket never listens. It keeps the port reserved while the
        # stand-in is down, so that no other process is given the port.
        self._port_reservation = _bind_socket(port)
        self.port = self._port_reservation.getsockname()[1]
        await self._listen()

    async def close(self) -> None:
        """Stops serving and closes all connections."""
        await self._refuse_connections()
        self._injector.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        if self._port_reservation is not None:
            self._port_reservation.close()

    async def set_faults(
        self,
        *,
        silence: bool = False,
        hooks: Iterable[Hook] = (),
        release: bool = False,
        **changes,
    ) -> None:
        """Changes fault switches.

        Args:
            silence: Whether to stop answering on the connections that are open
                now, for good.
            hooks: Hooks to arm.
            release: Whether to let all held calls continue.
            **changes: New values of the switches, by name.

        Raises:
            ValueError: There is no such switch.
        """
        old = attrs.evolve(self.switches)
        for name, value in changes.items():
            # With a misspelt switch a test would pass without its fault.
            if not hasattr(old, name):
                raise ValueError(f"unknown fault switch {name}")
            setattr(self.switches, name, value)
            self._injector.record_fault(f"{name}={value}")
        if silence:
            self._injector.silence()
        for hook in hooks:
            self.arm(hook)
        if release:
            self._injector.release()
        await self._on_switches_changed(old)

    def arm(self, hook: Hook) -> Hook:
        """Arms a hook and returns it.

        Raises:
            ValueError: The stand-in has no call of this kind, so that the
                hook would never fire.
        """
        if hook.kind not in {route.kind for route in self.routes()}:
            raise ValueError(f"{self.name} has no call {hook.kind}")
        self._injector.arm(hook)
        return hook

    async def control_faults(self, request: web.Request) -> web.Response:
        """Serves ``POST /control/faults``."""
        changes = await request.json()
        try:
            hooks = [decode_hook(row) for row in changes.pop("hooks", ())]
            await self.set_faults(hooks=hooks, **changes)
        except ValueError as exc:
            return web.json_response({"error": str(exc)}, status=400)
        return web.json_response({})

    async def control_calls(self, request: web.Request) -> web.Response:
        """Serves ``GET /control/calls``."""
        return web.json_response(
            {"calls": dict(self.calls), "bytes": dict(self.bytes)}
        )

    async def _on_switches_changed(self, old: FaultSwitches) -> None:
        """Applies changed switches.

        Args:
            old: The switches before the change.
        """
        new = self.switches
        self._injector.set_frozen(new.frozen)
        if self._runner is None:
            return
        is_down = new.down or new.killed
        if is_down and self._site is not None:
            await self._refuse_connections()
        elif not is_down and self._site is None:
            await self._listen()

    def _make_app(self) -> web.Application:
        @web.middleware
        async def inject_faults(request, handler):
            kind = request.match_info.route.name
            if kind is None or kind.startswith("control"):
                return await handler(request)
            self.calls[kind] += 1
            return await self._injector.handle(kind, request, handler)

        app = web.Application(
            middlewares=[inject_faults], client_max_size=MAX_REQUEST_BYTES
        )
        app.on_response_prepare.append(self._count_bytes)
        for route in self.routes():
            app.router.add_route(
                route.method, route.path, route.handler, name=route.kind
            )
        app.router.add_post("/control/faults", self.control_faults)
        app.router.add_get("/control/records", self._control_records)
        app.router.add_get("/control/calls", self.control_calls)
        return app

    async def _count_bytes(self, request, response) -> None:
        name = request.match_info.route.name
        if name is None or name.startswith("control"):
            return
        self.bytes[name] += (
            START_LINES_BYTES
            + len(request.method)
            + len(request.raw_path)
            + _count_header_bytes(request.headers)
            + _count_header_bytes(response.headers)
            + (request.content_length or 0)
            + (response.content_length or 0)
        )

    async def _listen(self) -> None:
        sock = _bind_socket(self.port)
        self._site = web.SockSite(self._runner, sock, backlog=ACCEPT_BACKLOG)
        await self._site.start()

    async def _refuse_connections(self) -> None:
        site, self._site = self._site, None
        if site is not None:
            await site.stop()
        for transport in self._transports():
            transport.abort()

    def _transports(self) -> list[asyncio.Transport]:
        if self._runner is None or self._runner.server is None:
            return []
        conns = self._runner.server.connections
        return [c.transport for c in conns if c.transport is not None]

    async def _control_records(self, request: web.Request) -> web.Response:
        records = self.log.all(int(request.query.get("after", "0")))
        rows = [encode_record(record) for record in records]
        return web.json_response({"records": rows}, dumps=_dumps)


def _bind_socket(port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((ADDRESS, port))
    return sock


def _count_header_bytes(headers) -> int:
    return sum(len(name) + len(value) + 4 for name, value in headers.items())


def _dumps(value) -> str:
    return json.dumps(value, separators=(",", ":"))
