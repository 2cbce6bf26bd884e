"""Simulates a load peak: demand grows tenfold within two seconds.

One scheduler host serves lookups on the reserved slots of its workers. A
caller whose lookup is refused or times out sends it again, at most twice.
The overload controls are admission control, a retry budget and preemption.
"""

__all__ = ["TIMEOUT_S", "LoadPeakResult", "OverloadControls", "simulate"]

import random

import attrs
from hdrh.histogram import HdrHistogram
from returns.pipeline import is_successful

from dragonflybank.bench.deployment_models import DeploymentModel
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

# Share of the reserved slots that lookups need before the load peak.
BASE_RESERVE_LOAD = 0.4
PEAK_FACTOR = 10.0
PEAK_START_S = 5.0
RISE_DURATION_S = 2.0
PEAK_END_S = 17.0
END_S = 27.0
TIMEOUT_S = 1.2
MAX_ATTEMPTS = 3
PREEMPTION_INTERVAL_S = 0.1
SLOTS_PER_WORKER = 8


@attrs.frozen
class OverloadControls:
    """Overload controls that a host uses.

    Attributes:
        admission: Whether `EdfQueue` is used instead of `FcfsQueue`.
        retry_budget: Whether a budget limits the retries.
        preemption: Whether batch work is preempted.
    """

    admission: bool = False
    retry_budget: bool = False
    preemption: bool = False


@attrs.frozen
class LoadPeakResult:
    """Result of a simulation.

    Attributes:
        in_time: Share of the lookups sent during the load peak that were
            answered within the timeout, counted from their first attempt.
        in_time_of_servable: The same as a share of what the slots could serve.
        in_time_after: Share in time of the lookups sent after the load peak.
        attempts: Mean number of requests for each lookup.
        lookups: Number of lookups.
        waits: Waits of the served requests in microseconds.
    """

    in_time: float
    in_time_of_servable: float
    in_time_after: float
    attempts: float
    lookups: int
    waits: HdrHistogram


@attrs.define
class _Lookup:
    first_sent_at: float
    attempts: int = 0
    done: bool = False


def simulate(
    deployment: DeploymentModel, controls: OverloadControls, seed: int
) -> LoadPeakResult:
    """Simulates a load peak.

    Args:
        deployment: Model of the deployment and its load.
        controls: Overload controls of the host.
        seed: Seed for arrivals, service times and retry delays.
    """
    return _Simulation(deployment, controls, seed).run()


