"""Calls at which a fault can be injected, and hooks that report them."""

__all__ = [
    "STORE_CALLS",
    "WORKER_CALLS",
    "Breakpoint",
    "CallPattern",
    "call_hook",
]

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from dragonflybank.standins.faults import Hook, HookTiming


@attrs.frozen
class CallPattern:
    """A kind of call at which a fault can be injected.

    Attributes:
        server: ``store``, ``worker`` or ``peer``.
        kind: Kind of the call.
        path: Prefix of the call's path.
    """

    server: str
    kind: str
    path: str = ""


@attrs.define(eq=False)
class Breakpoint:
    """The call at which the fault is injected.

    Attributes:
        pattern: Kind of the call.
        when: Whether it acts before or after the effect of the call.
        on_hit: Called with the name of the server or of the receiving host.
        matches_server: Returns whether calls at a server match.
        hit: Set when the first matching call is made.
    """

    pattern: CallPattern
    when: HookTiming
    on_hit: Callable[[str], Awaitable[None]]
    matches_server: Callable[[str], bool] = lambda server: True
    hit: asyncio.Event = attrs.field(factory=asyncio.Event)


STORE_CALLS = (
    CallPattern("store", "put", "/v1/kv/shards/"),
    CallPattern("store", "put", "/v1/kv/config/staged/"),
    CallPattern("store", "put", "/v1/kv/config/active"),
    CallPattern("store", "get", "/v1/kv/config/active"),
)
WORKER_CALLS = tuple(
    CallPattern("worker", kind)
    for kind in ("claim", "start", "renew", "events", "ack", "stop")
)


@attrs.define(eq=False)
class _CallHook(Hook):
    def count_call(self, kind: str, path: str) -> bool:
        """Returns whether a call matches; the hook fires at each match."""
        return kind == self.kind and path.startswith(self.path)


def call_hook(
    on_call: Callable[[CallPattern, HookTiming, str], Awaitable[None]],
    server: str,
    pattern: CallPattern,
    when: HookTiming,
) -> Hook:
    """Returns a hook that reports every matching call at a server."""

    async def run() -> None:
        await on_call(pattern, when, server)

    return _CallHook(pattern.kind, when=when, path=pattern.path, run=run)
