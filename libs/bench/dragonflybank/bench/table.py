"""Table of the results: one row for each measurement, with its bound."""

__all__ = ["Better", "Row", "missed_bounds", "render_table", "write_json"]

import enum
import json
import pathlib
from collections.abc import Iterable, Sequence

import attrs


class Better(enum.StrEnum):
    """Direction in which a measure improves."""

    LOWER = "lower"
    HIGHER = "higher"


@attrs.frozen
class Row:
    """One measurement.

    The baseline and the value come from the same run. The bound is part of the
    requirements or follows from them, never from a measurement.

    Attributes:
        measure: What was measured.
        unit: Unit of baseline, value and bound.
        deployment: Deployment whose sizes were used.
        value: The measured value.
        better: Direction in which the value improves.
        baseline: Value of the baseline, None if there is none.
        bound: The bound, None if the requirements give none.
        bound_source: Where the bound comes from.
        note: Conditions of the measurement that matter to a reader.
    """

    measure: str
    unit: str
    deployment: str
    value: float
    better: Better = Better.LOWER
    baseline: float | None = None
    bound: float | None = None
    bound_source: str = ""
    note: str = ""

    @property
    def verdict(self) -> str:
        """``met`` or ``missed``, depending on the bound.

        Without a bound: ``better``, ``equal`` or ``worse`` than the baseline,
        or ``-`` if there is no baseline either.
        """
        if self.bound is not None:
            is_within = self.value == self.bound or self._is_better_than(
                self.bound
            )
            return "met" if is_within else "missed"
        if self.baseline is None:
            return "-"
        if self.value == self.baseline:
            return "equal"
        return "better" if self._is_better_than(self.baseline) else "worse"

    def _is_better_than(self, other):
        if self.better is Better.LOWER:
            return self.value < other
        return self.value > other


_COLUMNS = (
    "measure",
    "unit",
    "deployment",
    "baseline",
    "value",
    "bound",
    "bound_source",
    "better",
    "verdict",
    "note",
)


def render_table(rows: Iterable[Row]) -> str:
    """Returns the rows as a text table."""
    cells = [_COLUMNS, *(_format_row(row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = [
        "  ".join(c.ljust(w) for c, w in zip(line, widths, strict=True))
        for line in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def write_json(rows: Iterable[Row], path: pathlib.Path) -> None:
    """Writes the rows with their verdicts as a JSON list.

    Args:
        rows: The rows.
        path: Output file; its directory is created if missing.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    records = [{n: getattr(row, n) for n in _COLUMNS} for row in rows]
    path.write_text(json.dumps(records, indent=1) + "\n")


def missed_bounds(rows: Iterable[Row]) -> Sequence[Row]:
    """Returns the rows that miss their bound."""
    return [row for row in rows if row.verdict == "missed"]


def _format_row(row):
    return tuple(_format_value(getattr(row, name)) for name in _COLUMNS)


def _format_value(value):
    if value is None:
        return "-"
    return f"{value:.4g}" if isinstance(value, float) else str(value)
