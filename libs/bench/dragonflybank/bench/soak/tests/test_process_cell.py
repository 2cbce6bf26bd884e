"""Tests of the cell of host processes."""

import asyncio
import pathlib
import tempfile

import testtools
from testtools.matchers import Equals, GreaterThan, LessThan

from dragonflybank.bench.soak.process_cell import LONG_RUN_RANGE_S, ProcessCell
from dragonflybank.standins.cell.simulated_cell import SubmissionLoad


async def _new_cell(folder: str, **settings) -> ProcessCell:
    return ProcessCell(1, pathlib.Path(folder), **settings)


class TestExecutorClocks(testtools.TestCase):
    """Guards against a soak whose executors all have exact clocks."""

    def test_clocks_run_up_to_two_percent_slow(self):
        with tempfile.TemporaryDirectory() as folder:
            rates = asyncio.run(self._measure_rates(folder))
        self.assertThat(min(rates), GreaterThan(0.98))
        self.assertThat(min(rates), LessThan(0.985))
        self.assertThat(max(rates), LessThan(1.0))

    async def _measure_rates(self, folder: str) -> list[float]:
        cell = await _new_cell(folder, executors=24)
        executors = list(cell.executors.values())
        loop = asyncio.get_running_loop()
        true_time = loop.time
        try:
            now = true_time()
            loop.time = lambda: now
            before_s = [executor.clock_s() for executor in executors]
            loop.time = lambda: now + 100.0
            after_s = [executor.clock_s() for executor in executors]
        finally:
            loop.time = true_time
        return [
            (after - before) / 100.0
            for before, after in zip(before_s, after_s, strict=True)
        ]


class TestLongJobs(testtools.TestCase):
    """Guards against tasks that end before a lease that outlives a cut."""

    def test_share_of_long_jobs(self):
        for share, expected in ((0.0, 0), (1.0, 20)):
            with tempfile.TemporaryDirectory() as folder:
                estimates_s = asyncio.run(self._draw(folder, share))
            self.assertThat(
                sum(s >= LONG_RUN_RANGE_S[0] for s in estimates_s),
                Equals(expected),
            )

    async def _draw(self, folder: str, share: float) -> list[float]:
        cell = await _new_cell(folder, long_share=share)
        jobs = [cell.draw_job(SubmissionLoad()) for _ in range(20)]
        return [job.steps[0].estimate_s for job in jobs]
