"""How long submissions wait for the store, and when callers should retry.

A submission that arrives while the store does not answer waits, so that it is
accepted right after a short outage. It is refused early enough that the caller
has time for a retry, which may reach a host that can access the store.
"""

__all__ = ["max_store_wait_s", "retry_after_s"]

import zlib

from dragonflybank.cell.jobs import Job, critical_path_s
from dragonflybank.cell.step_order import HARD_DEADLINE_FACTOR, job_objective_s

# Retries of callers that are refused together are spread over this time.
RETRY_SPREAD_S = 2
RETRY_AFTER_S = 1.0
# Share of the caller's timeout that a submission may wait; more than half would
# leave no time for a retry.
WAIT_SHARE = 0.45


def max_store_wait_s(job: Job, caller_timeout_s: float) -> float:
    """Returns how long a submission may wait for the store.

    Args:
        job: The job.
        caller_timeout_s: Time until its caller needs an answer, in seconds.

    Returns:
        A share of the timeout in seconds, or less if the job would otherwise
        end after its hard deadline; 0 if it would do so even without a wait.
    """
    max_wait_s = WAIT_SHARE * caller_timeout_s
    if job.is_recurring:
        return max_wait_s
    run_s = critical_path_s(job.steps)
    objective_s = job_objective_s(job.queue, job.steps)
    max_useful_wait_s = HARD_DEADLINE_FACTOR * objective_s - run_s
    return max(0.0, min(max_wait_s, max_useful_wait_s))


def retry_after_s(job_id: str) -> float:
    """Returns after how many seconds a refused caller should retry.

    Example:
        >>> {retry_after_s(f"{n:016x}") for n in range(20)} == {1.0, 2.0}
        True
    """
    return RETRY_AFTER_S + zlib.crc32(job_id.encode()) % RETRY_SPREAD_S
