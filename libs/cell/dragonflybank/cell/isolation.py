"""Isolation of faults, so that one input does not end a loop or a process.

A call to an executor that raises counts as a call without a reply: it may have
had an effect. An end or an entry whose handling raises is set aside, and all
others are handled. A step whose placement raises is tried again later. A loop
that ends by an exception is started again.
"""

__all__ = [
    "IsolatedExecutorClient",
    "is_set_aside",
    "run_supervised",
    "set_step_aside",
]

import logging
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from returns.result import Result

from dragonflybank.cell.jobs import TaskId
from dragonflybank.cell.ports import (
    CommandAnswer,
    ExecutorClient,
    PollReply,
    StartCommand,
)
from dragonflybank.cell.state import AttemptPhase, StepState
from dragonflybank.cluster.clock import Clock
from dragonflybank.model.codes import Code, Problem, failure

if TYPE_CHECKING:
    from dragonflybank.cell.leader import Leader

_log = logging.getLogger(__name__)

# Delay before a loop is started again after an exception.
RESTART_DELAY_S = 1.0
# Delays before a step is placed again after its first exception and after later
# ones. Its state may have changed, and nobody is there to release it.
FIRST_STEP_DELAY_S = 1.0
STEP_DELAY_S = 30.0


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
    ) -> Result[CommandAnswer, Problem]:
        """See `ExecutorClient.start`."""
        return await self._isolate(self._client.start(command))

    async def stop(
        self, task: TaskId, attempt: int, *, epoch: int
    ) -> Result[CommandAnswer, Problem]:
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
    ) -> Result[CommandAnswer, Problem]:
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


def is_set_aside(step: StepState, now: float) -> bool:
    """Returns whether a step waits after an exception."""
    return step.fault_count > 0 and step.blocked_until > now


def set_step_aside(leader: "Leader", step: StepState, now: float) -> None:
    """Handles an exception that the placement of a step has raised.

    Attempts that its placement began are stopped, since they may be incomplete.

    Args:
        leader: The leader.
        step: The step.
        now: Current time.
    """
    step.fault_count += 1
    delay_s = FIRST_STEP_DELAY_S if step.fault_count == 1 else STEP_DELAY_S
    step.blocked_until = now + delay_s
    _log.exception(
        "step set aside",
        extra={
            "step": step.name,
            "faults": step.fault_count,
            "delay_s": delay_s,
        },
    )
    leader.metrics.isolated_faults.labels("placement").inc()
    for task in step.tasks:
        for attempt in list(task.attempts):
            if attempt.phase in (AttemptPhase.RESERVED, AttemptPhase.STARTING):
                leader.attempts.stop(attempt, "step set aside")
