"""Time for one decision and decisions a second, in one process.

The code that is measured is the one that scheduler hosts run. The fleet is
kept near full by tasks that start and end, since a choice among empty workers
is easier than the usual one.
"""

__all__ = ["backlog_decisions", "lookup_decisions", "placement_decisions"]

import asyncio
import gc
import itertools
import random
import time
import types
from collections.abc import Callable, Iterator

import attrs
from hdrh.histogram import HdrHistogram
from returns.pipeline import is_successful
from returns.result import Success

from dragonflybank.bench import deployment_models
from dragonflybank.bench.deployment_models import CELL, DEPLOYMENTS, Deployment
from dragonflybank.bench.table import Better, Row
from dragonflybank.config.operator import Team
from dragonflybank.host.fleet import Fleet
from dragonflybank.host.lookups import LOOKUP_NEED
from dragonflybank.host.scheduling_rules import HostSchedulingRules
from dragonflybank.host.task_outcomes import ClassStatistics
from dragonflybank.jobs.context import HomeContext
from dragonflybank.jobs.entries import Entry
from dragonflybank.jobs.job_order import (
    PlacementRequest,
    placement_request,
    remaining_quotas,
    waiting_jobs_in_order,
)
from dragonflybank.jobs.placement import MAX_JOBS_PER_ROUND
from dragonflybank.jobs.transitions import new_entry
from dragonflybank.model.resources import (
    Resources,
    add_resources,
    fits,
    subtract_resources,
)
from dragonflybank.model.topology import VmInfo
from dragonflybank.model.work import JobSpec, WorkClass
from dragonflybank.platform.vmlist import VmList
from dragonflybank.policy.placement import BestFitPolicy, LookupPolicy

SEED = 20
SIZES = (24, 160, 1600)
BACKLOGS = (300, 1290, 10_000, 100_000)
# The value of a shard has room for about this many small jobs.
SHARD_JOBS = 1290
TEAMS = 34
PRIORITIES = 5
# Enough measured tasks of each class that grants are the learned ones.
MEASURED_TASKS = 200
DECISIONS = 1500
# Bounds the time of the benchmark: waiting jobs over all passes, and passes.
PASS_JOBS = 30_000
MIN_PASSES = 3
# "Each decided in milliseconds": fewer than ten.
DECISION_MS = 10.0
DECISION_SOURCE = "section 1: each decided in milliseconds (< 10)"
# "Thousands of placements a second": at least two.
PLACEMENTS_PER_S = 2000.0
PLACEMENTS_SOURCE = "section 1: thousands of placements a second (>= 2)"


def placement_decisions() -> list[Row]:
    """Returns the time of placements by the scan over all candidates."""
    rows = []
    for deployment in (*DEPLOYMENTS, CELL):
        counts = SIZES if deployment is CELL else (deployment.workers,)
        timings = {n: _placements(deployment, n) for n in counts}
        for count, measured in timings.items():
            where = f"{deployment.name}, {count} workers"
            rows += _time_rows("one placement", where, measured)
        if len(counts) > 1:
            rows.append(_slope_row(deployment, counts, timings))
    return rows


def lookup_decisions() -> list[Row]:
    """Returns the time to choose an executor for a lookup."""
    rng = random.Random(SEED)
    need = LOOKUP_NEED
    rows = []
    for count in (SIZES[0], SIZES[-1]):
        workers = deployment_models.workers_of(CELL, count=count)
        workers = [
            attrs.evolve(w, free=attrs.evolve(w.free, slots=rng.randint(0, 8)))
            for w in workers
        ]
        scan = _timed(lambda w=workers: BestFitPolicy().choose(need, w, 0.0))
        policy = LookupPolicy(SEED)
        two = _timed(lambda w=workers, p=policy: p.choose(need, w, 0.0))
        rows += _time_rows(
            "one lookup's choice", f"{count} workers", two, baseline=scan
        )
    return rows


