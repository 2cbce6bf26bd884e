"""What callers ask of a host: submit, state, cancel, number of waiting jobs.

An acceptance is stored before it is told. A call to the store without an
answer may have had an effect, so it is never answered with a refusal.
"""

__all__ = ["CellFront"]

import asyncio
import logging
import zlib
from collections.abc import Callable

from returns.result import Failure, Result, Success

from dragonflybank.cell.board import Board
from dragonflybank.cell.jobs import Job, Phase, decode_progress, encode
from dragonflybank.cell.keys import cancel_key, ended_key, job_key
from dragonflybank.cell.ports import Item, Txn
from dragonflybank.cell.relay import RelayedStore
from dragonflybank.cluster.clock import Clock
from dragonflybank.model.codes import Code, Problem, problem

_log = logging.getLogger(__name__)

RETRY_S = 0.05
# Left for the answer to reach the caller.
ANSWER_S = 0.3
# Retry-After of a refusal: the store's outages last some seconds.
RETRY_AFTER_S = 2.0
LONG_RETRY_AFTER_S = 3.0
# Callers that are refused together come back in this many different seconds.
RETRY_SPREAD_S = 2
# Age of an outage from which it counts as a long one.
LONG_OUTAGE_S = 2.0
# A refusal this long after the last one belongs to another outage.
FORGET_S = 3.0
# Value of the key that marks a job as cancelled.
CANCELLED = b"1"
# Numbers of waiting jobs may be some seconds old.
PENDING_AGE_S = 4.0


class CellFront:
    """Answers callers.

    Args:
        store: The store, also as the leader reaches it.
        board: States of jobs, as the leader tells them.
        clock: Clock of the host.
        notify: Tells the leader of an epoch of a stored item.
    """

    def __init__(
        self,
        store: RelayedStore,
        board: Board,
        *,
        clock: Clock,
        notify: Callable[[int, Item], None],
    ):
        self._notify = notify
        self._silent_since: float | None = None
        self._last_refusal = float("-inf")
        self._store = store
        self._board = board
        self._clock = clock

    async def submit(
        self, job: Job, *, limit_s: float
    ) -> Result[None, Problem]:
        """Accepts a job.

        Args:
            job: The job; one with the same identity is not accepted again.
            limit_s: Time that the caller waits for the answer, in seconds.

        Returns:
            Success once it is stored; ``STORE_UNAVAILABLE`` if it certainly
            never will be; ``WRITE_UNSETTLED`` if it may be.
        """
        if not self._store.is_reachable:
            return self._refuse(
                job, Problem(Code.STORE_UNAVAILABLE, "the store is silent")
            )
        try:
            async with asyncio.timeout(limit_s - ANSWER_S):
                return await self._store_job(job)
        except TimeoutError:
            return problem(
                Code.WRITE_UNSETTLED,
                "the store has not answered",
                retry_after_s=RETRY_AFTER_S,
            )

    async def _store_job(self, job: Job) -> Result[None, Problem]:
        key = job_key(job.id)
        epoch = self._board.epoch
        raw = encode(job)
        txn = Txn(expected={key: 0, ended_key(job.id): 0}, puts={key: raw})
        may_be_stored = False
        while True:
            match await self._store.commit(txn):
                case Success(reply):
                    self._board.publish(job.id, Phase.QUEUED)
                    if reply.revision is not None:
                        self._notify(epoch, Item(key, raw, reply.revision))
                    _log.info(
                        "accepted",
                        extra={
                            "job": job.id,
                            "queue": job.queue.name,
                            "revision": reply.revision,
                            "is_new": reply.revision is not None,
                        },
                    )
                    return Success(None)
                case Failure(failed) if failed.code is not Code.TIMED_OUT:
                    if not may_be_stored:
                        return self._refuse(job, failed)
                case Failure(_):
                    may_be_stored = True
            await self._clock.sleep(RETRY_S)

    async def state(self, job_id: str) -> Result[Phase, Problem]:
        """Returns the state of a job, or ``UNKNOWN_JOB``."""
        known = self._board.state(job_id, self._clock.now())
        if known is not None:
            return Success(known)
        # A job has one of two keys; it may end between the first two reads.
        for key in (ended_key, job_key, ended_key):
            found = await self._store.get(key(job_id))
            if isinstance(found, Failure):
                return found
            item = found.unwrap()
            if item is not None and key is job_key:
                return Success(Phase.QUEUED)
            if item is not None:
                return Success(decode_progress(item.value).phase)
        return problem(Code.UNKNOWN_JOB, "no such job")

    async def cancel(
        self, job_id: str, *, limit_s: float
    ) -> Result[None, Problem]:
        """Cancels a job; it is stored before it is told.

        Args:
            job_id: Identity of the job.
            limit_s: Time that the caller waits for the answer, in seconds.
        """
        until = self._clock.now() + limit_s - ANSWER_S
        return await self._until(until, lambda: self._cancel_once(job_id))

    def pending(self, queue: str) -> Result[int, Problem]:
        """Returns the number of a queue's jobs without a started task."""
        age_s = self._clock.now() - self._board.fresh_at
        if age_s > PENDING_AGE_S:
            return problem(
                Code.STORE_UNAVAILABLE,
                "the number of waiting jobs is not known",
                retry_after_s=RETRY_AFTER_S,
            )
        return Success(self._board.pending.get(queue, 0))

    async def _cancel_once(self, job_id: str) -> Result[None, Problem]:
        epoch = self._board.epoch
        state = await self.state(job_id)
        if isinstance(state, Failure):
            return state
        if state.unwrap().is_final:
            return Success(None)
        key = cancel_key(job_id)
        # A mark beside an ended job would stay in the store for good.
        txn = Txn(expected={ended_key(job_id): 0}, puts={key: CANCELLED})
        stored = await self._store.commit(txn)
        if isinstance(stored, Success) and stored.unwrap().revision:
            _log.info("cancel accepted", extra={"job": job_id})
            self._notify(
                epoch, Item(key, CANCELLED, stored.unwrap().revision or 0)
            )
        return stored.map(lambda _: None)

    async def _until(self, until: float, call: Callable) -> Result:
        while True:
            got = await call()
            if isinstance(got, Success):
                return got
            if got.failure().code is Code.UNKNOWN_JOB:
                return got
            if self._clock.now() + RETRY_S >= until:
                return problem(
                    Code.WRITE_UNSETTLED,
                    got.failure().detail,
                    retry_after_s=RETRY_AFTER_S,
                )
            await self._clock.sleep(RETRY_S)

    def _refuse(self, job: Job, failed: Problem) -> Result:
        _log.warning(
            "refused",
            extra={
                "job": job.id,
                "queue": job.queue.name,
                "code": failed.code.name,
                "detail": failed.detail,
            },
        )
        return problem(
            Code.STORE_UNAVAILABLE,
            failed.detail,
            retry_after_s=self._retry_after_s(job.id),
        )

    def _retry_after_s(self, job_id: str) -> float:
        """Returns when a refused caller should come back, in seconds.

        Callers give up after a few tries, so an outage that lasts brings
        longer pauses; callers that were refused together return apart.
        """
        now = self._clock.now()
        if self._silent_since is None or now > self._last_refusal + FORGET_S:
            self._silent_since = now
        self._last_refusal = now
        age_s = now - self._silent_since
        base_s = RETRY_AFTER_S if age_s < LONG_OUTAGE_S else LONG_RETRY_AFTER_S
        return base_s + zlib.crc32(job_id.encode()) % RETRY_SPREAD_S
