"""Resource vectors: cores, memory, accelerators, slots and connections."""

__all__ = [
    "Resources",
    "add_resources",
    "dominant_share",
    "fits",
    "scale_resources",
    "subtract_resources",
    "sum_resources",
]

import functools
from collections.abc import Iterable

import attrs


@attrs.frozen
class Resources:
    """Amounts of each resource of a worker, a grant or a request.

    Attributes:
        cores: CPU cores; may be a fraction.
        memory_mb: Memory in MiB.
        accelerators: Number of accelerators.
        slots: Execution slots of the worker's executor.
        connections: Connections of the worker's executor.
    """

    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: int = 0
    slots: int = 0
    connections: int = 0


_FIELD_NAMES = tuple(field.name for field in attrs.fields(Resources))


def fits(need: Resources, free: Resources) -> bool:
    """Returns whether the free amounts cover the need in every resource.

    Example:
        >>> fits(Resources(cores=2), Resources(cores=4))
        True
    """
    return all(getattr(need, n) <= getattr(free, n) for n in _FIELD_NAMES)


def add_resources(left: Resources, right: Resources) -> Resources:
    """Returns the sum of two resource vectors."""
    return Resources(
        *(getattr(left, n) + getattr(right, n) for n in _FIELD_NAMES)
    )


def subtract_resources(left: Resources, right: Resources) -> Resources:
    """Returns ``left`` minus ``right``; the amounts may be negative."""
    return Resources(
        *(getattr(left, n) - getattr(right, n) for n in _FIELD_NAMES)
    )


def scale_resources(amounts: Resources, factor: float) -> Resources:
    """Multiplies cores and memory by a factor; other amounts stay."""
    return attrs.evolve(
        amounts,
        cores=amounts.cores * factor,
        memory_mb=amounts.memory_mb * factor,
    )


def dominant_share(part: Resources, whole: Resources) -> float:
    """Returns the largest share that a part takes of any resource.

    The share is infinite if the part needs a resource that the whole lacks.

    Example:
        >>> whole = Resources(cores=8, memory_mb=100)
        >>> dominant_share(Resources(cores=2), whole)
        0.25
    """
    return max(
        _ratio(getattr(part, n), getattr(whole, n)) for n in _FIELD_NAMES
    )


def sum_resources(amounts: Iterable[Resources]) -> Resources:
    """Returns the sum of any number of resource vectors."""
    return functools.reduce(add_resources, amounts, Resources())


def _ratio(part: float, whole: float) -> float:
    if part <= 0:
        return 0.0
    return part / whole if whole > 0 else float("inf")
