"""Simulation of a crest: demand grows tenfold within two seconds.

One scheduler host serves lookups on the reserved slots of its workers. A
caller whose lookup is refused or times out sends it again, at most twice.
The variants differ in admission control, retry budget and preemption.
"""

__all__ = ["TIMEOUT_S", "Crest", "Variant", "simulate"]

import random

import attrs
from hdrh.histogram import HdrHistogram
from returns.pipeline import is_successful

from dragonflybank.bench.deployment_models import Deployment
from dragonflybank.bench.event_loop import EventLoop
from dragonflybank.host.lookups import LOOKUP_NEED
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import WorkClass
from dragonflybank.policy import preemption
from dragonflybank.policy.admission import (
    EdfQueue,
    FcfsQueue,
    QueuedRequest,
    ServiceTimes,
)
from dragonflybank.policy.retries import (
    RetryBudget,
    backoff_s,
)

# Part of the reserved slots that is needed before the crest.
BASE_LOAD = 0.4
CREST_FACTOR = 10.0
RISE_AT_S = 5.0
RISE_S = 2.0
FALL_AT_S = 17.0
END_S = 27.0
TIMEOUT_S = 1.2
ATTEMPTS = 3
TICK_S = 0.1
SLOTS_PER_WORKER = 8


@attrs.frozen
class Variant:
    """What a host does at the crest.

    Attributes:
        admission: Whether `EdfQueue` is used instead of `FcfsQueue`.
        budget: Whether retries are charged to a budget.
        preemption: Whether patient work gives way.
    """

    admission: bool = False
    budget: bool = False
    preemption: bool = False


@attrs.frozen
class Crest:
    """Result of a simulation.

    Attributes:
        in_time: Share of the lookups sent at the crest that were answered
            within the time-out, counted from their first attempt.
        of_possible: The same as a share of what the slots could serve.
        in_time_after: Share in time of those sent after the crest.
        attempts: Requests sent for each lookup.
        lookups: Number of lookups.
        waits: Waits of the served requests in microseconds.
    """

    in_time: float
    of_possible: float
    in_time_after: float
    attempts: float
    lookups: int
    waits: HdrHistogram


@attrs.define
class _Lookup:
    first_at: float
    attempts: int = 0
    done: bool = False


def simulate(deployment: Deployment, variant: Variant, seed: int) -> Crest:
    """Runs a crest.

    Args:
        deployment: Sizes and load.
        variant: What the host does.
        seed: Seed of arrivals, service times and jitter.
    """
    return _Simulation(deployment, variant, seed).run()


