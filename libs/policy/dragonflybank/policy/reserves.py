"""Slots of an executor that are kept for a class of lookups (D12)."""

__all__ = ["Reserve", "room_for"]

from collections.abc import Iterable, Mapping

import attrs

from dragonflybank.model.resources import Resources


@attrs.frozen
class Reserve:
    """Slots of each executor that are kept for one class.

    Attributes:
        work_class: Name of the class.
        slots: Number of tasks of the class that always find room.
        size: Size of one task.
    """

    work_class: str
    slots: int
    size: Resources = Resources(slots=1, connections=1)


def room_for(
    work_class: str,
    free: Resources,
    running: Mapping[str, int],
    reserves: Iterable[Reserve],
) -> Resources:
    """Returns the free room of an executor that a class may take.

    The part of each other class's reserve that is not in use is held back.

    Args:
        work_class: Class of the work to be placed.
        free: Free room of the executor.
        running: Number of running tasks of each class that has a reserve.
        reserves: Reserves of the executor.

    Example:
        >>> two = [Reserve("die_lookup", 2)]
        >>> free = Resources(slots=8, connections=64)
        >>> room_for("simulation", free, {}, two).slots
        6
        >>> room_for("simulation", free, {"die_lookup": 1}, two).slots
        7
        >>> room_for("die_lookup", free, {}, two).slots
        8
    """
    for reserve in reserves:
        held = max(0, reserve.slots - running.get(reserve.work_class, 0))
        if held and reserve.work_class != work_class:
            free = _without(free, reserve.size, held)
    return free


def _without(free, size, count):
    return Resources(
        max(0.0, free.cores - count * size.cores),
        max(0.0, free.memory_mb - count * size.memory_mb),
        max(0, free.accelerators - count * size.accelerators),
        max(0, free.slots - count * size.slots),
        max(0, free.connections - count * size.connections),
    )
