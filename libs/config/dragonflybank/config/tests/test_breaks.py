"""Tests of break windows."""

import datetime

import testtools
from testtools.matchers import Equals

from dragonflybank.config.breaks import is_break_open, next_break
from dragonflybank.config.operator import BreakWindow, OperatorConfig


def at(text: str) -> float:
    """Seconds since 1970 of a time in UTC."""
    moment = datetime.datetime.fromisoformat(text)
    return moment.replace(tzinfo=datetime.UTC).timestamp()


def config(*windows: BreakWindow) -> OperatorConfig:
    return OperatorConfig(1, (), (), windows)


class TestBreaks(testtools.TestCase):
    """Guards against a change applied outside the break."""

    def test_end_is_not_part_of_the_window(self):
        cfg = config(BreakWindow("10:00", "10:15"))
        found = [
            is_break_open(cfg, at(f"2026-12-04T{time}"))
            for time in ("09:59:59", "10:00:00", "10:14:59", "10:15:00")
        ]
        self.assertThat(found, Equals([False, True, True, False]))

    def test_window_over_midnight_belongs_to_the_day_it_starts_on(self):
        # 4 December 2026 is a Friday.
        cfg = config(BreakWindow("23:45", "00:15", ("fri",)))
        found = [
            is_break_open(cfg, at(f"2026-12-{time}"))
            for time in (
                "04T00:05:00",
                "04T23:50:00",
                "05T00:14:00",
                "05T23:50:00",
            )
        ]
        self.assertThat(found, Equals([False, True, True, False]))

    def test_next_break_is_now_while_open(self):
        cfg = config(BreakWindow("10:00", "10:15"))
        now = at("2026-12-04T10:05:00")
        self.assertThat(next_break(cfg, now), Equals(now))

    def test_next_break_may_be_a_week_away(self):
        cfg = config(BreakWindow("10:00", "10:15", ("fri",)))
        found = next_break(cfg, at("2026-12-04T10:15:00"))
        self.assertThat(found, Equals(at("2026-12-11T10:00:00")))

    def test_no_window_no_next_break(self):
        self.assertThat(next_break(config(), 0.0), Equals(None))
