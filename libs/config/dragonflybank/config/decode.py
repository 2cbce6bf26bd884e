"""Decoding of JSON documents into attrs classes that reports all faults.

`decode` structures a document with cattrs. Instead of stopping at the first
fault it collects the path, the value found and the accepted values of each
fault, so that a file can be corrected in one pass.
"""

__all__ = [
    "combine_problems",
    "decode",
    "faults_to_problems",
    "parse_json",
    "to_document",
]

import enum
import json
import math
from collections.abc import Iterable
from typing import Any, get_args, get_origin

import attrs
import cattrs
from returns.result import Failure, Result, Success

from dragonflybank.config.validation import ValidationFault, ValidationRules
from dragonflybank.model.codes import Code, Problem, failure

MAX_FOUND_LENGTH = 60
_MISSING = object()


def decode(
    document: Any, kind: type, rules: ValidationRules, *, code: Code
) -> Result[Any, tuple[Problem, ...]]:
    """Decodes a document into an instance of a class.

    Args:
        document: Parsed JSON.
        kind: An attrs class.
        rules: Rules for the values of the fields.
        code: Result code of the problems.

    Returns:
        The instance, or a problem for each fault.
    """
    try:
        return Success(_make_converter(rules).structure(document, kind))
    except _InvalidError as exc:
        return Failure(faults_to_problems(exc.faults, code))


def to_document(value: Any) -> Any:
    """Converts an attrs instance to a JSON document."""
    return cattrs.Converter(
        unstruct_collection_overrides={tuple: list}
    ).unstructure(value)


def parse_json(text: str, *, code: Code) -> Result[Any, Problem]:
    """Returns parsed JSON.

    NaN, infinite numbers and repeated fields are rejected. Python's parser
    accepts them and keeps only the last of several equal field names.
    """
    try:
        document = json.loads(
            text,
            parse_constant=_refuse_constant,
            object_pairs_hook=_reject_repeated_fields,
        )
        return Success(document)
    except json.JSONDecodeError as exc:
        where = f"line {exc.lineno} column {exc.colno}"
        return failure(code, f"{where}: {exc.msg}", accepted="a JSON document")
    except (ValueError, RecursionError) as exc:
        return failure(code, str(exc), accepted="a JSON document")


def faults_to_problems(
    faults: Iterable[ValidationFault], code: Code
) -> tuple[Problem, ...]:
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


def combine_problems(problems: Iterable[Problem]) -> Problem:
    """Merges several problems into one that describes all of them.

    Example:
        >>> combine_problems([Problem(Code.BAD_SETTINGS, "a", field="x"),
        ...           Problem(Code.BAD_SETTINGS, "b", field="y")]).field
        'x, y'
    """
    all_problems = tuple(problems)
    return Problem(
        all_problems[0].code,
        "; ".join(each.detail for each in all_problems),
        field=", ".join(each.field for each in all_problems),
        accepted="; ".join(each.accepted for each in all_problems),
    )


class _InvalidError(Exception):
    """Carries the faults and the part of the value that was decoded."""

    def __init__(self, faults: list[ValidationFault], partial: Any = _MISSING):
        super().__init__(faults)
        self.faults = faults
        self.partial = partial


def _make_converter(rules: ValidationRules) -> cattrs.Converter:
    conv = cattrs.Converter(detailed_validation=False)
    for kind, (text, is_valid) in _PRIMITIVES.items():
        conv.register_structure_hook(
            kind, _primitive_hook(kind, text, is_valid)
        )
    # Without these hooks cattrs would apply the hooks of str and int to enums.
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


def _primitive_hook(kind, text, is_valid):
    def structure(value, _):
        if not is_valid(value):
            raise _InvalidError(
                [ValidationFault("", _format_found(value), text)]
            )
        return kind(value)

    return structure


def _structure_enum(value, kind):
    values = [member.value for member in kind]
    if isinstance(value, bool) or value not in values:
        text = ", ".join(map(str, values))
        raise _InvalidError(
            [ValidationFault("", _format_found(value), f"one of {text}")]
        )
    return kind(value)


def _is_tuple(kind) -> bool:
    return get_origin(kind) is tuple


def _structure_tuple(conv, value, kind):
    if not isinstance(value, list):
        raise _InvalidError(
            [ValidationFault("", _format_found(value), "a list")]
        )
    faults, items = [], []
    for index, item in enumerate(value):
        try:
            items.append(conv.structure(item, get_args(kind)[0]))
        except _InvalidError as exc:
            faults.extend(
                _with_parent_path(f"[{index}]", fault) for fault in exc.faults
            )
    if faults:
        raise _InvalidError(faults, tuple(items))
    return tuple(items)


def _is_dict(kind) -> bool:
    return get_origin(kind) is dict


def _structure_dict(conv, value, kind):
    if not isinstance(value, dict):
        raise _InvalidError(
            [ValidationFault("", _format_found(value), "an object")]
        )
    faults, items = [], {}
    for name, item in value.items():
        try:
            items[name] = conv.structure(item, get_args(kind)[1])
        except _InvalidError as exc:
            faults.extend(
                _with_parent_path(name, fault) for fault in exc.faults
            )
    if faults:
        raise _InvalidError(faults, items)
    return items


def _structure_class(conv, rules, value, kind):
    if not isinstance(value, dict):
        raise _InvalidError(
            [ValidationFault("", _format_found(value), "an object")]
        )
    fields = attrs.fields_dict(attrs.resolve_types(kind))
    faults = [
        ValidationFault(
            str(name), "an unknown field", f"one of {', '.join(fields)}"
        )
        for name in value
        if name not in fields and not rules.ignores_unknown
    ]
    partial = {}
    for name, field in fields.items():
        rule = rules.fields.get(kind, {}).get(name)
        try:
            _decode_field(conv, rule, value, field, partial)
        except _InvalidError as exc:
            faults.extend(
                _with_parent_path(name, fault) for fault in exc.faults
            )
    if kind in rules.checks:
        faults.extend(rules.checks[kind](partial))
    if faults:
        raise _InvalidError(faults)
    return kind(**partial)


def _decode_field(conv, rule, value, field, partial) -> None:
    if field.name not in value:
        if field.default is attrs.NOTHING:
            text = (
                rule.description if rule else f"a value ({field.type.__name__})"
            )
            raise _InvalidError([ValidationFault("", "nothing", text)])
        return
    try:
        decoded = conv.structure(value[field.name], field.type)
    except _InvalidError as exc:
        if exc.partial is not _MISSING:
            partial[field.name] = exc.partial
        raise
    if rule is not None and not rule.accepts(decoded):
        raise _InvalidError(
            [
                ValidationFault(
                    "", _format_found(value[field.name]), rule.description
                )
            ]
        )
    partial[field.name] = decoded


def _with_parent_path(name: str, fault: ValidationFault) -> ValidationFault:
    separator = "" if not fault.path or fault.path.startswith("[") else "."
    return attrs.evolve(fault, path=f"{name}{separator}{fault.path}")


def _format_found(value: Any) -> str:
    text = json.dumps(value, default=str, ensure_ascii=False)
    if len(text) <= MAX_FOUND_LENGTH:
        return text
    return text[: MAX_FOUND_LENGTH - 3] + "..."


def _refuse_constant(name: str):
    raise ValueError(f"{name} is not a JSON number")


def _reject_repeated_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) < len(pairs):
        names = [name for name, _ in pairs]
        twice = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"the field {twice!r} is given twice")
    return fields
