"""Times and bounds that a cell takes from its platform."""

__all__ = ["CellLimits"]

import attrs


@attrs.frozen
class CellLimits:
    """Bounds of the platform that decisions depend on.

    Attributes:
        lease_s: Length of the leases that executors are given, in seconds.
        stop_grace_s: Longest time that stopping an attempt takes, in seconds.
        early_s: Time by which an occurrence may begin before it is due.
        status_s: Time for which the state of an ended job is kept.
        remote_factor: Factor on run times away from the data or on several
            racks.
        grace_s: Time between SIGTERM and SIGKILL, in seconds.
        checkpoint_s: Work between two checkpoints, in seconds.
    """

    lease_s: float = 6.0
    stop_grace_s: float = 0.4
    early_s: float = 0.25
    status_s: float = 120.0
    remote_factor: float = 3.0
    grace_s: float = 6.0
    checkpoint_s: float = 0.5
