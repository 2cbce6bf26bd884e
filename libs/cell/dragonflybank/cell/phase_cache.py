"""A host's cache of the job phases that it reports to callers.

The leader updates its own cache and numbers the changes; the other hosts ask
the leader for the changes after the last one that they have. What a host learns
in another way gets no number; it would skip as many changes of the leader.
"""

__all__ = ["JobPhaseCache", "sync_batch_delay_s"]

import asyncio
import collections
import itertools
import types
from collections.abc import Mapping

from dragonflybank.cell.jobs import JobPhase
from dragonflybank.cell.messages import StartDelay, SyncReply, TeamDelay
from dragonflybank.cell.phase_packing import pack_phases, unpack_phases
from dragonflybank.cell.stored_ends import StoredEnd, pack_ends, unpack_ends

# Collects phase changes into one reply; small against a queue's objective.
SYNC_BATCH_DELAY_S = 0.04
# In a large cell more changes are collected into one reply, so that the leader
# sends at most this many replies per second. One takes it some 0.3 ms.
MAX_SYNC_REPLIES_PER_S = 600
# The numbers of pending jobs of all queues are sent at most this often per
# second; callers may see them up to 4 s late.
MAX_PENDING_SENT_PER_S = 200
# A host that missed more changes than this gets a full copy.
CHANGES_KEPT = 4000
# Phases older than this are read from the store instead.
MAX_AGE_S = 2.0
# Beyond this number the oldest are evicted here; the store has them.
JOBS_KEPT = 20_000