class _Simulation:
    def __init__(self, deployment, controls, seed):
        self.deployment = deployment
        self.controls = controls
        self.loop = EventLoop()
        self.rng = random.Random(seed)
        workers = deployment.worker_count // deployment.host_count
        self.slots = workers * deployment.lookup_reserve
        self.base_lookups_per_s = (
            BASE_RESERVE_LOAD * self.slots / deployment.lookup_service_s
        )
        self.busy_slots = 0
        self.queue = (
            EdfQueue(self.slots, ServiceTimes(), seed=seed)
            if controls.admission
            else FcfsQueue()
        )
        self.retry_budget = RetryBudget()
        self.batch_tasks = {
            f"worker-{i}": (Resources(), _batch_tasks(f"worker-{i}"))
            for i in range(workers)
        }
        self.sent = {}
        self.lookups = []
        self.answered_at = {}
        self.waits = HdrHistogram(1, 10**9, 3)

    def run(self):
        self._schedule_arrival()
        if self.controls.preemption:
            self.loop.schedule_after(
                PREEMPTION_INTERVAL_S, self._preempt_periodically
            )
        self.loop.run(END_S + TIMEOUT_S)
        during = self._answered_in_time(PEAK_START_S, PEAK_END_S)
        after = self._answered_in_time(PEAK_END_S + TIMEOUT_S, END_S)
        served_s = PEAK_END_S - PEAK_START_S + TIMEOUT_S
        servable = served_s * self.slots / self.deployment.lookup_service_s
        return LoadPeakResult(
            sum(during) / len(during),
            sum(during) / min(len(during), servable),
            sum(after) / len(after),
            sum(x.attempts for x in self.lookups) / len(self.lookups),
            len(self.lookups),
            self.waits,
        )

    def _answered_in_time(self, from_s, to_s):
        return [
            self.answered_at.get(number, END_S) - x.first_sent_at <= TIMEOUT_S
            for number, x in enumerate(self.lookups)
            if from_s <= x.first_sent_at < to_s
        ]

    def _arrival_rate(self, now):
        if not PEAK_START_S <= now < PEAK_END_S:
            return self.base_lookups_per_s
        risen_share = min(1.0, (now - PEAK_START_S) / RISE_DURATION_S)
        return self.base_lookups_per_s * (
            1.0 + risen_share * (PEAK_FACTOR - 1.0)
        )

    def _schedule_arrival(self):
        peak = PEAK_FACTOR * self.base_lookups_per_s
        self.loop.schedule_after(
            self.rng.expovariate(peak), self._on_arrival, peak
        )

    def _on_arrival(self, peak):
        now = self.loop.now
        self._schedule_arrival()
        # Thinning: arrivals at the peak rate are kept with probability
        # rate / peak, which gives a Poisson process of varying rate.
        if now < END_S and self.rng.random() * peak < self._arrival_rate(now):
            self.lookups.append(_Lookup(now))
            self.retry_budget.on_request()
            self._send_attempt(len(self.lookups) - 1)

    def _send_attempt(self, number):
        lookup = self.lookups[number]
        if lookup.done:
            return
        lookup.attempts += 1
        now = self.loop.now
        request_id = f"{number}/{lookup.attempts}"
        client_s = self.deployment.client_latency_s
        self.sent[request_id] = (number, now + client_s)
        self.loop.schedule_after(client_s, self._enqueue, request_id, now)
        self.loop.schedule_after(TIMEOUT_S, self._on_timeout, request_id)

    def _enqueue(self, request_id, sent_at):
        deadline = sent_at + TIMEOUT_S - self.deployment.client_latency_s
        req = QueuedRequest(
            request_id,
            self.deployment.lookup_class,
            deadline,
            self.deployment.lookup_service_s,
        )
        outcome = self.queue.enqueue(req, self.loop.now)
        if not is_successful(outcome):
            self._on_refusal(request_id, outcome.failure().retry_after_s)
        self._serve_queue()

    def _serve_queue(self):
        while self.busy_slots < self.slots and len(self.queue):
            dequeued = self.queue.dequeue(self.loop.now)
            for req in dequeued.late:
                self._on_refusal(req.id, 0.0)
            if dequeued.request is not None:
                self._start_service(dequeued.request)

    def _start_service(self, req):
        _, arrived_at = self.sent[req.id]
        wait_us = int((self.loop.now - arrived_at) * 1e6)
        self.waits.record_value(max(1, wait_us))
        self.busy_slots += 1
        service_s = self.rng.expovariate(1.0 / self.deployment.lookup_service_s)
        self.loop.schedule_after(service_s, self._on_served, req, service_s)

    def _on_served(self, req, service_s):
        self.busy_slots -= 1
        if self.controls.admission:
            self.queue.record_completion(req.work_class, service_s)
        number, _ = self.sent.pop(req.id)
        self.loop.schedule_after(
            self.deployment.client_latency_s, self._on_answer, number
        )
        self._serve_queue()

    def _on_answer(self, number):
        if not self.lookups[number].done:
            self.lookups[number].done = True
            self.answered_at[number] = self.loop.now

    def _on_refusal(self, request_id, retry_after_s):
        number, _ = self.sent.pop(request_id)
        self._retry(number, retry_after_s)

    def _on_timeout(self, request_id):
        # A request that was refused or answered is no longer in `sent`. One
        # that is queued or being served is, and still uses a slot.
        if request_id in self.sent:
            self._retry(self.sent[request_id][0], 0.0)

    def _retry(self, number, retry_after_s):
        lookup = self.lookups[number]
        if lookup.done or lookup.attempts >= MAX_ATTEMPTS:
            return
        if self.controls.retry_budget and not self.retry_budget.allow_retry():
            return
        wait_s = backoff_s(lookup.attempts, self.rng)
        self.loop.schedule_after(
            max(wait_s, retry_after_s), self._send_attempt, number
        )

    def _preempt_periodically(self):
        if self.controls.admission and preemption.is_preemption_needed(
            self.queue.expected_wait_s(), TIMEOUT_S
        ):
            self._preempt()
        self.loop.schedule_after(
            PREEMPTION_INTERVAL_S, self._preempt_periodically
        )

    def _preempt(self):
        outcome = preemption.plan_cheapest_preemption(
            LOOKUP_NEED, self.batch_tasks, priority=10
        )
        if not is_successful(outcome):
            return
        name, plan = outcome.unwrap()
        preempted_ids = {p.task_id for p in plan}
        free, tasks = self.batch_tasks[name]
        remaining = [
            task for task in tasks if task.task_id not in preempted_ids
        ]
        self.batch_tasks[name] = (free, remaining)
        self.loop.schedule_after(
            preemption.CHECKPOINT_AND_RESTART_S,
            self._add_slots,
            len(preempted_ids),
        )

    def _add_slots(self, count):
        self.slots += count
        self.queue.slots = self.slots
        self._serve_queue()


def _batch_tasks(worker):
    """Returns the six batch tasks of an executor, of two classes."""
    classes = (
        WorkClass("checked", can_checkpoint=True, expected_s=180.0, value=5.0),
        WorkClass("billed", repeatable=False, expected_s=180.0, value=9.0),
    )
    grant = Resources(cores=4, memory_mb=8192, slots=1, connections=1)
    return [
        preemption.RunningTask(f"{worker}/{i}", classes[i % 2], grant)
        for i in range(SLOTS_PER_WORKER - 2)
    ]
