"""Group commit of the leader's progress records.

Each transaction expects the leader's key, so that a former leader cannot
write, and the revision of each record that it replaces, so that a transaction
that is carried out late cannot bring back an older record.
"""

__all__ = ["Committer"]

import asyncio
import logging
from collections.abc import Callable

import attrs
from returns.result import Failure, Success

from dragonflybank.cell.election import LEADER_KEY, Leadership
from dragonflybank.cell.jobs import Progress, encode_record
from dragonflybank.cell.keys import (
    cancel_key,
    ended_key,
    job_key,
    progress_key,
)
from dragonflybank.cell.ports import Store, Txn, TxnReply
from dragonflybank.cell.state import JobState
from dragonflybank.cluster.clock import Clock

_log = logging.getLogger(__name__)

# The store takes 32 rows in a transaction, and the leader's key needs one.
ROWS_PER_TXN = 31
PROGRESS_ROWS = 2
ENDED_ROWS = 5
# Gathers the changes that arrive together. Callers wait for starts and final
# states, whose delay must be small against a lookup's objective of 400 ms.
GATHER_S = 0.08
GATHER_URGENT_S = 0.01
RETRY_S = 0.03


@attrs.frozen
class _Write:
    """A record as it was when its transaction was first sent.

    Attributes:
        job: The job.
        record: The stored form.
        is_final: Whether the job had ended by then.
    """

    job: JobState
    record: bytes
    is_final: bool


class Committer:
    """Writes changed progress records, several in one transaction.

    Attributes:
        changes_marked: Number of changes noted so far.
        changes_stored: Number of changes that are known to be stored.

    Args:
        store: The platform's store.
        leadership: The leadership under which it writes.
        clock: Clock of the host.
        on_ended: Called with each job whose final state is stored.
    """

    def __init__(
        self,
        store: Store,
        leadership: Leadership,
        *,
        clock: Clock,
        on_ended: Callable[[JobState], None],
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

    def mark_changed(self, job: JobState, *, urgent: bool = False) -> None:
        """Notes that a job's record has changed.

        Args:
            job: The job.
            urgent: Whether somebody waits for it; final states are urgent.
        """
        self._dirty[job.job.id] = job
        self.changes_marked += 1
        self._wake.set()
        if urgent or job.phase.is_final:
            self._urgent.set()

    async def wait_until_stored(self) -> None:
        """Waits until all changes noted so far are stored."""
        if self.changes_stored >= self.changes_marked:
            return
        fut = asyncio.get_running_loop().create_future()
        self._waiters.append((self.changes_marked, fut))
        await fut

    async def run(self) -> None:
        """Writes until it is cancelled or the leadership is lost."""
        while not self._leadership.lost.is_set():
            await self._wake.wait()
            try:
                async with asyncio.timeout(GATHER_S):
                    await self._urgent.wait()
                await self._clock.sleep(GATHER_URGENT_S)
            except TimeoutError:
                pass
            self._wake.clear()
            self._urgent.clear()
            # Changes that are noted from here on belong to the next round, so
            # that a steady stream of them delays nobody.
            mark = self.changes_marked
            jobs, self._dirty = list(self._dirty.values()), {}
            await asyncio.gather(
                *(self._write(writes) for writes in _transactions(jobs))
            )
            self._settle(mark)

    def _settle(self, mark: int) -> None:
        if self._leadership.lost.is_set():
            return
        self.changes_stored = mark
        done = [fut for upto, fut in self._waiters if upto <= mark]
        self._waiters = [w for w in self._waiters if w[0] > mark]
        for fut in done:
            if not fut.done():
                fut.set_result(None)

    async def _write(self, writes: list[_Write]) -> None:
        while not self._leadership.lost.is_set():
            called_at = self._clock.now()
            txn = self._txn(writes)
            match await self._store.commit(txn):
                case Success(TxnReply(revision=int(revision))):
                    self._leadership.confirm(called_at)
                    for write in writes:
                        write.job.progress_revision = revision
                        if write.is_final:
                            self._on_ended(write.job)
                    return
                case Success(reply):
                    self._take_revisions(reply, writes, called_at)
                case Failure(failed):
                    _log.warning(
                        "progress not stored",
                        extra={
                            "jobs": len(writes),
                            "code": failed.code.name,
                            "detail": failed.detail,
                        },
                    )
                    await self._clock.sleep(RETRY_S)

    def _txn(self, writes: list[_Write]) -> Txn:
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

    def _take_revisions(
        self, reply: TxnReply, writes: list[_Write], called_at: float
    ) -> None:
        # An earlier attempt of this leader may have been carried out without
        # an answer; only the leader writes these records.
        found = {item.key: item.revision for item in reply.current}
        if found.get(LEADER_KEY) != self._leadership.epoch:
            self._leadership.lost.set()
            return
        self._leadership.confirm(called_at)
        for write in writes:
            key = progress_key(write.job.job.id)
            write.job.progress_revision = found.get(key, 0)


def _transactions(jobs: list[JobState]) -> list[list[_Write]]:
    """Deals the records of jobs out to as few transactions as they need."""
    dealt: list[list[_Write]] = []
    rows = ROWS_PER_TXN
    for job in jobs:
        needed = ENDED_ROWS if job.phase.is_final else PROGRESS_ROWS
        rows += needed
        if rows > ROWS_PER_TXN:
            dealt.append([])
            rows = needed
        dealt[-1].append(_write_of(job))
    return dealt


def _write_of(job: JobState) -> _Write:
    """Returns all of a live job's record, or the state of an ended one."""
    record = job.progress
    if job.phase.is_final:
        record = Progress(job.phase, ended_at=job.progress.ended_at)
    return _Write(job, encode_record(record), job.phase.is_final)
