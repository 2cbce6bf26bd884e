"""Tests of accepting, starting, finishing and waiting for jobs."""

import asyncio

import testtools
from testtools.matchers import Equals, HasLength, Is, MatchesStructure

from dragonflybank.jobs.tests.fakes import (
    FakeRunner,
    FakeStore,
    Rules,
    new_home,
    spec_of,
)
from dragonflybank.model.codes import Code
from dragonflybank.model.leases import TaskState
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import JobState


async def opened(runner=None, store=None, **kwargs):
    runner = runner or FakeRunner()
    home = new_home(store or FakeStore(), runner, **kwargs)
    (await home.open(0.0)).unwrap()
    return home, runner


class TestAccept(testtools.TestCase):
    """Guards against work accepted twice or promised without a journal."""

    def test_same_key_and_payload_is_one_job(self):
        async def run():
            home, runner = await opened()
            await asyncio.gather(
                *(home.accept(spec_of("k"), float(n)) for n in range(3))
            )
            await home.schedule(1.0)
            await home.schedule(2.0)
            return runner.ran

        self.assertThat(asyncio.run(run()), Equals(["courts/k/1/0"]))

    def test_key_with_another_payload_is_refused(self):
        async def run():
            home, _ = await opened()
            await home.accept(spec_of("k"), 0.0)
            return await home.accept(spec_of("k", payload="x"), 0.0)

        self.assertThat(
            asyncio.run(run()).failure().code, Equals(Code.KEY_REUSED)
        )

    def test_job_larger_than_every_worker_is_refused_as_not_run(self):
        async def run():
            home, _ = await opened(rules=Rules(size=Resources(cores=4)))
            spec = spec_of("k", size=Resources(cores=8))
            return await home.accept(spec, 0.0)

        self.assertThat(
            asyncio.run(run()).failure().code, Equals(Code.CAN_NEVER_RUN)
        )

    def test_lookup_classes_are_not_patient_work(self):
        async def run():
            home, _ = await opened()
            return await home.accept(spec_of("k", "die_lookup"), 0.0)

        self.assertThat(
            asyncio.run(run()).failure(),
            MatchesStructure.byEquality(
                code=Code.BAD_REQUEST, field="work_class"
            ),
        )


class TestFinish(testtools.TestCase):
    """Guards against lost, doubled or early reported outcomes."""

    def test_waiter_gets_the_result(self):
        async def run():
            home, runner = await opened()
            await home.accept(spec_of("k"), 0.0)
            waiter = asyncio.create_task(
                home.wait("courts", "k", timeout_s=60.0)
            )
            await home.schedule(1.0)
            kept = await home.finished(runner.end("courts/k/1/0"), 2.0)
            record = await waiter
            return kept, record.state, await home.results("courts", "k")

        kept, state, results = asyncio.run(run())
        self.assertThat(kept, Is(True))
        self.assertThat(state, Equals(JobState.DONE))
        self.assertThat(results.unwrap(), Equals(("r",)))

    def test_outcome_is_counted_once(self):
        async def run():
            home, runner = await opened()
            await home.accept(spec_of("k"), 0.0)
            await home.schedule(1.0)
            event = runner.end("courts/k/1/0", TaskState.FAILED)
            kept = await asyncio.gather(
                *(home.finished(event, 2.0) for _ in range(3))
            )
            return kept, home.record("courts", "k")

        kept, record = asyncio.run(run())
        self.assertThat(kept, Equals([True] * 3))
        self.assertThat(record.failed_on, HasLength(1))
        self.assertThat(record.state, Equals(JobState.QUEUED))

    def test_event_of_an_unknown_job_stays_at_the_worker(self):
        async def run():
            home, runner = await opened()
            await home.accept(spec_of("k"), 0.0)
            await home.schedule(1.0)
            event = runner.end("courts/k/1/0")
            other = new_home(FakeStore(), runner)
            await other.open(0.0)
            return await other.finished(event, 2.0)

        self.assertThat(asyncio.run(run()), Is(False))


class TestCancel(testtools.TestCase):
    """Guards against an answer "not run" for work that ran."""

    def test_queued_job_is_cancelled_before_start(self):
        async def run():
            home, runner = await opened()
            await home.accept(spec_of("k"), 0.0)
            record = (await home.cancel("courts", "k", 1.0)).unwrap()
            await home.schedule(2.0)
            return record.problem.code, runner.ran

        self.assertThat(
            asyncio.run(run()), Equals((Code.CANCELLED_BEFORE_START, []))
        )

    def test_running_job_is_stopped_and_reported_as_started(self):
        async def run():
            home, runner = await opened()
            await home.accept(spec_of("k"), 0.0)
            await home.schedule(1.0)
            pending = (await home.cancel("courts", "k", 2.0)).unwrap()
            event = runner.workers["w1"].tasks["courts/k/1/0"]
            await home.finished(event, 3.0)
            return pending.state, home.record("courts", "k")

        state, record = asyncio.run(run())
        self.assertThat(state, Equals(JobState.RUNNING))
        self.assertThat(record.state, Equals(JobState.CANCELLED))
        self.assertThat(record.problem.code, Equals(Code.CANCELLED_AFTER_START))
