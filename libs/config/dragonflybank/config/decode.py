"""Decoding of JSON documents into attrs classes with all faults at once.

`decode` structures a document with cattrs. Instead of stopping at the first
fault it collects the path, the value found and what is accepted for each one,
so that a file is corrected in one pass.
"""

__all__ = ["combined", "decode", "document_of", "parse_json", "problems_of"]

import enum
import json
import math
from collections.abc import Iterable
from typing import Any, get_args, get_origin

import attrs
import cattrs
from returns.result import Failure, Result, Success

from dragonflybank.config.rules import Fault, Rules
from dragonflybank.model.codes import Code, Problem, failure

FOUND_LENGTH = 60
_MISSING = object()


def decode(
    document: Any, kind: type, rules: Rules, *, code: Code
) -> Result[Any, tuple[Problem, ...]]:
    """Returns a document as a value of a class, or all its faults.

    Args:
        document: Parsed JSON.
        kind: An attrs class.
        rules: What the fields accept.
        code: Code of the problems.
    """
    try:
        return Success(_converter(rules).structure(document, kind))
    except _InvalidError as exc:
        return Failure(problems_of(exc.faults, code))


def document_of(value: Any) -> Any:
    """Returns the JSON document of an attrs value."""
    return cattrs.Converter(
        unstruct_collection_overrides={tuple: list}
    ).unstructure(value)


def parse_json(text: str, *, code: Code) -> Result[Any, Problem]:
    """Returns parsed JSON.

    NaN, infinite numbers and a field that is given twice are refused: Python's
    parser accepts them and keeps the last of two fields.
    """
    try:
        document = json.loads(
            text,
            parse_constant=_refuse_constant,
            object_pairs_hook=_with_names_once,
        )
        return Success(document)
    except json.JSONDecodeError as exc:
        where = f"line {exc.lineno} column {exc.colno}"
        return failure(code, f"{where}: {exc.msg}", accepted="a JSON document")
    except (ValueError, RecursionError) as exc:
        return failure(code, str(exc), accepted="a JSON document")


def problems_of(faults: Iterable[Fault], code: Code) -> tuple[Problem, ...]:
    """Returns one problem for each fault."""
    return tuple(
        Problem(
            code,
            f"{fault.path or 'document'}: found {fault.found},"
            f" accepted is {fault.accepted}",
            field=fault.path,
            accepted=fault.accepted,
        )
        for fault in faults
    )


def combined(problems: Iterable[Problem]) -> Problem:
    """Returns one problem that tells about all of them.

    Example:
        >>> combined([Problem(Code.BAD_SETTINGS, "a", field="x"),
        ...           Problem(Code.BAD_SETTINGS, "b", field="y")]).field
        'x, y'
    """
    all_of_them = tuple(problems)
    return Problem(
        all_of_them[0].code,
        "; ".join(each.detail for each in all_of_them),
        field=", ".join(each.field for each in all_of_them),
        accepted="; ".join(each.accepted for each in all_of_them),
    )


class _InvalidError(Exception):
    """Carries the faults and what could be decoded in spite of them."""

    def __init__(self, faults: list[Fault], partial: Any = _MISSING):
        super().__init__(faults)
        self.faults = faults
        self.partial = partial


def _converter(rules: Rules) -> cattrs.Converter:
    conv = cattrs.Converter(detailed_validation=False)
    for kind, (text, holds) in _PRIMITIVES.items():
        conv.register_structure_hook(kind, _primitive_hook(kind, text, holds))
    # Without a hook of its own an enum is decoded as text or whole number.
    conv.register_structure_hook(enum.StrEnum, _structure_enum)
    conv.register_structure_hook(enum.IntEnum, _structure_enum)
    conv.register_structure_hook(Any, lambda value, _: value)
    conv.register_structure_hook_func(
        _is_tuple, lambda value, kind: _structure_tuple(conv, value, kind)
    )
    conv.register_structure_hook_func(
        _is_dict, lambda value, kind: _structure_dict(conv, value, kind)
    )
    conv.register_structure_hook_func(
        attrs.has,
        lambda value, kind: _structure_class(conv, rules, value, kind),
    )
    return conv


