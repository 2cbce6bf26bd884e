"""What callers ask of a host: submit, state, cancel, number of waiting jobs.

An acceptance is stored before it is told. A call to the store without an
answer may have had an effect, so it is never answered with a refusal.
"""

__all__ = ["CellFrontend"]

import asyncio
import itertools
import logging
from collections.abc import Callable

from returns.result import Failure, Result, Success

from dragonflybank.cell.background import BackgroundTasks
from dragonflybank.cell.election import LEADER_KEY
from dragonflybank.cell.jobs import (
    Job,
    JobPhase,
    decode_progress,
    encode_record,
)
from dragonflybank.cell.keys import cancel_key, ended_key, job_key
from dragonflybank.cell.phase_cache import JobPhaseCache
from dragonflybank.cell.ports import Item, Txn, TxnReply
from dragonflybank.cell.relay import RelayedStore
from dragonflybank.cell.submission_wait import max_store_wait_s, retry_after_s
from dragonflybank.cluster.clock import Clock
from dragonflybank.model.codes import Code, Problem, failure

_log = logging.getLogger(__name__)

RETRY_S = 0.05
# Left for the answer to reach the caller.
ANSWER_S = 0.3
# After this a caller asks again for what is not known at present.
RETRY_AFTER_S = 1.0
# A store that refuses or is silent is asked this often by each host, however
# many submissions wait there.
PROBE_EVERY_S = 0.2
# A call without an answer for this long makes others wait. They are certain
# not to be stored then, and can be refused; the store answers in 4 ms, 25 ms
# away at most. A slow store gets twice the time of its last answer, and no
# more than a call to it takes at most.
SUSPECT_S = 0.15
SUSPECT_FACTOR = 2.0
SUSPECT_MAX_S = 0.7
# How often a waiting submission looks whether the store answers again.
POLL_S = 0.05
# Value of the key that marks a job as cancelled.
CANCELLED = b"1"
# Numbers of waiting jobs may be some seconds old.
PENDING_AGE_S = 4.0


