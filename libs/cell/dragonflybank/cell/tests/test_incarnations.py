"""Tests of telling the incarnations of an executor apart."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.matchers import Equals

from dragonflybank.cell.incarnations import Answerer, identify_answerer
from dragonflybank.cell.tests.builders import make_executor


class TestIdentifyAnswerer(testtools.TestCase):
    """Guards against a restart that an answer shows and nobody notices."""

    def _identify(
        self, clock_s, *, sent_at=101.0, known_clock_s=50.0, now=101.1
    ):
        executor = make_executor("e1")
        executor.answered_incarnation = 7
        executor.last_reply_at = 100.0
        executor.clock_s = known_clock_s
        return identify_answerer(executor, clock_s, sent_at, now)

    def test_a_clock_that_went_on_is_of_the_known_incarnation(self):
        self.assertThat(self._identify(51.003), Equals(Answerer.KNOWN))

    def test_a_clock_that_starts_anew_is_of_a_newer_incarnation(self):
        """A clock starts at any value, also at one above the known clock."""
        for clock_s in (0.7, 49.0, 53.0, 7682.6):
            self.assertThat(self._identify(clock_s), Equals(Answerer.NEWER))

    def test_an_answer_without_a_clock_identifies_nobody(self):
        self.assertThat(self._identify(None), Equals(Answerer.UNKNOWN))

    def test_before_the_first_poll_reply_nobody_is_known(self):
        got = identify_answerer(make_executor("e1"), 51.0, 101.0, 101.1)
        self.assertThat(got, Equals(Answerer.UNKNOWN))

    @given(
        age_s=st.floats(2.1, 1e6),
        passed_s=st.floats(-2.0, 3600.0),
        under_way_s=st.floats(0.0, 2.0),
        reply_age_s=st.floats(0.0, 0.9),
        rate=st.floats(0.98, 1.0),
    )
    @settings(deadline=None, derandomize=True)
    def test_any_clock_rate_and_delay(
        self, age_s, passed_s, under_way_s, reply_age_s, rate
    ):
        """An incarnation is known by its clock, however slow that runs."""
        passed_on_clock_s = rate * (reply_age_s + passed_s + under_way_s)
        got = self._identify(
            round(age_s + passed_on_clock_s, 3),
            sent_at=100.0 + passed_s,
            known_clock_s=age_s,
            now=100.0 + passed_s + under_way_s,
        )
        self.assertThat(got, Equals(Answerer.KNOWN))
