"""The order in which waiting steps are placed.

Queues with a smaller priority number come first. Within a queue, steps that can
still meet their objective come first, then late steps, and last those that will
end after three times their objective, when their result is no longer needed.
Steps that can meet it are sorted by earliest deadline, late steps by latest
deadline.
"""

__all__ = [
    "HARD_DEADLINE_FACTOR",
    "hard_deadline",
    "job_objective_s",
    "objective_deadline",
    "remaining_path_s",
    "step_rank",
]

import functools

from dragonflybank.cell.jobs import Job, Step, critical_path_s
from dragonflybank.cell.state import StepState

# A result that comes later than this multiple of the objective has no value.
HARD_DEADLINE_FACTOR = 3.0


def step_rank(step: StepState, now: float) -> tuple:
    """Returns a sort key; steps with smaller keys are placed first.

    Args:
        step: A ready step.
        now: Current time, seconds since 1970.
    """
    queue = step.job_state.job.queue
    due = objective_deadline(step)
    ends_at = now + remaining_path_s(step.job_state.job.steps, step.number)
    late = 0 if ends_at <= due else 1 if ends_at <= hard_deadline(step) else 2
    return (queue.priority, late, due if not late else -due, step.number)


def objective_deadline(step: StepState) -> float:
    """Returns the time by which the step's occurrence should be done."""
    job = step.job_state.job
    return job.due_at(step.occurrence) + job_objective_s(job)


def hard_deadline(step: StepState) -> float:
    """Returns the time after which the occurrence's result has no value."""
    job = step.job_state.job
    return job.due_at(step.occurrence) + HARD_DEADLINE_FACTOR * job_objective_s(
        job
    )


@functools.lru_cache(maxsize=4096)
def remaining_path_s(steps: tuple[Step, ...], number: int) -> float:
    """Returns the declared time from a step to the end of the job, in seconds.

    This is the critical path of the step and those that depend on it.
    """
    dependents_s = [
        remaining_path_s(steps, later)
        for later in range(number + 1, len(steps))
        if number in steps[later].after
    ]
    return steps[number].estimate_s + max(dependents_s, default=0.0)


def job_objective_s(job: Job) -> float:
    """Returns the latency objective of a job by its queue, in seconds."""
    return job.queue.objective_s + job.queue.slack * critical_path_s(job.steps)
