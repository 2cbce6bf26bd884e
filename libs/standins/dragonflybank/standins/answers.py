"""Answers that callers got, and checks that compare them with the records.

The checks cover these invariants, whose names violations carry:

- I3: each caller receives the complete answer to its own request.
- I4: work that was answered as not run did not run.
- I7: a graceful shutdown cuts off no request in progress.
"""

__all__ = [
    "CallerAnswer",
    "Violation",
    "check_answers",
    "check_drains",
    "check_not_run",
]

import collections
from collections.abc import Iterable, Sequence

import attrs

from dragonflybank.model.hashing import digest
from dragonflybank.model.leases import TaskState
from dragonflybank.model.work import Outcome
from dragonflybank.standins.records import (
    HostDrained,
    LookupEnded,
    LookupStarted,
    Record,
    TaskEnded,
    TaskStarted,
)
from dragonflybank.standins.simulation import expected_result


@attrs.frozen
class CallerAnswer:
    """One request of a caller and its answer.

    Attributes:
        team: Team of the caller.
        key: The caller's key of a job; empty for a lookup, which is
            identified by its class and payload. Payloads of lookups must
            therefore be unique, except those of retries.
        work_class: Name of the work class.
        payload: Payload of the request.
        asked_at: Time at which the request was sent, seconds since 1970.
        at: Time at which the answer came or the caller gave up.
        outcome: Outcome in the answer; None if no answer came.
        length: Length of the result according to the answer.
        digest: Digest of the result according to the answer.
        result: Result in the answer.
        tasks: Number of tasks of a job.
        host: Scheduler host that was asked.
        was_cut: Whether the connection was accepted and then closed without
            a complete answer.
    """

    team: str
    key: str
    work_class: str
    payload: str
    asked_at: float
    at: float
    outcome: Outcome | None
    length: int = 0
    digest: str = ""
    result: str = ""
    tasks: int = 1
    host: str = ""
    was_cut: bool = False

    @property
    def subject(self) -> tuple[str, str]:
        """Job name, or work class of a lookup, and digest of the payload."""
        name = f"{self.team}/{self.key}" if self.key else self.work_class
        return name, digest(self.payload.encode())


@attrs.frozen
class Violation:
    """A violation of an invariant.

    Attributes:
        invariant: Name of the invariant, such as ``I1``.
        at: Time of the violation in seconds since 1970.
        subject: Worker, host, task or request that it concerns.
        detail: What was observed.
    """

    invariant: str
    at: float
    subject: str
    detail: str


def check_answers(
    records: Sequence[Record],
    answers: Sequence[CallerAnswer],
    *,
    expect_final: bool = True,
) -> list[Violation]:
    """Checks I3: complete answers to the caller's own request.

    The result of a job of several tasks must contain the result of each.

    Args:
        records: Records of all workers.
        answers: All answers of callers.
        expect_final: Whether each request must have a final answer by now.
    """
    done = [a for a in answers if a.outcome is Outcome.DONE]
    done_tasks = _count_done_tasks(records)
    found = [
        Violation("I3", answer.at, "/".join(answer.subject), fault)
        for answer in done
        for fault in _find_answer_faults(answer, done_tasks)
    ]
    if expect_final:
        found += _find_unanswered(answers)
    return found


def check_not_run(
    records: Sequence[Record], answers: Sequence[CallerAnswer]
) -> list[Violation]:
    """Checks I4: work that was reported as not run didn't start.

    A start after the caller repeated its request belongs to the later request,
    unless that one was reported as not run as well.
    """
    starts = collections.defaultdict(list)
    for record in records:
        if isinstance(record, TaskStarted | LookupStarted):
            starts[_start_subject(record)].append(record)
    by_subject = _group_by_subject(answers)
    not_run = [a for a in answers if _reports_not_run(a)]
    return [
        Violation(
            "I4",
            start.at,
            "/".join(answer.subject),
            f"{answer.outcome} at {answer.at}, but started at {start.worker}",
        )
        for answer in not_run
        for start in starts[answer.subject]
        if not _was_repeated(answer, start.at, by_subject[answer.subject])
    ]


def check_drains(
    records: Sequence[Record], answers: Sequence[CallerAnswer]
) -> list[Violation]:
    """Checks I7: a graceful shutdown cuts off no answer."""
    drains = [r for r in records if isinstance(r, HostDrained)]
    return [
        Violation("I7", answer.at, answer.host, f"cut off {answer.subject[0]}")
        for answer in answers
        for drain in drains
        if answer.was_cut
        and answer.host == drain.host
        and answer.asked_at <= drain.exited_at
        and answer.at >= drain.at
    ]


def _find_answer_faults(answer: CallerAnswer, done_tasks) -> Iterable[str]:
    body = answer.result.encode()
    expected = expected_result(answer.work_class, answer.payload)
    if answer.length != len(body):
        yield f"length {answer.length}, but the result has {len(body)} bytes"
    if answer.digest != digest(body):
        yield "the digest doesn't match the result"
    if answer.tasks == 1 and answer.result != expected:
        yield "not the result of the request"
    if answer.result.count(expected) < answer.tasks:
        yield f"fewer than {answer.tasks} complete results"
    if done_tasks[answer.subject] < answer.tasks:
        yield f"{done_tasks[answer.subject]} of {answer.tasks} tasks finished"


def _count_done_tasks(records) -> collections.Counter:
    """Counts the distinct tasks that ended as done, by subject."""
    subjects = {}
    done = set()
    for record in records:
        match record:
            case TaskStarted():
                subjects[record.worker, record.task_id] = _start_subject(record)
            case LookupStarted():
                subjects[record.worker, record.request_id] = _start_subject(
                    record
                )
            case TaskEnded(state=TaskState.DONE):
                subject = subjects[record.worker, record.task_id]
                done.add((subject, record.task_id.rpartition("/")[2]))
            case LookupEnded(state=TaskState.DONE):
                done.add((subjects[record.worker, record.request_id], ""))
    return collections.Counter(subject for subject, _ in done)


def _start_subject(start: TaskStarted | LookupStarted) -> tuple[str, str]:
    if isinstance(start, LookupStarted):
        return start.work_class, start.payload_digest
    return start.task_id.rsplit("/", 2)[0], start.payload_digest


def _find_unanswered(answers) -> list[Violation]:
    return [
        Violation("I3", requests[-1].at, "/".join(subject), "no final answer")
        for subject, requests in _group_by_subject(answers).items()
        if all(a.outcome in (None, Outcome.PENDING) for a in requests)
    ]


def _group_by_subject(answers) -> dict[tuple, list[CallerAnswer]]:
    grouped = collections.defaultdict(list)
    for answer in answers:
        grouped[answer.subject].append(answer)
    return grouped


def _reports_not_run(answer: CallerAnswer) -> bool:
    return answer.outcome in (Outcome.NOT_RUN, Outcome.REFUSED)


def _was_repeated(not_run: CallerAnswer, started_at: float, requests) -> bool:
    return any(
        not_run.at <= later.asked_at <= started_at
        and not _reports_not_run(later)
        for later in requests
    )
