"""Capacity that is kept free for a waiting gang.

A gang starts when all of its tasks fit at the same time. Until then it reserves
executors against work that must come after it. In a mostly idle service, work
that will have ended when the gang is expected to start may use them all the
same (backfilling, as in Lifka 1995, "The ANL/IBM SP scheduling system"). In a
busy one, estimates are too rough for that, and gangs would start later.
"""

__all__ = ["GangReservation", "reserve_executors"]

import functools
from collections.abc import Iterable

import attrs

from dragonflybank.cell.capacity import count_attainable_tasks, time_to_room_s
from dragonflybank.cell.jobs import Step
from dragonflybank.cell.state import Executor, StepState

# Estimates are rough: a task counts as ended after this multiple of its
# estimate and a margin for its start and the report of its end.
BACKFILL_ESTIMATE_FACTOR = 2.0
BACKFILL_MARGIN_S = 1.0


@attrs.frozen
class GangReservation:
    """Executors reserved for a waiting gang in one round.

    Attributes:
        rank: Whether it is beyond the rate of its team, and the priority of its
            queue.
        spec: Its declaration.
        places: Executors and the number of its tasks that each will run.
        now: Time of the round.
    """

    rank: tuple[bool, int]
    spec: Step
    places: tuple[tuple[Executor, int], ...]
    now: float

    @functools.cached_property
    def millicores(self) -> dict[str, int]:
        """Reserved CPU cores by executor, in thousandths of a core."""
        return {
            executor.info.id: executor.attainable_millicores
            for executor, _ in self.places
        }

    @functools.cached_property
    def wait_s(self) -> float:
        """Expected time until the gang can start, in seconds."""
        return max(
            time_to_room_s(executor, self.spec, count, self.now)
            for executor, count in self.places
        )

    def precedes(self, step: StepState) -> bool:
        """Returns whether a step comes after the gang."""
        rank = _rank(step)
        return self.rank < rank or (step.spec.gang and self.rank == rank)

    def allows_backfill(self, step: StepState) -> bool:
        """Returns whether a step will have ended when the gang starts."""
        spec = step.spec
        if spec.lasting or not spec.estimate_s:
            return False
        ends_after_s = (
            BACKFILL_ESTIMATE_FACTOR * spec.estimate_s + BACKFILL_MARGIN_S
        )
        return ends_after_s <= self.wait_s


def reserve_executors(
    step: StepState, tasks: int, allowed: Iterable[Executor], now: float
) -> GangReservation | None:
    """Returns the reservation of a waiting gang.

    It is None if the gang would not fit even after all tasks with an end have
    ended, since a reservation does not help it then.

    Args:
        step: The gang.
        tasks: Number of its tasks.
        allowed: Executors that may run it and are not reserved.
        now: Time of the round.
    """
    places = []
    missing = tasks
    for executor in sorted(allowed, key=lambda e: -e.free_millicores):
        if missing <= 0:
            break
        count = min(missing, count_attainable_tasks(executor, step.spec))
        if count > 0:
            places.append((executor, count))
            missing -= count
    if missing > 0:
        return None
    return GangReservation(_rank(step), step.spec, tuple(places), now)


def _rank(step: StepState) -> tuple[bool, int]:
    return step.job_state.is_beyond_rate, step.job_state.queue.priority
