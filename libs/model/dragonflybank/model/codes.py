"""Result codes.

Functions that can fail return a ``returns.result.Result`` whose failure is a
`Problem`. The first digit of a code gives its category: 0 success, 1xx invalid
input, 2xx refused and not run, 3xx outcome unknown, 4xx ran and failed, 5xx a
failure between processes.
"""

__all__ = ["Code", "Problem", "failure", "proves_not_run"]

import enum

import attrs
from returns.result import Failure


class Code(enum.IntEnum):
    """A numbered result code; docs/result-codes.md describes each one.

    Attributes:
        BREAK_CLOSED: Changes of the configuration are applied only during a
            break, a window that the operators configure.
        ANSWER_LOST: The work may have run, but its answer is missing.
        WRITE_UNSETTLED: A store write may or may not have taken effect.
        ASK_AGAIN: The host cannot tell now; the same request may be repeated.
        FAILED_ON_UNLIKE_WORKERS: The job failed on several workers in different
            racks, so the fault is in the job and not in a worker.
        NOT_OWNER: The host does not own the worker.
        NOT_HOME: The host is not the home of the shard, the only one that
            schedules the shard's jobs.
        FULL: The slots, free resources or queue that the call needs are used
            up.
    """

    OK = 0
    BAD_SETTINGS = 101
    BAD_COMMAND = 102
    BAD_REQUEST = 103
    BAD_CONFIGURATION = 104
    UNKNOWN_KEY = 105
    OVER_QUOTA = 201
    OVERLOADED = 202
    CAN_NEVER_RUN = 203
    STORE_UNAVAILABLE = 204
    DRAINING = 205
    NO_WORKER = 206
    BREAK_CLOSED = 207
    CHANGE_CONFLICT = 208
    KEY_REUSED = 209
    UNKNOWN_JOB = 210
    CANCELLED_BEFORE_START = 211
    ANSWER_LOST = 301
    WORKER_LOST = 302
    WRITE_UNSETTLED = 303
    ASK_AGAIN = 304
    TASK_FAILED = 401
    SIZE_EXCEEDED = 402
    FAILED_ON_UNLIKE_WORKERS = 403
    CANCELLED_AFTER_START = 404
    STALE_EPOCH = 501
    TIMED_OUT = 502
    UNREACHABLE = 503
    CAS_CONFLICT = 504
    NOT_OWNER = 505
    NOT_HOME = 506
    FULL = 507


@attrs.frozen
class Problem:
    """Why a request, job or call was refused or failed.

    Attributes:
        code: The numbered result code.
        detail: One sentence that a person can read.
        field: The field, column or key that is invalid, or an empty string.
        accepted: Values that are accepted, or an empty string.
        retry_after_s: Seconds to wait before a retry; 0 if a retry is useless.
    """

    code: Code
    detail: str = ""
    field: str = ""
    accepted: str = ""
    retry_after_s: float = 0.0


def failure(
    code: Code,
    detail: str = "",
    *,
    field: str = "",
    accepted: str = "",
    retry_after_s: float = 0.0,
) -> Failure:
    """Returns a ``Failure`` that carries a `Problem`.

    Example:
        >>> failure(Code.FULL, "no free slot").failure().code.name
        'FULL'
    """
    return Failure(Problem(code, detail, field, accepted, retry_after_s))


def proves_not_run(code: Code) -> bool:
    """Returns whether a code alone proves that the work did not run.

    Example:
        >>> proves_not_run(Code.OVERLOADED), proves_not_run(Code.ANSWER_LOST)
        (True, False)
    """
    return Code.BAD_SETTINGS <= code < Code.ANSWER_LOST
