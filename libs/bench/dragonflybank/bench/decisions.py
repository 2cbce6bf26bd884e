"""Time for one decision and decisions a second, in one process.

The fleet is kept near full by tasks that start and end, since a choice among
empty workers is easier than the usual one.
"""

__all__ = ["backlog_decisions", "lookup_decisions", "placement_decisions"]

import gc
import random
import time
from collections.abc import Callable

import attrs
from hdrh.histogram import HdrHistogram
from returns.pipeline import is_successful

from dragonflybank.bench import deployments
from dragonflybank.bench.deployments import CELL, DEPLOYMENTS, Deployment
from dragonflybank.bench.table import Better, Row
from dragonflybank.model.resources import minus, plus
from dragonflybank.policy.backlog import Backlog, WaitingJob
from dragonflybank.policy.placement import BestFitPolicy, LookupPolicy
from dragonflybank.policy.placement_index import CandidateIndex

SEED = 20
SIZES = (24, 160, 1600)
BACKLOGS = (300, 10_000, 100_000)
TEAMS = 34
DECISIONS = 1500
# "Each decided in milliseconds": fewer than ten.
DECISION_MS = 10.0
DECISION_SOURCE = "section 1: each decided in milliseconds (< 10)"
# "Thousands of placements a second": at least two.
PLACEMENTS_PER_S = 2000.0
PLACEMENTS_SOURCE = "section 1: thousands of placements a second (>= 2)"


def placement_decisions() -> list[Row]:
    """Returns the time of placements by the index and by the scan."""
    rows = []
    for deployment in (*DEPLOYMENTS, CELL):
        counts = SIZES if deployment is CELL else (deployment.workers,)
        timings = {n: _placements(deployment, n) for n in counts}
        for count, (scan, index) in timings.items():
            where = f"{deployment.name}, {count} workers"
            rows += _time_rows("one placement", where, scan, index)
        if len(counts) > 1:
            rows.append(_slope_row(deployment, counts, timings))
    return rows


def lookup_decisions() -> list[Row]:
    """Returns the time to choose an executor for a lookup."""
    rng = random.Random(SEED)
    need = deployments.LOOKUP_NEED
    rows = []
    for count in (SIZES[0], SIZES[-1]):
        workers = deployments.workers_of(CELL, count=count)
        workers = [
            attrs.evolve(w, free=attrs.evolve(w.free, slots=rng.randint(0, 8)))
            for w in workers
        ]
        scan = _timed(lambda w=workers: BestFitPolicy().choose(need, w, 0.0))
        policy = LookupPolicy(SEED)
        two = _timed(lambda w=workers, p=policy: p.choose(need, w, 0.0))
        rows += _time_rows("one lookup's choice", f"{count} workers", scan, two)
    return rows


