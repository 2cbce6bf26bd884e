"""The jobs that a leader knows, and how their steps become ready and end.

The functions here do no input or output; the leader acts on their results.
"""

__all__ = ["Workload", "recorded_occurrences"]

import itertools
from collections.abc import Iterable, Iterator

from dragonflybank.cell.input_faults import FaultPlace, InputFaultError
from dragonflybank.cell.jobs import (
    CellConfig,
    Job,
    JobPhase,
    Progress,
    Step,
    TaskId,
)
from dragonflybank.cell.limits import DEFAULT_QUOTA_OVERAGE
from dragonflybank.cell.queue_definitions import (
    QueueDefinitions,
    is_redefined,
)
from dragonflybank.cell.state import Attempt, JobState, StepState, Task
from dragonflybank.cell.team_shares import RateMeter
from dragonflybank.cell.team_usage import TeamUsage


class Workload:
    """Jobs by identifier, and the steps that have tasks to place.

    Attributes:
        jobs: Jobs that have not ended, or of which attempts may still run.
        ended: Final state and end time of ended jobs.
        ready: Steps that may have waiting tasks, in the order in which they
            became ready.
        recurring: Recurring jobs with occurrences that are not due yet.
        ended_steps: Team and steps of ended jobs that have a team.
        set_aside: Jobs of which nothing is started; see `input_faults`.
        team_usage: What the teams have running, and their caps.
        rate_meter: Finds the jobs that teams send beyond their rates.

    Args:
        quota_overage: See `CellLimits.quota_overage`.
    """

    def __init__(self, quota_overage: float = DEFAULT_QUOTA_OVERAGE):
        self.jobs: dict[str, JobState] = {}
        self.ended: dict[str, tuple[JobPhase, float]] = {}
        self.ready: dict[StepState, None] = {}
        self.recurring: dict[str, JobState] = {}
        self.ended_steps: dict[str, tuple[str, tuple[Step, ...]]] = {}
        self.team_usage = TeamUsage(quota_overage)
        self.rate_meter = RateMeter()
        self.set_aside: set[str] = set()
        self._definitions = QueueDefinitions()

    def adopt_config(self, cfg: CellConfig) -> list[JobState]:
        """Redefines the queues of all jobs, and the teams, by a configuration.

        Returns:
            The jobs whose queues were redefined; their progress must be stored.
        """
        self._definitions = QueueDefinitions(cfg)
        self.team_usage.adopt_config(cfg)
        return [s for s in self.jobs.values() if self.update_queue(s)]

    def update_queue(self, state: JobState) -> bool:
        """Redefines the queue of a job by the configuration in force.

        Advice holds for the executors and the policy of one definition, so it
        is dropped with them.

        Returns:
            Whether the definition differs in more than its version.
        """
        old, new = state.queue, self._definitions.latest(state.queue)
        if new is old or state.phase.is_final:
            return False
        state.queue = new
        if not is_redefined(old, new):
            return False
        state.progress.queue = new
        if (old.service, old.advised) != (new.service, new.advised):
            for step in _all_steps(state):
                step.advice_by_executor.clear()
        return True

    def add(
        self,
        job: Job,
        progress: Progress,
        *,
        revision: int,
        unix_time: float,
        max_early_start_s: float,
        now: float,
    ) -> JobState | None:
        """Adds an accepted job unless it is known.

        Args:
            job: The job.
            progress: Its stored progress.
            revision: Revision of the stored progress; 0 if none.
            unix_time: Current time, seconds since 1970.
            max_early_start_s: How long before it is due an occurrence may
                begin, in seconds.
            now: Current time of the leader's monotonic clock, in seconds.

        Returns:
            The state of the job, or None if it is known or has ended.
        """
        if job.id in self.jobs or job.id in self.ended:
            return None
        if progress.phase.is_final:
            self.ended[job.id] = (progress.phase, progress.ended_at)
            self._keep_steps(job)
            return None
        state = JobState(
            job,
            progress.phase,
            progress=progress,
            progress_revision=revision,
            team_usage=self.team_usage,
        )
        self.jobs[job.id] = state
        self.rate_meter.add(state)
        if job.is_recurring:
            for occurrence in sorted(recorded_occurrences(progress)):
                self._load_occurrence(state, occurrence, now)
            self.recurring[job.id] = state
            self.open_due_occurrences(
                unix_time, max_early_start_s=max_early_start_s, now=now
            )
        else:
            self._open_next_occurrence(state, now)
        return state

    def open_due_occurrences(
        self, unix_time: float, *, max_early_start_s: float, now: float
    ) -> None:
        """Creates the steps of occurrences that are due.

        Raises:
            InputFaultError: It failed for a job.
        """
        for state in list(self.recurring.values()):
            if state.job.id in self.set_aside:
                continue
            try:
                self._open_due(state, unix_time + max_early_start_s, now)
            except Exception as exc:
                raise InputFaultError(FaultPlace.ROUND, [state.job.id]) from exc

    def _open_due(self, state: JobState, until: float, now: float) -> None:
        while state.due_count < state.job.repeat:
            if state.job.due_at(state.due_count) > until:
                return
            self._open_next_occurrence(state, now)
        del self.recurring[state.job.id]

    def find_task(self, task_id: TaskId) -> Task | None:
        """Returns a task of a known job whose occurrence is open."""
        state = self.jobs.get(task_id.job)
        steps = state and state.occurrences.get(task_id.occurrence)
        if not steps or task_id.step >= len(steps):
            return None
        tasks = steps[task_id.step].tasks
        return tasks[task_id.index] if task_id.index < len(tasks) else None

    def unfinished_tasks(self) -> Iterator[Task]:
        """Yields the tasks that are not done."""
        for state in self.jobs.values():
            for step in _all_steps(state):
                yield from (task for task in step.tasks if not task.done)

    def placement_of(self, task: Task) -> tuple[int, str] | None:
        """Returns the attempt number and executor on which a task may run."""
        step = task.step
        found = step.job_state.progress.placed.get(step.task_key(task))
        return found if found and found[1] else None

    def finish_task(self, task: Task, attempt: int, now: float) -> bool:
        """Marks a task as done, and its whole gang if it has one.

        Returns:
            Whether anything changed.
        """
        step = task.step
        if step.spec.lasting:
            return False
        members = step.tasks if step.spec.gang else [task]
        done = [t for t in members if not t.done]
        if not done:
            return False
        for member in done:
            member.done = True
            step.unfinished_count -= 1
        state = step.job_state
        state.unfinished_steps -= not step.unfinished_count
        progress = step.job_state.progress
        progress.done.setdefault(step.key, []).extend(t.id.index for t in done)
        for member in done:
            progress.saved.pop(step.task_key(member), None)
            progress.placed.pop(step.task_key(member), None)
        if not step.unfinished_count:
            self.ready.pop(step, None)
            steps = state.occurrences[step.occurrence]
            dependents = [steps[n] for n in state.dependents[step.number]]
            for dependent in dependents:
                dependent.blocking_count -= 1
            self._open_ready_steps(state, dependents, now)
        return True

    def fail_task(self, task: Task, attempt: int) -> bool:
        """Records that an attempt of a task failed.

        Returns:
            Whether the task has used up its attempts.
        """
        step = task.step
        if task.done or step.spec.lasting:
            return False
        task.failed.add(attempt)
        key = step.task_key(task)
        step.job_state.progress.failed[key] = sorted(task.failed)
        members = step.tasks if step.spec.gang else [task]
        failed = set().union(*(t.failed for t in members))
        return len(failed) >= step.job_state.job.queue.max_attempts

    def save_checkpoint(self, task: Task, checkpoint: str) -> bool:
        """Keeps a checkpoint; returns whether it is new."""
        if not checkpoint or checkpoint == task.checkpoint or task.done:
            return False
        members = task.step.tasks if task.step.spec.gang else [task]
        for member in members:
            member.checkpoint = checkpoint
        task.step.job_state.progress.saved[task.step.task_key(task)] = (
            checkpoint
        )
        return True

    def requeue(self, step: StepState) -> None:
        """Makes the tasks of a step eligible for placement again."""
        if step.ready_at is not None and not step.job_state.phase.is_final:
            self._make_ready(step)

    def record_placement(self, attempt: Attempt) -> None:
        """Records the executor on which an attempt may run from now on."""
        step = attempt.task.step
        step.job_state.progress.placed[step.task_key(attempt.task)] = (
            attempt.number,
            attempt.executor.info.id,
        )

    def clear_placement(self, attempt: Attempt) -> None:
        """Records that an attempt no longer runs."""
        step = attempt.task.step
        placed = step.job_state.progress.placed
        key = step.task_key(attempt.task)
        if placed.get(key, (0, ""))[0] == attempt.number:
            placed[key] = (attempt.number, "")

    def is_complete(self, state: JobState) -> bool:
        """Returns whether all tasks of all occurrences are done."""
        if state.job.id in self.recurring:
            return False
        return not state.unfinished_steps

    def end_job(
        self, state: JobState, phase: JobPhase, unix_time: float
    ) -> None:
        """Sets the final state of a job."""
        state.phase = phase
        state.progress.phase = phase
        state.progress.ended_at = unix_time
        self.ended[state.job.id] = (phase, unix_time)
        self._keep_steps(state.job)
        self.recurring.pop(state.job.id, None)
        for step in _all_steps(state):
            self.ready.pop(step, None)

    def forget_ended(self, job_id: str) -> None:
        """Forgets the final state of a job after its retention time."""
        self.ended.pop(job_id, None)
        self.ended_steps.pop(job_id, None)

    def count_orphans(self, attempts: Iterable[tuple[TaskId, int]]) -> None:
        """Counts orphan attempts as usage of their teams.

        Those of jobs that ended under an earlier leader are left out: nothing
        that is stored names their teams.

        Args:
            attempts: Tasks and numbers of all that executors may run.
        """
        if not self.team_usage.is_active:
            return
        found = ((task, self._team_steps(task.job)) for task, _ in attempts)
        self.team_usage.set_orphans(
            (team, steps[task.step])
            for task, (team, steps) in found
            if task.step < len(steps)
        )

    def _team_steps(self, job_id: str) -> tuple[str, tuple[Step, ...]]:
        """Returns the team and the steps of a job, if they are known."""
        state = self.jobs.get(job_id)
        if state is not None:
            return state.job.team, state.job.steps
        return self.ended_steps.get(job_id, ("", ()))

    def drop_if_idle(self, state: JobState) -> None:
        """Drops an ended job of which no attempt may run any more."""
        if state.phase.is_final and not state.attempts():
            self.jobs.pop(state.job.id, None)

    def next_attempt_number(self, tasks: list[Task]) -> int:
        """Returns the number for the next attempt of some tasks."""
        return 1 + max(t.last_attempt for t in tasks)

    def count_pending_by_queue(self) -> dict[str, int]:
        """Returns the number of jobs without a started task, by queue."""
        counts: dict[str, int] = {}
        for state in self.jobs.values():
            counts.setdefault(state.queue.name, 0)
            if state.phase is JobPhase.QUEUED:
                counts[state.queue.name] += 1
        return counts

    def attempts(self) -> Iterator[Attempt]:
        """Yields the attempts of all jobs."""
        return itertools.chain.from_iterable(
            state.attempts() for state in self.jobs.values()
        )

    def _keep_steps(self, job: Job) -> None:
        if job.team:
            self.ended_steps[job.id] = (job.team, job.steps)

    def _open_next_occurrence(self, state: JobState, now: float) -> None:
        """Lets the steps of the next occurrence become ready."""
        occurrence = state.due_count
        if occurrence not in state.occurrences:
            self._load_occurrence(state, occurrence, now)
        state.due_count += 1
        self._open_ready_steps(state, state.occurrences[occurrence], now)

    def _load_occurrence(
        self, state: JobState, occurrence: int, now: float
    ) -> None:
        """Creates the steps of an occurrence; none of them is ready yet."""
        progress = state.progress
        steps = []
        for number, spec in enumerate(state.job.steps):
            step = StepState(state, occurrence, number, spec)
            done = set(progress.done.get(step.key, ()))
            step.tasks = [
                self._make_task(step, index, index in done, now)
                for index in range(spec.count)
            ]
            step.unfinished_count = sum(not t.done for t in step.tasks)
            if spec.gang:
                _share_checkpoint(step.tasks)
            steps.append(step)
        for step in steps:
            step.blocking_count = sum(
                steps[n].unfinished_count > 0 for n in set(step.spec.after)
            )
        state.unfinished_steps += sum(s.unfinished_count > 0 for s in steps)
        state.occurrences[occurrence] = steps

    def _make_task(
        self, step: StepState, index: int, done: bool, now: float
    ) -> Task:
        key = f"{step.key}.{index}"
        failed = set(step.job_state.progress.failed.get(key, ()))
        return Task(
            TaskId(step.job_state.job.id, step.occurrence, step.number, index),
            step,
            done=done,
            failed=failed,
            last_attempt=step.job_state.progress.placed.get(key, (0, ""))[0],
            checkpoint=step.job_state.progress.saved.get(key, ""),
            created_at=now,
        )

    def _open_ready_steps(
        self, state: JobState, steps: Iterable[StepState], now: float
    ) -> None:
        if state.phase.is_final:
            # A task may succeed after its job was cancelled.
            return
        for step in steps:
            if step.occurrence >= state.due_count:
                continue
            if step.ready_at is None and not step.blocking_count:
                step.ready_at = now
                if step.unfinished_count:
                    self._make_ready(step)

    def _make_ready(self, step: StepState) -> None:
        if step.job_state.job.id not in self.set_aside:
            self.ready[step] = None


def recorded_occurrences(progress: Progress) -> set[int]:
    """Returns the occurrences that a record of progress names.

    A leader stores where it places a task before it starts it.

    Example:
        >>> recorded_occurrences(Progress(placed={"2.0.7": (1, "one")}))
        {2}
    """
    keys = itertools.chain(
        progress.done, progress.failed, progress.saved, progress.placed
    )
    return {int(key.partition(".")[0]) for key in keys}


def _all_steps(state: JobState) -> Iterator[StepState]:
    return itertools.chain.from_iterable(state.occurrences.values())


def _share_checkpoint(tasks: list[Task]) -> None:
    checkpoint = next((t.checkpoint for t in tasks if t.checkpoint), "")
    for task in tasks:
        task.checkpoint = checkpoint
