"""Tests of boards, sick executors, pace and tickets."""

import asyncio
import itertools

import testtools
from testtools.matchers import Equals, HasLength

from dragonflybank.cell.capacity import reserve
from dragonflybank.cell.health import FAILED_JOBS_LIMIT, HealthTracker
from dragonflybank.cell.jobs import JobPhase, Step
from dragonflybank.cell.phase_cache import JobPhaseCache
from dragonflybank.cell.state import AttemptPhase
from dragonflybank.cell.tests.builders import (
    QUEUES,
    add_job,
    executor,
    get_step,
)
from dragonflybank.cell.throttling import ThrottleController
from dragonflybank.cell.tickets import (
    advice_call_s,
    executors_to_renew,
    extra_executors_to_renew,
    first_advice_calls,
    record_advice,
    split_by_advice,
    valid_ticket,
)
from dragonflybank.cell.workload import Workload

NOW = 100.0


class TestBoard(testtools.TestCase):
    """Guards against states that callers must not be told."""

    def test_a_final_state_never_changes(self):
        board = JobPhaseCache()
        board.synced_at = NOW
        for phase in (JobPhase.COMPLETED, JobPhase.RUNNING, JobPhase.FAILED):
            board.record_phase("job", phase)
        self.assertThat(board.job_phase("job", NOW), Equals(JobPhase.COMPLETED))

    def test_live_states_do_not_outlive_a_leadership(self):
        board = JobPhaseCache()
        board.synced_at = NOW
        board.record_phase("live", JobPhase.RUNNING)
        board.record_phase("ended", JobPhase.COMPLETED)
        board.start_epoch(2)
        self.assertThat(board.job_phase("live", NOW), Equals(None))
        self.assertThat(
            board.job_phase("ended", NOW), Equals(JobPhase.COMPLETED)
        )

    def test_old_live_states_are_not_told(self):
        board = JobPhaseCache()
        board.synced_at = NOW
        board.record_phase("job", JobPhase.RUNNING)
        self.assertThat(board.job_phase("job", NOW + 9), Equals(None))

    def test_a_host_that_is_behind_gets_the_changes(self):
        async def main():
            board, copy = JobPhaseCache(), JobPhaseCache()
            board.start_epoch(7)
            board.record_phase("one", JobPhase.QUEUED)
            copy.apply_changes(
                await board.wait_for_changes(0, 0, wait_s=0.01), NOW
            )
            board.record_phase("one", JobPhase.COMPLETED)
            board.record_phase("two", JobPhase.QUEUED)
            reply = await board.wait_for_changes(
                copy.epoch, copy.change_number, wait_s=0.01
            )
            copy.apply_changes(reply, NOW)
            return (
                reply.is_whole,
                copy.job_phase("one", NOW),
                copy.change_number,
            )

        self.assertThat(
            asyncio.run(main()), Equals((False, JobPhase.COMPLETED, 3))
        )


class TestHealth(testtools.TestCase):
    """Guards against work for sick executors and blame for sick jobs."""

    def setUp(self):
        super().setUp()
        self.workload = Workload()
        self.rules = HealthTracker()
        self.executor = executor("one")

    def _make_task(self, number: int):
        return get_step(add_job(self.workload, number, Step(1))).tasks[0]

    def test_several_jobs_in_a_row_rest_an_executor(self):
        for number in range(1, FAILED_JOBS_LIMIT + 1):
            self.assertThat(self.executor.quarantined_until, Equals(0.0))
            self.rules.record_failure(
                self.executor, self._make_task(number), NOW
            )
        self.assertThat(self.executor.quarantined_until > NOW, Equals(True))

    def test_one_job_that_fails_often_proves_nothing(self):
        task = self._make_task(1)
        for _ in range(9):
            self.rules.record_failure(self.executor, task, NOW)
        self.assertThat(self.executor.quarantined_until, Equals(0.0))

    def test_a_job_that_failed_elsewhere_proves_nothing(self):
        for number in range(1, 9):
            task = self._make_task(number)
            task.avoided_executors.add("other")
            self.rules.record_failure(self.executor, task, NOW)
        self.assertThat(self.executor.quarantined_until, Equals(0.0))

    def test_progress_that_stands_still_is_found(self):
        task = self._make_task(1)
        attempt = reserve(
            self.executor, task, 1, phase=AttemptPhase.RUNNING, now=NOW
        )
        still = list(self.rules.find_stuck([attempt], NOW + 2.0))
        self.assertThat(still, HasLength(0))
        still = list(self.rules.find_stuck([attempt], NOW + 3.5))
        self.assertThat(still, HasLength(1))

    def _gang(self, percent_by_executor):
        """Returns the attempts of a gang at work, each on its executor."""
        step = get_step(
            add_job(self.workload, 9, Step(len(percent_by_executor), gang=True))
        )
        attempts = []
        for task, percent in zip(step.tasks, percent_by_executor, strict=True):
            attempt = reserve(
                executor(str(task.id)),
                task,
                1,
                phase=AttemptPhase.RUNNING,
                now=NOW,
            )
            attempt.percent = percent
            attempts.append(attempt)
        return attempts

    def _stuck(self, attempts):
        return [a for a, _ in self.rules.find_stuck(attempts, NOW + 9.0)]

    def test_members_that_wait_for_the_slowest_are_not_stuck(self):
        attempts = self._gang([100.0, 100.0, 30.0])
        attempts[2].advanced_at = NOW + 8.0
        self.assertThat(self._stuck(attempts), Equals([]))

    def test_a_gang_that_is_not_complete_is_not_stuck(self):
        self.assertThat(self._stuck(self._gang([0.0, 0.0])), Equals([]))

    def test_a_member_that_hangs_while_others_work_is_stuck(self):
        attempts = self._gang([100.0, 0.0, 30.0])
        attempts[2].advanced_at = NOW + 8.0
        self.assertThat(self._stuck(attempts), Equals([attempts[1]]))


