"""Waits of lookups behind long batch tasks, with and without reserved slots.

The backlog of batch work is never empty: a task starts as soon as a worker
has free resources for it. A batch task takes one slot and an equal part of
its worker, so that eight tasks fill a worker. Lookups arrive at random and
get free resources before batch work does. They queue first come, first
served, and no lookup is refused, so that the waits are measured in full.
"""

__all__ = ["BlockingResult", "blocking", "simulate"]

import itertools
import random

import attrs
from hdrh.histogram import HdrHistogram
from returns.pipeline import is_successful

from dragonflybank.bench import deployment_models
from dragonflybank.bench.deployment_models import DEPLOYMENTS, DeploymentModel
from dragonflybank.bench.event_loop import EventLoop
from dragonflybank.bench.table import Better, Row
from dragonflybank.cluster.capacity import CapacityTracker
from dragonflybank.host.lookups import LOOKUP_NEED
from dragonflybank.model.resources import scale_resources, sum_resources
from dragonflybank.policy.admission import FcfsQueue, QueuedRequest
from dragonflybank.policy.placement import BestFitPolicy, LookupPolicy

SEED = 30
DURATION_S = 60.0
# Share of the reserved slots that lookups need on average.
RESERVE_LOADS = (0.25, 0.8)
# Share of the batch tasks that are stragglers, and how much longer they run.
STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 10.0
START_BOUND_S = 1.2
START_SOURCE = "section 1: urgent work starts within 1.2 s"


@attrs.frozen
class BlockingResult:
    """Result of a simulation.

    Attributes:
        waits: Waits of the lookups in microseconds.
        late_share: Share of the lookups that started after the bound.
        batch_core_share: Mean share of the cores that batch work uses.
        unstarted: Lookups that had not started at the end.
    """

    waits: HdrHistogram
    late_share: float
    batch_core_share: float
    unstarted: int


def blocking() -> list[Row]:
    """Compares the waits of lookups with and without reserved slots."""
    rows = []
    for deployment, load in itertools.product(DEPLOYMENTS, RESERVE_LOADS):
        with_reserve = simulate(deployment, deployment.lookup_reserve, load)
        without_reserve = simulate(deployment, 0, load)
        where = f"{deployment.name}, lookups need {load:.0%} of the reserve"
        rows += _rows(where, with_reserve, without_reserve)
    return rows


def simulate(
    deployment: DeploymentModel,
    reserved: int,
    load: float,
    *,
    seed: int = SEED,
    duration_s: float = DURATION_S,
) -> BlockingResult:
    """Simulates lookups and batch work on the workers of a deployment.

    Args:
        deployment: Model of the deployment and its load.
        reserved: Slots of each executor that are reserved for lookups.
        load: Share of the reserved slots that lookups need on average.
        seed: Seed for arrivals, service times and run times.
        duration_s: Simulated time in seconds.
    """
    return _Simulation(deployment, reserved, load, seed, duration_s).run()


