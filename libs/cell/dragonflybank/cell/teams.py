"""Teams of callers: their API keys, shares and resource caps.

A key is kept only as its SHA-256 digest, so that neither a log line nor a dump
of the configuration in memory reveals it.
"""

__all__ = ["ResourceCap", "Team", "find_team", "key_digest"]

import hashlib
import hmac
from collections.abc import Mapping

import attrs


@attrs.frozen
class ResourceCap:
    """What a team may have running on all executors; 0 stands for no limit.

    Attributes:
        millicores: CPU cores, in thousandths of a core.
        memory_mb: Memory in MiB.
        accelerators: Number of accelerators.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@attrs.frozen
class Team:
    """A group of callers that shares the cell with others.

    Attributes:
        name: Name of the team.
        key_digests: Digests of its API keys, see `key_digest`.
        weight: Its share of a full cell in proportion to the weights of the
            others, and the number of jobs per second that it is entitled to.
        cap: What it may have running.
    """

    name: str
    key_digests: tuple[bytes, ...]
    weight: float = 1.0
    cap: ResourceCap = ResourceCap()


def key_digest(key: str) -> bytes:
    """Returns the digest under which an API key is kept.

    Example:
        >>> key_digest("secret").hex()[:8]
        '2bb80d53'
    """
    return hashlib.sha256(key.encode()).digest()


def find_team(teams: Mapping[str, Team], key: str) -> Team | None:
    """Returns the team that an API key belongs to, None for an unknown key.

    Every digest is compared, each in constant time, so that the time taken
    tells nothing about the keys.

    Args:
        teams: Teams by name.
        key: Key that a caller sent.

    Example:
        >>> teams = {"forecast": Team("forecast", (key_digest("secret"),))}
        >>> find_team(teams, "secret").name
        'forecast'
        >>> find_team(teams, "other") is None
        True
    """
    digest = key_digest(key)
    found = [
        team
        for team in teams.values()
        for known in team.key_digests
        if hmac.compare_digest(known, digest)
    ]
    return found[0] if found else None
