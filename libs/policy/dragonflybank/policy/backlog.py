"""Patient jobs that wait, ordered by priority and by their team's quota.

The time for one step grows with the number of teams and the logarithm of
the number of jobs, not with the number of jobs.
"""

__all__ = ["Backlog", "WaitingJob"]

import heapq
import itertools
from collections.abc import Collection

import attrs


@attrs.frozen
class WaitingJob:
    """A job that waits for a start.

    Attributes:
        id: Identity, as ``team/key``.
        team: Team that owns it.
        priority: Larger goes first.
        accepted_at: Seconds since 1970; earlier goes first.
        not_before: Earliest time of the next attempt, seconds since 1970.
    """

    id: str
    team: str
    priority: int = 0
    accepted_at: float = 0.0
    not_before: float = 0.0


class Backlog:
    """The waiting jobs of a shard."""

    def __init__(self):
        self._jobs = {}
        self._ready = {}
        self._delayed = []
        self._number = itertools.count()

    def __len__(self):
        return len(self._jobs)

    def add(self, job: WaitingJob, now: float) -> None:
        """Adds a job or replaces the one with its identity.

        Args:
            job: The job.
            now: Present time, seconds since 1970.
        """
        number = next(self._number)
        self._jobs[job.id] = (number, job)
        if job.not_before > now:
            heapq.heappush(self._delayed, (job.not_before, number, job))
        else:
            self._push(number, job)

    def remove(self, job_id: str) -> bool:
        """Removes a job; returns whether it was waiting."""
        return self._jobs.pop(job_id, None) is not None

    def take(
        self, now: float, *, blocked: Collection[str] = ()
    ) -> WaitingJob | None:
        """Takes the next job.

        A job that finds no room is added again with a later ``not_before``,
        so that it does not block the jobs behind it.

        Args:
            now: Present time, seconds since 1970.
            blocked: Teams whose quota is used up.

        Returns:
            The job with the largest priority, the earliest of equal ones;
            None if no job may start.
        """
        self._wake(now)
        heads = [
            heap[0]
            for team, heap in list(self._ready.items())
            if team not in blocked and self._trim(team, heap)
        ]
        if not heads:
            return None
        *_, job = min(heads)
        heapq.heappop(self._ready[job.team])
        del self._jobs[job.id]
        return job

    def _push(self, number, job):
        heap = self._ready.setdefault(job.team, [])
        heapq.heappush(heap, (-job.priority, job.accepted_at, number, job))

    def _wake(self, now):
        while self._delayed and self._delayed[0][0] <= now:
            _, number, job = heapq.heappop(self._delayed)
            if self._is_current(number, job):
                self._push(number, job)

    def _trim(self, team, heap):
        while heap and not self._is_current(*heap[0][2:]):
            heapq.heappop(heap)
        if not heap:
            del self._ready[team]
        return bool(heap)

    def _is_current(self, number, job):
        current = self._jobs.get(job.id)
        return current is not None and current[0] == number
