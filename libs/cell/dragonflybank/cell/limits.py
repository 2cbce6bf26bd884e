"""Times and bounds that a cell takes from its platform."""

__all__ = ["CellLimits"]

import attrs


@attrs.frozen
class CellLimits:
    """Bounds of the platform that decisions depend on.

    Attributes:
        lease_s: Length of the leases that executors are given, in seconds.
        longest_lease_s: Longest lease that executors grant, in seconds.
        stop_grace_s: Longest time that stopping an attempt takes, in seconds.
        early_s: Time by which an occurrence may begin before it is due.
        status_s: Time for which the state of an ended job is kept.
        heartbeat_s: Time between two heartbeats of an executor, in seconds.
    """

    lease_s: float = 6.0
    longest_lease_s: float = 10.0
    stop_grace_s: float = 0.4
    early_s: float = 0.25
    status_s: float = 120.0
    heartbeat_s: float = 1.5
