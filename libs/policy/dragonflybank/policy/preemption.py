"""Which patient tasks give way to urgent work at a crest (D13).

Tasks of the lowest priority are checkpointed or throttled first, among them
those that lose the least value for the room that they free. Work that is
not repeatable and cannot be checkpointed is never touched.
"""

__all__ = [
    "Action",
    "Preemption",
    "RunningTask",
    "is_preemption_needed",
    "plan_cheapest_preemption",
    "plan_preemption",
]

import enum
import functools
from collections.abc import Iterable, Mapping, Sequence

import attrs
from returns.result import Result, Success

from dragonflybank.model.codes import Code, Problem, problem
from dragonflybank.model.resources import Resources, fits, minus, plus
from dragonflybank.model.work import WorkClass

# Time that a checkpoint and the later start take, in seconds.
CHECKPOINT_AND_RESTART_S = 2.0
# Part of its processors that a throttled task keeps.
THROTTLED_PART = 0.25
# How long a crest lasts: a checkpointed task does not run and a throttled one
# runs slowly for this time, in seconds.
PEAK_DURATION_S = 10.0
# Part of the time-out that lookups may wait before patient work gives way.
WAIT_PART = 0.5


class Action(enum.StrEnum):
    """What is done to a task."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"


@attrs.frozen
class RunningTask:
    """A patient task that runs.

    Attributes:
        task_id: Identity of its start.
        work_class: Its class.
        grant: Resources of its lease.
        throttled: Whether it is throttled already.
    """

    task_id: str
    work_class: WorkClass
    grant: Resources
    throttled: bool = False


@attrs.frozen
class Preemption:
    """A task that gives way.

    Attributes:
        task_id: Identity of its start.
        action: What is done to it.
        priority: Priority of its class.
        freed: Room that it frees.
        cost: Value that is lost, in units of cost.
    """

    task_id: str
    action: Action
    priority: int
    freed: Resources
    cost: float


def is_preemption_needed(wait_s: float, timeout_s: float) -> bool:
    """Returns whether the wait of lookups calls for preemption.

    Args:
        wait_s: Expected wait of a new lookup in seconds.
        timeout_s: Time within which it must be answered, in seconds.
    """
    return wait_s > WAIT_PART * timeout_s


def plan_preemption(
    need: Resources,
    free: Resources,
    running: Iterable[RunningTask],
    *,
    priority: int,
) -> Result[tuple[Preemption, ...], Problem]:
    """Returns the tasks of one worker that give way.

    Args:
        need: Room that the urgent work needs.
        free: Free room of the worker.
        running: Its patient tasks.
        priority: Priority of the urgent work; only lower ones give way.

    Returns:
        The preemptions, none if the room is free already; ``NO_WORKER`` if
        not enough can be freed. No preemption in the plan is superfluous.
    """
    options = [
        option
        for task in running
        if task.work_class.priority < priority
        for option in _options(task)
    ]
    chosen = []
    room = free
    while not fits(need, room):
        useful = [(_rank(o, need, room), o) for o in options]
        useful = [item for item in useful if item[0] is not None]
        if not useful:
            return problem(Code.NO_WORKER, "not enough work can give way")
        best = min(useful, key=lambda item: item[0])[1]
        # A checkpoint replaces the throttle of the same task.
        chosen = [o for o in chosen if o.task_id != best.task_id] + [best]
        room = _room_after(free, chosen)
        options = [
            o
            for o in options
            if o.task_id != best.task_id
            or (best.action is Action.THROTTLE and o is not best)
        ]
    return Success(_without_superfluous(need, free, chosen))


def plan_cheapest_preemption(
    need: Resources,
    workers: Mapping[str, tuple[Resources, Sequence[RunningTask]]],
    *,
    priority: int,
) -> Result[tuple[str, tuple[Preemption, ...]], Problem]:
    """Returns the worker whose plan touches the least valuable work.

    Args:
        need: Room that the urgent work needs.
        workers: Free room and patient tasks of each worker.
        priority: Priority of the urgent work.

    Returns:
        The worker's name and its plan, or ``NO_WORKER``.
    """
    plans = [
        (name, plan_preemption(need, free, tasks, priority=priority))
        for name, (free, tasks) in sorted(workers.items())
    ]
    able = [
        (name, plan.unwrap())
        for name, plan in plans
        if isinstance(plan, Success)
    ]
    if not able:
        return problem(Code.NO_WORKER, "not enough work can give way")
    return Success(min(able, key=lambda item: _plan_cost(item[1])))


def _options(task):
    work_class = task.work_class
    if not (work_class.repeatable or work_class.can_checkpoint):
        return
    value_per_s = work_class.value / max(work_class.expected_s, 1e-3)
    make = functools.partial(
        Preemption, task.task_id, priority=work_class.priority
    )
    if work_class.can_checkpoint:
        cost = value_per_s * (CHECKPOINT_AND_RESTART_S + PEAK_DURATION_S)
        yield make(Action.CHECKPOINT, freed=task.grant, cost=cost)
    if not task.throttled:
        freed = (1.0 - THROTTLED_PART) * task.grant.cores
        cost = value_per_s * PEAK_DURATION_S * (1.0 - THROTTLED_PART)
        yield make(Action.THROTTLE, freed=Resources(cores=freed), cost=cost)


def _rank(option, need, room):
    missing = minus(need, room)
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


def _without_superfluous(need, free, chosen):
    kept = list(chosen)
    for option in sorted(chosen, key=lambda o: (-o.priority, -o.cost)):
        others = [o for o in kept if o is not option]
        if fits(need, _room_after(free, others)):
            kept = others
    return tuple(kept)


def _room_after(free, plan):
    return functools.reduce(plus, (o.freed for o in plan), free)


def _plan_cost(plan):
    highest = max((p.priority for p in plan), default=float("-inf"))
    return highest, sum(p.cost for p in plan)
