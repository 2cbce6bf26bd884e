"""Tests of long results, of the size of the value and of forgetting."""

import asyncio

import testtools
from testtools.matchers import Equals, Is, LessThan

from dragonflybank.jobs.results import ResultStore, TokenBucket
from dragonflybank.jobs.tests.fakes import (
    FakeRunner,
    FakeStore,
    new_home,
    no_sleep,
    spec_of,
    until,
)
from dragonflybank.model.codes import Code
from dragonflybank.model.work import JobState

LONG = "ö" * 3000
DAY_S = 86_400.0


async def finished(result, store=None):
    runner, store = FakeRunner(), store or FakeStore()
    home = new_home(store, runner)
    (await home.open(0.0)).unwrap()
    await home.accept(spec_of("k"), 1.0)
    await home.schedule(2.0)
    kept = await home.finished(runner.end("courts/k/1/0", result=result), 3.0)
    return home, store, kept


class TestLongResults(testtools.TestCase):
    """Guards against lost or doubled long results."""

    def test_long_result_has_its_own_key_and_survives_a_take_over(self):
        async def run():
            home, store, kept = await finished(LONG)
            present = new_home(store, FakeRunner(), host="h2")
            await present.open(4.0)
            record = present.record("courts", "k")
            return kept, record.results, await present.results("courts", "k")

        kept, inline, results = asyncio.run(run())
        self.assertThat((kept, inline), Equals((True, {})))
        self.assertThat(results.unwrap(), Equals((LONG,)))

    def test_result_stays_at_the_worker_until_it_is_written(self):
        async def run():
            store = FakeStore()
            home, _, _ = await finished(LONG, store)
            await home.accept(spec_of("other"), 4.0)
            await home.schedule(5.0)
            runner = home._ctx.runner
            event = runner.end("courts/other/1/0", result=LONG)
            store.faults.extend(["down"] * 3)
            refused = await home.finished(event, 6.0)
            store.faults.append("effect")
            return refused, await home.finished(event, 8.0)

        self.assertThat(asyncio.run(run()), Equals((False, True)))

    def test_writes_are_paced(self):
        bucket = TokenBucket(2.0)
        waits = [bucket.take(10.0, max_wait_s=1.0) for _ in range(6)]
        self.assertThat(waits, Equals([0.0, 0.0, 0.0, 0.5, 1.0, None]))
        self.assertThat(bucket.take(11.0, max_wait_s=1.0), Equals(0.5))

    def test_results_of_a_job_with_a_longer_key_are_left_alone(self):
        async def run():
            store = FakeStore()
            results = ResultStore(store, sleep=no_sleep)
            await results.write("courts/k/1/0", "mine", 0.0)
            await results.write("courts/k/1/1/0", "of job k/1", 0.0)
            await results.delete(("courts", "k"), 1.0)
            return store.keys("results/")

        self.assertThat(asyncio.run(run()), Equals(["results/courts/k/1/1/0"]))


class TestRetention(testtools.TestCase):
    """Guards against a shard that grows for ever, or forgets too early."""

    def test_record_then_tombstone_then_nothing(self):
        async def run():
            home, store, _ = await finished(LONG)
            await home.maintain(3000.0)
            early = home.record("courts", "k")
            await home.maintain(3700.0)
            late = home.record("courts", "k")
            again = await home.accept(spec_of("k"), 3701.0)
            other = await home.accept(spec_of("k", payload="x"), 3702.0)
            results = store.keys("results/")
            await home.maintain(DAY_S + 3604.0)
            return early, late, again, other, results, home

        early, late, again, other, results, home = asyncio.run(run())
        self.assertThat(early.problem, Is(None))
        self.assertThat(late.problem.code, Equals(Code.OK))
        self.assertThat(again.unwrap().state, Equals(JobState.DONE))
        self.assertThat(other.failure().code, Equals(Code.KEY_REUSED))
        self.assertThat(results, Equals([]))
        self.assertThat(home.record("courts", "k"), Is(None))

    def test_results_are_deleted_after_an_outage(self):
        async def run():
            home, store, _ = await finished(LONG)
            delete = store.delete
            store.delete = lambda key, version: store.put(key, b"", version=-1)
            await home.maintain(3700.0)
            store.delete = delete
            await home.maintain(3800.0)
            return store.keys("results/")

        self.assertThat(asyncio.run(run()), Equals([]))


class TestSize(testtools.TestCase):
    """Guards against a value that the store no longer takes."""

    def test_new_work_is_refused_before_the_value_is_too_large(self):
        async def run():
            runner, store = FakeRunner(room=10**6), FakeStore()
            home = new_home(store, runner)
            await home.open(0.0)
            number, refused = 0, None
            while refused is None:
                spec = spec_of(f"k{number}", payload="x" * 2000, tasks=40)
                outcome = await home.accept(spec, 1.0)
                refused = outcome.swap().value_or(None)
                number += 1
            await home.schedule(2.0)
            for task in runner.live():
                runner.end(task, result="r" * 4000)
            # Results that go under their own keys are paced.
            for now in range(3, 120, 3):
                await runner.report(home, float(now))
            sizes = [len(v.value) for v in store._values.values() if v.value]
            done = [r for r in home.records() if r.state is JobState.DONE]
            return refused, max(sizes), len(done) == number - 1

        refused, largest, all_done = asyncio.run(run())
        self.assertThat(refused.code, Equals(Code.OVERLOADED))
        self.assertThat(refused.retry_after_s > 0, Is(True))
        self.assertThat(all_done, Is(True))
        self.assertThat(largest, LessThan(900_000))


class TestRun(testtools.TestCase):
    """Guards against a loop that does not go on by itself."""

    def test_run_starts_work_and_ends_when_the_shard_is_released(self):
        async def run():
            runner, store = FakeRunner(), FakeStore()
            home = new_home(store, runner)
            await home.open(0.0)
            running = asyncio.create_task(home.run())
            await home.accept(spec_of("k"), 0.0)
            await until(runner.live)
            await home.finished(runner.end("courts/k/1/0"), 1.0)
            record = await home.wait("courts", "k", timeout_s=60.0)
            await home.close()
            await running
            refused = await home.accept(spec_of("late"), 2.0)
            return record.state, refused.failure().code

        self.assertThat(
            asyncio.run(run()), Equals((JobState.DONE, Code.NOT_HOME))
        )
