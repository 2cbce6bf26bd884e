"""A simulated cell of a given size, with counts of what its leader handles.

All messages of the cell are played in virtual time, in which processor time
and links cost nothing. What fails here is a fault of the logic; what grows here
with the cell is what a real leader has to pay for.

``python -m dragonflybank.standins.cell.large_cell EXECUTORS HOSTS FACTOR``
prints the counts of a load of `load_replay.BUSY_CELL` times a factor.
"""

__all__ = ["LargeCell", "LeaderTraffic", "count_leader_traffic"]

import asyncio
import collections
import functools
import sys
import time
import zlib
from collections.abc import Awaitable, Callable, Mapping

import attrs
from returns.result import Result, Success

from dragonflybank.cell.host import HostSettings
from dragonflybank.cell.jobs import AdviceTiming, Job, JobPhase, Queue, Step
from dragonflybank.cell.leader_fitness import HostCapacity
from dragonflybank.cell.ports import AdviceService, ExecutorClient
from dragonflybank.cluster.messages import encode_reply, encode_request
from dragonflybank.standins.cell.checks import find_violations
from dragonflybank.standins.cell.executors import MemoryExecutor
from dragonflybank.standins.cell.load_replay import BUSY_CELL, WorkPattern
from dragonflybank.standins.cell.simulated_cell import (
    SERVICE_NAME,
    SimulatedCell,
)
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time

CORES = 64
MEMORY_MB = 262_144
RACK_SIZE = 12
ZONES = 6
# Time for hosts to start and elect a leader before the load.
SETTLING_S = 3.0
FINISH_TIMEOUT_S = 40.0
PHASE_POLL_INTERVAL_S = 0.5
# Specification of a job: the platform allows 4,000 bytes.
SPEC_BYTES = 1000


@attrs.define
class LeaderTraffic:
    """What a cell's hosts sent to each other, to executors and to the store.

    Attributes:
        calls: Number of calls by kind.
        bytes_sent: Bytes of the messages that hosts sent as answers, by kind.
        bytes_received: Bytes of the messages that hosts received, by kind.
        open_calls: Number of calls in progress to executors.
        max_open_calls: Largest number of calls in progress to executors.
    """

    calls: collections.Counter = attrs.field(factory=collections.Counter)
    bytes_sent: collections.Counter = attrs.field(factory=collections.Counter)
    bytes_received: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    open_calls: int = 0
    max_open_calls: int = 0


@attrs.frozen
class LoadFigures:
    """What became of the load.

    Attributes:
        jobs: Number of submitted jobs.
        accepted: Number of accepted jobs.
        completed: Number of jobs that callers saw completed.
        starts: Number of attempts that began to run.
        violations: A line for each violation of a rule.
    """

    jobs: int
    accepted: int
    completed: int
    starts: int
    violations: list[str]