class TestPace(testtools.TestCase):
    """Guards against filling tasks that harm serving ones."""

    def test_filling_tasks_stop_near_the_target_and_come_back(self):
        workload, one = Workload(), executor("one")
        serving = get_step(
            add_job(workload, 1, Step(1, tail_target_s=0.1, lasting=True))
        ).tasks[0]
        filler = get_step(add_job(workload, 2, Step(1, filling=True))).tasks[0]
        attempts = [
            reserve(one, task, 1, phase=AttemptPhase.RUNNING, now=NOW)
            for task in (serving, filler)
        ]
        controller, percents = ThrottleController(), []
        for number, load_ms in enumerate((50, 95, 95, 70, 50, 50)):
            attempts[0].load = load_ms
            percent, _ = controller.update(one, NOW + number)
            percents.append(percent)
        self.assertThat(percents, Equals([100, 0, 0, 0, 20, 40]))


class TestTickets(testtools.TestCase):
    """Guards against starts without a valid ticket."""

    def test_a_ticket_expires_and_the_advice_stays(self):
        step = get_step(add_job(Workload(), 1, Step(1), queue="verify"))
        good, bad, new = executor("good"), executor("bad"), executor("new")
        record_advice(step, ["good", "bad"], {"good": "t"}, valid_until=NOW + 2)
        self.assertThat(valid_ticket(step, "good", NOW), Equals("t"))
        self.assertThat(valid_ticket(step, "good", NOW + 2), Equals(None))
        needed = split_by_advice(step, [good, bad, new])
        self.assertThat([e.info.id for e in needed.good], Equals(["good"]))
        self.assertThat([e.info.id for e in needed.unknown], Equals(["new"]))

    def test_a_plan_is_renewed_with_tickets_that_expire_meanwhile(self):
        step = get_step(add_job(Workload(), 1, Step(2), queue="verify"))
        advised = QUEUES["verify"].advised
        tickets = {"old": "a", "soon": "b", "fresh": "c"}
        for name, left_s in (("old", -1.0), ("soon", 0.2), ("fresh", 1.9)):
            record_advice(step, [name], tickets, valid_until=NOW + left_s)
        renewed = executors_to_renew(step, sorted(tickets), advised, NOW)
        self.assertThat(renewed, Equals(["old", "soon"]))
        self.assertThat(
            executors_to_renew(step, ["fresh", "soon"], advised, NOW),
            Equals([]),
        )

    def test_a_call_names_no_more_than_the_service_takes(self):
        many = [executor(f"e{n}") for n in range(300)]
        for gang, idle in itertools.product((True, False), repeat=2):
            spec = Step(900, millicores=64000, gang=gang)
            step = get_step(add_job(Workload(), 1, spec, queue="verify"))
            calls = first_advice_calls(step, 900, many, has_idle_slots=idle)
            self.assertThat(max(map(len, calls)) <= 100, Equals(True))

    def test_a_first_call_names_what_the_step_needs(self):
        many = [executor(f"e{n}", cores=32) for n in range(300)]
        spec = Step(12, millicores=9000)
        step = get_step(add_job(Workload(), 1, spec, queue="verify"))
        # Three tasks fit on each, so four of them; a third may be used.
        calls = first_advice_calls(step, 12, many, has_idle_slots=True)
        self.assertThat([len(call) for call in calls], Equals([14]))

    def test_a_gang_gets_several_calls_while_lines_are_idle(self):
        many = [executor(f"e{n}", cores=32) for n in range(300)]
        spec = Step(12, millicores=9000, gang=True)
        step = get_step(add_job(Workload(), 1, spec, queue="verify"))
        # 0.3 s for a call are worth 75 executors of 4 ms.
        for idle, sizes in ((True, [50, 50, 50]), (False, [75])):
            calls = first_advice_calls(step, 12, many, has_idle_slots=idle)
            self.assertThat([len(call) for call in calls], Equals(sizes))
            self.assertThat(
                len(set(itertools.chain(*calls))), Equals(sum(sizes))
            )

    def test_a_renewal_names_executors_that_have_room_soon(self):
        workload, advised = Workload(), QUEUES["verify"].advised
        others = [executor(f"e{n}") for n in range(3)]
        for number, one in enumerate(others):
            task = get_step(add_job(workload, number + 1, Step(1))).tasks[0]
            attempt = reserve(
                one, task, 1, phase=AttemptPhase.RUNNING, now=NOW - 1.0
            )
            attempt.percent = 30.0 + 20.0 * number
        found = extra_executors_to_renew(advised, ["plan"], others, NOW)
        self.assertThat(found, Equals(["e2", "e1", "e0"]))

    def test_a_renewal_costs_at_most_twice_a_call(self):
        advised = QUEUES["verify"].advised
        others = [executor(f"e{n}") for n in range(300)]
        named = [
            "plan",
            *extra_executors_to_renew(advised, ["plan"], others, NOW),
        ]
        self.assertThat(advice_call_s(advised, len(named)) <= 0.6, Equals(True))
