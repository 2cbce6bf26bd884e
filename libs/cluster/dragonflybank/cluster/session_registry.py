"""Registry of the workers that a host may own, kept up to date by VM lists."""

__all__ = ["OwnershipConfig", "SessionEntry", "SessionRegistry"]

import asyncio
import functools
from collections.abc import Awaitable, Callable, Iterable

import attrs

from dragonflybank.cluster.backoff import Backoff
from dragonflybank.cluster.managed_worker import DropReason
from dragonflybank.cluster.sessions import WorkerSession
from dragonflybank.model.topology import VmInfo, VmRole
from dragonflybank.platform.worker import HttpWorkerClient, WorkerClient

# The session of a worker that left the VM list is kept for this time, so that
# its last leases expire and its starts can be resolved.
UNLISTED_KEPT_S = 3600.0
# The VM list may be out of date. A worker counts as gone only if it has been
# missing from the list for this time and does not answer.
GONE_AFTER_S = 60.0


@attrs.frozen
class OwnershipConfig:
    """Settings of worker ownership.

    Attributes:
        host: Name of this host.
        region: Region of this host.
        lookup_reserve: Slots of each worker that are reserved for lookups.
        max_concurrent_claims: Largest number of claims in progress.
    """

    host: str
    region: str
    lookup_reserve: int = 2
    max_concurrent_claims: int = 64


@attrs.define
class SessionEntry:
    """A session with the state that the ownership loop keeps of it.

    Attributes:
        session: The session.
        backoff: Delay of the next claim after failed ones.
        task: The asyncio task that claims the worker and maintains the
            ownership, None if there is none.
        unlisted_since: Time at which the worker was first missing from the VM
            list, None while it is listed.
    """

    session: WorkerSession
    backoff: Backoff = attrs.field(factory=Backoff)
    task: asyncio.Task | None = None
    unlisted_since: float | None = None


class SessionRegistry:
    """Sessions of the workers of this region and of regions without live hosts.

    Args:
        cfg: Settings of worker ownership.
        make_client: Returns a client of the worker on a VM.
        is_ownership_denied: Given a worker's name and the current time, returns
            whether all other hosts deny that they own the worker.

    Attributes:
        sessions: Sessions by worker name.
        entries: Sessions with the state of the ownership loop, by worker name.
        listed_at: Time of the last VM list, None before the first.
    """

    def __init__(
        self,
        cfg: OwnershipConfig,
        make_client: Callable[[VmInfo], WorkerClient],
        is_ownership_denied: Callable[[str, float], Awaitable[bool]],
    ):
        self.sessions: dict[str, WorkerSession] = {}
        self.entries: dict[str, SessionEntry] = {}
        self.listed_at: float | None = None
        self._listed_vms: dict[str, VmInfo] = {}
        self._region = cfg.region
        self._make_client = make_client
        self._is_ownership_denied = is_ownership_denied
        self._host = cfg.host
        self._lookup_reserve = cfg.lookup_reserve
        self._unused_clients: list[WorkerClient] = []

    def update(self, vms: Iterable[VmInfo], now: float) -> None:
        """Adds and removes sessions according to a VM list.

        A worker that is missing from the list keeps its session for some time,
        since the list may be out of date and its leases have to expire.
        """
        self.listed_at = now
        self._listed_vms = {
            vm.name: vm for vm in vms if vm.role is VmRole.WORKER
        }
        for vm in self._listed_vms.values():
            if vm.region == self._region or vm.name in self.entries:
                self._register(vm)
        for name in set(self.entries) - set(self._listed_vms):
            entry = self.entries[name]
            entry.unlisted_since = (
                now if entry.unlisted_since is None else entry.unlisted_since
            )
            _drop_if_gone(entry, now)
            if (
                not entry.session.is_owned
                and now - entry.unlisted_since > UNLISTED_KEPT_S
            ):
                self._remove(name)

    def set_lookup_reserve(self, slots: int) -> None:
        """Sets the number of slots of each worker reserved for lookups."""
        self._lookup_reserve = slots
        for session in self.sessions.values():
            session.capacity.lookup_reserve = slots

    def regions(self) -> set[str]:
        """Returns the other regions that have workers."""
        return {vm.region for vm in self._listed_vms.values()} - {self._region}

    def add_region(self, region: str) -> None:
        """Adds the workers of another region that has no live host."""
        for vm in self._listed_vms.values():
            if vm.region == region and vm.name not in self.entries:
                self._register(vm)

    def remove_region(self, region: str) -> None:
        """Removes the workers of another region that this host does not own."""
        for name, entry in list(self.entries.items()):
            is_in_region = entry.session.info.region == region
            if (
                is_in_region
                and not entry.session.is_owned
                and entry.task is None
            ):
                self._remove(name)

    def is_listed(self, worker: str) -> bool:
        """Returns whether a worker is in the last VM list."""
        return worker in self._listed_vms

    async def close_unused_clients(self) -> None:
        """Closes the connections of removed workers."""
        unused, self._unused_clients = self._unused_clients, []
        for client in unused:
            if isinstance(client, HttpWorkerClient):
                await client.close()

    async def close(self) -> None:
        """Removes all workers and closes their connections."""
        for name in tuple(self.entries):
            self._remove(name)
        await self.close_unused_clients()

    def _register(self, vm: VmInfo) -> None:
        entry = self.entries.get(vm.name)
        if entry is not None and entry.session.info.url == vm.url:
            entry.session.info = vm
            entry.unlisted_since = None
            return
        session = WorkerSession(
            vm,
            self._make_client(vm),
            host=self._host,
            lookup_reserve=self._lookup_reserve,
            is_ownership_denied=functools.partial(
                self._is_ownership_denied, vm.name
            ),
        )
        if entry is not None:
            session.inherit_history(entry.session)
            self._remove(vm.name)
        self.entries[vm.name] = SessionEntry(session)
        self.sessions[vm.name] = session

    def _remove(self, name: str) -> None:
        entry = self.entries.pop(name)
        del self.sessions[name]
        self._unused_clients.append(entry.session.client)
        if entry.task is not None:
            entry.task.cancel()


def _drop_if_gone(entry: SessionEntry, now: float) -> None:
    session = entry.session
    is_unreachable = (
        session.is_owned and not session.is_reachable and not session.tasks
    )
    if is_unreachable and now - entry.unlisted_since > GONE_AFTER_S:
        session.drop_ownership(DropReason.REPLACED)
