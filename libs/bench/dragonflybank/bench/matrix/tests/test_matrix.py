"""Plays the fault matrix, one test for each cell.

All cells are played concurrently by the first test that needs a verdict.
"""

import asyncio
import functools

import testtools
from testtools.matchers import Equals

from dragonflybank.bench.matrix.runner import play_all
from dragonflybank.bench.matrix.table import CELLS, Cell


@functools.cache
def verdicts() -> dict[str, tuple[str, ...]]:
    played = asyncio.run(play_all(CELLS))
    return {verdict.cell.name: verdict.found for verdict in played}


class TestFaultMatrix(testtools.TestCase):
    """Guards against a fault at a step that breaks one of I1 to I8."""


def _test_of(cell: Cell):
    def test(self):
        found = "\n".join(verdicts()[cell.name])
        self.assertThat(found, Equals(""))

    test.__doc__ = f"{cell.fault.title}; {cell.step.strikes}"
    return test


for each in CELLS:
    setattr(TestFaultMatrix, f"test_{each.name}", _test_of(each))
