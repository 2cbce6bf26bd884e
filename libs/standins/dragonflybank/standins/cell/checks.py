"""Rules that a play must keep, from what executors and callers saw."""

__all__ = ["CallerHistory", "find_violations"]

import itertools
from collections.abc import Iterable, Iterator, Mapping

import attrs

from dragonflybank.cell.jobs import Job, JobPhase, TaskId
from dragonflybank.cell.ports import EndKind
from dragonflybank.standins.cell.executors import AttemptRun, MemoryExecutor

# An end that an executor lists counts as known after this, if it is told.
NOTED_S = 0.1
CANCEL_S = 3.0


@attrs.define
class CallerHistory:
    """What callers did and were told.

    Attributes:
        jobs: Jobs that callers tried to submit.
        accepted: Times of acceptances.
        refused: Jobs of which every attempt was refused.
        cancelled: Times at which cancels were acknowledged.
        told: States that callers were told, with the time.
    """

    jobs: dict[str, Job] = attrs.field(factory=dict)
    accepted: dict[str, float] = attrs.field(factory=dict)
    refused: set[str] = attrs.field(factory=set)
    cancelled: dict[str, float] = attrs.field(factory=dict)
    observed_phases: dict[str, list[tuple[float, JobPhase]]] = attrs.field(
        factory=dict
    )


def find_violations(
    history: CallerHistory, executors: Iterable[MemoryExecutor]
) -> list[str]:
    """Returns a line for each rule that a play broke."""
    executors = list(executors)
    runs: dict[TaskId, list[AttemptRun]] = {}
    for run in itertools.chain.from_iterable(e.runs for e in executors):
        runs.setdefault(run.task, []).append(run)
    lapses = {e.info.id: e.lapsed_at for e in executors}
    for found in runs.values():
        found.sort(key=lambda run: run.at)
    return [
        *_limits(executors),
        *itertools.chain.from_iterable(
            _task_rules(history, task, found, lapses)
            for task, found in runs.items()
        ),
        *_orders(history, runs),
        *_states(history, runs),
    ]


def _limits(executors: list[MemoryExecutor]) -> Iterator[str]:
    for executor in executors:
        for at in executor.overloaded:
            yield f"LIMIT {executor.info.id} is over its capacity at {at:.2f}"


def _task_rules(
    history: CallerHistory,
    task: TaskId,
    runs: list[AttemptRun],
    lapses: Mapping[str, list[float]],
) -> Iterator[str]:
    job = history.jobs.get(task.job)
    if job is None:
        yield f"UNASKED {task} was never submitted"
        return
    if task.job in history.refused:
        yield f"REFUSED {task} ran and its job was refused"
    step = job.steps[task.step]
    if any(run.spec != job.spec for run in runs):
        yield f"UNASKED {task} was started with another text"
    if not step.duplicates:
        yield from _twice(task, runs, lapses)
    cancelled_at = history.cancelled.get(task.job)
    for run in runs:
        is_late = cancelled_at is not None and run.at > cancelled_at + CANCEL_S
        if is_late and not run.was_late:
            yield f"UNASKED {task} was started {run.at:.2f}, after its cancel"
    failed = sorted(
        run.ended_at
        for run in runs
        if run.kind is EndKind.FAILED and _is_noted(run, lapses)
    )
    most = job.queue.max_attempts
    if len(failed) >= most and not step.lasting:
        for run in runs:
            if run.at > failed[most - 1] + NOTED_S:
                yield f"BUDGET {task} was started after {most} failures"


def _twice(
    task: TaskId, runs: list[AttemptRun], lapses: Mapping[str, list[float]]
) -> Iterator[str]:
    for first, second in itertools.combinations(runs, 2):
        ended_at = first.ended_at
        if ended_at is None or second.at < ended_at - 1e-6:
            yield (
                f"TWICE {task} on {first.executor} from {first.at:.2f} and on "
                f"{second.executor} from {second.at:.2f}"
            )
        elif (
            first.kind is EndKind.DONE
            and _is_noted(first, lapses)
            and second.at > ended_at
        ):
            yield (
                f"TWICE {task} was done {ended_at:.2f} on {first.executor} and "
                f"was started on {second.executor} {second.at:.2f}"
            )


def _is_noted(run: AttemptRun, lapses: Mapping[str, list[float]]) -> bool:
    """Returns whether an end was ever taken note of, and so counts.

    One that an executor listed and lost in a crash does not.
    """
    if run.noted_at is None:
        return False
    executor = run.executor.partition("/")[0]
    return not any(run.ended_at < at < run.noted_at for at in lapses[executor])


def _orders(
    history: CallerHistory, runs: Mapping[TaskId, list[AttemptRun]]
) -> Iterator[str]:
    done_at: dict[TaskId, float] = {
        task: min(ends)
        for task, found in runs.items()
        if (ends := [r.ended_at for r in found if r.kind is EndKind.DONE])
    }
    for task, found in runs.items():
        job = history.jobs.get(task.job)
        if job is None:
            continue
        for before in job.steps[task.step].after:
            needed = _done_step(job, task.occurrence, before, done_at)
            if needed is None or needed > found[0].at:
                yield f"ORDER {task} was started before step {before} was done"


def _done_step(
    job: Job, occurrence: int, step: int, done_at: Mapping[TaskId, float]
) -> float | None:
    spec = job.steps[step]
    times = [
        done_at.get(TaskId(job.id, occurrence, step, index))
        for index in range(spec.count)
    ]
    known = [at for at in times if at is not None]
    if spec.gang:
        return min(known, default=None)
    return None if len(known) < spec.count else max(known)


def _states(
    history: CallerHistory, runs: Mapping[TaskId, list[AttemptRun]]
) -> Iterator[str]:
    done = {
        task
        for task, found in runs.items()
        if any(run.kind is EndKind.DONE for run in found)
    }
    for job_id, observed_phases in history.observed_phases.items():
        job = history.jobs[job_id]
        phases = [phase for _, phase in observed_phases]
        finals = {phase for phase in phases if phase.is_final}
        if len(finals) > 1:
            yield f"MIXED {job_id} was told to be {sorted(finals)}"
        if JobPhase.COMPLETED in finals:
            missing = [
                str(TaskId(job_id, 0, number, index))
                for number, step in enumerate(job.steps)
                for index in range(1 if step.gang else step.count)
                if not step.gang
                and TaskId(job_id, 0, number, index) not in done
            ]
            if missing:
                yield f"MIXED {job_id} was completed without {missing[:3]}"
