"""Preempts batch tasks while lookups wait too long for a slot."""

__all__ = ["LookupPreemptor"]

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

STEP_INTERVAL_S = 0.1
# Most slots that one step frees on a worker. The next step sees the effect
# before it frees more.
MAX_SLOTS_PER_STEP = 4


class LookupPreemptor:
    """Checkpoints batch tasks of this host's workers at a load peak of lookups.

    Attributes:
        blocked_until: Time until which no batch work is placed here, seconds
            since 1970. It keeps the preempted tasks from taking the freed
            resources back.
    """

    def __init__(self, host):
        self._host = host
        self.blocked_until = 0.0
        self._preempted: set[str] = set()

    def is_batch_blocked(self, now: float) -> bool:
        """Returns whether batch work must not be placed on this host now."""
        return now < self.blocked_until

    async def run(self) -> None:
        """Checks for waiting lookups periodically until cancelled."""
        while True:
            await self.step(self._host.clock())
            await self._host.loop_clock.sleep(STEP_INTERVAL_S)

    async def step(self, now: float) -> None:
        """Frees slots on one worker if lookups wait too long."""
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
            self._host.lookups.slots.expected_wait_s(), timeout_s
        ):
            return
        self.blocked_until = now + PEAK_DURATION_S
        slots = min(waiting, MAX_SLOTS_PER_STEP)
        await self._free_slots(slots, max(wc.priority for wc in lookups), now)

    async def _free_slots(self, slots: int, priority: int, now: float) -> None:
        need = attrs.evolve(LOOKUP_NEED, slots=slots, connections=slots)
        sessions = {
            s.name: s for s in self._host.owned_workers.ready_sessions(now)
        }
        workers = {
            name: (session.free_for_lookups, self._preemptible_tasks(session))
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
        self._preempted.update(task_ids)
        for task_id in task_ids:
            self._host.decisions.add(
                Decision(
                    now,
                    "preempt",
                    task_id.rsplit("/", 2)[0],
                    worker,
                    f"lookups wait, so {task_id} is checkpointed",
                )
            )
        await sessions[worker].checkpoint(task_ids)

    def _preemptible_tasks(self, session) -> list[RunningTask]:
        """Returns the tasks that may be preempted.

        Tasks of classes that are not repeatable cannot be started again, so
        they are never preempted.
        """
        running = (
            (task, self._host.active_config.work_class(task.work_class))
            for task in session.tasks.values()
            if task.task_id not in self._preempted
        )
        return [
            RunningTask(task.task_id, wc.unwrap(), task.grant)
            for task, wc in running
            if isinstance(wc, Success) and wc.unwrap().repeatable
        ]

    def on_task_ended(self, task_id: str) -> None:
        """Removes an ended task from the preempted tasks."""
        self._preempted.discard(task_id)
