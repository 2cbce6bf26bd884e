"""Rules of a simulated cell, checked from the runs and the callers' history.

A violation is a line that begins with the name of the rule:

- LIMIT: the running attempts of an executor fit in its capacity.
- UNASKED: only tasks of submitted jobs start, with the submitted
  specification, and not later than `CANCEL_DEADLINE_S` after a cancel was
  acknowledged.
- REFUSED: no task of a refused job runs.
- TWICE: a task doesn't run twice at a time, nor again after an end as done
  that was acknowledged, unless its step allows duplicates.
- BUDGET: a task doesn't start again after the largest number of failed
  attempts.
- ORDER: a task starts only after the steps that its step depends on are done.
- ROUTE: a task starts only on executors of a service to which its queue is or
  was sent since `CONFIG_APPLY_S` before its job was submitted.
- KEY: a submission is admitted or refused by the keys of a configuration that
  was in force between `KEYS_APPLY_S` before it was sent and its answer.
- QUOTA: a start brings what a team has running to at most its cap and the
  allowed overage, and one task more. The greatest cap counts that was in force
  within `CONFIG_APPLY_S` before the start.
- MIXED: callers see only one final phase of a job, and a job is
  completed only if its tasks are done.

`SimulatedCell` adds LOST: each accepted job reaches the expected final phase
in time.
"""

__all__ = ["CallerHistory", "KeyDecision", "find_violations"]

import itertools
from collections.abc import Iterable, Iterator, Mapping

import attrs

from dragonflybank.cell.jobs import Job, JobPhase, Queue, TaskId
from dragonflybank.cell.ports import EndKind
from dragonflybank.cell.teams import ResourceCap, Team
from dragonflybank.standins.cell.executors import AttemptRun, MemoryExecutor

# A failure counts as known to the leader this long after it happened, if it is
# acknowledged at all.
ACK_MARGIN_S = 0.1
CANCEL_DEADLINE_S = 3.0
# Time within which hosts have to apply a change of the configuration.
CONFIG_APPLY_S = 2.5
# The platform's config_apply_ms.
KEYS_APPLY_S = 4.0


@attrs.frozen
class KeyDecision:
    """The answer of a host to a submission with a key.

    Attributes:
        sent_at: Time at which it was sent.
        answered_at: Time at which the host decided.
        key: Key of the caller.
        is_admitted: Whether the key was accepted.
    """

    sent_at: float
    answered_at: float
    key: str
    is_admitted: bool


QUOTA_OVERAGE = 0.1


@attrs.define
class CallerHistory:
    """Requests of callers and the answers that they got, by job.

    Attributes:
        jobs: Jobs that callers tried to submit.
        accepted: Times at which submissions were accepted.
        refused: Jobs of which each submission was refused.
        cancelled: Times at which cancels were acknowledged.
        observed_phases: Phases that callers saw, with the times.
        sent: Times of the first submissions.
        services: Services to which each queue was sent, with the times of the
            configurations.
        keys: Keys of all teams, with the times of the configurations; empty
            for one without teams.
        key_decisions: Answers to submissions with a key.
        teams: Teams of each configuration, with its time.
    """

    jobs: dict[str, Job] = attrs.field(factory=dict)
    accepted: dict[str, float] = attrs.field(factory=dict)
    refused: set[str] = attrs.field(factory=set)
    cancelled: dict[str, float] = attrs.field(factory=dict)
    observed_phases: dict[str, list[tuple[float, JobPhase]]] = attrs.field(
        factory=dict
    )
    sent: dict[str, float] = attrs.field(factory=dict)
    services: dict[str, list[tuple[float, str]]] = attrs.field(factory=dict)
    keys: list[tuple[float, frozenset[str]]] = attrs.field(factory=list)
    key_decisions: list[KeyDecision] = attrs.field(factory=list)
    teams: list[tuple[float, dict[str, Team]]] = attrs.field(factory=list)

    def record_submission(self, job: Job, now: float) -> None:
        """Records the first submission of a job."""
        self.jobs[job.id] = job
        self.sent[job.id] = now

    def record_service(self, queue: Queue, now: float) -> None:
        """Records the service to which a configuration sends a queue."""
        self.services.setdefault(queue.name, []).append((now, queue.service))

    def record_teams(self, teams: Mapping[str, Team], now: float) -> None:
        """Records the teams of a configuration."""
        self.teams.append((now, dict(teams)))

    def ticket_valid_s(self, task: TaskId) -> float | None:
        """Returns for how long tickets for a task are valid, in seconds.

        Returns:
            None if its queue needs no advice, or nobody submitted its job.
        """
        job = self.jobs.get(task.job)
        advice = job.queue.advised if job else None
        return advice.valid_s if advice else None

    def caps(self, team: str, now: float) -> list[ResourceCap]:
        """Returns the caps of a team that may be in force at a time."""
        known = [teams for at, teams in self.teams if at <= now]
        applied = sum(at <= now - CONFIG_APPLY_S for at, _ in self.teams)
        in_force = known[max(0, applied - 1) :]
        return [teams[team].cap for teams in in_force if team in teams]

    def allowed_services(self, job: Job) -> set[str]:
        """Returns the services whose executors may run a job."""
        services = self.services.get(job.queue.name, [])
        applied = [
            service
            for at, service in services
            if at <= self.sent[job.id] - CONFIG_APPLY_S
        ]
        return {*applied[-1:], *(s for _, s in services[len(applied) :])}


