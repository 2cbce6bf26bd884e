"""Which waiting jobs a scheduling round asks room for, and in which order."""

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

# A waiting job gains one step of priority in this time, so that work of low
# priority is not passed over for ever.
AGEING_S = 300.0


@attrs.frozen
class PlacementRequest:
    """Room that a job asks for in this round.

    Attributes:
        entry: Entry of the job.
        wc: Its class.
        count: Number of tasks.
        size: Size of each task.
    """

    entry: Entry
    wc: WorkClass
    count: int
    size: Resources


def waiting_jobs_in_order(
    entries: Iterable[Entry], ctx: HomeContext, now: float
) -> list[Entry]:
    """Returns the jobs with tasks to place, the most urgent first.

    The order is by priority with ageing, then value, then accepted time.
    """
    waiting = (
        entry
        for entry in entries
        if entry.record.not_before <= now
        and waiting_indexes(entry)
        and not must_stop(entry)
    )
    return sorted(waiting, key=lambda entry: _rank(entry, ctx, now))


def remaining_quotas(
    entries: Sequence[Entry], ctx: HomeContext
) -> dict[str, float]:
    """Returns how many more tasks each team may run in this shard."""
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
    room: MutableMapping[str, float],
    full: Iterable[Resources],
) -> PlacementRequest | None:
    """Returns what a job asks for, and takes it from its team's room.

    Args:
        entry: Entry of the job.
        ctx: The shard home.
        room: Tasks that each team may still start.
        full: Sizes for which there was no room in this round.

    Returns:
        None if the quota or the room does not allow a start.
    """
    team = entry.record.spec.team
    count = len(waiting_indexes(entry))
    if room[team] < count:
        if entry.gang or room[team] < 1:
            return None
        count = int(room[team])
    wc = ctx.work_class(entry)
    size = _size(entry, wc, ctx)
    if any(fits(refused, size) for refused in full):
        return None
    room[team] -= count
    return PlacementRequest(entry, wc, count, size)


def _rank(entry: Entry, ctx: HomeContext, now: float) -> tuple:
    wc = ctx.work_class(entry)
    aged = (now - entry.record.accepted_at) // AGEING_S
    return -(wc.priority + aged), -wc.value, entry.record.accepted_at


def _size(entry: Entry, wc: WorkClass, ctx: HomeContext) -> Resources:
    # A learned or doubled size stays within the largest worker, but is never
    # below the declared one.
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
