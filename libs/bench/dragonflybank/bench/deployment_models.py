"""Models of the deployments and of their load, for the simulations.

The numbers of workers, slots and cores and the memory are those of the
requirements. These give no task sizes and no service times; the ones here
are assumed.
"""

__all__ = [
    "CELL",
    "DEPLOYMENTS",
    "REGISTER",
    "TOOLING",
    "DeploymentModel",
    "TaskDistribution",
    "draw_task",
    "empty_workers",
]

import random

import attrs

from dragonflybank.model.resources import Resources
from dragonflybank.policy.placement import Candidate

WORKERS_PER_RACK = 8


@attrs.frozen
class TaskDistribution:
    """Uniform distribution of the task sizes of one class.

    Attributes:
        work_class: Name of the class.
        share: Share of the tasks that are of this class.
        smallest: Smallest size.
        largest: Largest size.
        run_s: Mean run time in seconds.
    """

    work_class: str
    share: float
    smallest: Resources
    largest: Resources
    run_s: float


@attrs.frozen
class DeploymentModel:
    """A deployment and its assumed load.

    Attributes:
        name: Short name.
        worker_sizes: Sizes of the workers, repeated in turn.
        worker_count: Number of workers.
        host_count: Number of scheduler hosts.
        lookup_class: Name of the work class of lookups.
        lookup_service_s: Mean service time of a lookup in seconds.
        client_latency_s: One-way latency to clients in seconds.
        tasks: Size distributions of the batch tasks.
        lookup_reserve: Slots of each executor that are reserved for lookups.
    """

    name: str
    worker_sizes: tuple[Resources, ...]
    worker_count: int
    host_count: int
    lookup_class: str
    lookup_service_s: float
    client_latency_s: float
    tasks: tuple[TaskDistribution, ...]
    lookup_reserve: int


def _size(cores, memory_gb, accelerators=0):
    return Resources(cores, 1024 * memory_gb, accelerators, 8, 64)


def _task(cores, memory_gb, accelerators=0):
    return Resources(cores, 1024 * memory_gb, accelerators, 1, 1)


REGISTER = DeploymentModel(
    "register",
    (_size(64, 256),),
    24,
    6,
    "availability_lookup",
    0.08,
    0.003,
    (
        TaskDistribution("verification", 0.5, _task(2, 30), _task(8, 90), 20.0),
        TaskDistribution("sweep", 0.5, _task(10, 16), _task(20, 48), 120.0),
    ),
    2,
)
TOOLING = DeploymentModel(
    "tooling",
    (_size(32, 64),),
    24,
    6,
    "die_lookup",
    0.05,
    0.001,
    (
        TaskDistribution("simulation", 0.6, _task(4, 6), _task(10, 24), 180.0),
        TaskDistribution("tonnage_table", 0.4, _task(1, 2), _task(3, 6), 15.0),
    ),
    2,
)
# The design size: about 3,700 accelerators on 1,600 workers.
CELL = DeploymentModel(
    "cell",
    (_size(64, 256, 4), _size(64, 256, 4), _size(64, 256), _size(64, 256, 1)),
    1600,
    40,
    "die_lookup",
    0.05,
    0.001,
    (
        TaskDistribution(
            "training", 0.5, _task(4, 16, 1), _task(16, 64, 2), 600.0
        ),
        TaskDistribution("simulation", 0.5, _task(4, 8), _task(24, 96), 180.0),
    ),
    2,
)
DEPLOYMENTS = (REGISTER, TOOLING)


def empty_workers(
    deployment: DeploymentModel, *, count: int | None = None
) -> list[Candidate]:
    """Returns the workers of a deployment, with no tasks on them.

    Args:
        deployment: The deployment.
        count: Number of workers; None for that of the deployment.
    """
    number = deployment.worker_count if count is None else count
    sizes = deployment.worker_sizes
    return [
        Candidate(
            f"worker-{i:04}",
            sizes[i % len(sizes)],
            sizes[i % len(sizes)],
            f"rack-{i // WORKERS_PER_RACK}",
        )
        for i in range(number)
    ]


def draw_task(
    deployment: DeploymentModel, rng: random.Random
) -> tuple[TaskDistribution, Resources]:
    """Returns the distribution and the size of a random batch task."""
    shares = [distribution.share for distribution in deployment.tasks]
    distribution = rng.choices(deployment.tasks, shares)[0]
    smallest, largest = distribution.smallest, distribution.largest
    need = Resources(
        rng.uniform(smallest.cores, largest.cores),
        rng.uniform(smallest.memory_mb, largest.memory_mb),
        rng.randint(smallest.accelerators, largest.accelerators),
        smallest.slots,
        smallest.connections,
    )
    return distribution, need
