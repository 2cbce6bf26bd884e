"""Detection of unhealthy workers.

A worker is unhealthy if several distinct jobs fail on it, that is, jobs of
different teams or work classes. Failures of one job don't count against the
worker; a job that fails on several unlike workers is ended by its shard home
(`jobs.failures`).
"""

__all__ = ["WorkerHealth", "quarantine_limit"]

import collections

import attrs

MIN_DISTINCT_JOBS = 3
FAILURE_WINDOW_S = 60.0
MAX_QUARANTINED_SHARE = 0.1
# The first probe is sent after half of the failure window; the delay doubles
# with each failed probe.
PROBE_DELAY_S = 30.0
MAX_PROBE_DELAY_S = 600.0


@attrs.define
class _Quarantine:
    probe_at: float
    delay_s: float = PROBE_DELAY_S


class WorkerHealth:
    """Tracks failures by worker and quarantines unhealthy workers.

    A task that exceeded its size or was stopped says nothing about the health
    of its worker and must not be recorded as a failure.
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
        """Records the failure of a task or lookup.

        Args:
            worker: Name of the worker.
            team: Team of the job.
            work_class: Class of the job.
            now: Current time, seconds since 1970.
            region_workers: Number of workers of the region.
            quarantined_elsewhere: Number of workers of the region that other
                hosts hold in quarantine.

        Returns:
            Whether this failure puts the worker in quarantine.
        """
        quarantine = self._quarantined.get(worker)
        if quarantine is not None:
            self._on_probe_failed(quarantine, now)
            return False
        failures = self._failures[worker]
        failures.append((now, (team, work_class)))
        while failures and now - failures[0][0] > FAILURE_WINDOW_S:
            failures.popleft()
        if len({job for _, job in failures}) < MIN_DISTINCT_JOBS:
            return False
        if len(self._quarantined) + quarantined_elsewhere >= quarantine_limit(
            region_workers
        ):
            return False
        self._quarantined[worker] = _Quarantine(now + PROBE_DELAY_S)
        del self._failures[worker]
        return True

    def record_success(self, worker: str) -> bool:
        """Records a success, which clears the worker's failures.

        Returns:
            Whether the worker is released from quarantine.
        """
        self._failures.pop(worker, None)
        return self._quarantined.pop(worker, None) is not None

    def forget_worker(self, worker: str) -> None:
        """Forgets a worker that was replaced or has left."""
        self.record_success(worker)

    def probes_due(self, now: float) -> list[str]:
        """Returns the quarantined workers that may be probed with one task.

        The task must be repeatable. Its outcome is recorded like any other: a
        success releases the worker, a failure doubles the probe delay.
        """
        return [
            name
            for name, quarantine in self._quarantined.items()
            if now >= quarantine.probe_at
        ]

    def record_probe(self, worker: str, now: float) -> None:
        """Records that a probe was sent; the next is due after the delay."""
        quarantine = self._quarantined.get(worker)
        if quarantine is not None:
            quarantine.probe_at = now + quarantine.delay_s

    def _on_probe_failed(self, quarantine, now):
        quarantine.delay_s = min(2 * quarantine.delay_s, MAX_PROBE_DELAY_S)
        quarantine.probe_at = now + quarantine.delay_s


def quarantine_limit(region_workers: int) -> int:
    """Returns the maximum number of quarantined workers of a region.

    Example:
        >>> [quarantine_limit(count) for count in (1, 8, 24, 1600)]
        [1, 1, 2, 160]
    """
    return max(1, int(MAX_QUARANTINED_SHARE * region_workers))
