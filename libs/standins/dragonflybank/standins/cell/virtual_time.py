"""An event loop whose time advances at once to the next timer."""

__all__ = [
    "VirtualClock",
    "VirtualLoop",
    "create_task_in_process",
    "current_process",
    "run_in_virtual_time",
]

import asyncio
import contextvars
import selectors
import weakref
from collections.abc import Coroutine
from typing import Any

from dragonflybank.cluster.clock import Clock

# Process that a task belongs to; tasks inherit it from their creators.
current_process: contextvars.ContextVar[str] = contextvars.ContextVar(
    "current_process", default=""
)


def create_task_in_process(name: str, work: Coroutine) -> asyncio.Task:
    """Returns a task that outlives the process that creates it.

    Args:
        name: What the task belongs to instead.
        work: What it does.
    """
    context = contextvars.copy_context()
    context.run(current_process.set, name)
    return context.run(asyncio.create_task, work)


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop without waits: timers fire in order, as soon as nothing is ready.

    It serves coroutines that wait only for timers and for each other.
    """

    def __init__(self):
        self._time_selector = _TimeSelector()
        super().__init__(self._time_selector)
        self._process_of_task: weakref.WeakKeyDictionary[asyncio.Task, str] = (
            weakref.WeakKeyDictionary()
        )
        self.set_task_factory(_create_task)

    def kill(self, process: str) -> None:
        """Cancels all tasks that belong to a life of a process."""
        for task, owner in list(self._process_of_task.items()):
            if owner == process:
                task.cancel()

    def time(self) -> float:
        """Returns virtual seconds."""
        return self._time_selector.now


def _create_task(loop: VirtualLoop, work: Coroutine, **kwargs) -> asyncio.Task:
    task = asyncio.Task(work, loop=loop, **kwargs)
    loop._process_of_task[task] = current_process.get()
    return task


class _TimeSelector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None):
        if timeout is None:
            raise RuntimeError("all tasks wait for something that never comes")
        self.now += max(0.0, timeout)
        return []


class VirtualClock(Clock):
    """The clock of a `VirtualLoop`."""

    def now(self) -> float:
        """See `Clock.now`."""
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        """See `Clock.sleep`."""
        await asyncio.sleep(seconds)


def run_in_virtual_time(main: Coroutine) -> Any:
    """Runs a coroutine in virtual time and returns its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
