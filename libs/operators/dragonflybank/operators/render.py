"""Formats reports as tables for people and as JSON."""

__all__ = [
    "Report",
    "problem_to_json",
    "report_from_rows",
    "report_to_json",
    "report_to_text",
]

import json
from collections.abc import Iterable
from typing import Any

import attrs

from dragonflybank.model.codes import Code, Problem

MAX_CELL_WIDTH = 60


@attrs.frozen
class Report:
    """The result of a command.

    Attributes:
        columns: Names of the columns; empty if there is no table.
        rows: Rows of cells, in the order of the columns.
        text: Text for people, before the table.
        notes: Remarks, such as which hosts did not answer.
    """

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Any, ...], ...] = ()
    text: str = ""
    notes: tuple[str, ...] = ()


def report_from_rows(
    values: Iterable[Any],
    kind: type,
    *,
    text: str = "",
    notes: Iterable[str] = (),
) -> Report:
    """Returns a report with a table of attrs instances of one class.

    Args:
        values: The instances, one for each row.
        kind: Class of the instances; its fields are the columns.
        text: Text before the table.
        notes: Remarks.
    """
    columns = tuple(field.name for field in attrs.fields(kind))
    rows = tuple(
        tuple(getattr(value, name) for name in columns) for value in values
    )
    return Report(columns, rows, text, tuple(notes))


def report_to_text(report: Report) -> str:
    """Formats a report as text with an aligned table.

    Example:
        >>> print(report_to_text(Report(("team", "tasks"), (("courts", 12),))))
        team    tasks
        courts     12
    """
    parts = [report.text] if report.text else []
    if report.columns:
        parts.append(_format_table(report) if report.rows else "nothing found")
    parts.extend(f"note: {note}" for note in report.notes)
    return "\n".join(parts)


def report_to_json(report: Report) -> dict:
    """Returns a report as the JSON object of ``POST /v1/query``."""
    named = [dict(zip(report.columns, row, strict=True)) for row in report.rows]
    return {
        "code": int(Code.OK),
        "text": report.text,
        "rows": json.loads(json.dumps(named, default=str)),
        "notes": list(report.notes),
    }


def problem_to_json(failed: Problem) -> dict:
    """Returns a problem as the JSON object of ``POST /v1/query``."""
    return {
        "code": int(failed.code),
        "detail": failed.detail,
        "field": failed.field,
        "accepted": failed.accepted,
        "retry_after_s": failed.retry_after_s,
    }


def _format_table(report: Report) -> str:
    cells = [[_format_cell(value) for value in row] for row in report.rows]
    widths = [
        max(map(len, column))
        for column in zip(report.columns, *cells, strict=True)
    ]
    is_number = [
        all(isinstance(value, int | float) for value in column)
        for column in zip(*report.rows, strict=True)
    ]
    return "\n".join(
        "  ".join(
            text.rjust(width) if right else text.ljust(width)
            for text, width, right in zip(row, widths, is_number, strict=True)
        ).rstrip()
        for row in (report.columns, *cells)
    )


def _format_cell(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    # Text from callers may contain control characters, which must not reach
    # the terminal.
    text = "".join(c if c.isprintable() else "?" for c in str(value))
    if len(text) <= MAX_CELL_WIDTH:
        return text
    return text[: MAX_CELL_WIDTH - 3] + "..."
