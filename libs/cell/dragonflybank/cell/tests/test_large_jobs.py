"""Guards against leaders that block on large jobs and lose their key.

Work is counted in function calls, which do not depend on the machine.
"""

import asyncio
import itertools
import sys

import testtools
from testtools.matchers import Equals, HasLength, LessThan

from dragonflybank.cell.capacity import release, reserve
from dragonflybank.cell.jobs import JobPhase, Step
from dragonflybank.cell.load_admission import estimate_start_delays
from dragonflybank.cell.scheduling import Scheduler
from dragonflybank.cell.state import AttemptPhase
from dragonflybank.cell.tests.builders import (
    add_job,
    get_step,
    make_executor,
)
from dragonflybank.cell.tests.scheduler_fakes import (
    CALL_S,
    FakeAdviceDispatcher,
    FakeLeader,
)
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time

LAYERS, WIDTH = 8, 16
STEPS = LAYERS * WIDTH
# Each step but those of the first layer comes after WIDTH others.
EDGES = (LAYERS - 1) * WIDTH * WIDTH
NOW = 1000.0


def _count_calls(function, *args, **kwargs) -> int:
    """Returns how many Python functions and generators a call enters."""
    calls = 0

    def count(frame, event, arg):
        nonlocal calls
        calls += event == "call"

    sys.setprofile(count)
    try:
        function(*args, **kwargs)
    finally:
        sys.setprofile(None)
    return calls


def _layered_steps() -> tuple[Step, ...]:
    return tuple(
        Step(
            1,
            millicores=100,
            estimate_s=0.5,
            after=tuple(
                range((layer - 1) * WIDTH, layer * WIDTH) if layer else ()
            ),
        )
        for layer in range(LAYERS)
        for _ in range(WIDTH)
    )


class _Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.time = NOW

    def now(self) -> float:
        return self.time


class TestLargeJobs(testtools.TestCase):
    """Guards against work that grows faster than the steps and tasks."""

    def setUp(self):
        super().setUp()
        self.executors = [make_executor(f"e{n}", cores=8) for n in range(4)]
        self.leader = FakeLeader(self.executors, clock=_Clock())
        self.scheduler = Scheduler(self.leader, None)
        self.workload = self.leader.workload

    def _add_flows(self, count: int):
        return [
            add_job(self.workload, n, *_layered_steps(), queue="sweep", at=NOW)
            for n in range(count)
        ]

    def _place(self) -> None:
        self.scheduler.place_waiting_steps(NOW, NOW)

    def test_a_first_round_visits_each_step_a_bounded_number_of_times(self):
        flows = 80
        added = _count_calls(self._add_flows, flows)
        self.assertThat(added, LessThan(20 * flows * (STEPS + EDGES)))
        placed = _count_calls(self._place)
        self.assertThat(placed, LessThan(200 * flows * WIDTH))

    def test_a_round_in_a_full_cell_passes_over_what_cannot_be_placed(self):
        flows = 80
        self._add_flows(flows)
        self._place()
        again = _count_calls(self._place)
        self.assertThat(again, LessThan(50 * flows * WIDTH))

    def test_a_round_looks_at_the_service_once_for_each_step(self):
        gangs, sweeps = 40, 100
        for number in range(2 * gangs):
            executor = make_executor(f"g{number}", cores=64)
            self.leader.fleet.executors[executor.info.id] = executor
        busy = Step(
            2 * gangs, millicores=8000, estimate_s=60.0, max_per_executor=1
        )
        add_job(self.workload, 1, busy, at=NOW)
        self._place()
        for number in range(gangs):
            gang = Step(2, millicores=60_000, estimate_s=9.0, gang=True)
            add_job(self.workload, 10 + number, gang, at=NOW)
        for number in range(sweeps):
            spec = Step(1, millicores=100, estimate_s=0.1)
            add_job(self.workload, 99 + number, spec, queue="sweep", at=NOW)
        placed = _count_calls(self._place)
        looks = sweeps * (2 * gangs + gangs)
        self.assertThat(placed, LessThan(40 * looks))

    def test_delays_are_estimated_from_each_ready_step_once(self):
        flows = 80
        self._add_flows(flows)
        estimated = _count_calls(
            estimate_start_delays,
            self.workload.ready,
            self.executors,
            advice_slots=1,
            now=NOW,
            unix_time=NOW,
        )
        self.assertThat(estimated, LessThan(50 * flows * WIDTH))

    def test_the_ends_of_all_tasks_visit_each_dependency_once(self):
        state = self._add_flows(1)[0]

        def finish_all():
            for step in state.occurrences[0]:
                self.workload.finish_task(step.tasks[0], 1, NOW)
                self.workload.is_complete(state)

        finished = _count_calls(finish_all)
        self.assertThat(self.workload.is_complete(state), Equals(True))
        self.assertThat(finished, LessThan(5 * (STEPS + EDGES)))

    def test_a_wide_step_is_placed_by_what_fits(self):
        tasks = 100_000
        spec = Step(tasks, millicores=2000, estimate_s=1.0)
        add_job(self.workload, 1, spec, queue="sweep", at=NOW)
        placed = _count_calls(self._place)
        # 16 tasks of 2 cores fit.
        self.assertThat(placed, LessThan(5000))

    def test_a_cancelled_wide_job_is_stopped_one_attempt_after_another(self):
        tasks = 2000
        state = add_job(
            self.workload, 1, Step(tasks, millicores=1), queue="sweep", at=NOW
        )
        attempts = [
            reserve(
                self.executors[0],
                task,
                1,
                phase=AttemptPhase.RUNNING,
                now=NOW,
            )
            for task in get_step(state).tasks
        ]
        self.workload.end_job(state, JobPhase.CANCELLED, NOW)

        def release_all():
            for attempt in attempts:
                release(attempt)
                self.workload.drop_if_idle(state)

        # A search of all tasks for attempts enters no function for each, so
        # the tasks that it reads are counted.
        read = _CountingList(get_step(state).tasks)
        get_step(state).tasks = read
        release_all()
        self.assertThat(read.visited, LessThan(10 * tasks))
        self.assertThat(state.job.id in self.workload.jobs, Equals(False))


