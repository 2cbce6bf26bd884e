"""Admission control and queueing of lookups.

`EdfQueue` orders requests by deadline (Liu and Layland 1973), estimates their
wait from measured service times and refuses those that cannot be served in
time. `FcfsQueue` admits every request and is the baseline.
"""

__all__ = [
    "AdmissionQueue",
    "DequeueResult",
    "EdfQueue",
    "FcfsQueue",
    "QueuedRequest",
    "ServiceTimes",
]

import abc
import bisect
import collections
import random

import attrs
from returns.result import Result, Success

from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.policy.windows import SlidingWindow

# About 1 s of the peak load of one host. A longer queue could not be served
# within the timeout of a lookup.
MAX_QUEUE_LENGTH = 4096
# Requests are planned with a service time that one in twenty exceeds.
PLANNED_QUANTILE = 0.95
# With fewer measurements the declared service time is used.
MIN_MEASUREMENTS = 20
MIN_RETRY_AFTER_S = 0.05


@attrs.frozen
class QueuedRequest:
    """A request for a slot.

    Attributes:
        id: Unique request id.
        work_class: Name of the work class.
        deadline: Time by which the answer is due, seconds since 1970.
        expected_s: Declared service time in seconds.
    """

    id: str
    work_class: str
    deadline: float
    expected_s: float = 0.1


@attrs.frozen
class DequeueResult:
    """Requests that one call of `AdmissionQueue.dequeue` removed.

    Attributes:
        request: The request to serve, None if there is none.
        late: Requests that can no longer be served in time. They did not
            run and are to be refused.
    """

    request: QueuedRequest | None = None
    late: tuple[QueuedRequest, ...] = ()


class ServiceTimes:
    """Keeps measured service times by class."""

    def __init__(self):
        self._windows = collections.defaultdict(SlidingWindow)
        self._mean_s = {}

    def add(self, work_class: str, service_s: float) -> None:
        """Adds a measured service time in seconds."""
        self._windows[work_class].add(service_s)
        self._mean_s.pop(work_class, None)

    def mean_service_s(self, req: QueuedRequest) -> float:
        """Returns the mean service time of a request's class in seconds."""
        name = req.work_class
        if len(self._windows[name]) < MIN_MEASUREMENTS:
            return req.expected_s
        if name not in self._mean_s:
            self._mean_s[name] = self._windows[name].mean()
        return self._mean_s[name]

    def planned_service_s(self, req: QueuedRequest) -> float:
        """Returns the service time to plan for a request, in seconds."""
        window = self._windows[req.work_class]
        if len(window) < MIN_MEASUREMENTS:
            return req.expected_s
        return window.quantile(PLANNED_QUANTILE)


class AdmissionQueue(abc.ABC):
    """Queue of requests that wait for slots."""

    @abc.abstractmethod
    def enqueue(self, req: QueuedRequest, now: float) -> Result[float, Problem]:
        """Adds a request to the queue or refuses it.

        Args:
            req: The request.
            now: Current time, seconds since 1970.

        Returns:
            The expected wait in seconds, or ``OVERLOADED`` with a retry time.
            A refused request did not run.
        """

    @abc.abstractmethod
    def dequeue(self, now: float) -> DequeueResult:
        """Removes the next request to serve on a free slot."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Returns the number of waiting requests."""


