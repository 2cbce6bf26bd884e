"""The table of measures: one row for each figure, with its bound."""

__all__ = ["Better", "Row", "missed", "render", "write_json"]

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
    """A measured figure.

    The baseline and the value come from the same run. The bound is given in
    the design page or follows from figures there, never from a measurement.

    Attributes:
        measure: What was measured.
        unit: Unit of baseline, value and bound.
        deployment: Deployment whose sizes were used.
        value: The measured figure.
        better: Direction in which it improves.
        baseline: The figure of the baseline, None if there is none.
        bound: The bound, None if the page gives none.
        bound_source: Where the bound comes from.
        note: Circumstances that the reader of the figure must know.
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
        """The bound is ``met`` or ``missed``.

        Without a bound the value is ``better``, ``equal`` or ``worse`` than
        the baseline; ``-`` if there is none either.
        """
        if self.bound is not None:
            within = self.value == self.bound or self._beats(self.bound)
            return "met" if within else "missed"
        if self.baseline is None:
            return "-"
        if self.value == self.baseline:
            return "equal"
        return "better" if self._beats(self.baseline) else "worse"

    def _beats(self, other):
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


def render(rows: Iterable[Row]) -> str:
    """Returns the rows as a table of text."""
    cells = [_COLUMNS, *(_cells(row) for row in rows)]
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
        path: File; its directory is made if it does not exist.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    body = [{n: getattr(row, n) for n in _COLUMNS} for row in rows]
    path.write_text(json.dumps(body, indent=1) + "\n")


def missed(rows: Iterable[Row]) -> Sequence[Row]:
    """Returns the rows whose bound was missed."""
    return [row for row in rows if row.verdict == "missed"]


def _cells(row):
    return tuple(_cell(getattr(row, name)) for name in _COLUMNS)


def _cell(value):
    if value is None:
        return "-"
    return f"{value:.4g}" if isinstance(value, float) else str(value)
