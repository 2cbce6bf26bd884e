"""Runs a deployment as processes and sends lookups to it."""

__all__ = [
    "DEPLOYMENT_FOLDERS",
    "LoadPhase",
    "TimedLookup",
    "first_class_of_kind",
    "percentile_s",
    "resize_topology",
    "running_deployment",
    "send_lookups",
    "waits_until_start",
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

DEPLOYMENT_FOLDERS = (
    pathlib.Path("deployments/saarinen-koivisto"),
    pathlib.Path("deployments/vandenbroucke"),
)
MAX_RECORDED_US = 120_000_000
US_PER_S = 1e6


@attrs.frozen
class LoadPhase:
    """An interval with a constant mean arrival rate.

    Attributes:
        lookups_per_s: Mean arrival rate; arrivals are a Poisson process.
        duration_s: Length of the interval in seconds.
    """

    lookups_per_s: float
    duration_s: float


@attrs.frozen
class TimedLookup:
    """A lookup of the load, with its scheduled time and its answer.

    Attributes:
        phase: Index of its phase.
        due_at: Scheduled send time in seconds since 1970. Waits are counted
            from then, so that a generator that falls behind doesn't shorten
            them.
        answer: The answer.
    """

    phase: int
    due_at: float
    answer: CallerAnswer

    @property
    def response_time_s(self) -> float:
        """Seconds from the scheduled send time to the answer."""
        return self.answer.at - self.due_at

    @property
    def send_delay_s(self) -> float:
        """Seconds by which the generator sent the lookup late."""
        return self.answer.asked_at - self.due_at

    def is_in_time(self, timeout_s: float) -> bool:
        """Returns whether a result came within a timeout in seconds."""
        is_done = self.answer.outcome is Outcome.DONE
        return is_done and self.response_time_s <= timeout_s


@contextlib.asynccontextmanager
async def running_deployment(
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
        hosts: Number of scheduler hosts; None for that of the topology.
        workers: Number of workers; None for that of the topology.
        config: Returns the operator configuration to start with, given that
            of the folder.
        seed: Seed for the callers' choice of hosts.
    """
    deployment = LoopbackDeployment(folder)
    deployment.topology = resize_topology(deployment.topology, hosts, workers)
    deployment.config = config(deployment.config)
    callers = Callers(deployment.urls_in_rotation, seed=seed)
    try:
        await deployment.start()
        await deployment.wait_until_ready()
        yield deployment, callers
    finally:
        await callers.close()
        await deployment.stop()


def resize_topology(
    topology: Topology, hosts: int | None, workers: int | None
) -> Topology:
    """Returns a topology with other numbers of hosts and workers.

    Args:
        topology: The topology; each of its regions gets an equal share.
        hosts: Number of hosts; None leaves them as they are.
        workers: Number of workers; None leaves them as they are.
    """
    if hosts is not None:
        specs = _distribute_over_regions(
            topology, topology.hosts, hosts, "host"
        )
        topology = attrs.evolve(topology, hosts=specs)
    if workers is not None:
        vms = _distribute_over_regions(
            topology, topology.workers, workers, "worker"
        )
        topology = attrs.evolve(topology, workers=vms)
    return topology


def first_class_of_kind(
    deployment: LoopbackDeployment, kind: WorkKind
) -> WorkClass:
    """Returns the first work class of a kind."""
    return next(wc for wc in deployment.config.classes if wc.kind is kind)


async def send_lookups(
    deployment: LoopbackDeployment,
    callers: Callers,
    phases: Sequence[LoadPhase],
    *,
    seed: int,
    attempts: int = 1,
    run_s: float | None = None,
) -> list[TimedLookup]:
    """Sends lookups at their scheduled times, without waiting for answers.

    Args:
        deployment: The deployment.
        callers: Sends the requests.
        phases: Load phases in order.
        seed: Seed for arrivals and teams.
        attempts: Most requests for a lookup that gets no answer.
        run_s: Run time of a lookup in seconds; None for the expected time of
            its class.
    """
    rng = random.Random(seed)
    lookup = first_class_of_kind(deployment, WorkKind.LOOKUP)
    lookup_run_s = lookup.expected_s if run_s is None else run_s
    teams = deployment.config.teams
    weights = [team.lookups_per_s for team in teams]
    loop = asyncio.get_running_loop()
    started_at = loop.time()

    async def send_at(phase: int, due: float, team: str) -> TimedLookup:
        due_at = time.time() - (loop.time() - due)
        answer = await callers.send_lookup(
            team, lookup.name, run_s=lookup_run_s, attempts=attempts
        )
        return TimedLookup(phase, due_at, answer)

    tasks = []
    for phase, offset in _poisson_arrivals(phases, rng):
        due = started_at + offset
        await asyncio.sleep(due - loop.time())
        team = rng.choices(teams, weights)[0].name
        tasks.append(asyncio.create_task(send_at(phase, due, team)))
    return list(await asyncio.gather(*tasks))


async def waits_until_start(
    deployment: LoopbackDeployment, samples: Iterable[TimedLookup]
) -> list[float]:
    """Returns the waits in seconds until the first start of each lookup.

    Lookups that no worker started are left out.

    Args:
        deployment: Deployment whose workers recorded the starts.
        samples: The lookups.
    """
    started_at: dict[str, float] = {}
    for record in await deployment.read_records("workers"):
        if isinstance(record, LookupStarted):
            started_at.setdefault(record.payload_digest, record.at)
    digests = ((s, digest(s.answer.payload.encode())) for s in samples)
    return [
        started_at[key] - s.due_at for s, key in digests if key in started_at
    ]


def percentile_s(seconds: Iterable[float], percentile: float) -> float:
    """Returns a percentile of times in seconds, 0 if there are none."""
    histogram = HdrHistogram(1, MAX_RECORDED_US, 3)
    for value_s in seconds:
        histogram.record_value(max(1, int(value_s * US_PER_S)))
    if not histogram.get_total_count():
        return 0.0
    return histogram.get_value_at_percentile(percentile) / US_PER_S


def _poisson_arrivals(
    phases: Sequence[LoadPhase], rng
) -> Iterable[tuple[int, float]]:
    phase_end_s = 0.0
    for number, phase in enumerate(phases):
        at = phase_end_s + rng.expovariate(phase.lookups_per_s)
        phase_end_s += phase.duration_s
        while at < phase_end_s:
            yield number, at
            at += rng.expovariate(phase.lookups_per_s)


def _distribute_over_regions(
    topology: Topology, rows: Sequence, count: int, kind: str
) -> tuple:
    templates = {row.region: row for row in reversed(rows)}
    return tuple(
        attrs.evolve(
            templates[topology.regions[number % len(topology.regions)]],
            name=f"{kind}-{number:03}",
        )
        for number in range(count)
    )
