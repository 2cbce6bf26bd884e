"""Entries of a shard's journal.

An entry has at most one start for each task index. A task without a start
waits to be placed.
"""

__all__ = [
    "Ending",
    "Entry",
    "JobKey",
    "Tombstone",
    "done_indexes",
    "evolve_record",
    "is_gang_broken",
    "job_key_of",
    "live_start",
    "live_starts",
    "must_stop",
    "task_index",
    "waiting_indexes",
]

import attrs

from dragonflybank.model.codes import Problem
from dragonflybank.model.work import (
    JobRecord,
    JobState,
    StartRecord,
    is_final_state,
)

JobKey = tuple[str, str]

_FINAL_STATES = frozenset(state for state in JobState if is_final_state(state))


@attrs.frozen
class Ending:
    """The end of a job, which takes effect once none of its starts is live.

    Attributes:
        state: Final state.
        problem: Reason of the end.
    """

    state: JobState
    problem: Problem


@attrs.frozen
class Entry:
    """A job in the journal.

    Attributes:
        record: Record of the job.
        repeatable: Whether a task may be started again after it ran.
        gang: Whether all tasks must run at the same time.
        running: Task ids of the confirmed starts.
        stored: Digests of the results that are stored under their own keys,
            by task id.
        has_result_keys: Whether a result was ever written under its own key.
        ran: Whether a task of the job may have run.
        ending: End of the job once no start is live, None if undecided.
        failures: Number of failed tasks that count against the job.
    """

    record: JobRecord
    repeatable: bool = True
    gang: bool = False
    running: tuple[str, ...] = ()
    stored: dict[str, str] = attrs.field(factory=dict)
    has_result_keys: bool = False
    ran: bool = False
    ending: Ending | None = None
    failures: int = 0

    @property
    def key(self) -> JobKey:
        """Team and key of the job."""
        return self.record.spec.team, self.record.spec.key

    @property
    def is_final(self) -> bool:
        """Whether the job has ended and never changes again."""
        return self.record.state in _FINAL_STATES


@attrs.frozen
class Tombstone:
    """Summary of a finished job, kept after its record is removed.

    Attributes:
        team: Team of the job.
        job_key: Key of the job, chosen by the caller.
        work_class: Name of the work class.
        state: Final state.
        spec_digest: Digest of the job's spec.
        result_digest: Digest of the results, empty if there are none.
        problem: Why the job did not finish; None if it did.
        finished_at: Seconds since 1970.
        has_result_keys: Whether results may remain under their own keys.
    """

    team: str
    job_key: str
    work_class: str
    state: JobState
    spec_digest: str
    result_digest: str
    problem: Problem | None
    finished_at: float
    has_result_keys: bool = False

    @property
    def key(self) -> JobKey:
        """Team and key of the job."""
        return self.team, self.job_key


def live_starts(entry: Entry) -> tuple[StartRecord, ...]:
    """Returns the live starts, whose tasks have not ended."""
    if not entry.record.starts or entry.is_final:
        return ()
    results = entry.record.results
    return tuple(
        start
        for start in entry.record.starts
        if start.task_id not in results and start.task_id not in entry.stored
    )


def waiting_indexes(entry: Entry) -> tuple[int, ...]:
    """Returns the indexes of the tasks that wait to be placed.

    Example:
        >>> from dragonflybank.model.work import JobSpec
        >>> waiting_indexes(Entry(JobRecord(JobSpec("t", "k", "c", tasks=2))))
        (0, 1)
    """
    # Fast paths for jobs without starts or with all of them, which are most;
    # each scheduling round calls this for every job.
    if not entry.record.starts:
        return tuple(range(entry.record.spec.tasks))
    if len(entry.record.starts) == entry.record.spec.tasks:
        return ()
    started = {task_index(start.task_id) for start in entry.record.starts}
    return tuple(i for i in range(entry.record.spec.tasks) if i not in started)


def done_indexes(entry: Entry) -> tuple[int, ...]:
    """Returns the indexes of the finished tasks."""
    return tuple(
        sorted(
            task_index(done) for done in (*entry.record.results, *entry.stored)
        )
    )


def is_gang_broken(entry: Entry) -> bool:
    """Returns whether some but not all tasks of a gang have a start."""
    placed = len(entry.record.starts)
    return entry.gang and 0 < placed < entry.record.spec.tasks


def must_stop(entry: Entry) -> bool:
    """Returns whether the live tasks must be stopped at their workers."""
    return not entry.is_final and (
        entry.ending is not None or is_gang_broken(entry)
    )


def evolve_record(entry: Entry, **changes) -> Entry:
    """Returns the entry with changed fields of its record."""
    return attrs.evolve(entry, record=attrs.evolve(entry.record, **changes))


def job_key_of(task_id: str) -> JobKey:
    """Returns team and key of the job of a task.

    Example:
        >>> job_key_of("courts/a/b/2/0")
        ('courts', 'a/b')
    """
    team, rest = task_id.split("/", 1)
    return team, rest.rsplit("/", 2)[0]


def task_index(task_id: str) -> int:
    """Returns the index of a task within its job.

    Example:
        >>> task_index("courts/a/b/2/0")
        0
    """
    return int(task_id.rsplit("/", 1)[1])


def live_start(entry: Entry, task_id: str) -> StartRecord | None:
    """Returns the live start of a task; None if there is none."""
    return next((s for s in live_starts(entry) if s.task_id == task_id), None)
