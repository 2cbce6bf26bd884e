"""Candidate workers for a task: eligibility and fit."""

__all__ = [
    "Candidate",
    "can_place",
    "check_feasible",
    "leftover_score",
    "rejection_reason",
]

from collections.abc import Collection, Iterable

import attrs
from returns.result import Result, Success

from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.resources import Resources, fits

# Free accelerators outweigh all other resources together, so that work that
# needs none doesn't take the cores of the machines that have them.
ACCELERATOR_WEIGHT = 4.0
# Slots and connections are small integers. With weight 1 they would dominate
# the fit in cores and memory, which run out first.
SLOT_WEIGHT = 0.1


@attrs.frozen
class Candidate:
    """A worker that may be chosen for a task.

    Attributes:
        name: Unique name of the worker.
        size: Total resources of the worker.
        free: Resources that are free for the work to be placed.
        rack: Rack.
        long_running: Number of long tasks and stragglers that it runs.
        leaving: Whether the worker is leaving.
        quarantined: Whether the worker is in quarantine.
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


def check_feasible(
    need: Resources, sizes: Iterable[Resources]
) -> Result[None, Problem]:
    """Checks that an empty worker of the deployment could hold a task.

    Args:
        need: Resources of the task.
        sizes: Sizes of the workers of the whole deployment, not of one host.

    Returns:
        ``CAN_NEVER_RUN`` if no worker is large enough.
    """
    if any(fits(need, size) for size in sizes):
        return Success(None)
    return failure(
        Code.CAN_NEVER_RUN,
        "no worker of the deployment is large enough",
        field="size",
    )


def can_place(need: Resources, candidate: Candidate) -> bool:
    """Returns whether a candidate is eligible and has enough free resources."""
    # Placement decisions spend most of their time here. The comparisons are
    # written out because `fits` takes several times as long.
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


def leftover_score(need: Resources, free: Resources, size: Resources) -> float:
    """Returns the weighted sum of the free shares that placing a task leaves.

    The share of each resource is relative to the worker's size. Accelerators
    are weighted by `ACCELERATOR_WEIGHT`, slots and connections by
    `SLOT_WEIGHT`.

    Example:
        >>> leftover_score(Resources(1), Resources(2, 50), Resources(4, 100))
        0.75
    """
    leftover = 0.0
    if size.cores:
        leftover += (free.cores - need.cores) / size.cores
    if size.memory_mb:
        leftover += (free.memory_mb - need.memory_mb) / size.memory_mb
    if size.accelerators:
        spare = (free.accelerators - need.accelerators) / size.accelerators
        leftover += ACCELERATOR_WEIGHT * spare
    if size.slots:
        leftover += SLOT_WEIGHT * (free.slots - need.slots) / size.slots
    if size.connections:
        spare = (free.connections - need.connections) / size.connections
        leftover += SLOT_WEIGHT * spare
    return leftover


def rejection_reason(
    need: Resources, candidate: Candidate, avoid: Collection[str] = ()
) -> str:
    """Returns why a candidate cannot be chosen; empty if it can be."""
    if candidate.leaving:
        return "leaving"
    if candidate.quarantined:
        return "quarantined"
    if candidate.name in avoid:
        return "excluded"
    lacking = [
        field.name
        for field in attrs.fields(Resources)
        if getattr(need, field.name) > getattr(candidate.free, field.name)
    ]
    return f"not enough free {', '.join(lacking)}" if lacking else ""
