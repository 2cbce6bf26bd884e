"""A simulated cell: hosts, executors, store, advice and callers in memory."""

__all__ = ["SimulatedCell", "SubmissionLoad"]

import asyncio
import random
from collections.abc import Mapping, Sequence

import attrs
import msgspec
from returns.result import Failure, Success

from dragonflybank.cell.host import CellHost, HostSettings
from dragonflybank.cell.jobs import (
    CellConfig,
    Job,
    JobPhase,
    Service,
    Step,
    TaskId,
)
from dragonflybank.cell.limits import CellLimits
from dragonflybank.cell.ports import ExecutorInfo
from dragonflybank.cell.teams import Team
from dragonflybank.model.codes import Code
from dragonflybank.standins.cell.answer_check import AnswerCheck
from dragonflybank.standins.cell.caller_keys import CallerKeys
from dragonflybank.standins.cell.checks import CallerHistory, find_violations
from dragonflybank.standins.cell.executors import MemoryExecutor
from dragonflybank.standins.cell.gang_runs import GangRuns
from dragonflybank.standins.cell.memory_platform import (
    MemoryPeers,
    MemoryPlatform,
)
from dragonflybank.standins.cell.simulated_load import (
    SubmissionLoad,
    defined_queue,
    make_queues,
)
from dragonflybank.standins.cell.store import MemoryStore
from dragonflybank.standins.cell.virtual_time import (
    VirtualClock,
    current_process,
)

SERVICE_NAME = "directory"
PHASE_POLL_INTERVAL_S = 0.5
LEADER_POLL_INTERVAL_S = 0.005
CALL_TIMEOUT_S = 3.0


