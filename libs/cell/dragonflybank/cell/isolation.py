"""Isolation of faults, so that one input does not end a loop or a process.

A call to an executor that raises counts as a call without a reply: it may have
had an effect. An end or an entry whose handling raises is set aside, and all
others are handled. A loop that ends by an exception is started again.
"""

__all__ = ["IsolatedExecutorClient", "run_supervised"]

import logging
from collections.abc import Awaitable, Callable

from returns.result import Result

from dragonflybank.cell.jobs import TaskId
from dragonflybank.cell.ports import (
    CommandReply,
    ExecutorClient,
    PollReply,
    StartCommand,
)
from dragonflybank.cluster.clock import Clock
from dragonflybank.model.codes import Code, Problem, failure

_log = logging.getLogger(__name__)

# Delay before a loop is started again after an exception.
RESTART_DELAY_S = 1.0


class IsolatedExecutorClient(ExecutorClient):
    """A client whose calls fail with ``TIMED_OUT`` instead of raising.

    Args:
        client: The client that makes the calls.
        executor: Identifier of the executor.
        on_fault: Called after a call has raised an exception.
    """

    def __init__(
        self,
        client: ExecutorClient,
        executor: str,
        on_fault: Callable[[], None],
    ):
        self._client = client
        self._executor = executor
        self._on_fault = on_fault

    async def start(
        self, command: StartCommand
    ) -> Result[CommandReply, Problem]:
        """See `ExecutorClient.start`."""
        return await self._isolate(self._client.start(command))

    async def stop(
        self, task: TaskId, attempt: int, *, epoch: int
    ) -> Result[CommandReply, Problem]:
        """See `ExecutorClient.stop`."""
        return await self._isolate(
            self._client.stop(task, attempt, epoch=epoch)
        )

    async def poll(
        self, *, epoch: int, acked_end: int, lease_until_s: float, wait_s: float
    ) -> Result[PollReply, Problem]:
        """See `ExecutorClient.poll`."""
        return await self._isolate(
            self._client.poll(
                epoch=epoch,
                acked_end=acked_end,
                lease_until_s=lease_until_s,
                wait_s=wait_s,
            )
        )

    async def throttle(
        self, task: TaskId, attempt: int, *, percent: int, epoch: int
    ) -> Result[CommandReply, Problem]:
        """See `ExecutorClient.throttle`."""
        return await self._isolate(
            self._client.throttle(task, attempt, percent=percent, epoch=epoch)
        )

    async def close(self) -> None:
        """See `ExecutorClient.close`."""
        await self._client.close()

    async def _isolate(self, call: Awaitable[Result]) -> Result:
        try:
            return await call
        except Exception as exc:
            _log.exception(
                "call of an executor raised an exception",
                extra={"executor": self._executor},
            )
            self._on_fault()
            return failure(Code.TIMED_OUT, f"{type(exc).__name__}: {exc}")


async def run_supervised(
    name: str,
    run_loop: Callable[[], Awaitable[None]],
    *,
    clock: Clock,
    on_fault: Callable[[], None],
) -> None:
    """Runs a loop and starts it again after an exception.

    Args:
        name: Name of the loop in the log.
        run_loop: Runs the loop; it has no state that an exception could leave
            inconsistent.
        clock: Clock of the host.
        on_fault: Called after each exception.
    """
    while True:
        try:
            await run_loop()
            return
        except Exception:
            _log.exception(
                "loop ended by an exception, starting it again",
                extra={"loop": name, "delay_s": RESTART_DELAY_S},
            )
            on_fault()
            await clock.sleep(RESTART_DELAY_S)
