"""Tests of preemption."""

import testtools
from hypothesis import given
from hypothesis import strategies as st
from testtools.matchers import Equals, Is

from dragonflybank.model.codes import Code
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import WorkClass
from dragonflybank.policy import preemption
from dragonflybank.policy.preemption import PreemptionAction, RunningTask

GRANT = Resources(cores=4, memory_mb=1024, slots=1, connections=1)
NONE_FREE = Resources()


def task(name, *, grant=GRANT, priority=0, **kwargs):
    kwargs.setdefault("expected_s", 60.0)
    work_class = WorkClass(name, priority=priority, **kwargs)
    return RunningTask(name, work_class, grant)


def plan(tasks, need=GRANT, free=NONE_FREE):
    return preemption.plan_worker_preemption(need, free, tasks, priority=5)


class TestPreemption(testtools.TestCase):
    """Guards against lost work and unnecessary preemption."""

    def test_unrepeatable_work_without_checkpoint_is_never_preempted(self):
        unrepeatable = task("simulation", repeatable=False)
        self.assertThat(plan([unrepeatable]).failure().code, Is(Code.NO_WORKER))
        need = Resources(cores=1)
        self.assertThat(
            plan([unrepeatable], need).failure().code, Is(Code.NO_WORKER)
        )

    def test_unrepeatable_work_with_checkpoint_may_be_preempted(self):
        unrepeatable = task("simulation", repeatable=False, can_checkpoint=True)
        (chosen,) = plan([unrepeatable]).unwrap()
        self.assertThat(chosen.action, Is(PreemptionAction.CHECKPOINT))

    def test_work_of_equal_priority_is_never_preempted(self):
        equal = task("lookup", priority=5, can_checkpoint=True)
        self.assertThat(plan([equal]).failure().code, Is(Code.NO_WORKER))

    def test_lower_priority_is_preempted_before_lower_value(self):
        cheap = task("cheap", priority=2, value=1.0, can_checkpoint=True)
        valuable = task("dear", priority=1, value=9.0, can_checkpoint=True)
        (chosen,) = plan([cheap, valuable]).unwrap()
        self.assertThat(chosen.task_id, Equals("dear"))

    def test_lower_value_is_preempted_first_at_equal_priority(self):
        table = task("table", value=1.0, can_checkpoint=True)
        simulation = task("simulation", value=9.0, can_checkpoint=True)
        (chosen,) = plan([simulation, table]).unwrap()
        self.assertThat(chosen.task_id, Equals("table"))

    def test_throttling_frees_no_slot(self):
        outcome = plan([task("table")], Resources(cores=1, slots=1))
        self.assertThat(outcome.failure().code, Is(Code.NO_WORKER))

    def test_nothing_is_preempted_when_resources_are_free(self):
        plans = plan([task("table", can_checkpoint=True)], free=GRANT)
        self.assertThat(plans.unwrap(), Equals(()))

    def test_checkpoint_replaces_throttling_that_is_not_enough(self):
        table = task("table", can_checkpoint=True)
        (chosen,) = plan([table], Resources(cores=3)).unwrap()
        self.assertThat(chosen.action, Is(PreemptionAction.THROTTLE))
        chosen = plan([table], Resources(cores=4)).unwrap()
        self.assertThat(
            [c.action for c in chosen], Equals([PreemptionAction.CHECKPOINT])
        )

    @given(st.lists(st.integers(1, 8), min_size=1, max_size=8))
    def test_no_preemption_could_be_left_out(self, cores):
        tasks = [
            task(f"t{i}", grant=Resources(cores=c), can_checkpoint=True)
            for i, c in enumerate(cores)
        ]
        need = Resources(cores=sum(cores) / 2)
        chosen = plan(tasks, need).unwrap()
        freed = sum(c.freed.cores for c in chosen)
        self.assertTrue(freed >= need.cores)
        self.assertTrue(all(freed - c.freed.cores < need.cores for c in chosen))

    def test_worker_with_the_least_valuable_work_is_chosen(self):
        workers = {
            "a": (
                NONE_FREE,
                [task("dear", value=9.0, can_checkpoint=True)],
            ),
            "b": (NONE_FREE, [task("cheap", value=1.0, can_checkpoint=True)]),
            "c": (NONE_FREE, [task("billed", repeatable=False)]),
        }
        name, _ = preemption.plan_cheapest_preemption(
            GRANT, workers, priority=5
        ).unwrap()
        self.assertThat(name, Equals("b"))
