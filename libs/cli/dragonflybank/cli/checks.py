"""Check of a settings file, an operator configuration or a topology.

The settings of hosts on a platform of their own are checked by its adapter, if
that is installed.
"""

__all__ = ["FileKind", "check_file"]

import enum
import importlib.metadata
import pathlib
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Success

from dragonflybank.config.decode import parse_json
from dragonflybank.config.operator import check_operator_config
from dragonflybank.config.settings import check_settings
from dragonflybank.config.topology import check_topology
from dragonflybank.model.codes import Code, Problem


class FileKind(enum.StrEnum):
    """What a file holds."""

    SETTINGS = "settings"
    OPERATOR = "operator"
    TOPOLOGY = "topology"
    PLATFORM = "platform"


# Entry points under which an adapter offers the check of its settings file.
CHECKS_GROUP = "dragonflybank.checks"

_CHECKS = {
    FileKind.SETTINGS: check_settings,
    FileKind.OPERATOR: check_operator_config,
    FileKind.TOPOLOGY: check_topology,
}
# A field that only one kind of file has.
_MARKS = {
    "classes": FileKind.OPERATOR,
    "teams": FileKind.OPERATOR,
    "breaks": FileKind.OPERATOR,
    "workers": FileKind.TOPOLOGY,
    "racks": FileKind.TOPOLOGY,
    "callers_address": FileKind.PLATFORM,
}


def check_file(
    path: str, kind: FileKind | None = None
) -> tuple[FileKind, tuple[Problem, ...]]:
    """Returns the kind of a file and its faults.

    Args:
        path: Path of a JSON file.
        kind: What the file holds; None to tell from its fields.
    """
    assumed = kind or FileKind.SETTINGS
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return assumed, (Problem(Code.BAD_SETTINGS, str(exc)),)
    match parse_json(text, code=Code.BAD_SETTINGS):
        case Success(document):
            kind = kind or _kind_of(document)
            return kind, _check_of(kind)(document)
        case Failure(failed):
            return assumed, (failed,)


def _check_of(kind: FileKind) -> Callable[[Any], tuple[Problem, ...]]:
    if kind in _CHECKS:
        return _CHECKS[kind]
    found = importlib.metadata.entry_points(group=CHECKS_GROUP, name=kind)
    return next((entry.load() for entry in found), _not_installed)


def _not_installed(document: Any) -> tuple[Problem, ...]:
    detail = "the adapter to this platform is not installed"
    return (Problem(Code.BAD_SETTINGS, detail),)


def _kind_of(document: Any) -> FileKind:
    names = document if isinstance(document, dict) else ()
    found = (_MARKS[name] for name in _MARKS if name in names)
    return next(found, FileKind.SETTINGS)
