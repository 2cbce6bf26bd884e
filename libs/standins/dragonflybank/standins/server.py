"""The HTTP server that all stand-ins share.

It serves on 127.0.0.1 and applies the fault switches and hooks to each call.
The paths below ``/control`` are exempt from faults, except that a stand-in
which is down refuses them too; the control port of `program` stays reachable.
"""

__all__ = ["Route", "StandinServer"]

import asyncio
import collections
import contextlib
import enum
import json
import socket
import time
import weakref
from collections.abc import Awaitable, Callable

import attrs
from aiohttp import web

from dragonflybank.standins.faults import (
    Action,
    Hook,
    Switches,
    When,
    decode_hook,
)
from dragonflybank.standins.records import FaultSet, RecordLog, encode_record

ADDRESS = "127.0.0.1"
# Above the store's limit, so that the store itself answers 413.
MAX_REQUEST_BYTES = 8 << 20
# Handlers of aborted connections are cancelled at once; nothing to wait for.
SHUTDOWN_TIMEOUT_S = 0.05


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
    """Base of the stand-ins.

    Attributes:
        name: Name in records.
        log: Records of what the server saw.
        switches: Faults in force; change them with `set_faults`.
        calls: Number of calls by kind.
        port: TCP port, 0 before `start`.
    """

    def __init__(self, name: str, log: RecordLog | None = None):
        self.name = name
        self.log = log or RecordLog()
        self.switches = Switches()
        self.calls: collections.Counter[str] = collections.Counter()
        self.port = 0
        self._hooks: list[Hook] = []
        self._silenced = weakref.WeakSet()
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._effects: set[asyncio.Task] = set()
        self._runner: web.AppRunner | None = None
        self._reserved: socket.socket | None = None
        self._site: web.SockSite | None = None

    @property
    def url(self) -> str:
        """Base URL."""
        return f"http://{ADDRESS}:{self.port}"

    def routes(self) -> list[Route]:
        """Returns the calls that the stand-in serves."""
        raise NotImplementedError

    async def start(self, port: int = 0) -> None:
        """Serves on a port; 0 lets the kernel choose one."""

        @web.middleware
        async def with_faults(request, handler):
            return await self._apply_faults(request, handler)

        app = web.Application(
            middlewares=[with_faults], client_max_size=MAX_REQUEST_BYTES
        )
        for route in self.routes():
            app.router.add_route(
                route.method, route.path, route.handler, name=route.kind
            )
        app.router.add_post("/control/faults", self._control_faults)
        app.router.add_get("/control/records", self._control_records)
        app.router.add_get("/control/calls", self._control_calls)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        # This socket never listens. It keeps the port while the stand-in is
        # down, so that no other process can be given the port meanwhile.
        self._reserved = _bound_socket(port)
        self.port = self._reserved.getsockname()[1]
        await self._listen()

    async def close(self) -> None:
        """Stops serving and closes all connections."""
        await self._refuse_connections()
        for task in tuple(self._effects):
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        if self._reserved is not None:
            self._reserved.close()

    async def set_faults(
        self, *, silence: bool = False, hooks=(), release: bool = False, **on
    ) -> None:
        """Changes fault switches.

        Args:
            silence: Silences the connections that are open now, for good.
            hooks: Hooks to arm.
            release: Lets all held calls continue.
            **on: Switches by name with their new values.
        """
        old = attrs.evolve(self.switches)
        for name, value in on.items():
            # A misspelt switch must not pass as a fault that was survived.
            if not hasattr(old, name):
                raise ValueError(f"unknown fault switch {name}")
            setattr(self.switches, name, value)
            self._note(f"{name}={value}")
        if silence:
            self._silence()
        for hook in hooks:
            self.arm(hook)
        if release:
            for hook in self._hooks:
                hook.released.set()
        await self._switched(old)

    def arm(self, hook: Hook) -> Hook:
        """Arms a hook and returns it."""
        self._hooks.append(hook)
        return hook

    async def _switched(self, old: Switches) -> None:
        new = self.switches
        if new.frozen:
            self._thawed.clear()
        else:
            self._thawed.set()
        is_down = new.down or new.killed
        if is_down and self._site is not None:
            await self._refuse_connections()
        elif not is_down and self._site is None:
            await self._listen()

    async def _listen(self) -> None:
        sock = _bound_socket(self.port)
        self._site = web.SockSite(self._runner, sock, backlog=1024)
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

    def _silence(self) -> None:
        self._silenced.update(self._transports())
        self._note("silence")

    def _note(self, fault: str) -> None:
        self.log.add(FaultSet(time.time(), self.name, fault))

    async def _apply_faults(self, request, handler):
        kind = request.match_info.route.name
        if kind is None or kind.startswith("control"):
            return await handler(request)
        self.calls[kind] += 1
        hooks = [h for h in self._hooks if h.counts(kind, request.path)]
        await request.read()
        call = self._call(request, handler, hooks)
        if request.method == "GET":
            reply = await call
        else:
            # The effect of a call does not depend on the caller's patience.
            task = asyncio.create_task(call)
            self._effects.add(task)
            task.add_done_callback(self._effects.discard)
            reply = await asyncio.shield(task)
        if reply is _NoReply.CLOSE:
            if request.transport is not None:
                request.transport.abort()
            return web.Response()
        if reply is _NoReply.HANG or request.transport in self._silenced:
            # Ends by cancellation when the connection is closed.
            await asyncio.get_running_loop().create_future()
        return reply

    async def _call(self, request, handler, hooks):
        if request.transport in self._silenced:
            return _NoReply.HANG
        await self._thawed.wait()
        if self.switches.delay_s > 0:
            await asyncio.sleep(self.switches.delay_s)
        if self.switches.drop_request:
            return _NoReply.HANG
        for hook in hooks:
            ending = await self._fire(hook, When.BEFORE)
            if ending is not None:
                return ending
        await self._thawed.wait()
        reply = await handler(request)
        for hook in hooks:
            ending = await self._fire(hook, When.AFTER)
            reply = reply if ending is None else ending
        await self._thawed.wait()
        return _NoReply.CLOSE if self.switches.drop_reply else reply

    async def _fire(self, hook: Hook, when: When):
        if hook.when is not when:
            return None
        self._note(f"{hook.action} {hook.when} {hook.kind}")
        if hook.run is not None:
            await hook.run()
        hook.fired.set()
        match hook.action:
            case Action.CLOSE:
                return _NoReply.CLOSE
            case Action.DROP:
                return _NoReply.HANG
            case Action.ERROR:
                return web.json_response({"error": "fault"}, status=503)
            case Action.DELAY:
                await asyncio.sleep(hook.delay_s)
            case Action.SILENCE:
                self._silence()
            case Action.HOLD:
                await hook.released.wait()
            case Action.FREEZE:
                await self.set_faults(frozen=True)
            case Action.DOWN:
                await self.set_faults(down=True)
            case Action.KILL:
                await self.set_faults(killed=True)
        return None

    async def _control_faults(self, request: web.Request) -> web.Response:
        changes = await request.json()
        hooks = [decode_hook(row) for row in changes.pop("hooks", ())]
        with contextlib.suppress(ConnectionError):
            await self.set_faults(hooks=hooks, **changes)
        return web.json_response({})

    async def _control_records(self, request: web.Request) -> web.Response:
        records = self.log.all(int(request.query.get("after", "0")))
        rows = [encode_record(record) for record in records]
        return web.json_response({"records": rows}, dumps=_dumps)

    async def _control_calls(self, request: web.Request) -> web.Response:
        return web.json_response({"calls": dict(self.calls)})


class _NoReply(enum.Enum):
    CLOSE = 1
    HANG = 2


def _bound_socket(port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((ADDRESS, port))
    return sock


def _dumps(value) -> str:
    return json.dumps(value, separators=(",", ":"))
