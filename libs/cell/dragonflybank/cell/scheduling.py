"""One round of decisions: which waiting steps are placed, and where.

Steps are considered in the order of `step_order.step_rank`. A gang that does
not fit reserves the executors that it would need against steps of lower
priority, so that small work does not starve it.
"""

__all__ = ["Scheduling"]

import asyncio
import logging
from collections.abc import Sequence
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from dragonflybank.cell.advice_dispatch import AdviceDispatcher
from dragonflybank.cell.capacity import takes_new_work
from dragonflybank.cell.placement import Plan, candidates, place
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
    ask_cost_s,
    extra_renewals,
    first_calls,
    needed_advice,
    take_advice,
    ticket_for,
    to_renew,
)

if TYPE_CHECKING:
    from dragonflybank.cell.leader import Leader

_log = logging.getLogger(__name__)

# After a failed call for advice.
ADVICE_RETRY_S = 0.2


class Scheduling:
    """Places waiting steps.

    Args:
        leader: The leader.
        lines: Calls for advice, or None where there is no advice.
    """

    def __init__(self, leader: "Leader", lines: AdviceDispatcher | None):
        self._leader = leader
        self._lines = lines

    def decide(self, now: float, wall: float) -> None:
        """Places what can be placed now.

        Args:
            now: Present time on the leader's steady clock, in seconds.
            wall: Present time, seconds since 1970.
        """
        leader = self._leader
        if not leader.leadership.may_start_attempts(now):
            return
        held: list[tuple[int, dict[str, int]]] = []
        ready = sorted(leader.workload.ready, key=lambda s: step_rank(s, wall))
        for step in ready:
            tasks = step.waiting()
            if not tasks:
                leader.workload.ready.pop(step, None)
            elif self._is_placeable(step, tasks, now):
                self._place_step(step, tasks, held, now)

    def _is_placeable(
        self, step: StepState, tasks: list[Task], now: float
    ) -> bool:
        if step.blocked_until > now:
            return False
        # A gang is started anew only when all of its members have ended.
        is_whole = not step.asking and len(tasks) == step.undone
        return not step.spec.gang or is_whole

    def _place_step(
        self,
        step: StepState,
        tasks: list[Task],
        held: list[tuple[int, dict[str, int]]],
        now: float,
    ) -> None:
        queue = step.job.job.queue
        allowed = candidates(step, self._leader.fleet.executors.values(), now)
        unknown: Sequence[Executor] = ()
        is_advised = queue.advised is not None and self._lines is not None
        if is_advised and step.asking:
            # A call is in progress; tickets at hand are used meanwhile.
            allowed = [e for e in allowed if ticket_for(step, e.info.id, now)]
        elif is_advised:
            needed = needed_advice(step, allowed)
            allowed, unknown = list(needed.good), needed.unknown
        held_back = {
            executor: cores
            for priority, kept in held
            if priority < queue.priority
            for executor, cores in kept.items()
        }
        plan = place(step, tasks, allowed, held_back=held_back)
        if plan.pairs:
            self._carry_out(step, plan, allowed, now)
        elif unknown:
            calls = first_calls(
                step,
                len(tasks),
                unknown,
                has_idle_lines=self._lines.has_idle,
            )
            self._ask(step, calls, [])
        elif step.spec.gang:
            held.append((queue.priority, _kept_for_gang(step, tasks, allowed)))

    def _carry_out(
        self, step: StepState, plan: Plan, allowed: list[Executor], now: float
    ) -> None:
        leader = self._leader
        workload = leader.workload
        if step.spec.gang:
            number = workload.next_attempt([task for task, _ in plan.pairs])
            attempts = leader.attempts.place(step, plan.pairs, number, now)
        else:
            attempts = [
                attempt
                for pair in plan.pairs
                for attempt in leader.attempts.place(
                    step, [pair], workload.next_attempt([pair[0]]), now
                )
            ]
        if step.job.job.queue.advised is None or self._lines is None:
            self._begin(step, attempts, now)
            return
        if not step.spec.gang:
            ready = [a for a in attempts if self._has_ticket(step, a, now)]
            self._begin(step, ready, now)
            attempts = [a for a in attempts if a not in ready]
        used = {attempt.executor.info.id for attempt in attempts}
        advised = step.job.job.queue.advised
        named = to_renew(step, sorted(used), advised, now)
        if named and step.waiting():
            others = [
                e
                for e in allowed
                if e.info.id not in used
                and ticket_for(step, e.info.id, now) is None
            ]
            named += extra_renewals(advised, named, others, now)
        if named:
            self._ask(step, [named], attempts)
        else:
            self._begin(step, attempts, now)

    def _has_ticket(
        self, step: StepState, attempt: Attempt, now: float
    ) -> bool:
        return ticket_for(step, attempt.executor.info.id, now) is not None

    def _begin(
        self, step: StepState, attempts: list[Attempt], now: float
    ) -> None:
        waited_s = now - (step.ready_at or now)
        waits = self._leader.metrics.placement_wait_seconds.labels(
            step.job.job.queue.priority
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
        self._leader.attempts.begin(step, attempts)

    def _ask(
        self,
        step: StepState,
        calls: list[list[str]],
        attempts: list[Attempt],
    ) -> None:
        step.asking = True
        step.placed_ahead = attempts
        self._leader.background.spawn(self._advise(step, calls))

    async def _advise(self, step: StepState, calls: list[list[str]]) -> None:
        await asyncio.gather(*(self._call(step, ids) for ids in calls))
        now = self._leader.clock.now()
        step.asking = False
        attempts, step.placed_ahead = step.placed_ahead, []
        self._begin_reserved(step, attempts, now)
        self._leader.workload.requeue(step)
        self._leader.wake()

    async def _call(self, step: StepState, ids: list[str]) -> None:
        queue = step.job.job.queue
        got = await self._lines.ask(
            step.name,
            ids,
            priority=queue.priority,
            cost_s=ask_cost_s(queue.advised, len(ids)),
        )
        now = self._leader.clock.now()
        match got:
            case Success(tickets):
                take_advice(
                    step,
                    ids,
                    tickets,
                    valid_until=now + queue.advised.valid_s - TICKET_MARGIN_S,
                )
                _log.info(
                    "advised",
                    extra={
                        "step": step.name,
                        "asked": len(ids),
                        "good": len(tickets),
                    },
                )
            case Failure(_):
                step.blocked_until = now + ADVICE_RETRY_S

    def _begin_reserved(
        self, step: StepState, attempts: list[Attempt], now: float
    ) -> None:
        usable, rest = [], []
        for attempt in attempts:
            if attempt.phase is not AttemptPhase.RESERVED:
                continue
            has_ticket = ticket_for(step, attempt.executor.info.id, now)
            is_usable = has_ticket and takes_new_work(attempt.executor, now)
            (usable if is_usable else rest).append(attempt)
        if rest and step.spec.gang or step.job.phase.is_final:
            usable, rest = [], [*usable, *rest]
        for attempt in rest:
            self._leader.attempts.stop(attempt, "no valid ticket")
        self._begin(step, usable, now)


def _kept_for_gang(
    step: StepState, tasks: list[Task], allowed: list[Executor]
) -> dict[str, int]:
    """Returns the processors by executor that a waiting gang needs."""
    size = max(1, step.spec.millicores)
    kept: dict[str, int] = {}
    missing = len(tasks)
    for executor in sorted(allowed, key=lambda e: -e.free_millicores):
        if missing <= 0:
            break
        kept[executor.info.id] = executor.info.millicores
        missing -= executor.info.millicores // size
    # Where the gang cannot fit even alone, keeping room does not help it.
    return kept if missing <= 0 else {}
