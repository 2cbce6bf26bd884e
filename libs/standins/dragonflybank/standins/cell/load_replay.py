"""Replays a load against the scheduling decisions alone, in virtual time.

Jobs of several classes arrive at given rates; executors, the advice service and
the hosts that call it are simulated without messages. The decisions are those
of the cell: order, placement, spending of advice.
"""

__all__ = [
    "BUSY_CELL",
    "FORECAST_CELL",
    "JobOutcome",
    "LoadReplay",
    "WorkPattern",
    "replay_load",
    "summarise",
]

import asyncio
import collections
import itertools
import math
import operator
import random
import zlib
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs
from returns.result import Success

from dragonflybank.cell.advice_dispatch import AdviceDispatcher
from dragonflybank.cell.background import BackgroundTasks
from dragonflybank.cell.capacity import release, reserve
from dragonflybank.cell.election import Leadership
from dragonflybank.cell.jobs import (
    AdviceTiming,
    CellConfig,
    Job,
    JobPhase,
    Progress,
    Queue,
    Step,
)
from dragonflybank.cell.leader import IDLE_ROUND_INTERVAL_S, ROUND_DELAY_S
from dragonflybank.cell.metrics import CellMetrics
from dragonflybank.cell.ports import AdviceService, ExecutorInfo
from dragonflybank.cell.scheduling import Scheduler
from dragonflybank.cell.state import (
    Attempt,
    AttemptPhase,
    Executor,
    StepState,
)
from dragonflybank.cell.step_order import HARD_DEADLINE_FACTOR
from dragonflybank.cell.teams import Team
from dragonflybank.cell.workload import Workload
from dragonflybank.standins.cell.virtual_time import (
    VirtualClock,
    run_in_virtual_time,
)

SERVICE_NAME = "directory"
# From a decision until the task runs: the placement is stored, and the command
# sent.
START_DELAY_S = 0.05
END_DELAY_S = 0.02
CORES = 64
MEMORY_MB = 262_144
RACK_SIZE = 20
# The middle of each third of the executors.
SLOWNESS = (1.0, 1.0, 1.3)
# Beyond this the replay is not continued.
MAX_TAIL_S = 60.0


@attrs.frozen
class WorkPattern:
    """A class of jobs.

    Attributes:
        name: Name of its queue.
        priority: Priority of its queue.
        objective_s: Fixed part of its objective, in seconds.
        slack: Multiple of its critical path in its objective.
        jobs_per_s: Average rate of its jobs.
        width: Average number of tasks of a step.
        cores: Average number of cores of a task.
        run_s: Average run time of a task in seconds.
        advice: Timing of its advice.
        good_share: Share of the executors that may run a step.
        gang_share: Share of its steps that are gangs.
    """

    name: str
    priority: int
    objective_s: float
    slack: float
    jobs_per_s: float
    width: float
    cores: float
    run_s: float
    advice: AdviceTiming
    good_share: float
    gang_share: float = 0.0


# The classes of a cooperative with 176 executors and 29 hosts.
BUSY_CELL = (
    WorkPattern(
        *("summary", 1, 1.2, 2.2, 2.3, 20.0, 18.0, 4.2),
        *(AdviceTiming(0.559, 0.00806, 1.5), 0.28, 1.0),
    ),
    WorkPattern(
        *("reconciliation", 2, 3.0, 4.0, 5.0, 25.0, 6.9, 2.3),
        *(AdviceTiming(0.13, 0.00182, 1.5), 0.59, 0.0),
    ),
    WorkPattern(
        *("lookup", 0, 0.4, 1.5, 43.0, 3.2, 9.9, 0.85),
        *(AdviceTiming(0.0143, 0.000208, 1.5), 0.7, 0.3),
    ),
)

# The classes of flood forecasts with 176 executors and 34 hosts, each job with
# one step: 75% of the cores at usual load.
FORECAST_CELL = (
    WorkPattern(
        *("ensemble", 1, 1.2, 2.2, 1.55, 20.0, 18.0, 6.2),
        *(AdviceTiming(0.864, 0.0077, 2.0), 0.3, 1.0),
    ),
    WorkPattern(
        *("rerun", 2, 3.0, 4.0, 7.0, 25.0, 6.9, 3.4),
        *(AdviceTiming(0.192, 0.0018, 2.0), 0.45, 0.0),
    ),
    WorkPattern(
        *("check", 0, 0.4, 1.5, 46.9, 3.0, 9.9, 0.64),
        *(AdviceTiming(0.0115, 0.0001, 2.0), 0.7, 0.3),
    ),
)


