"""Check of a settings file, an operator configuration or a topology."""

__all__ = ["FileKind", "check_file"]

import enum
import pathlib
from typing import Any

from returns.result import Failure, Success

from dragonflybank.config.decode import parse_json
from dragonflybank.config.operator import check_operator
from dragonflybank.config.settings import check_settings
from dragonflybank.config.topology import check_topology
from dragonflybank.model.codes import Code, Problem


class FileKind(enum.StrEnum):
    """What a file holds."""

    SETTINGS = "settings"
    OPERATOR = "operator"
    TOPOLOGY = "topology"


_CHECKS = {
    FileKind.SETTINGS: check_settings,
    FileKind.OPERATOR: check_operator,
    FileKind.TOPOLOGY: check_topology,
}
# A field that only one kind of file has.
_MARKS = {
    "classes": FileKind.OPERATOR,
    "teams": FileKind.OPERATOR,
    "breaks": FileKind.OPERATOR,
    "workers": FileKind.TOPOLOGY,
    "racks": FileKind.TOPOLOGY,
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
            return kind, _CHECKS[kind](document)
        case Failure(failed):
            return assumed, (failed,)


def _kind_of(document: Any) -> FileKind:
    names = document if isinstance(document, dict) else ()
    found = (_MARKS[name] for name in _MARKS if name in names)
    return next(found, FileKind.SETTINGS)
