"""Tests of the adaptive time-out."""

import testtools
from testtools.matchers import Equals, GreaterThan, LessThan

from dragonflybank.platform.timeouts import AdaptiveTimeout


class TestAdaptiveTimeout(testtools.TestCase):
    """Guards against waits for lost answers and against hasty repeats."""

    def test_a_fast_service_has_the_shortest_timeout(self):
        timeout = AdaptiveTimeout(min_s=0.1, max_s=0.7)
        for _ in range(50):
            timeout.answered(0.004)
        self.assertThat(timeout.seconds, Equals(0.1))

    def test_timeouts_lengthen_it_until_a_slow_service_answers_in_time(self):
        timeout = AdaptiveTimeout(min_s=0.1, max_s=0.7)
        timeout.answered(0.004)
        calls = 0
        while timeout.seconds < 0.32:
            timeout.timed_out()
            calls += 1
        self.assertThat(calls, LessThan(3))
        timeout.answered(0.32)
        self.assertThat(timeout.seconds, GreaterThan(0.32))

    def test_it_never_exceeds_its_limit(self):
        timeout = AdaptiveTimeout(min_s=0.1, max_s=0.7)
        for _ in range(9):
            timeout.timed_out()
        self.assertThat(timeout.seconds, Equals(0.7))
