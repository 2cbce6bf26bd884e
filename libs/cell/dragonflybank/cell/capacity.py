"""Capacity of executors, used by each attempt until it is known to be over."""

__all__ = [
    "accepts_new_work",
    "accepts_reserved",
    "count_attainable_tasks",
    "count_fitting_tasks",
    "fits_beside_lasting",
    "is_available",
    "release",
    "reserve",
    "time_to_room_s",
]

from dragonflybank.cell.calls_under_way import is_closed
from dragonflybank.cell.jobs import Step
from dragonflybank.cell.state import (
    Attempt,
    AttemptPhase,
    Executor,
    Task,
)


def reserve(
    executor: Executor,
    task: Task,
    number: int,
    *,
    phase: AttemptPhase,
    now: float,
) -> Attempt:
    """Adds an attempt to its executor and task and reserves its resources."""
    attempt = Attempt(task, number, executor, phase, now, advanced_at=now)
    attempt.service = executor.info.service
    executor.attempts[task.id, number] = attempt
    task.attempts.append(attempt)
    task.step.job_state.open_attempts[attempt] = None
    task.last_attempt = max(task.last_attempt, number)
    _change_usage(attempt, 1)
    return attempt


def release(attempt: Attempt) -> None:
    """Removes an attempt and frees its resources; repeated calls do nothing."""
    key = (attempt.task.id, attempt.number)
    if attempt.executor.attempts.pop(key, None) is None:
        return
    attempt.phase = AttemptPhase.OVER
    attempt.task.attempts.remove(attempt)
    attempt.task.step.job_state.open_attempts.pop(attempt, None)
    _change_usage(attempt, -1)


def count_fitting_tasks(executor: Executor, step: Step) -> int:
    """Returns how many tasks of a step fit into the free resources."""
    return _count_tasks(
        step,
        executor.free_millicores,
        executor.free_memory_mb,
        executor.free_accelerators,
    )


def count_attainable_tasks(executor: Executor, step: Step) -> int:
    """Returns how many tasks of a step fit once all others have ended.

    Lasting tasks do not end, so what they hold does not count.
    """
    count = _count_tasks(
        step,
        executor.attainable_millicores,
        executor.attainable_memory_mb,
        executor.attainable_accelerators,
    )
    return min(count, step.max_per_executor or count)


def time_to_room_s(
    executor: Executor, step: Step, count: int, now: float
) -> float:
    """Returns the expected time until some tasks of a step fit, in seconds.

    Args:
        executor: The executor.
        step: The step.
        count: Number of tasks that have to fit at the same time.
        now: Current time.

    Returns:
        0 if they fit now, infinity if they never will.
    """
    free = [
        executor.free_millicores,
        executor.free_memory_mb,
        executor.free_accelerators,
    ]
    ends = sorted(
        (
            (0.0 if attempt.is_ending else attempt.remaining_s(now), attempt)
            for attempt in executor.attempts.values()
        ),
        key=lambda end: end[0],
    )
    waited_s = 0.0
    for remaining_s, attempt in ends:
        if _count_tasks(step, *free) >= count:
            return waited_s
        waited_s = remaining_s
        spec = attempt.task.step.spec
        free[0] += 0 if spec.filling else spec.millicores
        free[1] += spec.memory_mb
        free[2] += spec.accelerators
    return waited_s if _count_tasks(step, *free) >= count else float("inf")


def fits_beside_lasting(executor: Executor, step: Step) -> bool:
    """Returns whether a task fits once all tasks with an end have ended."""
    info = executor.info
    cores = 0 if step.filling else step.millicores
    return (
        cores <= executor.attainable_millicores
        and step.memory_mb <= executor.attainable_memory_mb
        and step.accelerators <= executor.attainable_accelerators
        and (not step.label or step.label in info.labels)
    )


def accepts_new_work(executor: Executor, now: float) -> bool:
    """Returns whether new attempts may be started on an executor now."""
    return is_available(executor, now) and executor.quarantined_until <= now


def accepts_reserved(attempt: Attempt, now: float) -> bool:
    """Returns whether a reserved attempt may still be started.

    It may have been reserved during a quarantine, but not before one.
    """
    executor = attempt.executor
    return is_available(executor, now) and (
        attempt.began_at > executor.quarantined_at
    )


def is_available(executor: Executor, now: float) -> bool:
    """Returns whether nothing but a quarantine keeps work off an executor.

    The size of orphan attempts is not known, so nothing is added to an
    executor that lists one.
    """
    return (
        executor.claimed
        and executor.is_listed
        and not executor.info.draining
        and executor.silent_since is None
        and executor.suspension is None
        and executor.entry_incarnation >= executor.answered_incarnation
        and not is_closed(executor, now)
        and not executor.orphan_attempts
    )


def _count_tasks(
    step: Step, millicores: int, memory_mb: int, accelerators: int
) -> int:
    """Returns how many tasks of a step fit into an amount of resources."""
    counts = [
        free // need
        for need, free in (
            (0 if step.filling else step.millicores, millicores),
            (step.memory_mb, memory_mb),
            (step.accelerators, accelerators),
        )
        if need > 0
    ]
    return max(0, min(counts, default=step.count))


def _change_usage(attempt: Attempt, sign: int) -> None:
    executor, step = attempt.executor, attempt.task.step.spec
    state = attempt.task.step.job_state
    millicores = 0 if step.filling else sign * step.millicores
    memory_mb = sign * step.memory_mb
    accelerators = sign * step.accelerators
    executor.used_millicores += millicores
    executor.used_memory_mb += memory_mb
    executor.used_accelerators += accelerators
    if step.lasting:
        executor.lasting_millicores += millicores
        executor.lasting_memory_mb += memory_mb
        executor.lasting_accelerators += accelerators
    state.team_usage.change(state.job.team, step, sign, attempt.service)
