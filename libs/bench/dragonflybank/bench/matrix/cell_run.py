"""What a fault and a step know of the cell that is played."""

__all__ = ["Scene"]

import asyncio
from collections.abc import Callable

from dragonflybank.bench.matrix.breakpoints import (
    Point,
    Trap,
)
from dragonflybank.bench.matrix.client import Calls
from dragonflybank.bench.matrix.matrix_deployment import (
    World,
)
from dragonflybank.standins.faults import HookTiming
from dragonflybank.standins.worker_server import WorkerServer

# A call that the fault holds back arrives after the takeover.
HELD_S = 8.0


class Scene:
    """One cell while it is played.

    Attributes:
        world: The deployment.
        calls: The callers.
        fault: The row of the cell.
        host: Name of the host that the fault strikes.
        worker: The worker that the fault strikes.
        in_force: Set when the fault has begun.
        faults: Descriptions of conditions that did not hold.
    """

    def __init__(self, world: World, calls: Calls, fault):
        self.world = world
        self.calls = calls
        self.fault = fault
        self.host = ""
        self.worker: WorkerServer = next(iter(world.workers.values()))
        self.in_force = asyncio.Event()
        self.faults: list[str] = []
        self._course: asyncio.Task | None = None

    def check(self, holds: bool, detail: str) -> None:
        """Notes a condition that does not hold."""
        if not holds:
            self.faults.append(detail)

    async def strike(self, host: str, worker: str = "") -> None:
        """Begins the fault at a host and a worker."""
        self.host = host
        self.worker = self.world.workers[worker or self.world.worker_of(host)]
        self._course = asyncio.create_task(self.fault.strike(self))
        await self.in_force.wait()

    def strike_successor(self) -> None:
        """Turns to the host that has taken over from the struck one."""
        others = [name for name in self.world.live() if name != self.host]
        home = self.world.home()
        self.host = home if home in others else others[0]

    def trap(
        self,
        point: Point,
        when: HookTiming,
        host: Callable[[str], str],
        *,
        accepts: Callable[[str], bool] = lambda server: True,
        held: bool = False,
    ) -> Trap:
        """Arms the fault for a call.

        Args:
            point: Kind of the call.
            when: Before or after its effect.
            host: Returns the host to strike from the name of the server.
            accepts: Whether a call at a server is the one.
            held: Whether the call is held back until after a takeover.
        """

        async def act(server: str) -> None:
            worker = server if point.server == "worker" else ""
            await self.strike(host(server), worker)
            if held:
                await asyncio.sleep(HELD_S)

        return self.world.arm(Trap(point, when, act, accepts))

    async def ended(self) -> None:
        """Waits until the fault has struck and ended."""
        await self.in_force.wait()
        await self._course
