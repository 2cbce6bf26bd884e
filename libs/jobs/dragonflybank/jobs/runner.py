"""What a shard home needs from its host and the operator configuration."""

__all__ = ["SchedulingRules", "TaskRunner"]

import abc
from collections.abc import Sequence

from returns.result import Result

from dragonflybank.model.codes import Problem
from dragonflybank.model.leases import Reservation, Resolution, StartReply
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import JobSpec, StartRecord, WorkClass


class TaskRunner(abc.ABC):
    """Reserves room at workers and starts, stops and resolves tasks there."""

    @abc.abstractmethod
    async def reserve(
        self,
        spec: JobSpec,
        wc: WorkClass,
        count: int,
        size: Resources,
        *,
        avoid: Sequence[str],
        now: float,
    ) -> Result[tuple[Reservation, ...], Problem]:
        """Holds room for tasks of a job.

        Args:
            spec: The job.
            wc: Its class.
            count: Number of tasks.
            size: Size of each task.
            avoid: Workers that are taken only if there is no other.
            now: Present time, seconds since 1970.

        Returns:
            At most ``count`` reservations. Fewer than ``count`` are of use
            only if the job is no gang; the caller releases them otherwise.
            ``CAN_NEVER_RUN`` only if no worker of the cell is large enough.
        """

    @abc.abstractmethod
    async def release(self, reservations: Sequence[Reservation]) -> None:
        """Frees reservations; those used or expired are ignored."""

    @abc.abstractmethod
    async def start(
        self, start: StartRecord, spec: JobSpec, *, now: float
    ) -> Result[StartReply, Problem]:
        """Starts a task on the reservation that the start names.

        Any problem leaves open whether the task started; `resolve` decides.
        """

    @abc.abstractmethod
    async def stop(
        self, starts: Sequence[StartRecord]
    ) -> Result[None, Problem]:
        """Stops tasks, with one call for each worker.

        The end of each task still arrives as an event.
        """

    @abc.abstractmethod
    async def resolve(
        self, start: StartRecord, *, now: float
    ) -> Result[Resolution, Problem]:
        """Decides what became of a start, under a later epoch.

        ``NOT_STARTED`` is final: the start cannot succeed any more. A worker
        whose incarnation differs from that of the start does not know
        whether the task ran, so the answer is then ``LEASE_LAPSED`` or
        ``UNDECIDED``.
        """


class SchedulingRules(abc.ABC):
    """The operator configuration and the cell as a shard home sees them."""

    @abc.abstractmethod
    def work_class(self, name: str) -> WorkClass | None:
        """Returns a work class; None if there is none of that name."""

    @abc.abstractmethod
    def max_running(self, team: str) -> int | None:
        """Returns how many tasks of a team this shard may run at once.

        This is the shard's share of the team's quota; None for no limit.
        """

    @abc.abstractmethod
    def largest_worker(self) -> Resources | None:
        """Returns what the largest worker can hold; None if not known."""

    def grant_size(self, spec: JobSpec, wc: WorkClass) -> Resources:
        """Returns the size to reserve for a task, as the learned size."""
        return spec.size

    def is_quarantined(self, worker: str) -> bool:
        """Returns whether a worker is quarantined as sick."""
        return False

    def rack_of(self, worker: str) -> str:
        """Returns the rack of a worker; empty if not known."""
        return ""

    def rack_count(self) -> int:
        """Returns the number of racks of the region."""
        return 1
