"""Simulations of steps that wait for capacity and need advice."""

import asyncio

import attrs
import testtools
from returns.result import Success
from testtools.matchers import Equals

from dragonflybank.cell.advice_dispatch import AdviceSlot
from dragonflybank.cell.background import BackgroundTasks
from dragonflybank.cell.capacity import release, reserve
from dragonflybank.cell.election import Leadership
from dragonflybank.cell.jobs import Step
from dragonflybank.cell.metrics import CellMetrics
from dragonflybank.cell.scheduling import Scheduler
from dragonflybank.cell.state import AttemptPhase
from dragonflybank.cell.tests.builders import add_job, get_step, make_executor
from dragonflybank.cell.workload import Workload
from dragonflybank.standins.cell.virtual_time import (
    VirtualClock,
    run_in_virtual_time,
)

CALL_S = 0.7


class _AdviceDispatcher:
    """Slow advice that declares every executor good."""

    is_mostly_idle = True

    def __init__(self):
        self.named = []

    def acquire_slot(self, *, priority, duration_s, now):
        return AdviceSlot("", 0.0)

    async def request_advice(self, slot, step, executors, *, duration_s):
        self.named.append(sorted(executors))
        await asyncio.sleep(CALL_S)
        return Success({name: f"ticket/{name}" for name in executors})


class _Leader:
    """The parts of a leader that the scheduler uses; starts are recorded."""

    def __init__(self, executors):
        self.clock = VirtualClock()
        self.fleet = _Fleet({e.info.id: e for e in executors})
        self.workload = Workload()
        self.leadership = Leadership(1, 1, 0.0, float("inf"))
        self.background = BackgroundTasks()
        self.metrics = CellMetrics()
        self.attempts = _Attempts(self.clock)

    def wake(self):
        """Does nothing, since the test runs the rounds."""


@attrs.frozen
class _Fleet:
    executors: dict


class _Attempts:
    def __init__(self, clock):
        self.started = []
        self._clock = clock

    def reserve_attempts(self, step, pairs, number, now):
        return [
            reserve(e, t, number, phase=AttemptPhase.RESERVED, now=now)
            for t, e in pairs
        ]

    def start_attempts(self, step, attempts):
        now = self._clock.now()
        self.started += [(now, a.executor.info.id) for a in attempts]

    def stop(self, attempt, reason):
        release(attempt)


class TestAdvisedSteps(testtools.TestCase):
    """Guards against free capacity that waits for one advice call per task."""

    def _run_simulation(self, main):
        executors = [make_executor(f"e{n}", cores=4) for n in range(4)]
        leader, dispatcher = _Leader(executors), _AdviceDispatcher()
        scheduler = Scheduler(leader, dispatcher)
        spec = Step(9, millicores=4000, estimate_s=4.0)
        step = get_step(add_job(leader.workload, 1, spec, queue="verify"))

        async def run():
            await main(leader, scheduler, step)

        run_in_virtual_time(run())
        return leader, dispatcher

    def test_freed_capacity_waits_for_one_renewal_call_only(self):
        freed = []

        async def main(leader, scheduler, step):
            def decide():
                scheduler.place_waiting_steps(leader.clock.now(), 1000.0)

            decide()
            await asyncio.sleep(CALL_S + 0.1)
            decide()
            # The tickets expire, and then one task after another ends.
            await asyncio.sleep(3.0)
            for attempt in [t.attempts[0] for t in step.tasks if t.attempts]:
                release(attempt)
                freed.append(leader.clock.now())
                leader.workload.requeue(step)
                decide()
                await asyncio.sleep(CALL_S + 0.1)
                decide()

        leader, dispatcher = self._run_simulation(main)
        waits = [
            round(began - at, 3)
            for at, (began, _) in zip(
                freed, leader.attempts.started[4:], strict=True
            )
        ]
        # The first call renews all four tickets; later starts do not wait.
        self.assertThat(waits, Equals([CALL_S, 0.0, 0.0, 0.0]))

    def test_valid_tickets_are_used_while_a_call_is_in_progress(self):
        async def main(leader, scheduler, step):
            scheduler.place_waiting_steps(leader.clock.now(), 1000.0)
            await asyncio.sleep(CALL_S + 0.1)
            scheduler.place_waiting_steps(leader.clock.now(), 1000.0)
            step.advice_pending = True
            release(step.tasks[0].attempts[0])
            leader.workload.requeue(step)
            scheduler.place_waiting_steps(leader.clock.now(), 1000.0)

        leader, _ = self._run_simulation(main)
        self.assertThat(len(leader.attempts.started), Equals(5))
