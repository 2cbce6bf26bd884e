"""Transitions of the entries of a shard's journal.

Each function is pure: it returns the changed entry, or the same entry if the
event belongs to a start that is no longer live. An outcome is thus never
counted twice.
"""

__all__ = [
    "fail_unplaceable",
    "new_entry",
    "on_task_done",
    "on_task_failed",
    "on_task_lost",
    "on_task_not_started",
    "on_task_started",
    "request_cancel",
    "with_starts",
]

from collections.abc import Sequence

import attrs

from dragonflybank.jobs.entries import (
    Ending,
    Entry,
    done_indexes,
    evolve_record,
    is_gang_broken,
    live_start,
    live_starts,
    waiting_indexes,
)
from dragonflybank.jobs.failures import (
    TransitionContext,
    ends_as_unknown,
    with_failure,
)
from dragonflybank.model.codes import Code, Problem
from dragonflybank.model.leases import Reservation, TaskEvent
from dragonflybank.model.work import (
    JobRecord,
    JobSpec,
    JobState,
    StartRecord,
    WorkClass,
    WorkKind,
    format_task_id,
)


def new_entry(spec: JobSpec, wc: WorkClass, now: float) -> Entry:
    """Returns the entry of a newly accepted job.

    The rules of its class are stored with the job, so that a change of the
    configuration cannot make work repeatable that has already started.
    """
    return Entry(
        JobRecord(spec, accepted_at=now),
        repeatable=wc.repeatable,
        gang=wc.kind is WorkKind.GANG,
    )


def with_starts(
    entry: Entry, reservations: Sequence[Reservation], now: float
) -> Entry:
    """Returns the entry with a start for each reservation.

    Waiting tasks with lower indexes are started first.
    """
    record = entry.record
    attempt = record.attempt + 1
    starts = tuple(
        StartRecord(
            format_task_id(record.spec, attempt, index),
            reserved.worker,
            reserved.epoch,
            reserved.grant,
            now,
            reservation=reserved.id,
            incarnation=reserved.incarnation,
        )
        for index, reserved in zip(
            waiting_indexes(entry), reservations, strict=False
        )
    )
    return _with_state(
        evolve_record(entry, attempt=attempt, starts=record.starts + starts),
        now,
    )


def on_task_started(entry: Entry, started_id: str, now: float) -> Entry:
    """Returns the entry after a start was confirmed."""
    if live_start(entry, started_id) is None or started_id in entry.running:
        return entry
    running = (*entry.running, started_id)
    return _with_state(attrs.evolve(entry, running=running, ran=True), now)


def on_task_not_started(
    entry: Entry, missing_id: str, ctx: TransitionContext
) -> Entry:
    """Returns the entry after a start certainly did not happen.

    A start that was confirmed before counts as lost instead: its worker was
    replaced and no longer knows the task.
    """
    if live_start(entry, missing_id) is None:
        return entry
    if missing_id in entry.running:
        return on_task_lost(entry, missing_id, ctx)
    return _with_state(_without_start(entry, missing_id, ctx.now), ctx.now)


def on_task_lost(entry: Entry, lost_id: str, ctx: TransitionContext) -> Entry:
    """Returns the entry after a lease expired with an unknown outcome."""
    if live_start(entry, lost_id) is None:
        return entry
    if ends_as_unknown(entry, lost_id):
        problem = Problem(Code.WORKER_LOST, "the worker was lost")
        entry = attrs.evolve(entry, ending=Ending(JobState.UNKNOWN, problem))
    entry = attrs.evolve(entry, ran=True)
    return _with_state(
        _without_start(entry, lost_id, ctx.now + ctx.retry_delay_s), ctx.now
    )


def on_task_done(
    entry: Entry, event: TaskEvent, now: float, *, stored_digest: str = ""
) -> Entry:
    """Returns the entry after a task finished.

    Args:
        entry: Entry of the job.
        event: End of the task.
        now: Current time, seconds since 1970.
        stored_digest: Digest of the result if it is stored under its own key,
            empty otherwise.
    """
    if live_start(entry, event.task_id) is None:
        return entry
    entry = attrs.evolve(entry, ran=True)
    if stored_digest:
        stored = {**entry.stored, event.task_id: stored_digest}
        entry = attrs.evolve(entry, stored=stored, has_result_keys=True)
    else:
        results = {**entry.record.results, event.task_id: event.result}
        entry = evolve_record(entry, results=results)
    return _with_state(entry, now)