class LargeCell(SimulatedCell):
    """A cell with the queues and executors of a busy deployment.

    Attributes:
        traffic: What its hosts sent.

    Args:
        seed: Seed of all random draws.
        hosts: Number of hosts.
        executors: Number of executors.
        patterns: Classes of jobs.
        capacities: Capacities of hosts by name; that of the others is not
            limited.
    """

    def __init__(
        self,
        seed: int,
        *,
        hosts: int,
        executors: int,
        patterns: tuple[WorkPattern, ...] = BUSY_CELL,
        capacities: Mapping[str, HostCapacity] | None = None,
    ):
        self._capacities = dict(capacities or {})
        self.traffic = LeaderTraffic()
        super().__init__(seed, hosts=hosts, executors=executors)
        self.patterns = {p.name: p for p in patterns}
        self.handlers_of_host = _CountedHandlers(self.traffic)
        self._queues = {
            p.name: Queue(
                *(p.name, "front", f"/{p.name}/", SERVICE_NAME),
                *(p.priority, p.objective_s, p.slack, 4, p.advice),
            )
            for p in patterns
        }

    async def start_host(self, name: str) -> None:
        """See `SimulatedCell.start_host`."""
        await super().start_host(name)
        self.hosts[name].platform.advice = _PatternAdvice(self)

    def draw_pattern_job(self) -> Job:
        """Draws a job of one of the patterns."""
        rng = self.rng
        patterns = list(self.patterns.values())
        pattern = rng.choices(patterns, [p.jobs_per_s for p in patterns])[0]
        count = max(1, min(120, round(_draw(rng, pattern.width, 0.8))))
        cores = max(0.5, min(30.0, _draw(rng, pattern.cores, 0.4)))
        run_s = max(0.05, _draw(rng, pattern.run_s, 0.5))
        step = Step(
            count,
            millicores=int(1000 * cores),
            memory_mb=int(1000 * cores),
            estimate_s=run_s * rng.uniform(0.6, 1.4),
            gang=rng.random() < pattern.gang_share,
        )
        # The digit of the priority tells the advice service the pattern.
        job_id = f"{pattern.priority:x}{rng.getrandbits(60):015x}"
        job = self.make_job(pattern.name, step, run_s=run_s, job_id=job_id)
        return attrs.evolve(job, spec="s" * SPEC_BYTES)

    async def run_pattern_load(
        self,
        *,
        factor: float,
        duration_s: float,
        settling_s: float = SETTLING_S,
    ) -> LoadFigures:
        """Runs a load of the patterns.

        Args:
            factor: Factor of the rates of the patterns.
            duration_s: Time in which jobs are submitted, in seconds.
            settling_s: Time before the first job, in seconds.
        """
        await asyncio.sleep(settling_s)
        rate = factor * sum(p.jobs_per_s for p in self.patterns.values())
        ends_at = self._clock.now() + duration_s
        callers = []
        while self._clock.now() < ends_at:
            await asyncio.sleep(self.rng.expovariate(rate))
            callers.append(
                asyncio.create_task(self._call(self.draw_pattern_job()))
            )
        phases = await asyncio.gather(*callers)
        lost = [
            f"LOST {job.id} of {job.queue.name} ended as {phase}"
            for job, phase in phases
            if job.id in self.history.accepted
            and phase is not JobPhase.COMPLETED
        ]
        return LoadFigures(
            len(phases),
            len(self.history.accepted),
            sum(phase is JobPhase.COMPLETED for _, phase in phases),
            sum(len(e.runs) for e in self.executors.values()),
            [*find_violations(self.history, self.executors.values()), *lost],
        )

    async def _call(self, job: Job) -> tuple[Job, JobPhase | None]:
        if not await self.submit(job):
            return job, None
        return job, await self.wait_until_final(job, timeout_s=FINISH_TIMEOUT_S)

    def _host_settings(self, name: str) -> HostSettings:
        capacity = self._capacities.get(name, HostCapacity())
        return attrs.evolve(super()._host_settings(name), capacity=capacity)

    def _new_executor(self, name: str, number: int) -> MemoryExecutor:
        executor = super()._new_executor(name, number)
        executor.info = attrs.evolve(
            executor.info,
            zone=f"zone-{number // RACK_SIZE % ZONES}",
            millicores=1000 * CORES,
            memory_mb=MEMORY_MB,
            labels=("a", f"rack-{number // RACK_SIZE}"),
        )
        make_client = executor.client
        executor.client = lambda host, **kwargs: _CountedClient(
            make_client(host, **kwargs), self.traffic
        )
        return executor


class _CountedHandlers(dict):
    """Handlers of peers' requests, which count calls and bytes."""

    def __init__(self, traffic: LeaderTraffic):
        super().__init__()
        self._traffic = traffic

    def __setitem__(self, host: str, handlers: Mapping) -> None:
        counted = {
            kind: (cls, functools.partial(self._handle, kind, handler))
            for kind, (cls, handler) in handlers.items()
        }
        super().__setitem__(host, counted)

    async def _handle(
        self, kind: str, handler: Callable, sender: str, request
    ) -> Result:
        traffic = self._traffic
        traffic.calls[kind] += 1
        traffic.bytes_received[kind] += len(
            encode_request(kind, sender, _encoded(request))
        )
        reply = await handler(sender, request)
        traffic.bytes_sent[kind] += len(encode_reply(reply))
        return reply


