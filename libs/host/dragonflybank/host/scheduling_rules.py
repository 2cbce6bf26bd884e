"""Scheduling rules of a shard home, from the configuration and the VM list."""

__all__ = ["HostSchedulingRules"]

from dragonflybank.jobs.home import SchedulingRules
from dragonflybank.model.hashing import shards_of_team
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import JobSpec, WorkClass
from dragonflybank.policy.quotas import shard_share


class HostSchedulingRules(SchedulingRules):
    """Scheduling rules for one shard of this host."""

    def __init__(self, host, shard: str):
        self._host = host
        self._number = int(shard.rsplit("/", 1)[1])

    def work_class(self, name: str) -> WorkClass | None:
        """See `SchedulingRules.work_class`."""
        return self._host.active_config.work_class(name).value_or(None)

    def max_running(self, team: str) -> int | None:
        """See `SchedulingRules.max_running`."""
        found = self._host.active_config.team(team)
        if found is None:
            return 0
        shards = shards_of_team(
            team,
            self._host.settings.shards_per_region,
            team_shards=found.shards,
        )
        return shard_share(found.max_running, self._number, shards)

    def largest_worker(self) -> Resources | None:
        """See `SchedulingRules.largest_worker`."""
        return self._host.fleet.largest_worker_size

    def grant_size(self, spec: JobSpec, wc: WorkClass) -> Resources:
        """See `SchedulingRules.grant_size`."""
        sizes = self._host.fleet.worker_sizes
        grant = self._host.class_statistics.sizes.grant(
            wc.name, spec.size, sizes
        )
        return grant.value_or(spec.size)

    def is_quarantined(self, worker: str) -> bool:
        """See `SchedulingRules.is_quarantined`."""
        return worker in self._host.worker_health.quarantined

    def rack_of(self, worker: str) -> str:
        """See `SchedulingRules.rack_of`."""
        row = self._host.fleet.find_worker(worker)
        return row.rack if row else ""

    def rack_count(self) -> int:
        """See `SchedulingRules.rack_count`."""
        region = self._host.settings.region
        return self._host.fleet.rack_count(region) or 1
