"""Tests of order, quotas, gangs, retries and sizes."""

import asyncio

import testtools
from testtools.matchers import Equals, HasLength, Is, MatchesListwise

from dragonflybank.jobs.tests.fakes import (
    FakeRunner,
    FakeStore,
    Rules,
    new_home,
    spec_of,
)
from dragonflybank.model.codes import Code, problem
from dragonflybank.model.leases import TaskState
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import JobState

FAILED = TaskState.FAILED


async def accepted(*specs, runner=None, rules=None):
    runner = runner or FakeRunner()
    home = new_home(FakeStore(), runner, rules=rules)
    (await home.open(0.0)).unwrap()
    for spec, now in specs:
        (await home.accept(spec, now)).unwrap()
    return home, runner


def record_after(*reasons, spec=None, rules=None, workers=("w1", "w2", "w3")):
    """Fails a job once for each reason; returns its record and the runner."""

    async def run():
        runner = FakeRunner(*workers)
        home, _ = await accepted((spec, 1.0), runner=runner, rules=rules)
        for count, reason in enumerate(reasons):
            now = 100.0 * (count + 1)
            await home.schedule(now)
            for task in runner.live():
                event = runner.end(task, FAILED, reason=reason)
                await home.finished(event, now)
        return home.record("courts", spec.key), runner

    return asyncio.run(run())


class TestOrder(testtools.TestCase):
    """Guards against urgent work behind other work, and starvation."""

    def first_of(self, *specs, now):
        async def run():
            home, runner = await accepted(*specs, runner=FakeRunner(room=1))
            await home.schedule(now)
            return runner.reserved[0][0]

        return asyncio.run(run())

    def test_priority_then_value_then_time(self):
        plain, worthy = spec_of("plain"), spec_of("worthy", "worthy_sweep")
        urgent = spec_of("urgent", "urgent_sweep")
        specs = [(plain, 1.0), (worthy, 2.0), (urgent, 3.0)]
        firsts = [
            self.first_of(*specs, now=4.0),
            self.first_of(*specs[:2], now=4.0),
            self.first_of((spec_of("later"), 2.0), (plain, 1.0), now=4.0),
        ]
        self.assertThat(firsts, Equals(["urgent", "worthy", "plain"]))

    def test_old_work_overtakes_new_work_of_higher_priority(self):
        old, new = spec_of("old"), spec_of("new", "urgent_sweep")
        first = self.first_of((old, 0.0), (new, 900.0), now=901.0)
        self.assertThat(first, Equals("old"))


class TestQuota(testtools.TestCase):
    """Guards against an overrun of a team's running tasks."""

    def test_team_runs_no_more_tasks_than_its_quota(self):
        async def run():
            home, runner = await accepted(
                (spec_of("a", tasks=2), 1.0),
                (spec_of("b", tasks=2), 2.0),
                (spec_of("gang", "ring", tasks=3), 3.0),
                rules=Rules({"courts": 3}),
            )
            await asyncio.gather(home.schedule(4.0), home.schedule(4.0))
            most = len(runner.live())
            await home.finished(runner.end("courts/a/1/0"), 5.0)
            await home.schedule(6.0)
            return most, len(runner.live())

        self.assertThat(asyncio.run(run()), Equals((3, 3)))

    def test_gang_above_the_quota_is_refused(self):
        async def run():
            home, _ = await accepted(rules=Rules({"courts": 3}))
            return await home.accept(spec_of("k", "ring", tasks=4), 1.0)

        code = asyncio.run(run()).failure().code
        self.assertThat(code, Equals(Code.OVER_QUOTA))


class TestGangs(testtools.TestCase):
    """Guards against a gang that holds room without running."""

    def test_incomplete_reservations_are_released_and_tried_later(self):
        async def run():
            gang = spec_of("k", "ring", tasks=3)
            home, runner = await accepted(
                (gang, 1.0), runner=FakeRunner(room=2)
            )
            await home.schedule(2.0)
            await home.schedule(2.001)
            asked, released = len(runner.reserved), len(runner.released)
            runner.room = 3
            await home.schedule(3.0)
            return asked, released, len(runner.live())

        self.assertThat(asyncio.run(run()), Equals((1, 2, 3)))

    def test_failed_task_stops_the_others_before_the_gang_runs_again(self):
        async def run():
            home, runner = await accepted((spec_of("k", "ring", tasks=2), 1.0))
            await home.schedule(2.0)
            event = runner.end("courts/k/1/0", FAILED)
            await home.finished(event, 3.0)
            await home.schedule(100.0)
            alive = runner.live()
            await runner.report(home, 101.0)
            await home.schedule(200.0)
            return alive, sorted(runner.live())

        alive, again = asyncio.run(run())
        self.assertThat(alive, Equals([]))
        self.assertThat(again, Equals(["courts/k/2/0", "courts/k/2/1"]))


