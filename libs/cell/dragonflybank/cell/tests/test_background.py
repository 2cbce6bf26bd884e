"""Tests of tasks whose failure must not go unnoticed."""

import asyncio

import testtools
from testtools.matchers import Equals

from dragonflybank.cell.background import BackgroundTasks
from dragonflybank.standins.cell.virtual import play


class TestBackground(testtools.TestCase):
    """Guards against a loop that ends without anybody knowing."""

    def _play(self, work) -> int:
        failures = []

        async def main():
            background = BackgroundTasks(lambda: failures.append(1))
            background.spawn(work())
            await asyncio.sleep(0.01)
            await background.close()

        play(main())
        return len(failures)

    def test_an_exception_is_reported(self):
        async def fails():
            raise RuntimeError("broken")

        self.assertThat(self._play(fails), Equals(1))

    def test_an_end_or_a_cancellation_is_not(self):
        async def ends():
            return None

        async def waits():
            await asyncio.Event().wait()

        self.assertThat((self._play(ends), self._play(waits)), Equals((0, 0)))
