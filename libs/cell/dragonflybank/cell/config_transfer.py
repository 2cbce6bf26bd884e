"""Transfer of the operators' configuration from the leader to other hosts.

Hosts read the configuration from the store. The leader sends it only to hosts
that the store turns away, and compressed: a configuration of 1,600 queues has
400 KB, and 96 copies of it would occupy the leader's link for seconds, so that
executors would seem silent and the leadership would be lost.
"""

__all__ = ["pack_config", "unpack_config"]

import functools
import zlib

from returns.result import Result, Success

from dragonflybank.model.codes import Code, Problem, failure

# The store accepts values of up to 1 MiB.
MAX_CONFIG_BYTES = 4 * 2**20


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
