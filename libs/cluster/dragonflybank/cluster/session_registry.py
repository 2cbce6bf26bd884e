"""The workers that a host may own, from the VM list."""

__all__ = ["OwnershipConfig", "Roster", "Seat"]

import asyncio
import functools
from collections.abc import Awaitable, Callable, Iterable

import attrs

from dragonflybank.cluster.backoff import BackOff
from dragonflybank.cluster.managed_worker import DropReason
from dragonflybank.cluster.sessions import WorkerSession
from dragonflybank.model.topology import VmInfo, VmRole
from dragonflybank.platform.worker import HttpWorkerClient, WorkerClient

# A worker that left the VM list is kept for its last leases and resolutions.
GONE_KEPT_S = 3600.0
# The VM list is late; a worker that it misses for this time and that does not
# answer is gone.
GONE_AFTER_S = 60.0


@attrs.frozen
class OwnershipConfig:
    """What ownership needs of the host's settings.

    Attributes:
        host: Name of the own host.
        region: Its region.
        lookup_reserve: Slots of each worker that patient work cannot take.
        claims_at_once: Largest number of claims in progress.
    """

    host: str
    region: str
    lookup_reserve: int = 2
    claims_at_once: int = 64


@attrs.define
class Seat:
    """A session with its place in the ownership loop.

    Attributes:
        session: The session.
        backoff: Waits after failed claims.
        task: The task that holds the worker, None while there is none.
        gone_at: Time at which the worker was first missing from the list.
    """

    session: WorkerSession
    backoff: BackOff = attrs.field(factory=BackOff)
    task: asyncio.Task | None = None
    gone_at: float | None = None


class Roster:
    """Sessions of the workers of the own region and of silent regions.

    Attributes:
        sessions: Sessions by worker name.
        seats: Places by worker name.
        listed_at: Time of the last VM list, None before the first.
    """

    def __init__(
        self,
        cfg: OwnershipConfig,
        clients: Callable[[VmInfo], WorkerClient],
        is_denied: Callable[[str, float], Awaitable[bool]],
    ):
        self.sessions: dict[str, WorkerSession] = {}
        self.seats: dict[str, Seat] = {}
        self.listed_at: float | None = None
        self._rows: dict[str, VmInfo] = {}
        self._region = cfg.region
        self._clients = clients
        self._is_denied = is_denied
        self._host = cfg.host
        self._lookup_reserve = cfg.lookup_reserve
        self._unused: list[WorkerClient] = []

    def update(self, vms: Iterable[VmInfo], now: float) -> None:
        """Takes over the rows of the VM list.

        A worker that is missing from the list keeps its session for some
        time, since the list is late and its leases must run out.
        """
        self.listed_at = now
        self._rows = {vm.name: vm for vm in vms if vm.role is VmRole.WORKER}
        for vm in self._rows.values():
            if vm.region == self._region or vm.name in self.seats:
                self._seat(vm)
        for name in set(self.seats) - set(self._rows):
            seat = self.seats[name]
            seat.gone_at = now if seat.gone_at is None else seat.gone_at
            _drop_if_gone(seat, now)
            if not seat.session.is_owned and now - seat.gone_at > GONE_KEPT_S:
                self._remove(name)

    def set_lookup_reserve(self, slots: int) -> None:
        """Sets the slots of each worker that patient work cannot take."""
        self._lookup_reserve = slots
        for session in self.sessions.values():
            session.ledger.lookup_reserve = slots

    def regions(self) -> set[str]:
        """Returns the other regions that have workers."""
        return {vm.region for vm in self._rows.values()} - {self._region}

    def include(self, region: str) -> None:
        """Adds the workers of another region that has no live host."""
        for vm in self._rows.values():
            if vm.region == region and vm.name not in self.seats:
                self._seat(vm)

    def exclude(self, region: str) -> None:
        """Removes the workers of another region that are not owned."""
        for name, seat in list(self.seats.items()):
            is_there = seat.session.info.region == region
            if is_there and not seat.session.is_owned and seat.task is None:
                self._remove(name)

    def is_listed(self, worker: str) -> bool:
        """Returns whether the last VM list has a worker."""
        return worker in self._rows

    async def close_unused(self) -> None:
        """Closes the connections of removed workers."""
        unused, self._unused = self._unused, []
        for client in unused:
            if isinstance(client, HttpWorkerClient):
                await client.close()

    async def close(self) -> None:
        """Removes all workers and closes their connections."""
        for name in tuple(self.seats):
            self._remove(name)
        await self.close_unused()

    def _seat(self, vm: VmInfo) -> None:
        seat = self.seats.get(vm.name)
        if seat is not None and seat.session.info.url == vm.url:
            seat.session.info = vm
            seat.gone_at = None
            return
        session = WorkerSession(
            vm,
            self._clients(vm),
            host=self._host,
            lookup_reserve=self._lookup_reserve,
            is_denied=functools.partial(self._is_denied, vm.name),
        )
        if seat is not None:
            session.inherit(seat.session)
            self._remove(vm.name)
        self.seats[vm.name] = Seat(session)
        self.sessions[vm.name] = session

    def _remove(self, name: str) -> None:
        seat = self.seats.pop(name)
        del self.sessions[name]
        self._unused.append(seat.session.client)
        if seat.task is not None:
            seat.task.cancel()


def _drop_if_gone(seat: Seat, now: float) -> None:
    session = seat.session
    is_silent = (
        session.is_owned and not session.is_reachable and not session.tasks
    )
    if is_silent and now - seat.gone_at > GONE_AFTER_S:
        session.drop(DropReason.REPLACED)
