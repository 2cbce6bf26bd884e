"""Consequences of failed and lost tasks for their jobs."""

__all__ = ["TransitionContext", "ends_as_unknown", "with_failure"]

from collections.abc import Callable, Sequence

import attrs

from dragonflybank.jobs.entries import Ending, Entry, evolve_record
from dragonflybank.model.codes import Code, Problem
from dragonflybank.model.leases import TaskEvent, TaskState
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import JobState, StartRecord

# Limits the retries in a region that has too few workers for
# ``FAILED_ON_UNLIKE_WORKERS``.
MAX_FAILURES = 8
MAX_REASON_CHARS = 200


@attrs.frozen
class TransitionContext:
    """Inputs of a transition besides the entry and the event.

    Attributes:
        now: Current time, seconds since 1970.
        retry_delay_s: Delay before the next attempt, in seconds.
        largest_worker: Resources of the largest worker; None if unknown.
        counts_as_failure: Whether a failure counts against the job.
        is_exhausted: Returns whether failures on these workers end the job.
    """

    now: float
    retry_delay_s: float = 0.0
    largest_worker: Resources | None = None
    counts_as_failure: bool = True
    is_exhausted: Callable[[Sequence[str]], bool] = lambda workers: False


def ends_as_unknown(entry: Entry, lost_id: str) -> bool:
    """Returns whether a job ends as unknown after the loss of a start."""
    if entry.ending is None:
        return not entry.repeatable
    # A cancelled job is known to have run only if a start was confirmed. For
    # work that must not be repeated, it also matters whether it completed.
    return entry.ending.state is JobState.CANCELLED and (
        not entry.repeatable or lost_id not in entry.running
    )


def with_failure(
    entry: Entry, start: StartRecord, event: TaskEvent, ctx: TransitionContext
) -> Entry:
    """Returns the entry with the failure counted and the ending set, if any.

    Args:
        entry: Entry of the job.
        start: Start of the failed task.
        event: End of the task.
        ctx: Other inputs of the transition.
    """
    if event.reason == "size_exceeded":
        return _after_size_exceeded(entry, start, event, ctx)
    if not entry.repeatable:
        return _with_failed_ending(entry, Code.TASK_FAILED, event)
    if event.state is TaskState.STOPPED or not ctx.counts_as_failure:
        return entry
    workers = tuple(dict.fromkeys((*entry.record.failed_on, event.worker)))
    failures = entry.failures + 1
    entry = attrs.evolve(
        evolve_record(entry, failed_on=workers), failures=failures
    )
    if ctx.is_exhausted(workers):
        return _with_failed_ending(entry, Code.FAILED_ON_UNLIKE_WORKERS, event)
    if failures >= MAX_FAILURES:
        return _with_failed_ending(entry, Code.TASK_FAILED, event)
    return entry


def _after_size_exceeded(entry, start, event, ctx) -> Entry:
    # A task is stopped only for exceeding its memory; its CPU use is throttled.
    granted_mb, largest_worker = start.grant.memory_mb, ctx.largest_worker
    at_limit = (
        largest_worker is not None and granted_mb >= largest_worker.memory_mb
    )
    if not entry.repeatable or at_limit or granted_mb <= 0:
        return _with_failed_ending(entry, Code.SIZE_EXCEEDED, event)
    return evolve_record(entry, grant_factor=2 * entry.record.grant_factor)


def _with_failed_ending(entry: Entry, code: Code, event: TaskEvent) -> Entry:
    reason = event.reason or f"the task was {event.state}"
    detail = f"{reason[:MAX_REASON_CHARS]} on {event.worker}"
    return attrs.evolve(
        entry, ending=Ending(JobState.FAILED, Problem(code, detail))
    )
