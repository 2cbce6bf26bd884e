"""Tests of how long an executor may still run an attempt."""

import attrs
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.matchers import Equals, GreaterThan, LessThan

from dragonflybank.cell.capacity import reserve
from dragonflybank.cell.incarnations import MIN_CLOCK_RATE
from dragonflybank.cell.jobs import AdviceTiming, Step
from dragonflybank.cell.lease_bounds import (
    MAX_UNCONFIRMED_RENEWAL_S,
    latest_start_arrival,
    longest_lease_s,
    may_run_until,
)
from dragonflybank.cell.limits import CellLimits
from dragonflybank.cell.state import AttemptPhase
from dragonflybank.cell.tests.builders import (
    add_job,
    get_step,
    make_executor,
)
from dragonflybank.cell.workload import Workload

LIMITS = CellLimits()
ELECTED_AT = 50.0
REPLIED_AT = 100.0


class TestMayRunUntil(testtools.TestCase):
    """Guards against attempts that are given up while they may run (TWICE)."""

    def _attempt(self, *, clock_s=500.0, lease_s=6.0, **fields):
        executor = make_executor("e1")
        executor.answered_incarnation = 1
        executor.last_reply_at = REPLIED_AT
        executor.clock_s = clock_s
        executor.lease_until_s = clock_s + lease_s
        task = get_step(add_job(Workload(), 1, Step(1))).tasks[0]
        attempt = reserve(
            executor, task, 1, phase=AttemptPhase.RUNNING, now=REPLIED_AT
        )
        attempt.is_start_sent = True
        for name, value in fields.items():
            setattr(attempt, name, value)
        return attempt

    def _bound(self, attempt):
        return may_run_until(attempt, LIMITS, ELECTED_AT)

    def test_an_attempt_that_was_seen_ends_with_the_lease(self):
        bound = self._bound(self._attempt(seen_in=1))
        self.assertThat(bound, GreaterThan(REPLIED_AT + 6.0 / MIN_CLOCK_RATE))
        self.assertThat(bound, LessThan(REPLIED_AT + 6.5))

    def test_a_start_that_may_arrive_gets_the_longest_lease(self):
        attempt = self._attempt(start_arrives_until=REPLIED_AT + 12.0)
        self.assertThat(
            self._bound(attempt),
            Equals(REPLIED_AT + 12.0 + longest_lease_s(LIMITS)),
        )

    def test_a_ticket_binds_a_start_to_the_incarnation_that_answered_since(
        self,
    ):
        """A later incarnation refuses it, so that the lease is the bound."""
        fields = {
            "start_arrives_until": REPLIED_AT + 2.0,
            "ticket_received_at": REPLIED_AT - 0.5,
            "meant_for": 1,
        }
        attempt = self._attempt(**fields)
        attempt.executor.renewals_arrive_until = REPLIED_AT + 11.0
        attempt.executor.alive_at = REPLIED_AT - 0.1
        self.assertThat(self._bound(attempt), LessThan(REPLIED_AT + 6.5))

    def test_a_ticket_of_unknown_incarnation_binds_nothing(self):
        longest = REPLIED_AT + 2.0 + longest_lease_s(LIMITS)
        for alive_at, meant_for in (
            # It was issued after the last sign of life.
            (REPLIED_AT - 0.6, 1),
            # The executor had restarted before the start was sent.
            (REPLIED_AT - 0.1, 2),
            # The start was sent to two incarnations, or by a former leader.
            (REPLIED_AT - 0.1, 0),
        ):
            attempt = self._attempt(
                start_arrives_until=REPLIED_AT + 2.0,
                ticket_received_at=REPLIED_AT - 0.5,
                meant_for=meant_for,
            )
            attempt.executor.alive_at = alive_at
            self.assertThat(self._bound(attempt), Equals(longest))

    def test_a_late_renewal_extends_what_a_start_got(self):
        attempt = self._attempt(start_arrives_until=REPLIED_AT + 1.0)
        attempt.executor.renewals_arrive_until = REPLIED_AT + 11.0
        self.assertThat(
            self._bound(attempt),
            Equals(REPLIED_AT + 11.0 + longest_lease_s(LIMITS)),
        )

    def test_renewals_for_a_former_incarnation_extend_the_lease(self):
        attempt = self._attempt(seen_in=1)
        attempt.executor.former_renewals_arrive_until = REPLIED_AT + 9.0
        self.assertThat(
            self._bound(attempt),
            Equals(REPLIED_AT + 9.0 + longest_lease_s(LIMITS)),
        )

    def test_an_executor_that_a_new_leader_has_never_heard(self):
        """A start of the former leader may still reach any incarnation."""
        for arrives_s in (2.0, 12.0):
            attempt = self._attempt(start_arrives_until=ELECTED_AT + arrives_s)
            attempt.executor.answered_incarnation = 0
            bound = self._bound(attempt)
            renewed_until = MAX_UNCONFIRMED_RENEWAL_S + 6.0 / MIN_CLOCK_RATE
            started_until = arrives_s + 10.0 / MIN_CLOCK_RATE
            self.assertThat(
                bound - ELECTED_AT,
                GreaterThan(max(renewed_until, started_until)),
            )
            self.assertThat(
                bound - ELECTED_AT,
                LessThan(max(renewed_until, started_until) + 1.0),
            )

    @given(
        late_s=st.floats(0.0, 12.0),
        rate=st.floats(MIN_CLOCK_RATE, 1.0),
        clock_s=st.floats(0.0, 1e6),
        limit_s=st.floats(1.0, 10.0),
    )
    @settings(deadline=None, derandomize=True)
    def test_no_run_of_a_start_without_an_answer_outlives_the_bound(
        self, late_s, rate, clock_s, limit_s
    ):
        """Whatever the clocks are, the new one grants its limit at most."""
        limits = attrs.evolve(LIMITS, max_lease_s=limit_s)
        attempt = self._attempt(clock_s=clock_s)
        attempt.start_arrives_until = latest_start_arrival(
            attempt.task.step.job_state.queue, limits, REPLIED_AT
        )
        lapses_at = REPLIED_AT + late_s + limit_s / rate
        bound = may_run_until(attempt, limits, ELECTED_AT)
        self.assertThat(bound, GreaterThan(lapses_at))


class TestLatestStartArrival(testtools.TestCase):
    """Guards against starts that arrive after they were given up."""

    def _queue(self, advised):
        state = add_job(Workload(), 1, Step(1))
        return attrs.evolve(state.queue, advised=advised)

    def test_without_a_ticket_it_is_the_longest_delay(self):
        got = latest_start_arrival(self._queue(None), LIMITS, 100.0)
        self.assertThat(got, Equals(112.0))

    def test_with_a_ticket_it_is_the_time_for_which_that_is_valid(self):
        queue = self._queue(AdviceTiming(0.1, 0.01, 2.0))
        got = latest_start_arrival(queue, LIMITS, 100.0)
        self.assertThat(got, Equals(102.0))
