"""Choice of executors for the tasks of a step.

A task goes to the executor that it leaves with the fewest free CPU cores (best
fit), so that whole executors stay free for large tasks. A gang is placed as a
whole or not at all. A step that is slower on several racks is placed within one
rack if it fits there.
"""

__all__ = [
    "PlacementPlan",
    "accepting_executors",
    "candidate_executors",
    "good_executors",
    "has_attainable_room",
    "plan_placement",
]

import itertools
from collections.abc import Callable, Iterable, Mapping

import attrs

from dragonflybank.cell.capacity import (
    accepts_new_work,
    count_attainable_tasks,
    count_fitting_tasks,
    fits_beside_lasting,
)
from dragonflybank.cell.state import Executor, StepState, Task


@attrs.frozen
class PlacementPlan:
    """The executors chosen for tasks.

    Attributes:
        pairs: Pairs of a task and its executor.
        reason: How the executors were chosen, or why there are none.
    """

    pairs: tuple[tuple[Task, Executor], ...] = ()
    reason: str = ""


def accepting_executors(
    executors: Iterable[Executor], now: float
) -> dict[str, dict[str, Executor]]:
    """Returns the executors that accept new work now.

    Returns:
        Executors by service and identifier.
    """
    accepting: dict[str, dict[str, Executor]] = {}
    for executor in executors:
        if accepts_new_work(executor, now):
            found = accepting.setdefault(executor.info.service, {})
            found[executor.info.id] = executor
    return accepting


def candidate_executors(
    step: StepState, executors: Iterable[Executor]
) -> list[Executor]:
    """Returns those executors that may run a step.

    Args:
        step: The step.
        executors: Executors of its service that accept new work.
    """
    return [e for e in executors if fits_beside_lasting(e, step.spec)]


def has_attainable_room(
    step: StepState, tasks: int, executors: Iterable[Executor]
) -> bool:
    """Returns whether a step can start once all tasks with an end have ended.

    Args:
        step: The step.
        tasks: Number of its waiting tasks; a gang needs room for all of them.
        executors: Executors of its service that accept new work.
    """
    needed = tasks if step.spec.gang else min(1, tasks)
    found = itertools.accumulate(
        (
            count_attainable_tasks(e, step.spec)
            for e in executors
            if fits_beside_lasting(e, step.spec)
        ),
        initial=0,
    )
    return any(count >= needed for count in found)


def plan_placement(
    step: StepState,
    tasks: list[Task],
    allowed: list[Executor],
    *,
    reserved_millicores: Mapping[str, int],
) -> PlacementPlan:
    """Chooses executors for the waiting tasks of a step.

    Args:
        step: The step.
        tasks: Its waiting tasks.
        allowed: Executors that may run it.
        reserved_millicores: CPU cores by executor that are reserved for
            waiting gangs of higher priority, in thousandths of a core.
    """
    groups = _executor_groups(step, allowed)
    placeable = {
        e.info.id: _count_placeable_tasks(step, e, reserved_millicores)
        for e in allowed
    }
    if step.spec.gang and sum(placeable.values()) < len(tasks):
        return PlacementPlan(reason=f"no capacity for all {len(tasks)} tasks")
    for group in groups:
        if sum(placeable[e.info.id] for e in group) < len(tasks):
            continue
        pairs = _assign_tasks(step, tasks, group, dict(placeable))
        if len(pairs) == len(tasks):
            return PlacementPlan(tuple(pairs), "best fit")
    if step.spec.gang:
        return PlacementPlan(reason=f"no capacity for all {len(tasks)} tasks")
    pairs = _assign_tasks(step, tasks, allowed, placeable)
    return PlacementPlan(tuple(pairs), "best fit" if pairs else "no capacity")


def _executor_groups(
    step: StepState, allowed: list[Executor]
) -> list[list[Executor]]:
    """Returns groups of executors to try in turn.

    The rack with the input data comes first, then each single rack if the step
    is slower on several, and then all executors.
    """
    near = step.spec.near_rack
    groups = []
    if near:
        groups.append([e for e in allowed if near in e.info.labels])
    if step.spec.same_rack:
        racks = sorted({rack for e in allowed for rack in e.info.labels[1:]})
        groups += [[e for e in allowed if r in e.info.labels] for r in racks]
    return [*groups, allowed]


def _count_placeable_tasks(
    step: StepState, executor: Executor, reserved_millicores: Mapping[str, int]
) -> int:
    count = count_fitting_tasks(executor, step.spec)
    reserved = reserved_millicores.get(executor.info.id, 0)
    if reserved and step.spec.millicores and not step.spec.filling:
        unreserved = max(0, executor.free_millicores - reserved)
        count = min(count, unreserved // step.spec.millicores)
    if step.spec.max_per_executor:
        present = sum(
            attempt.task.step is step for attempt in executor.attempts.values()
        )
        count = min(count, step.spec.max_per_executor - present)
    return max(0, count)


def _assign_tasks(
    step: StepState,
    tasks: list[Task],
    group: list[Executor],
    placeable: dict[str, int],
) -> list[tuple[Task, Executor]]:
    size = step.spec.millicores
    free = sorted(
        (e for e in group if placeable[e.info.id] > 0),
        key=lambda e: (e.free_millicores - size, e.info.id),
    )
    pairs = []
    for task in tasks:
        chosen = _choose_executor(
            free,
            lambda e, t=task: e.info.id in t.avoided_executors,
        )
        if chosen is None:
            # Nothing is left for later tasks either.
            return [] if step.spec.gang else pairs
        placeable[chosen.info.id] -= 1
        if not placeable[chosen.info.id]:
            free.remove(chosen)
        pairs.append((task, chosen))
    return pairs


def _choose_executor(
    free: list[Executor], is_avoided: Callable[[Executor], bool]
) -> Executor | None:
    # If the task failed on all of them, it is tried again on one of those.
    return next((e for e in free if not is_avoided(e)), next(iter(free), None))


def good_executors(
    step: StepState, accepting: Mapping[str, Executor]
) -> list[Executor]:
    """Returns those executors that advice has found good for a step."""
    good = [
        accepting[name]
        for name, advice in step.advice_by_executor.items()
        if advice.ticket and name in accepting
    ]
    return candidate_executors(step, good)
