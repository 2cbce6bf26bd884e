"""The VM list as a host last read it."""

__all__ = ["Fleet"]

from collections.abc import Iterable

from returns.result import Result, Success

from dragonflybank.model.codes import Problem
from dragonflybank.model.topology import VmInfo, VmRole
from dragonflybank.platform.vmlist import VmList


class Fleet:
    """Workers and hosts of the VM list; the last reading while it is down."""

    def __init__(self, vmlist: VmList):
        self._vmlist = vmlist
        self._workers: dict[str, VmInfo] = {}
        self._hosts: dict[str, VmInfo] = {}

    @property
    def workers(self) -> tuple[VmInfo, ...]:
        """The workers."""
        return tuple(self._workers.values())

    async def read(self) -> Result[tuple[VmInfo, ...], Problem]:
        """Reads the list; a failed reading changes nothing."""
        rows = await self._vmlist.vms()
        if isinstance(rows, Success):
            self._take_over(rows.unwrap())
        return rows

    def worker(self, name: str) -> VmInfo | None:
        """Returns a worker's row, None if the list does not have it."""
        return self._workers.get(name)

    def host_addresses(self) -> dict[str, str]:
        """Returns the peer addresses of the hosts by name."""
        return {
            vm.name: f"{vm.address}:{vm.port}" for vm in self._hosts.values()
        }

    def _take_over(self, rows: Iterable[VmInfo]) -> None:
        rows = tuple(rows)
        self._workers = {vm.name: vm for vm in rows if vm.role is VmRole.WORKER}
        self._hosts = {vm.name: vm for vm in rows if vm.role is VmRole.HOST}
