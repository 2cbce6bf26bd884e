"""The order in which waiting steps are placed.

Queues with a smaller priority number come first. Within a queue, steps that
can still meet their objective come before those that are late already, and
among these the one with the least slack comes first. Steps that are past
three times their objective earn nothing and come last.
"""

__all__ = [
    "LATE_FACTOR",
    "objective_at",
    "queue_objective_s",
    "remaining_s",
    "step_rank",
    "worthless_at",
]

import functools

from dragonflybank.cell.jobs import Job, Step, critical_path_s
from dragonflybank.cell.state import StepState

# Work that ends after three times its objective earns nothing.
LATE_FACTOR = 3.0


def step_rank(step: StepState, now: float) -> tuple:
    """Returns a sort key; steps with smaller keys are placed first.

    Args:
        step: A step that is ready.
        now: Present time, seconds since 1970.
    """
    queue = step.job.job.queue
    due = objective_at(step)
    ends_at = now + remaining_s(step.job.job.steps, step.number)
    late = 0 if ends_at <= due else 1 if ends_at <= worthless_at(step) else 2
    return (queue.priority, late, due if not late else -due, step.number)


def objective_at(step: StepState) -> float:
    """Returns the time by which its occurrence should be done."""
    job = step.job.job
    return job.due_at(step.occurrence) + queue_objective_s(job)


def worthless_at(step: StepState) -> float:
    """Returns the time after which its occurrence earns nothing."""
    job = step.job.job
    return job.due_at(step.occurrence) + LATE_FACTOR * queue_objective_s(job)


@functools.lru_cache(maxsize=4096)
def remaining_s(steps: tuple[Step, ...], number: int) -> float:
    """Returns the declared time of a step and the chain behind it."""
    behind = [
        remaining_s(steps, later)
        for later in range(number + 1, len(steps))
        if number in steps[later].after
    ]
    return steps[number].estimate_s + max(behind, default=0.0)


def queue_objective_s(job: Job) -> float:
    """Returns the time that a job may take by its queue, in seconds."""
    return job.queue.objective_s + job.queue.slack * critical_path_s(job.steps)
