"""State of one round of decisions: what is free, and what gangs wait for."""

__all__ = ["DecisionRound", "begin_round"]

from collections.abc import Collection, Iterable

import attrs

from dragonflybank.cell.gang_reservation import (
    MAX_HOLD_S,
    GangReservation,
    is_held_too_long,
    reserve_executors,
)
from dragonflybank.cell.placement import (
    PlacementPlan,
    accepting_executors,
    plan_placement,
)
from dragonflybank.cell.quarantine_trials import (
    quarantined_executors,
    trial_executors,
)
from dragonflybank.cell.state import Executor, StepState, Task
from dragonflybank.cell.teams import ResourceCap

# Less than any priority, so that all of them wait.
ABOVE_PRIORITIES = float("-inf")


@attrs.define
class DecisionRound:
    """State of one round.

    Attributes:
        now: Time of the round.
        accepting: Executors that accept new work, by service and identifier.
        quarantined: Executors that only a quarantine keeps from new work, by
            service and identifier.
        free_millicores: Upper bound of the free CPU cores of any executor, by
            service, in thousandths of a core.
        gang_reservations: What is reserved for each waiting gang and restart.
            No executor is reserved twice.
        refused: Steps that got no slot for a call, as their priority and
            whether the call is a long one.
        cap_waits: Highest priority of the gangs that wait for room under the
            cap of their team, by team.
        starved_teams: Teams with an overdue gang among these.
    """

    now: float
    accepting: dict[str, dict[str, Executor]]
    free_millicores: dict[str, int]
    gang_reservations: list[GangReservation] = attrs.field(factory=list)
    refused: set[tuple[int, bool]] = attrs.field(factory=set)
    cap_waits: dict[str, float] = attrs.field(factory=dict)
    starved_teams: set[str] = attrs.field(factory=set)
    quarantined: dict[str, dict[str, Executor]] = attrs.field(factory=dict)
    _idle_services: dict[str, bool] = attrs.field(factory=dict)
    _capacities: dict[str, ResourceCap] = attrs.field(factory=dict)

    def executors_for(self, step: StepState) -> dict[str, Executor]:
        """Returns the executors of its service that a step may use now."""
        service = step.job_state.queue.service
        accepting = self.accepting.get(service, {})
        quarantined = self.quarantined.get(service)
        if not quarantined or not self.is_overdue(step):
            return accepting
        return {
            **accepting,
            **trial_executors(step, accepting, quarantined, self.now),
        }

    def reserved_against(self, step: StepState) -> dict[str, int]:
        """Returns the capacity that a step must leave, by executor.

        It is reserved for gangs of a higher priority and, if the step is a gang
        itself, for those that come before it, and for restarts of long-running
        tasks. In a mostly idle service, a step may use it that will have ended
        when the gang or the restart begins. A step of an overdue job of a
        team may use it in any case.
        """
        if not self.gang_reservations:
            return {}
        if step.job_state.job.team and self.is_overdue(step):
            return {}
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

    def plan_after_wait(
        self, step: StepState, tasks: list[Task], allowed: list[Executor]
    ) -> PlacementPlan:
        """Plans one task of a job that gangs have held back for too long.

        In a mostly idle service it may use executors that are reserved for
        gangs; what is reserved for restarts stays reserved.

        Args:
            step: A step that fits nowhere else.
            tasks: Its waiting tasks.
            allowed: Executors that may run it.
        """
        if (
            not self.gang_reservations
            or not is_held_too_long(step, self.now)
            or not self._is_mostly_idle(step.job_state.queue.service)
        ):
            return PlacementPlan(reason="no capacity")
        return plan_placement(
            step,
            tasks if step.spec.gang else tasks[:1],
            allowed,
            reserved_millicores={
                executor: cores
                for reservation in self.gang_reservations
                if reservation.is_restart
                for executor, cores in reservation.millicores.items()
            },
        )

    def is_overdue(self, step: StepState) -> bool:
        """Returns whether a step waits too long beside idle capacity.

        This is so if nothing of its job has run for a while and both its team,
        if it has one, and its service are below half of their capacity.
        """
        state, team = step.job_state, step.job_state.job.team
        ready_at = self.now if step.ready_at is None else step.ready_at
        if self.now - ready_at < MAX_HOLD_S:
            return False
        service = state.queue.service
        if service not in self._idle_services:
            self._idle_services[service] = self._is_mostly_idle(service)
        return (
            self._idle_services[service]
            and state.team_usage.is_below_half(team)
            and not state.attempts()
        )

    def capacity(self, service: str) -> ResourceCap:
        """Returns the resources of a service's executors that accept work."""
        if service not in self._capacities:
            infos = [e.info for e in self.accepting.get(service, {}).values()]
            self._capacities[service] = ResourceCap(
                sum(info.millicores for info in infos),
                sum(info.memory_mb for info in infos),
                sum(info.accelerators for info in infos),
            )
        return self._capacities[service]

    def waits_for_gang_of_team(self, step: StepState) -> bool:
        """Returns whether a gang of the same team needs the rest of its cap.

        Small work of a team that takes each freed part of the cap would starve
        the gang.
        """
        priority = self.cap_waits.get(step.job_state.job.team)
        own = step.job_state.queue.priority
        return priority is not None and (
            priority < own or (step.spec.gang and priority == own)
        )

    def continue_after(self, earlier: "DecisionRound") -> None:
        """Takes over what steps of an earlier part of the round wait for.

        Slots for calls may have become free since then.
        """
        self.gang_reservations = earlier.gang_reservations
        self.cap_waits = earlier.cap_waits
        self.starved_teams = earlier.starved_teams

    def make_room_for_gangs(self, earlier: "DecisionRound") -> None:
        """Holds back all work of teams whose gangs were overdue in a round.

        Urgent work of the team would otherwise take the room that the gang
        needs for as long as it arrives. It waits until it is overdue itself.
        """
        self.cap_waits = dict.fromkeys(earlier.starved_teams, ABOVE_PRIORITIES)

    def update_free_millicores(self, service: str) -> None:
        """Lowers the bound of a service after placements in this round."""
        self.free_millicores[service] = max(
            (e.free_millicores for e in self._available(service)), default=0
        )

    def _is_mostly_idle(self, service: str) -> bool:
        """Returns whether less than half of a service's cores are in use."""
        executors = self._available(service)
        used = sum(e.used_millicores for e in executors)
        return 2 * used < sum(e.info.millicores for e in executors)

    def _available(self, service: str) -> list[Executor]:
        """Returns the executors of a service, with the quarantined ones."""
        return [
            *self.accepting.get(service, {}).values(),
            *self.quarantined.get(service, {}).values(),
        ]

    def reserved(self) -> dict[str, int]:
        """Returns the capacity that is reserved for any step, by executor."""
        return {
            executor: cores
            for reservation in self.gang_reservations
            for executor, cores in reservation.millicores.items()
        }

    def reserve_for_gang(
        self, step: StepState, tasks: list[Task], good: Iterable[Executor]
    ) -> None:
        """Reserves executors for a waiting gang or a restart.

        Args:
            step: The gang, or a step whose tasks are restarted.
            tasks: Its tasks.
            good: Executors that may run it.
        """
        taken = self.reserved()
        left = [e for e in good if e.info.id not in taken]
        reservation = reserve_executors(step, len(tasks), left, self.now)
        if reservation is not None:
            self.gang_reservations.append(reservation)


def begin_round(executors: Collection[Executor], now: float) -> DecisionRound:
    """Returns the state at the begin of a round."""
    accepting = accepting_executors(executors, now)
    quarantined = quarantined_executors(executors, now)
    current = DecisionRound(now, accepting, {}, quarantined=quarantined)
    for service in accepting.keys() | quarantined.keys():
        current.update_free_millicores(service)
    return current
