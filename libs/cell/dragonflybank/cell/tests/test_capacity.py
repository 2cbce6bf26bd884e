"""Tests of which executors accept work."""

import testtools
from testtools.matchers import Equals

from dragonflybank.cell.capacity import accepts_new_work
from dragonflybank.cell.tests.builders import make_executor


class TestAcceptsNewWork(testtools.TestCase):
    """Guards against the capacity of a former incarnation (LIMIT, ROUTE)."""

    def test_a_restarted_executor_waits_for_its_own_entry(self):
        executor = make_executor("e1")
        executor.entry_incarnation = 1
        executor.answered_incarnation = 2
        self.assertThat(accepts_new_work(executor, 100.0), Equals(False))
        executor.entry_incarnation = 2
        self.assertThat(accepts_new_work(executor, 100.0), Equals(True))
