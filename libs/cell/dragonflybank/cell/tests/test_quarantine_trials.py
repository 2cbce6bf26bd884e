"""Tests of work whose only executor is quarantined."""

import testtools
from testtools.matchers import Equals

from dragonflybank.cell.capacity import release
from dragonflybank.cell.health import HealthTracker
from dragonflybank.cell.jobs import Step
from dragonflybank.cell.scheduling import Scheduler
from dragonflybank.cell.tests.builders import (
    ManualClock,
    add_job,
    get_step,
    make_executor,
)
from dragonflybank.cell.tests.scheduler_fakes import FakeLeader


class TestQuarantineTrials(testtools.TestCase):
    """Guards against work that waits for the end of a long quarantine."""

    def setUp(self):
        super().setUp()
        self.sick = make_executor("sick", rack="r1")
        self.sick.quarantine(100.0, 12.0)
        self.other = make_executor("other", rack="r2")
        self.leader = FakeLeader([self.sick, self.other], ManualClock())
        self.scheduler = Scheduler(self.leader, None)
        self.numbers = iter(range(1, 100))

    def _add(self, label: str = "r1"):
        spec = Step(1, millicores=1000, estimate_s=1.0, label=label)
        state = add_job(
            self.leader.workload, next(self.numbers), spec, at=100.0
        )
        return get_step(state)

    def _place(self, now: float) -> None:
        self.leader.clock.time_s = now
        self.scheduler.place_waiting_steps(now, now)

    def _executor_of(self, step) -> str:
        return "".join(a.executor.info.id for a in step.tasks[0].attempts)

    def test_work_without_another_executor_is_tried_on_a_quarantined_one(self):
        step, free = self._add(), self._add(label="")
        self._place(101.0)
        self.assertThat(self._executor_of(step), Equals(""))
        self._place(101.6)
        self.assertThat(self._executor_of(step), Equals("sick"))
        self.assertThat(self._executor_of(free), Equals("other"))

    def test_a_success_during_a_quarantine_ends_it(self):
        step = self._add()
        self._place(101.6)
        attempt = step.tasks[0].attempts[0]
        HealthTracker().record_success(self.sick, attempt, 102.0)
        self.assertThat(self.sick.quarantined_until, Equals(102.0))

    def test_failed_work_is_tried_alone(self):
        steps = [self._add(), self._add()]
        for step in steps:
            step.tasks[0].avoided_executors.add("sick")
        self._place(101.6)
        self.assertThat(self._executors_of(steps), Equals(["sick", ""]))
        # A further failure begins the next quarantine.
        release(steps[0].tasks[0].attempts[0])
        self.sick.quarantine(102.0, 24.0)
        self._place(103.0)
        self.assertThat(self._executors_of(steps), Equals(["", ""]))
        self._place(103.6)
        self.assertThat(self._executors_of(steps), Equals(["sick", ""]))

    def _executors_of(self, steps) -> list[str]:
        return [self._executor_of(step) for step in steps]
