"""Exponential backoff after a refused or lost claim."""

__all__ = ["Backoff"]

import random

import attrs

MIN_WAIT_S = 1.0
MAX_WAIT_S = 30.0
# Ownership that lasted this long shows that the hosts agree on the owner again,
# so the backoff starts from the beginning.
STABLE_OWNERSHIP_S = 30.0


@attrs.define
class Backoff:
    """Backoff of one host before it claims one worker or shard again.

    Attributes:
        not_before: Earliest time of the next attempt, seconds since 1970.
        attempts: Failed attempts since the last stable ownership.
    """

    not_before: float = 0.0
    attempts: int = 0

    def on_failure(
        self, now: float, rng: random.Random, *, max_wait_s: float = MAX_WAIT_S
    ) -> None:
        """Doubles the wait and draws it from the upper half of its range."""
        limit_s = min(max_wait_s, MIN_WAIT_S * 2 ** min(self.attempts, 10))
        self.attempts += 1
        wait_s = limit_s * rng.uniform(0.5, 1.0)
        self.not_before = now + max(MIN_WAIT_S, wait_s)

    def delay(self, now: float, seconds: float = MIN_WAIT_S) -> None:
        """Delays the next attempt without counting a failed one."""
        self.not_before = now + seconds

    def on_owned(self, owned_s: float) -> None:
        """Resets the failed attempts once the ownership has been stable.

        Args:
            owned_s: Seconds since this host became the owner.
        """
        if owned_s >= STABLE_OWNERSHIP_S:
            self.attempts = 0
