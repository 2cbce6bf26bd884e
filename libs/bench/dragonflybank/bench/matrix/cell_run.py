"""State that the fault and the step of a running cell share."""

__all__ = ["CellRun"]

import asyncio
from collections.abc import Callable

from dragonflybank.bench.matrix.breakpoints import (
    Breakpoint,
    CallPattern,
)
from dragonflybank.bench.matrix.client import RecordingClient
from dragonflybank.bench.matrix.matrix_deployment import (
    MatrixDeployment,
)
from dragonflybank.standins.faults import HookTiming
from dragonflybank.standins.worker_server import WorkerServer

# Long enough for a call that is held back to arrive after a takeover.
CALL_HOLD_S = 8.0


class CellRun:
    """One run of a cell.

    Attributes:
        deployment: The deployment.
        client: The client that sends all requests.
        fault: The fault, which is the row of the cell.
        host: Name of the host that the fault affects.
        worker: The worker that the fault affects.
        fault_started: Set when the fault is in force.
        failed_checks: Descriptions of the conditions that did not hold.
    """

    def __init__(
        self, deployment: MatrixDeployment, client: RecordingClient, fault
    ):
        self.deployment = deployment
        self.client = client
        self.fault = fault
        self.host = ""
        self.worker: WorkerServer = next(iter(deployment.workers.values()))
        self.fault_started = asyncio.Event()
        self.failed_checks: list[str] = []
        self._fault_task: asyncio.Task | None = None

    def check(self, holds: bool, detail: str) -> None:
        """Records the description of a condition that does not hold."""
        if not holds:
            self.failed_checks.append(detail)

    async def inject(self, host: str, worker: str = "") -> None:
        """Starts the fault and waits until it is in force.

        Args:
            host: Name of the host that it affects.
            worker: Name of the worker that it affects; if empty, the worker
                for which the host ranks first at the start.
        """
        self.host = host
        self.worker = self.deployment.workers[
            worker or self.deployment.initial_worker_of(host)
        ]
        self._fault_task = asyncio.create_task(self.fault.inject(self))
        await self.fault_started.wait()

    def select_successor(self) -> None:
        """Makes the host that has taken over the one that faults affect."""
        others = [
            name for name in self.deployment.live_hosts() if name != self.host
        ]
        home_host = self.deployment.home_host()
        self.host = home_host if home_host in others else others[0]

    def inject_at(
        self,
        pattern: CallPattern,
        when: HookTiming,
        host: Callable[[str], str],
        *,
        matches_server: Callable[[str], bool] = lambda server: True,
        hold_call: bool = False,
    ) -> Breakpoint:
        """Injects the fault at the first matching call.

        Args:
            pattern: Kind of the call.
            when: Whether to inject it before or after the effect of the call.
            host: Returns the name of the host that the fault affects from the
                name of the server that is called.
            matches_server: Returns whether calls at a server match.
            hold_call: Whether to hold the call back until after a takeover.
        """

        async def on_hit(server: str) -> None:
            worker = server if pattern.server == "worker" else ""
            await self.inject(host(server), worker)
            if hold_call:
                await asyncio.sleep(CALL_HOLD_S)

        return self.deployment.add_breakpoint(
            Breakpoint(pattern, when, on_hit, matches_server)
        )

    async def wait_until_fault_ended(self) -> None:
        """Waits until the fault has started and ended."""
        await self.fault_started.wait()
        await self._fault_task
