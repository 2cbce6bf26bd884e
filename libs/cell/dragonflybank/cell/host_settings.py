"""Settings of a host of a cell."""

__all__ = ["HostSettings"]

import attrs

from dragonflybank.cell.leader_fitness import HostCapacity
from dragonflybank.cell.limits import CellLimits


@attrs.frozen
class HostSettings:
    """Settings of a host of a cell.

    Attributes:
        name: Name of the host.
        cores: CPU cores that it may use.
        limits: Limits of the platform.
        capacity: What it may use as the leader.
    """

    name: str
    cores: float = 1.0
    limits: CellLimits = CellLimits()
    capacity: HostCapacity = HostCapacity()
