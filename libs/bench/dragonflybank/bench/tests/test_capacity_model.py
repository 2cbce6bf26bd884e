"""Tests of the slopes and of the models of the design size."""

import testtools

from dragonflybank.bench.capacity_model import _encoded_shard, _gossip_bytes
from dragonflybank.bench.control_slopes import fit_line
from dragonflybank.cluster.membership import MAX_ENTRIES_PER_MESSAGE
from dragonflybank.jobs.value import decode_shard


class SlopeTest(testtools.TestCase):
    """Guards against per-unit costs that include the fixed cost."""

    def test_fit_line_returns_slope_and_intercept(self):
        """The line through points without noise is found exactly."""
        per_unit, intercept = fit_line([(3.0, 11.0), (6.0, 17.0), (12.0, 29.0)])
        self.assertAlmostEqual(2.0, per_unit)
        self.assertAlmostEqual(5.0, intercept)


class ModelTest(testtools.TestCase):
    """Guards against models that omit part of the modelled data."""

    def test_modelled_shard_value_has_a_start_for_each_running_task(self):
        """Without them the modelled bytes per task are too few."""
        _, items = decode_shard(_encoded_shard(100))
        starts = sum(len(item.record.starts) for item in items)
        self.assertEqual(100, starts)

    def test_gossip_bytes_stop_growing_at_the_entry_limit(self):
        """A table larger than a message's entry limit adds no bytes."""
        few, full, many = (
            _gossip_bytes(n)
            for n in (
                6,
                2 * MAX_ENTRIES_PER_MESSAGE,
                4 * MAX_ENTRIES_PER_MESSAGE,
            )
        )
        self.assertLess(few, full)
        self.assertEqual(full, many)
