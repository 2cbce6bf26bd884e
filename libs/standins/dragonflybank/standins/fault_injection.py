"""Applies fault switches and hooks to the calls of a stand-in.

The faults act on a call in this order: a silenced connection, the delay, a
lost request, hooks before the effect, a paused VM, the effect, hooks after it,
a paused VM, a lost reply.
"""

__all__ = ["REPLY_RECORD", "FaultInjector"]

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

# A handler may store a function under this key of its request. It gets the time
# at which the reply is sent and returns the record of the reply.
REPLY_RECORD = web.RequestKey("answered", Callable)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class FaultInjector:
    """Injects the faults of one stand-in into its calls.

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
        self._silenced_transports = weakref.WeakSet()
        self._not_frozen = asyncio.Event()
        self._not_frozen.set()
        self._writes_in_progress: set[asyncio.Task] = set()

    def arm(self, hook: Hook) -> None:
        """Arms a hook."""
        self._hooks.append(hook)

    def release(self) -> None:
        """Ends `HookAction.HOLD` for all held calls."""
        for hook in self._hooks:
            hook.released.set()

    def silence(self) -> None:
        """Stops answering on the connections that are open now, for good."""
        self._silenced_transports.update(self._transports())
        self.record_fault("silence")

    def set_frozen(self, is_frozen: bool) -> None:
        """Pauses or resumes all calls, as a pause of the VM does."""
        if is_frozen:
            self._not_frozen.clear()
        else:
            self._not_frozen.set()

    def record_fault(self, fault: str) -> None:
        """Adds a record of a fault."""
        self._log.add(FaultSet(time.time(), self._name, fault))

    def cancel(self) -> None:
        """Cancels the writes in progress."""
        for task in tuple(self._writes_in_progress):
            task.cancel()

    async def handle(
        self, kind: str, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Handles a call under the faults in force.

        Args:
            kind: Kind of the call.
            request: The request.
            handler: Produces the effect of the call and the reply.
        """
        hooks = [h for h in self._hooks if h.count_call(kind, request.path)]
        await request.read()
        call = self._handle_with_faults(request, handler, hooks)
        if request.method == "GET":
            reply = await call
        else:
            # A write takes effect even if its caller has given up.
            task = asyncio.create_task(call)
            self._writes_in_progress.add(task)
            task.add_done_callback(self._writes_in_progress.discard)
            reply = await asyncio.shield(task)
        if reply is _NoReply.CLOSE:
            if request.transport is not None:
                request.transport.abort()
            return web.Response()
        if (
            reply is _NoReply.NEVER
            or request.transport in self._silenced_transports
        ):
            # Waits until it is cancelled, when the connection is closed.
            await asyncio.get_running_loop().create_future()
        if REPLY_RECORD in request and not _is_disconnected(request):
            self._log.add(request[REPLY_RECORD](time.time()))
        return reply

    async def _handle_with_faults(self, request, handler, hooks):
        if request.transport in self._silenced_transports:
            return _NoReply.NEVER
        if self.switches.delay_s > 0:
            await asyncio.sleep(self.switches.delay_s)
        if self.switches.drop_request:
            return _NoReply.NEVER
        for hook in hooks:
            reply = await self._fire(hook, HookTiming.BEFORE)
            if reply is not None:
                return reply
        await self._not_frozen.wait()
        reply = await handler(request)
        for hook in hooks:
            reply = await self._fire(hook, HookTiming.AFTER) or reply
        await self._not_frozen.wait()
        return _NoReply.CLOSE if self.switches.drop_reply else reply

    async def _fire(self, hook: Hook, when: HookTiming):
        """Fires a hook that acts at this time.

        Returns:
            What replaces the reply, None to keep it.
        """
        if hook.when is not when:
            return None
        self.record_fault(f"{hook.action} {hook.when} {hook.kind}")
        if hook.run is not None:
            await hook.run()
        hook.fired.set()
        match hook.action:
            case HookAction.CLOSE:
                return _NoReply.CLOSE
            case HookAction.DROP:
                return _NoReply.NEVER
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


def _is_disconnected(request: web.Request) -> bool:
    return request.transport is None or request.transport.is_closing()


class _NoReply(enum.Enum):
    CLOSE = 1
    NEVER = 2