class TestRetries(testtools.TestCase):
    """Guards against endless, early or forbidden repetition."""

    def test_job_stops_after_three_unlike_workers(self):
        racks = {"w1": "r1", "w2": "r2", "w3": "r2"}
        record, runner = record_after(
            *["boom"] * 5, spec=spec_of("k"), rules=Rules(racks=racks)
        )
        self.assertThat(record.failed_on, Equals(("w1", "w2", "w3")))
        self.assertThat(
            record.problem.code, Equals(Code.FAILED_ON_UNLIKE_WORKERS)
        )
        self.assertThat(runner.ran, HasLength(3))

    def test_workers_of_one_rack_are_not_unlike(self):
        racks = dict.fromkeys(("w1", "w2", "w3"), "r1") | {"other": "r2"}
        record, _ = record_after(
            *["boom"] * 3, spec=spec_of("k"), rules=Rules(racks=racks)
        )
        self.assertThat(record.state, Equals(JobState.QUEUED))

    def test_job_ends_where_there_are_too_few_workers(self):
        record, runner = record_after(
            *["boom"] * 20, spec=spec_of("k"), workers=["w1"]
        )
        self.assertThat(record.problem.code, Equals(Code.TASK_FAILED))
        self.assertThat(runner.ran, HasLength(8))

    def test_failure_on_a_quarantined_worker_does_not_count(self):
        record, _ = record_after(
            "boom", spec=spec_of("k"), rules=Rules(sick={"w1"})
        )
        self.assertThat(
            (record.state, record.failed_on), Equals(("queued", ()))
        )

    def test_failed_work_waits_before_the_next_attempt(self):
        async def run():
            home, runner = await accepted((spec_of("k"), 1.0))
            await home.schedule(2.0)
            await home.finished(runner.end("courts/k/1/0", FAILED), 3.0)
            await home.schedule(3.1)
            early = len(runner.ran)
            await home.schedule(5.0)
            return early, runner.workers["w2"].tasks

        early, tasks = asyncio.run(run())
        self.assertThat(early, Equals(1))
        self.assertThat(tasks, Equals({"courts/k/2/0": None}))

    def test_non_repeatable_work_is_not_tried_again(self):
        record, runner = record_after(
            *["boom"] * 3, spec=spec_of("k", "simulation")
        )
        self.assertThat(record.problem.code, Equals(Code.TASK_FAILED))
        self.assertThat(runner.ran, HasLength(1))


class TestSizes(testtools.TestCase):
    """Guards against work that can never run being tried for ever."""

    def test_grant_doubles_up_to_the_largest_worker(self):
        size = Resources(cores=1, memory_mb=300)
        record, runner = record_after(
            *["size_exceeded"] * 5,
            spec=spec_of("k", size=size),
            rules=Rules(size=Resources(cores=1, memory_mb=1000)),
        )
        asked = [size.memory_mb for _, _, size in runner.reserved]
        self.assertThat(asked, Equals([300, 600, 1000]))
        self.assertThat(record.problem.code, Equals(Code.SIZE_EXCEEDED))
        self.assertThat(record.failed_on, Equals(()))

    def test_job_that_no_worker_can_hold_is_not_run(self):
        async def run():
            home, runner = await accepted((spec_of("k"), 1.0))
            runner.refusal = problem(Code.CAN_NEVER_RUN, "too large")
            await home.schedule(2.0)
            return home.record("courts", "k"), runner.ran

        record, ran = asyncio.run(run())
        self.assertThat(
            (record.state, record.problem.code, ran),
            MatchesListwise(
                [Equals(JobState.FAILED), Is(Code.CAN_NEVER_RUN), Equals([])]
            ),
        )
