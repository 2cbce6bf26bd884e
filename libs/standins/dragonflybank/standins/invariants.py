"""Checks of what must always hold, I1 to I8 of the design page.

Each check takes the records of the stand-ins and returns the violations that
it found. The records of one process must be complete and in their order; those
of several processes may follow each other in any order. `answers` holds the
checks that also need what callers were told.
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

# The billed classes of the two deployments.
NON_REPEATABLE = frozenset({"verification", "simulation"})
LEAVING_BOUND_S = 5.0
CONFIG_BOUND_S = 16.0
ACTIVE_CONFIG_KEY = "config/active"
# Sums of fractions of processors and MiB are not exact.
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
        answers: What callers were told.
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
    """Checks I1: running grants and lookups within the worker's size."""
    found = []
    sizes, used = {}, {}
    # A lookup that is tried again may run twice under one id.
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
    """Checks I2: no two runs of a job's task at the same time."""
    found = []
    for identity, runs in _runs_by_identity(records).items():
        runs.sort(key=lambda run: run.began_at)
        latest = runs[0]
        for run in runs[1:]:
            if run.began_at < latest.ended_at:
                detail = f"at {run.worker} and at {latest.worker}"
                found.append(Violation("I2", run.began_at, identity, detail))
            latest = max(latest, run, key=lambda run: run.ended_at)
    return found


def check_single_starts(
    records: Sequence[Record],
    non_repeatable: Collection[str] = NON_REPEATABLE,
) -> list[Violation]:
    """Checks I5: at most one start of work that is not repeatable."""
    starts = collections.defaultdict(list)
    for record in records:
        match record:
            case TaskStarted() if record.work_class in non_repeatable:
                starts[_identity(record.task_id)].append(record)
            case LookupStarted() if record.work_class in non_repeatable:
                starts[record.payload_digest].append(record)
    return [
        Violation("I5", again.at, identity, f"started again at {again.worker}")
        for identity, of_one in starts.items()
        for again in sorted(of_one, key=lambda start: start.at)[1:]
    ]


def check_leaving(records: Sequence[Record]) -> list[Violation]:
    """Checks I6: no start 5 s after the first announcement of leaving.

    An announcement holds until its source withdraws it, or until another VM
    takes the place of the one that left.
    """
    periods = _leaving_periods(records)
    return [
        Violation("I6", start.at, start.worker, f"leaving since {began_at}")
        for start in records
        if isinstance(start, TaskStarted | LookupStarted)
        for began_at, ended_at in periods[start.worker]
        if began_at + LEAVING_BOUND_S < start.at < ended_at
    ]


def check_generations(records: Sequence[Record]) -> list[Violation]:
    """Checks I8: generations never go back and are in force within 16 s.

    The 16 s run from the acceptance of a change: from the first time at which
    the writer, a host, a reader or an operator can know of it.
    """
    writes = [
        r
        for r in records
        if isinstance(r, StoreWritten) and r.key == ACTIVE_CONFIG_KEY
    ]
    seen = collections.defaultdict(list)
    for record in sorted(_of_type(records, GenerationSeen), key=lambda r: r.at):
        seen[record.host, record.incarnation].append(record)
    found = _going_back(writes, ACTIVE_CONFIG_KEY)
    # Without a number the check could not see a reversion.
    found += [
        Violation("I8", write.at, write.key, "a value without a generation")
        for write in writes
        if write.generation == 0
    ]
    accepted = [(write, _accepted_at(write, records)) for write in writes]
    for (host, _), of_one in seen.items():
        found += _going_back(of_one, host)
        found += _too_late(accepted, of_one)
    return found


@attrs.define
class _Run:
    worker: str
    began_at: float
    ended_at: float = math.inf


def _runs_by_identity(records) -> dict[str, list[_Run]]:
    runs = collections.defaultdict(list)
    running = {}
    for record in records:
        match record:
            case TaskStarted():
                run = _Run(record.worker, record.at)
                runs[_identity(record.task_id)].append(run)
                running[_work_key(record)] = run
            case TaskEnded():
                run = running.pop(_work_key(record), None)
                if run is not None:
                    run.ended_at = record.at
    return runs


def _leaving_periods(records) -> dict[str, list[tuple[float, float]]]:
    periods = collections.defaultdict(list)
    marks = [r for r in records if isinstance(r, LeavingAnnounced | WorkerUp)]
    open_since = {}
    for mark in sorted(marks, key=lambda r: r.at):
        if isinstance(mark, WorkerUp):
            ended = [key for key in open_since if key[0] == mark.worker]
        else:
            ended = [] if mark.leaving else [(mark.vm, mark.source)]
        for key in ended:
            began_at = open_since.pop(key, mark.at)
            periods[key[0]].append((began_at, mark.at))
        if isinstance(mark, LeavingAnnounced) and mark.leaving:
            open_since.setdefault((mark.vm, mark.source), mark.at)
    for (vm, _), began_at in open_since.items():
        periods[vm].append((began_at, math.inf))
    return periods


def _going_back(marks, subject: str) -> list[Violation]:
    return [
        Violation(
            "I8",
            after.at,
            subject,
            f"generation {after.generation} after {before.generation}",
        )
        for before, after in itertools.pairwise(marks)
        if after.generation < before.generation
    ]


def _accepted_at(write: StoreWritten, records: Sequence[Record]) -> float:
    """Returns when a write was first known outside of the store."""
    known = (r.at for r in records if _tells_of(r, write) and r.at >= write.at)
    return min(known, default=math.inf)


def _tells_of(record: Record, write: StoreWritten) -> bool:
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


def _too_late(accepted, seen) -> list[Violation]:
    return [
        Violation(
            "I8",
            mark.at,
            mark.host,
            f"generation {mark.generation}, but {write.generation} was"
            f" accepted at {accepted_at}",
        )
        for mark in seen
        for write, accepted_at in accepted
        if accepted_at + CONFIG_BOUND_S < mark.at
        and write.generation > mark.generation
    ]


def _work_key(record) -> tuple[str, str]:
    if isinstance(record, TaskStarted | TaskEnded):
        return record.worker, record.task_id
    return record.worker, record.request_id


def _identity(task_id: str) -> str:
    """Returns team, key and index of a task, without the attempt."""
    parts = task_id.rsplit("/", 2)
    return f"{parts[0]}/{parts[2]}" if len(parts) == 3 else task_id


def _of_type(records, kind):
    return [record for record in records if isinstance(record, kind)]
