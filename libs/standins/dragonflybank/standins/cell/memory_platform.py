"""The platform and the peers of a host in a simulated cell."""

__all__ = ["MemoryAdvice", "MemoryPeers", "MemoryPlatform", "is_suitable"]

import asyncio
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

from returns.result import Result, Success

from dragonflybank.cell.jobs import CellConfig
from dragonflybank.cell.peering import Peers
from dragonflybank.cell.ports import (
    AdviceService,
    ExecutorClient,
    ExecutorInfo,
    Platform,
)
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.decoding import decode_json

if TYPE_CHECKING:
    from dragonflybank.standins.cell.simulated_cell import SimulatedCell


class MemoryPlatform(Platform):
    """The platform of a simulated cell, as one of its hosts reaches it.

    Args:
        cell: The cell.
        name: Name of the host.
    """

    config_key = "config"
    executors_prefix = "executors/"

    def __init__(self, cell: "SimulatedCell", name: str):
        self._cell = cell
        self._name = name
        self.store = cell.store.client(name)
        self.advice = MemoryAdvice(cell)

    def decode_config(self, value: bytes) -> Result[CellConfig, Problem]:
        """See `Platform.decode_config`."""
        return decode_json(value, CellConfig, code=Code.BAD_CONFIGURATION)

    def decode_executor(
        self, key: str, value: bytes
    ) -> Result[ExecutorInfo, Problem]:
        """See `Platform.decode_executor`."""
        return decode_json(value, ExecutorInfo, code=Code.BAD_REQUEST)

    def executor_client(self, info: ExecutorInfo) -> ExecutorClient:
        """See `Platform.executor_client`."""
        executor = self._cell.executors[info.id]
        return executor.client(self._name, address=info.address)

    async def close(self) -> None:
        """Does nothing, since there is no connection."""


class MemoryAdvice(AdviceService):
    """Finds two of three executors suitable for a step on average.

    Its tickets name the incarnation of the executor and the time of the answer.

    Attributes:
        call_s: Duration of a call in seconds.

    Args:
        cell: The cell.
    """

    def __init__(self, cell: "SimulatedCell"):
        self._cell = cell
        self.call_s = 0.02
        self._lock = asyncio.Lock()

    async def advise(
        self, step: str, executors: Sequence[str], *, timeout_s: float
    ) -> Result[Mapping[str, str], Problem]:
        """See `AdviceService.advise`."""
        async with self._lock:
            await asyncio.sleep(self.call_s)
        suitable = [e for e in executors if is_suitable(step, e)]
        return Success({e: self._ticket(step, e) for e in suitable})

    def _ticket(self, step: str, executor: str) -> str:
        now = asyncio.get_running_loop().time()
        incarnation = self._cell.executors[executor].info.incarnation
        return f"{step}/{executor}/{incarnation}/{now}"


def is_suitable(step: str, executor: str) -> bool:
    """Returns whether advice finds an executor suitable for a step."""
    return sum(map(ord, step + executor)) % 3 > 0


class MemoryPeers(Peers):
    """Calls between the hosts of a simulated cell.

    Args:
        cell: The cell.
        name: Name of the calling host.
    """

    def __init__(self, cell: "SimulatedCell", name: str):
        self.address = name
        self._cell = cell

    def serve(self, handlers: Mapping) -> None:
        """See `Peers.serve`."""
        self._cell.handlers_of_host[self.address] = handlers

    async def call(
        self,
        address: str,
        kind: str,
        request: Any,
        reply_class: type,
        *,
        timeout_s: float,
    ) -> Result:
        """See `Peers.call`."""
        await asyncio.sleep(0.002)
        cell = self._cell
        handlers = cell.handlers_of_host.get(address)
        if handlers is None or {address, self.address} & cell.cut_peers:
            await asyncio.sleep(timeout_s)
            return failure(Code.TIMED_OUT, f"no answer from {address}")
        try:
            async with asyncio.timeout(timeout_s):
                return await handlers[kind][1](self.address, request)
        except TimeoutError:
            return failure(Code.TIMED_OUT, f"no answer from {address}")

    async def has_process_exited(self, address: str) -> bool:
        """See `Peers.has_process_exited`."""
        cell = self._cell
        await asyncio.sleep(0.002)
        if {address, self.address} & (cell.cut_peers | cell.powered_off):
            return False
        return (
            address in cell.refusing_hosts
            or address not in cell.handlers_of_host
        )

    async def close(self) -> None:
        """Makes the host unreachable for its peers."""
        self._cell.handlers_of_host.pop(self.address, None)