class _Simulation:
    def __init__(self, deployment, variant, seed):
        self.deployment = deployment
        self.variant = variant
        self.loop = EventLoop()
        self.rng = random.Random(seed)
        workers = deployment.workers // deployment.hosts
        self.slots = workers * deployment.lookup_reserve
        self.base_rate = BASE_LOAD * self.slots / deployment.lookup_s
        self.busy = 0
        self.queue = (
            EdfQueue(self.slots, ServiceTimes(), seed=seed)
            if variant.admission
            else FcfsQueue()
        )
        self.budget = RetryBudget()
        self.patient = {
            f"worker-{i}": (Resources(), _patient_tasks(f"worker-{i}"))
            for i in range(workers)
        }
        self.sent = {}
        self.lookups = []
        self.answered_at = {}
        self.waits = HdrHistogram(1, 10**9, 3)

    def run(self):
        self._plan_arrival()
        if self.variant.preemption:
            self.loop.after(TICK_S, self._tick)
        self.loop.run(END_S + TIMEOUT_S)
        during = self._in_time(RISE_AT_S, FALL_AT_S)
        after = self._in_time(FALL_AT_S + TIMEOUT_S, END_S)
        served_s = FALL_AT_S - RISE_AT_S + TIMEOUT_S
        possible = served_s * self.slots / self.deployment.lookup_s
        return Crest(
            sum(during) / len(during),
            sum(during) / min(len(during), possible),
            sum(after) / len(after),
            sum(x.attempts for x in self.lookups) / len(self.lookups),
            len(self.lookups),
            self.waits,
        )

    def _in_time(self, from_s, to_s):
        return [
            self.answered_at.get(number, END_S) - x.first_at <= TIMEOUT_S
            for number, x in enumerate(self.lookups)
            if from_s <= x.first_at < to_s
        ]

    def _rate(self, now):
        if not RISE_AT_S <= now < FALL_AT_S:
            return self.base_rate
        risen = min(1.0, (now - RISE_AT_S) / RISE_S)
        return self.base_rate * (1.0 + risen * (CREST_FACTOR - 1.0))

    def _plan_arrival(self):
        peak = CREST_FACTOR * self.base_rate
        self.loop.after(self.rng.expovariate(peak), self._arrive, peak)

    def _arrive(self, peak):
        now = self.loop.now
        self._plan_arrival()
        # Thinning: arrivals at the peak rate are kept with probability
        # rate / peak.
        if now < END_S and self.rng.random() * peak < self._rate(now):
            self.lookups.append(_Lookup(now))
            self.budget.on_request()
            self._send(len(self.lookups) - 1)

    def _send(self, number):
        lookup = self.lookups[number]
        if lookup.done:
            return
        lookup.attempts += 1
        now = self.loop.now
        request_id = f"{number}/{lookup.attempts}"
        client_s = self.deployment.client_s
        self.sent[request_id] = (number, now + client_s)
        self.loop.after(client_s, self._offer, request_id, now)
        self.loop.after(TIMEOUT_S, self._time_out, request_id)

    def _offer(self, request_id, sent_at):
        deadline = sent_at + TIMEOUT_S - self.deployment.client_s
        req = QueuedRequest(
            request_id,
            self.deployment.lookup,
            deadline,
            self.deployment.lookup_s,
        )
        outcome = self.queue.enqueue(req, self.loop.now)
        if not is_successful(outcome):
            self._refused(request_id, outcome.failure().retry_after_s)
        self._serve()

    def _serve(self):
        while self.busy < self.slots and len(self.queue):
            taken = self.queue.dequeue(self.loop.now)
            for req in taken.late:
                self._refused(req.id, 0.0)
            if taken.request is not None:
                self._start(taken.request)

    def _start(self, req):
        _, arrived_at = self.sent[req.id]
        wait_us = int((self.loop.now - arrived_at) * 1e6)
        self.waits.record_value(max(1, wait_us))
        self.busy += 1
        service_s = self.rng.expovariate(1.0 / self.deployment.lookup_s)
        self.loop.after(service_s, self._served, req, service_s)

    def _served(self, req, service_s):
        self.busy -= 1
        if self.variant.admission:
            self.queue.record_completion(req.work_class, service_s)
        number, _ = self.sent.pop(req.id)
        self.loop.after(self.deployment.client_s, self._answered, number)
        self._serve()

    def _answered(self, number):
        if not self.lookups[number].done:
            self.lookups[number].done = True
            self.answered_at[number] = self.loop.now

    def _refused(self, request_id, retry_after_s):
        number, _ = self.sent.pop(request_id)
        self._retry(number, retry_after_s)

    def _time_out(self, request_id):
        # A request that was refused or answered is no longer in `sent`; one
        # that waits or is being served stays there and still takes a slot.
        if request_id in self.sent:
            self._retry(self.sent[request_id][0], 0.0)

    def _retry(self, number, retry_after_s):
        lookup = self.lookups[number]
        if lookup.done or lookup.attempts >= ATTEMPTS:
            return
        if self.variant.budget and not self.budget.allow_retry():
            return
        wait_s = backoff_s(lookup.attempts, self.rng)
        self.loop.after(max(wait_s, retry_after_s), self._send, number)

    def _tick(self):
        if self.variant.admission and preemption.is_preemption_needed(
            self.queue.expected_wait_s(), TIMEOUT_S
        ):
            self._preempt()
        self.loop.after(TICK_S, self._tick)

    def _preempt(self):
        outcome = preemption.plan_cheapest_preemption(
            LOOKUP_NEED, self.patient, priority=10
        )
        if not is_successful(outcome):
            return
        name, plan = outcome.unwrap()
        gone = {p.task_id for p in plan}
        free, tasks = self.patient[name]
        kept = [task for task in tasks if task.task_id not in gone]
        self.patient[name] = (free, kept)
        self.loop.after(
            preemption.CHECKPOINT_AND_RESTART_S, self._add_slots, len(gone)
        )

    def _add_slots(self, count):
        self.slots += count
        self.queue.slots = self.slots
        self._serve()


def _patient_tasks(worker):
    """Returns the six patient tasks of an executor, of three kinds."""
    kinds = (
        WorkClass("checked", can_checkpoint=True, expected_s=180.0, value=5.0),
        WorkClass("billed", repeatable=False, expected_s=180.0, value=9.0),
    )
    grant = Resources(cores=4, memory_mb=8192, slots=1, connections=1)
    return [
        preemption.RunningTask(f"{worker}/{i}", kinds[i % 2], grant)
        for i in range(SLOTS_PER_WORKER - 2)
    ]
