"""A host's cache of the VM list."""

__all__ = ["Fleet"]

import collections
from collections.abc import Iterable

from returns.result import Result, Success

from dragonflybank.model.codes import Problem
from dragonflybank.model.resources import Resources
from dragonflybank.model.topology import VmInfo, VmRole
from dragonflybank.platform.vmlist import VmList


class Fleet:
    """Workers and hosts of the latest VM list that could be read.

    Aggregates over all workers are computed once per read, since a scheduling
    round needs them for each waiting job.

    Attributes:
        worker_sizes: Distinct sizes of the workers.
        largest_worker_size: Size with the most memory; None without workers.
    """

    def __init__(self, vmlist: VmList):
        self._vmlist = vmlist
        self.worker_sizes: frozenset[Resources] = frozenset()
        self.largest_worker_size: Resources | None = None
        self._rack_counts: dict[str, int] = {}
        self._workers: dict[str, VmInfo] = {}
        self._hosts: dict[str, VmInfo] = {}

    @property
    def workers(self) -> tuple[VmInfo, ...]:
        """Rows of the workers."""
        return tuple(self._workers.values())

    async def read(self) -> Result[tuple[VmInfo, ...], Problem]:
        """Reads the VM list; a failed read keeps the previous one."""
        rows = await self._vmlist.list_vms()
        if isinstance(rows, Success):
            self._store_rows(rows.unwrap())
        return rows

    def find_worker(self, name: str) -> VmInfo | None:
        """Returns the row of a worker; None if it is not listed."""
        return self._workers.get(name)

    def rack_count(self, region: str) -> int:
        """Returns the number of racks with workers in a region."""
        return self._rack_counts.get(region, 0)

    def host_addresses(self) -> dict[str, str]:
        """Returns the peer addresses of the hosts by name."""
        return {
            vm.name: f"{vm.address}:{vm.port}" for vm in self._hosts.values()
        }

    def _store_rows(self, rows: Iterable[VmInfo]) -> None:
        rows = tuple(rows)
        self._workers = {vm.name: vm for vm in rows if vm.role is VmRole.WORKER}
        self.worker_sizes = frozenset(vm.size for vm in self._workers.values())
        self.largest_worker_size = max(
            self.worker_sizes,
            key=lambda s: (s.memory_mb, s.cores),
            default=None,
        )
        racks = {(vm.region, vm.rack) for vm in self._workers.values()}
        self._rack_counts = collections.Counter(region for region, _ in racks)
        self._hosts = {vm.name: vm for vm in rows if vm.role is VmRole.HOST}
