"""Selection of batch tasks to preempt for urgent work at a load peak.

Tasks of the lowest priority are checkpointed or throttled first. Among equal
priorities, those with the lowest cost for the resources that they free come
first. Work that is neither repeatable nor able to checkpoint is never
preempted.
"""

__all__ = [
    "Preemption",
    "PreemptionAction",
    "RunningTask",
    "is_preemption_needed",
    "plan_cheapest_preemption",
    "plan_worker_preemption",
]

import enum
import functools
from collections.abc import Iterable, Mapping, Sequence

import attrs
from returns.result import Result, Success

from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.resources import (
    Resources,
    add_resources,
    fits,
    subtract_resources,
)
from dragonflybank.model.work import WorkClass

# Time that a checkpoint and the later restart take, in seconds.
CHECKPOINT_AND_RESTART_S = 2.0
# Fraction of its cores that a throttled task keeps.
THROTTLED_CORES_FRACTION = 0.25
# Assumed duration of a load peak in seconds. A checkpointed task doesn't run
# and a throttled one runs slowly during this time.
PEAK_DURATION_S = 10.0
# Fraction of the timeout that lookups may wait before batch work is preempted.
PREEMPTION_WAIT_FRACTION = 0.5


class PreemptionAction(enum.StrEnum):
    """How a task is preempted."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"


@attrs.frozen
class RunningTask:
    """A running batch task.

    Attributes:
        task_id: Task id.
        work_class: Work class.
        grant: Resources of its lease.
        throttled: Whether it is already throttled.
    """

    task_id: str
    work_class: WorkClass
    grant: Resources
    throttled: bool = False


@attrs.frozen
class Preemption:
    """The preemption of one task.

    Attributes:
        task_id: Task id.
        action: How the task is preempted.
        priority: Priority of its class.
        freed: Resources that this frees.
        cost: Value that is lost, in units of cost.
    """

    task_id: str
    action: PreemptionAction
    priority: int
    freed: Resources
    cost: float


def is_preemption_needed(wait_s: float, timeout_s: float) -> bool:
    """Returns whether lookups wait long enough to preempt batch work.

    Args:
        wait_s: Expected wait of a new lookup in seconds.
        timeout_s: Timeout of lookups in seconds.
    """
    return wait_s > PREEMPTION_WAIT_FRACTION * timeout_s


def plan_worker_preemption(
    need: Resources,
    free: Resources,
    running: Iterable[RunningTask],
    *,
    priority: int,
) -> Result[tuple[Preemption, ...], Problem]:
    """Plans which tasks of one worker to preempt.

    Args:
        need: Resources that the urgent work needs.
        free: Free resources of the worker.
        running: Batch tasks that run on it.
        priority: Priority of the urgent work. Only tasks of lower priority
            are preempted.

    Returns:
        The preemptions, empty if the resources are already free;
        ``NO_WORKER`` if not enough can be freed. The plan has no preemption
        that could be left out.
    """
    options = [
        option
        for task in running
        if task.work_class.priority < priority
        for option in _preemption_options(task)
    ]
    chosen = []
    available = free
    while not fits(need, available):
        useful = [(_option_rank(o, need, available), o) for o in options]
        useful = [item for item in useful if item[0] is not None]
        if not useful:
            return failure(Code.NO_WORKER, "not enough work can be preempted")
        best = min(useful, key=lambda item: item[0])[1]
        # A checkpoint replaces throttling of the same task.
        chosen = [o for o in chosen if o.task_id != best.task_id] + [best]
        available = _free_after(free, chosen)
        options = [
            o
            for o in options
            if o.task_id != best.task_id
            or (best.action is PreemptionAction.THROTTLE and o is not best)
        ]
    return Success(_without_redundant(need, free, chosen))


def plan_cheapest_preemption(
    need: Resources,
    workers: Mapping[str, tuple[Resources, Sequence[RunningTask]]],
    *,
    priority: int,
) -> Result[tuple[str, tuple[Preemption, ...]], Problem]:
    """Plans the preemption on the worker where it costs least.

    Plans are compared by the highest priority that they preempt, then by
    their total cost.

    Args:
        need: Resources that the urgent work needs.
        workers: Free resources and batch tasks of each worker.
        priority: Priority of the urgent work.

    Returns:
        The worker's name and its plan, or ``NO_WORKER``.
    """
    plans = [
        (name, plan_worker_preemption(need, free, tasks, priority=priority))
        for name, (free, tasks) in sorted(workers.items())
    ]
    feasible_plans = [
        (name, plan.unwrap())
        for name, plan in plans
        if isinstance(plan, Success)
    ]
    if not feasible_plans:
        return failure(Code.NO_WORKER, "not enough work can be preempted")
    return Success(min(feasible_plans, key=lambda item: _plan_rank(item[1])))


def _preemption_options(task):
    work_class = task.work_class
    if not (work_class.repeatable or work_class.can_checkpoint):
        return
    value_per_s = work_class.value / max(work_class.expected_s, 1e-3)
    make = functools.partial(
        Preemption, task.task_id, priority=work_class.priority
    )
    if work_class.can_checkpoint:
        cost = value_per_s * (CHECKPOINT_AND_RESTART_S + PEAK_DURATION_S)
        yield make(PreemptionAction.CHECKPOINT, freed=task.grant, cost=cost)
    if not task.throttled:
        freed = (1.0 - THROTTLED_CORES_FRACTION) * task.grant.cores
        cost = value_per_s * PEAK_DURATION_S * (1.0 - THROTTLED_CORES_FRACTION)
        yield make(
            PreemptionAction.THROTTLE, freed=Resources(cores=freed), cost=cost
        )


def _option_rank(option, need, available):
    missing = subtract_resources(need, available)
    if missing.slots > 0 and option.freed.slots <= 0:
        return None
    gained = sum(
        min(1.0, getattr(option.freed, name) / lack)
        for name, lack in attrs.asdict(missing).items()
        if lack > 0
    )
    if gained <= 0:
        return None
    return option.priority, option.cost / gained, option.task_id


def _without_redundant(need, free, chosen):
    kept = list(chosen)
    for option in sorted(chosen, key=lambda o: (-o.priority, -o.cost)):
        others = [o for o in kept if o is not option]
        if fits(need, _free_after(free, others)):
            kept = others
    return tuple(kept)


def _free_after(free, plan):
    return functools.reduce(add_resources, (o.freed for o in plan), free)


def _plan_rank(plan):
    highest = max((p.priority for p in plan), default=float("-inf"))
    return highest, sum(p.cost for p in plan)
