"""Exponential back-off after a refused or lost claim."""

__all__ = ["Backoff"]

import random

import attrs

MIN_WAIT_S = 1.0
MAX_WAIT_S = 30.0
# An ownership that lasted this long shows that the views agree again.
STABLE_OWNERSHIP_S = 30.0


@attrs.define
class Backoff:
    """Waits of one host for one worker or shard.

    Attributes:
        not_before: Earliest time of the next attempt, seconds since 1970.
        attempts: Failed attempts since the last stable ownership.
    """

    not_before: float = 0.0
    attempts: int = 0

    def on_failure(
        self, now: float, rng: random.Random, *, max_wait_s: float = MAX_WAIT_S
    ) -> None:
        """Doubles the wait; it is drawn from its upper half."""
        limit_s = min(max_wait_s, MIN_WAIT_S * 2 ** min(self.attempts, 10))
        self.attempts += 1
        wait_s = limit_s * rng.uniform(0.5, 1.0)
        self.not_before = now + max(MIN_WAIT_S, wait_s)

    def delay(self, now: float, seconds: float = MIN_WAIT_S) -> None:
        """Waits without counting a failed attempt."""
        self.not_before = now + seconds

    def on_owned(self, owned_s: float) -> None:
        """Forgets the failures once an ownership has been stable."""
        if owned_s >= STABLE_OWNERSHIP_S:
            self.attempts = 0
