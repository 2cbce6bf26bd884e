"""Durations and limits that the platform sets for a cell."""

__all__ = ["DEFAULT_QUOTA_OVERAGE", "CellLimits"]

import attrs

DEFAULT_QUOTA_OVERAGE = 0.1


@attrs.frozen
class CellLimits:
    """Limits of the platform that scheduling decisions depend on.

    Attributes:
        lease_s: Length of the leases that executors are given, in seconds.
        max_lease_s: Longest lease that executors grant, in seconds.
        max_call_delay_s: Longest time after which an executor carries out a
            call that it didn't answer, in seconds.
        stop_grace_s: Longest time that stopping an attempt takes, in seconds.
        max_early_start_s: How long before its due time an occurrence may
            start, in seconds.
        status_retention_s: Time for which the state of an ended job is kept,
            in seconds.
        heartbeat_interval_s: Time between two heartbeats of an executor, in
            seconds.
        quota_overage: By how much a team's usage may exceed its cap, as a
            fraction of the cap.
    """

    lease_s: float = 6.0
    max_lease_s: float = 10.0
    max_call_delay_s: float = 12.0
    stop_grace_s: float = 0.4
    max_early_start_s: float = 0.25
    status_retention_s: float = 120.0
    heartbeat_interval_s: float = 1.5
    quota_overage: float = DEFAULT_QUOTA_OVERAGE