class EdfQueue(AdmissionQueue):
    """Earliest-deadline-first queue that refuses requests that would be late.

    Attributes:
        slots: Number of slots that serve the queue.
        running: Number of requests that hold a slot.

    Args:
        slots: Number of slots that serve the queue.
        times: Measured service times.
        limit: Maximum number of waiting requests.
        seed: Seed of the jitter of retry times.
    """

    def __init__(
        self,
        slots: int,
        times: ServiceTimes,
        *,
        limit: int = MAX_QUEUE_LENGTH,
        seed: int = 0,
    ):
        self.slots = slots
        self.running = 0
        self._times = times
        self._limit = limit
        self._rng = random.Random(seed)
        # Sorted by descending deadline, so that the next request is popped from
        # the end without moving the others.
        self._waiting = []
        self._queued_service_s = 0.0
        self._latest_mean_s = 0.0
        self._enqueued_count = 0

    def __len__(self):
        return len(self._waiting)

    def enqueue(self, req, now):
        """See the base class."""
        mean_s = self._times.mean_service_s(req)
        self._latest_mean_s = mean_s
        wait_s = self.expected_wait_s(deadline=req.deadline)
        excess_s = (
            now + wait_s + self._times.planned_service_s(req) - req.deadline
        )
        if excess_s > 0.0 and not self._may_use_idle_slot(req, now, wait_s):
            return self._refuse("would be late", excess_s)
        if len(self._waiting) >= self._limit:
            return self._refuse("queue is full", self.expected_wait_s())
        self._enqueued_count += 1
        item = (-req.deadline, -self._enqueued_count, mean_s, req)
        bisect.insort(self._waiting, item)
        self._queued_service_s += mean_s
        return Success(wait_s)

    def dequeue(self, now):
        """See the base class."""
        late = []
        while self._waiting:
            *_, mean_s, req = self._waiting.pop()
            self._queued_service_s -= mean_s
            # At a load peak requests are dequeued just before they would be
            # late. Planned with the mean service time, half of them would be
            # late. An idle host serves them anyway; otherwise measurements of
            # a slow period would lock a class out.
            planned_end = now + self._times.planned_service_s(req)
            is_idle = self.running == 0 and not self._waiting
            if planned_end <= req.deadline or (is_idle and now < req.deadline):
                self.running += 1
                return DequeueResult(req, tuple(late))
            late.append(req)
        self._queued_service_s = 0.0
        return DequeueResult(None, tuple(late))

    def remove(self, request_id: str) -> bool:
        """Removes a waiting request that its caller has given up.

        Returns:
            Whether the request was in the queue.
        """
        for index, (*_, mean_s, req) in enumerate(self._waiting):
            if req.id == request_id:
                del self._waiting[index]
                self._queued_service_s -= mean_s
                return True
        return False

    def record_completion(self, work_class: str, service_s: float) -> None:
        """Frees the slot of a dequeued request, however the request ended.

        Args:
            work_class: Name of its class.
            service_s: Measured service time in seconds.
        """
        self.running -= 1
        self._times.add(work_class, service_s)

    def expected_wait_s(self, *, deadline: float | None = None) -> float:
        """Returns the expected wait of a new request in seconds.

        Args:
            deadline: Deadline of the request; requests with a later deadline
                do not delay it. None for a request at the end of the queue.
        """
        if self.slots <= 0:
            return float("inf")
        count = len(self._waiting)
        ahead = count
        if deadline is not None:
            ahead -= bisect.bisect_left(self._waiting, (-deadline,))
        mean_s = (
            self._queued_service_s / count if count else self._latest_mean_s
        )
        free = self.slots - self.running
        if ahead < free:
            return 0.0
        return (ahead - max(0, free) + 1) * mean_s / self.slots

    def _may_use_idle_slot(self, req, now, wait_s):
        # A request that finds an idle slot is served even if its class was too
        # slow before. Without new measurements the class would be refused
        # forever after a slow period.
        return wait_s == 0.0 and not self._waiting and now < req.deadline

    def _refuse(self, reason, excess_s):
        # Jitter keeps refused callers from retrying at the same time.
        retry_s = max(MIN_RETRY_AFTER_S, min(excess_s, 30.0))
        retry_s *= self._rng.uniform(1.0, 2.0)
        return failure(Code.OVERLOADED, reason, retry_after_s=retry_s)


class FcfsQueue(AdmissionQueue):
    """First-come-first-served queue that refuses nothing; a baseline."""

    def __init__(self):
        self._waiting = collections.deque()

    def __len__(self):
        return len(self._waiting)

    def enqueue(self, req, now):
        """See the base class."""
        self._waiting.append(req)
        return Success(0.0)

    def dequeue(self, now):
        """See the base class."""
        return DequeueResult(self._waiting.popleft() if self._waiting else None)
