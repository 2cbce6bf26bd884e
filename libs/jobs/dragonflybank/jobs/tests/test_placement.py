"""Tests of job order, quotas, gangs, retries and sizes."""

import asyncio

from dragonflybank.jobs.tests.fakes import (
    AsyncTestCase,
    FakeRules,
    FakeRunner,
    code_of,
    make_spec,
    open_home,
)
from dragonflybank.model.codes import Code, failure
from dragonflybank.model.leases import TaskState
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import JobState

FAILED = TaskState.FAILED
ONE_RACK = dict.fromkeys(("w1", "w2", "w3"), "r1")


async def after_failures(reason, times, spec, rules=None, workers=()):
    """Fails a job repeatedly; returns its record and the runner."""
    runner = FakeRunner(*workers)
    home, _, _ = await open_home(spec, runner=runner, rules=rules)
    for count in range(times):
        now = 100.0 * (count + 1)
        await home.schedule(now)
        for task in runner.live_tasks():
            await home.on_task_ended(
                runner.end_task(task, FAILED, reason=reason), now
            )
    return home.record("courts", spec.key), runner


class TestOrder(AsyncTestCase):
    """Guards against delayed urgent jobs and starvation."""

    async def check_first(self, wanted, *specs, now=9.0):
        home, runner, _ = await open_home(runner=FakeRunner(max_tasks=1))
        for spec, accepted_at in specs:
            (await home.accept(spec, accepted_at)).unwrap()
        await home.schedule(now)
        self.assertEqual(wanted, runner.reserved[0][0])

    async def test_order_is_by_priority_then_value_then_acceptance(self):
        plain, later = (make_spec("plain"), 1.0), (make_spec("later"), 4.0)
        worthy = make_spec("worthy", "worthy_sweep"), 2.0
        urgent = make_spec("urgent", "urgent_sweep"), 3.0
        await self.check_first("urgent", plain, worthy, urgent)
        await self.check_first("worthy", plain, worthy)
        await self.check_first("plain", later, plain)

    async def test_aged_job_precedes_a_new_job_of_higher_priority(self):
        old, new = make_spec("old"), make_spec("new", "urgent_sweep")
        await self.check_first("old", (old, 0.0), (new, 900.0), now=901.0)


class TestQuota(AsyncTestCase):
    """Guards against more running tasks than a team's quota."""

    async def test_team_runs_no_more_tasks_than_its_quota(self):
        specs = make_spec("a", tasks=2), make_spec("b", tasks=2)
        gang = make_spec("gang", "ring", tasks=3)
        rules = FakeRules({"courts": 3})
        home, runner, _ = await open_home(*specs, gang, rules=rules)
        await asyncio.gather(home.schedule(4.0), home.schedule(4.0))
        self.assertEqual(3, len(runner.live_tasks()))
        await home.on_task_ended(runner.end_task("courts/a/1/0"), 5.0)
        await home.schedule(6.0)
        self.assertEqual(3, len(runner.live_tasks()))

    async def test_gang_larger_than_the_quota_is_refused(self):
        home, _, _ = await open_home(rules=FakeRules({"courts": 3}))
        outcome = await home.accept(make_spec("k", "ring", tasks=4), 1.0)
        self.assertEqual(Code.OVER_QUOTA, code_of(outcome))


class TestGangs(AsyncTestCase):
    """Guards against a gang that holds resources without running."""

    async def test_incomplete_reservations_are_released_and_retried_later(self):
        gang, runner = make_spec("k", "ring", tasks=3), FakeRunner(max_tasks=2)
        home, _, _ = await open_home(gang, runner=runner)
        await home.schedule(2.0)
        await home.schedule(2.001)
        self.assertEqual(1, len(runner.reserved))
        self.assertEqual(2, len(runner.released))
        runner.max_tasks = 3
        await home.schedule(3.0)
        self.assertEqual(3, len(runner.live_tasks()))

    async def test_failed_task_stops_its_gang_before_the_next_attempt(self):
        home, runner, _ = await open_home(make_spec("k", "ring", tasks=2))
        await home.schedule(2.0)
        await home.on_task_ended(runner.end_task("courts/k/1/0", FAILED), 3.0)
        await home.schedule(100.0)
        self.assertEqual([], runner.live_tasks())
        await runner.report_finished(home, 101.0)
        await home.schedule(200.0)
        again = ["courts/k/2/0", "courts/k/2/1"]
        self.assertEqual(again, sorted(runner.live_tasks()))


