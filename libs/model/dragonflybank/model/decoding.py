"""Decoding of documents that another process wrote.

Every document that comes in from outside is decoded here, into a class whose
fields say what is accepted. A document that is too large, nested too deeply, or
has a field of another type or out of range gives a `Problem` that names the
field, never an exception. Unknown fields are skipped.
"""

__all__ = ["DecodeError", "decode_json", "decode_msgpack"]

import functools
import re
from typing import Any, TypeVar

import msgspec
from returns.result import Result, Success

from dragonflybank.model.codes import Code, Problem, failure

T = TypeVar("T")

# The decoder raises RecursionError for documents that are nested more deeply
# than the interpreter allows, also within fields that it skips.
DecodeError = (msgspec.MsgspecError, RecursionError)
MAX_DETAIL_CHARS = 300
# The position that the decoder adds to its messages, as "- at `$.a.b`".
_POSITION = re.compile(r" - at `\$\.?(?P<field>[^`]*)`$")


def decode_json(
    raw: bytes, kind: Any, *, code: Code, max_bytes: int | None = None
) -> Result[Any, Problem]:
    """Returns the value that a JSON document holds.

    Args:
        raw: The document.
        kind: Class of the value.
        code: Code of the problem if the document is invalid.
        max_bytes: Largest size that is accepted; None for no limit.

    Example:
        >>> decode_json(b"[1, -2]", list[int], code=Code.BAD_REQUEST).unwrap()
        [1, -2]
    """
    return _decode(_json_decoder(kind), raw, code, max_bytes)


def decode_msgpack(
    raw: bytes, kind: type[T], *, code: Code
) -> Result[T, Problem]:
    """Returns the value that a msgpack document holds, as `decode_json`."""
    return _decode(_msgpack_decoder(kind), raw, code, None)


def _decode(
    decoder: Any, raw: bytes, code: Code, max_bytes: int | None
) -> Result[Any, Problem]:
    if max_bytes is not None and len(raw) > max_bytes:
        return failure(
            code, f"{len(raw)} bytes", accepted=f"at most {max_bytes} bytes"
        )
    try:
        return Success(decoder.decode(raw))
    except RecursionError:
        return failure(code, "nested too deeply")
    except msgspec.MsgspecError as exc:
        text = str(exc)
        position = _POSITION.search(text)
        return failure(
            code,
            text[:MAX_DETAIL_CHARS],
            field=position["field"] if position else "",
        )


@functools.cache
def _json_decoder(kind: Any) -> msgspec.json.Decoder:
    return msgspec.json.Decoder(kind)


@functools.cache
def _msgpack_decoder(kind: Any) -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(kind)