class SimulatedCell:
    """A cell in memory, under the faults that a test sets.

    Attributes:
        store: The store.
        executors: Executors by identifier.
        hosts: Live hosts by name.
        history: Requests of callers and the answers that they got.
        answer_check: Compares what hosts say of ends and cancels with the
            store.
        cut_peers: Hosts that neither reach other hosts nor are reached by them.
        powered_off: Hosts whose machines have lost power.
        handlers_of_host: Handlers of calls from peers, by live host.
        teams: Teams of the next configuration, by name.
        refusing_hosts: Live hosts whose machines refuse connections, so that
            other hosts take their processes for ended.

    Args:
        seed: Seed of all random draws.
        hosts: Number of hosts.
        executors: Number of executors.
        advised: Whether queues other than ``lookup`` need advice.
        services: Services, among which the executors are dealt out in turn;
            all queues begin at the first.
        teams: Teams by name; jobs are drawn from all of them alike.
    """

    def __init__(
        self,
        seed: int,
        *,
        hosts: int = 3,
        executors: int = 6,
        advised: bool = True,
        services: Sequence[str] = (SERVICE_NAME,),
        teams: Mapping[str, Team] | None = None,
    ):
        self.rng = random.Random(seed)
        self.store = MemoryStore(random.Random(seed + 1))
        self.history = CallerHistory()
        self.answer_check = AnswerCheck(self.store)
        self.hosts: dict[str, CellHost] = {}
        self.cut_peers: set[str] = set()
        self.powered_off: set[str] = set()
        self.refusing_hosts: set[str] = set()
        self.handlers_of_host: dict[str, Mapping] = {}
        self._host_names = [f"host-{n}" for n in range(hosts)]
        self._processes_started = 0
        self._process_of_host: dict[str, str] = {}
        self._run_times_s: dict[str, float] = {}
        self._failing_jobs: set[str] = set()
        self._gang_runs = GangRuns(self._find_step)
        self._clock = VirtualClock()
        self._services = tuple(services)
        self.teams = dict(teams or {})
        self._queues = make_queues(advised, self._services[0])
        self._caller_keys = CallerKeys(self.history)
        self.executors = {
            name: self._new_executor(name, number)
            for number, name in enumerate(
                f"executor-{n}" for n in range(executors)
            )
        }

    async def start(self) -> None:
        """Writes the store's entries and starts all hosts."""
        self.configure(1)
        for executor in self.executors.values():
            self.write_executor_entry(executor)
        for name in self._host_names:
            await self.start_host(name)

    def configure(
        self,
        version: int,
        *,
        moved_queues: Mapping[str, str] | None = None,
        dropped_queues: Sequence[str] = (),
        keys: Mapping[str, Sequence[str]] | None = None,
    ) -> None:
        """Writes a configuration to the store.

        Args:
            version: Its version, higher than that of the last one.
            moved_queues: New services by name of the queue; the other queues
                stay where they are.
            dropped_queues: Queues that are left out of this configuration.
            keys: API keys by name of the team; None for the same teams as
                before.
        """
        if keys is not None:
            self.teams = self._caller_keys.change(keys, self._clock.now())
        moved = moved_queues or {}
        self._queues = {
            name: attrs.evolve(
                queue, service=moved.get(name, queue.service), version=version
            )
            for name, queue in self._queues.items()
        }
        queues = [q for n, q in self._queues.items() if n not in dropped_queues]
        cfg = CellConfig(
            version,
            {"front": tuple(queues)},
            {name: Service(name) for name in self._services},
            teams=self.teams,
        )
        self.store.put("config", msgspec.json.encode(cfg))
        for queue in queues:
            self.history.record_service(queue, self._clock.now())
        self.history.record_teams(self.teams, self._clock.now())

    def write_executor_entry(
        self, executor: MemoryExecutor, info: ExecutorInfo | None = None
    ) -> None:
        """Writes an executor's entry to the store.

        Args:
            executor: The executor.
            info: Another writer's entry; its own one if None.
        """
        key = "executors/" + executor.info.id
        self.store.put(key, msgspec.json.encode(info or executor.info))

    def drain_executor(
        self, executor: MemoryExecutor, *, remaining_s: float = 30.0
    ) -> None:
        """Marks an executor's entry as draining.

        Args:
            executor: The executor.
            remaining_s: Shortest time until it leaves, in seconds.
        """
        executor.info = attrs.evolve(
            executor.info, draining=True, drain_remaining_s=remaining_s
        )
        self.write_executor_entry(executor)

    def restart_drained_executor(self, executor: MemoryExecutor) -> None:
        """Starts a new incarnation of an executor that has drained and left."""
        executor.info = attrs.evolve(executor.info, draining=False)
        executor.restart()
        self.write_executor_entry(executor)

    def remove_executor_entry(self, executor: MemoryExecutor) -> None:
        """Removes an executor's entry from the store."""
        self.store.put("executors/" + executor.info.id, None)

    async def start_host(self, name: str) -> None:
        """Starts a new process of a host."""
        self._processes_started += 1
        self.powered_off.discard(name)
        process = self._process_of_host[name] = (
            f"{name}#{self._processes_started}"
        )

        async def start() -> None:
            current_process.set(process)
            host = CellHost(
                self._host_settings(name),
                MemoryPlatform(self, name),
                MemoryPeers(self, name),
                clock=self._clock,
                unix_time=self._clock.now,
            )
            self.hosts[name] = host
            await host.maybe_start()

        await asyncio.create_task(start())

    def _host_settings(self, name: str) -> HostSettings:
        return HostSettings(name, limits=CellLimits())

    def kill_host(self, name: str, *, power_off: bool = False) -> None:
        """Kills the process of a host.

        Args:
            name: Name of the host.
            power_off: Whether its machine loses power until the host is
                started again.
        """
        if power_off:
            self.powered_off.add(name)
        host = self.hosts.pop(name, None)
        if host is None:
            return
        self.handlers_of_host.pop(name, None)
        asyncio.get_running_loop().kill(self._process_of_host[name])

    async def freeze_host(self, name: str, seconds: float) -> None:
        """Lets the process of a host stand still and then go on.

        Other hosts get no answer from it meanwhile; it misses their calls.

        Args:
            name: Name of the host.
            seconds: Duration.
        """
        loop, process = asyncio.get_running_loop(), self._process_of_host[name]
        self.cut_peers.add(name)
        loop.freeze(process)
        await asyncio.sleep(seconds)
        loop.thaw(process)
        self.cut_peers.discard(name)

    def leader(self) -> str:
        """Returns the name of the leader, or an empty string without one."""
        return next(
            (n for n, h in self.hosts.items() if h.leader is not None), ""
        )

    async def wait_for_leader(self) -> str:
        """Waits until a host leads and returns its name."""
        while True:
            name = self.leader()
            if name:
                return name
            await asyncio.sleep(LEADER_POLL_INTERVAL_S)

    async def submit(self, job: Job, *, key: str | None = None) -> bool:
        """Submits a job as a caller does, with retries.

        Args:
            job: The job.
            key: API key of the caller; drawn if None.

        Returns:
            Whether the job was accepted.
        """
        if key is None:
            key = self._caller_keys.draw_key(self.rng)
        self.history.record_submission(job, self._clock.now())
        is_refused = True
        for _ in range(5):
            hosts = list(self.hosts.values())
            if hosts:
                host = self.rng.choice(hosts)
                queue = defined_queue(host, job)
                team = self._caller_keys.authorize(
                    host.config, queue, key, self._clock.now()
                )
                if team is None:
                    await asyncio.sleep(1.0)
                    continue
                defined = attrs.evolve(job, queue=queue, team=team or job.team)
                call = asyncio.create_task(
                    host.frontend.submit(defined, timeout_s=CALL_TIMEOUT_S)
                )
                done, _ = await asyncio.wait({call}, timeout=CALL_TIMEOUT_S)
                got = call.result() if done and not call.cancelled() else None
                if isinstance(got, Success):
                    self.history.accepted[job.id] = self._clock.now()
                    return True
                is_unknown = got is None or got.failure().code in (
                    Code.WRITE_UNSETTLED,
                    Code.TIMED_OUT,
                )
                is_refused &= not is_unknown
            await asyncio.sleep(1.0)
        if is_refused:
            self.history.refused.add(job.id)
        return False

    async def wait_until_final(
        self, job: Job, *, timeout_s: float
    ) -> JobPhase | None:
        """Polls the phase of a job until it is final.

        Returns:
            The final phase; None after the timeout or if the job is unknown.
        """
        deadline = self._clock.now() + timeout_s
        observed_phases = self.history.observed_phases.setdefault(job.id, [])
        while self._clock.now() < deadline:
            await asyncio.sleep(PHASE_POLL_INTERVAL_S)
            hosts = list(self.hosts.values())
            if not hosts:
                continue
            host = self.rng.choice(hosts)
            got = await host.frontend.job_phase(job.id)
            if isinstance(got, Failure):
                if got.failure().code is Code.UNKNOWN_JOB:
                    observed_phases.append((self._clock.now(), JobPhase.FAILED))
                    return None
                continue
            observed_phases.append((self._clock.now(), got.unwrap()))
            self.answer_check.check_phase(
                self._process_of_host[host.settings.name],
                job.id,
                got.unwrap(),
                self._clock.now(),
            )
            if got.unwrap().is_final:
                return got.unwrap()
        return None

    async def cancel(self, job: Job) -> None:
        """Cancels a job as a caller does, with retries."""
        for _ in range(5):
            if self.hosts:
                host = self.rng.choice(list(self.hosts.values()))
                got = await host.frontend.cancel(
                    job.id, timeout_s=CALL_TIMEOUT_S
                )
                if isinstance(got, Success):
                    self.history.cancelled[job.id] = self._clock.now()
                    self.answer_check.check_cancel(
                        host.settings.name, job.id, self._clock.now()
                    )
                    return
            await asyncio.sleep(1.0)

    async def run_load(
        self, load: SubmissionLoad, *, finish_timeout_s: float = 60.0
    ) -> list[str]:
        """Runs a load and returns a line for each violation of a rule.

        Args:
            load: The load.
            finish_timeout_s: Time in which each job must reach its final phase
                after its submission, in seconds.
        """
        number = int(load.jobs_per_s * load.duration_s)
        checking = asyncio.create_task(
            self.answer_check.check_hosts(
                self.hosts, self._process_of_host, self.history.accepted
            )
        )
        async with asyncio.TaskGroup() as group:
            callers = [
                group.create_task(self._run_caller(load, finish_timeout_s))
                for _ in range(number)
            ]
        checking.cancel()
        unfinished = [c.result() for c in callers if c.result()]
        return [
            *find_violations(self.history, self.executors.values()),
            *self.answer_check.violations,
            *unfinished,
        ]

    def draw_job(self, load: SubmissionLoad) -> Job:
        """Draws a job with the shapes that users submit."""
        rng = self.rng
        name = rng.choices(list(self._queues), (10, 2, 1))[0]
        job_id = f"{rng.getrandbits(64):016x}"
        # A gang fits on two executors of 32 cores, so that it can always run.
        width = rng.randint(1, 3) if name == "lookup" else rng.randint(2, 6)
        cores = rng.randint(1, 6) if name != "verify" else rng.randint(5, 10)
        run_s = rng.uniform(0.3, 1.0) if name == "lookup" else 2.0
        steps = tuple(
            Step(
                width,
                millicores=1000 * cores,
                memory_mb=1000 * cores,
                estimate_s=run_s,
                after=(n - 1,) if n else (),
                gang=name == "verify" and rng.random() < 0.7,
                max_per_executor=(
                    2 if name != "verify" and rng.random() < 0.1 else 0
                ),
            )
            for n in range(1 if name == "lookup" else rng.randint(1, 2))
        )
        run_s *= rng.lognormvariate(0, 0.4)
        if rng.random() < load.failing_share:
            self._failing_jobs.add(job_id)
        team = rng.choice(sorted(self.teams)) if self.teams else ""
        return self.make_job(
            name, *steps, run_s=run_s, job_id=job_id, team=team
        )

    def make_job(
        self,
        queue: str,
        *steps: Step,
        run_s: float,
        job_id: str = "",
        team: str = "",
    ) -> Job:
        """Returns a job that a caller can submit.

        Args:
            queue: Name of its queue.
            steps: Its steps.
            run_s: Run time of each task on a sound executor, in seconds.
            job_id: Its identifier; drawn if empty.
            team: Its team.
        """
        job_id = job_id or f"{self.rng.getrandbits(64):016x}"
        self._run_times_s[job_id] = run_s
        return Job(
            job_id,
            self._queues[queue],
            "text of " + job_id,
            steps,
            self._clock.now(),
            team=team,
        )

    async def _run_caller(
        self, load: SubmissionLoad, finish_timeout_s: float
    ) -> str:
        await asyncio.sleep(self.rng.uniform(1.0, 1.0 + load.duration_s))
        job = self.draw_job(load)
        if not await self.submit(job):
            return ""
        if self.rng.random() < load.cancel_share:
            await asyncio.sleep(self.rng.uniform(0.0, 2.0))
            await self.cancel(job)
        phase = await self.wait_until_final(job, timeout_s=finish_timeout_s)
        expected = {JobPhase.COMPLETED}
        if job.id in self.history.cancelled:
            expected = {JobPhase.CANCELLED, JobPhase.COMPLETED, JobPhase.FAILED}
        elif job.id in self._failing_jobs:
            expected = {JobPhase.FAILED}
        if phase in expected:
            return ""
        return f"LOST {job.id} of {job.queue.name} ended as {phase}"

    def _new_executor(self, name: str, number: int) -> MemoryExecutor:
        info = ExecutorInfo(
            name,
            self._services[number % len(self._services)],
            f"10.0.0.{number}:80",
            f"zone-{number % 3}",
            millicores=32_000,
            memory_mb=64_000,
            labels=("a", f"rack-{number // 3}"),
            incarnation=1,
        )
        executor = MemoryExecutor(
            info,
            find_step=self._find_step,
            run_time_s=lambda task: self._run_times_s.get(task.job, 0.5),
            does_fail=lambda task: task.job in self._failing_jobs,
            ticket_valid_s=self.history.ticket_valid_s,
            clock_rate=self.rng.uniform(0.98, 1.0),
            rng=random.Random(self.rng.getrandbits(32)),
        )
        self._gang_runs.connect(executor)
        return executor

    def _find_step(self, task: TaskId) -> Step | None:
        job = self.history.jobs.get(task.job)
        return job.steps[task.step] if job else None
