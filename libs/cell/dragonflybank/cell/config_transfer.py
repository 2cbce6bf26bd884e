"""Transfer of the operators' configuration from the leader to other hosts.

Hosts read the configuration from the store. The leader sends it only to hosts
that the store turns away, and compressed: a configuration of 1,600 queues has
400 KB, and 96 copies of it would occupy the leader's link for seconds, so that
executors would seem silent and the leadership would be lost.
"""

__all__ = ["pack_config", "should_send_config", "unpack_config"]

import functools
import zlib

from returns.result import Result, Success

from dragonflybank.cell.messages import SyncRequest
from dragonflybank.model.codes import Code, Problem, failure

# The store accepts values of up to 1 MiB. Short API keys take up to 11.2 times
# their space as digests.
MAX_CONFIG_BYTES = 12 * 2**20
# Hosts that have not read a change of the configuration from the store within
# this time get it from the leader. The bound for a change is 2.5 s.
CONFIG_READ_TIME_S = 1.0


@functools.lru_cache(maxsize=1)
def pack_config(raw: bytes) -> bytes:
    """Returns the compressed bytes of a configuration.

    Example:
        >>> unpack_config(pack_config(b"{}")).unwrap()
        b'{}'
    """
    return zlib.compress(raw)


def unpack_config(packed: bytes) -> Result[bytes, Problem]:
    """Returns the bytes of a configuration, or ``BAD_CONFIGURATION``."""
    unpacker = zlib.decompressobj()
    try:
        raw = unpacker.decompress(packed, MAX_CONFIG_BYTES)
    except zlib.error as exc:
        return failure(Code.BAD_CONFIGURATION, str(exc))
    if not unpacker.eof:
        return failure(
            Code.BAD_CONFIGURATION,
            "truncated or too large",
            accepted=f"at most {MAX_CONFIG_BYTES} bytes",
        )
    return Success(raw)


def should_send_config(req: SyncRequest, version: int, *, age_s: float) -> bool:
    """Returns whether the leader sends its configuration to a host.

    Args:
        req: Request of the host.
        version: Version of the leader's configuration.
        age_s: Time since the leader adopted it, in seconds.
    """
    if version <= req.version:
        return False
    # A host that has just started reads the store first.
    is_behind = req.version > 0 and age_s > CONFIG_READ_TIME_S
    return req.needs_config or is_behind
