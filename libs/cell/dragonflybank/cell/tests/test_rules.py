"""Tests of the job phase cache, health, throttling and tickets."""

import asyncio
import itertools

import testtools
from testtools.matchers import Equals, HasLength

from dragonflybank.cell.advice_spending import pending_demand
from dragonflybank.cell.capacity import reserve
from dragonflybank.cell.health import FAILED_JOBS_LIMIT, HealthTracker
from dragonflybank.cell.jobs import JobPhase, Step
from dragonflybank.cell.phase_cache import JobPhaseCache
from dragonflybank.cell.state import AttemptPhase
from dragonflybank.cell.stored_ends import StoredEnd
from dragonflybank.cell.tests.builders import (
    QUEUES,
    add_job,
    get_step,
    make_executor,
)
from dragonflybank.cell.throttling import ThrottleController
from dragonflybank.cell.tickets import (
    advice_call_s,
    executors_to_renew,
    extra_executors_to_renew,
    first_advice_calls,
    record_advice,
    valid_ticket,
)
from dragonflybank.cell.workload import Workload

NOW = 100.0
ONE = "5c0e7a21d94b36f8"


class TestJobPhaseCache(testtools.TestCase):
    """Guards against outdated job states reported to callers."""

    def test_a_final_state_never_changes(self):
        cache = JobPhaseCache()
        cache.synced_at = NOW
        cache.record_end(StoredEnd("job", JobPhase.COMPLETED, 8))
        cache.record_live("job", JobPhase.RUNNING)
        cache.record_end(StoredEnd("job", JobPhase.FAILED, 9))
        self.assertThat(cache.job_phase("job", NOW), Equals(JobPhase.COMPLETED))

    def test_live_states_are_dropped_in_a_new_epoch(self):
        cache = JobPhaseCache()
        cache.synced_at = NOW
        cache.record_live("live", JobPhase.RUNNING)
        cache.record_end(StoredEnd("ended", JobPhase.COMPLETED, 8))
        cache.start_epoch(2)
        self.assertThat(cache.job_phase("live", NOW), Equals(None))
        self.assertThat(
            cache.job_phase("ended", NOW), Equals(JobPhase.COMPLETED)
        )

    def test_outdated_live_states_are_not_reported(self):
        cache = JobPhaseCache()
        cache.synced_at = NOW
        cache.record_live("job", JobPhase.RUNNING)
        self.assertThat(cache.job_phase("job", NOW + 9), Equals(None))

    def test_a_host_that_is_behind_gets_only_the_changes(self):
        async def main():
            cache, follower = JobPhaseCache(), JobPhaseCache()
            cache.start_epoch(7)
            cache.record_live(ONE, JobPhase.QUEUED)
            follower.apply_changes(
                await cache.wait_for_changes(0, 0, wait_s=0.01), NOW
            )
            cache.record_end(StoredEnd(ONE, JobPhase.COMPLETED, 8))
            cache.record_live("two", JobPhase.QUEUED)
            reply = await cache.wait_for_changes(
                follower.epoch,
                follower.change_number,
                wait_s=0.01,
                takes_ends=True,
            )
            follower.apply_changes(reply, NOW)
            return (
                reply.is_whole,
                follower.job_phase(ONE, NOW),
                follower.change_number,
            )

        self.assertThat(
            asyncio.run(main()), Equals((False, JobPhase.COMPLETED, 3))
        )


