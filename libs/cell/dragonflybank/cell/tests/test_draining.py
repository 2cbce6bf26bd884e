"""Replays of executors that leave at short notice."""

import attrs
import testtools
from testtools.matchers import Equals

from dragonflybank.cell.capacity import reserve
from dragonflybank.cell.draining import attempts_to_evacuate, has_left
from dragonflybank.cell.jobs import Step
from dragonflybank.cell.limits import CellLimits
from dragonflybank.cell.state import AttemptPhase, Executor
from dragonflybank.cell.tests.builders import add_job, executor, get_step
from dragonflybank.cell.workload import Workload

NOW = 100.0
LIMITS = CellLimits(stop_grace_s=0.4, heartbeat_interval_s=1.5)


class TestEvacuation(testtools.TestCase):
    """Guards against work that is lost with an executor that said it leaves."""

    def setUp(self):
        super().setUp()
        self.workload = Workload()
        one = executor("one")
        self.one = Executor(
            attrs.evolve(one.info, draining=True), leaves_at=NOW + 2.0
        )

    def _run(self, number: int, spec: Step, *, began_s: float, percent: float):
        task = get_step(add_job(self.workload, number, spec)).tasks[0]
        attempt = reserve(
            self.one,
            task,
            1,
            phase=AttemptPhase.RUNNING,
            now=NOW - began_s,
        )
        attempt.percent = percent
        return attempt

    def _stopped(self) -> list:
        return attempts_to_evacuate(self.one, LIMITS, NOW)

    def test_what_cannot_be_done_in_time_is_moved(self):
        long = self._run(1, Step(1), began_s=2.0, percent=20.0)
        self._run(2, Step(1), began_s=2.0, percent=60.0)
        self.assertThat(self._stopped(), Equals([long]))

    def test_work_with_checkpoints_is_moved_earlier(self):
        # 2.2 s are left of each, a little more than the executor stays.
        saved = Step(1, checkpoints=True)
        moved = self._run(1, saved, began_s=2.2, percent=50.0)
        self._run(2, Step(1), began_s=2.2, percent=50.0)
        self.assertThat(self._stopped(), Equals([moved]))

    def test_a_service_that_must_stay_is_left_alone(self):
        self._run(
            1,
            Step(3, lasting=True, max_unavailable=1),
            began_s=9.0,
            percent=100.0,
        )
        self.assertThat(self._stopped(), Equals([]))
        other = self._run(2, Step(1, lasting=True), began_s=9.0, percent=100.0)
        self.assertThat(self._stopped(), Equals([other]))

    def test_nothing_is_moved_off_an_executor_that_stays(self):
        self._run(1, Step(1), began_s=2.0, percent=1.0)
        self.one.info = attrs.evolve(self.one.info, draining=False)
        self.assertThat(self._stopped(), Equals([]))


class TestLeft(testtools.TestCase):
    """Guards against a second start while an executor may still run."""

    def _has_left(self, *, draining: bool, after_s: float) -> bool:
        one = executor("one", draining=draining)
        one.drain_written_after = NOW - after_s
        return has_left(one, LIMITS, NOW)

    def test_an_entry_that_goes_soon_after_the_notice_is_proof(self):
        self.assertTrue(self._has_left(draining=True, after_s=3.0))

    def test_an_entry_that_may_have_lapsed_is_none(self):
        self.assertFalse(self._has_left(draining=True, after_s=4.4))
        self.assertFalse(self._has_left(draining=False, after_s=1.0))
