"""The caller-facing API of a host: submit, query, cancel and count jobs.

A job is stored before its acceptance is reported, and so are its cancel and its
end. A store call without an answer may still take effect, so it is never
answered with a refusal.
"""

__all__ = ["CellFrontend"]

import asyncio
import itertools
import logging
from collections.abc import Callable

from returns.result import Failure, Result, Success

from dragonflybank.cell.background import BackgroundTasks
from dragonflybank.cell.election import LEADER_KEY
from dragonflybank.cell.jobs import Job, JobPhase, encode_record
from dragonflybank.cell.keys import cancel_key, ended_key, job_key
from dragonflybank.cell.load_admission import (
    excess_delay_s,
    overload_retry_after_s,
)
from dragonflybank.cell.phase_cache import JobPhaseCache
from dragonflybank.cell.ports import Item, Txn, TxnReply
from dragonflybank.cell.relay import RelayedStore
from dragonflybank.cell.stored_ends import StoredEnd, read_end
from dragonflybank.cell.submission_wait import max_store_wait_s, retry_after_s
from dragonflybank.cluster.clock import Clock
from dragonflybank.model.codes import Code, Problem, failure

_log = logging.getLogger(__name__)

RETRY_DELAY_S = 0.05
# Part of the caller's timeout that is reserved for sending the reply.
REPLY_MARGIN_S = 0.3
# When callers should retry if the outcome or the count is currently unknown.
RETRY_AFTER_S = 1.0
# Limits the load on an unavailable store: each host probes it at this interval,
# however many submissions are waiting.
PROBE_INTERVAL_S = 0.2
# A call that is unanswered for this long makes later submissions wait. They
# have not been sent, so they can still be refused. The store usually answers
# within 4 ms, and within 25 ms at most from a distant region. For a slow store
# the limit is twice its last response time, up to SUSPECT_MAX_S, the longest
# time that a store call takes.
SUSPECT_MIN_S = 0.15
SUSPECT_FACTOR = 2.0
SUSPECT_MAX_S = 0.7
# How often a waiting submission checks whether the store answers again.
POLL_INTERVAL_S = 0.05
# Beyond this number an end may be logged as answered a second time.
LOGGED_JOBS_KEPT = 4_000
# Value of the key that marks a job as cancelled.
CANCEL_MARKER = b"1"
# Oldest count of pending jobs that is reported to callers.
PENDING_MAX_AGE_S = 4.0