class TestHealth(testtools.TestCase):
    """Guards against work on unhealthy executors and blame for faulty jobs."""

    def setUp(self):
        super().setUp()
        self.workload = Workload()
        self.tracker = HealthTracker()
        self.executor = make_executor(ONE)

    def _make_task(self, number: int):
        return get_step(add_job(self.workload, number, Step(1))).tasks[0]

    def test_failures_of_several_jobs_in_a_row_quarantine_an_executor(
        self,
    ):
        for number in range(1, FAILED_JOBS_LIMIT + 1):
            self.assertThat(self.executor.quarantined_until, Equals(0.0))
            self.tracker.record_failure(
                self.executor, self._make_task(number), NOW
            )
        self.assertThat(self.executor.quarantined_until > NOW, Equals(True))

    def test_repeated_failures_of_one_job_do_not_quarantine(self):
        task = self._make_task(1)
        for _ in range(9):
            self.tracker.record_failure(self.executor, task, NOW)
        self.assertThat(self.executor.quarantined_until, Equals(0.0))

    def test_failures_of_jobs_that_failed_elsewhere_do_not_quarantine(self):
        for number in range(1, 9):
            task = self._make_task(number)
            task.avoided_executors.add("other")
            self.tracker.record_failure(self.executor, task, NOW)
        self.assertThat(self.executor.quarantined_until, Equals(0.0))

    def test_an_attempt_without_progress_is_found(self):
        task = self._make_task(1)
        attempt = reserve(
            self.executor, task, 1, phase=AttemptPhase.RUNNING, now=NOW
        )
        stuck = list(self.tracker.find_stuck([attempt], NOW + 2.0))
        self.assertThat(stuck, HasLength(0))
        stuck = list(self.tracker.find_stuck([attempt], NOW + 3.5))
        self.assertThat(stuck, HasLength(1))

    def _gang(self, percents):
        """Returns the running attempts of a gang, each on its own executor."""
        step = get_step(
            add_job(self.workload, 9, Step(len(percents), gang=True))
        )
        attempts = []
        for task, percent in zip(step.tasks, percents, strict=True):
            attempt = reserve(
                make_executor(str(task.id)),
                task,
                1,
                phase=AttemptPhase.RUNNING,
                now=NOW,
            )
            attempt.percent = percent
            attempts.append(attempt)
        return attempts

    def _stuck(self, attempts):
        return [a for a, _ in self.tracker.find_stuck(attempts, NOW + 9.0)]

    def test_members_that_wait_for_the_slowest_are_not_stuck(self):
        attempts = self._gang([100.0, 100.0, 30.0])
        attempts[2].advanced_at = NOW + 8.0
        self.assertThat(self._stuck(attempts), Equals([]))

    def test_a_gang_whose_members_have_not_all_started_is_not_stuck(self):
        self.assertThat(self._stuck(self._gang([0.0, 0.0])), Equals([]))

    def test_a_member_without_progress_while_others_run_is_stuck(self):
        attempts = self._gang([100.0, 0.0, 30.0])
        attempts[2].advanced_at = NOW + 8.0
        self.assertThat(self._stuck(attempts), Equals([attempts[1]]))


