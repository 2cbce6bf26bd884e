"""Tests of accepting, starting, finishing and waiting for jobs."""

import asyncio

from testtools.matchers import MatchesStructure

from dragonflybank.jobs.tests import fakes
from dragonflybank.model.codes import Code
from dragonflybank.model.leases import TaskState
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import JobState

TASK = "courts/k/1/0"


class TestAccept(fakes.AsyncTestCase):
    """Guards against jobs that are accepted twice or could never run."""

    async def test_repeated_submission_is_one_job(self):
        home, runner, _ = await fakes.open_home()
        await asyncio.gather(
            *(home.accept(fakes.make_spec("k"), float(n)) for n in range(3))
        )
        await home.schedule(1.0)
        await home.schedule(2.0)
        self.assertEqual([TASK], runner.ran)

    async def test_key_with_another_payload_is_refused(self):
        home, _, _ = await fakes.open_home(fakes.make_spec("k"))
        outcome = await home.accept(fakes.make_spec("k", payload="x"), 0.0)
        self.assertEqual(Code.KEY_REUSED, fakes.code_of(outcome))

    async def test_job_larger_than_every_worker_is_refused_as_not_run(self):
        home, _, _ = await fakes.open_home(
            rules=fakes.FakeRules(size=Resources(cores=4))
        )
        spec = fakes.make_spec("k", size=Resources(cores=8))
        self.assertEqual(
            Code.CAN_NEVER_RUN, fakes.code_of(await home.accept(spec, 0.0))
        )

    async def test_job_of_a_lookup_class_is_refused(self):
        home, _, _ = await fakes.open_home()
        outcome = await home.accept(fakes.make_spec("k", "die_lookup"), 0.0)
        wanted = {"code": Code.BAD_REQUEST, "field": "work_class"}
        self.assertThat(
            outcome.failure(), MatchesStructure.byEquality(**wanted)
        )


class TestFinish(fakes.AsyncTestCase):
    """Guards against lost, duplicated or prematurely reported outcomes."""

    async def test_waiting_caller_gets_the_result(self):
        home, runner, _ = await fakes.open_home(fakes.make_spec("k"))
        waiter = asyncio.create_task(
            home.wait_for_end("courts", "k", timeout_s=60.0)
        )
        await home.schedule(1.0)
        self.assertTrue(await home.on_task_ended(runner.end_task(TASK), 2.0))
        self.assertEqual(JobState.DONE, (await waiter).state)
        results = await home.read_results("courts", "k")
        self.assertEqual(("r",), results.unwrap())

    async def test_repeated_event_is_counted_once(self):
        home, runner, _ = await fakes.open_home(fakes.make_spec("k"))
        await home.schedule(1.0)
        event = runner.end_task(TASK, TaskState.FAILED)
        kept = await asyncio.gather(
            *(home.on_task_ended(event, 2.0) for _ in range(3))
        )
        record = home.record("courts", "k")
        self.assertEqual([True] * 3, kept)
        self.assertEqual(("w1",), record.failed_on)
        self.assertEqual(JobState.QUEUED, record.state)

    async def test_event_of_an_unknown_job_stays_at_the_worker(self):
        home, runner, _ = await fakes.open_home(fakes.make_spec("k"))
        await home.schedule(1.0)
        other, _, _ = await fakes.open_home()
        self.assertFalse(await other.on_task_ended(runner.end_task(TASK), 2.0))


class TestCancel(fakes.AsyncTestCase):
    """Guards against a job that ran and is reported as not run."""

    async def test_queued_job_is_cancelled_before_start(self):
        home, runner, _ = await fakes.open_home(fakes.make_spec("k"))
        record = (await home.cancel("courts", "k", 1.0)).unwrap()
        await home.schedule(2.0)
        self.assertEqual(Code.CANCELLED_BEFORE_START, record.problem.code)
        self.assertEqual([], runner.ran)

    async def test_running_job_is_stopped_and_reported_as_started(self):
        home, runner, _ = await fakes.open_home(fakes.make_spec("k"))
        await home.schedule(1.0)
        pending = (await home.cancel("courts", "k", 2.0)).unwrap()
        self.assertEqual(JobState.RUNNING, pending.state)
        await runner.report_finished(home, 3.0)
        record = home.record("courts", "k")
        self.assertEqual(JobState.CANCELLED, record.state)
        self.assertEqual(Code.CANCELLED_AFTER_START, record.problem.code)
