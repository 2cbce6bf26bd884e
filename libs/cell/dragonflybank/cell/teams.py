"""Teams of callers: their API keys, shares and resource caps.

A key is kept only as its SHA-256 digest, so that neither a log line nor a dump
of the configuration in memory reveals it.
"""

__all__ = ["ResourceCap", "Team", "TeamDirectory", "key_digest"]

import hashlib
import hmac
from collections.abc import Iterable

import attrs

_NO_DIGEST = bytes(hashlib.sha256().digest_size)


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


class TeamDirectory:
    """Finds teams by their API keys; built once for each configuration.

    Args:
        teams: The teams. No key belongs to two of them.

    Example:
        >>> teams = TeamDirectory([Team("forecast", (key_digest("secret"),))])
        >>> teams.find("secret").name
        'forecast'
        >>> teams.find("other") is None
        True
    """

    def __init__(self, teams: Iterable[Team]):
        self._by_digest = {
            digest: (digest, team)
            for team in teams
            for digest in team.key_digests
        }

    def find(self, key: str) -> Team | None:
        """Returns the team that a key belongs to, None for an unknown key.

        The digest that the index gives is compared in constant time, also for
        an unknown key. The time of the index look-up depends on the digest
        alone, from which no key can be derived.

        Args:
            key: Key that a caller sent.
        """
        digest = key_digest(key)
        known, team = self._by_digest.get(digest, (_NO_DIGEST, None))
        return team if hmac.compare_digest(known, digest) else None


def key_digest(key: str) -> bytes:
    """Returns the digest under which an API key is kept.

    Args:
        key: The key; bytes of a header that are not UTF-8 are given as
            surrogate escapes.

    Example:
        >>> key_digest("secret").hex()[:8]
        '2bb80d53'
    """
    return hashlib.sha256(key.encode(errors="surrogateescape")).digest()
