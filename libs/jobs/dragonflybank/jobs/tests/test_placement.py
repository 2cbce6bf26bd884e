"""Tests of order, quotas, gangs, retries and sizes."""

import asyncio

from dragonflybank.jobs.tests.fakes import (
    FakeRunner,
    LoopCase,
    Rules,
    code_of,
    opened,
    spec_of,
)
from dragonflybank.model.codes import Code, failure
from dragonflybank.model.leases import TaskState
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import JobState

FAILED = TaskState.FAILED
ONE_RACK = dict.fromkeys(("w1", "w2", "w3"), "r1")


async def after_failures(reason, times, spec, rules=None, workers=()):
    """Fails a job some times; returns its record and the runner."""
    runner = FakeRunner(*workers)
    home, _, _ = await opened(spec, runner=runner, rules=rules)
    for count in range(times):
        now = 100.0 * (count + 1)
        await home.schedule(now)
        for task in runner.live():
            await home.on_task_ended(
                runner.end(task, FAILED, reason=reason), now
            )
    return home.record("courts", spec.key), runner


class TestOrder(LoopCase):
    """Guards against urgent work behind other work, and starvation."""

    async def check_first(self, wanted, *specs, now=9.0):
        home, runner, _ = await opened(runner=FakeRunner(room=1))
        for spec, accepted_at in specs:
            (await home.accept(spec, accepted_at)).unwrap()
        await home.schedule(now)
        self.assertEqual(wanted, runner.reserved[0][0])

    async def test_priority_then_value_then_time(self):
        plain, later = (spec_of("plain"), 1.0), (spec_of("later"), 4.0)
        worthy = spec_of("worthy", "worthy_sweep"), 2.0
        urgent = spec_of("urgent", "urgent_sweep"), 3.0
        await self.check_first("urgent", plain, worthy, urgent)
        await self.check_first("worthy", plain, worthy)
        await self.check_first("plain", later, plain)

    async def test_old_work_overtakes_new_work_of_higher_priority(self):
        old, new = spec_of("old"), spec_of("new", "urgent_sweep")
        await self.check_first("old", (old, 0.0), (new, 900.0), now=901.0)


class TestQuota(LoopCase):
    """Guards against an overrun of a team's running tasks."""

    async def test_team_runs_no_more_tasks_than_its_quota(self):
        specs = spec_of("a", tasks=2), spec_of("b", tasks=2)
        gang = spec_of("gang", "ring", tasks=3)
        rules = Rules({"courts": 3})
        home, runner, _ = await opened(*specs, gang, rules=rules)
        await asyncio.gather(home.schedule(4.0), home.schedule(4.0))
        self.assertEqual(3, len(runner.live()))
        await home.on_task_ended(runner.end("courts/a/1/0"), 5.0)
        await home.schedule(6.0)
        self.assertEqual(3, len(runner.live()))

    async def test_gang_above_the_quota_is_refused(self):
        home, _, _ = await opened(rules=Rules({"courts": 3}))
        outcome = await home.accept(spec_of("k", "ring", tasks=4), 1.0)
        self.assertEqual(Code.OVER_QUOTA, code_of(outcome))


class TestGangs(LoopCase):
    """Guards against a gang that holds room without running."""

    async def test_incomplete_reservations_are_released_and_tried_later(self):
        gang, runner = spec_of("k", "ring", tasks=3), FakeRunner(room=2)
        home, _, _ = await opened(gang, runner=runner)
        await home.schedule(2.0)
        await home.schedule(2.001)
        self.assertEqual(1, len(runner.reserved))
        self.assertEqual(2, len(runner.released))
        runner.room = 3
        await home.schedule(3.0)
        self.assertEqual(3, len(runner.live()))

    async def test_failed_task_stops_the_others_before_the_next_attempt(self):
        home, runner, _ = await opened(spec_of("k", "ring", tasks=2))
        await home.schedule(2.0)
        await home.on_task_ended(runner.end("courts/k/1/0", FAILED), 3.0)
        await home.schedule(100.0)
        self.assertEqual([], runner.live())
        await runner.report(home, 101.0)
        await home.schedule(200.0)
        again = ["courts/k/2/0", "courts/k/2/1"]
        self.assertEqual(again, sorted(runner.live()))


class TestRetries(LoopCase):
    """Guards against endless, early or forbidden repetition."""

    async def test_job_stops_after_three_unlike_workers(self):
        rules = Rules(racks={"w1": "r1", "w2": "r2", "w3": "r2"})
        record, runner = await after_failures("boom", 5, spec_of("k"), rules)
        self.assertEqual(("w1", "w2", "w3"), record.failed_on)
        self.assertEqual(Code.FAILED_ON_UNLIKE_WORKERS, record.problem.code)
        self.assertEqual(3, len(runner.ran))

    async def test_workers_of_one_rack_are_not_unlike(self):
        rules = Rules(racks=ONE_RACK | {"other": "r2"})
        record, _ = await after_failures("boom", 3, spec_of("k"), rules)
        self.assertEqual(JobState.QUEUED, record.state)

    async def test_job_ends_where_there_are_too_few_workers(self):
        record, runner = await after_failures(
            "boom", 20, spec_of("k"), workers=["w1"]
        )
        self.assertEqual(Code.TASK_FAILED, record.problem.code)
        self.assertEqual(8, len(runner.ran))

    async def test_failure_on_a_quarantined_worker_does_not_count(self):
        rules = Rules(sick={"w1"})
        record, _ = await after_failures("boom", 1, spec_of("k"), rules)
        self.assertEqual(
            (JobState.QUEUED, ()), (record.state, record.failed_on)
        )

    async def test_failed_work_waits_and_then_runs_on_another_worker(self):
        home, runner, _ = await opened(spec_of("k"))
        await home.schedule(2.0)
        await home.on_task_ended(runner.end("courts/k/1/0", FAILED), 3.0)
        await home.schedule(3.1)
        self.assertEqual(1, len(runner.ran))
        await home.schedule(5.0)
        self.assertIn("courts/k/2/0", runner.workers["w2"].tasks)

    async def test_non_repeatable_work_is_not_tried_again(self):
        spec = spec_of("k", "simulation")
        record, runner = await after_failures("boom", 3, spec)
        self.assertEqual(Code.TASK_FAILED, record.problem.code)
        self.assertEqual(1, len(runner.ran))


class TestSizes(LoopCase):
    """Guards against work that can never run being tried for ever."""

    async def test_grant_doubles_up_to_the_largest_worker(self):
        spec = spec_of("k", size=Resources(cores=1, memory_mb=300))
        rules = Rules(size=Resources(cores=1, memory_mb=1000))
        record, runner = await after_failures("size_exceeded", 5, spec, rules)
        asked = [size.memory_mb for _, _, size in runner.reserved]
        self.assertEqual([300, 600, 1000], asked)
        self.assertEqual(Code.SIZE_EXCEEDED, record.problem.code)
        self.assertEqual((), record.failed_on)

    async def test_job_that_no_worker_can_hold_is_not_run(self):
        home, runner, _ = await opened(spec_of("k"))
        runner.refusal = failure(Code.CAN_NEVER_RUN, "too large")
        await home.schedule(2.0)
        record = home.record("courts", "k")
        self.assertEqual(JobState.FAILED, record.state)
        self.assertEqual(Code.CAN_NEVER_RUN, record.problem.code)
        self.assertEqual([], runner.ran)
