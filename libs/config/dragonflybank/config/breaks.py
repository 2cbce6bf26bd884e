"""Break windows: when changes of the configuration may be applied."""

__all__ = ["is_break_open", "next_break"]

import math

from dragonflybank.config.operator import WEEKDAYS, BreakWindow, OperatorConfig

DAY_S = 86_400
# 1 January 1970 was a Thursday.
_WEEKDAY_OF_DAY_0 = 3


def is_break_open(cfg: OperatorConfig, now: float) -> bool:
    """Returns whether a break window is open.

    Args:
        cfg: The configuration in force.
        now: Seconds since 1970.
    """
    return any(_is_open(window, now) for window in cfg.breaks)


def next_break(cfg: OperatorConfig, now: float) -> float | None:
    """Returns when a break is open next, in seconds since 1970.

    Returns:
        ``now`` if a break is open, None if there is no break window.
    """
    if is_break_open(cfg, now):
        return now
    today = math.floor(now / DAY_S)
    starts = (
        day * DAY_S + _seconds(window.start)
        for window in cfg.breaks
        for day in range(today, today + 8)
        if _starts_on(window, day)
    )
    return min((start for start in starts if start > now), default=None)


def _is_open(window: BreakWindow, now: float) -> bool:
    # A window over midnight that started yesterday may still be open.
    today = math.floor(now / DAY_S)
    return any(
        start <= now < start + _length_s(window)
        for start, day in (
            (day * DAY_S + _seconds(window.start), day)
            for day in (today - 1, today)
        )
        if _starts_on(window, day)
    )


def _starts_on(window: BreakWindow, day: int) -> bool:
    weekday = WEEKDAYS[(day + _WEEKDAY_OF_DAY_0) % len(WEEKDAYS)]
    return not window.days or weekday in window.days


def _length_s(window: BreakWindow) -> int:
    return (_seconds(window.end) - _seconds(window.start)) % DAY_S


def _seconds(time_of_day: str) -> int:
    hours, minutes = time_of_day.split(":")
    return int(hours) * 3600 + int(minutes) * 60
