"""Share of the fleet in use before the first refusal.

Tasks of random size start one after another. In one series none ends; in the
other most starts are followed by the end of a random task, which breaks the
free room into pieces as it is in use.
"""

__all__ = ["in_use_at_refusal", "packing"]

import random
import statistics
from collections.abc import Callable

import attrs
from returns.pipeline import is_successful

from dragonflybank.bench import deployment_models
from dragonflybank.bench.deployment_models import CELL, DEPLOYMENTS, Deployment
from dragonflybank.bench.table import Better, Row
from dragonflybank.cluster.capacity import CapacityTracker
from dragonflybank.model.resources import (
    Resources,
    add_resources,
    fits,
    subtract_resources,
    sum_resources,
)
from dragonflybank.policy.placement import (
    BestFitPolicy,
    FirstFitPolicy,
    PlacementPolicy,
    RandomPolicy,
)

RUNS = 40
# Part of the starts that are followed by the end of a random task.
ENDS = 0.8
CELL_WORKERS = 48


def packing() -> list[Row]:
    """Returns the share in use for best fit against the baselines."""
    rows = []
    for deployment in (*DEPLOYMENTS, CELL):
        count = min(deployment.workers, CELL_WORKERS)
        where = f"{deployment.name}, {count} workers"
        for ends, series in ((0.0, "no ends"), (ENDS, "with ends")):
            rows += _rows(deployment, where, count, ends, series)
    return rows


def in_use_at_refusal(
    deployment: Deployment,
    policy: PlacementPolicy,
    seed: int,
    *,
    ends: float = 0.0,
    count: int | None = None,
) -> tuple[float, float, float]:
    """Returns the shares in use when a task is refused for the first time.

    Args:
        deployment: Sizes of workers and tasks.
        policy: The policy.
        seed: Seed of the sizes and of the ends.
        ends: Part of the starts that are followed by an end.
        count: Number of workers, if not that of the deployment.

    Returns:
        The share in use of the most used resource; the share that an offline
        packing reaches from there, with the same tasks and those that follow
        in the series packed anew, largest first; and the share at which
        the sum of these tasks exceeds the sum of the workers, which no
        packing can pass.
    """
    needs = random.Random(seed)
    other = random.Random(seed + 1)
    workers = _room_for_patient(deployment, count)
    places = {w.name: i for i, w in enumerate(workers)}
    tasks = []
    while True:
        need = deployment_models.draw_need(deployment, needs)[1]
        outcome = policy.choose(need, workers, 0.0)
        if not is_successful(outcome):
            break
        place = places[outcome.unwrap().name]
        workers[place] = _with(workers[place], subtract_resources, need)
        tasks.append((place, need))
        if other.random() < ends:
            place, ended = tasks.pop(other.randrange(len(tasks)))
            workers[place] = _with(workers[place], add_resources, ended)
    running = [need for _, need in tasks]
    offline = _offline(deployment, count, [*running, need], needs)
    limit = _limit(deployment, count, [*offline, need], needs)
    return (
        _share(workers, running),
        _share(workers, offline),
        _share(workers, limit),
    )


def _rows(deployment, where, count, ends, series):
    def mean(make: Callable[[int], PlacementPolicy]):
        shares = [
            in_use_at_refusal(
                deployment, make(seed), seed, ends=ends, count=count
            )
            for seed in range(RUNS)
        ]
        return [statistics.mean(column) for column in zip(*shares, strict=True)]

    best, offline, limit = mean(lambda seed: BestFitPolicy())
    first, *_ = mean(lambda seed: FirstFitPolicy())
    chance, *_ = mean(RandomPolicy)
    what = f"in use before the first refusal, {series}"
    figures = (
        (f"{what}, against first fit", best, first),
        (f"{what}, against random", best, chance),
        (f"{what}, packed offline, largest first", offline, None),
        (f"{what}, upper limit by volume", limit, None),
    )
    return [
        Row(name, "share", where, value, Better.HIGHER, baseline=baseline)
        for name, value, baseline in figures
    ]


def _room_for_patient(deployment, count):
    kept = deployment.lookup_reserve
    return [
        attrs.evolve(
            w, free=CapacityTracker(w.size, lookup_reserve=kept).free_for_tasks
        )
        for w in deployment_models.workers_of(deployment, count=count)
    ]


def _with(worker, change, need):
    return attrs.evolve(worker, free=change(worker.free, need))


def _share(workers, running):
    size = sum_resources(w.size for w in workers)
    used = sum_resources(running)
    return max(
        part / whole
        for part, whole in (
            (used.cores, size.cores),
            (used.memory_mb, size.memory_mb),
            (used.accelerators, size.accelerators),
        )
        if whole
    )


def _offline(deployment, count, needs, rng) -> list[Resources]:
    """Returns the longest beginning of the series that can be packed."""
    packed = needs[:-1]
    while _packs(deployment, count, needs):
        packed = list(needs)
        needs = [*needs, deployment_models.draw_need(deployment, rng)[1]]
    return packed


def _limit(deployment, count, needs, rng) -> list[Resources]:
    """Returns the longest beginning whose sum is within the workers' sum."""
    room = sum_resources(w.free for w in _room_for_patient(deployment, count))
    kept, used = [], Resources()
    rest = iter(needs)
    while True:
        need = (
            next(rest, None) or deployment_models.draw_need(deployment, rng)[1]
        )
        used = add_resources(used, need)
        if not fits(used, room):
            return kept
        kept.append(need)


def _packs(deployment, count, needs):
    workers = _room_for_patient(deployment, count)
    places = {w.name: i for i, w in enumerate(workers)}
    size = workers[0].size
    policy = BestFitPolicy()

    def magnitude(need):
        return (
            need.accelerators,
            need.cores / size.cores + need.memory_mb / size.memory_mb,
        )

    for need in sorted(needs, key=magnitude, reverse=True):
        outcome = policy.choose(need, workers, 0.0)
        if not is_successful(outcome):
            return False
        place = places[outcome.unwrap().name]
        workers[place] = _with(workers[place], subtract_resources, need)
    return True
