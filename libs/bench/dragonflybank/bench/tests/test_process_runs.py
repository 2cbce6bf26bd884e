"""Tests of process runs: their size, their load and their usage rates."""

import random

import attrs
import testtools

from dragonflybank.bench.process_runs import (
    DEPLOYMENT_FOLDERS,
    LoadPhase,
    _poisson_arrivals,
    percentile_s,
    resize_topology,
)
from dragonflybank.bench.usage import UsageCounters, rates_between
from dragonflybank.config.topology import load_topology


class WithSizeTest(testtools.TestCase):
    """Guards against runs of another size than the reported one."""

    def test_regions_get_equal_shares_with_unique_names(self):
        """Each region gets an equal share and no name is used twice."""
        topology = load_topology(
            DEPLOYMENT_FOLDERS[0] / "topology.json"
        ).unwrap()
        sized = resize_topology(topology, 12, 96)
        for rows, count in ((sized.hosts, 12), (sized.workers, 96)):
            self.assertEqual(count, len({row.name for row in rows}))
            for region in topology.regions:
                found = sum(1 for row in rows if row.region == region)
                self.assertEqual(count // 3, found)


class ArrivalsTest(testtools.TestCase):
    """Guards against a load peak with another rate than the stated one."""

    def test_each_phase_has_its_rate_and_its_interval(self):
        """Arrivals match the rate of a phase and fall within its interval."""
        phases = (LoadPhase(50.0, 10.0), LoadPhase(500.0, 10.0))
        found = list(_poisson_arrivals(phases, random.Random(1)))
        counts = [sum(1 for n, _ in found if n == k) for k in (0, 1)]
        self.assertTrue(430 < counts[0] < 570, counts)
        self.assertTrue(4800 < counts[1] < 5200, counts)
        self.assertTrue(all((at >= 10.0) == bool(n) for n, at in found))


class PercentileTest(testtools.TestCase):
    """Guards against percentiles in another unit than seconds."""

    def test_percentiles_are_in_seconds(self):
        """The values are seconds, precise to three digits."""
        times = [n / 1000 for n in range(1, 1001)]
        self.assertAlmostEqual(0.5, percentile_s(times, 50.0), places=2)
        self.assertAlmostEqual(0.99, percentile_s(times, 99.0), places=2)
        self.assertEqual(0.0, percentile_s([], 99.0))


class RatesTest(testtools.TestCase):
    """Guards against rates for the wrong number of hosts or seconds."""

    def test_sums_are_divided_by_duration_and_by_nodes(self):
        """Sums are divided by the duration and by hosts or workers."""
        before = UsageCounters(
            read_at=0.0,
            store_calls={"get": 10},
            waiting_watches=4,
            worker_calls={"renew": 5},
            http_bytes={"store": 0, "workers": 0},
            processor_s={"a": 1.0, "b": 1.0},
            memory_bytes={"a": 10, "b": 30},
            peer_bytes_sent={"between_regions": 100.0},
            peer_bytes={"a": 0.0, "b": 0.0},
        )
        after = attrs.evolve(
            before,
            read_at=10.0,
            store_calls={"get": 30, "watch": 10},
            worker_calls={"renew": 45},
            http_bytes={"store": 200, "workers": 400},
            processor_s={"a": 2.0, "b": 4.0},
            peer_bytes_sent={"between_regions": 600.0},
            peer_bytes={"a": 1000.0, "b": 3000.0},
        )
        rates = rates_between(before, after, workers=4)
        self.assertEqual({"get": 2.0, "watch": 1.0}, rates.store_calls_per_s)
        self.assertEqual(1.0, rates.worker_calls_per_s)
        self.assertEqual(10.0, rates.worker_bytes_per_s)
        self.assertEqual(
            (0.2, 0.3), (rates.mean_host_cores, rates.max_host_cores)
        )
        self.assertEqual(
            (20, 30), (rates.mean_memory_bytes, rates.max_memory_bytes)
        )
        self.assertEqual(200.0, rates.peer_bytes_per_s)
        self.assertEqual(230.0, rates.control_bytes_per_s)
        self.assertEqual(50.0, rates.inter_region_bytes_per_s)
