"""Placement, starts and lookups on one worker, at the host that owns it.

A session keeps the owner's decisions in memory. Every call that starts work
carries the worker's incarnation and epoch. The worker refuses it once another
host is the owner or the VM was replaced, so a session that has lost its worker
can do no harm.
"""

__all__ = ["WorkerSession"]

import itertools
from collections.abc import Sequence

from returns.result import Failure, Result, Success

from dragonflybank.cluster.capacity import LOOKUP_NEED
from dragonflybank.cluster.claims import resolve
from dragonflybank.cluster.managed_worker import (
    DropReason,
    ManagedWorker,
    failed_with,
)
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.leases import (
    Reservation,
    Resolution,
    StartReply,
    TaskState,
)
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import StartRecord
from dragonflybank.platform.worker import WorkerTask

# A lookup without an answer may still run; its slot stays counted for this time
# after its timeout. The time is at least the error of the worker's clock that
# the owner knows, `renewals.MAX_CLOCK_READ_S`, so that no lookup that arrives
# before its timeout is refused.
LOST_LOOKUP_HOLD_S = 2.0
# A pending handover ends unless it is requested again within this time.
HANDOVER_HOLD_S = 5.0


class WorkerSession(ManagedWorker):
    """Places work on one worker; see `ManagedWorker` for attributes."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._ids = itertools.count(1)

    def reserve(
        self, need: Resources, now: float, *, hold_s: float = 5.0
    ) -> Result[Reservation, Problem]:
        """Reserves resources for one start.

        Args:
            need: Resources of the task.
            now: Current time.
            hold_s: Time after which the reservation expires, in seconds.

        Returns:
            The reservation; ``FULL``; or why the worker takes no new work.
        """
        self.capacity.expire(now)
        refused = self.refusal(now)
        if refused is not None:
            return refused
        reservation = Reservation(
            f"{self.name}/{self.epoch}/{next(self._ids)}",
            self.name,
            self.host,
            self.epoch,
            need,
            now + hold_s,
        )
        if not self.capacity.reserve(reservation):
            return failure(Code.FULL, f"{self.name} has too few free resources")
        return Success(reservation)

    def release(self, reservation_id: str) -> None:
        """Frees a reservation; an unknown one is ignored."""
        self.capacity.release(reservation_id)

    async def start(
        self, start: StartRecord, *, work_class: str, payload: str, now: float
    ) -> Result[StartReply, Problem]:
        """Sends a journalled start to the worker, at most once in an epoch.

        Returns:
            The worker's answer. ``FULL``, ``DRAINING`` and ``UNREACHABLE``
            prove that this session never sent the start to the worker. After
            any other problem `resolve` decides what became of it.
        """
        async with self.lock:
            if start.epoch != self.epoch:
                code = Code.STALE_EPOCH if self.is_owned else Code.NOT_OWNER
                return failure(
                    code, f"{self.name} has another epoch than the start"
                )
            if start.task_id in self.tasks or start.task_id in self.task_ends:
                return Success(StartReply.KNOWN)
            refused = (
                self._refuse_copy(start)
                or self._refuse_after_pause(now)
                or self.refusal(now)
                or self._add_start(start, now)
            )
            if refused is not None:
                return refused
            reply = await self.call_fenced(
                lambda fence: self.client.start(
                    start.task_id,
                    fence=fence,
                    work_class=work_class,
                    grant=start.grant,
                    lease_until_s=self.lease_until(now),
                    payload=payload,
                )
            )
            return self._on_start_reply(start, work_class, reply, now)

    async def execute(
        self,
        request_id: str,
        *,
        work_class: str,
        payload: str,
        timeout_s: float,
        now: float,
        need: Resources = LOOKUP_NEED,
    ) -> Result[str, Problem]:
        """Runs a lookup, which uses ``need`` of the worker while it runs.

        Args:
            request_id: Identifier of the request.
            work_class: Name of the work class.
            payload: Request body, UTF-8 text.
            timeout_s: Time for the answer in seconds.
            now: Current time.
            need: Resources that the lookup uses.
        """
        self.capacity.expire(now)
        refused = self.refusal(now)
        if refused is not None:
            return refused
        key = (request_id, next(self._ids))
        if not self.capacity.add_lookup(key, need):
            return failure(Code.FULL, f"{self.name} has no free slot")
        # Until it is answered, the lookup may run up to its timeout, even if
        # the caller gives up.
        self.capacity.expire_lookup_at(
            key, now + timeout_s + LOST_LOOKUP_HOLD_S
        )
        epoch = self.epoch
        reply = await self._execute(
            request_id, work_class, payload, timeout_s, now
        )
        if failed_with(reply, Code.STALE_EPOCH) and self.epoch not in (
            0,
            epoch,
        ):
            # This host has raised the epoch by another claim meanwhile. The
            # refused call has not run, so it is repeated.
            reply = await self._execute(
                request_id, work_class, payload, timeout_s, now
            )
        if not failed_with(reply, Code.TIMED_OUT):
            self.capacity.remove_lookup(key)
        if failed_with(reply, Code.UNREACHABLE):
            self.liveness.on_no_answer()
        return reply

    async def stop(self, task_ids: Sequence[str]) -> Result[None, Problem]:
        """Stops tasks; their ends are reported as events."""
        return await self.call_fenced(
            lambda fence: self.client.stop(task_ids, fence=fence)
        )

    async def throttle(self, task_ids: Sequence[str]) -> Result[None, Problem]:
        """Throttles tasks to half of their cores."""
        return await self.call_fenced(
            lambda fence: self.client.throttle(task_ids, fence=fence)
        )

    async def checkpoint(
        self, task_ids: Sequence[str]
    ) -> Result[None, Problem]:
        """Checkpoints tasks, which then stop."""
        return await self.call_fenced(
            lambda fence: self.client.checkpoint(task_ids, fence=fence)
        )

    async def resolve(
        self, start: StartRecord, *, now: float
    ) -> Result[Resolution, Problem]:
        """Decides what became of a start whose answer was lost.

        Returns:
            The resolution, or ``NOT_OWNER`` if another host must decide.
        """
        async with self.lock:
            return await resolve(self, start, now)

    def hand_over(self, now: float) -> bool:
        """Releases the worker if no call runs and no reservation is held.

        Returns:
            Whether the worker is released, or was not owned. Otherwise it
            takes no new work for 5 s, and the other host is expected to
            request the handover again.
        """
        self.capacity.expire(now)
        if not self.is_owned:
            return True
        if (
            self.capacity.has_no_lookups_or_reservations
            and not self.lock.locked()
        ):
            self.drop_ownership(DropReason.RELEASED)
            return True
        self.handover_until = now + HANDOVER_HOLD_S
        return False

    def _refuse_copy(self, start: StartRecord) -> Failure | None:
        if self.capacity.is_unanswered(start.task_id):
            # A second call could run, end and be forgotten by the worker before
            # it carries out the first one.
            return failure(
                Code.TIMED_OUT, "the start was sent and has no answer yet"
            )
        if start.task_id in self.presumed_ended_ids:
            # Its home may have started the task elsewhere.
            return failure(Code.TIMED_OUT, "the task was reported as lost")
        return None

    def _refuse_after_pause(self, now: float) -> Failure | None:
        if not self.liveness.was_paused(now):
            return None
        # Another host may have resolved a start that was waiting here.
        return failure(Code.UNREACHABLE, "the owner was paused")

    def _add_start(self, start: StartRecord, now: float) -> Failure | None:
        self.capacity.expire(now)
        if self.capacity.add_start(start.task_id, start.grant, now):
            return None
        return failure(Code.FULL, f"{self.name} has too few free resources")

    def _on_start_reply(
        self,
        start: StartRecord,
        work_class: str,
        reply: Result[StartReply, Problem],
        now: float,
    ) -> Result[StartReply, Problem]:
        if isinstance(reply, Success):
            self.liveness.on_answer()
            self.liveness.on_lease_sent(now)
            self._add_running_task(start, work_class, now)
            return reply
        if failed_with(reply, Code.TIMED_OUT):
            # The worker may have started the task, so its resources stay
            # counted until the start is resolved.
            self.liveness.on_no_answer()
            self.liveness.on_lease_sent(now)
            return reply
        if failed_with(reply, Code.UNREACHABLE):
            self.liveness.on_no_answer()
        self.capacity.remove_task(start.task_id)
        return reply

    def _add_running_task(
        self, start: StartRecord, work_class: str, now: float
    ) -> None:
        # The end of a short task may arrive before the answer to its start.
        if self.epoch != start.epoch or start.task_id in self.task_ends:
            return
        self.capacity.add_task(
            WorkerTask(
                start.task_id, work_class, TaskState.RUNNING, start.grant, now
            )
        )

    async def _execute(
        self,
        request_id: str,
        work_class: str,
        payload: str,
        timeout_s: float,
        now: float,
    ) -> Result[str, Problem]:
        # It must not begin once its slot counts as free again.
        begin_until_s = self.worker_time(now) + timeout_s + LOST_LOOKUP_HOLD_S
        return await self.call_fenced(
            lambda fence: self.client.execute(
                request_id,
                fence=fence,
                work_class=work_class,
                payload=payload,
                timeout_s=timeout_s,
                begin_until_s=begin_until_s,
            )
        )
