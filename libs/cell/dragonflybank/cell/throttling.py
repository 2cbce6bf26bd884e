"""Throttling of filling tasks beside tasks that serve requests.

Filling tasks use CPU cores that others leave idle, and slow serving tasks down
to an extent that changes within seconds. An additive increase of their speed,
and a drop to zero, keep the tail latency of the serving tasks below its target
(AIMD; Chiu and Jain, 1989).
"""

__all__ = ["ThrottleController", "next_speed_percent"]

import attrs

from dragonflybank.cell.state import Attempt, AttemptPhase, Executor

# Ratios of tail latency to its target between which the speed is not changed.
HIGH_PRESSURE = 0.85
LOW_PRESSURE = 0.6
INCREASE_PERCENT = 20
# After a change, load figures do not show its full effect for 0.6 s: it takes
# effect after 0.1 s, and the figures cover half a second.
CHANGE_INTERVAL_S = 0.7


@attrs.define
class ThrottleController:
    """Controls the speed of filling tasks on each executor.

    Attributes:
        percent_by_executor: Current speed limit in percent by executor.
        changed_at: Time of the last change by executor.
    """

    percent_by_executor: dict[str, int] = attrs.field(factory=dict)
    changed_at: dict[str, float] = attrs.field(factory=dict)

    def update(
        self, executor: Executor, now: float
    ) -> tuple[int, list[Attempt]]:
        """Returns the speed limit in percent, and the attempts to send it to.

        Args:
            executor: An executor whose lists were just processed.
            now: Current time in seconds.
        """
        running = [
            attempt
            for attempt in executor.attempts.values()
            if attempt.phase is AttemptPhase.RUNNING
        ]
        filling = [a for a in running if a.task.step.spec.filling]
        if not filling:
            self.percent_by_executor.pop(executor.info.id, None)
            return 100, []
        pressure = max((_pressure(a) for a in running), default=0.0)
        percent = self.percent_by_executor.get(executor.info.id, 100)
        if (
            now - self.changed_at.get(executor.info.id, 0.0)
            >= CHANGE_INTERVAL_S
        ):
            wanted = next_speed_percent(percent, pressure)
            if wanted != percent:
                self.changed_at[executor.info.id] = now
                self.percent_by_executor[executor.info.id] = percent = wanted
        return percent, [a for a in filling if a.speed_percent != percent]


def next_speed_percent(percent: int, pressure: float) -> int:
    """Returns the next speed limit of filling tasks in percent.

    Args:
        percent: Current speed limit.
        pressure: Highest ratio of a serving task's tail latency to its target.

    Example:
        >>> (next_speed_percent(100, 0.9), next_speed_percent(0, 0.5),
        ...  next_speed_percent(40, 0.7))
        (0, 20, 40)
    """
    if pressure > HIGH_PRESSURE:
        return 0
    if pressure < LOW_PRESSURE:
        return min(100, percent + INCREASE_PERCENT)
    return percent


def _pressure(attempt: Attempt) -> float:
    target_s = attempt.task.step.spec.tail_target_s
    if target_s <= 0 or attempt.load < 0:
        return 0.0
    return attempt.load / 1000 / target_s
