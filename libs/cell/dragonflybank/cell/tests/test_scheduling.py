"""Simulations of steps that wait for capacity and need advice."""

import asyncio
import itertools

import attrs
import testtools
from testtools.matchers import Equals

from dragonflybank.cell.background import BackgroundTasks
from dragonflybank.cell.capacity import release, reserve
from dragonflybank.cell.jobs import CellConfig, Step
from dragonflybank.cell.scheduling import Scheduler
from dragonflybank.cell.state import AttemptPhase
from dragonflybank.cell.tests.builders import (
    QUEUES,
    add_job,
    get_step,
    make_executor,
)
from dragonflybank.cell.tests.scheduler_fakes import (
    CALL_S,
    FakeAdviceDispatcher,
    FakeLeader,
)
from dragonflybank.cell.tickets import record_advice
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time


class TestAdvisedSteps(testtools.TestCase):
    """Guards against free capacity that waits for one advice call per task."""

    def _run_simulation(self, main):
        executors = [make_executor(f"e{n}", cores=4) for n in range(4)]
        leader, dispatcher = FakeLeader(executors), FakeAdviceDispatcher()
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

    def test_executors_known_to_be_bad_are_neither_used_nor_asked_about(self):
        executors = [make_executor(f"e{n}", cores=4) for n in range(20)]
        leader, dispatcher = (
            FakeLeader(executors),
            FakeAdviceDispatcher({"e0", "e9"}),
        )
        scheduler = Scheduler(leader, dispatcher)
        spec = Step(3, millicores=4000, estimate_s=4.0)
        add_job(leader.workload, 1, spec, queue="verify")

        async def main():
            for _ in range(4):
                scheduler.place_waiting_steps(leader.clock.now(), 1000.0)
                await asyncio.sleep(CALL_S + 0.1)

        run_in_virtual_time(main())
        started = {executor for _, executor in leader.attempts.started}
        self.assertThat(started, Equals({"e0", "e9"}))
        named = list(itertools.chain(*dispatcher.named))
        self.assertThat(len(named), Equals(len(set(named))))


class TestMovesDuringCalls(testtools.TestCase):
    """Guards against starts by advice for a service that a queue has left."""

    def _move_during_call(self, **changes):
        """Moves a queue during its last call; returns starts and failures."""
        executors = [
            *(make_executor(f"e{n}", cores=4) for n in range(2)),
            make_executor("new", cores=4, service="archive"),
        ]
        leader, failures = FakeLeader(executors), []
        leader.background = BackgroundTasks(lambda: failures.append(1))
        scheduler = Scheduler(leader, FakeAdviceDispatcher())
        spec = Step(1, millicores=4000, estimate_s=4.0)
        step = get_step(add_job(leader.workload, 1, spec, queue="verify"))
        moved = attrs.evolve(
            QUEUES["verify"], service="archive", version=2, **changes
        )

        async def main():
            # A ticket that has expired is renewed with capacity reserved.
            record_advice(step, ["e0"], {"e0": "t"}, valid_until=0.0)
            await asyncio.sleep(0.1)
            scheduler.place_waiting_steps(leader.clock.now(), 1000.0)
            leader.workload.adopt_config(CellConfig(2, {"": (moved,)}, {}))
            await asyncio.sleep(CALL_S + 0.1)
            for _ in range(3):
                scheduler.place_waiting_steps(leader.clock.now(), 1000.0)
                await asyncio.sleep(CALL_S + 0.1)

        run_in_virtual_time(main())
        return [name for _, name in leader.attempts.started], failures

    def test_reserved_capacity_of_the_former_service_is_not_used(self):
        started, failures = self._move_during_call()
        self.assertThat((started, failures), Equals((["new"], [])))

    def test_a_queue_may_lose_its_advice_during_a_call(self):
        started, failures = self._move_during_call(advised=None)
        self.assertThat((started, failures), Equals((["new"], [])))


