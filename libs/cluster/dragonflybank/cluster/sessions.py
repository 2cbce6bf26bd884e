"""The owning host's side of one worker: placement, starts and lookups.

A session holds what the owner decides in memory. The worker's epoch fences
every call that starts work, so a session that is no longer the owner's can
do no harm.
"""

__all__ = ["WorkerSession"]

import itertools
from collections.abc import Sequence

from returns.result import Failure, Result, Success

from dragonflybank.cluster.capacity import LOOKUP_NEED
from dragonflybank.cluster.claims import resolve
from dragonflybank.cluster.managed_worker import (
    DropReason,
    OwnedWorker,
    is_problem,
)
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.leases import (
    LEASE_S,
    Reservation,
    Resolution,
    StartReply,
    TaskState,
)
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import StartRecord
from dragonflybank.platform.worker import WorkerTask

# A lookup without an answer may still be running; its slot stays counted for
# this time after its time-out.
LOST_LOOKUP_HOLD_S = 2.0
# A handover that is not asked for again within this time is given up.
CLOSING_S = 5.0


class WorkerSession(OwnedWorker):
    """Places work on one worker; see `OwnedWorker` for its attributes."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._ids = itertools.count(1)

    def reserve(
        self, need: Resources, now: float, *, hold_s: float = 5.0
    ) -> Result[Reservation, Problem]:
        """Holds room for one start.

        Args:
            need: Resources of the task.
            now: Present time.
            hold_s: Time after which the room is free again, in seconds.

        Returns:
            The reservation; ``FULL``; or why the worker takes no new work.
        """
        self.ledger.expire(now)
        refused = self.refusal(now)
        if refused is not None:
            return refused
        held = Reservation(
            f"{self.name}/{self.epoch}/{next(self._ids)}",
            self.name,
            self.host,
            self.epoch,
            need,
            now + hold_s,
        )
        if not self.ledger.reserve(held):
            return failure(Code.FULL, f"{self.name} has no room")
        return Success(held)

    def release(self, reservation_id: str) -> None:
        """Frees a reservation; an unknown one is ignored."""
        self.ledger.release(reservation_id)

    async def start(
        self, start: StartRecord, *, work_class: str, payload: str, now: float
    ) -> Result[StartReply, Problem]:
        """Passes a journalled start on to the worker (D4).

        Returns:
            The worker's answer. ``FULL``, ``DRAINING`` and ``UNREACHABLE``
            prove that this start was never sent to the worker by this
            session; any other problem leaves it to `resolve`.
        """
        async with self.lock:
            if start.epoch != self.epoch:
                code = Code.STALE_EPOCH if self.is_owned else Code.NOT_OWNER
                return failure(code, f"{self.name} is at another epoch")
            if start.task_id in self.tasks or start.task_id in self.ended:
                return Success(StartReply.KNOWN)
            was_sent = self.ledger.is_unsettled(start.task_id)
            refused = self.refusal(now) or self._make_room(start, now)
            if refused is not None:
                return _unless_sent(refused, was_sent)
            reply = await self.fenced(
                lambda number: self.client.start(
                    start.task_id,
                    epoch=number,
                    work_class=work_class,
                    grant=start.grant,
                    lease_s=LEASE_S,
                    payload=payload,
                )
            )
            return self._started(start, work_class, reply, was_sent, now)

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
        """Runs a lookup; it takes a slot and a connection while it runs.

        Args:
            request_id: Identity of the request.
            work_class: Name of the work class.
            payload: Request body, UTF-8 text.
            timeout_s: Time for the answer in seconds.
            now: Present time.
            need: Resources that the lookup takes.
        """
        self.ledger.expire(now)
        refused = self.refusal(now)
        if refused is not None:
            return refused
        key = (request_id, next(self._ids))
        if not self.ledger.add_lookup(key, need):
            return failure(Code.FULL, f"{self.name} has no free slot")
        # Until the answer is here the lookup may run up to its time-out, also
        # if the caller gives up.
        self.ledger.expire_lookup_at(key, now + timeout_s + LOST_LOOKUP_HOLD_S)
        epoch = self.epoch
        reply = await self._execute(request_id, work_class, payload, timeout_s)
        if is_problem(reply, Code.STALE_EPOCH) and self.epoch not in (0, epoch):
            # The worker was claimed again by this host; a refused call has
            # not run.
            reply = await self._execute(
                request_id, work_class, payload, timeout_s
            )
        if not is_problem(reply, Code.TIMED_OUT):
            self.ledger.remove_lookup(key)
        if is_problem(reply, Code.UNREACHABLE):
            self.contact.failed()
        return reply

    async def stop(self, task_ids: Sequence[str]) -> Result[None, Problem]:
        """Stops tasks; their ends are reported as events."""
        return await self.fenced(
            lambda number: self.client.stop(task_ids, epoch=number)
        )

    async def throttle(self, task_ids: Sequence[str]) -> Result[None, Problem]:
        """Throttles tasks to half of their processors."""
        return await self.fenced(
            lambda number: self.client.throttle(task_ids, epoch=number)
        )

    async def checkpoint(
        self, task_ids: Sequence[str]
    ) -> Result[None, Problem]:
        """Checkpoints tasks, which then stop."""
        return await self.fenced(
            lambda number: self.client.checkpoint(task_ids, epoch=number)
        )

    async def resolve(
        self, start: StartRecord, *, now: float
    ) -> Result[Resolution, Problem]:
        """Decides what became of a start whose answer was lost (D4).

        Returns:
            The resolution, or ``NOT_OWNER`` if another host must decide.
        """
        async with self.lock:
            return await resolve(self, start, now)

    def hand_over(self, now: float) -> bool:
        """Releases the worker once no call and no reservation is open.

        Returns:
            Whether this host is not the owner, or no longer. Otherwise it
            takes no new work for some seconds, and the asker asks again.
        """
        self.ledger.expire(now)
        if not self.is_owned:
            return True
        if self.ledger.is_idle and not self.lock.locked():
            self.drop(DropReason.RELEASED)
            return True
        self.closing_until = now + CLOSING_S
        return False

    def _make_room(self, start: StartRecord, now: float) -> Failure | None:
        self.ledger.expire(now)
        if self.ledger.add_start(start.task_id, start.grant, now):
            return None
        return failure(Code.FULL, f"{self.name} has no room")

    def _started(
        self,
        start: StartRecord,
        work_class: str,
        reply: Result[StartReply, Problem],
        was_sent: bool,
        now: float,
    ) -> Result[StartReply, Problem]:
        if isinstance(reply, Success):
            self.contact.answered()
            self.contact.lease_sent(now)
            self._count(start, work_class, now)
            return reply
        if is_problem(reply, Code.TIMED_OUT):
            # The room stays counted until the start is resolved.
            self.contact.failed()
            self.contact.lease_sent(now)
            return reply
        if is_problem(reply, Code.UNREACHABLE):
            self.contact.failed()
        if not was_sent:
            self.ledger.remove_task(start.task_id)
        return _unless_sent(reply, was_sent)

    def _count(self, start: StartRecord, work_class: str, now: float) -> None:
        # A short task's end may be known before the answer to its start.
        if self.epoch != start.epoch or start.task_id in self.ended:
            return
        self.ledger.add_task(
            WorkerTask(
                start.task_id, work_class, TaskState.RUNNING, start.grant, now
            )
        )

    async def _execute(
        self, request_id: str, work_class: str, payload: str, timeout_s: float
    ) -> Result[str, Problem]:
        return await self.fenced(
            lambda number: self.client.execute(
                request_id,
                epoch=number,
                work_class=work_class,
                payload=payload,
                timeout_s=timeout_s,
            )
        )


def _unless_sent(refused: Failure, was_sent: bool) -> Failure:
    if not was_sent:
        return refused
    return failure(Code.TIMED_OUT, "an earlier start has no answer yet")
