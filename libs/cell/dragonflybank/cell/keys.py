"""Keys that the cell uses in the platform's store."""

__all__ = [
    "ENDED_PREFIX",
    "INPUT_FAULTS_KEY",
    "JOBS_PREFIX",
    "PROGRESS_PREFIX",
    "SUSPENSIONS_KEY",
    "SUSPENSION_TERMS_KEY",
    "cancel_key",
    "ended_key",
    "job_key",
    "parse_job_key",
    "progress_key",
]

JOBS_PREFIX = "jobs/"
PROGRESS_PREFIX = "progress/"
# Final states. A job with such a key has no other key.
ENDED_PREFIX = "ended/"
# Jobs whose handling raised exceptions; see `input_faults`.
INPUT_FAULTS_KEY = "input-faults"
# Suspended leases, and the terms in which all leaders kept to them; see
# `lease_suspensions`.
SUSPENSIONS_KEY = "lease-suspensions"
SUSPENSION_TERMS_KEY = "lease-suspension-terms"
_CANCEL_SUFFIX = "/cancel"


def job_key(job_id: str) -> str:
    """Returns the key of an accepted job that has not ended."""
    return JOBS_PREFIX + job_id


def cancel_key(job_id: str) -> str:
    """Returns the key that marks a job as cancelled."""
    return JOBS_PREFIX + job_id + _CANCEL_SUFFIX


def progress_key(job_id: str) -> str:
    """Returns the key of a job's progress record."""
    return PROGRESS_PREFIX + job_id


def ended_key(job_id: str) -> str:
    """Returns the key of an ended job's final state."""
    return ENDED_PREFIX + job_id


def parse_job_key(key: str) -> tuple[str, bool]:
    """Returns a job's identifier and whether the key marks it as cancelled.

    Args:
        key: A key with `JOBS_PREFIX`.

    Example:
        >>> parse_job_key(cancel_key("5c0e"))
        ('5c0e', True)
    """
    name = key.removeprefix(JOBS_PREFIX)
    job_id = name.removesuffix(_CANCEL_SUFFIX)
    return job_id, job_id != name
