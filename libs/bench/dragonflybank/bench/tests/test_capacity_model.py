"""Tests of the slopes and the models of the size to design for."""

import testtools

from dragonflybank.bench.capacity_model import _gossip_bytes, _value
from dragonflybank.bench.control_slopes import slope
from dragonflybank.cluster.membership import MAX_ENTRIES_PER_MESSAGE
from dragonflybank.jobs.value import decode_shard


class SlopeTest(testtools.TestCase):
    """Guards against per-unit costs that hide the fixed cost."""

    def test_slope_and_intercept(self):
        """A line through exact points is found again."""
        per_unit, start = slope([(3.0, 11.0), (6.0, 17.0), (12.0, 29.0)])
        self.assertAlmostEqual(2.0, per_unit)
        self.assertAlmostEqual(5.0, start)


class ModelTest(testtools.TestCase):
    """Guards against models that do not hold what they claim."""

    def test_journal_holds_all_starts(self):
        """The modelled value has a start for each running task."""
        _, items = decode_shard(_value(100))
        starts = sum(len(item.record.starts) for item in items)
        self.assertEqual(100, starts)

    def test_gossip_stops_growing_at_its_limit(self):
        """A table beyond the entries of a message costs no more."""
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