def find_violations(
    history: CallerHistory, executors: Iterable[MemoryExecutor]
) -> list[str]:
    """Returns a line for each violation of a rule."""
    executors = list(executors)
    runs: dict[TaskId, list[AttemptRun]] = {}
    for run in itertools.chain.from_iterable(e.runs for e in executors):
        runs.setdefault(run.task, []).append(run)
    lapses = {e.info.id: e.lapsed_at for e in executors}
    for task_runs in runs.values():
        task_runs.sort(key=lambda run: run.started_at)
    return [
        *_check_capacity(executors),
        *itertools.chain.from_iterable(
            _check_task(history, task, task_runs, lapses)
            for task, task_runs in runs.items()
        ),
        *itertools.chain.from_iterable(
            _check_route(history, executor) for executor in executors
        ),
        *_check_keys(history),
        *_check_caps(history, runs),
        *_check_dependencies(history, runs),
        *_check_phases(history, runs),
    ]


def _check_capacity(executors: list[MemoryExecutor]) -> Iterator[str]:
    for executor in executors:
        for at in executor.overloaded_at:
            yield f"LIMIT {executor.info.id} exceeds its capacity at {at:.2f}"


def _check_route(
    history: CallerHistory, executor: MemoryExecutor
) -> Iterator[str]:
    for run in executor.runs:
        job = history.jobs.get(run.task.job)
        if job and executor.info.service not in history.allowed_services(job):
            yield f"ROUTE {run.task} was started on {executor.info.id}"


def _check_keys(history: CallerHistory) -> Iterator[str]:
    for found in history.key_decisions:
        oldest = found.sent_at - KEYS_APPLY_S
        applied = [keys for at, keys in history.keys if at <= oldest]
        later = [
            keys
            for at, keys in history.keys
            if oldest < at <= found.answered_at
        ]
        if not any(
            found.is_admitted == (not keys or found.key in keys)
            for keys in (*applied[-1:], *later)
        ):
            verdict = "admitted" if found.is_admitted else "refused"
            yield f"KEY {found.key} was {verdict} at {found.answered_at:.2f}"


