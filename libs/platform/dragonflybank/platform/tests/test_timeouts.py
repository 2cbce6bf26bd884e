"""Tests of the adaptive timeout."""

import testtools
from testtools.matchers import Equals, GreaterThan, LessThan

from dragonflybank.platform.timeouts import AdaptiveTimeout


class TestAdaptiveTimeout(testtools.TestCase):
    """Guards against long waits for lost answers and against early retries."""

    def test_fast_service_gets_the_shortest_timeout(self):
        timeout = AdaptiveTimeout(min_s=0.1, max_s=0.7)
        for _ in range(50):
            timeout.record_round_trip(0.004)
        self.assertThat(timeout.seconds, Equals(0.1))

    def test_timeout_grows_until_a_slow_service_answers_in_time(self):
        timeout = AdaptiveTimeout(min_s=0.1, max_s=0.7)
        timeout.record_round_trip(0.004)
        calls = 0
        while timeout.seconds < 0.32:
            timeout.record_timeout()
            calls += 1
        self.assertThat(calls, LessThan(3))
        timeout.record_round_trip(0.32)
        self.assertThat(timeout.seconds, GreaterThan(0.32))

    def test_timeout_never_exceeds_its_maximum(self):
        timeout = AdaptiveTimeout(min_s=0.1, max_s=0.7)
        for _ in range(9):
            timeout.record_timeout()
        self.assertThat(timeout.seconds, Equals(0.7))
