"""The command line of the stand-ins.

A program prints one line of JSON with ``port`` (of its first server), ``ports``
by server name and ``control_port``, and serves until SIGTERM. The control port
stays reachable while a server is down. Its calls name the server in the query,
such as ``POST /control/faults?server=w1``. A program that is killed loses its
records, so tests simulate the loss of a VM with the switch ``killed``.
"""

__all__ = ["ControlServer", "run_program"]

import argparse
import asyncio
import json
import signal
from collections.abc import Callable, Mapping

from aiohttp import web

from dragonflybank.standins.records import RecordLog
from dragonflybank.standins.server import Route, StandinServer

Servers = Mapping[str, StandinServer]


def run_program(
    title: str,
    make_servers: Callable[[argparse.Namespace, RecordLog], Servers],
    add_arguments: Callable[[argparse.ArgumentParser], None] = lambda _: None,
) -> None:
    """Serves until SIGTERM or SIGINT.

    Args:
        title: Description for the help text.
        make_servers: Creates the servers; all share one record log.
        add_arguments: Adds the arguments of this program.
    """
    parser = argparse.ArgumentParser(description=title)
    parser.add_argument("--port", type=int, default=0)
    add_arguments(parser)
    asyncio.run(_serve(parser.parse_args(), make_servers))


class ControlServer(StandinServer):
    """Serves the control calls of several stand-ins on a separate port."""

    def __init__(self, servers: Servers, log: RecordLog):
        super().__init__("control", log)
        self.servers = servers

    def routes(self) -> list[Route]:
        """See `StandinServer.routes`."""
        return []

    def _find_server(self, request: web.Request) -> StandinServer:
        first = next(iter(self.servers))
        name = request.query.get("server", first)
        if name not in self.servers:
            raise web.HTTPNotFound(text=f"no server {name}")
        return self.servers[name]

    async def control_faults(self, request: web.Request) -> web.Response:
        """See `StandinServer.control_faults`."""
        return await self._find_server(request).control_faults(request)

    async def control_calls(self, request: web.Request) -> web.Response:
        """See `StandinServer.control_calls`."""
        return await self._find_server(request).control_calls(request)


async def _serve(args: argparse.Namespace, make_servers) -> None:
    log = RecordLog()
    servers = make_servers(args, log)
    for number, server in enumerate(servers.values()):
        # With a fixed first port the other servers get the following ports.
        await server.start(args.port + number if args.port else 0)
    control = ControlServer(servers, log)
    await control.start()
    ports = {name: server.port for name, server in servers.items()}
    line = {"port": next(iter(ports.values())), "ports": ports}
    print(json.dumps({**line, "control_port": control.port}), flush=True)
    await _wait_for_signal()
    for server in (*servers.values(), control):
        await server.close()


async def _wait_for_signal() -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
