"""Summary of the free capacity of a host's workers, sent with gossip."""

__all__ = ["summarise_capacity"]

from collections.abc import Iterable

import attrs

from dragonflybank.cluster.managed_worker import ManagedWorker
from dragonflybank.model.resources import Resources, sum_resources
from dragonflybank.model.topology import CapacitySummary


def summarise_capacity(
    workers: Iterable[ManagedWorker],
    now: float,
    *,
    host: str,
    region: str,
    queue_s: float = 0.0,
) -> CapacitySummary:
    """Returns the free capacity of those workers that take new work.

    Args:
        workers: Workers, owned or not.
        now: Current time.
        host: Name of this host.
        region: Its region.
        queue_s: Expected wait of a new lookup in seconds.
    """
    usable = [w for w in workers if w.refusal(now) is None]
    free = [w.free_for_tasks for w in usable]
    lookups = [w.free_for_lookups for w in usable]
    return CapacitySummary(
        host,
        region,
        now,
        sum(max(0, min(r.slots, r.connections)) for r in lookups),
        sum_resources(free),
        _largest(free),
        queue_s,
    )


def _largest(free: list[Resources]) -> Resources:
    if not free:
        return Resources()
    columns = zip(*(attrs.astuple(r) for r in free), strict=True)
    return Resources(*(max(column) for column in columns))
