"""Group commit of the leader's progress records.

Each transaction expects the leader's key, so that a former leader cannot
write. It also expects the revision of each record that it replaces, so that a
transaction that is carried out late cannot restore an older record.
"""

__all__ = ["Committer"]

import asyncio
import logging
from collections.abc import Callable, Set

import attrs
from returns.result import Failure, Result, Success

from dragonflybank.cell.election import LEADER_KEY, Leadership
from dragonflybank.cell.input_faults import FaultPlace, InputFaultError
from dragonflybank.cell.jobs import Progress, encode_record
from dragonflybank.cell.keys import (
    cancel_key,
    ended_key,
    job_key,
    progress_key,
)
from dragonflybank.cell.ports import Store, Txn, TxnReply
from dragonflybank.cell.state import JobState
from dragonflybank.cell.stored_ends import StoredEnd, committed_ends
from dragonflybank.cluster.clock import Clock
from dragonflybank.model.codes import Problem

_log = logging.getLogger(__name__)

# The store accepts 32 rows in a transaction, and the leader's key needs one.
ROWS_PER_TXN = 31
# A condition and a value.
ROWS_PER_LIVE_JOB = 2
# A condition, a value and the removal of three keys.
ROWS_PER_ENDED_JOB = 5
# Changes within this time are written together. Callers wait for starts and
# final states, so their delay must be small against a lookup's objective of
# 400 ms.
BATCH_DELAY_S = 0.08
URGENT_BATCH_DELAY_S = 0.01
RETRY_DELAY_S = 0.03


@attrs.frozen
class _RecordWrite:
    """A snapshot of a job's record, taken before the first attempt to store it.

    Attributes:
        job: The job.
        record: The encoded record.
        is_final: Whether the job had ended.
    """

    job: JobState
    record: bytes
    is_final: bool


