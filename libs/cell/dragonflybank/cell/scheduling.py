"""One round of decisions: which waiting steps are placed, and where.

Steps are considered in the order of `step_order.step_rank`. A gang that does
not fit reserves the executors that it would need against steps of lower
priority, so that small work does not starve it.
"""

__all__ = ["Scheduler"]

import asyncio
import logging
from collections.abc import Sequence
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from dragonflybank.cell.advice_dispatch import AdviceDispatcher
from dragonflybank.cell.capacity import accepts_new_work
from dragonflybank.cell.placement import (
    PlacementPlan,
    candidate_executors,
    plan_placement,
)
from dragonflybank.cell.state import (
    Attempt,
    AttemptPhase,
    Executor,
    StepState,
    Task,
)
from dragonflybank.cell.step_order import step_rank
from dragonflybank.cell.tickets import (
    TICKET_MARGIN_S,
    advice_call_s,
    executors_to_renew,
    extra_executors_to_renew,
    first_advice_calls,
    record_advice,
    split_by_advice,
    valid_ticket,
)

if TYPE_CHECKING:
    from dragonflybank.cell.leader import Leader

_log = logging.getLogger(__name__)

# Time for which a step is not placed after a failed call for advice.
ADVICE_RETRY_DELAY_S = 0.2


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

    def place_waiting_steps(self, now: float, unix_time: float) -> None:
        """Runs one round: places all waiting steps that can be placed now.

        Args:
            now: Current time of the leader's monotonic clock, in seconds.
            unix_time: Current time, seconds since 1970.
        """
        leader = self._leader
        if not leader.leadership.may_start_attempts(now):
            return
        gang_reservations: list[tuple[int, dict[str, int]]] = []
        ready = sorted(
            leader.workload.ready, key=lambda s: step_rank(s, unix_time)
        )
        for step in ready:
            tasks = step.waiting_tasks()
            if not tasks:
                leader.workload.ready.pop(step, None)
            elif self._is_placeable(step, tasks, now):
                self._place_step(step, tasks, gang_reservations, now)

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
        self,
        step: StepState,
        tasks: list[Task],
        gang_reservations: list[tuple[int, dict[str, int]]],
        now: float,
    ) -> None:
        queue = step.job_state.job.queue
        allowed = candidate_executors(
            step, self._leader.fleet.executors.values(), now
        )
        unknown: Sequence[Executor] = ()
        is_advised = (
            queue.advised is not None and self._advice_dispatcher is not None
        )
        if is_advised and step.advice_pending:
            # Valid tickets are used while a call for advice is in progress.
            allowed = [e for e in allowed if valid_ticket(step, e.info.id, now)]
        elif is_advised:
            split = split_by_advice(step, allowed)
            allowed, unknown = list(split.good), split.unknown
        reserved_millicores = {
            executor: cores
            for priority, reserved in gang_reservations
            if priority < queue.priority
            for executor, cores in reserved.items()
        }
        plan = plan_placement(
            step, tasks, allowed, reserved_millicores=reserved_millicores
        )
        if plan.pairs:
            self._execute_plan(step, plan, allowed, now)
        elif unknown:
            calls = first_advice_calls(
                step,
                len(tasks),
                unknown,
                has_idle_slots=self._advice_dispatcher.is_mostly_idle,
            )
            self._start_advice_calls(step, calls, [])
        elif step.spec.gang:
            gang_reservations.append(
                (queue.priority, _reservation_for_gang(step, tasks, allowed))
            )

    def _execute_plan(
        self,
        step: StepState,
        plan: PlacementPlan,
        allowed: list[Executor],
        now: float,
    ) -> None:
        leader = self._leader
        workload = leader.workload
        if step.spec.gang:
            number = workload.next_attempt_number(
                [task for task, _ in plan.pairs]
            )
            attempts = leader.attempts.reserve_attempts(
                step, plan.pairs, number, now
            )
        else:
            attempts = [
                attempt
                for pair in plan.pairs
                for attempt in leader.attempts.reserve_attempts(
                    step, [pair], workload.next_attempt_number([pair[0]]), now
                )
            ]
        if (
            step.job_state.job.queue.advised is None
            or self._advice_dispatcher is None
        ):
            self._start(step, attempts, now)
            return
        if not step.spec.gang:
            ready = [a for a in attempts if self._has_ticket(step, a, now)]
            self._start(step, ready, now)
            attempts = [a for a in attempts if a not in ready]
        used = {attempt.executor.info.id for attempt in attempts}
        timing = step.job_state.job.queue.advised
        named = executors_to_renew(step, sorted(used), timing, now)
        if named and step.waiting_tasks():
            others = [
                e
                for e in allowed
                if e.info.id not in used
                and valid_ticket(step, e.info.id, now) is None
            ]
            named += extra_executors_to_renew(timing, named, others, now)
        if named:
            self._start_advice_calls(step, [named], attempts)
        else:
            self._start(step, attempts, now)

    def _has_ticket(
        self, step: StepState, attempt: Attempt, now: float
    ) -> bool:
        return valid_ticket(step, attempt.executor.info.id, now) is not None

    def _start(
        self, step: StepState, attempts: list[Attempt], now: float
    ) -> None:
        waited_s = now - (step.ready_at or now)
        waits = self._leader.metrics.placement_wait_seconds.labels(
            step.job_state.job.queue.priority
        )
        for attempt in attempts:
            waits.observe(waited_s)
            _log.info(
                "place",
                extra={
                    **attempt.log_fields,
                    "free_millicores": attempt.executor.free_millicores,
                    "waited_s": round(waited_s, 3),
                    "gang": step.spec.gang,
                },
            )
        self._leader.attempts.start_attempts(step, attempts)

    def _start_advice_calls(
        self,
        step: StepState,
        calls: list[list[str]],
        attempts: list[Attempt],
    ) -> None:
        step.advice_pending = True
        step.awaiting_tickets = attempts
        self._leader.background.spawn(self._collect_advice(step, calls))

    async def _collect_advice(
        self, step: StepState, calls: list[list[str]]
    ) -> None:
        await asyncio.gather(
            *(self._request_advice(step, ids) for ids in calls)
        )
        now = self._leader.clock.now()
        step.advice_pending = False
        attempts, step.awaiting_tickets = step.awaiting_tickets, []
        self._start_reserved(step, attempts, now)
        self._leader.workload.requeue(step)
        self._leader.wake()

    async def _request_advice(self, step: StepState, ids: list[str]) -> None:
        queue = step.job_state.job.queue
        got = await self._advice_dispatcher.request_advice(
            step.name,
            ids,
            priority=queue.priority,
            duration_s=advice_call_s(queue.advised, len(ids)),
        )
        now = self._leader.clock.now()
        match got:
            case Success(tickets):
                record_advice(
                    step,
                    ids,
                    tickets,
                    valid_until=now + queue.advised.valid_s - TICKET_MARGIN_S,
                )
                _log.info(
                    "advice received",
                    extra={
                        "step": step.name,
                        "asked": len(ids),
                        "good": len(tickets),
                    },
                )
            case Failure(_):
                step.blocked_until = now + ADVICE_RETRY_DELAY_S

    def _start_reserved(
        self, step: StepState, attempts: list[Attempt], now: float
    ) -> None:
        usable, rest = [], []
        for attempt in attempts:
            if attempt.phase is not AttemptPhase.RESERVED:
                continue
            has_ticket = valid_ticket(step, attempt.executor.info.id, now)
            is_usable = has_ticket and accepts_new_work(attempt.executor, now)
            (usable if is_usable else rest).append(attempt)
        if rest and step.spec.gang or step.job_state.phase.is_final:
            usable, rest = [], [*usable, *rest]
        for attempt in rest:
            self._leader.attempts.stop(attempt, "no valid ticket")
        self._start(step, usable, now)


def _reservation_for_gang(
    step: StepState, tasks: list[Task], allowed: list[Executor]
) -> dict[str, int]:
    """Returns the capacity to reserve for a waiting gang.

    Returns:
        CPU cores in thousandths of a core, by executor.
    """
    size = max(1, step.spec.millicores)
    reserved: dict[str, int] = {}
    missing = len(tasks)
    for executor in sorted(allowed, key=lambda e: -e.free_millicores):
        if missing <= 0:
            break
        reserved[executor.info.id] = executor.info.millicores
        missing -= executor.info.millicores // size
    # A reservation does not help a gang that would not fit on idle executors.
    return reserved if missing <= 0 else {}
