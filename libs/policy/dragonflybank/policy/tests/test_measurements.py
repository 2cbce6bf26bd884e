"""Tests of estimated sizes, run times and sliding windows."""

import testtools
from testtools.matchers import Equals, Is, LessThan

from dragonflybank.model.codes import Code
from dragonflybank.model.resources import Resources, fits
from dragonflybank.model.work import WorkClass
from dragonflybank.policy import sizes, stragglers, windows

WORKER = Resources(cores=32, memory_mb=65536, slots=8, connections=64)
DECLARED = Resources(cores=2, memory_mb=1024, slots=1, connections=1)


class TestSizeEstimator(testtools.TestCase):
    """Guards against grants that follow wrong declared sizes."""

    def setUp(self):
        super().setUp()
        self.estimator = sizes.SizeEstimator()

    def test_estimated_size_replaces_a_declared_one_that_is_too_small(self):
        for memory_mb in range(1, 101):
            peak = Resources(cores=1, memory_mb=100 * memory_mb)
            self.estimator.add("simulation", peak)
        grant = self.estimator.grant("simulation", DECLARED, [WORKER]).unwrap()
        self.assertThat(grant.memory_mb, Equals(1.2 * 9500))
        self.assertThat(grant.cores, Equals(2))

    def test_few_measurements_do_not_change_the_grant(self):
        peak = Resources(cores=30, memory_mb=60000)
        for _ in range(sizes.MIN_MEASUREMENTS - 1):
            self.estimator.add("simulation", peak)
        grant = self.estimator.grant("simulation", DECLARED, [WORKER])
        self.assertThat(grant.unwrap(), Equals(DECLARED))

    def test_estimated_size_never_exceeds_the_largest_worker(self):
        for _ in range(100):
            self.estimator.add("simulation", Resources(500, 10**9))
        grant = self.estimator.grant("simulation", DECLARED, [WORKER]).unwrap()
        self.assertTrue(fits(grant, WORKER))

    def test_doubled_grant_ends_with_size_exceeded_at_the_largest_worker(self):
        codes, factor = [], 1.0
        for _ in range(20):
            outcome = self.estimator.grant(
                "simulation", DECLARED, [WORKER], factor=factor
            )
            codes += [outcome.map(lambda grant: Code.OK).value_or(None)]
            factor *= 2
        # 1 GiB doubled six times is the worker's 64 GiB.
        self.assertThat(codes.count(Code.OK), Equals(7))
        self.assertThat(outcome.failure().code, Is(Code.SIZE_EXCEEDED))

    def test_declared_size_beyond_every_worker_can_never_run(self):
        outcome = self.estimator.grant("sweep", Resources(cores=33), [WORKER])
        self.assertThat(outcome.failure().code, Is(Code.CAN_NEVER_RUN))


class TestRunTimes(testtools.TestCase):
    """Guards against long tasks that are classified as short."""

    def setUp(self):
        super().setUp()
        self.times = stragglers.RunTimes()
        self.lookup = WorkClass("die_lookup", expected_s=60.0)
        for _ in range(100):
            self.times.add("die_lookup", 0.1)

    def test_measured_run_time_replaces_the_declared_one(self):
        self.assertFalse(self.times.is_long(self.lookup))
        other = WorkClass("simulation", expected_s=60.0)
        self.assertTrue(self.times.is_long(other))

    def test_straggler_counts_as_long_while_it_runs(self):
        self.assertFalse(self.times.is_long(self.lookup, age_s=0.39))
        self.assertTrue(self.times.is_long(self.lookup, age_s=0.41))

    def test_few_stragglers_do_not_make_their_class_long(self):
        for _ in range(4):
            self.times.add("die_lookup", 600.0)
        self.assertFalse(self.times.is_long(self.lookup))
        self.assertTrue(self.times.is_straggler(self.lookup, 1.0))


class TestSlidingWindow(testtools.TestCase):
    """Guards against windows that grow or keep outdated measurements."""

    def test_old_measurements_are_dropped(self):
        window = windows.SlidingWindow(length=10)
        for value in [1000.0] * 10 + [1.0] * 10:
            window.add(value)
        self.assertThat(len(window), Equals(10))
        self.assertThat(window.quantile(1.0), LessThan(2.0))
