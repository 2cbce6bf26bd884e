"""Runs of a deployment as processes: its size and the load of callers."""

__all__ = [
    "FOLDERS",
    "Phase",
    "Sample",
    "class_of",
    "drive",
    "open_run",
    "percentile_s",
    "start_waits",
    "with_size",
]

import asyncio
import contextlib
import pathlib
import random
import time
from collections.abc import AsyncIterator, Callable, Iterable, Sequence

import attrs
from hdrh.histogram import HdrHistogram

from dragonflybank.bench.callers import Callers
from dragonflybank.bench.deployment import LoopbackDeployment
from dragonflybank.config.operator import OperatorConfig
from dragonflybank.config.topology import Topology
from dragonflybank.model.hashing import digest
from dragonflybank.model.work import Outcome, WorkClass, WorkKind
from dragonflybank.standins.answers import CallerAnswer
from dragonflybank.standins.records import LookupStarted

FOLDERS = (
    pathlib.Path("deployments/saarinen-koivisto"),
    pathlib.Path("deployments/vandenbroucke"),
)
MAX_WAIT_US = 120_000_000
US_PER_S = 1e6


@attrs.frozen
class Phase:
    """A stretch of time with a steady mean demand.

    Attributes:
        rate: Lookups a second; arrivals are a Poisson process.
        seconds: Length.
    """

    rate: float
    seconds: float


@attrs.frozen
class Sample:
    """A lookup of the load and its answer.

    Attributes:
        phase: Number of its phase.
        due_at: Time at which it was to be sent, seconds since 1970. Waits
            are counted from then, so that a late generator hides none.
        answer: The answer.
    """

    phase: int
    due_at: float
    answer: CallerAnswer

    @property
    def answer_s(self) -> float:
        """Time to the answer in seconds."""
        return self.answer.at - self.due_at

    @property
    def sent_late_s(self) -> float:
        """Lateness of the generator in seconds."""
        return self.answer.asked_at - self.due_at

    def is_in_time(self, timeout_s: float) -> bool:
        """Returns whether the result came within a time in seconds."""
        is_done = self.answer.outcome is Outcome.DONE
        return is_done and self.answer_s <= timeout_s


@contextlib.asynccontextmanager
async def open_run(
    folder: pathlib.Path,
    *,
    hosts: int | None = None,
    workers: int | None = None,
    config: Callable[[OperatorConfig], OperatorConfig] = lambda cfg: cfg,
    seed: int = 1,
) -> AsyncIterator[tuple[LoopbackDeployment, Callers]]:
    """Starts a deployment, waits until it is ready, and stops it.

    Args:
        folder: Folder with its topology and operator configuration.
        hosts: Number of scheduler hosts, if not that of the topology.
        workers: Number of workers, if not that of the topology.
        config: Changes the operator configuration before the start.
        seed: Seed of the callers.
    """
    deployment = LoopbackDeployment(folder)
    deployment.topology = with_size(deployment.topology, hosts, workers)
    deployment.config = config(deployment.config)
    callers = Callers(deployment.urls_in_rotation, seed=seed)
    try:
        await deployment.start()
        await deployment.wait_ready()
        yield deployment, callers
    finally:
        await callers.close()
        await deployment.stop()


def with_size(
    topology: Topology, hosts: int | None, workers: int | None
) -> Topology:
    """Returns a topology with other numbers of hosts and workers.

    Args:
        topology: The topology; its regions get equal shares.
        hosts: Number of hosts; None leaves them as they are.
        workers: Number of workers; None leaves them as they are.
    """
    if hosts is not None:
        rows = _spread(topology, topology.hosts, hosts, "host")
        topology = attrs.evolve(topology, hosts=rows)
    if workers is not None:
        rows = _spread(topology, topology.workers, workers, "worker")
        topology = attrs.evolve(topology, workers=rows)
    return topology


def class_of(deployment: LoopbackDeployment, kind: WorkKind) -> WorkClass:
    """Returns the first work class of a kind."""
    return next(wc for wc in deployment.config.classes if wc.kind is kind)


async def drive(
    deployment: LoopbackDeployment,
    callers: Callers,
    phases: Sequence[Phase],
    *,
    seed: int,
    attempts: int = 1,
    run_s: float | None = None,
) -> list[Sample]:
    """Sends lookups at their due times, whatever the answers do.

    Args:
        deployment: The deployment.
        callers: Send the requests.
        phases: Demand, one phase after the other.
        seed: Seed of arrivals and teams.
        attempts: Requests for a lookup that gets no answer.
        run_s: Time on a slot in seconds; None for the class's expected time.
    """
    rng = random.Random(seed)
    lookup = class_of(deployment, WorkKind.LOOKUP)
    slot_s = lookup.expected_s if run_s is None else run_s
    teams = deployment.config.teams
    weights = [team.lookups_per_s for team in teams]
    loop = asyncio.get_running_loop()
    begin = loop.time()

    async def one(phase: int, due: float, team: str) -> Sample:
        due_at = time.time() - (loop.time() - due)
        answer = await callers.lookup(
            team, lookup.name, run_s=slot_s, attempts=attempts
        )
        return Sample(phase, due_at, answer)

    tasks = []
    for phase, offset in _arrivals(phases, rng):
        due = begin + offset
        await asyncio.sleep(due - loop.time())
        team = rng.choices(teams, weights)[0].name
        tasks.append(asyncio.create_task(one(phase, due, team)))
    return list(await asyncio.gather(*tasks))


async def start_waits(
    deployment: LoopbackDeployment, samples: Iterable[Sample]
) -> list[float]:
    """Returns the waits until the first start of each started lookup.

    Args:
        deployment: Deployment whose workers recorded the starts.
        samples: Lookups.
    """
    started: dict[str, float] = {}
    for record in await deployment.records("workers"):
        if isinstance(record, LookupStarted):
            started.setdefault(record.payload_digest, record.at)
    found = ((s, digest(s.answer.payload.encode())) for s in samples)
    return [started[key] - s.due_at for s, key in found if key in started]


def percentile_s(seconds: Iterable[float], percentile: float) -> float:
    """Returns a percentile of times in seconds, 0 if there are none."""
    histogram = HdrHistogram(1, MAX_WAIT_US, 3)
    for value in seconds:
        histogram.record_value(max(1, int(value * US_PER_S)))
    if not histogram.get_total_count():
        return 0.0
    return histogram.get_value_at_percentile(percentile) / US_PER_S


def _arrivals(phases: Sequence[Phase], rng) -> Iterable[tuple[int, float]]:
    begin = 0.0
    for number, phase in enumerate(phases):
        at = begin + rng.expovariate(phase.rate)
        begin += phase.seconds
        while at < begin:
            yield number, at
            at += rng.expovariate(phase.rate)


def _spread(topology: Topology, rows: Sequence, count: int, kind: str) -> tuple:
    samples = {row.region: row for row in reversed(rows)}
    return tuple(
        attrs.evolve(
            samples[topology.regions[number % len(topology.regions)]],
            name=f"{kind}-{number:03}",
        )
        for number in range(count)
    )
