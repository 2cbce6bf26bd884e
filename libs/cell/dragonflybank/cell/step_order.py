"""The order in which waiting steps are placed.

Long-running tasks that have run before come first, whatever their queue: they
have to be restarted within seconds, however full their service is. Steps that
will end after three times their objective, when their result is no longer
needed, come after all others, whatever their queue: under overload they would
take capacity from work that can still be in time. Among the others, queues with
a smaller priority number come first, and within a queue the steps that can meet
their objective. Steps that can meet it are sorted by earliest deadline, late
steps by latest deadline. A long-running task has no end that could be late.
"""

__all__ = [
    "HARD_DEADLINE_FACTOR",
    "hard_deadline",
    "is_restart",
    "job_objective_s",
    "objective_deadline",
    "remaining_path_s",
    "remains_useful",
    "step_rank",
    "tasks_in_turn",
]

from collections.abc import Sequence

from dragonflybank.cell.jobs import Queue, Step, critical_path_s
from dragonflybank.cell.state import JobState, StepState, Task

# A result that comes later than this multiple of the objective has no value.
HARD_DEADLINE_FACTOR = 3.0


def step_rank(step: StepState, now: float) -> tuple:
    """Returns a sort key; steps with smaller keys are placed first.

    Args:
        step: A ready step.
        now: Current time, seconds since 1970.
    """
    queue = step.job_state.queue
    due = objective_deadline(step)
    ends_at = now + remaining_path_s(step)
    is_late = ends_at > due and not step.spec.lasting
    return (
        not is_restart(step),
        is_late and not remains_useful(step, now),
        queue.priority,
        is_late,
        -due if is_late else due,
        step.number,
    )


def is_restart(step: StepState) -> bool:
    """Returns whether long-running tasks wait that have run before."""
    return step.spec.lasting and any(
        t.last_attempt for t in step.waiting_tasks()
    )


def tasks_in_turn(step: StepState, waiting: list[Task]) -> list[Task]:
    """Returns those waiting tasks of a step that are placed first.

    Long-running tasks that have not run yet get no part in the precedence of
    those that have. A gang is placed as a whole.
    """
    if not step.spec.lasting or step.spec.gang:
        return waiting
    return [t for t in waiting if t.last_attempt] or waiting


def remains_useful(step: StepState, now: float) -> bool:
    """Returns whether the step's job can still end by its hard deadline.

    Args:
        step: A ready step.
        now: Current time, seconds since 1970.
    """
    if step.spec.lasting:
        return True
    path_s = remaining_path_s(step)
    return now + path_s <= hard_deadline(step)


def objective_deadline(step: StepState) -> float:
    """Returns the time by which the step's occurrence should be done."""
    state = step.job_state
    return state.job.due_at(step.occurrence) + _objective_s(state)


def hard_deadline(step: StepState) -> float:
    """Returns the time after which the occurrence's result has no value."""
    state = step.job_state
    due_at = state.job.due_at(step.occurrence)
    return due_at + HARD_DEADLINE_FACTOR * _objective_s(state)


def remaining_path_s(step: StepState) -> float:
    """Returns the declared time from a step to the end of its job, in seconds.

    This is the critical path of the step and those that depend on it.
    """
    return step.job_state.paths_s[step.number]


def job_objective_s(queue: Queue, steps: Sequence[Step]) -> float:
    """Returns the latency objective of a queue's job, in seconds."""
    return queue.objective_s + queue.slack * critical_path_s(steps)


def _objective_s(state: JobState) -> float:
    return state.queue.objective_s + state.queue.slack * state.critical_path_s
