"""Sick workers, told apart from sick jobs (D15).

A worker is sick if unlike jobs fail on it. A job that fails on unlike workers
is stopped by its home (`jobs.failures`).
"""

__all__ = ["WorkerHealth", "quarantine_limit"]

import collections

import attrs

UNLIKE_JOBS = 3
EVIDENCE_S = 60.0
QUARANTINE_SHARE = 0.1
# The first probe comes after half of the evidence window; the wait doubles
# with each failed probe.
PROBE_DELAY_S = 30.0
PROBE_AFTER_MAX_S = 600.0


@attrs.define
class _Quarantine:
    probe_at: float
    wait_s: float = PROBE_DELAY_S


class WorkerHealth:
    """Failures of each worker and the workers in quarantine.

    A task that exceeded its size or was stopped says nothing about its
    worker and must not be reported as a failure.
    """

    def __init__(self):
        self._failures = collections.defaultdict(collections.deque)
        self._quarantined = {}

    @property
    def quarantined(self) -> frozenset[str]:
        """Names of the workers in quarantine."""
        return frozenset(self._quarantined)

    def record_failure(
        self,
        worker: str,
        team: str,
        work_class: str,
        now: float,
        *,
        region_workers: int,
        quarantined_elsewhere: int = 0,
    ) -> bool:
        """Counts a failure.

        Args:
            worker: Name of the worker.
            team: Team of the job.
            work_class: Class of the job.
            now: Present time, seconds since 1970.
            region_workers: Number of workers of the region.
            quarantined_elsewhere: Number of workers of the region that other
                hosts hold in quarantine.

        Returns:
            Whether the worker is put in quarantine by this failure.
        """
        held = self._quarantined.get(worker)
        if held is not None:
            self._probe_failed(held, now)
            return False
        failures = self._failures[worker]
        failures.append((now, (team, work_class)))
        while failures and now - failures[0][0] > EVIDENCE_S:
            failures.popleft()
        if len({job for _, job in failures}) < UNLIKE_JOBS:
            return False
        if len(self._quarantined) + quarantined_elsewhere >= quarantine_limit(
            region_workers
        ):
            return False
        self._quarantined[worker] = _Quarantine(now + PROBE_DELAY_S)
        del self._failures[worker]
        return True

    def record_success(self, worker: str) -> bool:
        """Counts a success, which voids the evidence.

        Returns:
            Whether the worker is released from quarantine.
        """
        self._failures.pop(worker, None)
        return self._quarantined.pop(worker, None) is not None

    def forget(self, worker: str) -> None:
        """Drops what is known about a worker that was replaced or left."""
        self.record_success(worker)

    def probes_due(self, now: float) -> list[str]:
        """Returns the quarantined workers that may be given one task.

        The task must be repeatable. Its result is reported as any other; a
        success releases the worker, a failure doubles the wait.
        """
        return [
            name
            for name, held in self._quarantined.items()
            if now >= held.probe_at
        ]

    def record_probe(self, worker: str, now: float) -> None:
        """Notes that a probe was sent; the next one is due after the wait."""
        held = self._quarantined.get(worker)
        if held is not None:
            held.probe_at = now + held.wait_s

    def _probe_failed(self, held, now):
        held.wait_s = min(2 * held.wait_s, PROBE_AFTER_MAX_S)
        held.probe_at = now + held.wait_s


def quarantine_limit(region_workers: int) -> int:
    """Returns how many workers of a region may be in quarantine.

    Example:
        >>> [quarantine_limit(count) for count in (1, 8, 24, 1600)]
        [1, 1, 2, 160]
    """
    return max(1, int(QUARANTINE_SHARE * region_workers))
