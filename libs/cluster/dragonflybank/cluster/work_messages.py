"""Requests about lookups, jobs and operator tables, and their replies."""

__all__ = [
    "CancelJob",
    "FinishedReply",
    "JobReply",
    "ListWork",
    "LookupReply",
    "LookupRequest",
    "QueryJob",
    "SubmitJob",
    "TaskFinished",
    "WorkRows",
]

import attrs

from dragonflybank.model.leases import TaskEvent
from dragonflybank.model.work import JobRecord, JobSpec


@attrs.frozen
class LookupRequest:
    """A lookup forwarded to another host.

    Attributes:
        request_id: Identifier of the request.
        team: Team of the caller.
        work_class: Name of the work class.
        payload: Request body, UTF-8 text.
        timeout_s: Time left for the answer in seconds.
        hops: Number of times it was forwarded, this time included.
    """

    request_id: str
    team: str
    work_class: str
    payload: str
    timeout_s: float
    hops: int = 1


@attrs.frozen
class LookupReply:
    """The result of a forwarded lookup.

    Attributes:
        request_id: Identifier of the request.
        result: Result text.
    """

    request_id: str
    result: str


@attrs.frozen
class SubmitJob:
    """Submits a job to the home of its shard.

    Attributes:
        spec: The job as the caller submitted it.
    """

    spec: JobSpec


@attrs.frozen
class QueryJob:
    """Requests the record of a job from the home of its shard.

    Attributes:
        team: Team of the job.
        key: The caller's key.
        wait_s: Time to wait for a final state, in seconds.
    """

    team: str
    key: str
    wait_s: float = 0.0


@attrs.frozen
class CancelJob:
    """Asks the home of a job's shard to cancel the job.

    Attributes:
        team: Team of the job.
        key: The caller's key.
    """

    team: str
    key: str


@attrs.frozen
class JobReply:
    """A job in the journal of its home.

    Attributes:
        record: The record, None if the job is unknown.
    """

    record: JobRecord | None


@attrs.frozen
class TaskFinished:
    """Reports the end of a task to the home of its job's shard.

    Attributes:
        event: The end of the task.
    """

    event: TaskEvent


@attrs.frozen
class FinishedReply:
    """Whether the end of a task may be acknowledged to its worker.

    Attributes:
        journalled: True once the end is in the journal.
    """

    journalled: bool


@attrs.frozen
class ListWork:
    """Requests the rows of an operator's table from a host.

    Attributes:
        table: Name of the table.
        limit: Largest number of rows.
    """

    table: str
    limit: int = 1000


@attrs.frozen
class WorkRows:
    """Rows of an operator's table.

    Attributes:
        columns: Names of the columns.
        rows: One tuple for each row.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[str | int | float | None, ...], ...]
