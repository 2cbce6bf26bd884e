"""State of one round of decisions: what is free, and what gangs wait for."""

__all__ = ["DecisionRound", "begin_round"]

from collections.abc import Iterable

import attrs

from dragonflybank.cell.gang_reservation import (
    GangReservation,
    reserve_executors,
)
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
        gang_reservations: What is reserved for each waiting gang. No executor
            is reserved for two gangs.
        refused: Steps that got no slot for a call, as their priority and
            whether the call is a long one.
    """

    now: float
    accepting: dict[str, dict[str, Executor]]
    free_millicores: dict[str, int]
    gang_reservations: list[GangReservation] = attrs.field(factory=list)
    refused: set[tuple[int, bool]] = attrs.field(factory=set)

    def reserved_against(self, step: StepState) -> dict[str, int]:
        """Returns the capacity that a step must leave, by executor.

        It is reserved for gangs of a higher priority and, if the step is a gang
        itself, for those that come before it. In a mostly idle service, a step
        may use it that will have ended when the gang starts.
        """
        preceding = [r for r in self.gang_reservations if r.precedes(step)]
        binding = [r for r in preceding if not r.allows_backfill(step)]
        # A pass over the service, made once and only if it matters.
        if len(binding) < len(preceding) and not self._is_mostly_idle(
            step.job_state.queue.service
        ):
            binding = preceding
        return {
            executor: cores
            for reservation in binding
            for executor, cores in reservation.millicores.items()
        }

    def _is_mostly_idle(self, service: str) -> bool:
        """Returns whether less than half of a service's cores are in use."""
        executors = self.accepting.get(service, {}).values()
        used = sum(e.used_millicores for e in executors)
        return 2 * used < sum(e.info.millicores for e in executors)

    def reserved(self) -> dict[str, int]:
        """Returns the capacity that is reserved for any gang, by executor."""
        return {
            executor: cores
            for reservation in self.gang_reservations
            for executor, cores in reservation.millicores.items()
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
        taken = self.reserved()
        left = [e for e in good if e.info.id not in taken]
        reservation = reserve_executors(step, len(tasks), left, self.now)
        if reservation is not None:
            self.gang_reservations.append(reservation)


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
