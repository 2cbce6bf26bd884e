"""Patient work gives way while lookups wait too long (D13)."""

__all__ = ["CrestGuard"]

import logging

import attrs
from returns.result import Failure, Success

from dragonflybank.host.lookups import LOOKUP_NEED
from dragonflybank.model.decisions import Decision
from dragonflybank.model.work import WorkKind
from dragonflybank.policy.preemption import (
    PEAK_DURATION_S,
    PreemptionAction,
    RunningTask,
    is_preemption_needed,
    plan_cheapest_preemption,
)

_log = logging.getLogger(__name__)

STEP_S = 0.1
# Slots that one step frees on a worker; the next step sees their effect.
SLOTS_AT_ONCE = 4


class CrestGuard:
    """Checkpoints patient tasks of this host's workers at a crest.

    Attributes:
        until: Time until which no patient work is placed here, seconds since
            1970; freed room must not be taken by the work that gave way.
    """

    def __init__(self, host):
        self._host = host
        self.until = 0.0
        self._asked: set[str] = set()

    def holds_back(self, now: float) -> bool:
        """Returns whether patient work is not placed at present."""
        return now < self.until

    async def run(self) -> None:
        """Steps until it is cancelled."""
        while True:
            await self.step(self._host.clock())
            await self._host.loop_clock.sleep(STEP_S)

    async def step(self, now: float) -> None:
        """Frees room on one worker if lookups wait too long."""
        lookups = [
            wc
            for wc in self._host.active_config.classes
            if wc.kind is WorkKind.LOOKUP
        ]
        waiting = self._host.lookups.slots.waiting
        if not lookups or not waiting:
            return
        timeout_s = min(wc.timeout_s for wc in lookups)
        if not is_preemption_needed(
            self._host.lookups.slots.wait_s(), timeout_s
        ):
            return
        self.until = now + PEAK_DURATION_S
        slots = min(waiting, SLOTS_AT_ONCE)
        await self._free(slots, max(wc.priority for wc in lookups), now)

    async def _free(self, slots: int, priority: int, now: float) -> None:
        need = attrs.evolve(LOOKUP_NEED, slots=slots, connections=slots)
        sessions = {s.name: s for s in self._host.owner.ready_sessions(now)}
        workers = {
            name: (session.free_for_lookups, self._patient(session))
            for name, session in sessions.items()
        }
        plan = plan_cheapest_preemption(need, workers, priority=priority)
        if isinstance(plan, Failure):
            return
        worker, steps = plan.unwrap()
        task_ids = [
            step.task_id
            for step in steps
            if step.action is PreemptionAction.CHECKPOINT
        ]
        if not task_ids:
            return
        self._asked.update(task_ids)
        for task_id in task_ids:
            self._host.decisions.add(
                Decision(
                    now,
                    "preempt",
                    task_id.rsplit("/", 2)[0],
                    worker,
                    f"lookups wait, {task_id} is checkpointed",
                )
            )
        await sessions[worker].checkpoint(task_ids)

    def _patient(self, session) -> list[RunningTask]:
        """Returns the tasks that may give way.

        Work that is not repeatable has no second start, so it stays.
        """
        running = (
            (task, self._host.active_config.work_class(task.work_class))
            for task in session.tasks.values()
            if task.task_id not in self._asked
        )
        return [
            RunningTask(task.task_id, wc.unwrap(), task.grant)
            for task, wc in running
            if isinstance(wc, Success) and wc.unwrap().repeatable
        ]

    def ended(self, task_id: str) -> None:
        """Forgets a task that ended."""
        self._asked.discard(task_id)
