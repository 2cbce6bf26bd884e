"""Admission by load: when a new job could start, and whether that is too late.

The leader estimates from its backlog how long the tasks of a new job would
wait, and the other hosts learn it with the states of jobs. A job that would end
after its hard deadline is refused before it is stored. Everything else is
accepted, also if it will be late.
"""

__all__ = [
    "estimate_start_delays",
    "excess_delay_s",
    "overload_retry_after_s",
]

import collections
import itertools
import zlib
from collections.abc import Iterable, Sequence

from dragonflybank.cell.advice_dispatch import is_long_call, max_long_calls
from dragonflybank.cell.jobs import Job, critical_path_s
from dragonflybank.cell.messages import StartDelay
from dragonflybank.cell.placement import (
    accepting_executors,
    has_attainable_room,
)
from dragonflybank.cell.state import Executor, StepState
from dragonflybank.cell.step_holds import tasks_ahead
from dragonflybank.cell.step_order import (
    HARD_DEADLINE_FACTOR,
    job_objective_s,
    remains_useful,
)

# Share of the CPU cores that placement keeps busy in a full cell, beside those
# of long-running tasks.
USABLE_CORES_SHARE = 0.8
# Shorter delays are within the error of the estimate and are not reported.
MIN_REPORTED_DELAY_S = 2.0
MIN_RETRY_AFTER_S = 1.0
# Refused callers return spread over this multiple of the shortest time.
RETRY_SPREAD = 0.5


def estimate_start_delays(
    steps: Iterable[StepState],
    executors: Iterable[Executor],
    *,
    advice_slots: int,
    now: float,
    unix_time: float,
) -> tuple[StartDelay, ...]:
    """Returns the delays of new jobs that are worth reporting.

    A new job waits for the work of the same or a higher priority and for its
    calls for advice. Work that has become useless, or that cannot start since
    it does not fit beside long-running tasks, takes no capacity from it.

    Args:
        steps: Steps with waiting tasks.
        executors: All executors.
        advice_slots: Number of hosts that make calls for advice.
        now: Current time of the leader's monotonic clock, in seconds.
        unix_time: Current time, seconds since 1970.
    """
    accepting = accepting_executors(executors, now)
    work: dict[tuple[str, int], float] = collections.defaultdict(float)
    calls_s: dict[tuple[str, int], float] = collections.defaultdict(float)
    for step in steps:
        if not remains_useful(step, unix_time):
            continue
        queue = step.job_state.queue
        key = queue.service, queue.priority
        tasks = tasks_ahead(step)
        if not tasks and step.job_state.job.team:
            continue
        executors = accepting.get(queue.service, {}).values()
        if not has_attainable_room(step, tasks, executors):
            continue
        if not step.spec.filling:
            work[key] += tasks * step.spec.millicores * step.spec.estimate_s
        timing = queue.advised
        if timing and not step.advice_by_executor:
            # A first call names as many executors as double its fixed time.
            calls_s[key] += 2 * timing.base_s * is_long_call(timing.base_s)
    long_slots = max_long_calls(max(1, advice_slots))
    delays = []
    for service, keys in itertools.groupby(sorted(work), key=lambda k: k[0]):
        usable = USABLE_CORES_SHARE * sum(
            e.attainable_millicores for e in accepting.get(service, {}).values()
        )
        if not usable:
            # Executors may be back within seconds; nothing is known.
            continue
        ahead = ahead_s = 0.0
        for key in keys:
            ahead += work[key]
            ahead_s += calls_s[key]
            seconds = max(ahead / usable, ahead_s / long_slots)
            if seconds >= MIN_REPORTED_DELAY_S:
                delays.append(StartDelay(service, key[1], seconds))
    return tuple(delays)


def excess_delay_s(job: Job, delays: Sequence[StartDelay]) -> float:
    """Returns by how much a new job would miss its hard deadline, in seconds.

    Args:
        job: The job.
        delays: Delays that the leader reported.

    Returns:
        Seconds, 0 if it would end in time; recurring jobs always do.
    """
    if job.is_recurring:
        return 0.0
    queue = job.queue
    wait_s = max(
        (
            delay.seconds
            for delay in delays
            if delay.service == queue.service
            and delay.priority <= queue.priority
        ),
        default=0.0,
    )
    ends_after_s = wait_s + critical_path_s(job.steps)
    hard_deadline_s = HARD_DEADLINE_FACTOR * job_objective_s(queue, job.steps)
    return max(0.0, ends_after_s - hard_deadline_s) if wait_s else 0.0


def overload_retry_after_s(job_id: str, excess_s: float) -> float:
    """Returns after how many seconds a refused caller should return.

    Args:
        job_id: Identifier of the job, which spreads the callers.
        excess_s: By how much the job would miss its hard deadline, in seconds.

    Example:
        >>> overload_retry_after_s("5c0e7a21d94b36f8", 0.2)
        1.0
    """
    spread = RETRY_SPREAD * (zlib.crc32(job_id.encode()) % 100) / 100
    return max(MIN_RETRY_AFTER_S, excess_s * (1.0 + spread))
