"""Limits on the size of a shard's value in the store.

The store holds values up to 1 MB. New work is refused well below that, because
work that is accepted still grows by its starts and results.
"""

__all__ = [
    "ACCEPT_LIMIT_BYTES",
    "ALWAYS_INLINE_RESULT_BYTES",
    "INLINE_RESULTS_LIMIT_BYTES",
    "MAX_INLINE_RESULT_BYTES",
    "MAX_RESULT_BYTES",
    "MAX_SPEC_BYTES",
    "max_growth_bytes",
]

from dragonflybank.jobs.entries import Entry, Tombstone, waiting_indexes
from dragonflybank.platform.store import MAX_VALUE_BYTES

# Size of the value, with the starts that accepted work still adds, above
# which new work is refused.
ACCEPT_LIMIT_BYTES = 700_000
# The same size above which results are stored under their own keys. Results in
# the value thus leave half of it for jobs.
INLINE_RESULTS_LIMIT_BYTES = 300_000
# Longer results are kept under keys of their own.
MAX_INLINE_RESULT_BYTES = 4096
# Results up to this length always stay in the value, since a reference to a
# stored result is no shorter.
ALWAYS_INLINE_RESULT_BYTES = 128
MAX_SPEC_BYTES = 65_536
# Leaves space for the other fields of a `StoredResult`.
MAX_RESULT_BYTES = MAX_VALUE_BYTES - 1024

# A start record in msgpack takes about 180 bytes without the task id, a
# reference to a stored result 70, a short result up to 140.
_START_BYTES = 200
_RESULT_BYTES = 140
# State, times and the workers that it failed on.
_JOB_BYTES = 50
# The problem of a failed job, which replaces its starts.
_PROBLEM_BYTES = 350


def max_growth_bytes(item: Entry | Tombstone) -> int:
    """Returns the maximum growth of an item in bytes.

    Results count with the size of a short result or of a reference.
    """
    if isinstance(item, Tombstone) or item.is_final:
        return 0
    id_bytes = sum(len(part) for part in item.key) + 16
    waiting = len(waiting_indexes(item))
    ended = len(item.record.results) + len(item.stored)
    open_results = item.record.spec.tasks - ended
    tasks_bytes = waiting * (_START_BYTES + 2 * id_bytes)
    tasks_bytes += open_results * (_RESULT_BYTES + id_bytes)
    started = (item.record.spec.tasks - waiting) * _START_BYTES
    return _JOB_BYTES + max(_PROBLEM_BYTES - started, tasks_bytes)