@attrs.frozen
class JobOutcome:
    """What became of a job.

    Attributes:
        queue: Name of its queue.
        sent_at: Time of its arrival, in seconds from the start.
        took_s: Time until its end, infinity if it did not end.
        objective_s: Its objective in seconds, from its real run times.
        core_s: Its work in core-seconds.
        team: Its team.
    """

    queue: str
    sent_at: float
    took_s: float
    objective_s: float
    core_s: float
    team: str = ""

    @property
    def is_in_time(self) -> bool:
        """Whether it met its objective."""
        return self.took_s <= self.objective_s

    @property
    def is_useful(self) -> bool:
        """Whether it ended within three times its objective."""
        return self.took_s <= HARD_DEADLINE_FACTOR * self.objective_s


@attrs.frozen
class LoadReplay:
    """A load.

    Attributes:
        patterns: Classes of jobs.
        duration_s: Time in which jobs arrive, in seconds.
        peak: Begin and end of a load peak, in seconds from the start.
        peak_factor: Factor of the rates during the peak.
        executors: Number of executors.
        hosts: Number of hosts that call the advice service.
        call_overhead_s: Time that a call takes beyond its declared duration.
        seed: Seed of all random draws.
        teams: Teams by name. Each sends its part of the jobs, by its weight.
        has_shares: Whether the configuration has the teams; without them, jobs
            are placed in the order of a cell without teams.
        hot_team: Team that sends more than its usual load.
        hot: Begin and end of its additional load, in seconds from the start.
        hot_factor: Factor of its rate in this time. The other teams' jobs are
            the same at any factor.
    """

    patterns: Sequence[WorkPattern] = BUSY_CELL
    duration_s: float = 30.0
    peak: tuple[float, float] = (0.0, 0.0)
    peak_factor: float = 1.0
    executors: int = 176
    hosts: int = 29
    call_overhead_s: float = 0.03
    seed: int = 1
    teams: Mapping[str, Team] = attrs.field(factory=dict)
    has_shares: bool = True
    hot_team: str = ""
    hot: tuple[float, float] = (0.0, 0.0)
    hot_factor: float = 1.0


def replay_load(load: LoadReplay) -> list[JobOutcome]:
    """Replays a load and returns the outcome of each job."""
    return run_in_virtual_time(_Replay(load).run())


class _Advice(AdviceService):
    """The advice service as one host reaches it: one call at a time."""

    def __init__(self, overhead_s: float, shares: Mapping[str, float]):
        self._overhead_s = overhead_s
        self._shares = shares
        self._lock = asyncio.Lock()
        self.timings: Mapping[str, AdviceTiming] = {}

    async def advise(self, step, executors, *, timeout_s):
        queue = step.partition("-")[0]
        timing = self.timings[queue]
        await asyncio.sleep(self._overhead_s / 2)
        async with self._lock:
            await asyncio.sleep(timing.base_s + len(executors) * timing.each_s)
        await asyncio.sleep(self._overhead_s / 2)
        limit = 1000 * self._shares[queue]
        return Success(
            {
                name: f"ticket/{name}"
                for name in executors
                if zlib.crc32(f"{step}/{name}".encode()) % 1000 < limit
            }
        )