class Committer:
    """Writes changed progress records, several in one transaction.

    Attributes:
        changes_marked: Number of changes marked so far.
        changes_stored: Number of changes that are known to be stored.
        set_aside: Jobs whose records are not written; see `input_faults`.
        suspects: Jobs whose records are written one by one.

    Args:
        store: The platform's store.
        leadership: Leadership of the writing leader.
        clock: Clock of the host.
        on_ended: Called with each job whose end is stored, and its end.
    """

    def __init__(
        self,
        store: Store,
        leadership: Leadership,
        *,
        clock: Clock,
        on_ended: Callable[[JobState, StoredEnd], None],
    ):
        self._store = store
        self._leadership = leadership
        self._clock = clock
        self._on_ended = on_ended
        self._dirty: dict[str, JobState] = {}
        self._wake = asyncio.Event()
        self._urgent = asyncio.Event()
        self._waiters: list[tuple[int, asyncio.Future]] = []
        self.changes_marked = 0
        self.changes_stored = 0
        self.set_aside: set[str] = set()
        self.suspects: set[str] = set()

    def mark_changed(self, job: JobState, *, urgent: bool = False) -> None:
        """Marks the record of a job as changed.

        Args:
            job: The job.
            urgent: Whether a caller or a task waits until it is stored; final
                states are always urgent.
        """
        if job.job.id in self.set_aside:
            return
        self._dirty[job.job.id] = job
        self.changes_marked += 1
        self._wake.set()
        if urgent or job.phase.is_final:
            self._urgent.set()

    async def wait_until_stored(self) -> None:
        """Waits until all changes marked so far are stored."""
        if self.changes_stored >= self.changes_marked:
            return
        fut = asyncio.get_running_loop().create_future()
        self._waiters.append((self.changes_marked, fut))
        await fut

    async def run(self) -> None:
        """Writes changed records until cancelled or the leadership is lost."""
        while not self._leadership.lost.is_set():
            await self._wake.wait()
            try:
                async with asyncio.timeout(BATCH_DELAY_S):
                    await self._urgent.wait()
                await self._clock.sleep(URGENT_BATCH_DELAY_S)
            except TimeoutError:
                pass
            self._wake.clear()
            self._urgent.clear()
            # Changes that are marked from here on belong to the next batch, so
            # a steady stream of changes does not delay the waiters.
            last_change = self.changes_marked
            jobs, self._dirty = list(self._dirty.values()), {}
            await asyncio.gather(
                *(
                    self._store_records(writes)
                    for writes in _group_into_txns(jobs, self.suspects)
                )
            )
            self._release_waiters(last_change)

    def _release_waiters(self, last_change: int) -> None:
        if self._leadership.lost.is_set():
            return
        self.changes_stored = last_change
        done = [fut for upto, fut in self._waiters if upto <= last_change]
        self._waiters = [w for w in self._waiters if w[0] > last_change]
        for fut in done:
            if not fut.done():
                fut.set_result(None)

    async def _store_records(self, writes: list[_RecordWrite]) -> None:
        while not self._leadership.lost.is_set():
            called_at = self._clock.now()
            txn = self._build_txn(writes)
            match await self._commit(txn, writes):
                case Success(TxnReply(revision=int(revision)) as reply):
                    self._leadership.confirm(called_at)
                    jobs = {write.job.job.id: write.job for write in writes}
                    for job in jobs.values():
                        job.progress_revision = revision
                    for end in committed_ends(txn, reply):
                        self._on_ended(jobs[end.job_id], end)
                    return
                case Success(reply):
                    self._update_revisions(reply, writes, called_at)
                case Failure(failed):
                    _log.warning(
                        "progress records not stored, trying again",
                        extra={
                            "jobs": len(writes),
                            "code": failed.code.name,
                            "detail": failed.detail,
                        },
                    )
                    await self._clock.sleep(RETRY_DELAY_S)

    async def _commit(
        self, txn: Txn, writes: list[_RecordWrite]
    ) -> Result[TxnReply, Problem]:
        try:
            return await self._store.commit(txn)
        except Exception as exc:
            jobs = [write.job.job.id for write in writes]
            raise InputFaultError(FaultPlace.COMMIT, jobs) from exc

    def _build_txn(self, writes: list[_RecordWrite]) -> Txn:
        return Txn(
            expected={
                LEADER_KEY: self._leadership.epoch,
                **{
                    progress_key(w.job.job.id): w.job.progress_revision
                    for w in writes
                },
            },
            puts={
                (ended_key if w.is_final else progress_key)(
                    w.job.job.id
                ): w.record
                for w in writes
            },
            removed_keys=tuple(
                key(w.job.job.id)
                for w in writes
                if w.is_final
                for key in (progress_key, job_key, cancel_key)
            ),
        )

    def _update_revisions(
        self, reply: TxnReply, writes: list[_RecordWrite], called_at: float
    ) -> None:
        # Only the leader writes these records, so a newer revision is from an
        # earlier attempt of this leader whose answer was lost.
        found = {item.key: item.revision for item in reply.current}
        if found.get(LEADER_KEY) != self._leadership.epoch:
            self._leadership.lost.set()
            return
        self._leadership.confirm(called_at)
        for write in writes:
            key = progress_key(write.job.job.id)
            write.job.progress_revision = found.get(key, 0)


def _group_into_txns(
    jobs: list[JobState], alone: Set[str]
) -> list[list[_RecordWrite]]:
    """Groups the records of jobs into transactions of limited size.

    Args:
        jobs: The jobs.
        alone: Jobs whose records get transactions of their own.

    Raises:
        InputFaultError: The record of a job cannot be encoded.
    """
    groups = [[_snapshot(job)] for job in jobs if job.job.id in alone]
    rows = ROWS_PER_TXN
    for job in jobs:
        if job.job.id in alone:
            continue
        job_rows = (
            ROWS_PER_ENDED_JOB if job.phase.is_final else ROWS_PER_LIVE_JOB
        )
        rows += job_rows
        if rows > ROWS_PER_TXN:
            groups.append([])
            rows = job_rows
        groups[-1].append(_snapshot(job))
    return groups


def _snapshot(job: JobState) -> _RecordWrite:
    """Returns a live job's full record, or only the state of an ended job."""
    record = job.progress
    if job.phase.is_final:
        record = Progress(job.phase, ended_at=job.progress.ended_at)
    try:
        encoded = encode_record(record)
    except Exception as exc:
        raise InputFaultError(FaultPlace.COMMIT, [job.job.id]) from exc
    return _RecordWrite(job, encoded, job.phase.is_final)