class JobPhaseCache:
    """Phases of jobs, and numbers of pending jobs.

    Final phases come as `StoredEnd` only and are kept for good. Live ones hold
    while their leader leads, and for `MAX_AGE_S` after its last answer.

    Attributes:
        epoch: Epoch of the leader that the phases come from.
        change_number: Number of the leader's last change.
        pending: Number of jobs without a started task, by queue.
        start_delays: Delays of new jobs under overload.
        pending_number: Number of the last update of ``pending`` and
            ``start_delays``.
        executors: Number of executors that the leader knows; 0 elsewhere.
        synced_at: Time of the last synchronisation with the leader.
    """

    def __init__(self):
        self.epoch = 0
        self.change_number = 0
        self.pending: dict[str, int] = {}
        self.start_delays: tuple[StartDelay, ...] = ()
        self.pending_number = 0
        self._pending_updated_at = float("-inf")
        self.executors = 0
        self.synced_at = float("-inf")
        self._ends: dict[str, StoredEnd] = {}
        self._live: dict[str, JobPhase] = {}
        # Jobs that this host has accepted and the leader has not reported yet.
        self._accepted: dict[str, None] = {}
        self._changes: collections.deque[tuple[int, str]] = collections.deque(
            maxlen=CHANGES_KEPT
        )
        self._changed = asyncio.Event()

    def is_fresh(self, now: float) -> bool:
        """Returns whether the last synchronisation is recent."""
        return now - self.synced_at <= MAX_AGE_S

    def current_start_delays(self, now: float) -> tuple[StartDelay, ...]:
        """Returns the delays of new jobs; none if they are not current."""
        return self.start_delays if self.is_fresh(now) else ()

    @property
    def ends(self) -> Mapping[str, StoredEnd]:
        """The ends that are known, by job."""
        return types.MappingProxyType(self._ends)

    def job_phase(self, job_id: str, now: float) -> JobPhase | None:
        """Returns a current phase, or None if the store must be read."""
        end = self._ends.get(job_id)
        if end is not None:
            return end.phase
        if not self.is_fresh(now):
            return None
        if job_id in self._live:
            return self._live[job_id]
        return JobPhase.QUEUED if job_id in self._accepted else None

    def record_live(self, job_id: str, phase: JobPhase) -> None:
        """Records a live phase that this host knows as the leader.

        Phases only advance: nothing changes after the end of the job, or back
        to ``QUEUED``.

        Raises:
            ValueError: The phase is final; see `record_end`.
        """
        if self._set_live(job_id, phase):
            self._number_change(job_id)

    def record_end(self, end: StoredEnd) -> None:
        """Records an end that this host has stored as the leader."""
        self.learn_end(end)
        # This host may have read it from the store before.
        self._number_change(end.job_id)

    def learn_end(self, end: StoredEnd) -> None:
        """Records an end that was read from the store or sent by the leader."""
        if end.job_id in self._ends:
            return
        self._forget_live(end.job_id)
        _put_bounded(self._ends, end.job_id, end)

    def record_accepted(self, job_id: str, epoch: int) -> None:
        """Records that this host has stored a new job.

        It is no change of the leader's, and gets no number.

        Args:
            job_id: Identifier of the job.
            epoch: Epoch of the leader that was known before the job was stored.
                A later one may have ended the job by now.
        """
        is_reported = job_id in self._live or job_id in self._ends
        if epoch == self.epoch and not is_reported:
            _put_bounded(self._accepted, job_id, None)

    def _set_live(self, job_id: str, phase: JobPhase) -> bool:
        """Sets a live phase; returns whether anything has changed."""
        if phase.is_final:
            raise ValueError(f"{phase} is final, and not known to be stored")
        known = self._live.get(job_id)
        if job_id in self._ends or phase is known:
            return False
        if known is not None and phase is JobPhase.QUEUED:
            return False
        self._accepted.pop(job_id, None)
        _put_bounded(self._live, job_id, phase)
        return True

    def _forget_live(self, job_id: str) -> None:
        self._live.pop(job_id, None)
        self._accepted.pop(job_id, None)

    def _number_change(self, job_id: str) -> None:
        self.change_number += 1
        self._changes.append((self.change_number, job_id))
        self._changed.set()

    def wake_waiters(self) -> None:
        """Ends all calls of `wait_for_changes` that are waiting."""
        self._changed.set()

    def start_epoch(self, epoch: int) -> None:
        """Starts the epoch of another leader.

        A job may have ended under the former leader without this host learning
        of it, so only ends are kept.
        """
        self.epoch = epoch
        self._live = {}
        self._accepted = {}

    async def wait_for_changes(
        self,
        epoch: int,
        number: int,
        *,
        wait_s: float,
        packs: bool = False,
        takes_ends: bool = False,
        pending_number: int = -1,
    ) -> SyncReply:
        """Returns the changes after a number, waiting for some if none.

        Args:
            epoch: Epoch that the asking host knows.
            number: Number of the last change that the asking host has.
            wait_s: Longest time to wait for a change, in seconds.
            packs: Whether the asking host reads the short form of phases.
            takes_ends: Whether it reads `SyncReply.packed_ends`.
            pending_number: Number of the last update of pending jobs that the
                asking host has, -1 for none.
        """
        if epoch == self.epoch and number == self.change_number:
            self._changed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        oldest = (
            self._changes[0][0] if self._changes else self.change_number + 1
        )
        is_other_epoch = epoch != self.epoch
        is_whole = is_other_epoch or number + 1 < oldest
        if is_other_epoch:
            # A host that lacks an end reads it from the store. All hosts ask at
            # once after an election.
            job_ids = self._live.keys()
        elif is_whole:
            job_ids = itertools.chain(self._live, self._ends)
        else:
            newer = itertools.takewhile(
                lambda change: change[0] > number, reversed(self._changes)
            )
            job_ids = {job_id: None for _, job_id in newer}
        job_ids = list(job_ids)
        ends = [self._ends[i] for i in job_ids if i in self._ends]
        states = [
            (job_id, self._live[job_id].value)
            for job_id in job_ids
            if job_id in self._live
        ]
        packed_ends = b""
        if takes_ends:
            packed_ends, other_ends = pack_ends(ends)
            states += other_ends
        else:
            states += ((end.job_id, end.phase.value) for end in ends)
        packed, rest = pack_phases(states) if packs else (b"", tuple(states))
        # A leader that followed one of an earlier version has no number yet.
        keeps_pending = (
            not is_other_epoch and 0 <= pending_number == self.pending_number
        )
        delays = () if keeps_pending else self.start_delays
        team_delays = tuple(d for d in delays if isinstance(d, TeamDelay))
        return SyncReply(
            self.epoch,
            self.change_number,
            is_whole,
            rest,
            {} if keeps_pending else dict(self.pending),
            start_delays=tuple(d for d in delays if d not in team_delays),
            team_delays=team_delays,
            pending_number=self.pending_number,
            packed=packed,
            packed_ends=packed_ends,
            executors=self.executors,
        )

    def update_pending(
        self,
        pending: dict[str, int],
        start_delays: tuple[StartDelay, ...],
        *,
        hosts: int,
        now: float,
    ) -> None:
        """Updates what other hosts are told about pending jobs.

        Args:
            pending: Number of jobs without a started task, by queue.
            start_delays: Delays of new jobs under overload.
            hosts: Number of hosts that send sync requests to the leader.
            now: Current time.
        """
        is_same = (pending, start_delays) == (self.pending, self.start_delays)
        waited_s = now - self._pending_updated_at
        if is_same or waited_s < hosts / MAX_PENDING_SENT_PER_S:
            return
        self.pending, self.start_delays = pending, start_delays
        self.pending_number += 1
        self._pending_updated_at = now

    def apply_changes(self, reply: SyncReply, now: float) -> None:
        """Applies the changes that the leader sent."""
        has_pending = reply.pending_number >= 0 and (
            reply.epoch,
            reply.pending_number,
        ) == (self.epoch, self.pending_number)
        if reply.epoch != self.epoch:
            self.start_epoch(reply.epoch)
        for end in unpack_ends(reply.packed_ends):
            self.learn_end(end)
        for job_id, name in itertools.chain(
            unpack_phases(reply.packed), reply.states
        ):
            phase = JobPhase(name)
            if phase.is_final:
                # Without a revision it may not be stored, so the store is read.
                self._forget_live(job_id)
            else:
                self._set_live(job_id, phase)
        self.epoch = reply.epoch
        self.change_number = reply.number
        self._changes.clear()
        if not has_pending:
            self.pending = reply.pending
            self.start_delays = (*reply.start_delays, *reply.team_delays)
            self.pending_number = reply.pending_number
        self.synced_at = now


def _put_bounded(kept: dict, job_id: str, value) -> None:
    """Adds an entry; the oldest are evicted beyond `JOBS_KEPT`."""
    kept[job_id] = value
    while len(kept) > JOBS_KEPT:
        del kept[next(iter(kept))]


def sync_batch_delay_s(hosts: int) -> float:
    """Returns for how long changes are collected into one sync reply.

    Args:
        hosts: Number of hosts that send sync requests to the leader.

    Example:
        >>> [sync_batch_delay_s(hosts) for hosts in (5, 24, 96)]
        [0.04, 0.04, 0.16]
    """
    return max(SYNC_BATCH_DELAY_S, hosts / MAX_SYNC_REPLIES_PER_S)
