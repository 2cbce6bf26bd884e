"""What callers ask of a host: submit, state, cancel, number of waiting jobs.

An acceptance is stored before it is told. A call to the store without an
answer may have had an effect, so it is never answered with a refusal.
"""

__all__ = ["CellFront"]

import logging
from collections.abc import Callable

from returns.result import Failure, Result, Success

from dragonflybank.cell.board import Board
from dragonflybank.cell.jobs import Job, Phase, decode_progress, encode
from dragonflybank.cell.keys import cancel_key, ended_key, job_key
from dragonflybank.cell.ports import Store, Txn
from dragonflybank.cluster.clock import Clock
from dragonflybank.model.codes import Code, Problem, problem

_log = logging.getLogger(__name__)

RETRY_S = 0.1
# Left for the answer to reach the caller.
ANSWER_S = 0.3
# Retry-After of a refusal: the store's outages last seconds.
RETRY_AFTER_S = 1.0
# Numbers of waiting jobs may be some seconds old.
PENDING_AGE_S = 4.0


class CellFront:
    """Answers callers.

    Args:
        store: The platform's store.
        board: States of jobs, as the leader tells them.
        clock: Clock of the host.
        is_store_answering: Returns whether the store answers this host.
    """

    def __init__(
        self,
        store: Store,
        board: Board,
        *,
        clock: Clock,
        is_store_answering: Callable[[], bool],
    ):
        self._is_store_answering = is_store_answering
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
        key = job_key(job.id)
        txn = Txn(
            expected={key: 0, ended_key(job.id): 0}, puts={key: encode(job)}
        )
        until = self._clock.now() + limit_s - ANSWER_S
        may_be_stored = False
        if not self._is_store_answering():
            return self._refuse(
                job, Problem(Code.STORE_UNAVAILABLE, "the store is silent")
            )
        while True:
            match await self._store.commit(txn):
                case Success(reply):
                    self._board.publish(job.id, Phase.QUEUED)
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
            # Another host may reach the store, and the caller can ask it.
            is_silent = not self._is_store_answering()
            if is_silent or self._clock.now() + RETRY_S >= until:
                return problem(
                    Code.WRITE_UNSETTLED,
                    "the store has not answered",
                    retry_after_s=RETRY_AFTER_S,
                )
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
        txn = Txn(puts={cancel_key(job_id): b"1"})
        return await self._until(until, lambda: self._cancel_once(job_id, txn))

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

    async def _cancel_once(
        self, job_id: str, txn: Txn
    ) -> Result[None, Problem]:
        state = await self.state(job_id)
        if isinstance(state, Failure):
            return state
        if state.unwrap().is_final:
            return Success(None)
        stored = await self._store.commit(txn)
        if isinstance(stored, Success):
            _log.info("cancel accepted", extra={"job": job_id})
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
            retry_after_s=RETRY_AFTER_S,
        )
