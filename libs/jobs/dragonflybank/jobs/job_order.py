"""Order of the waiting jobs and their placement requests in a round."""

__all__ = [
    "PlacementRequest",
    "placement_request",
    "remaining_quotas",
    "waiting_jobs_in_order",
]

import collections
from collections.abc import Iterable, MutableMapping, Sequence

import attrs

from dragonflybank.jobs.context import HomeContext
from dragonflybank.jobs.entries import (
    Entry,
    live_starts,
    must_stop,
    waiting_indexes,
)
from dragonflybank.model.resources import Resources, fits, scale_resources
from dragonflybank.model.work import WorkClass

# Priority aging: a waiting job gains one step of priority in this time, so that
# jobs of low priority don't starve.
AGING_STEP_S = 300.0


@attrs.frozen
class PlacementRequest:
    """Reservations that a job needs in this round.

    Attributes:
        entry: Entry of the job.
        wc: Work class of the job.
        count: Number of tasks to place.
        size: Resources of each task.
    """

    entry: Entry
    wc: WorkClass
    count: int
    size: Resources


def waiting_jobs_in_order(
    entries: Iterable[Entry], ctx: HomeContext, now: float
) -> list[Entry]:
    """Returns the jobs with tasks to place, the most urgent first.

    The order is by priority with aging, then by value, then by the time of
    acceptance.
    """
    waiting = (
        entry
        for entry in entries
        if entry.record.not_before <= now
        and waiting_indexes(entry)
        and not must_stop(entry)
    )
    return sorted(waiting, key=lambda entry: _job_rank(entry, ctx, now))


def remaining_quotas(
    entries: Sequence[Entry], ctx: HomeContext
) -> dict[str, float]:
    """Returns how many more tasks each team may start in this shard."""
    running = collections.Counter()
    for entry in entries:
        running[entry.record.spec.team] += len(live_starts(entry))
    limits = {team: ctx.rules.max_running(team) for team in running}
    return {
        team: float("inf") if limit is None else limit - running[team]
        for team, limit in limits.items()
    }


def placement_request(
    entry: Entry,
    ctx: HomeContext,
    remaining: MutableMapping[str, float],
    exhausted_sizes: Iterable[Resources],
) -> PlacementRequest | None:
    """Returns the placement request of a job and charges it to the quota.

    Args:
        entry: Entry of the job.
        ctx: Context of the shard home.
        remaining: Number of tasks that each team may still start; reduced by
            the tasks of the request.
        exhausted_sizes: Sizes that did not fit on any worker in this round.

    Returns:
        The request; None if the quota or the free resources allow no start.
    """
    team = entry.record.spec.team
    count = len(waiting_indexes(entry))
    if remaining[team] < count:
        if entry.gang or remaining[team] < 1:
            return None
        count = int(remaining[team])
    wc = ctx.work_class(entry)
    size = _reservation_size(entry, wc, ctx)
    if any(fits(refused, size) for refused in exhausted_sizes):
        return None
    remaining[team] -= count
    return PlacementRequest(entry, wc, count, size)


def _job_rank(entry: Entry, ctx: HomeContext, now: float) -> tuple:
    wc = ctx.work_class(entry)
    aging_steps = (now - entry.record.accepted_at) // AGING_STEP_S
    return -(wc.priority + aging_steps), -wc.value, entry.record.accepted_at


def _reservation_size(
    entry: Entry, wc: WorkClass, ctx: HomeContext
) -> Resources:
    # An estimated or doubled size is limited to the largest worker, but never
    # below the declared size.
    declared = entry.record.spec.size
    size = scale_resources(
        ctx.rules.grant_size(entry.record.spec, wc), entry.record.grant_factor
    )
    largest = ctx.rules.largest_worker() or size
    return attrs.evolve(
        size,
        cores=max(declared.cores, min(size.cores, largest.cores)),
        memory_mb=max(
            declared.memory_mb, min(size.memory_mb, largest.memory_mb)
        ),
    )
