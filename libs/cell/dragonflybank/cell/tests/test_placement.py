"""Tests of placement and of the accounting of capacity."""

import attrs
import testtools
from testtools.matchers import Equals, HasLength

from dragonflybank.cell.capacity import (
    accepts_new_work,
    count_fitting_tasks,
    release,
    reserve,
)
from dragonflybank.cell.jobs import Step
from dragonflybank.cell.placement import (
    accepting_executors,
    candidate_executors,
    plan_placement,
)
from dragonflybank.cell.state import AttemptPhase
from dragonflybank.cell.tests.builders import add_job, get_step, make_executor
from dragonflybank.cell.workload import Workload

NOW = 100.0


def plan_of(step, allowed, reserved_millicores=None):
    return plan_placement(
        step,
        step.waiting_tasks(),
        allowed,
        reserved_millicores=reserved_millicores or {},
    )


def names(plan) -> list[str]:
    return [chosen.info.id for _, chosen in plan.pairs]


class TestPlace(testtools.TestCase):
    """Guards against overloaded executors and fragmented capacity."""

    def setUp(self):
        super().setUp()
        self.workload = Workload()

    def _step(self, spec: Step, **kwargs):
        number = len(self.workload.jobs) + 1
        return get_step(add_job(self.workload, number, spec, **kwargs))

    def test_small_tasks_go_to_the_fullest_executor_that_fits(self):
        empty, used = make_executor("empty"), make_executor("used")
        used.used_millicores = 40_000
        plan = plan_of(self._step(Step(2, millicores=5000)), [empty, used])
        self.assertThat(names(plan), Equals(["used", "used"]))

    def test_no_executor_gets_more_than_its_capacity(self):
        one = make_executor("one", cores=10)
        step = self._step(Step(9, millicores=3000))
        self.assertThat(plan_of(step, [one]).pairs, HasLength(3))

    def test_a_gang_is_placed_as_a_whole_or_not_at_all(self):
        pair = [make_executor("one", cores=10), make_executor("two", cores=10)]
        gang = self._step(Step(4, millicores=4000, gang=True))
        self.assertThat(plan_of(gang, pair).pairs, HasLength(4))
        larger = self._step(Step(5, millicores=4000, gang=True))
        self.assertThat(plan_of(larger, pair).pairs, HasLength(0))

    def test_a_same_rack_step_goes_to_one_rack_if_it_fits_there(self):
        racks = [
            make_executor("a", cores=8, rack="r1"),
            make_executor("b", cores=64, rack="r2"),
        ]
        step = self._step(Step(4, millicores=4000, same_rack=True))
        self.assertThat(set(names(plan_of(step, racks))), Equals({"b"}))

    def test_tasks_go_to_the_rack_of_their_data(self):
        racks = [
            make_executor("far", cores=32, rack="r1"),
            make_executor("near", cores=64, rack="r2"),
        ]
        step = self._step(Step(2, millicores=4000, near_rack="r2"))
        self.assertThat(names(plan_of(step, racks)), Equals(["near", "near"]))

    def test_max_per_executor_limits_the_tasks_of_a_step(self):
        pair = [make_executor("one"), make_executor("two")]
        step = self._step(Step(5, millicores=1000, max_per_executor=2))
        self.assertThat(plan_of(step, pair).pairs, HasLength(4))

    def test_reserved_cores_are_not_used(self):
        one = make_executor("one", cores=10)
        step = self._step(Step(9, millicores=2000))
        plan = plan_of(step, [one], {"one": 6000})
        self.assertThat(plan.pairs, HasLength(2))

    def test_a_task_avoids_executors_it_failed_on_if_there_are_others(self):
        one, two = make_executor("one", cores=32), make_executor("two")
        step = self._step(Step(1, millicores=1000))
        step.tasks[0].avoided_executors.add("one")
        self.assertThat(names(plan_of(step, [one, two])), Equals(["two"]))
        self.assertThat(names(plan_of(step, [one])), Equals(["one"]))

    def test_filling_tasks_need_no_free_cores(self):
        one = make_executor("one", cores=4)
        one.used_millicores = 4000
        step = self._step(Step(2, millicores=4000, memory_mb=10, filling=True))
        self.assertThat(plan_of(step, [one]).pairs, HasLength(2))

    def test_candidates_have_the_label_and_accept_new_work(self):
        step = self._step(Step(1, label="b"))
        other = make_executor("other")
        good = make_executor("good", labels=("b", "r1"))
        leaving = make_executor("leaving", labels=("b", "r1"), draining=True)
        unclaimed = make_executor("unclaimed", labels=("b", "r1"))
        unclaimed.claimed = False
        accepting = accepting_executors([other, good, leaving, unclaimed], NOW)
        found = candidate_executors(step, accepting["directory"].values())
        self.assertThat([e.info.id for e in found], Equals(["good"]))

    def test_candidates_have_room_beside_lasting_tasks(self):
        # Advice about others would be asked for in vain.
        executors = [make_executor(name, cores=8) for name in ("full", "good")]
        service = self._step(Step(1, millicores=2000, lasting=True))
        attempt = reserve(
            executors[0],
            service.tasks[0],
            1,
            phase=AttemptPhase.RUNNING,
            now=NOW,
        )
        step = self._step(Step(1, millicores=7000))
        found = candidate_executors(step, executors)
        self.assertThat([e.info.id for e in found], Equals(["good"]))
        release(attempt)
        found = candidate_executors(step, executors)
        self.assertThat([e.info.id for e in found], Equals(["full", "good"]))


class TestCapacity(testtools.TestCase):
    """Guards against resources that are counted twice or never freed."""

    def test_a_repeated_release_frees_resources_once(self):
        workload = Workload()
        spec = Step(2, millicores=6000, memory_mb=100)
        step = get_step(add_job(workload, 1, spec))
        one = make_executor("one", cores=10)
        attempt = reserve(
            one, step.tasks[0], 1, phase=AttemptPhase.RESERVED, now=NOW
        )
        self.assertThat(count_fitting_tasks(one, spec), Equals(0))
        release(attempt)
        release(attempt)
        self.assertThat(one.used_millicores, Equals(0))
        self.assertThat(one.used_memory_mb, Equals(0))
        self.assertThat(step.tasks[0].attempts, Equals([]))

    def test_an_executor_with_an_orphan_attempt_accepts_no_work(self):
        one = make_executor("one")
        self.assertThat(accepts_new_work(one, NOW), Equals(True))
        one.orphan_attempts.add(("task", 1))
        self.assertThat(accepts_new_work(one, NOW), Equals(False))

    def test_a_quarantined_executor_accepts_no_work(self):
        one = make_executor("one")
        one.quarantined_until = NOW + 1
        self.assertThat(accepts_new_work(one, NOW), Equals(False))
        self.assertThat(accepts_new_work(one, NOW + 1), Equals(True))

    def test_builder_sets_the_size_of_an_executor(self):
        info = attrs.evolve(make_executor("one", cores=2).info, memory_mb=10)
        self.assertThat(info.millicores, Equals(2000))