class CellFrontend:
    """Answers callers.

    Args:
        store: The store, also as the leader reaches it.
        phase_cache: Cache of the job phases that the leader publishes.
        clock: Clock of the host.
        notify: Tells the leader of an epoch of a stored item.
    """

    def __init__(
        self,
        store: RelayedStore,
        phase_cache: JobPhaseCache,
        *,
        clock: Clock,
        notify: Callable[[int, Item], None],
    ):
        self._notify = notify
        self._called_at: dict[int, float] = {}
        self._calls = itertools.count()
        # Start of the latest call that was answered.
        self._answered_at = float("-inf")
        self._answer_s = 0.0
        self._probing: asyncio.Task | None = None
        self._background = BackgroundTasks()
        self._store = store
        self._phase_cache = phase_cache
        self._clock = clock

    async def submit(
        self, job: Job, *, timeout_s: float
    ) -> Result[None, Problem]:
        """Accepts a job.

        Args:
            job: The job; one with the same identity is not accepted again.
            timeout_s: Time that the caller waits for the answer, in seconds.

        Returns:
            Success once it is stored; ``STORE_UNAVAILABLE`` if it certainly
            never will be; ``WRITE_UNSETTLED`` if it may be.
        """
        began_at = self._clock.now()
        until = began_at + max_store_wait_s(job, timeout_s)
        try:
            async with asyncio.timeout(timeout_s - ANSWER_S):
                return await self._store_job(job, began_at, until)
        except TimeoutError:
            return failure(
                Code.WRITE_UNSETTLED,
                "the store has not answered",
                retry_after_s=RETRY_AFTER_S,
            )

    async def _store_job(
        self, job: Job, began_at: float, until: float
    ) -> Result[None, Problem]:
        key = job_key(job.id)
        raw = encode_record(job)
        txn = Txn(expected={key: 0, ended_key(job.id): 0}, puts={key: raw})
        may_be_stored = False
        while True:
            is_away = not await self._wait_for_store(until)
            if is_away and not may_be_stored:
                return self._refuse(job, self._clock.now() - began_at)
            epoch = self._phase_cache.epoch
            match await self._commit(txn):
                case Success(reply):
                    self._phase_cache.record_phase(job.id, JobPhase.QUEUED)
                    if reply.revision is not None:
                        self._notify(epoch, Item(key, raw, reply.revision))
                    _log.info(
                        "accepted",
                        extra={
                            "job": job.id,
                            "queue": job.queue.name,
                            "revision": reply.revision,
                            "is_new": reply.revision is not None,
                            "waited_s": round(self._clock.now() - began_at, 3),
                        },
                    )
                    return Success(None)
                case Failure(failed) if failed.code is Code.TIMED_OUT:
                    may_be_stored = True
            await self._clock.sleep(RETRY_S)

    async def _commit(self, txn: Txn) -> Result[TxnReply, Problem]:
        """Calls the store and notes whether it answers."""
        number, called_at = next(self._calls), self._clock.now()
        self._called_at[number] = called_at
        try:
            got = await self._store.commit(txn)
        finally:
            del self._called_at[number]
        if isinstance(got, Success):
            self._note_answer(called_at)
        else:
            self._suspect()
        return got

    def _note_answer(self, called_at: float) -> None:
        if called_at >= self._answered_at:
            self._answered_at = called_at
            self._answer_s = self._clock.now() - called_at

    async def _wait_for_store(self, until: float) -> bool:
        """Waits until a call to the store is worth a try.

        Returns:
            Whether it is; False once the time is over.
        """
        while not self._is_worth_a_try(self._clock.now()):
            if self._clock.now() >= until:
                return False
            await self._clock.sleep(POLL_S)
        return True

    def _is_worth_a_try(self, now: float) -> bool:
        if not self._store.is_reachable:
            return False
        later = [
            at for at in self._called_at.values() if at > self._answered_at
        ]
        limit_s = max(SUSPECT_S, SUSPECT_FACTOR * self._answer_s)
        if now - min(later, default=now) >= min(SUSPECT_MAX_S, limit_s):
            self._suspect()
        return not self._is_probing()

    def _suspect(self) -> None:
        """Makes submissions wait until a read is answered.

        A submission that was sent to a silent store cannot be refused any
        more, so none of them is used to find out.
        """
        if not self._is_probing():
            self._probing = self._background.spawn(self._probe())

    def _is_probing(self) -> bool:
        return self._probing is not None and not self._probing.done()

    async def _probe(self) -> None:
        while True:
            called_at = self._clock.now()
            got = await self._store.probe(LEADER_KEY)
            if isinstance(got, Success):
                self._note_answer(called_at)
                return
            await self._clock.sleep(PROBE_EVERY_S)

    async def job_phase(self, job_id: str) -> Result[JobPhase, Problem]:
        """Returns the state of a job, or ``UNKNOWN_JOB``."""
        known = self._phase_cache.job_phase(job_id, self._clock.now())
        if known is not None:
            return Success(known)
        # A job has one of two keys; it may end between the first two reads.
        for key in (ended_key, job_key, ended_key):
            found = await self._store.get(key(job_id))
            if isinstance(found, Failure):
                return found
            item = found.unwrap()
            if item is not None and key is job_key:
                return Success(JobPhase.QUEUED)
            if item is not None:
                return Success(decode_progress(item.value).phase)
        return failure(Code.UNKNOWN_JOB, "no such job")

    async def cancel(
        self, job_id: str, *, timeout_s: float
    ) -> Result[None, Problem]:
        """Cancels a job; it is stored before it is told.

        Args:
            job_id: Identity of the job.
            timeout_s: Time that the caller waits for the answer, in seconds.
        """
        until = self._clock.now() + timeout_s - ANSWER_S
        return await self._until(until, lambda: self._cancel_once(job_id))

    def count_pending_jobs(self, queue: str) -> Result[int, Problem]:
        """Returns the number of a queue's jobs without a started task."""
        age_s = self._clock.now() - self._phase_cache.fresh_at
        if age_s > PENDING_AGE_S:
            return failure(
                Code.STORE_UNAVAILABLE,
                "the number of waiting jobs is not known",
                retry_after_s=RETRY_AFTER_S,
            )
        return Success(self._phase_cache.pending.get(queue, 0))

    async def _cancel_once(self, job_id: str) -> Result[None, Problem]:
        epoch = self._phase_cache.epoch
        state = await self.job_phase(job_id)
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
                return failure(
                    Code.WRITE_UNSETTLED,
                    got.failure().detail,
                    retry_after_s=RETRY_AFTER_S,
                )
            await self._clock.sleep(RETRY_S)

    def _refuse(self, job: Job, waited_s: float) -> Result:
        detail = "the store does not answer"
        _log.warning(
            "refused",
            extra={
                "job": job.id,
                "queue": job.queue.name,
                "code": Code.STORE_UNAVAILABLE.name,
                "detail": detail,
                "waited_s": round(waited_s, 3),
            },
        )
        return failure(
            Code.STORE_UNAVAILABLE,
            detail,
            retry_after_s=retry_after_s(job.id),
        )
