"""Executors that leave: what is moved off them, and when they are gone.

An executor that drains stays for a stated time at least, and ends all that
runs on it when it leaves. Work that cannot be done by then is stopped and
started elsewhere at once, rather than when the executor's lease is over.
"""

__all__ = ["has_left", "to_evacuate"]

from dragonflybank.cell.limits import CellLimits
from dragonflybank.cell.state import Attempt, AttemptPhase, Executor

# The platform drops the entry of a silent executor after this many heartbeats,
# whose interval is approximate. A watch may hear of a change a second late.
SILENT_HEARTBEATS = 3
HEARTBEAT_MARGIN = 0.75
# Executors often stay a little longer than they say, and run times are only
# estimated, so work without checkpoints is left to its luck for this long.
HOPE_S = 1.0


def to_evacuate(
    executor: Executor, limits: CellLimits, now: float
) -> list[Attempt]:
    """Returns the attempts to stop, so that they go on elsewhere.

    Services that allow only some of their tasks to be away are left alone.
    """
    if not executor.info.draining:
        return []
    left_s = executor.leaves_at - now
    return [
        attempt
        for attempt in executor.attempts.values()
        if attempt.phase is AttemptPhase.RUNNING
        and not attempt.task.step.spec.max_unavailable
        and attempt.remaining_s(now) > left_s + _patience_s(attempt, limits)
    ]


def has_left(executor: Executor, limits: CellLimits, now: float) -> bool:
    """Returns whether an executor whose entry was removed is gone for sure.

    An entry is removed when its executor has left, or after some heartbeat
    intervals of silence. A removal sooner than that after the executor wrote
    that it drains is no silence.
    """
    silence_s = (
        SILENT_HEARTBEATS * HEARTBEAT_MARGIN * limits.heartbeat_interval_s
    )
    return executor.info.draining and now - executor.drained_after < silence_s


def _patience_s(attempt: Attempt, limits: CellLimits) -> float:
    is_saved = attempt.task.step.spec.checkpoints
    return -limits.stop_grace_s if is_saved else HOPE_S
