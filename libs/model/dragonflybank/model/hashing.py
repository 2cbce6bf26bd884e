"""Rendezvous hashing, shard numbers and digests.

Rendezvous hashing follows Thaler and Ravishankar, "Using name-based mappings
to increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

__all__ = ["digest", "rank_members", "shard_of_job", "shards_of_team"]

import functools
import hashlib
from collections.abc import Iterable


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Returns the members in order of preference for a key.

    Removing a member moves only the keys that it was first for.

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
    """Returns the number of the shard that keeps a job, from 0.

    Args:
        team: Team of the job.
        key: The caller's key of the job.
        shard_count: Number of shards of the team's region.
        team_shards: Number of shards over which the team is spread.
    """
    return _shard_of_part(team, _hash64(key) % team_shards, shard_count)


def shards_of_team(
    team: str, shard_count: int, *, team_shards: int = 1
) -> tuple[int, ...]:
    """Returns the numbers of the shards that hold a team's jobs, in order.

    Two parts of a team may fall on one shard, so there may be fewer shards
    than ``team_shards``. Each home needs them for its part of the quota.

    Args:
        team: The team.
        shard_count: Number of shards of the team's region.
        team_shards: Number of shards over which the team is spread.
    """
    parts = range(team_shards)
    return tuple(
        sorted({_shard_of_part(team, part, shard_count) for part in parts})
    )


def digest(body: bytes) -> str:
    """Returns the SHA-256 of a body in hexadecimal."""
    return hashlib.sha256(body).hexdigest()


def _shard_of_part(team: str, part: int, shard_count: int) -> int:
    return _hash64(f"{team}\0{part}") % shard_count


def _hash64(text: str) -> int:
    raw = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(raw, "big")


# The weights are asked for again on each gossip round; 1,600 workers by 100
# hosts fit in the cache.
@functools.lru_cache(maxsize=1 << 17)
def _weight(key: str, member: str) -> int:
    return _hash64(f"{key}\0{member}")
