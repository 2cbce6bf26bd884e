"""Tests of how jobs, steps and tasks become ready and end."""

import testtools
from testtools.matchers import Equals, HasLength

from dragonflybank.cell.jobs import JobPhase, Progress, Step
from dragonflybank.cell.step_order import step_rank
from dragonflybank.cell.tests.builders import add_job, get_step
from dragonflybank.cell.workload import Workload


class TestWorkload(testtools.TestCase):
    """Guards against steps out of order and exceeded attempt limits."""

    def setUp(self):
        super().setUp()
        self.workload = Workload()

    def test_a_step_waits_for_all_tasks_of_the_steps_before_it(self):
        state = add_job(self.workload, 1, Step(2), Step(1, after=(0,)))
        first, second = state.occurrences[0]
        self.assertThat(list(self.workload.ready), Equals([first]))
        self.workload.finish_task(first.tasks[0], 1, 1.0)
        self.assertThat(second.ready_at, Equals(None))
        self.workload.finish_task(first.tasks[1], 1, 2.0)
        self.assertThat(list(self.workload.ready), Equals([second]))

    def test_a_cancelled_job_starts_no_further_steps(self):
        state = add_job(self.workload, 1, Step(1), Step(1, after=(0,)))
        first, _ = state.occurrences[0]
        self.workload.end_job(state, JobPhase.CANCELLED, 1.0)
        # The task ended before the stop command arrived.
        self.workload.finish_task(first.tasks[0], 1, 2.0)
        self.assertThat(list(self.workload.ready), Equals([]))

    def test_one_successful_member_completes_its_gang(self):
        state = add_job(self.workload, 1, Step(3, gang=True))
        self.workload.finish_task(get_step(state).tasks[1], 1, 1.0)
        self.assertThat(self.workload.is_complete(state), Equals(True))

    def test_a_repeated_end_counts_once(self):
        state = add_job(self.workload, 1, Step(2))
        task = get_step(state).tasks[0]
        self.assertThat(self.workload.finish_task(task, 1, 1.0), Equals(True))
        self.assertThat(self.workload.finish_task(task, 1, 1.0), Equals(False))
        self.assertThat(get_step(state).unfinished_count, Equals(1))

    def test_a_repeated_failure_of_one_attempt_counts_once(self):
        state = add_job(self.workload, 1, Step(1))
        task = get_step(state).tasks[0]
        used_up = [self.workload.fail_task(task, n) for n in (1, 1, 2, 3, 4)]
        self.assertThat(used_up, Equals([False, False, False, False, True]))

    def test_failures_of_all_gang_members_count_together(self):
        state = add_job(self.workload, 1, Step(4, gang=True))
        used_up = [
            self.workload.fail_task(task, number)
            for number, task in enumerate(get_step(state).tasks, 1)
        ]
        self.assertThat(used_up, Equals([False, False, False, True]))

    def test_stored_progress_is_restored(self):
        progress = Progress(
            JobPhase.RUNNING,
            done={"0.0": [0]},
            failed={"0.0.1": [1, 2]},
            placed={"0.0.1": (3, "executor-1")},
            saved={"0.0.1": "abc"},
        )
        state = add_job(self.workload, 1, Step(2), progress=progress)
        done, task = get_step(state).tasks
        self.assertThat(done.done, Equals(True))
        self.assertThat(task.failed, Equals({1, 2}))
        self.assertThat(task.checkpoint, Equals("abc"))
        self.assertThat(self.workload.next_attempt_number([task]), Equals(4))
        self.assertThat(
            self.workload.placement_of(task), Equals((3, "executor-1"))
        )

    def test_an_ended_job_is_not_added_again(self):
        state = add_job(self.workload, 1, Step(1))
        self.workload.end_job(state, JobPhase.CANCELLED, 5.0)
        self.workload.drop_if_idle(state)
        self.assertThat(add_job(self.workload, 1, Step(1)), Equals(None))
        self.assertThat(self.workload.ready, HasLength(0))

    def test_occurrences_open_when_they_are_due(self):
        state = add_job(
            self.workload, 1, Step(1), start_at=10.0, interval_s=5.0, repeat=3
        )
        opened = []
        for unix_time in (9.7, 9.76, 14.8, 100.0):
            self.workload.open_due_occurrences(
                unix_time, max_early_start_s=0.25, now=unix_time
            )
            opened.append(len(state.occurrences))
        self.assertThat(opened, Equals([0, 1, 2, 3]))

    def test_an_occurrence_started_by_a_faster_clock_is_known_but_waits(self):
        """Guards against ends that a slower clock's leader drops unread."""
        state = add_job(
            self.workload,
            1,
            Step(1),
            Step(1, after=(0,)),
            progress=Progress(placed={"1.0.0": (3, "one")}),
            start_at=10.0,
            interval_s=5.0,
            repeat=3,
        )
        first, second = state.occurrences[1]
        self.assertThat(first.tasks[0].last_attempt, Equals(3))
        self.workload.finish_task(first.tasks[0], 3, 9.0)
        self.assertThat(state.progress.done, Equals({"1.0": [0]}))
        for unix_time, ready in ((10.0, 1), (14.0, 1), (14.8, 2)):
            self.workload.open_due_occurrences(
                unix_time, max_early_start_s=0.25, now=unix_time
            )
            self.assertThat(self.workload.ready, HasLength(ready))
        self.assertThat(list(self.workload.ready)[1], Equals(second))

    def test_a_job_with_occurrences_to_come_is_not_complete(self):
        state = add_job(
            self.workload, 1, Step(1), start_at=10.0, interval_s=5.0, repeat=2
        )
        self.workload.open_due_occurrences(
            10.0, max_early_start_s=0.25, now=10.0
        )
        self.workload.finish_task(get_step(state).tasks[0], 1, 11.0)
        self.assertThat(self.workload.is_complete(state), Equals(False))

    def test_lasting_tasks_neither_complete_nor_run_out_of_attempts(self):
        state = add_job(self.workload, 1, Step(1, lasting=True))
        task = get_step(state).tasks[0]
        self.assertThat(self.workload.finish_task(task, 1, 1.0), Equals(False))
        for number in range(1, 9):
            used_up = self.workload.fail_task(task, number)
            self.assertThat(used_up, Equals(False))


