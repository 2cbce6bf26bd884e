"""Break windows, the times when configuration changes may be applied."""

__all__ = ["is_break_open", "next_break_start"]

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


def next_break_start(cfg: OperatorConfig, now: float) -> float | None:
    """Returns the start of the next open break in seconds since 1970.

    Returns:
        ``now`` if a break is open; None if no break window is configured.
    """
    if is_break_open(cfg, now):
        return now
    today = math.floor(now / DAY_S)
    starts = (
        day * DAY_S + _seconds_since_midnight(window.start)
        for window in cfg.breaks
        for day in range(today, today + 8)
        if _starts_on(window, day)
    )
    return min((start for start in starts if start > now), default=None)


def _is_open(window: BreakWindow, now: float) -> bool:
    # A window that spans midnight may have started yesterday.
    today = math.floor(now / DAY_S)
    return any(
        start <= now < start + _duration_s(window)
        for start, day in (
            (day * DAY_S + _seconds_since_midnight(window.start), day)
            for day in (today - 1, today)
        )
        if _starts_on(window, day)
    )


def _starts_on(window: BreakWindow, day: int) -> bool:
    weekday = WEEKDAYS[(day + _WEEKDAY_OF_DAY_0) % len(WEEKDAYS)]
    return not window.days or weekday in window.days


def _duration_s(window: BreakWindow) -> int:
    return (
        _seconds_since_midnight(window.end)
        - _seconds_since_midnight(window.start)
    ) % DAY_S


def _seconds_since_midnight(time_of_day: str) -> int:
    hours, minutes = time_of_day.split(":")
    return int(hours) * 3600 + int(minutes) * 60