class _Replay:
    """The parts of a leader that the scheduler uses, and the simulation."""

    def __init__(self, load: LoadReplay):
        self._load = load
        self._rng = random.Random(load.seed)
        self.clock = VirtualClock()
        self.workload = Workload()
        self.fleet = self
        self.attempts = self
        self.executors = {e.info.id: e for e in _make_executors(load.executors)}
        self.leadership = Leadership(1, 1, 0.0, float("inf"))
        self.background = BackgroundTasks()
        self.metrics = CellMetrics()
        self._queues = {
            p.name: Queue(
                *(p.name, "front", f"/{p.name}/", SERVICE_NAME),
                *(p.priority, p.objective_s, p.slack, 4, p.advice),
            )
            for p in load.patterns
        }
        self._run_times_s: dict[StepState, list[float]] = {}
        self._run_time_rng = random.Random(load.seed + 1)
        self._ends: dict[str, float] = {}
        self._jobs: list[tuple[WorkPattern, Job, float, float]] = []
        if load.teams:
            queues = tuple(self._queues.values())
            teams = load.teams if load.has_shares else {}
            self.workload.adopt_config(
                CellConfig(1, {"front": queues}, {}, teams=teams)
            )

    async def run(self) -> list[JobOutcome]:
        self._wake = asyncio.Event()
        dispatcher = self._make_dispatcher()
        scheduler = Scheduler(self, dispatcher)
        began_at = self.clock.now()
        arriving = asyncio.gather(
            self._submit_jobs(began_at), self._submit_hot_jobs(began_at)
        )
        ends_at = began_at + self._load.duration_s + MAX_TAIL_S
        while self.clock.now() < ends_at:
            try:
                async with asyncio.timeout(IDLE_ROUND_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            await asyncio.sleep(ROUND_DELAY_S)
            self._wake.clear()
            now = self.clock.now()
            scheduler.place_waiting_steps(now, now)
            if arriving.done() and not self.workload.jobs:
                break
        await self.background.close()
        return [
            JobOutcome(
                pattern.name,
                job.accepted_at - began_at,
                self._ends.get(job.id, float("inf")) - job.accepted_at,
                objective_s,
                core_s,
                job.team,
            )
            for pattern, job, objective_s, core_s in self._jobs
        ]

    def wake(self) -> None:
        """Requests a round of decisions."""
        self._wake.set()

    def reserve_attempts(self, step, pairs, number, now) -> list[Attempt]:
        """See `AttemptManager.reserve_attempts`."""
        return [
            reserve(e, task, number, phase=AttemptPhase.RESERVED, now=now)
            for task, e in pairs
        ]

    def start_attempts(
        self, step: StepState, attempts: Iterable[Attempt]
    ) -> None:
        """See `AttemptManager.start_attempts`."""
        attempts = list(attempts)
        for attempt in attempts:
            attempt.phase = AttemptPhase.STARTING
        groups = [attempts] if step.spec.gang else [[a] for a in attempts]
        for group in filter(None, groups):
            self.background.spawn(self._run_together(step, group))

    def stop(self, attempt: Attempt, reason: str) -> None:
        """See `AttemptManager.stop`; only reserved attempts are stopped."""
        release(attempt)
        self.workload.requeue(attempt.task.step)
        self.wake()

    def _make_dispatcher(self) -> AdviceDispatcher:
        load = self._load
        shares = {p.name: p.good_share for p in load.patterns}
        services = {
            f"host-{n}": _Advice(load.call_overhead_s, shares)
            for n in range(load.hosts)
        }
        for service in services.values():
            service.timings = {p.name: p.advice for p in load.patterns}

        async def call_peer(address, step, executors, timeout_s):
            return await services[address].advise(
                step, executors, timeout_s=timeout_s
            )

        dispatcher = AdviceDispatcher(
            services["host-0"], call_peer, now=self.clock.now
        )
        dispatcher.set_peers(list(services)[1:])
        return dispatcher

    async def _submit_jobs(self, began_at: float) -> None:
        load, rng = self._load, self._rng
        total = sum(p.jobs_per_s for p in load.patterns)
        number = 0
        while (at := self.clock.now() - began_at) < load.duration_s:
            is_peak = load.peak[0] <= at < load.peak[1]
            rate = total * (load.peak_factor if is_peak else 1.0)
            await asyncio.sleep(rng.expovariate(rate))
            number += 1
            weights = [p.jobs_per_s for p in load.patterns]
            pattern = rng.choices(load.patterns, weights)[0]
            shares = [team.weight for team in load.teams.values()]
            team = rng.choices(list(load.teams), shares)[0] if shares else ""
            self._submit(pattern, f"{pattern.name}-{number}", rng, team)

    async def _submit_hot_jobs(self, began_at: float) -> None:
        """Submits what a team sends beyond its usual load."""
        load = self._load
        if load.hot_factor <= 1.0:
            return
        # Draws of its own leave those of the other jobs unchanged.
        rng = random.Random(load.seed + 2)
        total = sum(team.weight for team in load.teams.values())
        share = load.teams[load.hot_team].weight / total
        weights = [p.jobs_per_s for p in load.patterns]
        rate = sum(weights) * share * (load.hot_factor - 1.0)
        await asyncio.sleep(load.hot[0])
        for number in itertools.count(1):
            await asyncio.sleep(rng.expovariate(rate))
            if self.clock.now() - began_at >= load.hot[1]:
                break
            pattern = rng.choices(load.patterns, weights)[0]
            name = f"{pattern.name}-hot{number}"
            self._submit(pattern, name, rng, load.hot_team)

    def _submit(
        self, pattern: WorkPattern, name: str, rng: random.Random, team: str
    ) -> None:
        now = self.clock.now()
        count = max(1, min(120, round(_draw(rng, pattern.width, 0.8))))
        cores = max(0.5, min(30.0, _draw(rng, pattern.cores, 0.4)))
        run_s = _draw(rng, pattern.run_s, 0.5)
        spec = Step(
            count,
            millicores=int(1000 * cores),
            estimate_s=run_s * rng.uniform(0.6, 1.4),
            gang=rng.random() < pattern.gang_share,
        )
        queue = self._queues[pattern.name]
        job = Job(name, queue, "", (spec,), now, team=team)
        state = self.workload.add(
            job,
            Progress(),
            revision=0,
            unix_time=now,
            max_early_start_s=0.0,
            now=now,
        )
        step = state.occurrences[0][0]
        times_s = [run_s * rng.uniform(0.85, 1.15) for _ in step.tasks]
        self._run_times_s[step] = times_s
        objective_s = pattern.objective_s + pattern.slack * max(times_s)
        core_s = sum(times_s) * cores
        self._jobs.append((pattern, job, objective_s, core_s))
        self.wake()

    def _run_time_s(self, step: StepState, attempt: Attempt) -> float:
        slowness = SLOWNESS[int(attempt.executor.info.id[1:]) % len(SLOWNESS)]
        return slowness * self._run_times_s[step][attempt.task.id.index]

    async def _run_together(
        self, step: StepState, attempts: list[Attempt]
    ) -> None:
        await asyncio.sleep(START_DELAY_S)
        for attempt in attempts:
            attempt.phase = AttemptPhase.RUNNING
            attempt.began_at = self.clock.now()
        slowest_s = max(self._run_time_s(step, a) for a in attempts)
        await asyncio.sleep(slowest_s + END_DELAY_S)
        self._end(step, attempts)

    def _end(self, step: StepState, attempts: list[Attempt]) -> None:
        now, workload = self.clock.now(), self.workload
        for attempt in attempts:
            release(attempt)
            workload.finish_task(attempt.task, attempt.number, now)
        state = step.job_state
        if workload.is_complete(state) and not state.phase.is_final:
            workload.end_job(state, JobPhase.COMPLETED, now)
            self._ends[state.job.id] = now
        elif not state.phase.is_final:
            workload.requeue(step)
        workload.drop_if_idle(state)
        self.wake()


def summarise(
    outcomes: Iterable[JobOutcome],
    key: Callable[[JobOutcome], str] = operator.attrgetter("queue"),
) -> dict[str, tuple[int, float]]:
    """Returns the number of jobs and the share in time, by queue.

    Args:
        outcomes: The outcomes.
        key: Returns what to group by instead of the queue.
    """
    by_queue = collections.defaultdict(list)
    for outcome in outcomes:
        by_queue[key(outcome)].append(outcome.is_in_time)
    return {
        queue: (len(found), sum(found) / len(found))
        for queue, found in by_queue.items()
    }


def _make_executors(count: int) -> list[Executor]:
    return [
        Executor(
            ExecutorInfo(
                f"e{n}",
                SERVICE_NAME,
                "10.0.0.1:80",
                f"zone-{n % 6}",
                millicores=1000 * CORES,
                memory_mb=MEMORY_MB,
                labels=("a", f"rack-{n // RACK_SIZE}"),
                incarnation=1,
            ),
            claimed=True,
        )
        for n in range(count)
    ]


def _draw(rng: random.Random, mean: float, spread: float) -> float:
    """Returns a draw of a lognormal distribution with a given mean."""
    return mean * math.exp(rng.gauss(0.0, spread) - spread * spread / 2)
