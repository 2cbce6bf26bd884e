"""Choice of the host that should own a worker, as one host sees it."""

__all__ = ["first_host", "may_receive", "owner_candidates"]

import functools

from dragonflybank.cluster.membership import Membership
from dragonflybank.model.hashing import rank_members

# Hosts of other regions take workers over only if the workers' region has had
# no live host for this time. Otherwise regions that can't reach each other
# would claim the workers in turn.
REGION_TAKEOVER_DELAY_S = 60.0


def owner_candidates(
    membership: Membership, region: str, now: float
) -> tuple[str, ...]:
    """Returns the hosts that may own the workers of a region.

    They are the live hosts of the region. Without any, they are all live hosts
    if the region has had no live host for 60 s, and none before that.
    """
    local_hosts = membership.live_hosts(region, now)
    if local_hosts:
        return local_hosts
    if membership.region_silent_s(region, now) < REGION_TAKEOVER_DELAY_S:
        return ()
    return membership.live_hosts(None, now)


# Called for each worker twice a second, while the hosts rarely change.
@functools.lru_cache(maxsize=1 << 14)
def first_host(worker: str, hosts: tuple[str, ...]) -> str | None:
    """Returns the host that ranks first for a worker, None without hosts."""
    return rank_members(worker, hosts)[0] if hosts else None


def may_receive(worker: str, requester: str, hosts: tuple[str, ...]) -> bool:
    """Returns whether a host that asks for a worker ranks first for it.

    The asking host counts as live. The owner decides by its own membership
    table, so that two hosts with different tables don't get the worker in turn.
    """
    present = tuple(sorted({*hosts, requester}))
    return first_host(worker, present) == requester