def _check_task(
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
        yield f"REFUSED {task} ran although its job was refused"
    step = job.steps[task.step]
    if any(run.spec != job.spec for run in runs):
        yield f"UNASKED {task} was started with another specification"
    if not step.duplicates:
        yield from _check_single_run(task, runs, lapses)
    cancelled_at = history.cancelled.get(task.job)
    for run in runs:
        is_late = (
            cancelled_at is not None
            and run.started_at > cancelled_at + CANCEL_DEADLINE_S
        )
        if is_late and not run.was_late:
            yield (
                f"UNASKED {task} was started {run.started_at:.2f}, "
                "after its cancel"
            )
    failed = sorted(
        run.ended_at
        for run in runs
        if run.end_kind is EndKind.FAILED and _is_acknowledged(run, lapses)
    )
    max_attempts = job.queue.max_attempts
    if len(failed) >= max_attempts and not step.lasting:
        for run in runs:
            if run.started_at > failed[max_attempts - 1] + ACK_MARGIN_S:
                yield f"BUDGET {task} was started after {max_attempts} failures"


def _check_single_run(
    task: TaskId, runs: list[AttemptRun], lapses: Mapping[str, list[float]]
) -> Iterator[str]:
    for first, second in itertools.combinations(runs, 2):
        ended_at = first.ended_at
        if ended_at is None or second.started_at < ended_at - 1e-6:
            yield (
                f"TWICE {task} on {first.executor} from "
                f"{first.started_at:.2f} and on {second.executor} "
                f"from {second.started_at:.2f}"
            )
        elif (
            first.end_kind is EndKind.DONE
            and _is_acknowledged(first, lapses)
            and second.started_at > ended_at
        ):
            yield (
                f"TWICE {task} was done {ended_at:.2f} on {first.executor} and "
                f"was started on {second.executor} {second.started_at:.2f}"
            )


def _is_acknowledged(
    run: AttemptRun, lapses: Mapping[str, list[float]]
) -> bool:
    """Returns whether the end of a run was acknowledged by a leader.

    An end that was lost in a crash doesn't count: the executor then held no
    valid lease at some time between the end and the acknowledgement.
    """
    if run.acked_at is None:
        return False
    executor = run.executor.partition("/")[0]
    return not any(run.ended_at < at < run.acked_at for at in lapses[executor])


def _check_caps(
    history: CallerHistory, runs: Mapping[TaskId, list[AttemptRun]]
) -> Iterator[str]:
    """Checks cores and memory of each team after each of its starts."""
    events = sorted(
        (
            (at, sign, run.task)
            for run in itertools.chain.from_iterable(runs.values())
            for at, sign in ((run.started_at, 1), (run.ended_at, -1))
            if at is not None and run.task.job in history.jobs
        ),
        key=lambda event: event[:2],
    )
    used: dict[str, list[int]] = {}
    for at, sign, task in events:
        job = history.jobs[task.job]
        step = job.steps[task.step]
        need = (step.millicores, step.memory_mb)
        amounts = used.setdefault(job.team, [0, 0])
        amounts[:] = [u + sign * n for u, n in zip(amounts, need, strict=True)]
        caps = history.caps(job.team, at) if sign > 0 else []
        limits = [(c.millicores, c.memory_mb) for c in caps]
        for amount, task_need, values in zip(
            amounts, need, zip(*limits, strict=True), strict=False
        ):
            most = (1 + QUOTA_OVERAGE) * max(values) + task_need
            if all(values) and amount > most:
                yield (
                    f"QUOTA {task} brought {job.team} to {amount} of "
                    f"{max(values)} at {at:.2f}"
                )


def _check_dependencies(
    history: CallerHistory, runs: Mapping[TaskId, list[AttemptRun]]
) -> Iterator[str]:
    done_at: dict[TaskId, float] = {
        task: min(ends)
        for task, task_runs in runs.items()
        if (
            ends := [
                r.ended_at for r in task_runs if r.end_kind is EndKind.DONE
            ]
        )
    }
    for task, task_runs in runs.items():
        job = history.jobs.get(task.job)
        if job is None:
            continue
        for before in job.steps[task.step].after:
            needed_at = _step_done_at(job, task.occurrence, before, done_at)
            if needed_at is None or needed_at > task_runs[0].started_at:
                yield f"ORDER {task} was started before step {before} was done"


def _step_done_at(
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


def _check_phases(
    history: CallerHistory, runs: Mapping[TaskId, list[AttemptRun]]
) -> Iterator[str]:
    done = {
        task
        for task, task_runs in runs.items()
        if any(run.end_kind is EndKind.DONE for run in task_runs)
    }
    for job_id, observed_phases in history.observed_phases.items():
        job = history.jobs[job_id]
        phases = [phase for _, phase in observed_phases]
        finals = {phase for phase in phases if phase.is_final}
        if len(finals) > 1:
            yield f"MIXED {job_id} was reported as {sorted(finals)}"
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
