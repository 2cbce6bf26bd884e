"""How long a submission waits for the store, and when callers come back.

A submission that arrives while the store does not answer waits a while, so
that it is accepted right after a short outage. It is refused while its caller
still has time for another try, which may reach a host that the store serves.
"""

__all__ = ["max_store_wait_s", "retry_after_s"]

import zlib

from dragonflybank.cell.jobs import Job, critical_path_s
from dragonflybank.cell.step_order import LATE_FACTOR, queue_objective_s

# Callers that are refused together come back in this many different seconds.
RETRY_SPREAD_S = 2
RETRY_AFTER_S = 1.0
# Share of the time that a caller has which a submission may wait; more than a
# half would leave no time for another try.
WAIT_SHARE = 0.45


def max_store_wait_s(job: Job, limit_s: float) -> float:
    """Returns how long a submission may wait for the store.

    Args:
        job: The job.
        limit_s: Time until its caller needs an answer, in seconds.

    Returns:
        A share of the limit, or less if the job would be worthless when it is
        accepted then; 0 if it is already.
    """
    longest_s = WAIT_SHARE * limit_s
    if job.is_recurring:
        return longest_s
    chain_s = critical_path_s(job.steps)
    worthless_s = LATE_FACTOR * queue_objective_s(job) - chain_s
    return max(0.0, min(longest_s, worthless_s))


def retry_after_s(job_id: str) -> float:
    """Returns when a refused caller should come back, in seconds.

    Example:
        >>> {retry_after_s(f"{n:016x}") for n in range(20)} == {1.0, 2.0}
        True
    """
    return RETRY_AFTER_S + zlib.crc32(job_id.encode()) % RETRY_SPREAD_S
