"""Calls of hosts to an executor in memory, under the executor's faults.

A call travels on its own: it also arrives if its host has been killed or no
longer waits for the answer. It is executed by the incarnation that answers at
the called address when it arrives, which may be a later one than the host
knows. A call that is under way when the executor crashes gets no answer.
"""

__all__ = ["MemoryExecutorClient"]

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from returns.result import Result, Success

from dragonflybank.cell.jobs import TaskId
from dragonflybank.cell.ports import (
    CommandAnswer,
    CommandReply,
    ExecutorClient,
    PollReply,
    StartCommand,
)
from dragonflybank.model.codes import Code, Problem, failure

if TYPE_CHECKING:
    from dragonflybank.standins.cell.executors import MemoryExecutor

LATENCY_S = 0.003
CALL_TIMEOUT_S = 0.4

# Executes a call and returns its answer; the argument tells whether it is late.
_Execute = Callable[[bool], Awaitable[CommandAnswer | PollReply]]


class MemoryExecutorClient(ExecutorClient):
    """A host's client of an executor.

    Args:
        executor: The executor.
        host: Name of the host.
        address: Address that the host calls.
    """

    def __init__(self, executor: "MemoryExecutor", host: str, address: str):
        self._executor = executor
        self._host = host
        self._address = address

    async def start(
        self, command: StartCommand
    ) -> Result[CommandAnswer, Problem]:
        """See `ExecutorClient.start`."""
        return await self._command(
            lambda late: self._executor.start(command, late=late)
        )

    async def stop(
        self, task: TaskId, attempt: int, *, epoch: int
    ) -> Result[CommandAnswer, Problem]:
        """See `ExecutorClient.stop`."""
        return await self._command(
            lambda late: self._executor.stop(task, attempt, epoch)
        )

    async def poll(
        self, *, epoch: int, acked_end: int, lease_until_s: float, wait_s: float
    ) -> Result[PollReply, Problem]:
        """See `ExecutorClient.poll`."""
        executor = self._executor
        if executor.faults.raises_in_caller:
            executor.faults.raises_in_caller = False
            raise RuntimeError("a programming error in the host")

        async def execute(late: bool) -> PollReply:
            return await executor.poll(
                epoch, acked_end, lease_until_s, 0.0 if late else wait_s
            )

        return await self._call(
            execute, PollReply(CommandReply.OTHER_INSTANCE), wait_s=wait_s
        )

    async def throttle(
        self, task: TaskId, attempt: int, *, percent: int, epoch: int
    ) -> Result[CommandAnswer, Problem]:
        """See `ExecutorClient.throttle`; it has no effect."""
        return Success(CommandAnswer(CommandReply.OK, self._executor.clock_s()))

    async def close(self) -> None:
        """Nothing is open."""

    async def _command(
        self, operation: Callable[[bool], CommandReply]
    ) -> Result[CommandAnswer, Problem]:
        async def execute(late: bool) -> CommandAnswer:
            return CommandAnswer(operation(late), self._executor.clock_s())

        return await self._call(
            execute, CommandAnswer(CommandReply.OTHER_INSTANCE)
        )

    async def _call(
        self,
        execute: _Execute,
        answer_of_other: CommandAnswer | PollReply,
        *,
        wait_s: float = 0.0,
    ) -> Result:
        """Sends a call and waits for its answer.

        Args:
            execute: Executes it.
            answer_of_other: Answer if another executor has the address.
            wait_s: Time that it may wait at the executor, in seconds.
        """
        answer = asyncio.get_running_loop().create_future()
        self._executor.spawn(self._deliver(execute, answer_of_other, answer))
        await asyncio.wait(
            {answer}, timeout=LATENCY_S + CALL_TIMEOUT_S + wait_s
        )
        if answer.done():
            return Success(answer.result())
        return failure(Code.TIMED_OUT, "the executor does not answer")

    async def _deliver(
        self,
        execute: _Execute,
        answer_of_other: CommandAnswer | PollReply,
        answer: asyncio.Future,
    ) -> None:
        executor, faults = self._executor, self._executor.faults
        await asyncio.sleep(LATENCY_S + executor.draw_delay_s())
        if not executor.is_reachable(self._host, self._address):
            return
        if faults.is_replaced:
            answer.set_result(answer_of_other)
            return
        draw = executor.rng.random()
        is_lost = draw < faults.late_share + faults.lost_share
        if draw < faults.late_share:
            await asyncio.sleep(executor.rng.uniform(*faults.late_range_s))
            if executor.is_serving(self._address):
                await execute(True)
            return
        incarnation = executor.info.incarnation
        got = await execute(False)
        if is_lost:
            return
        await asyncio.sleep(executor.draw_delay_s())
        if executor.info.incarnation == incarnation and executor.is_reachable(
            self._host, self._address
        ):
            answer.set_result(got)
