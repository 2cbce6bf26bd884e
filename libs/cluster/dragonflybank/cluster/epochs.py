"""Ownership epochs as scheduler hosts exchange and journal them.

A worker counts its epochs from the start of its VM, so the number alone does
not tell a replaced VM from the one that a task was started on. The epoch
outside a session therefore carries a tag of the worker's incarnation above
the worker's own number. It stays below 2**53, exact in JSON.
"""

__all__ = ["is_same_incarnation", "tagged_epoch", "worker_epoch"]

import hashlib

_NUMBER_BITS = 32
# A replaced worker is mistaken for the old one once in about a million
# replacements at equal numbers.
_TAG_BITS = 20


def tagged_epoch(incarnation: str, number: int) -> int:
    """Returns the epoch of a worker's incarnation and epoch number.

    Example:
        >>> worker_epoch(tagged_epoch("vm-1", 7))
        7
    """
    raw = hashlib.blake2b(incarnation.encode(), digest_size=4).digest()
    tag = int.from_bytes(raw, "big") >> (32 - _TAG_BITS)
    return tag << _NUMBER_BITS | number


def worker_epoch(epoch: int) -> int:
    """Returns the worker's own epoch number."""
    return epoch & ((1 << _NUMBER_BITS) - 1)


def is_same_incarnation(left: int, right: int) -> bool:
    """Returns whether two epochs belong to one incarnation of a worker."""
    return left >> _NUMBER_BITS == right >> _NUMBER_BITS
