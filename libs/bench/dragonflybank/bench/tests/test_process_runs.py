"""Tests of the sizes and the load of process runs."""

import random

import attrs
import testtools

from dragonflybank.bench.process_runs import (
    FOLDERS,
    Phase,
    _arrivals,
    percentile_s,
    with_size,
)
from dragonflybank.bench.usage import Counts, spent_between
from dragonflybank.config.topology import load_topology


class WithSizeTest(testtools.TestCase):
    """Guards against runs whose size is not the one that is reported."""

    def test_spreads_evenly_with_unique_names(self):
        """Each region gets its share and no name is used twice."""
        topology = load_topology(FOLDERS[0] / "topology.json").unwrap()
        sized = with_size(topology, 12, 96)
        for rows, count in ((sized.hosts, 12), (sized.workers, 96)):
            self.assertEqual(count, len({row.name for row in rows}))
            for region in topology.regions:
                found = sum(1 for row in rows if row.region == region)
                self.assertEqual(count // 3, found)


class ArrivalsTest(testtools.TestCase):
    """Guards against a crest that does not have the rate it claims."""

    def test_rates(self):
        """Each phase has about its rate and its own time."""
        phases = (Phase(50.0, 10.0), Phase(500.0, 10.0))
        found = list(_arrivals(phases, random.Random(1)))
        counts = [sum(1 for n, _ in found if n == k) for k in (0, 1)]
        self.assertTrue(430 < counts[0] < 570, counts)
        self.assertTrue(4800 < counts[1] < 5200, counts)
        self.assertTrue(all((at >= 10.0) == bool(n) for n, at in found))


class PercentileTest(testtools.TestCase):
    """Guards against percentiles in another unit."""

    def test_seconds(self):
        """The values are seconds, to three digits."""
        times = [n / 1000 for n in range(1, 1001)]
        self.assertAlmostEqual(0.5, percentile_s(times, 50.0), places=2)
        self.assertAlmostEqual(0.99, percentile_s(times, 99.0), places=2)
        self.assertEqual(0.0, percentile_s([], 99.0))


class SpentTest(testtools.TestCase):
    """Guards against rates for the wrong number of hosts or seconds."""

    def test_rates_for_each_node(self):
        """Sums are divided by seconds and by hosts or workers."""
        before = Counts(
            at=0.0,
            store={"get": 10},
            watches=4,
            workers={"renew": 5},
            http_bytes={"store": 0, "workers": 0},
            processor_s={"a": 1.0, "b": 1.0},
            memory={"a": 10, "b": 30},
            peer_sent={"between_regions": 100.0},
            peer_bytes={"a": 0.0, "b": 0.0},
        )
        after = attrs.evolve(
            before,
            at=10.0,
            store={"get": 30, "watch": 10},
            workers={"renew": 45},
            http_bytes={"store": 200, "workers": 400},
            processor_s={"a": 2.0, "b": 4.0},
            peer_sent={"between_regions": 600.0},
            peer_bytes={"a": 1000.0, "b": 3000.0},
        )
        spent = spent_between(before, after, workers=4)
        self.assertEqual({"get": 2.0, "watch": 1.0}, spent.store)
        self.assertEqual(1.0, spent.worker_calls)
        self.assertEqual(10.0, spent.worker_bytes)
        self.assertEqual((0.2, 0.3), (spent.processor, spent.processor_most))
        self.assertEqual((20, 30), (spent.memory, spent.memory_most))
        self.assertEqual(200.0, spent.peer_bytes)
        self.assertEqual(230.0, spent.control_bytes)
        self.assertEqual(50.0, spent.between_bytes)
