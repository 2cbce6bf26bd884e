"""Tests of break windows."""

import datetime

import testtools
from testtools.matchers import Equals

from dragonflybank.config.breaks import (
    is_break_open,
    next_break_start,
)
from dragonflybank.config.operator import (
    BreakWindow,
    OperatorConfig,
)


def utc_timestamp(text: str) -> float:
    """Returns a time in UTC as seconds since 1970."""
    moment = datetime.datetime.fromisoformat(text)
    return moment.replace(tzinfo=datetime.UTC).timestamp()


def config_with_breaks(*windows: BreakWindow) -> OperatorConfig:
    return OperatorConfig(1, (), (), windows)


class TestBreaks(testtools.TestCase):
    """Guards against changes that are applied outside a break window."""

    def test_window_excludes_its_end_time(self):
        cfg = config_with_breaks(BreakWindow("10:00", "10:15"))
        found = [
            is_break_open(cfg, utc_timestamp(f"2026-12-04T{time}"))
            for time in ("09:59:59", "10:00:00", "10:14:59", "10:15:00")
        ]
        self.assertThat(found, Equals([False, True, True, False]))

    def test_window_over_midnight_counts_for_its_start_day(self):
        # 4 December 2026 is a Friday.
        cfg = config_with_breaks(BreakWindow("23:45", "00:15", ("fri",)))
        found = [
            is_break_open(cfg, utc_timestamp(f"2026-12-{time}"))
            for time in (
                "04T00:05:00",
                "04T23:50:00",
                "05T00:14:00",
                "05T23:50:00",
            )
        ]
        self.assertThat(found, Equals([False, True, True, False]))

    def test_next_break_starts_now_while_one_is_open(self):
        cfg = config_with_breaks(BreakWindow("10:00", "10:15"))
        now = utc_timestamp("2026-12-04T10:05:00")
        self.assertThat(next_break_start(cfg, now), Equals(now))

    def test_next_break_can_be_a_week_later(self):
        cfg = config_with_breaks(BreakWindow("10:00", "10:15", ("fri",)))
        found = next_break_start(cfg, utc_timestamp("2026-12-04T10:15:00"))
        self.assertThat(found, Equals(utc_timestamp("2026-12-11T10:00:00")))

    def test_without_windows_there_is_no_next_break(self):
        self.assertThat(
            next_break_start(config_with_breaks(), 0.0), Equals(None)
        )
