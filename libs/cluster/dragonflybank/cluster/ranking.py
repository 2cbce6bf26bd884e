"""Which host should own a worker, in the membership view of one host."""

__all__ = ["first_host", "may_receive", "owner_candidates"]

import functools

from dragonflybank.cluster.membership import Membership
from dragonflybank.model.hashing import rank_members

# Hosts of other regions take workers over only after this silence, so that
# regions that lose each other do not take workers in turn.
REGION_TAKEOVER_DELAY_S = 60.0


def owner_candidates(
    membership: Membership, region: str, now: float
) -> tuple[str, ...]:
    """Returns the hosts that may own the workers of a region.

    They are the live hosts of the region; or all live hosts if the region has
    been without one for 60 s; or none.
    """
    near = membership.live_hosts(region, now)
    if near:
        return near
    if membership.region_silent_s(region, now) < REGION_TAKEOVER_DELAY_S:
        return ()
    return membership.live_hosts(None, now)


# Asked for each worker twice a second; the answer changes with the view only.
@functools.lru_cache(maxsize=1 << 14)
def first_host(worker: str, hosts: tuple[str, ...]) -> str | None:
    """Returns the host that ranks first for a worker, None without hosts."""
    return rank_members(worker, hosts)[0] if hosts else None


def may_receive(worker: str, asker: str, hosts: tuple[str, ...]) -> bool:
    """Returns whether an asking host ranks first, itself counted as live.

    The owner's own view decides, so that two askers with different views do
    not get the worker in turn.
    """
    present = tuple(sorted({*hosts, asker}))
    return first_host(worker, present) == asker
