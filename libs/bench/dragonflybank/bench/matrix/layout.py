"""Regions, hosts, workers, classes and teams of the deployment of a cell."""

__all__ = [
    "BILLED_CLASS",
    "FAR_REGION",
    "FAR_TEAM",
    "HOME_REGION",
    "HOME_TEAM",
    "LOOKUP_CLASS",
    "REPEATABLE_CLASS",
    "SHARDS_PER_REGION",
    "WORKER_SIZE",
    "choose_worker_names",
    "host_specs",
    "operator_config",
]

from collections.abc import Sequence

from dragonflybank.bench.deployment import ALL_DAY_BREAKS
from dragonflybank.config.operator import OperatorConfig, Team
from dragonflybank.config.topology import HostSpec
from dragonflybank.model.hashing import rank_members
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import WorkClass, WorkKind

HOME_TEAM = "makers"
FAR_TEAM = "far"
HOME_REGION = "north"
FAR_REGION = "south"
SHARDS_PER_REGION = 2
WORKER_SIZE = Resources(cores=16, memory_mb=32768, slots=8, connections=64)
TASK_SIZE = Resources(cores=4, memory_mb=4096, slots=1, connections=1)
BILLED_CLASS, REPEATABLE_CLASS, LOOKUP_CLASS = (
    "simulation",
    "tonnage_table",
    "die_lookup",
)
CLASSES = (
    WorkClass(LOOKUP_CLASS, WorkKind.LOOKUP, priority=100, expected_s=0.02),
    WorkClass(BILLED_CLASS, repeatable=False, priority=50, size=TASK_SIZE),
    WorkClass(
        REPEATABLE_CLASS, priority=10, size=TASK_SIZE, can_checkpoint=True
    ),
)


def host_specs(*, two_regions: bool) -> tuple[HostSpec, ...]:
    """Returns the three hosts; the third one may be in the far region."""
    third_region = FAR_REGION if two_regions else HOME_REGION
    regions = {"a": HOME_REGION, "b": HOME_REGION, "c": third_region}
    return tuple(
        HostSpec(name, region, f"{region}-{name}")
        for name, region in regions.items()
    )


def operator_config(hosts: Sequence[HostSpec]) -> OperatorConfig:
    """Returns the first configuration."""
    regions = {spec.region for spec in hosts}
    teams = (
        Team(HOME_TEAM, HOME_REGION, lookups_per_s=1000),
        Team("tight", HOME_REGION, max_running=2),
        *(Team(FAR_TEAM, region) for region in regions - {HOME_REGION}),
    )
    return OperatorConfig(1, CLASSES, teams, breaks=ALL_DAY_BREAKS)


def choose_worker_names(hosts: Sequence[HostSpec]) -> list[str]:
    """Returns for each host a worker's name for which that host ranks first."""
    names = []
    for spec in hosts:
        regional_hosts = [h.name for h in hosts if h.region == spec.region]
        numbers = (f"w{number}" for number in range(10 * len(hosts), 1000))
        names.append(
            next(
                name
                for name in numbers
                if rank_members(name, regional_hosts)[0] == spec.name
                and name not in names
            )
        )
    return names
