"""States of jobs as a host can tell them to callers.

The leader writes its own board and numbers the changes; the other hosts ask
it for the changes since the last ones they have.
"""

__all__ = ["JobPhaseCache"]

import asyncio
import collections
import itertools

from dragonflybank.cell.jobs import JobPhase
from dragonflybank.cell.messages import SyncReply

# A host that missed more changes than this gets the whole board.
CHANGES_KEPT = 4000
# States older than this are read from the store instead.
FRESH_S = 2.0
# Ended jobs beyond this number are forgotten here; the store has them.
JOBS_KEPT = 20_000


class JobPhaseCache:
    """States of jobs, and numbers of jobs that wait.

    Attributes:
        epoch: Epoch of the leader that the states come from.
        change_number: Number of the last change.
        pending: Number of jobs without a started task, by queue.
        synced_at: Time of the last synchronisation with the leader.
    """

    def __init__(self):
        self.epoch = 0
        self.change_number = 0
        self.pending: dict[str, int] = {}
        self.fresh_at = float("-inf")
        self._states: dict[str, JobPhase] = {}
        self._changes: collections.deque[tuple[int, str]] = collections.deque(
            maxlen=CHANGES_KEPT
        )
        self._changed = asyncio.Event()

    def is_fresh(self, now: float) -> bool:
        """Returns whether the states are recent."""
        return now - self.fresh_at <= FRESH_S

    def job_phase(self, job_id: str, now: float) -> JobPhase | None:
        """Returns a state that may be told, None if the store must be read."""
        phase = self._states.get(job_id)
        if phase is not None and (phase.is_final or self.is_fresh(now)):
            return phase
        return None

    def record_phase(self, job_id: str, phase: JobPhase) -> None:
        """Notes a state; final states never change, others only advance."""
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
        """Lets those who wait for news have what there is."""
        self._changed.set()

    def start_epoch(self, epoch: int) -> None:
        """Begins a leadership.

        A job may have ended under the former leader without this host being
        told, so only final states outlive a leadership.
        """
        self.epoch = epoch
        self._states = {
            name: phase
            for name, phase in self._states.items()
            if phase.is_final
        }

    async def wait_for_changes(
        self, epoch: int, number: int, *, wait_s: float
    ) -> SyncReply:
        """Returns the changes after a number, waiting for some if none."""
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
        is_whole = epoch != self.epoch or number + 1 < oldest
        if is_whole:
            names = self._states.keys()
        else:
            newer = itertools.takewhile(
                lambda change: change[0] > number, reversed(self._changes)
            )
            names = {job: None for _, job in newer}
        states = tuple(
            (name, self._states[name].value)
            for name in names
            if name in self._states
        )
        return SyncReply(
            self.epoch, self.change_number, is_whole, states, dict(self.pending)
        )

    def apply_changes(self, reply: SyncReply, now: float) -> None:
        """Takes in the leader's news."""
        if reply.epoch != self.epoch:
            self.start_epoch(reply.epoch)
        for name, phase in reply.states:
            self.record_phase(name, JobPhase(phase))
        self.epoch = reply.epoch
        self.change_number = reply.number
        self._changes.clear()
        self.pending = reply.pending
        self.fresh_at = now
