"""Pace of filling tasks beside tasks that serve users of their own.

Filling tasks use what others leave idle, and disturb serving tasks by amounts
that change within seconds. An additive increase and a drop to nothing keep the
tail of the serving tasks below its target (AIMD; Chiu and Jain, 1989).
"""

__all__ = ["PaceRules", "next_percent"]

import attrs

from dragonflybank.cell.state import Attempt, AttemptPhase, Executor

# Shares of the target between which the pace is kept.
HARM_SHARE = 0.85
CALM_SHARE = 0.6
STEP_PERCENT = 20
# A change takes effect after 0.1 s and shows in a figure of half a second.
SETTLE_S = 0.7


@attrs.define
class PaceRules:
    """The present pace of filling tasks by executor.

    Attributes:
        percents: Pace in percent by executor.
        changed_at: Time of the last change by executor.
    """

    percents: dict[str, int] = attrs.field(factory=dict)
    changed_at: dict[str, float] = attrs.field(factory=dict)

    def decide(
        self, executor: Executor, now: float
    ) -> tuple[int, list[Attempt]]:
        """Returns the pace and the attempts that have to be told of it.

        Args:
            executor: An executor whose lists were just taken in.
            now: Present time in seconds.
        """
        running = [
            attempt
            for attempt in executor.attempts.values()
            if attempt.phase is AttemptPhase.RUNNING
        ]
        filling = [a for a in running if a.task.step.spec.filling]
        if not filling:
            self.percents.pop(executor.info.id, None)
            return 100, []
        pressure = max((_pressure(a) for a in running), default=0.0)
        percent = self.percents.get(executor.info.id, 100)
        if now - self.changed_at.get(executor.info.id, 0.0) >= SETTLE_S:
            wanted = next_percent(percent, pressure)
            if wanted != percent:
                self.changed_at[executor.info.id] = now
                self.percents[executor.info.id] = percent = wanted
        return percent, [a for a in filling if a.pace != percent]


def next_percent(percent: int, pressure: float) -> int:
    """Returns the next pace of filling tasks in percent.

    Args:
        percent: Present pace.
        pressure: Largest ratio of a serving task's tail to its target.

    Example:
        >>> next_percent(100, 0.9), next_percent(0, 0.5), next_percent(40, 0.7)
        (0, 20, 40)
    """
    if pressure > HARM_SHARE:
        return 0
    if pressure < CALM_SHARE:
        return min(100, percent + STEP_PERCENT)
    return percent


def _pressure(attempt: Attempt) -> float:
    target_s = attempt.task.step.spec.tail_target_s
    if target_s <= 0 or attempt.load < 0:
        return 0.0
    return attempt.load / 1000 / target_s
