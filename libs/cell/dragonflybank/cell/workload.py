"""The jobs that a leader knows, and how their tasks become ready and end.

No function here does input or output; the leader carries out what follows.
"""

__all__ = ["Workload"]

import itertools
from collections.abc import Iterator

from dragonflybank.cell.jobs import Job, JobPhase, Progress, TaskId
from dragonflybank.cell.state import Attempt, JobState, StepState, Task


class Workload:
    """Jobs by identity, and the steps that have tasks to place.

    Attributes:
        jobs: Jobs that are not over, or of which attempts may yet run.
        ended: Final state and time of the end of the other jobs.
        ready: Steps that may have waiting tasks, in the order in which they
            became ready.
        timed: Jobs with occurrences that are not due yet.
    """

    def __init__(self):
        self.jobs: dict[str, JobState] = {}
        self.ended: dict[str, tuple[JobPhase, float]] = {}
        self.ready: dict[StepState, None] = {}
        self.timed: dict[str, JobState] = {}

    def add(
        self,
        job: Job,
        progress: Progress,
        *,
        revision: int,
        wall: float,
        early_s: float,
        now: float,
    ) -> JobState | None:
        """Adds an accepted job unless it is known.

        Args:
            job: The job.
            progress: Its stored progress.
            revision: Revision of the stored progress; 0 if none.
            wall: Present time, seconds since 1970.
            early_s: Time by which an occurrence may begin before it is due.
            now: Present time on the leader's steady clock.
        """
        if job.id in self.jobs or job.id in self.ended:
            return None
        if progress.phase.is_final:
            self.ended[job.id] = (progress.phase, progress.ended_at)
            return None
        state = JobState(
            job,
            progress.phase,
            progress=progress,
            progress_revision=revision,
        )
        self.jobs[job.id] = state
        if job.is_recurring:
            self.timed[job.id] = state
            self.open_due(wall, early_s=early_s, now=now)
        else:
            self._open(state, 0, now)
        return state

    def open_due(self, wall: float, *, early_s: float, now: float) -> None:
        """Opens the occurrences that are due."""
        for state in list(self.timed.values()):
            while (number := len(state.occurrences)) < state.job.repeat:
                if state.job.due_at(number) - early_s > wall:
                    break
                self._open(state, number, now)
            else:
                del self.timed[state.job.id]

    def task(self, task_id: TaskId) -> Task | None:
        """Returns a task of a known job whose occurrence is open."""
        state = self.jobs.get(task_id.job)
        steps = state and state.occurrences.get(task_id.occurrence)
        if not steps or task_id.step >= len(steps):
            return None
        tasks = steps[task_id.step].tasks
        return tasks[task_id.index] if task_id.index < len(tasks) else None

    def live_tasks(self) -> Iterator[Task]:
        """Yields the tasks that are not done."""
        for state in self.jobs.values():
            for step in _steps(state):
                yield from (task for task in step.tasks if not task.done)

    def placed(self, task: Task) -> tuple[int, str] | None:
        """Returns the attempt and the executor that a task may run on."""
        step = task.step
        found = step.job.progress.placed.get(step.key_of(task))
        return found if found and found[1] else None

    def finish_task(self, task: Task, attempt: int, now: float) -> bool:
        """Notes that a task is done, with its gang if it has one.

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
            step.undone -= 1
        progress = step.job.progress
        progress.done.setdefault(step.key, []).extend(t.id.index for t in done)
        for member in done:
            progress.saved.pop(step.key_of(member), None)
            progress.placed.pop(step.key_of(member), None)
        if not step.undone:
            self.ready.pop(step, None)
            self._open_next(step.job, step.occurrence, now)
        return True

    def fail_task(self, task: Task, attempt: int) -> bool:
        """Notes that an attempt failed.

        Returns:
            Whether the task has used up its attempts.
        """
        step = task.step
        if task.done or step.spec.lasting:
            return False
        task.failed.add(attempt)
        key = step.key_of(task)
        step.job.progress.failed[key] = sorted(task.failed)
        members = step.tasks if step.spec.gang else [task]
        failed = set().union(*(t.failed for t in members))
        return len(failed) >= step.job.job.queue.max_attempts

    def save(self, task: Task, checkpoint: str) -> bool:
        """Keeps a checkpoint; True if it is new."""
        if not checkpoint or checkpoint == task.checkpoint or task.done:
            return False
        members = task.step.tasks if task.step.spec.gang else [task]
        for member in members:
            member.checkpoint = checkpoint
        task.step.job.progress.saved[task.step.key_of(task)] = checkpoint
        return True

    def requeue(self, step: StepState) -> None:
        """Lets a step's tasks be placed again."""
        if step.ready_at is not None and not step.job.phase.is_final:
            self.ready[step] = None

    def note_placed(self, attempt: Attempt) -> None:
        """Notes where an attempt may run from now on."""
        step = attempt.task.step
        step.job.progress.placed[step.key_of(attempt.task)] = (
            attempt.number,
            attempt.executor.info.id,
        )

    def note_over(self, attempt: Attempt) -> None:
        """Notes that an attempt does not run any more."""
        step = attempt.task.step
        placed = step.job.progress.placed
        key = step.key_of(attempt.task)
        if placed.get(key, (0, ""))[0] == attempt.number:
            placed[key] = (attempt.number, "")

    def is_complete(self, state: JobState) -> bool:
        """Returns whether all tasks of all occurrences are done."""
        if state.job.id in self.timed:
            return False
        return all(not step.undone for step in _steps(state))

    def end(self, state: JobState, phase: JobPhase, wall: float) -> None:
        """Gives a job a final state."""
        state.phase = phase
        state.progress.phase = phase
        state.progress.ended_at = wall
        self.ended[state.job.id] = (phase, wall)
        self.timed.pop(state.job.id, None)
        for step in _steps(state):
            self.ready.pop(step, None)

    def forget(self, state: JobState) -> None:
        """Drops an ended job of which nothing runs any more."""
        if state.phase.is_final and not state.attempts():
            self.jobs.pop(state.job.id, None)

    def next_attempt(self, tasks: list[Task]) -> int:
        """Returns the number of the next attempt of some tasks."""
        return 1 + max(t.last_attempt for t in tasks)

    def count_pending_by_queue(self) -> dict[str, int]:
        """Returns the number of jobs without a started task, by queue."""
        counts: dict[str, int] = {}
        for state in self.jobs.values():
            counts.setdefault(state.job.queue.name, 0)
            if state.phase is JobPhase.QUEUED:
                counts[state.job.queue.name] += 1
        return counts

    def attempts(self) -> Iterator[Attempt]:
        """Yields the attempts of all jobs."""
        return itertools.chain.from_iterable(
            state.attempts() for state in self.jobs.values()
        )

    def _open(self, state: JobState, occurrence: int, now: float) -> None:
        progress = state.progress
        steps = []
        for number, spec in enumerate(state.job.steps):
            step = StepState(state, occurrence, number, spec)
            done = set(progress.done.get(step.key, ()))
            step.tasks = [
                self._task(step, index, index in done, now)
                for index in range(spec.count)
            ]
            step.undone = sum(not t.done for t in step.tasks)
            if spec.gang:
                _share_checkpoint(step.tasks)
            steps.append(step)
        state.occurrences[occurrence] = steps
        self._open_next(state, occurrence, now)

    def _task(
        self, step: StepState, index: int, done: bool, now: float
    ) -> Task:
        key = f"{step.key}.{index}"
        failed = set(step.job.progress.failed.get(key, ()))
        return Task(
            TaskId(step.job.job.id, step.occurrence, step.number, index),
            step,
            done=done,
            failed=failed,
            last_attempt=step.job.progress.placed.get(key, (0, ""))[0],
            checkpoint=step.job.progress.saved.get(key, ""),
            waiting_since=now,
        )

    def _open_next(self, state: JobState, occurrence: int, now: float) -> None:
        if state.phase.is_final:
            # A task can end as done after its job was cancelled.
            return
        steps = state.occurrences[occurrence]
        for step in steps:
            if step.ready_at is None and all(
                not steps[n].undone for n in step.spec.after
            ):
                step.ready_at = now
                if step.undone:
                    self.ready[step] = None


def _steps(state: JobState) -> Iterator[StepState]:
    return itertools.chain.from_iterable(state.occurrences.values())


def _share_checkpoint(tasks: list[Task]) -> None:
    checkpoint = next((t.checkpoint for t in tasks if t.checkpoint), "")
    for task in tasks:
        task.checkpoint = checkpoint
