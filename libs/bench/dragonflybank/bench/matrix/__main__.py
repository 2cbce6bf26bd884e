"""Plays cells: ``python -m dragonflybank.bench.matrix [WORD ...]``.

Only the cells whose names contain one of the words are played. The logs of
failing cells are kept in build/matrix.
"""

__all__ = ["main"]

import asyncio
import pathlib
import sys

from dragonflybank.bench.matrix.runner import Verdict, play_all
from dragonflybank.bench.matrix.table import CELLS

LOGS = pathlib.Path("build/matrix")
LINES_SHOWN = 6
LINE_LENGTH = 1500


def main(words: list[str]) -> int:
    """Plays the chosen cells and returns the number that failed."""
    cells = [
        cell
        for cell in CELLS
        if not words or any(word in cell.name for word in words)
    ]
    verdicts = asyncio.run(play_all(cells, logs=LOGS, on_verdict=_show))
    failed = sum(bool(verdict.found) for verdict in verdicts)
    print(f"{len(verdicts)} cells, {failed} failing")
    return failed


def _show(verdict: Verdict) -> None:
    state = "failing" if verdict.found else "proved"
    print(f"{verdict.cell.name}: {state}, {verdict.seconds:.0f} s")
    for line in verdict.found[:LINES_SHOWN]:
        print(f"    {line[:LINE_LENGTH]}")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(1 if main(sys.argv[1:]) else 0)
