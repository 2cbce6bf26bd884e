"""Regions, hosts, workers, classes and teams of a cell's deployment."""

__all__ = [
    "BILLED",
    "FAR_REGION",
    "FAR_TEAM",
    "HOME_REGION",
    "LOOKUP",
    "SHARDS",
    "SIZE",
    "TABLE",
    "TEAM",
    "operator_config",
    "places",
    "worker_for_each",
]

from collections.abc import Sequence

from dragonflybank.bench.deployment import ALL_DAY_BREAKS
from dragonflybank.config.operator import OperatorConfig, Team
from dragonflybank.config.topology import HostSpec
from dragonflybank.model.hashing import rank_members
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import WorkClass, WorkKind

TEAM = "makers"
FAR_TEAM = "far"
HOME_REGION = "north"
FAR_REGION = "south"
SHARDS = 2
SIZE = Resources(cores=16, memory_mb=32768, slots=8, connections=64)
TASK_SIZE = Resources(cores=4, memory_mb=4096, slots=1, connections=1)
BILLED, TABLE, LOOKUP = "simulation", "tonnage_table", "die_lookup"
CLASSES = (
    WorkClass(LOOKUP, WorkKind.LOOKUP, priority=100, expected_s=0.02),
    WorkClass(BILLED, repeatable=False, priority=50, size=TASK_SIZE),
    WorkClass(TABLE, priority=10, size=TASK_SIZE, can_checkpoint=True),
)


def places(*, two_regions: bool) -> tuple[HostSpec, ...]:
    """Returns the three hosts; the third one may be in the far region."""
    south = FAR_REGION if two_regions else HOME_REGION
    regions = {"a": HOME_REGION, "b": HOME_REGION, "c": south}
    return tuple(
        HostSpec(name, region, f"{region}-{name}")
        for name, region in regions.items()
    )


def operator_config(hosts: Sequence[HostSpec]) -> OperatorConfig:
    """Returns the first configuration."""
    regions = {place.region for place in hosts}
    teams = (
        Team(TEAM, HOME_REGION, lookups_per_s=1000),
        Team("tight", HOME_REGION, max_running=2),
        *(Team(FAR_TEAM, region) for region in regions - {HOME_REGION}),
    )
    return OperatorConfig(1, CLASSES, teams, breaks=ALL_DAY_BREAKS)


def worker_for_each(hosts: Sequence[HostSpec]) -> list[str]:
    """Returns a worker's name for each host, for which the host ranks first."""
    names = []
    for place in hosts:
        near = [p.name for p in hosts if p.region == place.region]
        numbers = (f"w{number}" for number in range(10 * len(hosts), 1000))
        names.append(
            next(
                name
                for name in numbers
                if rank_members(name, near)[0] == place.name
                and name not in names
            )
        )
    return names
