"""Calls at which a fault may strike, and the hooks that watch them."""

__all__ = ["STORE_POINTS", "WORKER_POINTS", "Point", "Trap", "tap_of"]

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from dragonflybank.standins.faults import Hook, HookTiming


@attrs.frozen
class Point:
    """A kind of call at which a fault may strike.

    Attributes:
        server: ``store``, ``worker`` or ``peer``.
        kind: Kind of the call.
        path: Prefix of the call's path.
    """

    server: str
    kind: str
    path: str = ""


@attrs.define(eq=False)
class Trap:
    """The call at which the fault strikes.

    Attributes:
        point: Kind of the call.
        when: Before or after its effect.
        act: Called with the name of the server or of the receiving host.
        accepts: Whether a call at a server is the one.
        fired: Set when the call has come.
    """

    point: Point
    when: HookTiming
    act: Callable[[str], Awaitable[None]]
    accepts: Callable[[str], bool] = lambda server: True
    fired: asyncio.Event = attrs.field(factory=asyncio.Event)


STORE_POINTS = (
    Point("store", "put", "/v1/kv/shards/"),
    Point("store", "put", "/v1/kv/config/staged/"),
    Point("store", "put", "/v1/kv/config/active"),
    Point("store", "get", "/v1/kv/config/active"),
)
WORKER_POINTS = tuple(
    Point("worker", kind)
    for kind in ("claim", "start", "renew", "events", "ack", "stop")
)


@attrs.define(eq=False)
class _Tap(Hook):
    def count_call(self, kind: str, path: str) -> bool:
        """See `Hook.count_call`; a tap fires at each call."""
        return kind == self.kind and path.startswith(self.path)


def tap_of(
    reached: Callable[[Point, HookTiming, str], Awaitable[None]],
    server: str,
    point: Point,
    when: HookTiming,
) -> Hook:
    """Returns a hook that reports every call of a kind at a server."""

    async def run() -> None:
        await reached(point, when, server)

    return _Tap(point.kind, when=when, path=point.path, run=run)