def _is_finite(value: Any) -> bool:
    if isinstance(value, bool):
        return False
    if isinstance(value, int):
        return abs(value) < 1 << 63
    return isinstance(value, float) and math.isfinite(value)


_PRIMITIVES = {
    bool: ("true or false", lambda value: isinstance(value, bool)),
    int: (
        "a whole number",
        lambda value: isinstance(value, int) and _is_finite(value),
    ),
    float: ("a number", _is_finite),
    str: ("text", lambda value: isinstance(value, str)),
}


def _primitive_hook(kind, text, holds):
    def structure(value, _):
        if not holds(value):
            raise _InvalidError([Fault("", _shown(value), text)])
        return kind(value)

    return structure


def _structure_enum(value, kind):
    values = [member.value for member in kind]
    if isinstance(value, bool) or value not in values:
        text = ", ".join(map(str, values))
        raise _InvalidError([Fault("", _shown(value), f"one of {text}")])
    return kind(value)


def _is_tuple(kind) -> bool:
    return get_origin(kind) is tuple


def _structure_tuple(conv, value, kind):
    if not isinstance(value, list):
        raise _InvalidError([Fault("", _shown(value), "a list")])
    faults, items = [], []
    for index, item in enumerate(value):
        try:
            items.append(conv.structure(item, get_args(kind)[0]))
        except _InvalidError as exc:
            faults.extend(_below(f"[{index}]", fault) for fault in exc.faults)
    if faults:
        raise _InvalidError(faults, tuple(items))
    return tuple(items)


def _is_dict(kind) -> bool:
    return get_origin(kind) is dict


def _structure_dict(conv, value, kind):
    if not isinstance(value, dict):
        raise _InvalidError([Fault("", _shown(value), "an object")])
    faults, items = [], {}
    for name, item in value.items():
        try:
            items[name] = conv.structure(item, get_args(kind)[1])
        except _InvalidError as exc:
            faults.extend(_below(name, fault) for fault in exc.faults)
    if faults:
        raise _InvalidError(faults, items)
    return items


def _structure_class(conv, rules, value, kind):
    if not isinstance(value, dict):
        raise _InvalidError([Fault("", _shown(value), "an object")])
    fields = attrs.fields_dict(attrs.resolve_types(kind))
    faults = [
        Fault(str(name), "an unknown field", f"one of {', '.join(fields)}")
        for name in value
        if name not in fields and not rules.ignores_unknown
    ]
    partial = {}
    for name, field in fields.items():
        accept = rules.fields.get(kind, {}).get(name)
        try:
            _decode_field(conv, accept, value, field, partial)
        except _InvalidError as exc:
            faults.extend(_below(name, fault) for fault in exc.faults)
    if kind in rules.checks:
        faults.extend(rules.checks[kind](partial))
    if faults:
        raise _InvalidError(faults)
    return kind(**partial)


def _decode_field(conv, accept, value, field, partial) -> None:
    if field.name not in value:
        if field.default is attrs.NOTHING:
            text = (
                accept.description
                if accept
                else f"a value ({field.type.__name__})"
            )
            raise _InvalidError([Fault("", "nothing", text)])
        return
    try:
        decoded = conv.structure(value[field.name], field.type)
    except _InvalidError as exc:
        if exc.partial is not _MISSING:
            partial[field.name] = exc.partial
        raise
    if accept is not None and not accept.accepts(decoded):
        raise _InvalidError(
            [Fault("", _shown(value[field.name]), accept.description)]
        )
    partial[field.name] = decoded


def _below(name: str, fault: Fault) -> Fault:
    joint = "" if not fault.path or fault.path.startswith("[") else "."
    return attrs.evolve(fault, path=f"{name}{joint}{fault.path}")


def _shown(value: Any) -> str:
    text = json.dumps(value, default=str, ensure_ascii=False)
    if len(text) <= FOUND_LENGTH:
        return text
    return text[: FOUND_LENGTH - 3] + "..."


def _refuse_constant(name: str):
    raise ValueError(f"{name} is not a JSON number")


def _with_names_once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    made = dict(pairs)
    if len(made) < len(pairs):
        names = [name for name, _ in pairs]
        twice = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"the field {twice!r} is given twice")
    return made