class TestRetries(AsyncTestCase):
    """Guards against endless, premature or forbidden retries."""

    async def test_job_fails_after_failures_on_three_unlike_workers(self):
        rules = FakeRules(racks={"w1": "r1", "w2": "r2", "w3": "r2"})
        record, runner = await after_failures("boom", 5, make_spec("k"), rules)
        self.assertEqual(("w1", "w2", "w3"), record.failed_on)
        self.assertEqual(Code.FAILED_ON_UNLIKE_WORKERS, record.problem.code)
        self.assertEqual(3, len(runner.ran))

    async def test_workers_of_a_single_rack_are_not_unlike(self):
        rules = FakeRules(racks=ONE_RACK | {"other": "r2"})
        record, _ = await after_failures("boom", 3, make_spec("k"), rules)
        self.assertEqual(JobState.QUEUED, record.state)

    async def test_retries_are_limited_in_a_region_with_few_workers(self):
        record, runner = await after_failures(
            "boom", 20, make_spec("k"), workers=["w1"]
        )
        self.assertEqual(Code.TASK_FAILED, record.problem.code)
        self.assertEqual(8, len(runner.ran))

    async def test_failure_on_a_quarantined_worker_does_not_count(self):
        rules = FakeRules(quarantined={"w1"})
        record, _ = await after_failures("boom", 1, make_spec("k"), rules)
        self.assertEqual(
            (JobState.QUEUED, ()), (record.state, record.failed_on)
        )

    async def test_failed_task_is_retried_later_on_another_worker(self):
        home, runner, _ = await open_home(make_spec("k"))
        await home.schedule(2.0)
        await home.on_task_ended(runner.end_task("courts/k/1/0", FAILED), 3.0)
        await home.schedule(3.1)
        self.assertEqual(1, len(runner.ran))
        await home.schedule(5.0)
        self.assertIn("courts/k/2/0", runner.workers["w2"].tasks)

    async def test_non_repeatable_job_is_not_retried(self):
        spec = make_spec("k", "simulation")
        record, runner = await after_failures("boom", 3, spec)
        self.assertEqual(Code.TASK_FAILED, record.problem.code)
        self.assertEqual(1, len(runner.ran))


class TestSizes(AsyncTestCase):
    """Guards against endless retries of a job that can never run."""

    async def test_grant_is_doubled_up_to_the_largest_worker(self):
        spec = make_spec("k", size=Resources(cores=1, memory_mb=300))
        rules = FakeRules(size=Resources(cores=1, memory_mb=1000))
        record, runner = await after_failures("size_exceeded", 5, spec, rules)
        asked = [size.memory_mb for _, _, size in runner.reserved]
        self.assertEqual([300, 600, 1000], asked)
        self.assertEqual(Code.SIZE_EXCEEDED, record.problem.code)
        self.assertEqual((), record.failed_on)

    async def test_job_that_fits_no_worker_fails_as_not_run(self):
        home, runner, _ = await open_home(make_spec("k"))
        runner.refusal = failure(Code.CAN_NEVER_RUN, "too large")
        await home.schedule(2.0)
        record = home.record("courts", "k")
        self.assertEqual(JobState.FAILED, record.state)
        self.assertEqual(Code.CAN_NEVER_RUN, record.problem.code)
        self.assertEqual([], runner.ran)
