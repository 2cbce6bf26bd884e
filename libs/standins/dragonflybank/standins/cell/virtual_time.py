"""An event loop in virtual time, which skips to the next timer.

Tasks belong to simulated processes, so that all tasks of a process can be
cancelled at once, as a kill of the process would end them.
"""

__all__ = [
    "VirtualClock",
    "VirtualLoop",
    "create_task_in_process",
    "current_process",
    "run_in_virtual_time",
]

import asyncio
import collections
import contextvars
import selectors
import weakref
from collections.abc import Coroutine
from typing import Any

from dragonflybank.cluster.clock import Clock

# Process that the running task belongs to. A task inherits it from the task
# that creates it.
current_process: contextvars.ContextVar[str] = contextvars.ContextVar(
    "current_process", default=""
)


def create_task_in_process(process: str, coro: Coroutine) -> asyncio.Task:
    """Returns a task that belongs to another process than its creator.

    It continues when the creator's process is killed.

    Args:
        process: Name of the process that the task belongs to.
        coro: Coroutine that the task runs.
    """
    context = contextvars.copy_context()
    context.run(current_process.set, process)
    return context.run(asyncio.create_task, coro)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that skips waiting: time jumps to the next timer.

    Timers fire in order as soon as no callback is ready. The loop serves only
    coroutines that wait for timers and for each other, not for I/O.
    """

    def __init__(self):
        self._time_selector = _TimeSelector()
        super().__init__(self._time_selector)
        self._process_of_task: weakref.WeakKeyDictionary[asyncio.Task, str] = (
            weakref.WeakKeyDictionary()
        )
        self.set_task_factory(_create_task)
        self._ready = _ReadyQueue(self)

    def freeze(self, process: str) -> None:
        """Lets a process stand still until `thaw`; its timers go on."""
        self._ready.frozen.add(process)

    def thaw(self, process: str) -> None:
        """Lets a frozen process go on with all that was due meanwhile."""
        self._ready.thaw(process)

    def kill(self, process: str) -> None:
        """Cancels all tasks that belong to a process."""
        for task, owner in list(self._process_of_task.items()):
            if owner == process:
                task.cancel()

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._time_selector.now


def _create_task(loop: VirtualLoop, coro: Coroutine, **kwargs) -> asyncio.Task:
    task = asyncio.Task(coro, loop=loop, **kwargs)
    loop._process_of_task[task] = current_process.get()
    return task


class _ReadyQueue(collections.deque):
    """Callbacks that are due; those of frozen processes are kept back."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__()
        self._skipped = asyncio.Handle(lambda: None, (), loop)
        self._skipped.cancel()
        self.frozen: set[str] = set()
        self._kept: list[asyncio.Handle] = []

    def popleft(self) -> asyncio.Handle:
        """Returns the next callback, or a cancelled one if it is kept back."""
        handle = super().popleft()
        if self.frozen and handle._context.get(current_process) in self.frozen:
            self._kept.append(handle)
            return self._skipped
        return handle

    def thaw(self, process: str) -> None:
        """Makes the callbacks of a process due again, in their order."""
        self.frozen.discard(process)
        kept, self._kept = self._kept, []
        self.extend(kept)


class _TimeSelector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None):
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait and no timer is set")
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