class TestThrottle(testtools.TestCase):
    """Guards against filling tasks that slow down serving tasks."""

    def test_filling_tasks_stop_near_the_latency_target_and_resume(
        self,
    ):
        workload, one = Workload(), make_executor(ONE)
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

    def test_advice_outlives_its_expired_ticket(self):
        step = get_step(add_job(Workload(), 1, Step(1), queue="verify"))
        record_advice(step, ["good", "bad"], {"good": "t"}, valid_until=NOW + 2)
        self.assertThat(valid_ticket(step, "good", NOW), Equals("t"))
        self.assertThat(valid_ticket(step, "good", NOW + 2), Equals(None))
        advice = step.advice_by_executor
        self.assertThat(bool(advice["good"].ticket), Equals(True))
        self.assertThat(bool(advice["bad"].ticket), Equals(False))

    def test_renewal_includes_tickets_that_expire_during_the_call(self):
        step = get_step(add_job(Workload(), 1, Step(2), queue="verify"))
        timing = QUEUES["verify"].advised
        tickets = {"old": "a", "soon": "b", "fresh": "c"}
        for name, left_s in (("old", -1.0), ("soon", 0.2), ("fresh", 1.9)):
            record_advice(step, [name], tickets, valid_until=NOW + left_s)
        renewed = executors_to_renew(step, sorted(tickets), timing, NOW)
        self.assertThat(renewed, Equals(["old", "soon"]))
        self.assertThat(
            executors_to_renew(step, ["fresh", "soon"], timing, NOW),
            Equals([]),
        )

    def test_a_call_names_no_more_executors_than_the_service_accepts(self):
        many = [make_executor(f"e{n}") for n in range(300)]
        for gang, idle in itertools.product((True, False), repeat=2):
            spec = Step(900, millicores=64000, gang=gang)
            step = get_step(add_job(Workload(), 1, spec, queue="verify"))
            calls = first_advice_calls(
                step, 900, many, has_idle_slots=idle, good_share=0.3
            )
            self.assertThat(max(map(len, calls)) <= 100, Equals(True))

    def test_a_first_call_names_as_many_executors_as_the_step_needs(self):
        many = [make_executor(f"e{n}", cores=32) for n in range(300)]
        spec = Step(12, millicores=9000)
        step = get_step(add_job(Workload(), 1, spec, queue="verify"))
        # Three tasks fit on each executor, so four are needed, and the
        # expected share of good ones is 0.3.
        calls = first_advice_calls(
            step, 12, many, has_idle_slots=True, good_share=0.3
        )
        self.assertThat([len(call) for call in calls], Equals([14]))
        # With a share of 0.7, six are named.
        calls = first_advice_calls(
            step, 12, many, has_idle_slots=True, good_share=0.7
        )
        self.assertThat([len(call) for call in calls], Equals([6]))

    def test_a_first_call_names_more_if_others_take_the_same_executors(self):
        many = [make_executor(f"e{n}", cores=32) for n in range(300)]
        workload, spec = Workload(), Step(12, millicores=9000)
        steps = [
            get_step(add_job(workload, n, spec, queue="verify"))
            for n in range(1, 4)
        ]
        for other in steps[1:]:
            other.advice_pending = True
        demand = pending_demand(workload.ready, "directory", 1)
        self.assertThat(demand, Equals(2 * 12 * 9000))
        # Twelve executors are needed for the 36 tasks of the three steps.
        calls = first_advice_calls(
            steps[0],
            12,
            many,
            has_idle_slots=True,
            good_share=0.5,
            other_millicores=demand,
        )
        self.assertThat([len(call) for call in calls], Equals([24]))

    def test_a_gang_gets_several_calls_while_hosts_are_idle(self):
        many = [make_executor(f"e{n}", cores=32) for n in range(300)]
        spec = Step(150, millicores=9000, gang=True)
        step = get_step(add_job(Workload(), 1, spec, queue="verify"))
        # The fixed 0.3 s of a call equal 75 executors of 4 ms each.
        for idle, sizes in ((True, [50, 50, 50]), (False, [75])):
            calls = first_advice_calls(
                step, 150, many, has_idle_slots=idle, good_share=0.3
            )
            self.assertThat([len(call) for call in calls], Equals(sizes))
            self.assertThat(
                len(set(itertools.chain(*calls))), Equals(sum(sizes))
            )

    def test_a_small_gang_names_what_it_needs_and_some_spare(self):
        many = [make_executor(f"e{n}", cores=32) for n in range(300)]
        spec = Step(12, millicores=9000, gang=True)
        step = get_step(add_job(Workload(), 1, spec, queue="verify"))
        # Four executors are needed, and half as many are added.
        for idle, sizes in ((True, [7, 7, 7]), (False, [21])):
            calls = first_advice_calls(
                step, 12, many, has_idle_slots=idle, good_share=0.3
            )
            self.assertThat([len(call) for call in calls], Equals(sizes))

    def test_a_renewal_adds_executors_that_become_free_soonest(self):
        workload, timing = Workload(), QUEUES["verify"].advised
        others = [make_executor(f"e{n}") for n in range(3)]
        for number, one in enumerate(others):
            task = get_step(add_job(workload, number + 1, Step(1))).tasks[0]
            attempt = reserve(
                one, task, 1, phase=AttemptPhase.RUNNING, now=NOW - 1.0
            )
            attempt.percent = 30.0 + 20.0 * number
        found = extra_executors_to_renew(timing, ["plan"], others, NOW)
        self.assertThat(found, Equals(["e2", "e1", "e0"]))

    def test_a_renewal_takes_at_most_twice_the_fixed_part_of_a_call(self):
        timing = QUEUES["verify"].advised
        others = [make_executor(f"e{n}") for n in range(300)]
        named = [
            "plan",
            *extra_executors_to_renew(timing, ["plan"], others, NOW),
        ]
        self.assertThat(advice_call_s(timing, len(named)) <= 0.6, Equals(True))
