"""What a failed or lost task means for its job."""

__all__ = ["EventContext", "after_failure", "ends_unknown"]

from collections.abc import Callable, Sequence

import attrs

from dragonflybank.jobs.entries import Ending, Entry, with_record
from dragonflybank.model.codes import Code, Problem
from dragonflybank.model.leases import TaskEvent, TaskState
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import JobState, StartRecord

# Bounds the retries in a region that has too few workers for the rule of
# unlike workers.
MAX_FAILURES = 8
MAX_REASON_CHARS = 200


@attrs.frozen
class EventContext:
    """What a transition needs to know besides the entry.

    Attributes:
        now: Present time, seconds since 1970.
        delay_s: Time before the next attempt, in seconds.
        largest: What the largest worker can hold; None if not known.
        counted: Whether a failure counts against the job.
        exhausted: Whether the failures on these workers end the job.
    """

    now: float
    delay_s: float = 0.0
    largest: Resources | None = None
    counted: bool = True
    exhausted: Callable[[Sequence[str]], bool] = lambda workers: False


def ends_unknown(entry: Entry, lost: str) -> bool:
    """Returns whether a job whose start was lost ends as unknown."""
    if entry.ending is None:
        return not entry.repeatable
    # A cancelled job is known to have run only if a start was confirmed, and
    # whether work that must not be repeated was completed matters.
    return entry.ending.state is JobState.CANCELLED and (
        not entry.repeatable or lost not in entry.running
    )


def after_failure(
    entry: Entry, start: StartRecord, event: TaskEvent, ctx: EventContext
) -> Entry:
    """Returns the entry with the failure counted and its end decided.

    Args:
        entry: Entry of the job.
        start: Start of the failed task.
        event: End of the task.
        ctx: What the decision needs besides.
    """
    if event.reason == "size_exceeded":
        return _after_size_exceeded(entry, start, event, ctx)
    if not entry.repeatable:
        return _ends_failed(entry, Code.TASK_FAILED, event)
    if event.state is TaskState.STOPPED or not ctx.counted:
        return entry
    workers = tuple(dict.fromkeys((*entry.record.failed_on, event.worker)))
    failures = entry.failures + 1
    entry = attrs.evolve(
        with_record(entry, failed_on=workers), failures=failures
    )
    if ctx.exhausted(workers):
        return _ends_failed(entry, Code.FAILED_ON_UNLIKE_WORKERS, event)
    if failures >= MAX_FAILURES:
        return _ends_failed(entry, Code.TASK_FAILED, event)
    return entry


def _after_size_exceeded(entry, start, event, ctx) -> Entry:
    # Only memory stops a task; processors are throttled.
    granted_mb, largest = start.grant.memory_mb, ctx.largest
    at_limit = largest is not None and granted_mb >= largest.memory_mb
    if not entry.repeatable or at_limit or granted_mb <= 0:
        return _ends_failed(entry, Code.SIZE_EXCEEDED, event)
    return with_record(entry, grant_factor=2 * entry.record.grant_factor)


def _ends_failed(entry: Entry, code: Code, event: TaskEvent) -> Entry:
    reason = event.reason or f"the task was {event.state}"
    detail = f"{reason[:MAX_REASON_CHARS]} on {event.worker}"
    return attrs.evolve(
        entry, ending=Ending(JobState.FAILED, Problem(code, detail))
    )
