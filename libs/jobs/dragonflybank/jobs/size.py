"""Limits on the size of a shard's value in the store.

The store holds values up to 1 MB. New work is refused long before, because
work that is accepted still grows by its starts and results.
"""

__all__ = [
    "ACCEPT_LIMIT_BYTES",
    "INLINE_LIMIT_BYTES",
    "INLINE_RESULT_BYTES",
    "MAX_RESULT_BYTES",
    "MAX_SPEC_BYTES",
    "growth_bytes",
]

from dragonflybank.jobs.entries import Entry, Tombstone, waiting_indexes
from dragonflybank.platform.store import MAX_VALUE_BYTES

# Size of the value, with the starts that accepted work still adds, above
# which new work is refused.
ACCEPT_LIMIT_BYTES = 500_000
# Size of the value above which results of any length go under their own
# keys. Together with ACCEPT_LIMIT_BYTES it bounds the value at 900 KB.
INLINE_LIMIT_BYTES = 400_000
# Longer results are kept under keys of their own.
INLINE_RESULT_BYTES = 4096
MAX_SPEC_BYTES = 65_536
# Leaves room for the envelope of a stored result.
MAX_RESULT_BYTES = MAX_VALUE_BYTES - 1024

# A start record in msgpack takes about 220 bytes, a reference to a stored
# result about 70, each without the task id.
_START_BYTES = 250
_RESULT_BYTES = 80
# Problem, failed workers and times of a job.
_JOB_BYTES = 700


def growth_bytes(item: Entry | Tombstone) -> int:
    """Returns the bytes by which an item may still grow, without results."""
    if isinstance(item, Tombstone) or item.final:
        return 0
    id_bytes = sum(len(part) for part in item.key) + 16
    waiting = len(waiting_indexes(item))
    open_results = item.record.spec.tasks - len(item.record.results)
    return (
        _JOB_BYTES
        + waiting * (_START_BYTES + 2 * id_bytes)
        + open_results * (_RESULT_BYTES + id_bytes)
    )
