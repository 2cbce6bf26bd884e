"""The rules about waiting work, checked by sampling a simulated cell.

A violation is a line that begins with the name of the rule:

- LOST: for `MAX_WAIT_S` nothing of a job ran though a step of it was ready,
  usable executors had free capacity for it twice over, its team had less than
  half of its cap in use, and less than half of its service's capacity was in
  use.
- HELD: for longer than `MAX_HOLD_S` after an executor was lost, the leader
  still counts an attempt there, whatever else has happened meanwhile.
- MISSING: a long-running task didn't run for longer than `MAX_RESTART_S` after
  its last run, whatever else was running.

An executor is usable for a step if the leader has claimed it, it is listed, not
draining, not silent and calm, and its service, its label and the advice about
it allow the step. A quarantined executor is usable: a quarantine may not hold
back work that has no other place.

A wait counts only while the cell is calm. An executor is calm `CALM_AFTER_S`
after its last fault, its last restart and the end of its draining. The cell is
calm `CALM_AFTER_S` after the last fault of the store, the last change of the
leader and the last time at which the leader was cut off or refused connections.
A queue that was moved waits from the time at which the move must be in force.
A job of which the leader counts an attempt on an executor that isn't usable
doesn't wait: the attempt may still run. A MISSING needs the cell and all listed
executors of the service to be calm for the whole time.

What runs is read from the executors, and which jobs are open from the store, so
that a fault in the leader's own accounts is found too.
"""

__all__ = ["WaitingCheck"]

import asyncio
import collections
import itertools
from collections.abc import Iterator, Mapping, Sequence

import attrs

from dragonflybank.cell.jobs import Job, Step, TaskId
from dragonflybank.cell.keys import job_key
from dragonflybank.cell.leader import Leader
from dragonflybank.cell.ports import EndKind
from dragonflybank.standins.cell.checks import CONFIG_APPLY_S
from dragonflybank.standins.cell.executors import (
    ExecutorFaults,
    MemoryExecutor,
)
from dragonflybank.standins.cell.memory_platform import is_suitable
from dragonflybank.standins.cell.simulated_cell import SimulatedCell
from dragonflybank.standins.cell.store import StoreFaults

MAX_WAIT_S = 3.0
MAX_RESTART_S = 6.0
# A loss that is noticed after 3 s by a leader that is lost then, an election of
# 1.5 s, a start without a ticket that arrives 13 s after it, the longest lease
# of 10.5 s, and slack.
MAX_HOLD_S = 30.0
CALM_AFTER_S = 4.0
SAMPLE_INTERVAL_S = 0.1


@attrs.define
class _Sample:
    """What one sample of the cell shows.

    Attributes:
        now: Time of the sample.
        leader: The leader.
        usable: Usable executors by service.
        free: Free thousandths of a core and MiB, by usable executor.
        idle_services: Services with less than half of their capacity in use.
        running: Tasks that run.
        running_jobs: Jobs of which a task runs or may run.
        done: Tasks that have ended as done.
        last_ends: Time of the last end of each task.
        team_usage: Thousandths of a core and MiB in use, by team.
    """

    now: float
    leader: Leader
    usable: dict[str, list[MemoryExecutor]]
    free: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    idle_services: set[str] = attrs.field(factory=set)
    running: set[TaskId] = attrs.field(factory=set)
    running_jobs: set[str] = attrs.field(factory=set)
    done: set[TaskId] = attrs.field(factory=set)
    last_ends: dict[TaskId, float] = attrs.field(factory=dict)
    team_usage: Mapping[str, list[int]] = attrs.field(
        factory=lambda: collections.defaultdict(lambda: [0, 0])
    )


