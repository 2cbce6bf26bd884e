"""Edits of the operator configuration, and changes that consist of edits."""

__all__ = [
    "CHANGE_NAME_RULE",
    "AppliedChange",
    "Change",
    "Difference",
    "Edit",
    "decode_change",
    "encode_change",
    "paths_overlap",
]

import json
from typing import Any

import attrs
from returns.result import Result

from dragonflybank.config.decode import (
    combine_problems,
    decode,
    parse_json,
    to_document,
)
from dragonflybank.config.validation import ValidationRules, matches_pattern
from dragonflybank.model.codes import Code, Problem

CHANGE_NAME_RULE = matches_pattern(
    r"[a-z0-9][a-z0-9_-]{0,62}", "a name of at most 63 of a-z, 0-9, '_', '-'"
)


@attrs.frozen
class Edit:
    """The old and new value of one path of the configuration.

    Attributes:
        path: Path, such as ``class.die_lookup.priority`` or ``team.workshops``.
        old: JSON value before; None if the path is added.
        new: JSON value after; None if the path is removed.
    """

    path: str
    old: Any = None
    new: Any = None


@attrs.frozen
class Change:
    """A staged change.

    Attributes:
        name: Name chosen by the operator, unique among staged changes.
        author: Operator who staged it.
        based_on: Generation of the configuration that the author saw.
        edits: Edits in order.
        id: Identifier of this staging; it also marks the writes of the change.
        staged_at: Seconds since 1970.
    """

    name: str
    author: str
    based_on: int
    edits: tuple[Edit, ...]
    id: str
    staged_at: float = 0.0


@attrs.frozen
class AppliedChange:
    """An applied change in the history of the configuration.

    Attributes:
        generation: Generation that the change produced.
        name: Name of the change.
        author: Operator who staged it.
        applied_by: Operator who applied it.
        applied_at: Seconds since 1970.
        edits: Edits in order.
        id: Identifier of the staging.
    """

    generation: int
    name: str
    author: str
    applied_by: str
    applied_at: float
    edits: tuple[Edit, ...]
    id: str


def paths_overlap(left: str, right: str) -> bool:
    """Returns whether one path equals or contains the other.

    Example:
        >>> paths_overlap("team.courts", "team.courts.weight")
        True
        >>> paths_overlap("team.courts.weight", "team.courts.max_running")
        False
    """
    shorter, longer = sorted((left.split("."), right.split(".")), key=len)
    return longer[: len(shorter)] == shorter


@attrs.frozen
class Difference:
    """One path of a staged change compared with the configuration in force.

    Attributes:
        path: Path.
        old: Value that the author saw; None if absent.
        current: Value in force; None if absent.
        new: Value after the change; None if removed.
        changed_by: Text that lists later changes of the path and their authors;
            empty if there are none.
    """

    path: str
    old: Any
    current: Any
    new: Any
    changed_by: str = ""


def encode_change(change: Change) -> str:
    """Returns the JSON text of a staged change."""
    return json.dumps(to_document(change))


def decode_change(text: str | bytes) -> Result[Change, Problem]:
    """Returns a staged change from JSON, or all faults as one problem."""
    if isinstance(text, bytes):
        text = text.decode(errors="replace")
    return parse_json(text, code=Code.BAD_CONFIGURATION).bind(
        lambda document: decode(
            document, Change, _RULES, code=Code.BAD_CONFIGURATION
        ).alt(combine_problems)
    )


_RULES = ValidationRules(fields={Change: {"name": CHANGE_NAME_RULE}}, checks={})
