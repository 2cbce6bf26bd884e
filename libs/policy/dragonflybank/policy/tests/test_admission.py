"""Tests of admission control of lookups."""

import testtools
from returns.pipeline import is_successful
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from dragonflybank.model.codes import Code
from dragonflybank.policy import admission


def request(number, deadline, expected_s=0.1):
    name = f"r{number}"
    return admission.QueuedRequest(name, "die_lookup", deadline, expected_s)


class TestEdfQueue(testtools.TestCase):
    """Guards against late answers and refusals without a retry time."""

    def setUp(self):
        super().setUp()
        self.times = admission.ServiceTimes()

    def test_earliest_deadline_is_served_first(self):
        queue = admission.EdfQueue(1, self.times)
        for number, deadline in enumerate((3.0, 1.0, 2.0)):
            queue.enqueue(request(number, deadline), 0.0)
        order = [queue.dequeue(0.0).request.id for _ in range(3)]
        self.assertThat(order, Equals(["r1", "r2", "r0"]))

    def test_equal_deadlines_are_served_in_arrival_order(self):
        queue = admission.EdfQueue(1, self.times)
        for number in range(3):
            queue.enqueue(request(number, 1.0), 0.0)
        order = [queue.dequeue(0.0).request.id for _ in range(3)]
        self.assertThat(order, Equals(["r0", "r1", "r2"]))

    def test_request_that_would_be_late_is_refused_with_a_retry_time(self):
        queue = admission.EdfQueue(1, self.times)
        outcomes = [queue.enqueue(request(i, 1.2), 0.0) for i in range(20)]
        failed = outcomes[-1].failure()
        self.assertThat(failed.code, Is(Code.OVERLOADED))
        self.assertThat(failed.retry_after_s, GreaterThan(0.0))
        self.assertThat(len(queue), Equals(12))

    def test_measured_times_replace_declared_ones(self):
        queue = admission.EdfQueue(1, self.times)
        for _ in range(admission.MIN_MEASUREMENTS):
            self.times.add("die_lookup", 1.3)
        queue.enqueue(request(1, 1.2, expected_s=0.01), 0.0)
        outcome = queue.enqueue(request(2, 1.2, expected_s=0.01), 0.0)
        self.assertFalse(is_successful(outcome))

    def test_slow_period_does_not_lock_a_class_out_forever(self):
        queue = admission.EdfQueue(1, self.times)
        for _ in range(100):
            self.times.add("die_lookup", 9.0)
        served = 0
        for number in range(600):
            now = 10.0 * number
            queue.enqueue(request(number, now + 1.2), now)
            if queue.dequeue(now).request is not None:
                served += 1
                queue.record_completion("die_lookup", 0.1)
        self.assertThat(served, Equals(600))
        self.assertThat(
            self.times.planned_service_s(request(0, 1.2)), Equals(0.1)
        )

    def test_queue_length_is_limited(self):
        queue = admission.EdfQueue(1, self.times, limit=3)
        for number in range(9):
            queue.enqueue(request(number, 1e9), 0.0)
        self.assertThat(len(queue), Equals(3))

    def test_request_that_became_late_is_not_served(self):
        queue = admission.EdfQueue(1, self.times)
        queue.enqueue(request(1, 1.0), 0.0)
        queue.enqueue(request(2, 5.0), 0.0)
        dequeued = queue.dequeue(2.0)
        self.assertThat(dequeued.request.id, Equals("r2"))
        self.assertThat([req.id for req in dequeued.late], Equals(["r1"]))

    def test_busy_slots_delay_a_request_at_an_empty_queue(self):
        queue = admission.EdfQueue(1, self.times)
        queue.enqueue(request(1, 9.0, expected_s=1.0), 0.0)
        queue.dequeue(0.0)
        outcome = queue.enqueue(request(2, 1.5, expected_s=1.0), 0.0)
        self.assertFalse(is_successful(outcome))

    def test_removed_request_no_longer_adds_to_the_wait(self):
        queue = admission.EdfQueue(1, self.times)
        for number in range(3):
            queue.enqueue(request(number, 9.0), 0.0)
        before = queue.expected_wait_s()
        self.assertTrue(queue.remove("r1"))
        self.assertThat(queue.expected_wait_s(), LessThan(before))