class CellFrontend:
    """Answers the requests of callers.

    Args:
        store: The store, reached directly or through the leader.
        phase_cache: Cache of the job phases that the leader has recorded.
        clock: Clock of the host.
        notify_leader: Called with the epoch of the leader that was known
            before a write, and the item that was written.
    """

    def __init__(
        self,
        store: RelayedStore,
        phase_cache: JobPhaseCache,
        *,
        clock: Clock,
        notify_leader: Callable[[int, Item], None],
    ):
        self._notify_leader = notify_leader
        # Start times of the calls in progress.
        self._called_at: dict[int, float] = {}
        self._call_ids = itertools.count()
        # Start time and duration of the most recently started call that was
        # answered.
        self._answered_at = float("-inf")
        self._response_time_s = 0.0
        self._probing: asyncio.Task | None = None
        self._background = BackgroundTasks()
        self._answered = _RecentJobs()
        self._store = store
        self._phase_cache = phase_cache
        self._clock = clock

    async def submit(
        self, job: Job, *, timeout_s: float
    ) -> Result[None, Problem]:
        """Accepts a job.

        Args:
            job: The job; a job with a known identifier is not accepted again.
            timeout_s: Time that the caller waits for the reply, in seconds.

        Returns:
            Success once the job is stored; ``STORE_UNAVAILABLE`` or
            ``OVERLOADED`` if it is certain that it never will be;
            ``WRITE_UNSETTLED`` if it may be.
        """
        began_at = self._clock.now()
        deadline = began_at + max_store_wait_s(job, timeout_s)
        try:
            async with asyncio.timeout(timeout_s - REPLY_MARGIN_S):
                excess_s = await self._excess_delay_s(job, began_at)
                if excess_s:
                    return self._refuse_overload(job, excess_s)
                return await self._store_job(job, began_at, deadline)
        except TimeoutError:
            return failure(
                Code.WRITE_UNSETTLED,
                "the store has not answered",
                retry_after_s=RETRY_AFTER_S,
            )

    async def _excess_delay_s(self, job: Job, now: float) -> float:
        """Returns by how much a new job would be too late, in seconds.

        A job that may have been stored by an earlier request of its caller is
        not refused, so it counts as in time.
        """
        delays = self._phase_cache.current_start_delays(now)
        excess_s = excess_delay_s(job, delays)
        if not excess_s:
            return 0.0
        phase = await self._read_phase(job.id)
        is_new = (
            isinstance(phase, Failure)
            and phase.failure().code is Code.UNKNOWN_JOB
        )
        return excess_s if is_new else 0.0

    async def _store_job(
        self, job: Job, began_at: float, deadline: float
    ) -> Result[None, Problem]:
        key = job_key(job.id)
        raw = encode_record(job)
        txn = Txn(expected={key: 0, ended_key(job.id): 0}, puts={key: raw})
        may_be_stored = False
        while True:
            is_unavailable = not await self._wait_for_store(deadline)
            if is_unavailable and not may_be_stored:
                return self._refuse(job, self._clock.now() - began_at)
            epoch = self._phase_cache.epoch
            match await self._commit(txn):
                case Success(reply):
                    # Without a revision the job is known, and may have ended.
                    if reply.revision is not None:
                        self._phase_cache.record_accepted(job.id, epoch)
                        self._notify_leader(
                            epoch, Item(key, raw, reply.revision)
                        )
                    _log.info(
                        "accepted",
                        extra={
                            "job": job.id,
                            "queue": job.queue.name,
                            "team": job.team,
                            "revision": reply.revision,
                            "is_new": reply.revision is not None,
                            "waited_s": round(self._clock.now() - began_at, 3),
                        },
                    )
                    return Success(None)
                case Failure(failed) if failed.code is Code.TIMED_OUT:
                    may_be_stored = True
            await self._clock.sleep(RETRY_DELAY_S)

    async def _commit(self, txn: Txn) -> Result[TxnReply, Problem]:
        """Commits a transaction and records whether the store answered."""
        call_id, called_at = next(self._call_ids), self._clock.now()
        self._called_at[call_id] = called_at
        try:
            got = await self._store.commit(txn)
        finally:
            del self._called_at[call_id]
        if isinstance(got, Success):
            self._record_answer(called_at)
        else:
            self._start_probing()
        return got

    def _record_answer(self, called_at: float) -> None:
        if called_at >= self._answered_at:
            self._answered_at = called_at
            self._response_time_s = self._clock.now() - called_at

    async def _wait_for_store(self, deadline: float) -> bool:
        """Waits until the store is likely to answer.

        Returns:
            Whether a call may be sent; False if the deadline has passed.
        """
        while not self._may_call_store(self._clock.now()):
            if self._clock.now() >= deadline:
                return False
            await self._clock.sleep(POLL_INTERVAL_S)
        return True

    def _may_call_store(self, now: float) -> bool:
        if not self._store.is_reachable:
            return False
        unanswered = [
            at for at in self._called_at.values() if at > self._answered_at
        ]
        silence_limit_s = max(
            SUSPECT_MIN_S, SUSPECT_FACTOR * self._response_time_s
        )
        if now - min(unanswered, default=now) >= min(
            SUSPECT_MAX_S, silence_limit_s
        ):
            self._start_probing()
        return not self._is_probing()

    def _start_probing(self) -> None:
        """Holds back submissions until the store answers a read.

        A submission that was sent to an unresponsive store can no longer be
        refused, so the store is probed with reads instead of submissions.
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
                self._record_answer(called_at)
                return
            await self._clock.sleep(PROBE_INTERVAL_S)

    def known_phase(self, job_id: str) -> JobPhase | None:
        """Returns the phase that is reported without reading the store."""
        return self._phase_cache.job_phase(job_id, self._clock.now())

    async def job_phase(self, job_id: str) -> Result[JobPhase, Problem]:
        """Returns the phase of a job, or ``UNKNOWN_JOB``."""
        phase = await self._read_phase(job_id)
        end = self._phase_cache.ends.get(job_id)
        if end is not None and self._answered.add(job_id):
            _log.info(
                "end answered",
                extra={
                    "job": job_id,
                    "phase": end.phase.value,
                    "revision": end.revision,
                },
            )
        return phase

    async def _read_phase(self, job_id: str) -> Result[JobPhase, Problem]:
        """Returns the phase of a job from the cache or the store."""
        known = self.known_phase(job_id)
        if known is not None:
            return Success(known)
        # A job has either a job key or an ended key. If it ends between the
        # first two reads, neither finds it, so the ended key is read again.
        for key in (ended_key, job_key, ended_key):
            found = await self._store.get(key(job_id))
            if isinstance(found, Failure):
                return found
            item = found.unwrap()
            if item is not None and key is job_key:
                return Success(JobPhase.QUEUED)
            if item is not None:
                return read_end(item).map(self._learn_end)
        return failure(Code.UNKNOWN_JOB, "no such job")

    def _learn_end(self, end: StoredEnd) -> JobPhase:
        """Keeps an end that the store has returned; returns its phase."""
        self._phase_cache.learn_end(end)
        return end.phase

    async def cancel(
        self, job_id: str, *, timeout_s: float
    ) -> Result[None, Problem]:
        """Cancels a job; returns success only once that is stored.

        Args:
            job_id: Identifier of the job.
            timeout_s: Time that the caller waits for the reply, in seconds.
        """
        deadline = self._clock.now() + timeout_s - REPLY_MARGIN_S
        return await self._retry_until(
            deadline, lambda: self._cancel_once(job_id)
        )

    def count_pending_jobs(self, queue: str) -> Result[int, Problem]:
        """Returns the number of a queue's jobs that have no started task.

        The number is ``PENDING_MAX_AGE_S`` old at most; otherwise fails with
        ``STORE_UNAVAILABLE``.
        """
        age_s = self._clock.now() - self._phase_cache.synced_at
        if age_s > PENDING_MAX_AGE_S:
            return failure(
                Code.STORE_UNAVAILABLE,
                "the number of pending jobs is currently unknown",
                retry_after_s=RETRY_AFTER_S,
            )
        return Success(self._phase_cache.pending.get(queue, 0))

    async def _cancel_once(self, job_id: str) -> Result[None, Problem]:
        epoch = self._phase_cache.epoch
        phase = await self._read_phase(job_id)
        if isinstance(phase, Failure):
            return phase
        end = self._phase_cache.ends.get(job_id)
        if end is not None:
            self._log_cancel(job_id, end.revision, end.phase.value)
            return Success(None)
        key = cancel_key(job_id)
        # The cancel key of a job that has ended would never be removed.
        txn = Txn(expected={ended_key(job_id): 0}, puts={key: CANCEL_MARKER})
        stored = await self._store.commit(txn)
        if isinstance(stored, Failure):
            return stored
        revision = stored.unwrap().revision
        if revision is None:
            return await self._confirm_ended(job_id)
        self._log_cancel(job_id, revision, "")
        self._notify_leader(epoch, Item(key, CANCEL_MARKER, revision))
        return Success(None)

    async def _confirm_ended(self, job_id: str) -> Result[None, Problem]:
        """Answers a cancel that the store refused since the job has ended."""
        found = await self._store.get(ended_key(job_id))
        if isinstance(found, Failure):
            return found
        item = found.unwrap()
        if item is None:
            return failure(Code.ASK_AGAIN, "the end of the job was removed")
        end = read_end(item)
        if isinstance(end, Failure):
            return end
        self._learn_end(end.unwrap())
        self._log_cancel(job_id, item.revision, end.unwrap().phase.value)
        return Success(None)

    def _log_cancel(self, job_id: str, revision: int, ended: str) -> None:
        """Logs an accepted cancel and the revision of the store that proves it.

        Args:
            job_id: Identifier of the job.
            revision: Revision of the stored cancel, or of the stored end.
            ended: Final phase of a job that had ended before, or "".
        """
        _log.info(
            "cancel accepted",
            extra={"job": job_id, "revision": revision, "ended": ended},
        )

    async def _retry_until(self, deadline: float, call: Callable) -> Result:
        while True:
            got = await call()
            if isinstance(got, Success):
                return got
            if got.failure().code is Code.UNKNOWN_JOB:
                return got
            if self._clock.now() + RETRY_DELAY_S >= deadline:
                return failure(
                    Code.WRITE_UNSETTLED,
                    got.failure().detail,
                    retry_after_s=RETRY_AFTER_S,
                )
            await self._clock.sleep(RETRY_DELAY_S)

    def _refuse_overload(self, job: Job, excess_s: float) -> Result:
        retry_s = overload_retry_after_s(job.id, excess_s)
        _log.warning(
            "refused",
            extra={
                "job": job.id,
                "queue": job.queue.name,
                "team": job.team,
                "code": Code.OVERLOADED.name,
                "detail": "the job would end after its hard deadline",
                "excess_s": round(excess_s, 3),
                "retry_after_s": round(retry_s, 3),
            },
        )
        return failure(
            Code.OVERLOADED,
            "the job would end too late to be useful",
            retry_after_s=retry_s,
        )

    def _refuse(self, job: Job, waited_s: float) -> Result:
        detail = "the store does not answer"
        _log.warning(
            "refused",
            extra={
                "job": job.id,
                "queue": job.queue.name,
                "team": job.team,
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


class _RecentJobs:
    """The jobs about which something was logged, to log it once for each."""

    def __init__(self):
        self._ids: dict[str, None] = {}

    def add(self, job_id: str) -> bool:
        """Adds a job; returns whether it is new."""
        if job_id in self._ids:
            return False
        self._ids[job_id] = None
        while len(self._ids) > LOGGED_JOBS_KEPT:
            del self._ids[next(iter(self._ids))]
        return True
