"""Builders of jobs and executors for tests of scheduling decisions."""

__all__ = [
    "QUEUES",
    "ManualClock",
    "add_job",
    "get_step",
    "make_config",
    "make_executor",
]

import attrs

from dragonflybank.cell.jobs import (
    AdviceTiming,
    CellConfig,
    Job,
    Progress,
    Queue,
    Step,
)
from dragonflybank.cell.ports import ExecutorInfo
from dragonflybank.cell.state import Executor, StepState
from dragonflybank.cell.teams import ResourceCap, Team, key_digest
from dragonflybank.cell.workload import Workload
from dragonflybank.cluster.clock import Clock

QUEUES = {
    name: Queue(
        name,
        "front",
        f"/{name}/",
        "directory",
        priority,
        objective_s,
        slack,
        4,
        AdviceTiming(0.3, 0.004, 2.0) if name == "verify" else None,
    )
    for priority, (name, objective_s, slack) in enumerate(
        (("lookup", 0.4, 1.5), ("verify", 1.2, 2.2), ("sweep", 3.0, 4.0))
    )
}


def make_executor(name: str, *, cores: int = 64, rack: str = "r1", **kwargs):
    """Returns a claimed executor."""
    info = ExecutorInfo(
        name,
        "directory",
        "10.0.0.1:80",
        "zone",
        millicores=1000 * cores,
        memory_mb=4096 * cores,
        labels=("a", rack),
        incarnation=1,
    )
    return Executor(attrs.evolve(info, **kwargs), claimed=True)


def add_job(
    workload: Workload,
    number: int,
    *steps: Step,
    queue: str = "lookup",
    at: float = 0.0,
    progress: Progress | None = None,
    **kwargs,
):
    """Adds a job to a workload and returns its state."""
    job = Job(f"{number:016x}", QUEUES[queue], "text", steps, at, **kwargs)
    return workload.add(
        job,
        progress or Progress(),
        revision=0,
        unix_time=at,
        max_early_start_s=0.25,
        now=at,
    )


def get_step(state, number: int = 0) -> StepState:
    """Returns a step of the first occurrence of a job."""
    return state.occurrences[0][number]


def make_config(
    version: int = 1,
    *,
    caps: dict[str, int],
    weights: dict[str, float] | None = None,
) -> CellConfig:
    """Returns a configuration with teams.

    Args:
        version: Its version.
        caps: Cap in cores, 0 for none, by team.
        weights: Weight by team; 1 for the other teams.
    """
    return CellConfig(
        version,
        {"front": tuple(QUEUES.values())},
        {},
        teams={
            name: Team(
                name,
                (key_digest(name),),
                (weights or {}).get(name, 1.0),
                ResourceCap(1000 * cores),
            )
            for name, cores in caps.items()
        },
    )


class ManualClock(Clock):
    """A clock that a test sets.

    Attributes:
        time_s: Its time in seconds.
    """

    def __init__(self):
        self.time_s = 0.0

    def now(self) -> float:
        """See `Clock.now`."""
        return self.time_s

    async def sleep(self, seconds: float) -> None:
        """See `Clock.sleep`."""
        self.time_s += seconds