class _SlowClock:
    """A clock on which each look at a step takes some milliseconds."""

    def __init__(self):
        self.time = NOW

    def now(self) -> float:
        self.time += 0.004
        return self.time


class TestLongRounds(testtools.TestCase):
    """Guards against rounds in which a leader cannot confirm its key."""

    def setUp(self):
        super().setUp()
        self.executors = [make_executor(f"e{n}", cores=64) for n in range(4)]
        self.clock = _SlowClock()
        self.leader = FakeLeader(self.executors, clock=self.clock)
        self.leader.wake = lambda: self.woken.append(self.clock.time)
        self.woken = []
        self.scheduler = Scheduler(self.leader, None)
        self.numbers = itertools.count()

    def _add(self, queue: str, **kwargs):
        spec = Step(1, **{"millicores": 1000, "estimate_s": 1.0, **kwargs})
        number = next(self.numbers)
        return get_step(
            add_job(self.leader.workload, number, spec, queue=queue, at=NOW)
        )

    def _place(self) -> float:
        """Runs one round; returns how long it took by the clock."""
        began = self.clock.time
        self.scheduler.place_waiting_steps(began, NOW)
        return self.clock.time - began

    def test_a_long_round_is_continued_until_all_steps_were_considered(self):
        steps = [self._add("sweep") for _ in range(200)]
        rounds = 0
        while any(s.waiting_tasks() for s in steps):
            self.assertThat(self._place(), LessThan(0.2))
            rounds += 1
            self.assertThat(rounds, LessThan(30))
            if any(s.waiting_tasks() for s in steps):
                self.assertThat(self.woken, HasLength(rounds))

    def test_an_urgent_step_does_not_wait_for_the_end_of_a_round(self):
        for _ in range(200):
            self._add("sweep")
        self._place()
        urgent = self._add("lookup")
        self._place()
        self.assertThat(urgent.waiting_tasks(), Equals([]))

    def test_a_step_that_gets_advice_does_not_wait_for_the_end_of_a_round(self):
        self.scheduler = Scheduler(self.leader, FakeAdviceDispatcher())
        advised = self._add("verify")
        sweeps = [self._add("sweep") for _ in range(200)]

        async def run():
            self._place()
            await asyncio.sleep(2 * CALL_S)
            self._place()

        run_in_virtual_time(run())
        self.assertThat(any(s.waiting_tasks() for s in sweeps), Equals(True))
        self.assertThat(advised.waiting_tasks(), Equals([]))

    def test_an_urgent_step_gets_what_becomes_free_during_a_round(self):
        full = [self._add("lookup", millicores=64_000) for _ in range(4)]
        self._place()
        urgent = self._add("lookup", millicores=60_000)
        sweeps = [self._add("sweep", millicores=60_000) for _ in range(200)]
        self._place()
        release(full[0].tasks[0].attempts[0])
        self._place()
        self.assertThat(urgent.waiting_tasks(), Equals([]))
        self.assertThat(
            [s for s in sweeps if not s.waiting_tasks()], Equals([])
        )

    def test_steps_in_a_later_part_leave_what_a_gang_waits_for(self):
        self._add("lookup", millicores=40_000)
        self._place()
        gang = get_step(
            add_job(
                self.leader.workload,
                next(self.numbers),
                Step(4, millicores=60_000, estimate_s=1.0, gang=True),
                queue="lookup",
                at=NOW,
            )
        )
        sweeps = [self._add("sweep") for _ in range(100)]
        for _ in range(8):
            self._place()
        self.assertThat(gang.waiting_tasks(), HasLength(4))
        self.assertThat(
            [s for s in sweeps if not s.waiting_tasks()], Equals([])
        )


class _CountingList(list):
    """A list that counts the items that are read one after another."""

    visited = 0

    def __iter__(self):
        for item in super().__iter__():
            self.visited += 1
            yield item
