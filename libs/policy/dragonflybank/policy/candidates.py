"""Workers that may be chosen, and whether and how well a task fits."""

__all__ = [
    "Candidate",
    "can_ever_hold",
    "has_room",
    "left_over",
    "obstacle",
]

from collections.abc import Collection, Iterable

import attrs
from returns.result import Result, Success

from dragonflybank.model.codes import Code, Problem, problem
from dragonflybank.model.resources import Resources, fits

# Free accelerators outweigh the other resources together, so that work that
# needs none does not take the processors next to them.
ACCELERATOR_WEIGHT = 4.0
# Slots and connections come in small counts. With weight 1 they hide the
# fit in processors and memory, which fill up first.
EXECUTOR_WEIGHT = 0.1


@attrs.frozen
class Candidate:
    """A worker that may be chosen.

    Attributes:
        name: Unique name of the worker.
        size: What it can hold.
        free: What is free of its size for the work to be placed.
        rack: Rack.
        long_running: Number of long tasks and stragglers that it runs.
        leaving: Whether it is leaving.
        quarantined: Whether it is in quarantine.
        failure_domain: Failure domain.
    """

    name: str
    size: Resources
    free: Resources
    rack: str = ""
    long_running: int = 0
    leaving: bool = False
    quarantined: bool = False
    failure_domain: str = ""


def can_ever_hold(
    need: Resources, sizes: Iterable[Resources]
) -> Result[None, Problem]:
    """Checks that some worker of the cell could hold a task when empty.

    Args:
        need: Resources of the task.
        sizes: Sizes of the workers of the whole cell, not of one host.

    Returns:
        ``CAN_NEVER_RUN`` if no worker is large enough.
    """
    if any(fits(need, size) for size in sizes):
        return Success(None)
    return problem(
        Code.CAN_NEVER_RUN,
        "no worker of the cell is large enough",
        field="size",
    )


def has_room(need: Resources, candidate: Candidate) -> bool:
    """Returns whether a candidate may be given a task."""
    # Decisions spend most of their time here; the comparisons are written
    # out because `fits` takes several times as long.
    free = candidate.free
    return (
        need.cores <= free.cores
        and need.memory_mb <= free.memory_mb
        and need.slots <= free.slots
        and need.connections <= free.connections
        and need.accelerators <= free.accelerators
        and not candidate.leaving
        and not candidate.quarantined
    )


def left_over(need: Resources, free: Resources, size: Resources) -> float:
    """Returns the free shares that remain, summed over the resources.

    Accelerators are weighted by `ACCELERATOR_WEIGHT`, slots and connections
    by `EXECUTOR_WEIGHT`.

    Example:
        >>> left_over(Resources(1), Resources(2, 50), Resources(4, 100))
        0.75
    """
    rest = 0.0
    if size.cores:
        rest += (free.cores - need.cores) / size.cores
    if size.memory_mb:
        rest += (free.memory_mb - need.memory_mb) / size.memory_mb
    if size.accelerators:
        spare = (free.accelerators - need.accelerators) / size.accelerators
        rest += ACCELERATOR_WEIGHT * spare
    if size.slots:
        rest += EXECUTOR_WEIGHT * (free.slots - need.slots) / size.slots
    if size.connections:
        spare = (free.connections - need.connections) / size.connections
        rest += EXECUTOR_WEIGHT * spare
    return rest


def obstacle(
    need: Resources, candidate: Candidate, avoid: Collection[str] = ()
) -> str:
    """Returns why a candidate cannot be chosen, empty if it can."""
    if candidate.leaving:
        return "leaving"
    if candidate.quarantined:
        return "quarantined"
    if candidate.name in avoid:
        return "to be avoided"
    short = [
        field.name
        for field in attrs.fields(Resources)
        if getattr(need, field.name) > getattr(candidate.free, field.name)
    ]
    return f"no room: {', '.join(short)}" if short else ""
