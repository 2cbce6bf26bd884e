"""Fault switches of the stand-ins and hooks that act on one exact call.

A switch stays in force until it is changed. A hook fires once, at the n-th
call of a kind after it was armed, before or after the effect of the call.
"""

__all__ = ["FaultSwitches", "Hook", "HookAction", "HookTiming", "decode_hook"]

import asyncio
import enum
from collections.abc import Awaitable, Callable

import attrs


class HookAction(enum.StrEnum):
    """What a hook does to its call.

    ``CLOSE`` closes the connection without a reply, ``DROP`` leaves it open
    without one, ``DELAY`` waits for `Hook.delay_s`, ``ERROR`` answers 503
    before the effect, ``HOLD`` waits until the hook is released, and ``NONE``
    does nothing. The others act on the whole stand-in: ``SILENCE`` stops
    answering on the open connections, and ``FREEZE``, ``DOWN`` and ``KILL`` set
    the switch of that fault.
    """

    CLOSE = "close"
    DROP = "drop"
    DELAY = "delay"
    ERROR = "error"
    SILENCE = "silence"
    FREEZE = "freeze"
    DOWN = "down"
    KILL = "kill"
    HOLD = "hold"
    NONE = "none"


class HookTiming(enum.StrEnum):
    """Whether a hook acts before or after the effect of the call."""

    BEFORE = "before"
    AFTER = "after"


@attrs.define
class FaultSwitches:
    """Faults in force at one stand-in.

    Attributes:
        down: New connections are refused, existing ones are closed.
        delay_s: Delay before the effect of each call, in seconds. The effect
            happens even if the caller has given up by then.
        drop_reply: The effect happens, then the connection is closed.
        drop_request: No effect; the connection stays open without a reply.
        fails_everything: Each task and lookup that starts at the worker fails
            early.
        frozen: The VM is paused. Calls take effect when it resumes; leases
            expire meanwhile.
        leaving: The worker reports that it is leaving.
        killed: The worker's VM and its tasks are lost. When the switch is
            cleared, a VM with a new incarnation replaces it.
    """

    down: bool = False
    delay_s: float = 0.0
    drop_reply: bool = False
    drop_request: bool = False
    fails_everything: bool = False
    frozen: bool = False
    leaving: bool = False
    killed: bool = False


@attrs.define(eq=False)
class Hook:
    """A fault armed for an exact call.

    Attributes:
        kind: Kind of the call, such as ``put`` or ``start``.
        action: What happens to the call.
        when: Whether it happens before or after the effect.
        nth: Number of matching calls until the hook fires, 1 for the next
            call; each matching call decrements it.
        path: Prefix that the path of the call must have.
        delay_s: Delay of ``HookAction.DELAY`` in seconds.
        run: Coroutine function that is called before the action; only for
            hooks that are armed in the stand-in's process.
        fired: Set when the hook has acted, before ``HookAction.HOLD`` waits.
        released: Ends ``HookAction.HOLD`` when set.
    """

    kind: str
    action: HookAction = HookAction.NONE
    when: HookTiming = HookTiming.BEFORE
    nth: int = 1
    path: str = ""
    delay_s: float = 0.0
    run: Callable[[], Awaitable[None]] | None = None
    fired: asyncio.Event = attrs.field(factory=asyncio.Event)
    released: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self):
        # The platform's status 503 means that the call had no effect.
        if self.action is HookAction.ERROR and self.when is HookTiming.AFTER:
            raise ValueError(
                "a hook with action error must act before the effect"
            )

    def count_call(self, kind: str, path: str) -> bool:
        """Counts a call and returns whether the hook fires at it."""
        if kind != self.kind or not path.startswith(self.path):
            return False
        self.nth -= 1
        return self.nth == 0


def decode_hook(row: dict) -> Hook:
    """Returns a hook from its JSON object."""
    return Hook(
        **{
            **row,
            "action": HookAction(row["action"]),
            "when": HookTiming(row.get("when", HookTiming.BEFORE)),
        }
    )
