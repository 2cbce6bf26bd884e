"""Tests of executors that drain and leave at short notice."""

import attrs
import testtools
from testtools.matchers import Equals

from dragonflybank.cell.capacity import reserve
from dragonflybank.cell.draining import attempts_to_evacuate, has_left
from dragonflybank.cell.jobs import Step
from dragonflybank.cell.limits import CellLimits
from dragonflybank.cell.state import AttemptPhase, Executor
from dragonflybank.cell.tests.builders import add_job, get_step, make_executor
from dragonflybank.cell.workload import Workload

NOW = 100.0
LIMITS = CellLimits(stop_grace_s=0.4, heartbeat_interval_s=1.5)


class TestEvacuation(testtools.TestCase):
    """Guards against work lost on an executor that announced that it leaves."""

    def setUp(self):
        super().setUp()
        self.workload = Workload()
        one = make_executor("one")
        self.one = Executor(
            attrs.evolve(one.info, draining=True), leaves_at=NOW + 2.0
        )

    def _run(
        self, number: int, spec: Step, *, started_s_ago: float, percent: float
    ):
        task = get_step(add_job(self.workload, number, spec)).tasks[0]
        attempt = reserve(
            self.one,
            task,
            1,
            phase=AttemptPhase.RUNNING,
            now=NOW - started_s_ago,
        )
        attempt.percent = percent
        return attempt

    def _to_evacuate(self) -> list:
        return attempts_to_evacuate(self.one, LIMITS, NOW)

    def test_tasks_that_cannot_end_in_time_are_evacuated(self):
        long = self._run(1, Step(1), started_s_ago=2.0, percent=20.0)
        self._run(2, Step(1), started_s_ago=2.0, percent=60.0)
        self.assertThat(self._to_evacuate(), Equals([long]))

    def test_tasks_with_checkpoints_are_evacuated_earlier(self):
        # Each has 2.2 s left, slightly more than the executor stays.
        saved = Step(1, checkpoints=True)
        evacuated = self._run(1, saved, started_s_ago=2.2, percent=50.0)
        self._run(2, Step(1), started_s_ago=2.2, percent=50.0)
        self.assertThat(self._to_evacuate(), Equals([evacuated]))

    def test_steps_that_limit_max_unavailable_are_not_evacuated(self):
        self._run(
            1,
            Step(3, lasting=True, max_unavailable=1),
            started_s_ago=9.0,
            percent=100.0,
        )
        self.assertThat(self._to_evacuate(), Equals([]))
        other = self._run(
            2, Step(1, lasting=True), started_s_ago=9.0, percent=100.0
        )
        self.assertThat(self._to_evacuate(), Equals([other]))

    def test_nothing_is_evacuated_from_an_executor_that_stays(self):
        self._run(1, Step(1), started_s_ago=2.0, percent=1.0)
        self.one.info = attrs.evolve(self.one.info, draining=False)
        self.assertThat(self._to_evacuate(), Equals([]))


class TestHasLeft(testtools.TestCase):
    """Guards against a second start of tasks on an executor that may run."""

    def _has_left(self, *, draining: bool, after_s: float) -> bool:
        one = make_executor("one", draining=draining)
        one.drain_written_after = NOW - after_s
        return has_left(one, LIMITS, NOW)

    def test_removal_soon_after_a_draining_entry_proves_it_left(self):
        self.assertTrue(self._has_left(draining=True, after_s=3.0))

    def test_removal_of_an_entry_that_may_have_expired_proves_nothing(self):
        self.assertFalse(self._has_left(draining=True, after_s=4.4))
        self.assertFalse(self._has_left(draining=False, after_s=1.0))
