"""Entries of a shard's journal.

A job whose tasks end at different times keeps one start for each task index;
a task without a start waits to be placed.
"""

__all__ = [
    "Ending",
    "Entry",
    "Key",
    "Tombstone",
    "done_indexes",
    "is_gang_broken",
    "key_of",
    "live_start",
    "live_starts",
    "must_stop",
    "task_index",
    "waiting_indexes",
    "with_record",
]

import attrs

from dragonflybank.model.codes import Problem
from dragonflybank.model.work import (
    JobRecord,
    JobState,
    StartRecord,
    is_final_state,
)

Key = tuple[str, str]

_FINAL_STATES = frozenset(state for state in JobState if is_final_state(state))


@attrs.frozen
class Ending:
    """How a job ends as soon as none of its starts is live.

    Attributes:
        state: Final state.
        problem: Why.
    """

    state: JobState
    problem: Problem


@attrs.frozen
class Entry:
    """A job in the journal.

    Attributes:
        record: The job.
        repeatable: Whether a task may be started again after it ran.
        gang: Whether all tasks must run at once.
        running: Task ids of the starts that certainly happened.
        stored: Digest of each result that is kept under a key of its own, by
            task id.
        has_result_keys: Whether a result was ever written under its own key.
        ran: Whether any start may have happened.
        ending: How the job ends once no start is live, if that is decided.
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
    def key(self) -> Key:
        """Team and key of the job."""
        return self.record.spec.team, self.record.spec.key

    @property
    def final(self) -> bool:
        """Whether the job never changes again."""
        return self.record.state in _FINAL_STATES


@attrs.frozen
class Tombstone:
    """What is kept of a finished job after its record.

    Attributes:
        team: Team of the job.
        job_key: The caller's key.
        work_class: Name of the work class.
        state: Final state.
        spec_digest: Digest of what was asked for.
        result_digest: Digest of the results, empty if there are none.
        problem: Why the job did not finish, if it did not.
        finished_at: Seconds since 1970.
        has_result_keys: Whether results under their own keys may remain.
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
    def key(self) -> Key:
        """Team and key of the job."""
        return self.team, self.job_key


def live_starts(entry: Entry) -> tuple[StartRecord, ...]:
    """Returns the starts whose tasks have not ended."""
    if not entry.record.starts or entry.final:
        return ()
    results = entry.record.results
    return tuple(
        start
        for start in entry.record.starts
        if start.task_id not in results and start.task_id not in entry.stored
    )


def waiting_indexes(entry: Entry) -> tuple[int, ...]:
    """Returns the indexes of the tasks that have no start.

    Example:
        >>> from dragonflybank.model.work import JobSpec
        >>> waiting_indexes(Entry(JobRecord(JobSpec("t", "k", "c", tasks=2))))
        (0, 1)
    """
    # Most jobs have no start or all of them; a round asks this of each job.
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
    """Returns whether only a part of a gang is placed."""
    placed = len(entry.record.starts)
    return entry.gang and 0 < placed < entry.record.spec.tasks


def must_stop(entry: Entry) -> bool:
    """Returns whether the live tasks are to be stopped at their workers."""
    return not entry.final and (
        entry.ending is not None or is_gang_broken(entry)
    )


def with_record(entry: Entry, **changes) -> Entry:
    """Returns the entry with fields of its record changed."""
    return attrs.evolve(entry, record=attrs.evolve(entry.record, **changes))


def key_of(started: str) -> Key:
    """Returns team and key of a task id.

    Example:
        >>> key_of("courts/a/b/2/0")
        ('courts', 'a/b')
    """
    team, rest = started.split("/", 1)
    return team, rest.rsplit("/", 2)[0]


def task_index(started: str) -> int:
    """Returns the index of a task within its job.

    Example:
        >>> task_index("courts/a/b/2/0")
        0
    """
    return int(started.rsplit("/", 1)[1])


def live_start(entry: Entry, wanted: str) -> StartRecord | None:
    """Returns a start whose task has not ended; None if there is none."""
    return next((s for s in live_starts(entry) if s.task_id == wanted), None)
