"""Wait of lookups behind long patient work, with and without the reserve.

The backlog of patient work is never empty: as soon as there is room for a
task it starts. A patient task takes one slot and its part of the worker, so
that eight fill an executor. Lookups arrive at random and take room before
patient work does. They wait first come first served, without refusal, so
that the wait is seen in full.
"""

__all__ = ["Blocking", "blocking", "simulate"]

import itertools
import random

import attrs
from hdrh.histogram import HdrHistogram
from returns.pipeline import is_successful

from dragonflybank.bench import deployment_models
from dragonflybank.bench.deployment_models import DEPLOYMENTS, Deployment
from dragonflybank.bench.event_loop import EventLoop
from dragonflybank.bench.table import Better, Row
from dragonflybank.cluster.capacity import CapacityTracker
from dragonflybank.host.lookups import LOOKUP_NEED
from dragonflybank.model.resources import scale_resources, sum_resources
from dragonflybank.policy.admission import FcfsQueue, QueuedRequest
from dragonflybank.policy.placement import BestFitPolicy, LookupPolicy

SEED = 30
DURATION_S = 60.0
# Part of the reserved slots that lookups need on average.
LOOKUP_LOADS = (0.25, 0.8)
# Part of the patient tasks that are stragglers, and how much longer they run.
STRAGGLERS = 0.03
STRAGGLER_FACTOR = 10.0
START_BOUND_S = 1.2
START_SOURCE = "section 1: urgent work starts within 1.2 s"


@attrs.frozen
class Blocking:
    """Result of a simulation.

    Attributes:
        waits: Waits of the lookups in microseconds.
        late_share: Share of the lookups that started after the bound.
        patient_share: Mean share of the cores that patient work has.
        unserved: Lookups that had not started at the end.
    """

    waits: HdrHistogram
    late_share: float
    patient_share: float
    unserved: int


def blocking() -> list[Row]:
    """Returns the waits of lookups with the reserve against those without."""
    rows = []
    for deployment, load in itertools.product(DEPLOYMENTS, LOOKUP_LOADS):
        kept = simulate(deployment, deployment.lookup_reserve, load)
        none = simulate(deployment, 0, load)
        where = f"{deployment.name}, lookups need {load:.0%} of the reserve"
        rows += _rows(where, kept, none)
    return rows


def simulate(
    deployment: Deployment,
    reserved: int,
    load: float,
    *,
    seed: int = SEED,
    duration_s: float = DURATION_S,
) -> Blocking:
    """Runs lookups and patient work on the workers of a deployment.

    Args:
        deployment: Sizes and load.
        reserved: Slots of each executor that are kept for lookups.
        load: Part of the reserve that lookups need on average.
        seed: Seed of arrivals, sizes and run times.
        duration_s: Simulated time in seconds.
    """
    return _Simulation(deployment, reserved, load, seed, duration_s).run()


class _Simulation:
    def __init__(self, deployment, reserved, load, seed, duration_s):
        self.load = load
        self.deployment = deployment
        self.loop = EventLoop()
        self.lookup_rng = random.Random(seed)
        self.patient_rng = random.Random(seed + 1)
        self.workers = deployment_models.workers_of(deployment)
        self.places = {w.name: i for i, w in enumerate(self.workers)}
        self.ledgers = [
            CapacityTracker(w.size, lookup_reserve=reserved)
            for w in self.workers
        ]
        self.numbers = itertools.count()
        size = self.workers[0].size
        part = 1.0 / size.slots
        self.patient_need = attrs.evolve(
            scale_resources(size, part), slots=1, connections=1
        )
        self.patient_s = max(shape.run_s for shape in deployment.tasks)
        self.cores = sum_resources(w.size for w in self.workers).cores
        self.lookup_policy = LookupPolicy(seed)
        self.patient_policy = BestFitPolicy()
        self.queue = FcfsQueue()
        self.waits = HdrHistogram(1, 10**10, 3)
        self.late = 0
        self.duration_s = duration_s
        self.core_s = 0.0

    def run(self):
        self._start_patient()
        self._plan_arrival()
        self.loop.run(self.duration_s)
        # What still waits has waited at least until now.
        unserved = len(self.queue)
        while (req := self.queue.dequeue(self.loop.now).request) is not None:
            self._record(req)
        served = self.waits.get_total_count()
        return Blocking(
            self.waits,
            self.late / served,
            self.core_s / (self.cores * self.duration_s),
            unserved,
        )

    def _plan_arrival(self):
        slots = len(self.workers) * self.deployment.lookup_reserve
        rate = self.load * slots / self.deployment.lookup_s
        self.loop.after(self.lookup_rng.expovariate(rate), self._arrive)

    def _arrive(self):
        now = self.loop.now
        req = QueuedRequest("", self.deployment.lookup, now + START_BOUND_S)
        self.queue.enqueue(req, now)
        self._serve()
        self._plan_arrival()

    def _serve(self):
        while len(self.queue):
            outcome = self.lookup_policy.choose(
                LOOKUP_NEED, self.workers, self.loop.now
            )
            if not is_successful(outcome):
                return
            req = self.queue.dequeue(self.loop.now).request
            self._record(req)
            place = self.places[outcome.unwrap().name]
            key = next(self.numbers)
            self.ledgers[place].add_lookup(key, LOOKUP_NEED)
            self._note_free(place)
            service_s = self.lookup_rng.expovariate(
                1.0 / self.deployment.lookup_s
            )
            self.loop.after(service_s, self._lookup_ends, place, key)

    def _lookup_ends(self, place, key):
        self.ledgers[place].remove_lookup(key)
        self._note_free(place)
        self._serve()
        self._start_patient([place])

    def _start_patient(self, places=None):
        places = range(len(self.workers)) if places is None else places
        need = self.patient_need
        while True:
            rooms = [self._patient_room(place) for place in places]
            outcome = self.patient_policy.choose(need, rooms, self.loop.now)
            if not is_successful(outcome):
                return
            place = self.places[outcome.unwrap().name]
            task_id = str(next(self.numbers))
            self.ledgers[place].add_start(task_id, need, self.loop.now)
            self._note_free(place)
            run_s = self.patient_rng.expovariate(1.0 / self.patient_s)
            if self.patient_rng.random() < STRAGGLERS:
                run_s *= STRAGGLER_FACTOR
            left_s = self.duration_s - self.loop.now
            self.core_s += need.cores * min(run_s, left_s)
            self.loop.after(run_s, self._patient_ends, place, task_id)

    def _patient_ends(self, place, task_id):
        self.ledgers[place].remove_task(task_id)
        self._note_free(place)
        self._serve()
        self._start_patient([place])

    def _patient_room(self, place):
        room = self.ledgers[place].free_for_tasks
        return attrs.evolve(self.workers[place], free=room)

    def _note_free(self, place):
        free = self.ledgers[place].free
        self.workers[place] = attrs.evolve(self.workers[place], free=free)

    def _record(self, req):
        wait_s = self.loop.now - (req.deadline - START_BOUND_S)
        self.waits.record_value(max(1, int(wait_s * 1e6)))
        self.late += wait_s > START_BOUND_S


def _rows(where, kept, none):
    def wait_row(name, percentile):
        value, baseline = (
            result.waits.get_value_at_percentile(percentile) / 1e6
            for result in (kept, none)
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
            kept.late_share,
            baseline=none.late_share,
            bound=0.0,
            bound_source=START_SOURCE,
        ),
        Row(
            "cores that patient work has, price of the reserve",
            "share",
            where,
            kept.patient_share,
            Better.HIGHER,
            baseline=none.patient_share,
        ),
    ]
