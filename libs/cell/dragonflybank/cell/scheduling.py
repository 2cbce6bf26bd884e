"""One round of decisions: which waiting steps are placed, and where.

Steps are considered in the order of `step_order.step_rank`. A gang that does
not fit reserves the executors that it would need against steps of lower
priority, so that small work does not starve it, and against later gangs, so
that small gangs do not starve a large one. A restart of a long-running task
that does not fit reserves an executor against all steps.

A round that takes long is continued in the next one, so that the leader can
confirm its key in between.

Advice is limited to one call at a time for each host. Steps get the free slots
for calls in their order, and capacity is reserved for a step only while its
call is in progress, not while it waits for a slot.
"""

__all__ = ["Scheduler"]

import asyncio
import logging
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from dragonflybank.cell.advice_dispatch import (
    AdviceDispatcher,
    AdviceSlot,
    is_long_call,
)
from dragonflybank.cell.advice_spending import (
    AdviceHistory,
    pending_demand,
)
from dragonflybank.cell.attempt_starts import (
    reserve_tasks,
    start_attempts,
    start_reserved,
)
from dragonflybank.cell.capacity import count_attainable_tasks
from dragonflybank.cell.decision_round import DecisionRound, begin_round
from dragonflybank.cell.isolation import set_step_aside
from dragonflybank.cell.jobs import Queue
from dragonflybank.cell.lease_bounds import running_orphans
from dragonflybank.cell.placement import (
    PlacementPlan,
    candidate_executors,
    good_executors,
    has_attainable_room,
    plan_placement,
)
from dragonflybank.cell.round_order import steps_in_order
from dragonflybank.cell.state import (
    Attempt,
    Executor,
    StepState,
    Task,
)
from dragonflybank.cell.step_holds import (
    log_wait,
    tasks_within_cap,
)
from dragonflybank.cell.step_order import is_restart, tasks_in_turn
from dragonflybank.cell.team_shares import is_beyond_rate
from dragonflybank.cell.tickets import (
    TICKET_MARGIN_S,
    advice_call_s,
    executors_to_renew,
    extra_executors_to_renew,
    first_advice_calls,
    record_advice,
    valid_ticket,
)

if TYPE_CHECKING:
    from dragonflybank.cell.leader import Leader

_log = logging.getLogger(__name__)

# Time after which a round is continued in the next one. The leader reads its
# key every 0.4 s and starts nothing if the last confirmation is older than 1 s.
ROUND_BUDGET_S = 0.1
# The part of it in which a continued round considers steps once more. Without
# it, urgent steps would wait while later ones take what becomes free.
RECONSIDERATION_BUDGET_S = 0.025
# Time for which a step is not placed after a failed call for advice.
ADVICE_RETRY_DELAY_S = 0.2
# A waiting gang asks about no further executors while the good ones that it
# knows have this multiple of the capacity that it needs.
GANG_CAPACITY_FACTOR = 2
# Work beyond its team's rate asks for advice only while more than this part of
# the hosts, as a divisor, makes no call.
SPARE_SLOTS_FACTOR = 4


