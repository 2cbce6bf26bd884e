"""Plays drawn schedules of overlapping faults."""

import testtools
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from testtools.matchers import Equals

from dragonflybank.standins.cell.schedules import (
    FAULTS,
    LAST_STRIKE_S,
    LENGTHS_S,
    MAX_STRIKES,
    Strike,
    play_schedule,
)

STRIKES = st.lists(
    st.builds(
        Strike,
        at=st.integers(0, int(10 * LAST_STRIKE_S)).map(lambda n: n / 10),
        fault=st.sampled_from(sorted(FAULTS)),
        target=st.integers(0, 99),
        for_s=st.sampled_from(LENGTHS_S),
    ),
    max_size=MAX_STRIKES,
)
# Schedules that broke a rule once, with the seed of their cell, by the cause.
FORMER = {
    "order_sent_again_after_its_attempt_was_given_up": (
        84,
        [Strike(3.4030567032750056, "executor_crashed", 62, 0.2)],
    ),
    "order_on_its_way_to_an_executor_that_starts_anew": (
        609,
        [
            Strike(1.1902201947959004, "host_cut_from_store", 38, 2.5),
            Strike(2.8007855360357237, "executor_leaves", 39, 0.2),
            Strike(5.75270536778547, "orders_late", 58, 1.0),
            Strike(6.766716627120871, "executor_crashed", 22, 1.0),
            Strike(11.058091533928232, "executor_cut", 60, 5.0),
            Strike(11.889728661050484, "executor_crashed", 71, 2.5),
        ],
    ),
    "order_answered_by_a_life_that_is_not_known_yet": (
        2018,
        [
            Strike(0.9477289392959798, "executor_leaves", 28, 1.0),
            Strike(1.4452245027815764, "store_silent", 70, 1.0),
            Strike(1.5290518129786403, "host_turned_away", 80, 2.5),
            Strike(2.824547860170732, "executor_crashed", 8, 5.0),
            Strike(7.659723805921226, "executor_crashed", 58, 0.2),
        ],
    ),
    "stop_of_an_attempt_whose_executor_has_left_its_address": (
        117,
        [
            Strike(2.176903292334298, "executor_replaced", 51, 1.0),
            Strike(6.702586627601672, "executor_failing", 91, 2.5),
        ],
    ),
}


class TestSchedules(testtools.TestCase):
    """Guards against faults whose overlap breaks a rule."""

    @settings(
        max_examples=25,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(seed=st.integers(0, 9999), strikes=STRIKES)
    def test_no_schedule_breaks_a_rule(self, seed, strikes):
        found = play_schedule(seed, strikes)
        self.assertThat("\n".join(found), Equals(""))


def _test_of(seed: int, strikes: list[Strike]):
    def test(self):
        found = play_schedule(seed, strikes)
        self.assertThat("\n".join(found), Equals(""))

    return test


for name, (cell_seed, schedule) in FORMER.items():
    setattr(TestSchedules, f"test_{name}", _test_of(cell_seed, schedule))
