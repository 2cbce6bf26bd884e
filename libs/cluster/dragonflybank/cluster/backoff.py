"""Exponential back-off after a refused or lost claim."""

__all__ = ["BackOff"]

import random

import attrs

FIRST_S = 1.0
LONGEST_S = 30.0
# An ownership that lasted this long shows that the views agree again.
STABLE_S = 30.0


@attrs.define
class BackOff:
    """Waits of one host for one worker or shard.

    Attributes:
        not_before: Earliest time of the next attempt, seconds since 1970.
        attempts: Failed attempts since the last stable ownership.
    """

    not_before: float = 0.0
    attempts: int = 0

    def fail(
        self, now: float, rng: random.Random, *, longest_s: float = LONGEST_S
    ) -> None:
        """Doubles the wait; it is drawn from its upper half."""
        limit_s = min(longest_s, FIRST_S * 2 ** min(self.attempts, 10))
        self.attempts += 1
        wait_s = limit_s * rng.uniform(0.5, 1.0)
        self.not_before = now + max(FIRST_S, wait_s)

    def wait(self, now: float, seconds: float = FIRST_S) -> None:
        """Waits without counting a failed attempt."""
        self.not_before = now + seconds

    def settle(self, owned_s: float) -> None:
        """Forgets the failures once an ownership has been stable."""
        if owned_s >= STABLE_S:
            self.attempts = 0
