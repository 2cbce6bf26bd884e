"""Capacity that is kept free for a waiting gang or a restart.

A gang starts when all of its tasks fit at the same time. Until then it reserves
executors against work that must come after it. A long-running task that has run
before reserves the executor on which it can start first: in a full service,
smaller tasks would otherwise take each part of an executor that is freed. In a
mostly idle service, work that will have ended when the gang is expected to
start may use them all the same (backfilling, as in Lifka 1995, "The ANL/IBM SP
scheduling system"). In a busy one, estimates are too rough for that, and gangs
would start later.
"""

__all__ = [
    "MAX_HOLD_S",
    "GangReservation",
    "is_held_too_long",
    "reserve_executors",
]

import functools
from collections.abc import Iterable

import attrs

from dragonflybank.cell.capacity import count_attainable_tasks, time_to_room_s
from dragonflybank.cell.jobs import Step
from dragonflybank.cell.state import Executor, StepState
from dragonflybank.cell.step_order import is_restart

# Estimates are rough: a task counts as ended after this multiple of its
# estimate and a margin for its start and the report of its end.
BACKFILL_ESTIMATE_FACTOR = 2.0
BACKFILL_MARGIN_S = 1.0
# No job may wait for 3 s with nothing running while less than half of its
# service and of its team's cap is in use. The rest is for advice and the start.
MAX_HOLD_S = 1.5


@attrs.frozen
class GangReservation:
    """Executors reserved for a waiting gang or a restart in one round.

    Attributes:
        rank: Whether it is beyond the rate of its team, and the priority of its
            queue.
        spec: Its declaration.
        places: Executors and the number of its tasks that each will run.
        now: Time of the round.
        is_restart: Whether its tasks are long-running and have run before.
    """

    rank: tuple[bool, int]
    spec: Step
    places: tuple[tuple[Executor, int], ...]
    now: float
    is_restart: bool = False

    @functools.cached_property
    def millicores(self) -> dict[str, int]:
        """Reserved CPU cores by executor, in thousandths of a core."""
        return {
            executor.info.id: executor.attainable_millicores
            for executor, _ in self.places
        }

    @functools.cached_property
    def wait_s(self) -> float:
        """Expected time until all of its tasks can run, in seconds."""
        return max(
            time_to_room_s(executor, self.spec, count, self.now)
            for executor, count in self.places
        )

    def precedes(self, step: StepState) -> bool:
        """Returns whether a step must leave the reserved executors."""
        rank = _rank(step)
        return (
            self.is_restart
            or self.rank < rank
            or (step.spec.gang and self.rank == rank)
        )

    def allows_backfill(self, step: StepState) -> bool:
        """Returns whether a step will have ended when its tasks can run."""
        spec = step.spec
        if spec.lasting or not spec.estimate_s:
            return False
        ends_after_s = (
            BACKFILL_ESTIMATE_FACTOR * spec.estimate_s + BACKFILL_MARGIN_S
        )
        return ends_after_s <= self.wait_s


def is_held_too_long(step: StepState, now: float) -> bool:
    """Returns whether a step's job has waited too long with nothing running."""
    return (
        step.ready_at is not None
        and now - step.ready_at >= MAX_HOLD_S
        and not step.job_state.open_attempts
    )


def reserve_executors(
    step: StepState, tasks: int, allowed: Iterable[Executor], now: float
) -> GangReservation | None:
    """Returns the reservation of a waiting gang or a restart.

    It is None if the gang, or any task of a restart, would not fit even after
    all tasks with an end have ended, since a reservation does not help then.

    Args:
        step: The gang, or a step whose tasks are restarted.
        tasks: Number of its tasks.
        allowed: Executors that may run it and are not reserved.
        now: Time of the round.
    """
    places = []
    missing = tasks
    restarts = is_restart(step)

    def rank(executor: Executor) -> tuple[float, int]:
        # A restart has to start soon, so it waits where it has room first.
        wait_s = (
            time_to_room_s(executor, step.spec, 1, now) if restarts else 0.0
        )
        return wait_s, -executor.free_millicores

    for executor in sorted(allowed, key=rank):
        if missing <= 0:
            break
        count = min(missing, count_attainable_tasks(executor, step.spec))
        if count > 0:
            places.append((executor, count))
            missing -= count
    if not places or (missing > 0 and step.spec.gang):
        return None
    return GangReservation(
        _rank(step), step.spec, tuple(places), now, is_restart=restarts
    )


def _rank(step: StepState) -> tuple[bool, int]:
    return step.job_state.is_beyond_rate, step.job_state.queue.priority