class TestWaitingGangs(testtools.TestCase):
    """Guards against gangs that take the capacity that others wait for.

    Eight executors of 4 cores are good for all; some are occupied.
    """

    def setUp(self):
        super().setUp()
        self._set_up_cell()

    def _set_up_cell(self) -> None:
        self.executors = [make_executor(f"e{n}", cores=4) for n in range(8)]
        self.leader = FakeLeader(self.executors)
        self.scheduler = Scheduler(self.leader, FakeAdviceDispatcher())
        self._jobs = itertools.count(1)

    def _add(
        self,
        count: int,
        *,
        queue: str = "verify",
        gang: bool = True,
        millicores: int = 4000,
        estimate_s: float = 4.0,
        **kwargs,
    ):
        """Adds a step that knows all executors as good."""
        spec = Step(
            count,
            millicores=millicores,
            estimate_s=estimate_s,
            gang=gang,
            **kwargs,
        )
        number = next(self._jobs)
        at = 1000.0 + number / 1000
        state = add_job(self.leader.workload, number, spec, queue=queue, at=at)
        step = get_step(state)
        names = [e.info.id for e in self.executors]
        tickets = {name: f"ticket/{name}" for name in names}
        record_advice(step, names, tickets, valid_until=float("inf"))
        return step

    def _occupy(self, *numbers: int, **kwargs) -> None:
        step = self._add(len(numbers), queue="lookup", gang=False, **kwargs)
        for task, number in zip(step.tasks, numbers, strict=True):
            reserve(
                self.executors[number],
                task,
                1,
                phase=AttemptPhase.RUNNING,
                now=1000.0,
            )

    def _place(self, *, waited_s: float = 0.0) -> None:
        async def main():
            self.scheduler.place_waiting_steps(
                1000.0 + waited_s, 1000.1 + waited_s
            )
            # Calls for advice that were started begin.
            await asyncio.sleep(0)

        run_in_virtual_time(main())

    def _started(self, step) -> int:
        return sum(bool(task.attempts) for task in step.tasks)

    def test_a_later_gang_leaves_what_an_earlier_one_waits_for(self):
        self._occupy(0, 1, 2, 3, 4)
        large, small = self._add(7), self._add(2)
        self._place()
        self.assertThat(self._started(large), Equals(0))
        self.assertThat(self._started(small), Equals(0))

    def test_a_later_gang_uses_what_is_not_reserved(self):
        self._occupy(0, 1, 2, 3)
        large, small = self._add(5), self._add(2)
        # Five executors are reserved, of which four are free.
        self._place()
        self.assertThat(self._started(large), Equals(0))
        self.assertThat(self._started(small), Equals(0))
        release(self.executors[0].attempts.copy().popitem()[1])
        release(self.executors[1].attempts.copy().popitem()[1])
        self._place()
        self.assertThat(self._started(large), Equals(5))

    def test_gangs_do_not_reserve_the_same_executors(self):
        self._occupy(*range(8))
        self._add(5)
        self._add(3)
        sweep = self._add(8, queue="sweep", gang=False)
        for executor in self.executors[:2]:
            release(executor.attempts.copy().popitem()[1])
        # All eight are reserved, so the sweep gets neither of the free ones.
        self._place()
        self.assertThat(self._started(sweep), Equals(0))

    def test_a_gang_keeps_its_reservation_during_a_call(self):
        self._occupy(0, 1, 2, 3, 4)
        gang = self._add(7)
        gang.advice_pending = True
        sweep = self._add(3, queue="sweep", gang=False)
        self._place()
        # Seven of eight executors are reserved, the three free ones first.
        self.assertThat(self._started(sweep), Equals(0))

    def test_urgent_steps_use_reserved_executors(self):
        self._occupy(0, 1, 2, 3, 4)
        self._add(7)
        urgent = self._add(3, queue="lookup", gang=False)
        self._place()
        self.assertThat(self._started(urgent), Equals(3))

    def test_a_gang_without_room_beside_lasting_tasks_holds_nothing_back(self):
        # The gang needs all eight executors, and one is never idle again.
        self._occupy(0, lasting=True, millicores=1000)
        gang = self._add(8)
        sweep = self._add(7, queue="sweep", gang=False)
        self._place()
        self.assertThat(self._started(gang), Equals(0))
        self.assertThat(self._started(sweep), Equals(7))

    def test_a_gang_reserves_only_executors_that_it_can_use(self):
        self._occupy(0, lasting=True, millicores=1000)
        self._occupy(1, 2)
        gang = self._add(6)
        sweep = self._add(2, queue="sweep", gang=False, millicores=3000)
        self._place()
        self.assertThat(self._started(gang), Equals(0))
        # Five free executors and an occupied one are reserved.
        self.assertThat(self._started(sweep), Equals(1))

    def test_a_gang_waits_again_once_a_lasting_task_has_ended(self):
        self._occupy(0, lasting=True, millicores=1000)
        gang = self._add(8)
        self._place()
        release(self.executors[0].attempts.copy().popitem()[1])
        self._place()
        self.assertThat(self._started(gang), Equals(8))

    def _assert_nothing_held_back(self, **kwargs) -> None:
        # By cores alone, each of the eight executors has room for four tasks.
        gang = self._add(9, millicores=1000, **kwargs)
        sweep = self._add(8, queue="sweep", gang=False)
        self._place()
        self.assertThat(self._started(gang), Equals(0))
        self.assertThat(self._started(sweep), Equals(8))

    def test_a_gang_without_memory_for_all_holds_nothing_back(self):
        self._assert_nothing_held_back(memory_mb=10_000)

    def test_a_gang_over_its_limit_for_each_executor_holds_nothing_back(self):
        self._assert_nothing_held_back(max_per_executor=1)

    def test_a_gang_asks_on_if_lasting_tasks_hold_its_good_executors(self):
        # Six executors are good for the gang, twice what it needs, but it has
        # no room beside the long-running tasks of five.
        dispatcher = FakeAdviceDispatcher()
        dispatcher.is_mostly_idle = False
        self.scheduler = Scheduler(self.leader, dispatcher)
        self._occupy(0, 1, 2, 3, 4, lasting=True, millicores=1000)
        gang = self._add(3)
        for executor in self.executors[6:]:
            del gang.advice_by_executor[executor.info.id]
        self._place()
        self.assertThat(dispatcher.named, Equals([["e6", "e7"]]))

    def test_no_advice_is_asked_for_a_gang_without_room(self):
        # Its calls would take the places of calls for work that can start.
        dispatcher = FakeAdviceDispatcher()
        self.scheduler = Scheduler(self.leader, dispatcher)
        self._occupy(0, lasting=True, millicores=1000)
        gang = self._add(8)
        gang.advice_by_executor.clear()
        self._place()
        self.assertThat(dispatcher.named, Equals([]))
        release(self.executors[0].attempts.copy().popitem()[1])
        self._place()
        named = sorted(itertools.chain(*dispatcher.named))
        self.assertThat(named, Equals([f"e{n}" for n in range(8)]))

    def _is_let_in(
        self,
        *,
        busy_s: float,
        busy: int = 1,
        waited_s: float = 0.0,
        **kwargs,
    ) -> bool:
        """Returns whether a sweep uses an executor that a gang waits for.

        The gang needs all eight executors, of which some are busy.
        """
        self._occupy(*range(busy), estimate_s=busy_s)
        gang = self._add(8)
        sweep = self._add(1, queue="sweep", gang=False, **kwargs)
        self._place(waited_s=waited_s)
        self.assertThat(self._started(gang), Equals(0))
        return self._started(sweep) == 1

    def test_short_work_uses_executors_that_a_gang_waits_long_for(self):
        self.assertThat(
            self._is_let_in(busy_s=36.0, estimate_s=1.0), Equals(True)
        )

    def test_work_that_could_delay_a_gang_waits(self):
        for changes in (
            {"busy_s": 5.0, "estimate_s": 4.0},
            {"busy_s": 36.0, "estimate_s": 30.0},
            {"busy_s": 36.0, "estimate_s": 1.0, "lasting": True},
            {"busy_s": 36.0, "estimate_s": 0.0},
            {"busy_s": 36.0, "estimate_s": 1.0, "busy": 4},
        ):
            self._set_up_cell()
            self.assertThat(
                (changes, self._is_let_in(**changes)), Equals((changes, False))
            )

    def test_no_job_waits_three_seconds_beside_idle_executors(self):
        for changes in (
            {"estimate_s": 30.0},
            {"estimate_s": 0.0},
            {"estimate_s": 1.0, "lasting": True},
        ):
            self._set_up_cell()
            is_let_in = self._is_let_in(busy_s=36.0, waited_s=2.5, **changes)
            self.assertThat((changes, is_let_in), Equals((changes, True)))

    def test_a_gang_keeps_a_busy_service_from_work_that_waits(self):
        is_let_in = self._is_let_in(
            busy_s=36.0, busy=4, waited_s=9.0, estimate_s=30.0
        )
        self.assertThat(is_let_in, Equals(False))

    def test_only_a_job_with_nothing_running_is_let_in_after_a_wait(self):
        self._occupy(0, estimate_s=36.0)
        self._add(8)
        sweep = self._add(7, queue="sweep", gang=False, estimate_s=30.0)
        for _ in range(3):
            self._place(waited_s=2.5)
        self.assertThat(self._started(sweep), Equals(1))

    def test_work_that_waits_long_uses_an_idle_service(self):
        # The sweep may run longer than the gang is expected to wait.
        self._occupy(0, estimate_s=5.0)
        gang = self._add(8)
        sweep = self._add(1, queue="sweep", gang=False, estimate_s=30.0)
        self._place(waited_s=1.0)
        self.assertThat(self._started(sweep), Equals(0))
        self._place(waited_s=2.0)
        self.assertThat(self._started(gang), Equals(0))
        self.assertThat(self._started(sweep), Equals(1))
