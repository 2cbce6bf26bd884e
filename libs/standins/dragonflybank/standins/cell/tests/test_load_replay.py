"""Replays of load peaks against the decisions of the cell."""

import testtools
from testtools.matchers import Equals, GreaterThan

from dragonflybank.standins.cell.load_replay import (
    LoadReplay,
    replay_load,
    summarise,
)

PEAK = (2.0, 7.0)


class TestPeak(testtools.TestCase):
    """Guards against urgent work that waits behind a peak of all classes.

    Calls for advice once waited in a queue with capacity reserved for each, so
    that lookups waited for seconds beside idle cores.
    """

    def test_lookups_stay_in_time_during_and_after_a_peak(self):
        outcomes = replay_load(
            LoadReplay(duration_s=10.0, peak=PEAK, peak_factor=2.4)
        )
        during = [o for o in outcomes if PEAK[0] <= o.sent_at < PEAK[1]]
        after = [o for o in outcomes if o.sent_at >= PEAK[1] + 2.0]
        # Lookups take a quarter of the cores and of the calls in the peak, so
        # all of them can be served.
        for found in (during, after):
            count, share = summarise(found)["lookup"]
            self.assertThat(count, GreaterThan(20))
            self.assertThat(share, GreaterThan(0.95))
        # Accepted work ends, however late it is.
        unfinished = [o for o in outcomes if o.took_s == float("inf")]
        self.assertThat(unfinished, Equals([]))
