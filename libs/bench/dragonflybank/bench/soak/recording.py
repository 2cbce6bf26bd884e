"""A client of a stand-in executor that records its calls in a file."""

__all__ = ["RecordingClient"]

import asyncio
import pathlib

from returns.result import Result, Success

from dragonflybank.cell.jobs import TaskId
from dragonflybank.cell.ports import (
    CommandAnswer,
    ExecutorClient,
    PollReply,
    StartCommand,
)
from dragonflybank.model.codes import Problem
from dragonflybank.standins.cell.executors import MemoryExecutor


class RecordingClient(ExecutorClient):
    """Records each call with the incarnations that received and answered it.

    A line has the time of the arrival, the executor, its incarnation at the
    arrival and at the answer, the executor's clock, the call and its outcome.

    Args:
        executor: The executor.
        path: File to which lines are appended.
        started_at: Time of the event loop from which times are counted.
    """

    def __init__(
        self, executor: MemoryExecutor, path: pathlib.Path, started_at: float
    ):
        self._executor = executor
        self._client = executor.client("any")
        self._path = path
        self._started_at = started_at

    async def start(
        self, command: StartCommand
    ) -> Result[CommandAnswer, Problem]:
        """Starts an attempt."""
        return await self._record(
            self._client.start(command),
            f"start {command.task} {command.attempt} "
            f"lease_until_s={command.lease_until_s:.2f} epoch={command.epoch}",
        )

    async def stop(
        self, task: TaskId, attempt: int, *, epoch: int
    ) -> Result[CommandAnswer, Problem]:
        """Stops an attempt."""
        return await self._record(
            self._client.stop(task, attempt, epoch=epoch),
            f"stop {task} {attempt} epoch={epoch}",
        )

    async def poll(
        self, *, epoch: int, acked_end: int, lease_until_s: float, wait_s: float
    ) -> Result[PollReply, Problem]:
        """Renews the lease and lists attempts."""
        return await self._record(
            self._client.poll(
                epoch=epoch,
                acked_end=acked_end,
                lease_until_s=lease_until_s,
                wait_s=wait_s,
            ),
            f"poll acked_end={acked_end} lease_until_s={lease_until_s:.2f} "
            f"wait_s={wait_s:.2f} epoch={epoch}",
        )

    async def throttle(
        self, task: TaskId, attempt: int, *, percent: int, epoch: int
    ) -> Result[CommandAnswer, Problem]:
        """Limits an attempt."""
        return await self._client.throttle(
            task, attempt, percent=percent, epoch=epoch
        )

    async def close(self) -> None:
        """Closes the client."""
        await self._client.close()

    async def _record(self, call, text: str):
        received_at = asyncio.get_running_loop().time() - self._started_at
        info, clock_s = self._executor.info, self._executor.clock_s()
        result = await call
        answered_by = self._executor.info.incarnation
        with self._path.open("a") as file:
            file.write(
                f"{received_at:7.2f} {info.id}/{info.incarnation} answered by "
                f"{answered_by} clock_s={clock_s:.2f} {text}: "
                f"{_describe(result)}\n"
            )
        return result


def _describe(result: Result) -> str:
    match result:
        case Success(CommandAnswer() as answer):
            return answer.reply.value
        case Success(PollReply() as reply):
            ends = ", ".join(
                f"{e.number} {e.task} {e.attempt} {e.kind.value}"
                for e in reply.ends
            )
            running = ", ".join(f"{r.task} {r.attempt}" for r in reply.running)
            return f"{reply.status.value} running [{running}] ends [{ends}]"
    return "unanswered"