def on_task_failed(
    entry: Entry, event: TaskEvent, ctx: TransitionContext
) -> Entry:
    """Returns the entry after a task failed or was stopped at its worker."""
    start = live_start(entry, event.task_id)
    if start is None:
        return entry
    entry = attrs.evolve(entry, ran=True)
    if entry.ending is None:
        entry = with_failure(entry, start, event, ctx)
    return _with_state(
        _without_start(entry, start.task_id, ctx.now + ctx.retry_delay_s),
        ctx.now,
    )


def request_cancel(entry: Entry, now: float) -> Entry:
    """Returns the entry set to end as cancelled once no start is live.

    Example:
        >>> entry = Entry(JobRecord(JobSpec("courts", "k1", "sweep")))
        >>> request_cancel(entry, 1.0).record.problem.code.name
        'CANCELLED_BEFORE_START'
    """
    if entry.is_final or entry.ending is not None:
        return entry
    problem = Problem(Code.CANCELLED_AFTER_START, "cancelled by the caller")
    ending = Ending(JobState.CANCELLED, problem)
    return _with_state(attrs.evolve(entry, ending=ending), now)


def fail_unplaceable(entry: Entry, problem: Problem, now: float) -> Entry:
    """Returns the entry set to fail because no worker can hold a task.

    If a task may have run, the code of the problem is replaced, because it
    would claim that the job did not run.
    """
    if entry.is_final or entry.ending is not None:
        return entry
    if entry.ran:
        grown = entry.record.grant_factor > 1.0
        code = Code.SIZE_EXCEEDED if grown else Code.TASK_FAILED
        problem = attrs.evolve(problem, code=code)
    ending = Ending(JobState.FAILED, problem)
    return _with_state(attrs.evolve(entry, ending=ending), now)


def _with_state(entry: Entry, now: float) -> Entry:
    live = live_starts(entry)
    if len(done_indexes(entry)) == entry.record.spec.tasks:
        return _finalize(entry, state=JobState.DONE, finished_at=now)
    if is_gang_broken(entry):
        entry = _with_gang_state(entry, live)
    if entry.ending is not None and not live:
        return _with_ending_applied(entry, now)
    if any(start.task_id in entry.running for start in live):
        return evolve_record(entry, state=JobState.RUNNING)
    state = JobState.STARTING if live else JobState.QUEUED
    return evolve_record(entry, state=state)


def _with_gang_state(entry: Entry, live: Sequence[StartRecord]) -> Entry:
    if not entry.repeatable and entry.ending is None and entry.ran:
        problem = Problem(
            Code.TASK_FAILED, "only a part of the gang was started"
        )
        return attrs.evolve(entry, ending=Ending(JobState.FAILED, problem))
    if live or entry.ending is not None:
        return entry
    # The gang is started again as a whole, also the tasks that were done.
    entry = attrs.evolve(entry, running=(), stored={})
    return evolve_record(entry, starts=(), results={})


def _with_ending_applied(entry: Entry, now: float) -> Entry:
    state, problem = entry.ending.state, entry.ending.problem
    if state is JobState.CANCELLED and not entry.ran:
        problem = attrs.evolve(problem, code=Code.CANCELLED_BEFORE_START)
    entry = attrs.evolve(evolve_record(entry, results={}), stored={})
    return _finalize(entry, state=state, problem=problem, finished_at=now)


def _finalize(entry: Entry, **changes) -> Entry:
    # The starts are dropped because the record of a finished job stays in the
    # value for an hour.
    return evolve_record(attrs.evolve(entry, running=()), starts=(), **changes)


def _without_start(entry: Entry, gone_id: str, not_before: float) -> Entry:
    starts = tuple(s for s in entry.record.starts if s.task_id != gone_id)
    running = tuple(r for r in entry.running if r != gone_id)
    entry = attrs.evolve(entry, running=running)
    return evolve_record(
        entry,
        starts=starts,
        not_before=max(entry.record.not_before, not_before),
    )
