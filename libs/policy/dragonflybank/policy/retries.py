"""Retry budget and back-off."""

__all__ = ["RetryBudget", "backoff_s"]

import random

# D13: retries may add 10% to the load.
RETRY_SHARE = 0.1
# Lets a host with little traffic retry at all.
RETRY_BURST = 10.0
BACK_OFF_BASE_S = 0.05
BACK_OFF_MAX_S = 2.0


class RetryBudget:
    """A token bucket that is filled by requests and emptied by retries.

    Over any run of requests the number of retries is at most the burst plus
    the share of the requests, so retries cannot multiply an overload.

    Args:
        share: Retries allowed for each request.
        burst: Size of the bucket, full at the start.
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST):
        self._share = share
        self._burst = burst
        self._tokens = burst

    def on_request(self) -> None:
        """Counts a first attempt of a request."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def allow_retry(self) -> bool:
        """Takes a token for a retry.

        Returns:
            False if the budget is spent; the retry must not be sent then.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff_s(
    attempt: int,
    rng: random.Random,
    *,
    base_s: float = BACK_OFF_BASE_S,
    max_s: float = BACK_OFF_MAX_S,
) -> float:
    """Returns the time to wait before an attempt, in seconds.

    The wait doubles with each attempt. It is drawn from the upper half of
    the doubled value, so that requests that failed together do not return
    together and none returns at once.

    Args:
        attempt: Number of failed attempts so far, from 1.
        rng: Seeded generator.
        base_s: Longest wait after the first failure, in seconds.
        max_s: Longest wait, in seconds.

    Example:
        >>> 1.0 <= backoff_s(20, random.Random(1)) <= 2.0
        True
    """
    # The exponent is bounded because 2.0 ** 1024 overflows.
    longest_s = min(max_s, base_s * 2.0 ** min(attempt - 1, 60))
    return longest_s * rng.uniform(0.5, 1.0)
