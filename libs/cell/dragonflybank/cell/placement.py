"""Choice of executors for the tasks of a step.

Tasks go to the executor that is left with the least free processors, so that
large tasks find whole executors. A gang is placed whole or not at all. Where
several racks slow a step down, it is placed within one if one has room.
"""

__all__ = ["Plan", "candidates", "place"]

from collections.abc import Callable, Iterable, Mapping

import attrs

from dragonflybank.cell.capacity import can_take, fits, takes_new_work
from dragonflybank.cell.state import Executor, StepState, Task


@attrs.frozen
class Plan:
    """Where tasks go.

    Attributes:
        pairs: A task and its executor each.
        reason: Why it is empty, or how it was chosen.
    """

    pairs: tuple[tuple[Task, Executor], ...] = ()
    reason: str = ""


def candidates(
    step: StepState, executors: Iterable[Executor], now: float
) -> list[Executor]:
    """Returns the executors that may run a step and take new work now."""
    service = step.job.job.queue.service
    return [
        e
        for e in executors
        if e.info.service == service
        and takes_new_work(e, now)
        and can_take(e, step.spec)
    ]


def place(
    step: StepState,
    tasks: list[Task],
    allowed: list[Executor],
    *,
    held_back: Mapping[str, int],
) -> Plan:
    """Chooses executors for the waiting tasks of a step.

    Args:
        step: The step.
        tasks: Its waiting tasks.
        allowed: Executors that may run it.
        held_back: Processors by executor that waiting work of higher priority
            needs, in thousandths of a core.
    """
    groups = _groups(step, allowed)
    room = {e.info.id: _room(step, e, held_back) for e in allowed}
    for group in groups:
        pairs = _fill(step, tasks, group, dict(room))
        if len(pairs) == len(tasks):
            return Plan(tuple(pairs), "least rest")
    if step.spec.gang:
        return Plan(reason=f"no room for all {len(tasks)} tasks")
    pairs = _fill(step, tasks, allowed, room)
    return Plan(tuple(pairs), "least rest" if pairs else "no room")


def _groups(step: StepState, allowed: list[Executor]) -> list[list[Executor]]:
    near = step.spec.near_rack
    groups = []
    if near:
        groups.append([e for e in allowed if near in e.info.labels])
    if step.spec.same_rack:
        racks = sorted({rack for e in allowed for rack in e.info.labels[1:]})
        groups += [[e for e in allowed if r in e.info.labels] for r in racks]
    return [*groups, allowed]


def _room(
    step: StepState, executor: Executor, held_back: Mapping[str, int]
) -> int:
    count = fits(executor, step.spec)
    kept = held_back.get(executor.info.id, 0)
    if kept and step.spec.millicores and not step.spec.filling:
        rest = max(0, executor.free_millicores - kept)
        count = min(count, rest // step.spec.millicores)
    if step.spec.max_per_executor:
        present = sum(
            attempt.task.step is step for attempt in executor.attempts.values()
        )
        count = min(count, step.spec.max_per_executor - present)
    return max(0, count)


def _fill(
    step: StepState,
    tasks: list[Task],
    group: list[Executor],
    room: dict[str, int],
) -> list[tuple[Task, Executor]]:
    size = step.spec.millicores
    by_rest = sorted(
        (e for e in group if room[e.info.id] > 0),
        key=lambda e: (e.free_millicores - size, e.info.id),
    )
    pairs = []
    for task in tasks:
        chosen = _first(by_rest, room, lambda e, t=task: e.info.id in t.avoided)
        if chosen is None:
            if step.spec.gang:
                return []
            continue
        room[chosen.info.id] -= 1
        pairs.append((task, chosen))
    return pairs


def _first(
    executors: list[Executor],
    room: dict[str, int],
    is_avoided: Callable[[Executor], bool],
) -> Executor | None:
    free = [e for e in executors if room[e.info.id] > 0]
    # A task that failed on all others is tried where it failed before.
    return next((e for e in free if not is_avoided(e)), next(iter(free), None))
