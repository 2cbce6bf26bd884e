"""A host's cache of the job phases that it reports to callers.

The leader updates its own cache and numbers the changes; the other hosts ask
the leader for the changes after the last one that they have.
"""

__all__ = ["JobPhaseCache", "sync_batch_delay_s"]

import asyncio
import collections
import itertools

from dragonflybank.cell.jobs import JobPhase
from dragonflybank.cell.messages import StartDelay, SyncReply
from dragonflybank.cell.phase_packing import pack_phases, unpack_phases

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
# Beyond this number the oldest jobs are evicted here; the store has them.
JOBS_KEPT = 20_000


class JobPhaseCache:
    """Phases of jobs, and numbers of pending jobs.

    Attributes:
        epoch: Epoch of the leader that the phases come from.
        change_number: Number of the last change.
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
        self._states: dict[str, JobPhase] = {}
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

    def job_phase(self, job_id: str, now: float) -> JobPhase | None:
        """Returns a current phase, or None if the store must be read."""
        phase = self._states.get(job_id)
        if phase is not None and (phase.is_final or self.is_fresh(now)):
            return phase
        return None

    def record_phase(self, job_id: str, phase: JobPhase) -> None:
        """Records a phase; final phases never change, others only advance."""
        known = self._states.get(job_id)
        if known is not None and (
            known.is_final or phase is known or phase is JobPhase.QUEUED
        ):
            return
        self._states[job_id] = phase
        self.change_number += 1
        self._changes.append((self.change_number, job_id))
        self._changed.set()
        while len(self._states) > JOBS_KEPT:
            self._states.pop(next(iter(self._states)))

    def wake_waiters(self) -> None:
        """Ends all calls of `wait_for_changes` that are waiting."""
        self._changed.set()

    def start_epoch(self, epoch: int) -> None:
        """Starts the epoch of another leader.

        A job may have ended under the former leader without this host learning
        of it, so only final phases are kept.
        """
        self.epoch = epoch
        self._states = {
            job_id: phase
            for job_id, phase in self._states.items()
            if phase.is_final
        }

    async def wait_for_changes(
        self,
        epoch: int,
        number: int,
        *,
        wait_s: float,
        packs: bool = False,
        pending_number: int = -1,
    ) -> SyncReply:
        """Returns the changes after a number, waiting for some if none.

        Args:
            epoch: Epoch that the asking host knows.
            number: Number of the last change that the asking host has.
            wait_s: Longest time to wait for a change, in seconds.
            packs: Whether the asking host reads the short form of phases.
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
            # Final phases never change, and a host that lacks one reads it from
            # the store. All hosts ask at once after an election.
            job_ids = [
                job_id
                for job_id, phase in self._states.items()
                if not phase.is_final
            ]
        elif is_whole:
            job_ids = self._states.keys()
        else:
            newer = itertools.takewhile(
                lambda change: change[0] > number, reversed(self._changes)
            )
            job_ids = {job_id: None for _, job_id in newer}
        states = tuple(
            (job_id, self._states[job_id].value)
            for job_id in job_ids
            if job_id in self._states
        )
        packed, rest = pack_phases(states) if packs else (b"", states)
        # A leader that followed one of an earlier version has no number yet.
        keeps_pending = (
            not is_other_epoch and 0 <= pending_number == self.pending_number
        )
        return SyncReply(
            self.epoch,
            self.change_number,
            is_whole,
            rest,
            {} if keeps_pending else dict(self.pending),
            start_delays=() if keeps_pending else self.start_delays,
            pending_number=self.pending_number,
            packed=packed,
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
        for job_id, phase in itertools.chain(
            unpack_phases(reply.packed), reply.states
        ):
            self.record_phase(job_id, JobPhase(phase))
        self.epoch = reply.epoch
        self.change_number = reply.number
        self._changes.clear()
        if not has_pending:
            self.pending = reply.pending
            self.start_delays = reply.start_delays
            self.pending_number = reply.pending_number
        self.synced_at = now


def sync_batch_delay_s(hosts: int) -> float:
    """Returns for how long changes are collected into one sync reply.

    Args:
        hosts: Number of hosts that send sync requests to the leader.

    Example:
        >>> [sync_batch_delay_s(hosts) for hosts in (5, 24, 96)]
        [0.04, 0.04, 0.16]
    """
    return max(SYNC_BATCH_DELAY_S, hosts / MAX_SYNC_REPLIES_PER_S)
