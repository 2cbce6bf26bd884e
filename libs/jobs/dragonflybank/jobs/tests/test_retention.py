"""Tests of long results, retention and the size of a shard's value."""

import asyncio

from testtools.matchers import LessThan

from dragonflybank.jobs.results import ResultStore
from dragonflybank.jobs.tests import fakes
from dragonflybank.model.codes import Code
from dragonflybank.model.work import JobState

LONG = "ö" * 3000
DAY_S = 86_400.0


async def home_with_finished_job():
    """Returns a home with a finished job that has a long result."""
    home, runner, store = await fakes.open_home(fakes.make_spec("k"))
    await home.schedule(2.0)
    kept = await home.on_task_ended(
        runner.end_task("courts/k/1/0", result=LONG), 3.0
    )
    assert kept
    return home, runner, store


class TestLongResults(fakes.AsyncTestCase):
    """Guards against long results that are lost or deleted too early."""

    async def test_long_result_has_its_own_key_and_survives_a_takeover(self):
        _, runner, store = await home_with_finished_job()
        present = await fakes.take_over(store, runner)
        self.assertEqual({}, present.record("courts", "k").results)
        results = await present.read_results("courts", "k")
        self.assertEqual((LONG,), results.unwrap())

    async def test_result_stays_at_the_worker_until_it_is_written(self):
        home, runner, store = await fakes.open_home(fakes.make_spec("k"))
        await home.schedule(5.0)
        event = runner.end_task("courts/k/1/0", result=LONG)
        store.faults.extend(["down"] * 3)
        self.assertFalse(await home.on_task_ended(event, 6.0))
        store.faults.append("effect")
        self.assertTrue(await home.on_task_ended(event, 8.0))

    async def test_delete_spares_results_of_a_job_whose_key_has_the_same_prefix(
        self,
    ):
        store = fakes.FakeStore()
        results = ResultStore(store, sleep=fakes.no_sleep)
        await results.write("courts/k/1/0", "mine", 0.0)
        await results.write("courts/k/1/1/0", "of job k/1", 0.0)
        await results.delete(("courts", "k"), 1.0)
        self.assertEqual(["results/courts/k/1/1/0"], store.keys("results/"))


class TestRetention(fakes.AsyncTestCase):
    """Guards against a shard that grows forever or forgets jobs too early."""

    async def test_record_is_replaced_by_a_tombstone_and_then_removed(self):
        home, _, store = await home_with_finished_job()
        await home.maintain(3000.0)
        self.assertIs(None, home.record("courts", "k").problem)
        await home.maintain(3700.0)
        self.assertEqual(Code.OK, home.record("courts", "k").problem.code)
        self.assertEqual([], store.keys("results/"))
        again = await home.accept(fakes.make_spec("k"), 3701.0)
        self.assertEqual(JobState.DONE, again.unwrap().state)
        other = await home.accept(fakes.make_spec("k", payload="x"), 3702.0)
        self.assertEqual(Code.KEY_REUSED, fakes.code_of(other))
        await home.maintain(DAY_S + 3604.0)
        self.assertIs(None, home.record("courts", "k"))

    async def test_results_are_deleted_after_an_outage(self):
        home, _, store = await home_with_finished_job()
        store.deletes_fail = True
        await home.maintain(3700.0)
        self.assertEqual(1, len(store.keys("results/")))
        store.deletes_fail = False
        await home.maintain(3800.0)
        self.assertEqual([], store.keys("results/"))


class TestValueSize(fakes.AsyncTestCase):
    """Guards against a value that exceeds the limit of the store."""

    async def test_new_work_is_refused_before_the_value_is_too_large(self):
        home, runner, store = await fakes.open_home(
            runner=fakes.FakeRunner(max_tasks=10**6)
        )
        number, refused = 0, None
        while refused is None:
            spec = fakes.make_spec(f"k{number}", payload="x" * 2000, tasks=40)
            outcome = await home.accept(spec, 1.0)
            refused = outcome.swap().value_or(None)
            number += 1
        self.assertEqual(Code.OVERLOADED, refused.code)
        self.assertTrue(refused.retry_after_s > 0)
        await home.schedule(2.0)
        for task in runner.live_tasks():
            runner.end_task(task, result="r" * 4000)
        # Writes of results under their own keys are rate limited.
        for now in range(3, 120, 3):
            await runner.report_finished(home, float(now))
        states = [record.state for record in home.records()]
        self.assertEqual([JobState.DONE] * (number - 1), states)
        self.assertThat(store.largest_bytes, LessThan(720_000))


class TestRun(fakes.AsyncTestCase):
    """Guards against a loop that stalls or never ends."""

    async def test_run_starts_work_and_ends_when_the_shard_is_released(self):
        home, runner, _ = await fakes.open_home()
        running = asyncio.create_task(home.run())
        await home.accept(fakes.make_spec("k"), 0.0)
        await fakes.wait_until(runner.live_tasks)
        await home.on_task_ended(runner.end_task("courts/k/1/0"), 1.0)
        record = await home.wait_for_end("courts", "k", timeout_s=60.0)
        self.assertEqual(JobState.DONE, record.state)
        await home.close()
        await running
        late = await home.accept(fakes.make_spec("late"), 2.0)
        self.assertEqual(Code.NOT_HOME, fakes.code_of(late))