class WaitingCheck:
    """Samples a simulated cell and collects violations.

    Attributes:
        violations: A line for each violation.

    Args:
        cell: The cell.
    """

    def __init__(self, cell: SimulatedCell):
        self.violations: list[str] = []
        self._cell = cell
        self._leader = ""
        self._leader_epoch = 0
        self._cell_disturbed_at = float("-inf")
        self._executor_disturbed_at: dict[str, float] = {}
        self._incarnations: dict[str, int] = {}
        self._waits_since: dict[tuple, float] = {}
        self._lost_since: dict[str, float] = {}
        self._reported: set[tuple] = set()

    async def run(self) -> None:
        """Samples the cell until cancelled."""
        while True:
            self.sample(asyncio.get_running_loop().time())
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self, now: float) -> None:
        """Samples the cell once.

        Args:
            now: Current time in seconds.
        """
        self._track_disturbances(now)
        host = self._cell.hosts.get(self._cell.leader())
        if host is not None:
            for attempt, detail in self._held_attempts(host.leader, now):
                self._report("HELD", attempt, now, detail)
        if host is None or now - self._cell_disturbed_at < CALM_AFTER_S:
            self._waits_since.clear()
            return
        found = self._take_sample(host.leader, now)
        waiting = {
            key: detail
            for job in self._open_jobs(found)
            for key, detail in self._waiting_steps(job, found)
        }
        self._waits_since = {
            key: self._waits_since.get(key, now) for key in waiting
        }
        for key, detail in waiting.items():
            waited_s = now - self._waits_since[key]
            if waited_s >= MAX_WAIT_S:
                self._report("LOST", key, now, detail)
        for task, detail in self._missing_tasks(found):
            self._report("MISSING", (task,), now, detail)

    def _report(self, rule: str, key: tuple, now: float, detail: str) -> None:
        if (rule, key) not in self._reported:
            self._reported.add((rule, key))
            name = ".".join(map(str, key))
            self.violations.append(f"{rule} {name} at {now:.2f}: {detail}")

    def _track_disturbances(self, now: float) -> None:
        cell, faults = self._cell, self._cell.store.faults
        name = cell.leader()
        host = cell.hosts.get(name)
        epoch = host.leader.leadership.epoch if host else 0
        # Followers may lose a store or peers without an effect on the leader.
        store_faults = attrs.evolve(
            faults, cut_hosts=set(), refused_hosts=set()
        )
        cut = faults.cut_hosts | faults.refused_hosts | cell.cut_peers
        if (
            host is None
            or (name, epoch) != (self._leader, self._leader_epoch)
            or store_faults != StoreFaults()
            or name in cut | cell.refusing_hosts
        ):
            self._cell_disturbed_at = now
        self._leader, self._leader_epoch = name, epoch
        for executor in cell.executors.values():
            key, info = executor.info.id, executor.info
            if (
                executor.faults != ExecutorFaults()
                or info.draining
                or self._incarnations.get(key) != info.incarnation
            ):
                self._executor_disturbed_at[key] = now
            self._incarnations[key] = info.incarnation
            if executor.faults.is_crashed:
                self._lost_since.setdefault(key, now)
            else:
                self._lost_since.pop(key, None)

    def _held_attempts(
        self, leader: Leader, now: float
    ) -> Iterator[tuple[tuple, str]]:
        """Yields the attempts for which all conditions of HELD hold."""
        for key, since in self._lost_since.items():
            known = leader.fleet.executors.get(key)
            if known is not None and now - since > MAX_HOLD_S:
                for attempt in known.attempts.values():
                    yield (
                        (attempt.task.id, attempt.number),
                        f"on {key}, lost at {since:.2f}",
                    )

    def _is_calm(self, executor: str, now: float, for_s: float) -> bool:
        return now - self._executor_disturbed_at[executor] >= for_s

    def _take_sample(self, leader: Leader, now: float) -> _Sample:
        executors = self._cell.executors.values()
        usable: dict[str, list[MemoryExecutor]] = {}
        for executor in executors:
            known = leader.fleet.executors.get(executor.info.id)
            if (
                known is not None
                and known.claimed
                and known.is_listed
                and known.silent_since is None
                and self._is_calm(executor.info.id, now, CALM_AFTER_S)
            ):
                usable.setdefault(executor.info.service, []).append(executor)
        sample = _Sample(now, leader, usable)
        for run in itertools.chain.from_iterable(e.runs for e in executors):
            if run.ended_at is not None:
                last = sample.last_ends.get(run.task, run.ended_at)
                sample.last_ends[run.task] = max(last, run.ended_at)
                if run.end_kind is EndKind.DONE:
                    sample.done.add(run.task)
        for executor in executors:
            self._add_running(executor, sample)
        names = {e.info.id for found in usable.values() for e in found}
        sample.running_jobs |= {
            attempt.task.id.job
            for known in leader.fleet.executors.values()
            if known.info.id not in names
            for attempt in known.attempts.values()
        }
        for service, found in usable.items():
            capacity = [
                (e.info.millicores, e.info.memory_mb, *sample.free[e.info.id])
                for e in found
            ]
            cores, memory, free_cores, free_memory = map(
                sum, zip(*capacity, strict=True)
            )
            if 2 * free_cores > cores and 2 * free_memory > memory:
                sample.idle_services.add(service)
        return sample

    def _add_running(self, executor: MemoryExecutor, sample: _Sample) -> None:
        free = [executor.info.millicores, executor.info.memory_mb]
        for run in executor.running.values():
            sample.running.add(run.task)
            sample.running_jobs.add(run.task.job)
            job = self._cell.history.jobs.get(run.task.job)
            if job is None:
                continue
            step = job.steps[run.task.step]
            free[0] -= 0 if step.filling else step.millicores
            free[1] -= step.memory_mb
            usage = sample.team_usage[job.team]
            usage[0] += step.millicores
            usage[1] += step.memory_mb
        sample.free[executor.info.id] = (free[0], free[1])

    def _open_jobs(self, sample: _Sample) -> Iterator[Job]:
        history = self._cell.history
        for job_id in history.accepted:
            state = sample.leader.workload.jobs.get(job_id)
            is_over = (
                self._cell.store.get(job_key(job_id)) is None
                or job_id in sample.leader.workload.ended
                or (state is not None and state.cancelled)
            )
            if not is_over and job_id not in sample.running_jobs:
                yield history.jobs[job_id]

    def _service(self, job: Job, now: float) -> str:
        """Returns the service of a job, or "" soon after it has changed."""
        sent = self._cell.history.services[job.queue.name]
        before = [s for at, s in sent if at <= now - CONFIG_APPLY_S]
        current = sent[-1][1]
        is_settled = before and all(
            s == current for _, s in sent[len(before) - 1 :]
        )
        return current if is_settled else ""

    def _waiting_steps(
        self, job: Job, sample: _Sample
    ) -> Iterator[tuple[tuple, str]]:
        """Yields the steps of a job for which all conditions of LOST hold."""
        service = self._service(job, sample.now)
        if service not in sample.idle_services:
            return
        for occurrence in range(max(1, job.repeat)):
            if job.due_at(occurrence) > sample.now:
                return
            for number, step in enumerate(job.steps):
                if self._is_step_done(job, occurrence, number, sample.done):
                    continue
                is_ready = all(
                    self._is_step_done(job, occurrence, n, sample.done)
                    for n in step.after
                )
                if not is_ready or not self._has_team_room(job, step, sample):
                    continue
                executors = self._suitable_executors(
                    job, occurrence, number, sample.usable[service]
                )
                free = [sample.free[e.info.id] for e in executors]
                if _holds_twice(step, free):
                    key = (job.id, occurrence, number)
                    yield key, f"{job.queue.name} {step}, free {free}"

    def _is_step_done(
        self, job: Job, occurrence: int, number: int, done: set[TaskId]
    ) -> bool:
        step = job.steps[number]
        found = (
            TaskId(job.id, occurrence, number, n) in done
            for n in range(step.count)
        )
        return any(found) if step.gang else all(found)

    def _has_team_room(self, job: Job, step: Step, sample: _Sample) -> bool:
        """Returns whether a team uses less than half of each of its caps.

        A gang must also fit into what is left of them, since a start may not
        bring the team above its cap.
        """
        caps = self._cell.history.caps(job.team, sample.now)
        limits = [(c.millicores, c.memory_mb) for c in caps]
        lowest = [
            min((x for x in v if x), default=0)
            for v in zip(*limits, strict=True)
        ]
        count = step.count if step.gang else 1
        needs = (count * step.millicores, count * step.memory_mb)
        return all(
            not limit
            or (2 * used < limit and (not step.gang or used + need <= limit))
            for limit, used, need in zip(
                lowest, sample.team_usage[job.team], needs, strict=False
            )
        )

    def _suitable_executors(
        self,
        job: Job,
        occurrence: int,
        number: int,
        executors: Sequence[MemoryExecutor],
    ) -> list[MemoryExecutor]:
        step = job.steps[number]
        name = f"{job.id}.{occurrence}.{number}"
        return [
            e
            for e in executors
            if (not step.label or step.label in e.info.labels)
            and (job.queue.advised is None or is_suitable(name, e.info.id))
        ]

    def _missing_tasks(self, sample: _Sample) -> Iterator[tuple[TaskId, str]]:
        """Yields the tasks for which all conditions of MISSING hold."""
        history, now = self._cell.history, sample.now
        if now - self._cell_disturbed_at < MAX_RESTART_S:
            return
        disturbed = {
            e.info.service
            for e in self._cell.executors.values()
            if not self._is_calm(e.info.id, now, MAX_RESTART_S)
        }
        for task, ended_at in sample.last_ends.items():
            job = history.jobs.get(task.job)
            if (
                job is None
                or not job.steps[task.step].lasting
                or task in sample.running
                or now - ended_at <= MAX_RESTART_S
                or self._cell.store.get(job_key(job.id)) is None
                or job.id in history.cancelled
            ):
                continue
            service = self._service(job, now)
            if service in sample.usable and service not in disturbed:
                yield task, f"ended at {ended_at:.2f}, {job.steps[task.step]}"


def _holds_twice(step: Step, free: Sequence[tuple[int, int]]) -> bool:
    """Returns whether free capacity holds a task, or a whole gang, twice.

    The limit of tasks on one executor counts for the first time only.

    Example:
        >>> _holds_twice(Step(1, millicores=4000), [(7000, 0)])
        False
        >>> _holds_twice(Step(1, millicores=4000), [(4000, 0), (4000, 0)])
        True
    """
    needed = step.count if step.gang else 1
    places = [
        min(
            (
                amount // need
                for amount, need in (
                    (cores, 0 if step.filling else step.millicores),
                    (memory, step.memory_mb),
                )
                if need
            ),
            default=2 * needed,
        )
        for cores, memory in free
    ]
    limited = (min(n, step.max_per_executor or n) for n in places)
    return sum(places) >= 2 * needed and sum(limited) >= needed
