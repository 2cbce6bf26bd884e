"""Runs the fault matrix, with one test for each cell.

The first test that needs a result runs all cells concurrently. The logs of
failing cells are kept in build/matrix.
"""

import asyncio
import functools
import pathlib

import testtools
from testtools.matchers import Equals

from dragonflybank.bench.matrix.runner import run_cells
from dragonflybank.bench.matrix.table import CELLS, Cell

LOGS = pathlib.Path("build/matrix")


@functools.cache
def results() -> dict[str, tuple[str, ...]]:
    cell_results = asyncio.run(run_cells(CELLS, logs=LOGS))
    return {result.cell.name: result.problems for result in cell_results}


class TestFaultMatrix(testtools.TestCase):
    """Guards against a fault at a step that breaks one of I1 to I8."""


def _make_test(cell: Cell):
    def test(self):
        problems = "\n".join(results()[cell.name])
        self.assertThat(problems, Equals(""))

    test.__doc__ = f"{cell.fault.title}; {cell.step.injection_point}"
    return test


for each_cell in CELLS:
    setattr(TestFaultMatrix, f"test_{each_cell.name}", _make_test(each_cell))