class _Simulation:
    def __init__(self, deployment, reserved, load, seed, duration_s):
        self.load = load
        self.deployment = deployment
        self.loop = EventLoop()
        self.lookup_rng = random.Random(seed)
        self.batch_rng = random.Random(seed + 1)
        self.workers = deployment_models.empty_workers(deployment)
        self.indices = {w.name: i for i, w in enumerate(self.workers)}
        self.trackers = [
            CapacityTracker(w.size, lookup_reserve=reserved)
            for w in self.workers
        ]
        self.id_counter = itertools.count()
        size = self.workers[0].size
        slot_share = 1.0 / size.slots
        self.batch_need = attrs.evolve(
            scale_resources(size, slot_share), slots=1, connections=1
        )
        self.batch_run_s = max(tasks.run_s for tasks in deployment.tasks)
        self.cores = sum_resources(w.size for w in self.workers).cores
        self.lookup_policy = LookupPolicy(seed)
        self.batch_policy = BestFitPolicy()
        self.queue = FcfsQueue()
        self.waits = HdrHistogram(1, 10**10, 3)
        self.late_lookups = 0
        self.duration_s = duration_s
        self.batch_core_s = 0.0

    def run(self):
        self._start_batch_tasks()
        self._schedule_arrival()
        self.loop.run(self.duration_s)
        # Lookups that are still queued count with their wait so far.
        unstarted = len(self.queue)
        while (req := self.queue.dequeue(self.loop.now).request) is not None:
            self._record_wait(req)
        recorded = self.waits.get_total_count()
        return BlockingResult(
            self.waits,
            self.late_lookups / recorded,
            self.batch_core_s / (self.cores * self.duration_s),
            unstarted,
        )

    def _schedule_arrival(self):
        slots = len(self.workers) * self.deployment.lookup_reserve
        lookups_per_s = self.load * slots / self.deployment.lookup_service_s
        self.loop.schedule_after(
            self.lookup_rng.expovariate(lookups_per_s), self._on_arrival
        )

    def _on_arrival(self):
        now = self.loop.now
        req = QueuedRequest(
            "", self.deployment.lookup_class, now + START_BOUND_S
        )
        self.queue.enqueue(req, now)
        self._start_lookups()
        self._schedule_arrival()

    def _start_lookups(self):
        while len(self.queue):
            outcome = self.lookup_policy.choose(
                LOOKUP_NEED, self.workers, self.loop.now
            )
            if not is_successful(outcome):
                return
            req = self.queue.dequeue(self.loop.now).request
            self._record_wait(req)
            index = self.indices[outcome.unwrap().name]
            key = next(self.id_counter)
            self.trackers[index].add_lookup(key, LOOKUP_NEED)
            self._update_free(index)
            service_s = self.lookup_rng.expovariate(
                1.0 / self.deployment.lookup_service_s
            )
            self.loop.schedule_after(service_s, self._on_lookup_end, index, key)

    def _on_lookup_end(self, index, key):
        self.trackers[index].remove_lookup(key)
        self._update_free(index)
        self._start_lookups()
        self._start_batch_tasks([index])

    def _start_batch_tasks(self, indices=None):
        indices = range(len(self.workers)) if indices is None else indices
        need = self.batch_need
        while True:
            candidates = [self._batch_candidate(index) for index in indices]
            outcome = self.batch_policy.choose(need, candidates, self.loop.now)
            if not is_successful(outcome):
                return
            index = self.indices[outcome.unwrap().name]
            task_id = str(next(self.id_counter))
            self.trackers[index].add_start(task_id, need, self.loop.now)
            self._update_free(index)
            run_s = self.batch_rng.expovariate(1.0 / self.batch_run_s)
            if self.batch_rng.random() < STRAGGLER_SHARE:
                run_s *= STRAGGLER_FACTOR
            remaining_s = self.duration_s - self.loop.now
            self.batch_core_s += need.cores * min(run_s, remaining_s)
            self.loop.schedule_after(
                run_s, self._on_batch_task_end, index, task_id
            )

    def _on_batch_task_end(self, index, task_id):
        self.trackers[index].remove_task(task_id)
        self._update_free(index)
        self._start_lookups()
        self._start_batch_tasks([index])

    def _batch_candidate(self, index):
        free = self.trackers[index].free_for_tasks
        return attrs.evolve(self.workers[index], free=free)

    def _update_free(self, index):
        free = self.trackers[index].free
        self.workers[index] = attrs.evolve(self.workers[index], free=free)

    def _record_wait(self, req):
        wait_s = self.loop.now - (req.deadline - START_BOUND_S)
        self.waits.record_value(max(1, int(wait_s * 1e6)))
        self.late_lookups += wait_s > START_BOUND_S


def _rows(where, with_reserve, without_reserve):
    def wait_row(name, percentile):
        value, baseline = (
            result.waits.get_value_at_percentile(percentile) / 1e6
            for result in (with_reserve, without_reserve)
        )
        return Row(
            f"wait of a lookup behind long work, {name}",
            "s",
            where,
            value,
            baseline=baseline,
            bound=START_BOUND_S,
            bound_source=START_SOURCE,
        )

    return [
        wait_row("p50", 50),
        wait_row("p99", 99),
        wait_row("largest", 100),
        Row(
            "lookups started after 1.2 s behind long work",
            "share",
            where,
            with_reserve.late_share,
            baseline=without_reserve.late_share,
            bound=0.0,
            bound_source=START_SOURCE,
        ),
        Row(
            "cores that patient work has, price of the reserve",
            "share",
            where,
            with_reserve.batch_core_share,
            Better.HIGHER,
            baseline=without_reserve.batch_core_share,
        ),
    ]
