"""Interfaces that a shard home needs from its host."""

__all__ = ["SchedulingRules", "TaskRunner"]

import abc
from collections.abc import Sequence

from returns.result import Result

from dragonflybank.model.codes import Problem
from dragonflybank.model.leases import Reservation, Resolution, StartReply
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import JobSpec, StartRecord, WorkClass


class TaskRunner(abc.ABC):
    """Reserves resources at workers and starts, stops and resolves tasks."""

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
        """Reserves resources for tasks of a job.

        Args:
            spec: Spec of the job.
            wc: Work class of the job.
            count: Number of tasks.
            size: Resources of each task.
            avoid: Workers that are used only if there is no other.
            now: Current time, seconds since 1970.

        Returns:
            At most ``count`` reservations. A gang cannot use fewer than
            ``count``, so the caller releases them in that case.
            ``CAN_NEVER_RUN`` only if no worker of the deployment is large
            enough.
        """

    @abc.abstractmethod
    async def release(self, reservations: Sequence[Reservation]) -> None:
        """Releases reservations; those used or expired are ignored."""

    @abc.abstractmethod
    async def start(
        self, start: StartRecord, spec: JobSpec, *, now: float
    ) -> Result[StartReply, Problem]:
        """Starts a task on the reservation that the start record names.

        After any problem it is unknown whether the task started; `resolve`
        finds out.
        """

    @abc.abstractmethod
    async def stop(
        self, starts: Sequence[StartRecord]
    ) -> Result[None, Problem]:
        """Stops tasks with one call per worker.

        The end of each task is still reported as an event.
        """

    @abc.abstractmethod
    async def resolve(
        self, start: StartRecord, *, now: float
    ) -> Result[Resolution, Problem]:
        """Finds out the outcome of a start whose reply was lost.

        The owner first raises the worker's epoch, unless it is already later
        than that of the start. The worker then refuses the start if it still
        arrives, so ``NOT_STARTED`` is final. A worker whose incarnation differs
        from that of the start does not know whether the task ran; the result
        is then ``LEASE_LAPSED`` or ``UNDECIDED``.
        """


class SchedulingRules(abc.ABC):
    """View of the operator configuration and the workers for a shard home."""

    @abc.abstractmethod
    def work_class(self, name: str) -> WorkClass | None:
        """Returns a work class by name; None if there is none."""

    @abc.abstractmethod
    def max_running(self, team: str) -> int | None:
        """Returns how many tasks of a team this shard may run at the same time.

        This is the shard's share of the team's quota; None for no limit.
        """

    @abc.abstractmethod
    def largest_worker(self) -> Resources | None:
        """Returns the resources of the largest worker; None if unknown."""

    def grant_size(self, spec: JobSpec, wc: WorkClass) -> Resources:
        """Returns the size to reserve for a task, such as an estimated size."""
        return spec.size

    def is_quarantined(self, worker: str) -> bool:
        """Returns whether a worker is in quarantine."""
        return False

    def rack_of(self, worker: str) -> str:
        """Returns the rack of a worker; empty if unknown."""
        return ""

    def rack_count(self) -> int:
        """Returns the number of racks in the region."""
        return 1
