"""The VM list as a host last read it."""

__all__ = ["Fleet"]

import collections
from collections.abc import Iterable

from returns.result import Result, Success

from dragonflybank.model.codes import Problem
from dragonflybank.model.resources import Resources
from dragonflybank.model.topology import VmInfo, VmRole
from dragonflybank.platform.vmlist import VmList


class Fleet:
    """Workers and hosts of the VM list; the last reading while it is down.

    What decisions ask for of all workers is worked out once a reading, since
    a scheduling round asks for it for each waiting job.

    Attributes:
        sizes: Distinct sizes of the workers.
        largest: Size with the most memory; None without workers.
    """

    def __init__(self, vmlist: VmList):
        self._vmlist = vmlist
        self.sizes: frozenset[Resources] = frozenset()
        self.largest: Resources | None = None
        self._rack_counts: dict[str, int] = {}
        self._workers: dict[str, VmInfo] = {}
        self._hosts: dict[str, VmInfo] = {}

    @property
    def workers(self) -> tuple[VmInfo, ...]:
        """The workers."""
        return tuple(self._workers.values())

    async def read(self) -> Result[tuple[VmInfo, ...], Problem]:
        """Reads the list; a failed reading changes nothing."""
        rows = await self._vmlist.list_vms()
        if isinstance(rows, Success):
            self._take_over(rows.unwrap())
        return rows

    def worker(self, name: str) -> VmInfo | None:
        """Returns a worker's row, None if the list does not have it."""
        return self._workers.get(name)

    def rack_count(self, region: str) -> int:
        """Returns the number of racks with workers in a region."""
        return self._rack_counts.get(region, 0)

    def host_addresses(self) -> dict[str, str]:
        """Returns the peer addresses of the hosts by name."""
        return {
            vm.name: f"{vm.address}:{vm.port}" for vm in self._hosts.values()
        }

    def _take_over(self, rows: Iterable[VmInfo]) -> None:
        rows = tuple(rows)
        self._workers = {vm.name: vm for vm in rows if vm.role is VmRole.WORKER}
        self.sizes = frozenset(vm.size for vm in self._workers.values())
        self.largest = max(
            self.sizes, key=lambda s: (s.memory_mb, s.cores), default=None
        )
        racks = {(vm.region, vm.rack) for vm in self._workers.values()}
        self._rack_counts = collections.Counter(region for region, _ in racks)
        self._hosts = {vm.name: vm for vm in rows if vm.role is VmRole.HOST}
