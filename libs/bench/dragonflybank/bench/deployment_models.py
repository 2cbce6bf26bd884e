"""Sizes of the deployments and the load that the benchmarks assume.

Numbers of workers, slots, cores and memory are those of the design page.
The page gives no task sizes and no service times; those here are assumed.
"""

__all__ = [
    "CELL",
    "DEPLOYMENTS",
    "REGISTER",
    "TOOLING",
    "Deployment",
    "TaskShape",
    "draw_need",
    "workers_of",
]

import random

import attrs

from dragonflybank.model.resources import Resources
from dragonflybank.policy.placement import Candidate

RACK_SIZE = 8


@attrs.frozen
class TaskShape:
    """Sizes of the tasks of one class, drawn evenly between two ends.

    Attributes:
        work_class: Name of the class.
        part: Part of the tasks that are of this class.
        least: Smallest size.
        most: Largest size.
        run_s: Mean run time in seconds.
    """

    work_class: str
    part: float
    least: Resources
    most: Resources
    run_s: float


@attrs.frozen
class Deployment:
    """A deployment and its assumed load.

    Attributes:
        name: Short name.
        sizes: Sizes of the workers, repeated in turn.
        workers: Number of workers.
        hosts: Number of scheduler hosts.
        lookup: Name of the urgent class.
        lookup_s: Mean service time of a lookup in seconds.
        client_s: One-way latency to clients in seconds.
        tasks: Shapes of the patient tasks.
        lookup_reserve: Slots of each executor that are kept for lookups.
    """

    name: str
    sizes: tuple[Resources, ...]
    workers: int
    hosts: int
    lookup: str
    lookup_s: float
    client_s: float
    tasks: tuple[TaskShape, ...]
    lookup_reserve: int


def _size(cores, memory_gb, accelerators=0):
    return Resources(cores, 1024 * memory_gb, accelerators, 8, 64)


def _task(cores, memory_gb, accelerators=0):
    return Resources(cores, 1024 * memory_gb, accelerators, 1, 1)


REGISTER = Deployment(
    "register",
    (_size(64, 256),),
    24,
    6,
    "availability_lookup",
    0.08,
    0.003,
    (
        TaskShape("verification", 0.5, _task(2, 30), _task(8, 90), 20.0),
        TaskShape("sweep", 0.5, _task(10, 16), _task(20, 48), 120.0),
    ),
    2,
)
TOOLING = Deployment(
    "tooling",
    (_size(32, 64),),
    24,
    6,
    "die_lookup",
    0.05,
    0.001,
    (
        TaskShape("simulation", 0.6, _task(4, 6), _task(10, 24), 180.0),
        TaskShape("tonnage_table", 0.4, _task(1, 2), _task(3, 6), 15.0),
    ),
    2,
)
# The size to design for: about 3,700 accelerators on 1,600 workers.
CELL = Deployment(
    "cell",
    (_size(64, 256, 4), _size(64, 256, 4), _size(64, 256), _size(64, 256, 1)),
    1600,
    40,
    "die_lookup",
    0.05,
    0.001,
    (
        TaskShape("training", 0.5, _task(4, 16, 1), _task(16, 64, 2), 600.0),
        TaskShape("simulation", 0.5, _task(4, 8), _task(24, 96), 180.0),
    ),
    2,
)
DEPLOYMENTS = (REGISTER, TOOLING)


def workers_of(
    deployment: Deployment, *, count: int | None = None
) -> list[Candidate]:
    """Returns the empty workers of a deployment, with their racks.

    Args:
        deployment: The deployment.
        count: Number of workers, if not that of the deployment.
    """
    number = deployment.workers if count is None else count
    sizes = deployment.sizes
    return [
        Candidate(
            f"worker-{i:04}",
            sizes[i % len(sizes)],
            sizes[i % len(sizes)],
            f"rack-{i // RACK_SIZE}",
        )
        for i in range(number)
    ]


def draw_need(
    deployment: Deployment, rng: random.Random
) -> tuple[TaskShape, Resources]:
    """Returns the class and the size of a random patient task."""
    parts = [shape.part for shape in deployment.tasks]
    shape = rng.choices(deployment.tasks, parts)[0]
    least, most = shape.least, shape.most
    need = Resources(
        rng.uniform(least.cores, most.cores),
        rng.uniform(least.memory_mb, most.memory_mb),
        rng.randint(least.accelerators, most.accelerators),
        least.slots,
        least.connections,
    )
    return shape, need
