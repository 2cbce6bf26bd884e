"""Checks of the invariants of the scheduler, I1 to I8.

Each check takes the records of the stand-ins and returns the violations that
it found:

- I1: running tasks and lookups fit in the size of their worker.
- I2: a task of a job doesn't run twice at the same time.
- I3, I4 and I7 concern the answers to callers; see `answers`.
- I5: work that isn't repeatable starts at most once.
- I6: nothing starts at a worker 5 s after the first announcement that its VM
  leaves.
- I8: the generation of the configuration never decreases and is in force at
  each host within 16 s.

The records of one process must be complete and in order; those of several
processes may follow each other in any order.
"""

__all__ = [
    "NON_REPEATABLE",
    "check_all",
    "check_generations",
    "check_leaving",
    "check_single_runs",
    "check_single_starts",
    "check_sizes",
]

import collections
import itertools
import math
from collections.abc import Collection, Sequence

import attrs

from dragonflybank.model.resources import (
    Resources,
    add_resources,
    fits,
    subtract_resources,
)
from dragonflybank.standins.answers import (
    CallerAnswer,
    Violation,
    check_answers,
    check_drains,
    check_not_run,
)
from dragonflybank.standins.records import (
    ChangeAnswered,
    GenerationRead,
    GenerationSeen,
    LeavingAnnounced,
    LookupEnded,
    LookupStarted,
    Record,
    StoreAnswered,
    StoreWritten,
    TaskEnded,
    TaskStarted,
    WorkerUp,
)

# The work classes of the two deployments whose starts are billed.
NON_REPEATABLE = frozenset({"verification", "simulation"})
LEAVING_BOUND_S = 5.0
CONFIG_BOUND_S = 16.0
ACTIVE_CONFIG_KEY = "config/active"
# Tolerance for floating-point sums of cores and MiB.
ROUNDING = Resources(cores=1e-6, memory_mb=1e-6)


def check_all(
    records: Sequence[Record],
    answers: Sequence[CallerAnswer] = (),
    *,
    non_repeatable: Collection[str] = NON_REPEATABLE,
    expect_final: bool = True,
) -> list[Violation]:
    """Returns the violations of all invariants.

    Args:
        records: Records of all stand-ins and of the test's driver.
        answers: Answers to callers.
        non_repeatable: Names of the classes that may run at most once.
        expect_final: Whether each request must have a final answer by now.
    """
    return [
        *check_sizes(records),
        *check_single_runs(records),
        *check_answers(records, answers, expect_final=expect_final),
        *check_not_run(records, answers),
        *check_single_starts(records, non_repeatable),
        *check_leaving(records),
        *check_drains(records, answers),
        *check_generations(records),
    ]


def check_sizes(records: Sequence[Record]) -> list[Violation]:
    """Checks I1: running tasks and lookups fit in the worker's size."""
    found = []
    sizes, used = {}, {}
    # A lookup that is retried may run twice at a time under one id.
    running = collections.defaultdict(list)
    for record in records:
        match record:
            case WorkerUp(worker=worker):
                sizes[worker] = add_resources(record.size, ROUNDING)
                used[worker] = Resources()
                for key in [key for key in running if key[0] == worker]:
                    del running[key]
            case TaskStarted(worker=worker) | LookupStarted(worker=worker):
                running[_work_key(record)].append(record.grant)
                used[worker] = add_resources(used[worker], record.grant)
                if not fits(used[worker], sizes[worker]):
                    detail = f"{used[worker]} with {_work_key(record)[1]}"
                    found.append(Violation("I1", record.at, worker, detail))
            case TaskEnded(worker=worker) | LookupEnded(worker=worker):
                if running[_work_key(record)]:
                    grant = running[_work_key(record)].pop()
                    used[worker] = subtract_resources(used[worker], grant)
    return found


def check_single_runs(records: Sequence[Record]) -> list[Violation]:
    """Checks I2: a task of a job doesn't run twice at the same time."""
    found = []
    for task, runs in _group_runs_by_task(records).items():
        runs.sort(key=lambda run: run.started_at)
        latest = runs[0]
        for run in runs[1:]:
            if run.started_at < latest.ended_at:
                detail = f"at {run.worker} and at {latest.worker}"
                found.append(Violation("I2", run.started_at, task, detail))
            latest = max(latest, run, key=lambda run: run.ended_at)
    return found


def check_single_starts(
    records: Sequence[Record],
    non_repeatable: Collection[str] = NON_REPEATABLE,
) -> list[Violation]:
    """Checks I5: work that isn't repeatable starts at most once."""
    starts = collections.defaultdict(list)
    for record in records:
        match record:
            case TaskStarted() if record.work_class in non_repeatable:
                starts[_task_key(record.task_id)].append(record)
            case LookupStarted() if record.work_class in non_repeatable:
                starts[record.payload_digest].append(record)
    return [
        Violation("I5", again.at, work, f"started again at {again.worker}")
        for work, work_starts in starts.items()
        for again in sorted(work_starts, key=lambda start: start.at)[1:]
    ]


