"""Team quotas that are checked without a call to another host.

A team's lookup rate is divided among the hosts that serve lookups, and its
limit of running tasks among its job shards.
"""

__all__ = ["LookupQuota", "host_share", "shard_share"]

from collections.abc import Collection

from returns.result import Result, Success

from dragonflybank.model.codes import Code, Problem, failure

# Size of the token bucket: a host may admit one second of its share at once.
BURST_S = 1.0


class LookupQuota:
    """Token bucket for the lookups that one host may admit for one team.

    Args:
        host: Name of this host.
        lookups_per_s: The team's quota in the region, in lookups per second.
        hosts: Live hosts of the region that serve lookups.
        now: Current time, seconds since 1970.
    """

    def __init__(
        self,
        host: str,
        lookups_per_s: int,
        hosts: Collection[str],
        now: float,
    ):
        self._host = host
        self._share_per_s = host_share(lookups_per_s, host, hosts)
        self._tokens = self._share_per_s * BURST_S
        self._refilled_at = now

    @property
    def share_per_s(self) -> int:
        """This host's share in lookups per second."""
        return self._share_per_s

    def update(
        self, lookups_per_s: int, hosts: Collection[str], now: float
    ) -> None:
        """Applies a changed quota or membership; keeps the tokens."""
        self._refill(now)
        self._share_per_s = host_share(lookups_per_s, self._host, hosts)
        self._tokens = min(self._tokens, self._share_per_s * BURST_S)

    def admit(self, now: float) -> Result[None, Problem]:
        """Admits a lookup if there is a token for it.

        Args:
            now: Current time, seconds since 1970.

        Returns:
            ``OVER_QUOTA`` with a retry time if the share is used up.
        """
        self._refill(now)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return Success(None)
        wait_s = (
            (1.0 - self._tokens) / self._share_per_s
            if self._share_per_s
            else BURST_S
        )
        return failure(
            Code.OVER_QUOTA,
            f"the team may send {self._share_per_s} lookups per second "
            "to this host",
            retry_after_s=wait_s,
        )

    def _refill(self, now):
        # A clock that steps back adds no tokens.
        passed_s = max(0.0, now - self._refilled_at)
        full = self._share_per_s * BURST_S
        self._tokens = min(full, self._tokens + passed_s * self._share_per_s)
        self._refilled_at = max(self._refilled_at, now)


def host_share(quota: int, host: str, hosts: Collection[str]) -> int:
    """Returns a host's share of a quota; the first name gets the remainder.

    Args:
        quota: Quota of the team in the region.
        host: The host; it counts as live even if it is not in ``hosts``.
        hosts: Live hosts that serve lookups.

    Example:
        >>> [host_share(100, host, "abc") for host in "abc"]
        [34, 33, 33]
    """
    names = sorted({*hosts, host})
    share, remainder = divmod(quota, len(names))
    return share + (remainder if host == names[0] else 0)


def shard_share(max_running: int, shard: int, shards: Collection[int]) -> int:
    """Returns a shard's share of a team's limit of running tasks.

    Args:
        max_running: Maximum number of running tasks of the team.
        shard: Number of the shard.
        shards: Numbers of the team's shards. Two partitions of a team may map
            to one shard, so this may be fewer than the configured number.

    Returns:
        The share; 0 for a shard that is not the team's. The shares of all
        shards add up to ``max_running``.

    Example:
        >>> [shard_share(10, shard, [5, 2, 7]) for shard in (2, 5, 7)]
        [4, 3, 3]
    """
    numbers = sorted(set(shards))
    if shard not in numbers:
        return 0
    share, remainder = divmod(max_running, len(numbers))
    return share + (remainder if shard == numbers[0] else 0)
