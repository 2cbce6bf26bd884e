"""Checks of settings files, operator configurations and topologies.

The adapter to a platform checks the settings of that platform's hosts, if it is
installed.
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
    """Kind of a file."""

    SETTINGS = "settings"
    OPERATOR = "operator"
    TOPOLOGY = "topology"
    PLATFORM = "platform"


# Entry point group in which an adapter registers the check of its settings.
CHECK_ENTRY_POINT_GROUP = "dragonflybank.checks"

_CHECKS = {
    FileKind.SETTINGS: check_settings,
    FileKind.OPERATOR: check_operator_config,
    FileKind.TOPOLOGY: check_topology,
}
# Fields that occur in only one kind of file.
_IDENTIFYING_FIELDS = {
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
        kind: Kind of the file; None to detect it from its fields.
    """
    assumed = kind or FileKind.SETTINGS
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return assumed, (Problem(Code.BAD_SETTINGS, str(exc)),)
    match parse_json(text, code=Code.BAD_SETTINGS):
        case Success(document):
            kind = kind or _detect_kind(document)
            return kind, _find_check(kind)(document)
        case Failure(failed):
            return assumed, (failed,)


def _find_check(kind: FileKind) -> Callable[[Any], tuple[Problem, ...]]:
    if kind in _CHECKS:
        return _CHECKS[kind]
    found = importlib.metadata.entry_points(
        group=CHECK_ENTRY_POINT_GROUP, name=kind
    )
    return next((entry.load() for entry in found), _adapter_not_installed)


def _adapter_not_installed(document: Any) -> tuple[Problem, ...]:
    detail = "the adapter to this platform is not installed"
    return (Problem(Code.BAD_SETTINGS, detail),)


def _detect_kind(document: Any) -> FileKind:
    names = document if isinstance(document, dict) else ()
    found = (
        _IDENTIFYING_FIELDS[name]
        for name in _IDENTIFYING_FIELDS
        if name in names
    )
    return next(found, FileKind.SETTINGS)