def backlog_decisions() -> list[Row]:
    """Returns the time to find the next job, and of jobs and placements."""
    cell = _cell_host()
    rows = []
    for count in BACKLOGS:
        shards = _shards(count, cell)
        passes = max(MIN_PASSES, PASS_JOBS // count)
        first, whole = _histogram(), _histogram()
        for _ in range(passes):
            to_first, to_last = _rounds_ns(shards)
            first.record_value(to_first)
            whole.record_value(to_last)
        jobs = sum(min(MAX_JOBS_PER_ROUND, len(s.entries)) for s in shards)
        where = f"{count} waiting jobs, {TEAMS} teams"
        each_ms = first.get_mean_value() / 1e6 / len(shards)
        note = (
            f"jobs are spread over shards; sum over {len(shards)} of at most "
            f"{SHARD_JOBS} jobs, {each_ms:.2f} ms each; {passes} passes"
        )
        rate = jobs * 1e9 / whole.get_mean_value()
        rows += _time_rows("next job", where, first, rate=rate, note=note)
    return [*rows, _whole_row(cell)]


class _Workers:
    """Workers that are kept near full by tasks that start and end."""

    def __init__(self, deployment: Deployment, count: int):
        self.rng = random.Random(SEED)
        self.deployment = deployment
        self.workers = deployment_models.workers_of(deployment, count=count)
        self.places = {w.name: i for i, w in enumerate(self.workers)}
        self.tasks = []
        for place in range(count):
            self.fill(place)
        for _ in range(count // 4):
            self.end()

    def draw(self):
        return deployment_models.draw_need(self.deployment, self.rng)[1]

    def fill(self, place):
        need = self.draw()
        while fits(need, self.workers[place].free):
            self.take(self.workers[place].name, need)
            need = self.draw()

    def choose(self, need):
        return BestFitPolicy().choose(need, self.workers, 0.0)

    def take(self, name, need):
        place = self.places[name]
        self._change(place, subtract_resources, need)
        self.tasks.append((place, need))

    def end(self):
        number = self.rng.randrange(len(self.tasks))
        place, need = self.tasks.pop(number)
        self._change(place, add_resources, need)

    def _change(self, place, change, need):
        worker = self.workers[place]
        self.workers[place] = attrs.evolve(
            worker, free=change(worker.free, need)
        )


@attrs.frozen
class _Shard:
    """Waiting jobs of one shard and the context of its home."""

    entries: list[Entry]
    ctx: HomeContext

    def wishes(self, now: float) -> Iterator[PlacementRequest]:
        """Yields what one round without refusals asks room for."""
        room = remaining_quotas(self.entries, self.ctx)
        wishes = (
            placement_request(entry, self.ctx, room, ())
            for entry in waiting_jobs_in_order(self.entries, self.ctx, now)
        )
        found = (wish for wish in wishes if wish is not None)
        return itertools.islice(found, MAX_JOBS_PER_ROUND)


class _CellList(VmList):
    """The workers of the largest size, as the VM list names them."""

    async def list_vms(self):
        return Success(
            tuple(
                VmInfo(w.name, "127.0.0.1", 1, "flanders", size=w.size)
                for w in deployment_models.workers_of(CELL)
            )
        )


def _placements(deployment, count):
    fleet = _Workers(deployment, count)
    measured = _histogram()
    for _ in range(DECISIONS):
        need = fleet.draw()
        started = time.perf_counter_ns()
        outcome = fleet.choose(need)
        measured.record_value(time.perf_counter_ns() - started)
        if is_successful(outcome):
            fleet.take(outcome.unwrap().name, need)
        while len(fleet.tasks) > 1 and not is_successful(fleet.choose(need)):
            fleet.end()
    return measured


def _whole_row(cell):
    """Returns the rate of finding jobs and placing them at the largest size."""
    fleet = _Workers(CELL, SIZES[-1])
    shards = _shards(BACKLOGS[-1], cell)
    spent_ns, placed = 0, 0
    gc.collect()
    for shard in shards[: -(-DECISIONS // MAX_JOBS_PER_ROUND)]:
        started = time.perf_counter_ns()
        wishes = list(shard.wishes(0.0))
        spent_ns += time.perf_counter_ns() - started
        placed += len(wishes)
        for _ in wishes:
            need = fleet.draw()
            started = time.perf_counter_ns()
            outcome = fleet.choose(need)
            spent_ns += time.perf_counter_ns() - started
            if is_successful(outcome):
                fleet.take(outcome.unwrap().name, need)
            fleet.end()
    return Row(
        "next job and its placement",
        "per s",
        f"cell, {SIZES[-1]} workers, {BACKLOGS[-1]} waiting jobs",
        placed / (spent_ns / 1e9),
        Better.HIGHER,
        bound=PLACEMENTS_PER_S,
        bound_source=PLACEMENTS_SOURCE,
        note=f"rounds of shards of {SHARD_JOBS} jobs, one after another",
    )


def _rounds_ns(shards: list[_Shard]) -> tuple[int, int]:
    """Returns the time to the first wishes and to the last, over shards."""
    to_first, to_last = 0, 0
    for shard in shards:
        started = time.perf_counter_ns()
        wishes = shard.wishes(0.0)
        next(wishes)
        to_first += time.perf_counter_ns() - started
        list(wishes)
        to_last += time.perf_counter_ns() - started
    return to_first, to_last


def _cell_host():
    """Returns what the rules of a shard read of a scheduler host."""
    fleet = Fleet(_CellList())
    asyncio.run(fleet.read())
    learned = ClassStatistics()
    classes = {
        f"class-{p}": WorkClass(f"class-{p}", priority=p)
        for p in range(PRIORITIES)
    }
    for name, _ in itertools.product(classes, range(MEASURED_TASKS)):
        learned.sizes.add(name, Resources(cores=1.5, memory_mb=200))
    active = types.SimpleNamespace(
        work_class=lambda name: Success(classes[name]),
        team=lambda name: Team(name, "flanders", max_running=1000),
    )
    settings = types.SimpleNamespace(shards_per_region=1)
    return types.SimpleNamespace(
        active_config=active,
        settings=settings,
        fleet=fleet,
        class_statistics=learned,
    )


def _shards(count, host) -> list[_Shard]:
    rng = random.Random(SEED)
    classes = [f"class-{p}" for p in range(PRIORITIES)]
    entries = [
        new_entry(
            JobSpec(f"team-{i % TEAMS}", f"job-{i}", rng.choice(classes)),
            WorkClass(""),
            i / count,
        )
        for i in range(count)
    ]
    rules = HostSchedulingRules(host, "flanders/0")
    # The order of jobs reads only the rules of a home.
    ctx = HomeContext(None, None, rules, None, rng, print)
    return [
        _Shard(entries[start : start + SHARD_JOBS], ctx)
        for start in range(0, count, SHARD_JOBS)
    ]


def _timed(decide: Callable[[], object]) -> HdrHistogram:
    histogram = _histogram()
    for _ in range(DECISIONS):
        started = time.perf_counter_ns()
        decide()
        histogram.record_value(time.perf_counter_ns() - started)
    return histogram


def _histogram():
    # The collector's pauses for garbage of earlier benchmarks are not those
    # of the decision.
    gc.collect()
    return HdrHistogram(1, 60 * 10**9, 3)


def _time_rows(what, where, measured, *, baseline=None, rate=None, note=""):
    return [
        Row(
            f"time for {what}, p99",
            "ms",
            where,
            measured.get_value_at_percentile(99) / 1e6,
            baseline=baseline and baseline.get_value_at_percentile(99) / 1e6,
            bound=DECISION_MS,
            bound_source=DECISION_SOURCE,
            note=note,
        ),
        Row(
            f"rate of {what}",
            "per s",
            where,
            rate or 1e9 / measured.get_mean_value(),
            Better.HIGHER,
            baseline=baseline and 1e9 / baseline.get_mean_value(),
            bound=PLACEMENTS_PER_S,
            bound_source=PLACEMENTS_SOURCE,
            note=note,
        ),
    ]


def _slope_row(deployment, counts, timings):
    steps = (counts[-1] - counts[0]) / 1000
    first, last = timings[counts[0]], timings[counts[-1]]
    grown_ms = (last.get_mean_value() - first.get_mean_value()) / 1e6
    return Row(
        "slope of one placement",
        "ms per 1000 workers",
        f"{deployment.name}, {counts[0]} to {counts[-1]} workers",
        grown_ms / steps,
    )