class TestOrder(testtools.TestCase):
    """Guards against urgent steps placed after steps that can wait."""

    def _order(self, unix_time: float, *states) -> list[str]:
        steps = sorted(
            (get_step(s) for s in states), key=lambda s: step_rank(s, unix_time)
        )
        return [s.job_state.job.id[-1] for s in steps]

    def test_steps_sort_by_queue_then_late_last_then_deadline(self):
        workload = Workload()
        spec = Step(1, estimate_s=1.0)
        sweep = add_job(workload, 1, spec, queue="sweep", at=9.0)
        late = add_job(workload, 2, spec, queue="lookup", at=6.0)
        young = add_job(workload, 3, spec, queue="lookup", at=9.9)
        old = add_job(workload, 4, spec, queue="lookup", at=9.5)
        order = self._order(10.0, sweep, late, young, old)
        self.assertThat(order, Equals(["4", "3", "2", "1"]))

    def test_steps_whose_result_comes_too_late_are_last(self):
        workload = Workload()
        spec = Step(1, estimate_s=1.0)
        sweep = add_job(workload, 1, spec, queue="sweep", at=0.0)
        # The objective of a lookup is 1.9 s, so at 10 s it is over thrice.
        hopeless = add_job(workload, 2, spec, queue="lookup", at=0.0)
        verify = add_job(workload, 3, spec, queue="verify", at=8.0)
        order = self._order(10.0, sweep, hopeless, verify)
        self.assertThat(order, Equals(["3", "1", "2"]))
