"""Tests that the policies beat their baselines on counted figures.

Each figure is counted in simulated time with a fixed seed.
"""

import statistics

import testtools
from testtools.matchers import Equals, GreaterThan, LessThan

from dragonflybank.bench import blocking, load_peak_simulation, packing
from dragonflybank.bench.deployment_models import TOOLING
from dragonflybank.bench.load_peak_simulation import Variant
from dragonflybank.policy.placement import (
    BestFitPolicy,
    FirstFitPolicy,
    RandomPolicy,
)


def in_use(policy):
    return statistics.mean(
        packing.in_use_at_refusal(TOOLING, policy, seed, ends=packing.ENDS)[0]
        for seed in range(8)
    )


class TestPacking(testtools.TestCase):
    """Guards against a best fit that packs no better than a baseline."""

    def test_best_fit_uses_more_than_first_fit_and_random(self):
        best = in_use(BestFitPolicy())
        self.assertThat(best, GreaterThan(in_use(FirstFitPolicy())))
        self.assertThat(best, GreaterThan(in_use(RandomPolicy(seed=1))))

    def test_no_packing_passes_the_limit_by_volume(self):
        used, offline, limit = packing.in_use_at_refusal(
            TOOLING, BestFitPolicy(), 5
        )
        self.assertThat(
            [used, offline, limit], Equals(sorted([used, offline, limit]))
        )


class TestBlocking(testtools.TestCase):
    """Guards against lookups that wait behind simulations."""

    def test_reserve_keeps_lookups_on_time(self):
        kept, none = (
            blocking.simulate(TOOLING, reserved, 0.25, duration_s=6.0)
            for reserved in (2, 0)
        )
        self.assertThat(kept.late_share, Equals(0.0))
        self.assertThat(none.late_share, GreaterThan(0.1))


class TestCrest(testtools.TestCase):
    """Guards against overload that outlasts the crest."""

    def test_admission_and_budget_beat_no_control(self):
        none, both = (
            load_peak_simulation.simulate(TOOLING, variant, 41)
            for variant in (Variant(), Variant(admission=True, budget=True))
        )
        self.assertThat(both.in_time, GreaterThan(2 * none.in_time))
        self.assertThat(both.in_time_after, GreaterThan(0.99))
        self.assertThat(none.in_time_after, LessThan(0.5))
        self.assertThat(both.attempts, LessThan(1.2))
