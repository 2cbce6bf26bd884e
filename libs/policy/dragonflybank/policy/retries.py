"""Retry budget and exponential backoff."""

__all__ = ["RetryBudget", "backoff_s"]

import random

# Retries may add at most 10% to the load.
RETRY_SHARE = 0.1
# Lets a host with little traffic retry.
RETRY_BURST = 10.0
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 2.0


class RetryBudget:
    """Token bucket that requests fill and retries empty.

    Over any sequence of requests there are at most ``burst`` plus ``share``
    times the requests retries, so retries cannot amplify an overload.

    Args:
        share: Retries allowed per request.
        burst: Capacity of the bucket, which is full at the start.
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST):
        self._share = share
        self._burst = burst
        self._tokens = burst

    def on_request(self) -> None:
        """Adds the tokens for the first attempt of a request."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def allow_retry(self) -> bool:
        """Takes a token for a retry if there is one.

        Returns:
            Whether the retry may be sent.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff_s(
    attempt: int,
    rng: random.Random,
    *,
    base_s: float = BACKOFF_BASE_S,
    max_s: float = BACKOFF_MAX_S,
) -> float:
    """Returns the delay before the next attempt, in seconds.

    The maximum delay doubles with each attempt. The delay is drawn from the
    upper half of its range, so that requests that failed together do not
    retry together and none retries immediately.

    Args:
        attempt: Number of failed attempts so far, at least 1.
        rng: Seeded generator.
        base_s: Maximum delay after the first failure, in seconds.
        max_s: Maximum delay, in seconds.

    Example:
        >>> 1.0 <= backoff_s(20, random.Random(1)) <= 2.0
        True
    """
    # The exponent is limited because 2.0 ** 1024 overflows.
    longest_s = min(max_s, base_s * 2.0 ** min(attempt - 1, 60))
    return longest_s * rng.uniform(0.5, 1.0)
