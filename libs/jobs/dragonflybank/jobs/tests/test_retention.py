"""Tests of long results, of the size of the value and of forgetting."""

import asyncio

from testtools.matchers import LessThan

from dragonflybank.jobs.results import ResultStore
from dragonflybank.jobs.tests import fakes
from dragonflybank.model.codes import Code
from dragonflybank.model.work import JobState

LONG = "ö" * 3000
DAY_S = 86_400.0


async def finished():
    """Returns a home with a finished job that has a long result."""
    home, runner, store = await fakes.opened(fakes.spec_of("k"))
    await home.schedule(2.0)
    kept = await home.on_task_ended(
        runner.end("courts/k/1/0", result=LONG), 3.0
    )
    assert kept
    return home, runner, store


class TestLongResults(fakes.LoopCase):
    """Guards against lost or doubled long results."""

    async def test_long_result_has_its_own_key_and_survives_a_take_over(self):
        _, runner, store = await finished()
        present = await fakes.take_over(store, runner)
        self.assertEqual({}, present.record("courts", "k").results)
        results = await present.read_results("courts", "k")
        self.assertEqual((LONG,), results.unwrap())

    async def test_result_stays_at_the_worker_until_it_is_written(self):
        home, runner, store = await fakes.opened(fakes.spec_of("k"))
        await home.schedule(5.0)
        event = runner.end("courts/k/1/0", result=LONG)
        store.faults.extend(["down"] * 3)
        self.assertFalse(await home.on_task_ended(event, 6.0))
        store.faults.append("effect")
        self.assertTrue(await home.on_task_ended(event, 8.0))

    async def test_results_of_a_job_with_a_longer_key_are_left_alone(self):
        store = fakes.FakeStore()
        results = ResultStore(store, sleep=fakes.no_sleep)
        await results.write("courts/k/1/0", "mine", 0.0)
        await results.write("courts/k/1/1/0", "of job k/1", 0.0)
        await results.delete(("courts", "k"), 1.0)
        self.assertEqual(["results/courts/k/1/1/0"], store.keys("results/"))


class TestRetention(fakes.LoopCase):
    """Guards against a shard that grows for ever, or forgets too early."""

    async def test_record_then_tombstone_then_nothing(self):
        home, _, store = await finished()
        await home.maintain(3000.0)
        self.assertIs(None, home.record("courts", "k").problem)
        await home.maintain(3700.0)
        self.assertEqual(Code.OK, home.record("courts", "k").problem.code)
        self.assertEqual([], store.keys("results/"))
        again = await home.accept(fakes.spec_of("k"), 3701.0)
        self.assertEqual(JobState.DONE, again.unwrap().state)
        other = await home.accept(fakes.spec_of("k", payload="x"), 3702.0)
        self.assertEqual(Code.KEY_REUSED, fakes.code_of(other))
        await home.maintain(DAY_S + 3604.0)
        self.assertIs(None, home.record("courts", "k"))

    async def test_results_are_deleted_after_an_outage(self):
        home, _, store = await finished()
        store.deletes_fail = True
        await home.maintain(3700.0)
        self.assertEqual(1, len(store.keys("results/")))
        store.deletes_fail = False
        await home.maintain(3800.0)
        self.assertEqual([], store.keys("results/"))


class TestSize(fakes.LoopCase):
    """Guards against a value that the store no longer takes."""

    async def test_new_work_is_refused_before_the_value_is_too_large(self):
        home, runner, store = await fakes.opened(
            runner=fakes.FakeRunner(room=10**6)
        )
        number, refused = 0, None
        while refused is None:
            spec = fakes.spec_of(f"k{number}", payload="x" * 2000, tasks=40)
            outcome = await home.accept(spec, 1.0)
            refused = outcome.swap().value_or(None)
            number += 1
        self.assertEqual(Code.OVERLOADED, refused.code)
        self.assertTrue(refused.retry_after_s > 0)
        await home.schedule(2.0)
        for task in runner.live():
            runner.end(task, result="r" * 4000)
        # Results that go under their own keys are paced.
        for now in range(3, 120, 3):
            await runner.report(home, float(now))
        states = [record.state for record in home.records()]
        self.assertEqual([JobState.DONE] * (number - 1), states)
        self.assertThat(store.largest_bytes, LessThan(720_000))


class TestRun(fakes.LoopCase):
    """Guards against a loop that does not go on by itself."""

    async def test_run_starts_work_and_ends_when_the_shard_is_released(self):
        home, runner, _ = await fakes.opened()
        running = asyncio.create_task(home.run())
        await home.accept(fakes.spec_of("k"), 0.0)
        await fakes.until(runner.live)
        await home.on_task_ended(runner.end("courts/k/1/0"), 1.0)
        record = await home.wait_for_end("courts", "k", timeout_s=60.0)
        self.assertEqual(JobState.DONE, record.state)
        await home.close()
        await running
        late = await home.accept(fakes.spec_of("late"), 2.0)
        self.assertEqual(Code.NOT_HOME, fakes.code_of(late))
