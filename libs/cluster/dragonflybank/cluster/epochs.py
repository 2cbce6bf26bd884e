"""Ownership epochs as scheduler hosts exchange and journal them.

A worker counts its epochs from the start of its VM, so the number alone does
not distinguish a replaced VM from the one on which a task was started. Hosts
therefore use the worker's number with a hash of its incarnation in the higher
bits. The value stays below 2**53, so that JSON numbers hold it exactly.
"""

__all__ = ["is_same_incarnation", "tagged_epoch", "worker_epoch"]

import hashlib

_NUMBER_BITS = 32
# Two incarnations have the same tag with a probability of about one in a
# million; a replaced worker is then mistaken for the old one if the epoch
# numbers are equal too.
_TAG_BITS = 20


def tagged_epoch(incarnation: str, number: int) -> int:
    """Returns the epoch for a worker's incarnation and epoch number.

    Example:
        >>> worker_epoch(tagged_epoch("vm-1", 7))
        7
    """
    raw = hashlib.blake2b(incarnation.encode(), digest_size=4).digest()
    tag = int.from_bytes(raw, "big") >> (32 - _TAG_BITS)
    return tag << _NUMBER_BITS | number


def worker_epoch(epoch: int) -> int:
    """Returns the epoch number that the worker itself uses."""
    return epoch & ((1 << _NUMBER_BITS) - 1)


def is_same_incarnation(left: int, right: int) -> bool:
    """Returns whether two epochs belong to the same incarnation."""
    return left >> _NUMBER_BITS == right >> _NUMBER_BITS
