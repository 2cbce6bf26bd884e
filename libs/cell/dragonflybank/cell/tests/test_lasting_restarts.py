"""Simulations of long-running tasks that fail while their service is full."""

import itertools

import testtools
from testtools.matchers import Equals, LessThan

from dragonflybank.cell.capacity import release, reserve
from dragonflybank.cell.jobs import Step
from dragonflybank.cell.scheduling import Scheduler
from dragonflybank.cell.state import AttemptPhase, ExecutorAdvice
from dragonflybank.cell.tests.builders import (
    add_job,
    get_step,
    make_executor,
)
from dragonflybank.cell.tests.scheduler_fakes import (
    FakeAdviceDispatcher,
    FakeLeader,
)

ROUND_S = 0.1
# The users' rule.
RESTART_S = 6.0


class TestLastingRestarts(testtools.TestCase):
    """Guards against long-running tasks that are missing in a full service.

    Four executors of 8 cores; tasks of 2 cores and about 3 s arrive at a rate
    a third above what they can do.
    """

    def setUp(self):
        super().setUp()
        self.executors = [make_executor(f"e{n}", cores=8) for n in range(4)]
        self.leader = FakeLeader(self.executors, clock=self)
        self.scheduler = Scheduler(self.leader, None)
        self.time = 1000.0
        self.numbers = itertools.count(1)

    def now(self) -> float:
        """Returns the time of the leader's clock."""
        return self.time

    def _add(self, queue: str, **kwargs):
        spec = Step(**{"count": 1, "estimate_s": 3.0, **kwargs})
        state = add_job(
            self.leader.workload,
            next(self.numbers),
            spec,
            queue=queue,
            at=self.time,
        )
        return get_step(state)

    def _add_lasting(self, queue: str, millicores: int, **kwargs):
        """Adds a long-running task that has run before."""
        step = self._add(queue, lasting=True, millicores=millicores, **kwargs)
        for task in step.tasks:
            task.last_attempt = 1
        return step

    def _fill(self, queue: str = "sweep", **kwargs) -> None:
        for number in range(16):
            step = self._add(queue, millicores=2000, **kwargs)
            reserve(
                self.executors[number % 4],
                step.tasks[0],
                1,
                phase=AttemptPhase.RUNNING,
                now=self.time - 3.0 * number / 16,
            )

    def _seconds_until_started(
        self, *steps, feed: str = "sweep", limit_s: float = 30.0, **kwargs
    ) -> float:
        """Runs rounds until all tasks of some steps run."""
        began = self.time
        lengths = itertools.cycle((2.4, 3.6, 3.0, 2.7, 3.3))
        ends_at = {}
        for turn in itertools.count():
            self._end_tasks(ends_at, lengths)
            if turn % 3 < 2:
                self._add(feed, **{"millicores": 2000, **kwargs})
            self.scheduler.place_waiting_steps(self.time, self.time)
            waited_s = self.time - began
            is_started = all(t.attempts for s in steps for t in s.tasks)
            if is_started or waited_s > limit_s:
                return waited_s
            self.time += ROUND_S

    def _end_tasks(self, ends_at, lengths) -> None:
        running = [a for e in self.executors for a in e.attempts.values()]
        for attempt in running:
            if attempt.task.step.spec.lasting:
                continue
            end = ends_at.setdefault(attempt, attempt.began_at + next(lengths))
            if end <= self.time:
                release(attempt)
                self.leader.workload.finish_task(attempt.task, 1, self.time)

    def _assert_restarted(self, queue: str, filled: str, memory_mb: int = 0):
        """Fails if a task is not restarted in a service full of other work."""
        step = self._add_lasting(queue, 4000, memory_mb=2 * memory_mb)
        # Its objective, which counts from its acceptance, is long over.
        self.time += 600.0
        self._fill(filled, memory_mb=memory_mb)
        waited_s = self._seconds_until_started(
            step, feed=filled, memory_mb=memory_mb
        )
        self.assertThat(waited_s, LessThan(RESTART_S))

    def test_a_task_is_restarted_among_work_of_lower_priority(self):
        self._assert_restarted("lookup", "sweep")

    def test_a_task_is_restarted_among_work_of_its_priority(self):
        self._assert_restarted("sweep", "sweep")

    def test_a_task_is_restarted_among_work_of_higher_priority(self):
        self._assert_restarted("sweep", "lookup")

    def test_a_task_is_restarted_where_memory_is_short(self):
        self._assert_restarted("lookup", "sweep", memory_mb=8000)

    def test_several_tasks_get_a_whole_executor_each(self):
        steps = [self._add_lasting("lookup", 8000) for _ in range(2)]
        self.time += 600.0
        self._fill()
        self.assertThat(
            self._seconds_until_started(*steps), LessThan(RESTART_S)
        )

    def test_a_gang_is_restarted_as_a_whole(self):
        gang = self._add_lasting("sweep", 6000, count=2, gang=True)
        self.time += 600.0
        self._fill()
        self.assertThat(self._seconds_until_started(gang), LessThan(RESTART_S))

    def test_a_waiting_gang_does_not_hold_a_restart_back(self):
        self._add("lookup", millicores=8000, count=4, gang=True)
        step = self._add_lasting("sweep", 4000)
        self.time += 600.0
        self._fill()
        self.assertThat(self._seconds_until_started(step), LessThan(RESTART_S))

    def test_a_restart_without_room_holds_nothing_back(self):
        # Other long-running tasks hold 6 of 8 cores on each executor.
        others = [self._add_lasting("lookup", 6000) for _ in range(4)]
        self.scheduler.place_waiting_steps(self.time, self.time)
        self.assertThat(
            [len(s.waiting_tasks()) for s in others], Equals([0] * 4)
        )
        self._add_lasting("lookup", 4000)
        sweeps = [self._add("sweep", millicores=2000) for _ in range(4)]
        self.scheduler.place_waiting_steps(self.time, self.time)
        self.assertThat(
            [len(s.waiting_tasks()) for s in sweeps], Equals([0] * 4)
        )

    def test_a_first_start_waits_for_its_turn(self):
        # Only a task that has run must be back within a time.
        first = self._add("sweep", lasting=True, millicores=8000)
        lookup = self._add("lookup", millicores=8000, count=4)
        self.scheduler.place_waiting_steps(self.time, self.time)
        self.assertThat(len(first.waiting_tasks()), Equals(1))
        self.assertThat(lookup.waiting_tasks(), Equals([]))

    def test_only_tasks_that_have_run_precede_other_work(self):
        step = self._add("sweep", lasting=True, millicores=8000, count=4)
        step.tasks[0].last_attempt = 1
        lookup = self._add("lookup", millicores=8000, count=3)
        self.scheduler.place_waiting_steps(self.time, self.time)
        self.assertThat(
            [bool(t.attempts) for t in step.tasks],
            Equals([True, False, False, False]),
        )
        self.assertThat(lookup.waiting_tasks(), Equals([]))

    def test_room_is_kept_while_advice_is_asked_for(self):
        # All good executors are full, and the call names those that are not.
        self.scheduler = Scheduler(self.leader, FakeAdviceDispatcher())
        step = self._add_lasting("verify", 4000)
        step.advice_pending = True
        for executor in self.executors:
            step.advice_by_executor[executor.info.id] = ExecutorAdvice(
                "ticket", float("inf")
            )
        self.time += 600.0
        self._fill()
        self.assertThat(self._seconds_until_started(step), LessThan(RESTART_S))
