"""Share of the resources in use when a task is refused for the first time.

Tasks of random size start one after another. In one series none ends; in the
other most starts are followed by the end of a random task, which fragments
the free resources as in production.
"""

__all__ = ["packing", "share_used_at_refusal"]

import random
import statistics
from collections.abc import Callable

import attrs
from returns.pipeline import is_successful

from dragonflybank.bench import deployment_models
from dragonflybank.bench.deployment_models import (
    CELL,
    DEPLOYMENTS,
    DeploymentModel,
)
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

SEED_COUNT = 40
# Probability that the end of a random task follows a start.
END_PROBABILITY = 0.8
CELL_WORKERS = 48


def packing() -> list[Row]:
    """Compares the share in use of best fit with that of the baselines."""
    rows = []
    for deployment in (*DEPLOYMENTS, CELL):
        count = min(deployment.worker_count, CELL_WORKERS)
        where = f"{deployment.name}, {count} workers"
        for end_probability, series in (
            (0.0, "no ends"),
            (END_PROBABILITY, "with ends"),
        ):
            rows += _rows(deployment, where, count, end_probability, series)
    return rows


def share_used_at_refusal(
    deployment: DeploymentModel,
    policy: PlacementPolicy,
    seed: int,
    *,
    end_probability: float = 0.0,
    count: int | None = None,
) -> tuple[float, float, float]:
    """Returns the shares in use when a task is refused for the first time.

    Args:
        deployment: Model with the sizes of workers and tasks.
        policy: Policy that places the tasks.
        seed: Seed for the task sizes and the ends.
        end_probability: Probability that an end follows a start.
        count: Number of workers; None for that of the deployment.

    Returns:
        Three shares in use of the most used resource: that of the policy;
        that of an offline packing, which packs the same tasks and those that
        follow in the series again, largest first; and an upper limit for any
        packing, at which the sum of the tasks exceeds the sum of the workers.
    """
    needs_rng = random.Random(seed)
    ends_rng = random.Random(seed + 1)
    workers = _workers_for_batch(deployment, count)
    indices = {w.name: i for i, w in enumerate(workers)}
    tasks = []
    while True:
        need = deployment_models.draw_task(deployment, needs_rng)[1]
        outcome = policy.choose(need, workers, 0.0)
        if not is_successful(outcome):
            break
        index = indices[outcome.unwrap().name]
        workers[index] = _with_free(workers[index], subtract_resources, need)
        tasks.append((index, need))
        if ends_rng.random() < end_probability:
            index, ended = tasks.pop(ends_rng.randrange(len(tasks)))
            workers[index] = _with_free(workers[index], add_resources, ended)
    running = [need for _, need in tasks]
    offline = _longest_packable(deployment, count, [*running, need], needs_rng)
    limit = _longest_within_total(
        deployment, count, [*offline, need], needs_rng
    )
    return (
        _used_share(workers, running),
        _used_share(workers, offline),
        _used_share(workers, limit),
    )


def _rows(deployment, where, count, end_probability, series):
    def mean_shares(make_policy: Callable[[int], PlacementPolicy]):
        shares = [
            share_used_at_refusal(
                deployment,
                make_policy(seed),
                seed,
                end_probability=end_probability,
                count=count,
            )
            for seed in range(SEED_COUNT)
        ]
        return [statistics.mean(column) for column in zip(*shares, strict=True)]

    best, offline, limit = mean_shares(lambda seed: BestFitPolicy())
    first, *_ = mean_shares(lambda seed: FirstFitPolicy())
    random_policy, *_ = mean_shares(RandomPolicy)
    what = f"in use before the first refusal, {series}"
    figures = (
        (f"{what}, against first fit", best, first),
        (f"{what}, against random", best, random_policy),
        (f"{what}, packed offline, largest first", offline, None),
        (f"{what}, upper limit by volume", limit, None),
    )
    return [
        Row(name, "share", where, value, Better.HIGHER, baseline=baseline)
        for name, value, baseline in figures
    ]


def _workers_for_batch(deployment, count):
    reserve = deployment.lookup_reserve
    return [
        attrs.evolve(
            w,
            free=CapacityTracker(w.size, lookup_reserve=reserve).free_for_tasks,
        )
        for w in deployment_models.empty_workers(deployment, count=count)
    ]


def _with_free(worker, change, need):
    return attrs.evolve(worker, free=change(worker.free, need))


def _used_share(workers, running):
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


def _longest_packable(deployment, count, needs, rng) -> list[Resources]:
    """Returns the longest prefix of the series that can be packed."""
    packed = needs[:-1]
    while _can_pack(deployment, count, needs):
        packed = list(needs)
        needs = [*needs, deployment_models.draw_task(deployment, rng)[1]]
    return packed


def _longest_within_total(deployment, count, needs, rng) -> list[Resources]:
    """Returns the longest prefix whose sum fits the sum of the workers."""
    total = sum_resources(w.free for w in _workers_for_batch(deployment, count))
    prefix, used = [], Resources()
    remaining = iter(needs)
    while True:
        need = (
            next(remaining, None)
            or deployment_models.draw_task(deployment, rng)[1]
        )
        used = add_resources(used, need)
        if not fits(used, total):
            return prefix
        prefix.append(need)


def _can_pack(deployment, count, needs):
    workers = _workers_for_batch(deployment, count)
    indices = {w.name: i for i, w in enumerate(workers)}
    size = workers[0].size
    policy = BestFitPolicy()

    def sort_key(need):
        return (
            need.accelerators,
            need.cores / size.cores + need.memory_mb / size.memory_mb,
        )

    for need in sorted(needs, key=sort_key, reverse=True):
        outcome = policy.choose(need, workers, 0.0)
        if not is_successful(outcome):
            return False
        index = indices[outcome.unwrap().name]
        workers[index] = _with_free(workers[index], subtract_resources, need)
    return True
