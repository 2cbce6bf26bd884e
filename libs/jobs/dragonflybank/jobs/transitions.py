"""How events change an entry of a shard's journal.

Each function is pure: it takes an entry and returns the changed one, or the
same one if the event is about a start that is no longer live. So an outcome
is never counted twice.
"""

__all__ = [
    "give_up",
    "new_entry",
    "request_cancel",
    "task_done",
    "task_failed",
    "task_lost",
    "task_not_started",
    "task_started",
    "with_starts",
]

from collections.abc import Sequence

import attrs

from dragonflybank.jobs.entries import (
    Ending,
    Entry,
    done_indexes,
    is_gang_broken,
    live_start,
    live_starts,
    waiting_indexes,
    with_record,
)
from dragonflybank.jobs.failures import (
    EventContext,
    after_failure,
    ends_unknown,
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
    """Returns the entry of a job that was just accepted.

    The class's rules are kept with the job, so that a change of the
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

    The waiting tasks of the lowest indexes are started first.
    """
    record = entry.record
    attempt = record.attempt + 1
    starts = tuple(
        StartRecord(
            format_task_id(record.spec, attempt, index),
            held.worker,
            held.epoch,
            held.grant,
            now,
            reservation=held.id,
            incarnation=held.incarnation,
        )
        for index, held in zip(
            waiting_indexes(entry), reservations, strict=False
        )
    )
    return _settled(
        with_record(entry, attempt=attempt, starts=record.starts + starts), now
    )


def task_started(entry: Entry, started: str, now: float) -> Entry:
    """Returns the entry after a start certainly happened."""
    if live_start(entry, started) is None or started in entry.running:
        return entry
    running = (*entry.running, started)
    return _settled(attrs.evolve(entry, running=running, ran=True), now)


def task_not_started(entry: Entry, missing: str, ctx: EventContext) -> Entry:
    """Returns the entry after a start certainly did not happen.

    A start that was confirmed before is lost instead: its worker was
    replaced and no longer knows the task.
    """
    if live_start(entry, missing) is None:
        return entry
    if missing in entry.running:
        return task_lost(entry, missing, ctx)
    return _settled(_without_start(entry, missing, ctx.now), ctx.now)


def task_lost(entry: Entry, lost: str, ctx: EventContext) -> Entry:
    """Returns the entry after the lease of a start expired unobserved."""
    if live_start(entry, lost) is None:
        return entry
    if ends_unknown(entry, lost):
        problem = Problem(Code.WORKER_LOST, "the worker was lost")
        entry = attrs.evolve(entry, ending=Ending(JobState.UNKNOWN, problem))
    entry = attrs.evolve(entry, ran=True)
    return _settled(_without_start(entry, lost, ctx.now + ctx.delay_s), ctx.now)


def task_done(
    entry: Entry, event: TaskEvent, now: float, *, stored_digest: str = ""
) -> Entry:
    """Returns the entry after a task finished.

    Args:
        entry: Entry of the job.
        event: End of the task.
        now: Present time, seconds since 1970.
        stored_digest: Digest of the result if it is kept under its own key.
    """
    if live_start(entry, event.task_id) is None:
        return entry
    entry = attrs.evolve(entry, ran=True)
    if stored_digest:
        stored = {**entry.stored, event.task_id: stored_digest}
        entry = attrs.evolve(entry, stored=stored, has_result_keys=True)
    else:
        results = {**entry.record.results, event.task_id: event.result}
        entry = with_record(entry, results=results)
    return _settled(entry, now)


def task_failed(entry: Entry, event: TaskEvent, ctx: EventContext) -> Entry:
    """Returns the entry after a task failed, or was stopped at its worker."""
    start = live_start(entry, event.task_id)
    if start is None:
        return entry
    entry = attrs.evolve(entry, ran=True)
    if entry.ending is None:
        entry = after_failure(entry, start, event, ctx)
    return _settled(
        _without_start(entry, start.task_id, ctx.now + ctx.delay_s), ctx.now
    )


def request_cancel(entry: Entry, now: float) -> Entry:
    """Returns the entry that ends as cancelled once no start is live.

    Example:
        >>> entry = Entry(JobRecord(JobSpec("courts", "k1", "sweep")))
        >>> request_cancel(entry, 1.0).record.problem.code.name
        'CANCELLED_BEFORE_START'
    """
    if entry.final or entry.ending is not None:
        return entry
    problem = Problem(Code.CANCELLED_AFTER_START, "cancelled by the caller")
    ending = Ending(JobState.CANCELLED, problem)
    return _settled(attrs.evolve(entry, ending=ending), now)


def give_up(entry: Entry, problem: Problem, now: float) -> Entry:
    """Returns the entry of a job that no worker can hold.

    The code is kept only if no start may have happened; it would claim
    otherwise that the work did not run.
    """
    if entry.final or entry.ending is not None:
        return entry
    if entry.ran:
        grown = entry.record.grant_factor > 1.0
        code = Code.SIZE_EXCEEDED if grown else Code.TASK_FAILED
        problem = attrs.evolve(problem, code=code)
    ending = Ending(JobState.FAILED, problem)
    return _settled(attrs.evolve(entry, ending=ending), now)


def _settled(entry: Entry, now: float) -> Entry:
    live = live_starts(entry)
    if len(done_indexes(entry)) == entry.record.spec.tasks:
        return _final(entry, state=JobState.DONE, finished_at=now)
    if is_gang_broken(entry):
        entry = _settled_gang(entry, live)
    if entry.ending is not None and not live:
        return _ended(entry, now)
    if any(start.task_id in entry.running for start in live):
        return with_record(entry, state=JobState.RUNNING)
    state = JobState.STARTING if live else JobState.QUEUED
    return with_record(entry, state=state)


def _settled_gang(entry: Entry, live: Sequence[StartRecord]) -> Entry:
    if not entry.repeatable and entry.ending is None and entry.ran:
        problem = Problem(Code.TASK_FAILED, "only a part of the gang started")
        return attrs.evolve(entry, ending=Ending(JobState.FAILED, problem))
    if live or entry.ending is not None:
        return entry
    entry = attrs.evolve(entry, running=(), stored={})
    return with_record(entry, starts=(), results={})


def _ended(entry: Entry, now: float) -> Entry:
    state, problem = entry.ending.state, entry.ending.problem
    if state is JobState.CANCELLED and not entry.ran:
        problem = attrs.evolve(problem, code=Code.CANCELLED_BEFORE_START)
    entry = attrs.evolve(with_record(entry, results={}), stored={})
    return _final(entry, state=state, problem=problem, finished_at=now)


def _final(entry: Entry, **changes) -> Entry:
    # A finished job stays in the value for an hour without its starts.
    return with_record(attrs.evolve(entry, running=()), starts=(), **changes)


def _without_start(entry: Entry, gone: str, not_before: float) -> Entry:
    starts = tuple(s for s in entry.record.starts if s.task_id != gone)
    running = tuple(r for r in entry.running if r != gone)
    entry = attrs.evolve(entry, running=running)
    return with_record(
        entry,
        starts=starts,
        not_before=max(entry.record.not_before, not_before),
    )
