"""State of one round of decisions: what is free, and what gangs wait for."""

__all__ = ["DecisionRound", "begin_round"]

import itertools
from collections.abc import Iterable

import attrs

from dragonflybank.cell.capacity import count_attainable_tasks
from dragonflybank.cell.placement import accepting_executors
from dragonflybank.cell.state import Executor, StepState, Task


@attrs.define
class DecisionRound:
    """State of one round.

    Attributes:
        now: Time of the round.
        accepting: Executors that accept new work, by service and identifier.
        free_millicores: Upper bound of the free CPU cores of any executor, by
            service, in thousandths of a core.
        gang_reservations: Priority and reserved capacity by executor of each
            waiting gang, in thousandths of a core. No executor is reserved for
            two gangs.
        refused: Steps that got no slot for a call, as their priority and
            whether the call is a long one.
    """

    now: float
    accepting: dict[str, dict[str, Executor]]
    free_millicores: dict[str, int]
    gang_reservations: list[tuple[int, dict[str, int]]] = attrs.field(
        factory=list
    )
    refused: set[tuple[int, bool]] = attrs.field(factory=set)

    def reserved_against(self, step: StepState) -> dict[str, int]:
        """Returns the capacity that a step must leave, by executor.

        It is reserved for gangs of a higher priority and, if the step is a gang
        itself, for those that come before it.
        """
        priority = step.job_state.queue.priority
        return {
            executor: cores
            for other, reserved in self.gang_reservations
            if other < priority or (step.spec.gang and other == priority)
            for executor, cores in reserved.items()
        }

    def reserved(self) -> dict[str, int]:
        """Returns the capacity that is reserved for any gang, by executor."""
        return {
            executor: cores
            for _, reserved in self.gang_reservations
            for executor, cores in reserved.items()
        }

    def reserve_for_gang(
        self, step: StepState, tasks: list[Task], good: Iterable[Executor]
    ) -> None:
        """Reserves executors for a waiting gang.

        Args:
            step: The gang.
            tasks: Its tasks.
            good: Executors that may run it.
        """
        taken = set(
            itertools.chain.from_iterable(
                reserved for _, reserved in self.gang_reservations
            )
        )
        left = [e for e in good if e.info.id not in taken]
        reservation = _reservation_for_gang(step, tasks, left)
        priority = step.job_state.queue.priority
        self.gang_reservations.append((priority, reservation))


def begin_round(executors: Iterable[Executor], now: float) -> DecisionRound:
    """Returns the state at the begin of a round."""
    accepting = accepting_executors(executors, now)
    return DecisionRound(
        now,
        accepting,
        {
            service: max(e.free_millicores for e in found.values())
            for service, found in accepting.items()
        },
    )


def _reservation_for_gang(
    step: StepState, tasks: list[Task], allowed: list[Executor]
) -> dict[str, int]:
    """Returns the capacity to reserve for a waiting gang.

    Returns:
        CPU cores in thousandths of a core, by executor.
    """
    reserved: dict[str, int] = {}
    missing = len(tasks)
    for executor in sorted(allowed, key=lambda e: -e.free_millicores):
        if missing <= 0:
            break
        places = count_attainable_tasks(executor, step.spec)
        if places > 0:
            reserved[executor.info.id] = executor.attainable_millicores
            missing -= places
    # A reservation does not help a gang for which it can never be enough.
    return reserved if missing <= 0 else {}
