"""Tests that the policies do better than their baselines.

The results come from simulated time with fixed seeds.
"""

import statistics

import testtools
from testtools.matchers import Equals, GreaterThan, LessThan

from dragonflybank.bench import blocking, load_peak_simulation, packing
from dragonflybank.bench.deployment_models import TOOLING
from dragonflybank.bench.load_peak_simulation import OverloadControls
from dragonflybank.policy.placement import (
    BestFitPolicy,
    FirstFitPolicy,
    RandomPolicy,
)


def mean_share_used(policy):
    return statistics.mean(
        packing.share_used_at_refusal(
            TOOLING, policy, seed, end_probability=packing.END_PROBABILITY
        )[0]
        for seed in range(8)
    )


class TestPacking(testtools.TestCase):
    """Guards against a best fit policy that packs no better than a baseline."""

    def test_best_fit_uses_more_than_first_fit_and_random(self):
        best = mean_share_used(BestFitPolicy())
        self.assertThat(best, GreaterThan(mean_share_used(FirstFitPolicy())))
        self.assertThat(
            best, GreaterThan(mean_share_used(RandomPolicy(seed=1)))
        )

    def test_no_packing_exceeds_the_limit_by_volume(self):
        used, offline, limit = packing.share_used_at_refusal(
            TOOLING, BestFitPolicy(), 5
        )
        self.assertThat(
            [used, offline, limit], Equals(sorted([used, offline, limit]))
        )


class TestBlocking(testtools.TestCase):
    """Guards against lookups that wait until long batch tasks end."""

    def test_lookups_start_in_time_with_reserved_slots_only(self):
        with_reserve, without_reserve = (
            blocking.simulate(TOOLING, reserved, 0.25, duration_s=6.0)
            for reserved in (2, 0)
        )
        self.assertThat(with_reserve.late_share, Equals(0.0))
        self.assertThat(without_reserve.late_share, GreaterThan(0.1))


class TestLoadPeak(testtools.TestCase):
    """Guards against overload that persists after the load peak.

    Retries of lookups that timed out keep the slots busy with requests that
    no caller waits for any more.
    """

    def test_admission_and_retry_budget_do_better_than_no_control(self):
        no_control, both = (
            load_peak_simulation.simulate(TOOLING, controls, 41)
            for controls in (
                OverloadControls(),
                OverloadControls(admission=True, retry_budget=True),
            )
        )
        self.assertThat(both.in_time, GreaterThan(2 * no_control.in_time))
        self.assertThat(both.in_time_after, GreaterThan(0.99))
        self.assertThat(no_control.in_time_after, LessThan(0.5))
        self.assertThat(both.attempts, LessThan(1.2))
