"""Tests of calls that may reach another incarnation than was meant."""

import testtools
from testtools.matchers import Equals

from dragonflybank.cell.calls_under_way import (
    begin_call,
    end_call,
    is_closed,
    note_restart,
)
from dragonflybank.cell.tests.builders import make_executor

NOW = 100.0
ARRIVES_UNTIL = 112.0
SETTLED = float("-inf")


def _answered_executor():
    executor = make_executor("e1")
    executor.answered_incarnation = 1
    return executor


class TestCallsUnderWay(testtools.TestCase):
    """Guards against work beside polls for a former incarnation (TWICE)."""

    def setUp(self):
        super().setUp()
        self.executor = _answered_executor()

    def _restart(self):
        self.executor.answered_incarnation = 2
        note_restart(self.executor)

    def test_an_answered_call_closes_nothing(self):
        call = begin_call(self.executor, ARRIVES_UNTIL, acked_end=3)
        end_call(self.executor, call, SETTLED)
        self._restart()
        self.assertThat(is_closed(self.executor, NOW), Equals(False))

    def test_a_call_without_an_answer_closes_a_new_incarnation(self):
        for kind in ({"acked_end": 3}, {"renews": True}):
            self.executor = _answered_executor()
            call = begin_call(self.executor, ARRIVES_UNTIL, **kind)
            end_call(self.executor, call, call.arrives_until)
            self.assertThat(is_closed(self.executor, NOW), Equals(False))
            self._restart()
            self.assertThat(is_closed(self.executor, NOW), Equals(True))
            self.assertThat(
                is_closed(self.executor, ARRIVES_UNTIL), Equals(False)
            )

    def test_a_call_that_is_under_way_at_the_restart_closes_it(self):
        """The restart is noticed before the call has timed out."""
        call = begin_call(self.executor, ARRIVES_UNTIL, acked_end=3)
        self._restart()
        self.assertThat(is_closed(self.executor, NOW), Equals(True))
        end_call(self.executor, call, call.arrives_until)
        self.assertThat(is_closed(self.executor, NOW), Equals(True))

    def test_a_renewal_that_fails_after_the_restart_extends_the_lease(self):
        call = begin_call(self.executor, ARRIVES_UNTIL, renews=True)
        self._restart()
        end_call(self.executor, call, call.arrives_until)
        self.assertThat(
            self.executor.former_renewals_arrive_until, Equals(ARRIVES_UNTIL)
        )

    def test_a_call_for_the_present_incarnation_closes_nothing(self):
        self._restart()
        call = begin_call(self.executor, ARRIVES_UNTIL, renews=True)
        self.assertThat(is_closed(self.executor, NOW), Equals(False))
        end_call(self.executor, call, call.arrives_until)
        self.assertThat(is_closed(self.executor, NOW), Equals(False))
