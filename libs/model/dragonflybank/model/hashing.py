"""Rendezvous hashing, shard numbers and digests.

Rendezvous hashing assigns workers to their owners and shards to their homes, so
that all hosts with the same view of the members choose the same host. It
follows Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

__all__ = ["digest", "rank_members", "shard_of_job", "shards_of_team"]

import functools
import hashlib
from collections.abc import Iterable


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Returns the members in the order of preference for a key.

    If a member is removed, only the keys that ranked it first move.

    Example:
        >>> rank_members("worker-1", ["a", "b", "c"])[0] in "abc"
        True
    """
    return sorted(
        members, key=lambda member: (_weight(key, member), member), reverse=True
    )


def shard_of_job(
    team: str, key: str, shard_count: int, *, team_shards: int = 1
) -> int:
    """Returns the number of the shard that stores a job, from 0.

    Args:
        team: Team of the job.
        key: The key that the caller gave the job.
        shard_count: Number of shards in the team's region.
        team_shards: Number of shards that the team's jobs are spread over.
    """
    return _shard_of_part(team, _hash64(key) % team_shards, shard_count)


def shards_of_team(
    team: str, shard_count: int, *, team_shards: int = 1
) -> tuple[int, ...]:
    """Returns the numbers of the shards that hold a team's jobs, in order.

    Two parts of a team may hash to the same shard, so there may be fewer
    shards than ``team_shards``. The home of each shard needs the numbers to
    compute its part of the team's quota.

    Args:
        team: The team.
        shard_count: Number of shards in the team's region.
        team_shards: Number of shards that the team's jobs are spread over.
    """
    parts = range(team_shards)
    return tuple(
        sorted({_shard_of_part(team, part, shard_count) for part in parts})
    )


def digest(body: bytes) -> str:
    """Returns the SHA-256 digest of a body in hexadecimal."""
    return hashlib.sha256(body).hexdigest()


def _shard_of_part(team: str, part: int, shard_count: int) -> int:
    return _hash64(f"{team}\0{part}") % shard_count


def _hash64(text: str) -> int:
    raw = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(raw, "big")


# Each gossip round needs the same weights again. The cache holds those of
# 1,600 workers and 100 hosts.
@functools.lru_cache(maxsize=1 << 17)
def _weight(key: str, member: str) -> int:
    return _hash64(f"{key}\0{member}")
