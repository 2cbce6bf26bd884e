"""Work that has no other place than a quarantined executor.

A quarantine keeps work away from an executor that fails all it starts, as long
as the work can run elsewhere. A step that waits too long in a mostly idle
service and has no other executor uses a quarantined one; the quarantine ends
with the first success. A step that has failed there is only tried while nothing
else runs there, so that it doesn't use up its attempts at once.
"""

__all__ = ["TRIAL_DELAY_S", "quarantined_executors", "trial_executors"]

from collections.abc import Iterable, Mapping

from dragonflybank.cell.capacity import accepts_new_work, is_available
from dragonflybank.cell.placement import has_attainable_room
from dragonflybank.cell.state import Executor, StepState

# Time from a quarantine to the first trial. A job may not wait for 3 s with
# nothing running; the rest is for advice and the start.
TRIAL_DELAY_S = 1.5


def quarantined_executors(
    executors: Iterable[Executor], now: float
) -> dict[str, dict[str, Executor]]:
    """Returns the executors that only a quarantine keeps from new work.

    Returns:
        Executors by service and identifier.
    """
    found: dict[str, dict[str, Executor]] = {}
    for executor in executors:
        if is_available(executor, now) and not accepts_new_work(executor, now):
            found.setdefault(executor.info.service, {})[executor.info.id] = (
                executor
            )
    return found


def trial_executors(
    step: StepState,
    accepting: Mapping[str, Executor],
    quarantined: Mapping[str, Executor],
    now: float,
) -> dict[str, Executor]:
    """Returns the quarantined executors that a step may use, by identifier.

    Args:
        step: A step that waits too long.
        accepting: Executors of its service that accept new work.
        quarantined: Executors of its service that are quarantined.
        now: Current time.
    """
    waiting = step.waiting_tasks()
    others = [
        executor
        for name, executor in accepting.items()
        if name not in step.advice_by_executor
        or step.advice_by_executor[name].ticket
    ]
    if has_attainable_room(step, len(waiting), others):
        return {}
    failed_on = set().union(*(t.avoided_executors for t in waiting))
    return {
        name: executor
        for name, executor in quarantined.items()
        if now - executor.quarantined_at >= TRIAL_DELAY_S
        and (name not in failed_on or not executor.attempts)
    }
