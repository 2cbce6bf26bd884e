"""What callers were told, and the checks that compare it with the records.

I3: each caller receives the complete answer to its own request.
I4: work that a caller was told did not run did not run.
I7: a graceful shutdown cuts off no request in progress.
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
            recognised by its class and payload. Payloads of lookups must
            therefore be unique, but for retries.
        work_class: Name of the work class.
        payload: Payload of the request.
        asked_at: Time of sending, seconds since 1970.
        at: Time of the answer, or at which the caller gave up.
        outcome: What the caller was told; None if no answer came.
        length: Length that the answer gives.
        digest: Digest that the answer gives.
        result: Result that the answer gives.
        tasks: Number of tasks of a job.
        host: Scheduler host that was asked.
        was_cut: Whether the connection was accepted and then closed without
            a whole answer.
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
        """What was asked for: a job's name or a lookup's class, and payload."""
        name = f"{self.team}/{self.key}" if self.key else self.work_class
        return name, digest(self.payload.encode())


@attrs.frozen
class Violation:
    """Something that must always hold and did not.

    Attributes:
        invariant: Number of the invariant, as ``I1``.
        at: Time in seconds since 1970.
        subject: Worker, host, task or request concerned.
        detail: What was seen.
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
    """Checks I3: whole answers to the caller's own request.

    The result of a job of several tasks must contain the result of each.

    Args:
        records: Records of all workers.
        answers: All answers of callers.
        expect_final: Whether each request must have a final answer by now.
    """
    done = [a for a in answers if a.outcome is Outcome.DONE]
    finished = _finished_counts(records)
    found = [
        Violation("I3", answer.at, "/".join(answer.subject), fault)
        for answer in done
        for fault in _faults_of(answer, finished)
    ]
    if expect_final:
        found += _unanswered(answers)
    return found


def check_not_run(
    records: Sequence[Record], answers: Sequence[CallerAnswer]
) -> list[Violation]:
    """Checks I4: no start of work that was said not to have run.

    A start after the caller asked again for the same belongs to the later
    request, unless that one was said not to have run as well.
    """
    starts = collections.defaultdict(list)
    for record in records:
        if isinstance(record, TaskStarted | LookupStarted):
            starts[_subject_of(record)].append(record)
    by_subject = _by_subject(answers)
    denied = [a for a in answers if _denies(a)]
    return [
        Violation(
            "I4",
            start.at,
            "/".join(answer.subject),
            f"{answer.outcome} at {answer.at}, but started at {start.worker}",
        )
        for answer in denied
        for start in starts[answer.subject]
        if not _asked_again(answer, start.at, by_subject[answer.subject])
    ]


def check_drains(
    records: Sequence[Record], answers: Sequence[CallerAnswer]
) -> list[Violation]:
    """Checks I7: no answer cut off by a graceful shutdown."""
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


def _faults_of(answer: CallerAnswer, finished) -> Iterable[str]:
    body = answer.result.encode()
    expected = expected_result(answer.work_class, answer.payload)
    if answer.length != len(body):
        yield f"length {answer.length} for {len(body)} bytes"
    if answer.digest != digest(body):
        yield "digest of other bytes"
    if answer.tasks == 1 and answer.result != expected:
        yield "not the result of the request"
    if answer.result.count(expected) < answer.tasks:
        yield f"less than {answer.tasks} whole results"
    if finished[answer.subject] < answer.tasks:
        yield f"{finished[answer.subject]} of {answer.tasks} tasks finished"


def _finished_counts(records) -> collections.Counter:
    """Counts the distinct tasks that were done, by subject."""
    subjects = {}
    done = set()
    for record in records:
        match record:
            case TaskStarted():
                subjects[record.worker, record.task_id] = _subject_of(record)
            case LookupStarted():
                subjects[record.worker, record.request_id] = _subject_of(record)
            case TaskEnded(state=TaskState.DONE):
                subject = subjects[record.worker, record.task_id]
                done.add((subject, record.task_id.rpartition("/")[2]))
            case LookupEnded(state=TaskState.DONE):
                done.add((subjects[record.worker, record.request_id], ""))
    return collections.Counter(subject for subject, _ in done)


def _subject_of(start: TaskStarted | LookupStarted) -> tuple[str, str]:
    if isinstance(start, LookupStarted):
        return start.work_class, start.payload_digest
    return start.task_id.rsplit("/", 2)[0], start.payload_digest


def _unanswered(answers) -> list[Violation]:
    return [
        Violation("I3", asked[-1].at, "/".join(subject), "no final answer")
        for subject, asked in _by_subject(answers).items()
        if all(a.outcome in (None, Outcome.PENDING) for a in asked)
    ]


def _by_subject(answers) -> dict[tuple, list[CallerAnswer]]:
    grouped = collections.defaultdict(list)
    for answer in answers:
        grouped[answer.subject].append(answer)
    return grouped


def _denies(answer: CallerAnswer) -> bool:
    return answer.outcome in (Outcome.NOT_RUN, Outcome.REFUSED)


def _asked_again(denied: CallerAnswer, started_at: float, asked) -> bool:
    return any(
        denied.at <= later.asked_at <= started_at and not _denies(later)
        for later in asked
    )
