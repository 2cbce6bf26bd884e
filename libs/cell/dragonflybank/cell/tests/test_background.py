"""Tests of background tasks."""

import asyncio

import testtools
from testtools.matchers import Equals

from dragonflybank.cell.background import BackgroundTasks
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time


class TestBackground(testtools.TestCase):
    """Guards against a task whose failure is not reported.

    An exception in an asyncio task is otherwise only logged once the task is
    garbage collected.
    """

    def _count_failures(self, work) -> int:
        failures = []

        async def main():
            background = BackgroundTasks(lambda: failures.append(1))
            background.spawn(work())
            await asyncio.sleep(0.01)
            await background.close()

        run_in_virtual_time(main())
        return len(failures)

    def test_an_exception_is_reported(self):
        async def fails():
            raise RuntimeError("broken")

        self.assertThat(self._count_failures(fails), Equals(1))

    def test_a_normal_end_or_a_cancellation_is_not_reported(self):
        async def ends():
            return None

        async def waits():
            await asyncio.Event().wait()

        self.assertThat(
            (self._count_failures(ends), self._count_failures(waits)),
            Equals((0, 0)),
        )
