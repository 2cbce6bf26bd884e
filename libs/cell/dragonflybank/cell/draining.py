"""Draining executors: what to move off them, and when they are gone.

A draining executor stays for at least an announced time, and ends everything
that runs on it when it leaves. Tasks that cannot finish by then are stopped and
started elsewhere at once, instead of after the executor's lease has expired.
"""

__all__ = ["attempts_to_evacuate", "has_left"]

from dragonflybank.cell.limits import CellLimits
from dragonflybank.cell.state import Attempt, AttemptPhase, Executor

# The platform removes the entry of a silent executor after this many heartbeat
# intervals. Their length is approximate, and a watch may deliver a change a
# second late.
MISSED_HEARTBEATS = 3
MIN_HEARTBEAT_FACTOR = 0.75
# Executors often stay a little longer than announced, and run times are only
# estimates. A task without checkpoints, which would lose all its work, is
# therefore stopped only if it would finish later than this after the executor
# leaves.
UNSAVED_WORK_MARGIN_S = 1.0


def attempts_to_evacuate(
    executor: Executor, limits: CellLimits, now: float
) -> list[Attempt]:
    """Returns the attempts to stop, so that they continue elsewhere.

    Tasks of steps that limit ``max_unavailable`` are not stopped.
    """
    if not executor.info.draining:
        return []
    left_s = executor.leaves_at - now
    return [
        attempt
        for attempt in executor.attempts.values()
        if attempt.phase is AttemptPhase.RUNNING
        and not attempt.task.step.spec.max_unavailable
        and attempt.remaining_s(now)
        > left_s + _evacuation_margin_s(attempt, limits)
    ]


def has_left(executor: Executor, limits: CellLimits, now: float) -> bool:
    """Returns whether an executor whose entry was removed has left for certain.

    An entry is removed when its executor leaves, or after some heartbeat
    intervals of silence. If the executor wrote that it drains more recently
    than that, silence cannot be the cause.
    """
    silence_s = (
        MISSED_HEARTBEATS * MIN_HEARTBEAT_FACTOR * limits.heartbeat_interval_s
    )
    return (
        executor.info.draining
        and now - executor.drain_written_after < silence_s
    )


def _evacuation_margin_s(attempt: Attempt, limits: CellLimits) -> float:
    has_checkpoints = attempt.task.step.spec.checkpoints
    return -limits.stop_grace_s if has_checkpoints else UNSAVED_WORK_MARGIN_S