class Scheduler:
    """Places waiting steps.

    Args:
        leader: The leader.
        advice_dispatcher: Makes calls for advice; None without an advice
            service.
    """

    def __init__(
        self, leader: "Leader", advice_dispatcher: AdviceDispatcher | None
    ):
        self._leader = leader
        self._advice_dispatcher = advice_dispatcher
        self._history = AdviceHistory()
        self._last_round: DecisionRound | None = None
        # Steps considered in a round that is not over yet.
        self.considered: dict[StepState, None] = {}

    @property
    def reserved_millicores(self) -> dict[str, int]:
        """Capacity reserved for gangs in the last round, by executor."""
        return self._last_round.reserved() if self._last_round else {}

    @property
    def advice_slots(self) -> int:
        """Number of hosts that make calls for advice."""
        dispatcher = self._advice_dispatcher
        return dispatcher.slots if dispatcher is not None else 0

    @property
    def idle_advice_slots(self) -> int:
        """Number of hosts without a call for advice in progress."""
        dispatcher = self._advice_dispatcher
        return dispatcher.idle_slots if dispatcher is not None else 0

    def place_waiting_steps(self, now: float, unix_time: float) -> None:
        """Runs one round: places all waiting steps that can be placed now.

        A round that exceeds its budget of time wakes the leader and goes on
        with the next call. That call considers new steps, and for a part of the
        budget the steps that were considered before, in their order among the
        others. Gangs and restarts wait for the next round, since what is
        reserved for them would count against them.

        Args:
            now: Current time of the leader's monotonic clock, in seconds.
            unix_time: Current time, seconds since 1970.
        """
        leader = self._leader
        if not leader.leadership.may_start_attempts(now):
            return
        executors = leader.fleet.executors.values()
        current = begin_round(executors, now)
        if self.considered:
            current.continue_after(self._last_round)
        elif self._last_round is not None:
            current.make_room_for_gangs(self._last_round)
        self._last_round = current
        leader.workload.count_orphans(running_orphans(executors, now))
        began_at = leader.clock.now()
        is_reconsidering = True
        for step in steps_in_order(leader, current, self.considered, unix_time):
            if step in self.considered and not is_reconsidering:
                continue
            took_s = leader.clock.now() - began_at
            if took_s >= ROUND_BUDGET_S:
                leader.wake()
                return
            if step in self.considered and took_s >= RECONSIDERATION_BUDGET_S:
                is_reconsidering = False
                continue
            self.considered[step] = None
            try:
                self._consider(step, current)
            except Exception:
                set_step_aside(leader, step, now)
        self.considered.clear()

    def _consider(self, step: StepState, current: DecisionRound) -> None:
        tasks = step.waiting_tasks()
        if not tasks:
            self._leader.workload.ready.pop(step, None)
            return
        tasks = tasks_in_turn(step, tasks)
        tasks = tasks_within_cap(step, tasks, current)
        if not tasks:
            return
        if self._is_placeable(step, tasks, current.now):
            if not self._place_step(step, tasks, current):
                log_wait(step, current)
        elif step.spec.gang and step.advice_pending:
            self._keep_reservation(step, tasks, current)

    def _is_placeable(
        self, step: StepState, tasks: list[Task], now: float
    ) -> bool:
        if step.blocked_until > now:
            return False
        # A gang is restarted only after all of its members have ended.
        is_whole = (
            not step.advice_pending and len(tasks) == step.unfinished_count
        )
        return not step.spec.gang or is_whole

    def _place_step(
        self, step: StepState, tasks: list[Task], current: DecisionRound
    ) -> bool:
        """Places tasks of a step, or asks for advice about it.

        Returns:
            Whether anything was started or asked for.
        """
        queue = step.job_state.queue
        is_advised = (
            queue.advised is not None and self._advice_dispatcher is not None
        )
        if self._must_wait(step, is_advised, current):
            return False
        accepting = current.executors_for(step)
        if not is_advised:
            good = candidate_executors(step, accepting.values())
        else:
            good = good_executors(step, accepting)
        allowed = good
        if is_advised and step.advice_pending:
            # Valid tickets are used while a call for advice is in progress.
            allowed = [
                e for e in allowed if valid_ticket(step, e.info.id, current.now)
            ]
        plan = plan_placement(
            step,
            tasks,
            allowed,
            reserved_millicores=current.reserved_against(step),
        )
        if not plan.pairs:
            plan = current.plan_after_wait(step, tasks, allowed)
        if plan.pairs and self._execute_plan(
            step, tasks, plan, allowed, current
        ):
            return True
        if not plan.pairs:
            current.update_free_millicores(queue.service)
        is_asking = (
            is_advised
            and not plan.pairs
            and not step.advice_pending
            and self._needs_more(step, tasks, allowed)
            and self._request_first_advice(step, tasks, accepting, current)
        )
        if (step.spec.gang or is_restart(step)) and not is_asking:
            current.reserve_for_gang(step, tasks, good)
        return is_asking

    def _keep_reservation(
        self, step: StepState, tasks: list[Task], current: DecisionRound
    ) -> None:
        """Reserves executors for a gang that asks about further ones."""
        if step.awaiting_tickets or len(tasks) < step.unfinished_count:
            return
        service = step.job_state.queue.service
        good = good_executors(step, current.accepting.get(service, {}))
        current.reserve_for_gang(step, tasks, good)

    def _must_wait(
        self, step: StepState, is_advised: bool, current: DecisionRound
    ) -> bool:
        """Returns whether the step can neither be placed nor ask for advice.

        Most steps of a full cell wait, and are passed over without a look at
        all executors.
        """
        queue, spec = step.job_state.queue, step.spec
        most_free = current.free_millicores.get(queue.service, 0)
        is_full = not spec.filling and spec.millicores > most_free
        # Gangs and restarts reserve executors in a full cell.
        is_full = is_full and not (spec.gang or is_restart(step))
        if not is_advised:
            return is_full
        needs_long_call = is_long_call(queue.advised.base_s)
        if not step.advice_by_executor:
            if self._must_leave_slots(step, current):
                return True
            return (queue.priority, needs_long_call) in current.refused
        return is_full and needs_long_call

    def _must_leave_slots(
        self, step: StepState, current: DecisionRound
    ) -> bool:
        """Returns whether the slots are left to teams that keep their rates."""
        return (
            is_beyond_rate(step)
            and SPARE_SLOTS_FACTOR * self.idle_advice_slots <= self.advice_slots
            and not current.is_overdue(step)
        )

    def _needs_more(
        self, step: StepState, tasks: list[Task], good: list[Executor]
    ) -> bool:
        """Returns whether a step should ask about further executors.

        A waiting gang gets the capacity of good executors as it becomes free.
        """
        if not step.spec.gang or self._advice_dispatcher.is_mostly_idle:
            return True
        places = sum(count_attainable_tasks(e, step.spec) for e in good)
        return places < GANG_CAPACITY_FACTOR * len(tasks)

    def _request_first_advice(
        self,
        step: StepState,
        tasks: list[Task],
        accepting: Mapping[str, Executor],
        current: DecisionRound,
    ) -> bool:
        """Asks about executors without advice; returns whether it did."""
        queue = step.job_state.queue
        unknown = candidate_executors(
            step,
            [
                executor
                for name, executor in accepting.items()
                if name not in step.advice_by_executor
            ],
        )
        if not unknown or not has_attainable_room(
            step, len(tasks), accepting.values()
        ):
            return False
        calls = first_advice_calls(
            step,
            len(tasks),
            unknown,
            has_idle_slots=self._advice_dispatcher.is_mostly_idle,
            good_share=self._history.good_share(queue.name),
            other_millicores=pending_demand(
                self._leader.workload.ready, queue.service, queue.priority
            ),
        )
        slots = [self._acquire_slot(step, len(ids), current) for ids in calls]
        granted = [
            (slot, ids)
            for slot, ids in zip(slots, calls, strict=True)
            if slot is not None
        ]
        if granted:
            self._start_advice_calls(step, granted, [])
        return bool(granted)

    def _acquire_slot(
        self, step: StepState, names: int, current: DecisionRound
    ) -> AdviceSlot | None:
        queue = step.job_state.queue
        duration_s = advice_call_s(queue.advised, names)
        if self._must_leave_slots(step, current):
            return None
        slot = self._advice_dispatcher.acquire_slot(
            priority=queue.priority, duration_s=duration_s, now=current.now
        )
        if slot is None:
            current.refused.add((queue.priority, is_long_call(duration_s)))
        return slot

    def _execute_plan(
        self,
        step: StepState,
        tasks: list[Task],
        plan: PlacementPlan,
        allowed: list[Executor],
        current: DecisionRound,
    ) -> bool:
        """Starts the planned tasks, or asks for new tickets first.

        Returns:
            Whether anything was started or asked for.
        """
        timing = step.job_state.queue.advised
        now = current.now
        if timing is None or self._advice_dispatcher is None:
            self._start(step, plan.pairs, now)
            return True
        ticketed = [
            pair
            for pair in plan.pairs
            if valid_ticket(step, pair[1].info.id, now) is not None
        ]
        if not step.spec.gang:
            self._start(step, ticketed, now)
            rest = [pair for pair in plan.pairs if pair not in ticketed]
        else:
            rest = list(plan.pairs)
        used = sorted({executor.info.id for _, executor in rest})
        named = executors_to_renew(step, used, timing, now)
        if not named:
            self._start(step, rest, now)
            return bool(plan.pairs)
        if len(tasks) > len(plan.pairs):
            others = [
                e
                for e in allowed
                if e.info.id not in used
                and valid_ticket(step, e.info.id, now) is None
            ]
            named += extra_executors_to_renew(timing, named, others, now)
        slot = self._acquire_slot(step, len(named), current)
        if slot is None:
            return bool(ticketed) and not step.spec.gang
        attempts = reserve_tasks(self._leader, step, rest, now)
        self._start_advice_calls(step, [(slot, named)], attempts)
        return True

    def _start(
        self,
        step: StepState,
        pairs: Sequence[tuple[Task, Executor]],
        now: float,
    ) -> None:
        attempts = reserve_tasks(self._leader, step, pairs, now)
        start_attempts(self._leader, step, attempts, now)

    def _start_advice_calls(
        self,
        step: StepState,
        calls: list[tuple[AdviceSlot, list[str]]],
        attempts: list[Attempt],
    ) -> None:
        step.advice_pending = True
        step.awaiting_tickets = attempts
        queue = step.job_state.queue
        self._leader.background.spawn(self._collect_advice(step, queue, calls))

    async def _collect_advice(
        self,
        step: StepState,
        queue: Queue,
        calls: list[tuple[AdviceSlot, list[str]]],
    ) -> None:
        await asyncio.gather(
            *(
                self._request_advice(step, queue, slot, ids)
                for slot, ids in calls
            )
        )
        now = self._leader.clock.now()
        step.advice_pending = False
        attempts, step.awaiting_tickets = step.awaiting_tickets, []
        start_reserved(self._leader, step, attempts, now)
        self._leader.workload.requeue(step)
        self._leader.wake()

    async def _request_advice(
        self, step: StepState, queue: Queue, slot: AdviceSlot, ids: list[str]
    ) -> None:
        asked_at = self._leader.clock.now()
        got = await self._advice_dispatcher.request_advice(
            slot,
            step.name,
            ids,
            duration_s=advice_call_s(queue.advised, len(ids)),
        )
        now = self._leader.clock.now()
        match got:
            case Success(tickets):
                is_new = [i for i in ids if i not in step.advice_by_executor]
                self._history.record(
                    queue.name,
                    asked=len(is_new),
                    good=sum(i in tickets for i in is_new),
                )
                record_advice(
                    step,
                    ids,
                    tickets,
                    valid_until=now + queue.advised.valid_s - TICKET_MARGIN_S,
                    received_at=now,
                )
                _log.info(
                    "advice received",
                    extra={
                        "step": step.name,
                        "asked": len(ids),
                        "good": len(tickets),
                        "took_s": round(now - asked_at, 3),
                    },
                )
            case Failure(_):
                step.blocked_until = now + ADVICE_RETRY_DELAY_S
