"""Replays of steps that wait for room on a few advised executors."""

import asyncio

import attrs
import testtools
from returns.result import Success
from testtools.matchers import Equals

from dragonflybank.cell.background import BackgroundTasks
from dragonflybank.cell.capacity import release, reserve
from dragonflybank.cell.election import Leadership
from dragonflybank.cell.jobs import Step
from dragonflybank.cell.metrics import CellMetrics
from dragonflybank.cell.scheduling import Scheduler
from dragonflybank.cell.state import AttemptPhase
from dragonflybank.cell.tests.builders import add_job, executor, get_step
from dragonflybank.cell.workload import Workload
from dragonflybank.standins.cell.virtual import VirtualClock, play

CALL_S = 0.7


class _AdviceDispatcher:
    """Advice that takes its time; every executor is good."""

    is_mostly_idle = True

    def __init__(self):
        self.named = []

    async def request_advice(self, step, executors, *, priority, duration_s):
        self.named.append(sorted(executors))
        await asyncio.sleep(CALL_S)
        return Success({name: f"ticket/{name}" for name in executors})


class _Leader:
    """What the scheduling needs of a leader; starts are recorded."""

    def __init__(self, executors):
        self.clock = VirtualClock()
        self.fleet = _Fleet({e.info.id: e for e in executors})
        self.workload = Workload()
        self.leadership = Leadership(1, 1, 0.0, float("inf"))
        self.background = BackgroundTasks()
        self.metrics = CellMetrics()
        self.attempts = _Attempts(self.clock)

    def wake(self):
        """Rounds are run by the test."""


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
    """Guards against free room that waits for a call for each task."""

    def _play(self, main):
        executors = [executor(f"e{n}", cores=4) for n in range(4)]
        leader, dispatcher = _Leader(executors), _AdviceDispatcher()
        scheduler = Scheduler(leader, dispatcher)
        spec = Step(9, millicores=4000, estimate_s=4.0)
        step = get_step(add_job(leader.workload, 1, spec, queue="verify"))

        async def run():
            await main(leader, scheduler, step)

        play(run())
        return leader, dispatcher

    def test_freed_room_is_used_with_the_tickets_at_hand(self):
        freed = []

        async def main(leader, scheduler, step):
            def decide():
                scheduler.place_waiting_steps(leader.clock.now(), 1000.0)

            decide()
            await asyncio.sleep(CALL_S + 0.1)
            decide()
            # The tickets expire; one task after another ends then.
            await asyncio.sleep(3.0)
            for attempt in [t.attempts[0] for t in step.tasks if t.attempts]:
                release(attempt)
                freed.append(leader.clock.now())
                leader.workload.requeue(step)
                decide()
                await asyncio.sleep(CALL_S + 0.1)
                decide()

        leader, dispatcher = self._play(main)
        waits = [
            round(began - at, 3)
            for at, (began, _) in zip(
                freed, leader.attempts.started[4:], strict=True
            )
        ]
        # The first call renews all four; the others start at once.
        self.assertThat(waits, Equals([CALL_S, 0.0, 0.0, 0.0]))

    def test_a_call_in_progress_blocks_no_ticket_at_hand(self):
        async def main(leader, scheduler, step):
            scheduler.place_waiting_steps(leader.clock.now(), 1000.0)
            await asyncio.sleep(CALL_S + 0.1)
            scheduler.place_waiting_steps(leader.clock.now(), 1000.0)
            step.advice_pending = True
            release(step.tasks[0].attempts[0])
            leader.workload.requeue(step)
            scheduler.place_waiting_steps(leader.clock.now(), 1000.0)

        leader, _ = self._play(main)
        self.assertThat(len(leader.attempts.started), Equals(5))