def backlog_decisions() -> list[Row]:
    """Returns the time to take the next job, and of job and placement."""
    rows = []
    for count in BACKLOGS:
        jobs = _jobs(count)
        backlog = Backlog()
        for job in jobs:
            backlog.add(job, 0.0)
        scan = _timed(
            lambda jobs=jobs: min(jobs, key=_job_rank),
            decisions=max(10, 200_000 // count),
        )
        heap = _timed(lambda b=backlog: b.add(b.take(0.0), 0.0))
        where = f"{count} waiting jobs, {TEAMS} teams"
        rows += _time_rows("next job", where, scan, heap)
    return [*rows, _whole_row()]


class _Fleet:
    """Workers that are kept near full by tasks that start and end."""

    def __init__(self, deployment: Deployment, count: int):
        self.rng = random.Random(SEED)
        self.deployment = deployment
        self.workers = deployments.workers_of(deployment, count=count)
        self.places = {w.name: i for i, w in enumerate(self.workers)}
        self.index = CandidateIndex(self.workers)
        self.tasks = []
        while self.start():
            pass
        for _ in range(count // 4):
            self.end()

    def draw(self):
        return deployments.draw_need(self.deployment, self.rng)[1]

    def start(self):
        need = self.draw()
        outcome = self.index.choose(need, 0.0)
        if not is_successful(outcome):
            return False
        self.take(outcome.unwrap().name, need)
        return True

    def take(self, name, need):
        place = self.places[name]
        worker = self.workers[place]
        changed = attrs.evolve(worker, free=minus(worker.free, need))
        self.workers[place] = changed
        self.index.update(changed)
        self.tasks.append((place, need))

    def end(self):
        number = self.rng.randrange(len(self.tasks))
        place, need = self.tasks.pop(number)
        worker = self.workers[place]
        changed = attrs.evolve(worker, free=plus(worker.free, need))
        self.workers[place] = changed
        self.index.update(changed)


def _placements(deployment, count):
    fleet = _Fleet(deployment, count)
    policy = BestFitPolicy()
    scan, index = _histogram(), _histogram()
    for _ in range(DECISIONS):
        need = fleet.draw()
        started = time.perf_counter_ns()
        policy.choose(need, fleet.workers, 0.0)
        scan.record_value(time.perf_counter_ns() - started)
        started = time.perf_counter_ns()
        outcome = fleet.index.choose(need, 0.0)
        if is_successful(outcome):
            fleet.take(outcome.unwrap().name, need)
        index.record_value(time.perf_counter_ns() - started)
        while len(fleet.tasks) > 1 and not is_successful(
            fleet.index.choose(need, 0.0)
        ):
            fleet.end()
    return scan, index


def _whole_row():
    """Returns the rate of taking a job and placing it at the largest size."""
    fleet = _Fleet(CELL, SIZES[-1])
    backlog = Backlog()
    for job in _jobs(BACKLOGS[-1]):
        backlog.add(job, 0.0)
    spent_ns = 0
    for _ in range(DECISIONS):
        need = fleet.draw()
        started = time.perf_counter_ns()
        job = backlog.take(0.0)
        outcome = fleet.index.choose(need, 0.0)
        if is_successful(outcome):
            fleet.take(outcome.unwrap().name, need)
        spent_ns += time.perf_counter_ns() - started
        backlog.add(job, 0.0)
        fleet.end()
    return Row(
        "next job and its placement",
        "per s",
        f"cell, {SIZES[-1]} workers, {BACKLOGS[-1]} waiting jobs",
        DECISIONS / (spent_ns / 1e9),
        Better.HIGHER,
        bound=PLACEMENTS_PER_S,
        bound_source=PLACEMENTS_SOURCE,
    )


def _jobs(count):
    rng = random.Random(SEED)
    return [
        WaitingJob(f"job-{i}", f"team-{i % TEAMS}", rng.randrange(5), float(i))
        for i in range(count)
    ]


def _job_rank(job):
    return (-job.priority, job.accepted_at)


def _timed(
    decide: Callable[[], object], decisions: int = DECISIONS
) -> HdrHistogram:
    histogram = _histogram()
    for _ in range(decisions):
        started = time.perf_counter_ns()
        decide()
        histogram.record_value(time.perf_counter_ns() - started)
    return histogram


def _histogram():
    # The collector's pauses for garbage of earlier benchmarks are not those
    # of the decision.
    gc.collect()
    return HdrHistogram(1, 60 * 10**9, 3)


def _time_rows(what, where, baseline, measured):
    return [
        Row(
            f"time for {what}, p99",
            "ms",
            where,
            measured.get_value_at_percentile(99) / 1e6,
            baseline=baseline.get_value_at_percentile(99) / 1e6,
            bound=DECISION_MS,
            bound_source=DECISION_SOURCE,
        ),
        Row(
            f"rate of {what}",
            "per s",
            where,
            1e9 / measured.get_mean_value(),
            Better.HIGHER,
            baseline=1e9 / baseline.get_mean_value(),
            bound=PLACEMENTS_PER_S,
            bound_source=PLACEMENTS_SOURCE,
        ),
    ]


def _slope_row(deployment, counts, timings):
    steps = (counts[-1] - counts[0]) / 1000
    slopes = [
        (last.get_mean_value() - first.get_mean_value()) / 1e6 / steps
        for first, last in zip(
            timings[counts[0]], timings[counts[-1]], strict=True
        )
    ]
    return Row(
        "slope of one placement",
        "ms per 1000 workers",
        f"{deployment.name}, {counts[0]} to {counts[-1]} workers",
        slopes[1],
        baseline=slopes[0],
    )