class _CountedClient(ExecutorClient):
    """A client of an executor that counts calls."""

    def __init__(self, client: ExecutorClient, traffic: LeaderTraffic):
        self._client = client
        self._traffic = traffic

    async def start(self, command):
        return await self._count("start", self._client.start(command))

    async def stop(self, task, attempt, *, epoch):
        return await self._count(
            "stop", self._client.stop(task, attempt, epoch=epoch)
        )

    async def throttle(self, task, attempt, *, percent, epoch):
        call = self._client.throttle(
            task, attempt, percent=percent, epoch=epoch
        )
        return await self._count("throttle", call)

    async def poll(self, *, epoch, acked_end, lease_until_s, wait_s):
        call = self._client.poll(
            epoch=epoch,
            acked_end=acked_end,
            lease_until_s=lease_until_s,
            wait_s=wait_s,
        )
        return await self._count("poll", call)

    async def close(self):
        await self._client.close()

    async def _count(self, kind: str, call: Awaitable[Result]) -> Result:
        traffic = self._traffic
        traffic.calls[kind] += 1
        traffic.open_calls += 1
        traffic.max_open_calls = max(traffic.max_open_calls, traffic.open_calls)
        try:
            return await call
        finally:
            traffic.open_calls -= 1


class _PatternAdvice(AdviceService):
    """Advice with the timing and the share of good executors of a pattern."""

    def __init__(self, cell: LargeCell):
        self._cell = cell
        self._lock = asyncio.Lock()

    async def advise(self, step, executors, *, timeout_s):
        pattern = next(
            p
            for p in self._cell.patterns.values()
            if p.priority == int(step[0], 16)
        )
        timing: AdviceTiming = pattern.advice
        async with self._lock:
            await asyncio.sleep(timing.base_s + len(executors) * timing.each_s)
        limit = 1000 * pattern.good_share
        return Success(
            {
                name: self._cell.executors[name].issue_ticket(step)
                for name in executors
                if zlib.crc32(f"{step}/{name}".encode()) % 1000 < limit
            }
        )


def _encoded(request) -> bytes:
    return encode_reply(Success(request))


def _draw(rng, mean: float, spread: float) -> float:
    return mean * rng.lognormvariate(-spread * spread / 2, spread)


def count_leader_traffic(
    *, executors: int, hosts: int, factor: float, duration_s: float, seed: int
) -> tuple[LoadFigures, LeaderTraffic, dict[str, int]]:
    """Plays a load and returns its outcome, the traffic and store calls."""

    async def run():
        cell = LargeCell(seed, hosts=hosts, executors=executors)
        await cell.start()
        figures = await cell.run_pattern_load(
            factor=factor, duration_s=duration_s
        )
        return figures, cell.traffic, cell.store.calls

    return run_in_virtual_time(run())


if __name__ == "__main__":
    began_s = time.process_time()
    outcome, counted, store_calls = count_leader_traffic(
        executors=int(sys.argv[1]),
        hosts=int(sys.argv[2]),
        factor=float(sys.argv[3]),
        duration_s=float(sys.argv[4]) if len(sys.argv) > 4 else 6.0,
        seed=1,
    )
    print(attrs.evolve(outcome, violations=outcome.violations[:5]))
    print(len(outcome.violations), "violations")
    print("calls", dict(counted.calls))
    print("sent", dict(counted.bytes_sent))
    print("received", dict(counted.bytes_received))
    print("most calls in progress", counted.max_open_calls)
    print("store", store_calls)
    print("processor seconds", round(time.process_time() - began_s, 1))
