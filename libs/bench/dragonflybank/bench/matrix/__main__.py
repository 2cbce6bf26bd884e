"""Runs cells: ``python -m dragonflybank.bench.matrix [WORD ...]``.

Only the cells whose names contain one of the words are run, or all cells
without words. The logs of failing cells are kept in build/matrix.
"""

__all__ = ["main"]

import asyncio
import pathlib
import sys

from dragonflybank.bench.matrix.runner import CellResult, run_cells
from dragonflybank.bench.matrix.table import CELLS

LOGS = pathlib.Path("build/matrix")
MAX_PROBLEMS_SHOWN = 6
MAX_PROBLEM_CHARS = 1500


def main(words: list[str]) -> int:
    """Runs the selected cells and returns the number that failed."""
    cells = [
        cell
        for cell in CELLS
        if not words or any(word in cell.name for word in words)
    ]
    results = asyncio.run(run_cells(cells, logs=LOGS, on_result=_print_result))
    failed = sum(bool(result.problems) for result in results)
    print(f"{len(results)} cells, {failed} failing")
    return failed


def _print_result(result: CellResult) -> None:
    state = "failing" if result.problems else "proved"
    print(f"{result.cell.name}: {state}, {result.duration_s:.0f} s")
    for line in result.problems[:MAX_PROBLEMS_SHOWN]:
        print(f"    {line[:MAX_PROBLEM_CHARS]}")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(1 if main(sys.argv[1:]) else 0)