def check_leaving(records: Sequence[Record]) -> list[Violation]:
    """Checks I6: no start 5 s after the first announcement that a VM leaves.

    An announcement is valid until its source withdraws it or another VM
    replaces the one that left.
    """
    periods = _leaving_periods(records)
    return [
        Violation("I6", start.at, start.worker, f"leaving since {started_at}")
        for start in records
        if isinstance(start, TaskStarted | LookupStarted)
        for started_at, ended_at in periods[start.worker]
        if started_at + LEAVING_BOUND_S < start.at < ended_at
    ]


def check_generations(records: Sequence[Record]) -> list[Violation]:
    """Checks I8: generations never decrease and are in force within 16 s.

    The 16 s start when a change is accepted: at the first time at which the
    writer, a host, a reader or an operator can know of it.
    """
    writes = [
        r
        for r in records
        if isinstance(r, StoreWritten) and r.key == ACTIVE_CONFIG_KEY
    ]
    seen = collections.defaultdict(list)
    for record in sorted(_of_type(records, GenerationSeen), key=lambda r: r.at):
        seen[record.host, record.incarnation].append(record)
    found = _find_decreases(writes, ACTIVE_CONFIG_KEY)
    # Without a generation the check couldn't detect a return to an older value.
    found += [
        Violation("I8", write.at, write.key, "a value without a generation")
        for write in writes
        if write.generation == 0
    ]
    accepted = [(write, _accepted_at(write, records)) for write in writes]
    for (host, _), host_records in seen.items():
        found += _find_decreases(host_records, host)
        found += _find_stale(accepted, host_records)
    return found


@attrs.define
class _Run:
    worker: str
    started_at: float
    ended_at: float = math.inf


def _group_runs_by_task(records) -> dict[str, list[_Run]]:
    runs = collections.defaultdict(list)
    running = {}
    for record in records:
        match record:
            case TaskStarted():
                run = _Run(record.worker, record.at)
                runs[_task_key(record.task_id)].append(run)
                running[_work_key(record)] = run
            case TaskEnded():
                run = running.pop(_work_key(record), None)
                if run is not None:
                    run.ended_at = record.at
    return runs


def _leaving_periods(records) -> dict[str, list[tuple[float, float]]]:
    periods = collections.defaultdict(list)
    announcements = [
        r for r in records if isinstance(r, LeavingAnnounced | WorkerUp)
    ]
    open_since = {}
    for announcement in sorted(announcements, key=lambda r: r.at):
        if isinstance(announcement, WorkerUp):
            ended = [key for key in open_since if key[0] == announcement.worker]
        else:
            ended = (
                []
                if announcement.leaving
                else [(announcement.vm, announcement.source)]
            )
        for key in ended:
            started_at = open_since.pop(key, announcement.at)
            periods[key[0]].append((started_at, announcement.at))
        if isinstance(announcement, LeavingAnnounced) and announcement.leaving:
            open_since.setdefault(
                (announcement.vm, announcement.source), announcement.at
            )
    for (vm, _), started_at in open_since.items():
        periods[vm].append((started_at, math.inf))
    return periods


def _find_decreases(records, subject: str) -> list[Violation]:
    return [
        Violation(
            "I8",
            after.at,
            subject,
            f"generation {after.generation} after {before.generation}",
        )
        for before, after in itertools.pairwise(records)
        if after.generation < before.generation
    ]


def _accepted_at(write: StoreWritten, records: Sequence[Record]) -> float:
    """Returns the time at which a write was first known outside the store."""
    known = (
        r.at for r in records if _shows_write(r, write) and r.at >= write.at
    )
    return min(known, default=math.inf)


def _shows_write(record: Record, write: StoreWritten) -> bool:
    match record:
        case StoreAnswered():
            is_same = record.key == write.key
            return is_same and record.version >= write.version
        case GenerationRead() | GenerationSeen():
            return record.generation >= write.generation
        case ChangeAnswered():
            return True
        case _:
            return False


def _find_stale(accepted, records) -> list[Violation]:
    return [
        Violation(
            "I8",
            record.at,
            record.host,
            f"generation {record.generation}, but {write.generation} was"
            f" accepted at {accepted_at}",
        )
        for record in records
        for write, accepted_at in accepted
        if accepted_at + CONFIG_BOUND_S < record.at
        and write.generation > record.generation
    ]


def _work_key(record) -> tuple[str, str]:
    if isinstance(record, TaskStarted | TaskEnded):
        return record.worker, record.task_id
    return record.worker, record.request_id


def _task_key(task_id: str) -> str:
    """Returns the task's team, key and index, without the attempt."""
    parts = task_id.rsplit("/", 2)
    return f"{parts[0]}/{parts[2]}" if len(parts) == 3 else task_id


def _of_type(records, kind):
    return [record for record in records if isinstance(record, kind)]
