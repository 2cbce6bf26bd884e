"""Applies fault switches and hooks to the calls of a stand-in.

A call passes, in this order: silence of its connection, the delay, a lost
request, hooks before the effect, a paused VM, the effect, hooks after it, a
paused VM, a lost reply.
"""

__all__ = ["ANSWERED", "Gate"]

import asyncio
import enum
import time
import weakref
from collections.abc import Awaitable, Callable, Iterable

from aiohttp import web

from dragonflybank.standins.faults import (
    FaultSwitches,
    Hook,
    HookAction,
    HookTiming,
)
from dragonflybank.standins.records import FaultSet, RecordLog

# Key of a request under which a handler leaves a function that makes the record
# of its answer from the time at which the answer is sent.
ANSWERED = web.RequestKey("answered", Callable)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Gate:
    """The faults of one stand-in.

    Attributes:
        switches: Faults in force.

    Args:
        name: Name of the stand-in in records.
        log: Records.
        set_faults: Coroutine function that changes switches by name.
        transports: Function that returns the open connections.
    """

    def __init__(
        self,
        name: str,
        log: RecordLog,
        *,
        set_faults: Callable[..., Awaitable[None]],
        transports: Callable[[], Iterable[asyncio.Transport]],
    ):
        self.switches = FaultSwitches()
        self._name = name
        self._log = log
        self._set_faults = set_faults
        self._transports = transports
        self._hooks: list[Hook] = []
        self._silenced = weakref.WeakSet()
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._effects: set[asyncio.Task] = set()

    def arm(self, hook: Hook) -> None:
        """Arms a hook."""
        self._hooks.append(hook)

    def release(self) -> None:
        """Lets all held calls continue."""
        for hook in self._hooks:
            hook.released.set()

    def silence(self) -> None:
        """Silences the connections that are open now, for good."""
        self._silenced.update(self._transports())
        self.note("silence")

    def set_frozen(self, is_frozen: bool) -> None:
        """Holds all calls back or lets them continue."""
        if is_frozen:
            self._thawed.clear()
        else:
            self._thawed.set()

    def note(self, fault: str) -> None:
        """Records a fault."""
        self._log.add(FaultSet(time.time(), self._name, fault))

    def cancel(self) -> None:
        """Cancels the calls in progress."""
        for task in tuple(self._effects):
            task.cancel()

    async def apply(
        self, kind: str, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Passes a call through the faults to its handler.

        Args:
            kind: Kind of the call.
            request: The request.
            handler: Has the effect of the call and makes the reply.
        """
        hooks = [h for h in self._hooks if h.count_call(kind, request.path)]
        await request.read()
        call = self._pass(request, handler, hooks)
        if request.method == "GET":
            reply = await call
        else:
            # The effect does not depend on whether the caller still waits.
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
        if ANSWERED in request and not _is_gone(request):
            self._log.add(request[ANSWERED](time.time()))
        return reply

    async def _pass(self, request, handler, hooks):
        if request.transport in self._silenced:
            return _NoReply.HANG
        if self.switches.delay_s > 0:
            await asyncio.sleep(self.switches.delay_s)
        if self.switches.drop_request:
            return _NoReply.HANG
        for hook in hooks:
            ending = await self._fire(hook, HookTiming.BEFORE)
            if ending is not None:
                return ending
        await self._thawed.wait()
        reply = await handler(request)
        for hook in hooks:
            reply = await self._fire(hook, HookTiming.AFTER) or reply
        await self._thawed.wait()
        return _NoReply.CLOSE if self.switches.drop_reply else reply

    async def _fire(self, hook: Hook, when: HookTiming):
        """Fires a hook and returns what takes the place of the reply."""
        if hook.when is not when:
            return None
        self.note(f"{hook.action} {hook.when} {hook.kind}")
        if hook.run is not None:
            await hook.run()
        hook.fired.set()
        match hook.action:
            case HookAction.CLOSE:
                return _NoReply.CLOSE
            case HookAction.DROP:
                return _NoReply.HANG
            case HookAction.ERROR:
                return web.json_response({"error": "fault"}, status=503)
            case HookAction.DELAY:
                await asyncio.sleep(hook.delay_s)
            case HookAction.HOLD:
                await hook.released.wait()
            case HookAction.SILENCE:
                self.silence()
            case HookAction.FREEZE:
                await self._set_faults(frozen=True)
            case HookAction.DOWN:
                await self._set_faults(down=True)
            case HookAction.KILL:
                await self._set_faults(killed=True)
        return None


def _is_gone(request: web.Request) -> bool:
    return request.transport is None or request.transport.is_closing()


class _NoReply(enum.Enum):
    CLOSE = 1
    HANG = 2
