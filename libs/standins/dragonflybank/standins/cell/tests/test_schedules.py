"""Tests of random schedules of overlapping faults."""

import testtools
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from testtools.matchers import Equals

from dragonflybank.standins.cell.cell_faults import FAULTS, ScheduledFault
from dragonflybank.standins.cell.schedules import (
    DURATIONS_S,
    LAST_START_S,
    MAX_FAULTS,
    draw_outages,
    draw_restart_series,
    play_schedule,
)

# With derandomize=True, hypothesis seeds its draws with the source of the test
# function. A new name in `test_no_schedule_breaks_a_rule`, such as another one
# for `play_schedule`, would run other schedules.
STRIKES = st.lists(
    st.builds(
        ScheduledFault,
        start_s=st.integers(0, int(10 * LAST_START_S)).map(lambda n: n / 10),
        fault=st.sampled_from(sorted(FAULTS)),
        target=st.integers(0, 99),
        duration_s=st.sampled_from(DURATIONS_S),
    ),
    max_size=MAX_FAULTS,
)
# The last ones once dropped an end that nobody had read: a start and an
# acknowledgement without answers reached an incarnation that wasn't known. In
# 586 the acknowledgement was sent first, in the others the start.
RESTART_SERIES_SEEDS = (1, 2, 3, 4, 172, 185, 370, 425, 586)
# On 561a797 a host called a job ended in each of these before that was stored.
OUTAGE_SEEDS = (2, 4, 6, 10, 13, 17)
# Schedules that once violated a rule, with the seed of their cell, by the
# cause of the violation.
REGRESSIONS = {
    "start_command_resent_after_its_attempt_was_given_up": (
        84,
        [ScheduledFault(3.4030567032750056, "executor_crashed", 62, 0.2)],
    ),
    "start_command_in_transit_to_an_executor_that_restarts": (
        609,
        [
            ScheduledFault(1.1902201947959004, "host_cut_from_store", 38, 2.5),
            ScheduledFault(2.8007855360357237, "executor_leaves", 39, 0.2),
            ScheduledFault(5.75270536778547, "orders_late", 58, 1.0),
            ScheduledFault(6.766716627120871, "executor_crashed", 22, 1.0),
            ScheduledFault(11.058091533928232, "executor_cut", 60, 5.0),
            ScheduledFault(11.889728661050484, "executor_crashed", 71, 2.5),
        ],
    ),
    "start_command_answered_by_an_incarnation_not_known_yet": (
        2018,
        [
            ScheduledFault(0.9477289392959798, "executor_leaves", 28, 1.0),
            ScheduledFault(1.4452245027815764, "store_silent", 70, 1.0),
            ScheduledFault(1.5290518129786403, "host_turned_away", 80, 2.5),
            ScheduledFault(2.824547860170732, "executor_crashed", 8, 5.0),
            ScheduledFault(7.659723805921226, "executor_crashed", 58, 0.2),
        ],
    ),
    # The cause was in the stand-in: a process that had ended carried it out.
    "start_command_in_transit_to_an_executor_that_was_replaced": (
        173,
        [
            ScheduledFault(5.84556767361677, "orders_late", 76, 2.5),
            ScheduledFault(10.661665397549491, "executor_replaced", 52, 0.2),
            ScheduledFault(4.186065825594045, "answers_lost", 19, 5.0),
        ],
    ),
    "stop_of_an_attempt_whose_executor_was_replaced_at_its_address": (
        117,
        [
            ScheduledFault(2.176903292334298, "executor_replaced", 51, 1.0),
            ScheduledFault(6.702586627601672, "executor_failing", 91, 2.5),
        ],
    ),
}


class TestSchedules(testtools.TestCase):
    """Guards against overlapping faults that violate a rule of `checks`."""

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


class TestRestartSeries(testtools.TestCase):
    """Guards against tasks that run twice beside restarts (issue 36)."""


class TestOutages(testtools.TestCase):
    """Guards against ends that are answered before they are stored."""


def _make_test(seed: int, schedule: list[ScheduledFault]):
    def test(self):
        found = play_schedule(seed, schedule)
        self.assertThat("\n".join(found), Equals(""))

    return test


for name, (cell_seed, schedule) in REGRESSIONS.items():
    setattr(TestSchedules, f"test_{name}", _make_test(cell_seed, schedule))

for seed in RESTART_SERIES_SEEDS:
    setattr(
        TestRestartSeries,
        f"test_seed__{seed}",
        _make_test(seed, draw_restart_series(seed)),
    )

for seed in OUTAGE_SEEDS:
    setattr(
        TestOutages,
        f"test_seed__{seed}",
        _make_test(seed, draw_outages(seed)),
    )
