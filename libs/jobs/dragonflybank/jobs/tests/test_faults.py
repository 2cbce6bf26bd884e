"""Tests of a shard home whose process dies, pauses or loses answers."""

import asyncio
import collections

import testtools
from testtools.matchers import Equals, HasLength, Is

from dragonflybank.jobs.tests.fakes import (
    FakeRunner,
    FakeStore,
    drive,
    kill_others,
    new_home,
    spec_of,
)
from dragonflybank.model.codes import Code
from dragonflybank.model.work import JobState


async def opened(runner=None, store=None, **kwargs):
    runner, store = runner or FakeRunner(), store or FakeStore()
    home = new_home(store, runner, **kwargs)
    (await home.open(0.0)).unwrap()
    return home, runner, store


async def run_killed_at(step, work_class, tasks):
    """Kills the home at a step, then lets another one finish the work."""
    home, runner, store = await opened()
    runner.steps = store.steps
    store.steps.count, store.steps.stop_at = 0, step

    async def work():
        spec = spec_of("k", work_class, tasks=tasks)
        accepted.append(await home.accept(spec, 1.0))
        await home.schedule(2.0)
        for task in runner.live():
            runner.end(task)
        await runner.report(home, 3.0)

    accepted = []
    working = asyncio.create_task(work())
    stopped = asyncio.create_task(store.steps.stopped.wait())
    await asyncio.wait([working, stopped], return_when=asyncio.FIRST_COMPLETED)
    reached = store.steps.stopped.is_set()
    await kill_others()
    store.steps.stop_at = None
    present = new_home(store, runner, host="h2")
    (await present.open(100.0)).unwrap()
    await drive(present, runner)
    return reached, bool(accepted), present.record("courts", "k"), runner.ran


class TestKilledHome(testtools.TestCase):
    """Guards against lost and doubled work when a home dies."""

    def check(self, work_class, tasks, most_runs):
        for step in range(1, 100):
            reached, accepted, record, ran = asyncio.run(
                run_killed_at(step, work_class, tasks)
            )
            message = f"killed at step {step}"
            if accepted or record is not None:
                self.assertThat(record.state, Equals(JobState.DONE), message)
            runs = collections.Counter(t.rsplit("/", 1)[1] for t in ran)
            worst = max(runs.values(), default=0)
            self.assertThat(worst <= most_runs, Is(True), message)
            if not reached:
                self.assertThat(step > 8, Is(True))
                return
        self.fail("the scenario has no end")

    def test_non_repeatable_work_runs_exactly_once(self):
        self.check("simulation", 1, 1)

    def test_repeatable_work_of_several_tasks_ends(self):
        self.check("sweep", 3, 1)

    def test_gang_ends(self):
        self.check("ring", 3, 2)

    def test_non_repeatable_gang_runs_at_most_once(self):
        for step in range(1, 100):
            reached, _, record, ran = asyncio.run(
                run_killed_at(step, "billed_ring", 2)
            )
            runs = collections.Counter(t.rsplit("/", 1)[1] for t in ran)
            self.assertThat(max(runs.values(), default=0) <= 1, Is(True))
            if record is not None:
                final = record.state in (JobState.DONE, JobState.FAILED)
                self.assertThat(final, Is(True))
            if not reached:
                return


class TestPausedHome(testtools.TestCase):
    """Guards against a former home that wakes and goes on."""

    def test_start_of_a_former_home_is_refused(self):
        async def run():
            home, runner, store = await opened()
            woken, paused = asyncio.Event(), asyncio.Event()

            async def pause(start):
                if not paused.is_set():
                    paused.set()
                    await woken.wait()

            runner.before_start = pause
            await home.accept(spec_of("k", "simulation"), 1.0)
            former = asyncio.create_task(home.schedule(2.0))
            await paused.wait()
            present = new_home(store, runner, host="h2")
            (await present.open(100.0)).unwrap()
            await present.schedule(101.0)
            woken.set()
            await former
            late = await home.accept(spec_of("late"), 102.0)
            await drive(present, runner)
            return runner.ran, late, present.record("courts", "k"), home.is_open

        ran, late, record, is_open = asyncio.run(run())
        self.assertThat(ran, Equals(["courts/k/2/0"]))
        self.assertThat(late.failure().code, Equals(Code.NOT_HOME))
        self.assertThat(record.state, Equals(JobState.DONE))
        self.assertThat(is_open, Is(False))


class TestLostStarts(testtools.TestCase):
    """Guards against a second start while the first one is not decided."""

    def run_with(self, fault, work_class="simulation", prepare=None):
        async def run():
            home, runner, _ = await opened()
            runner.faults.append(fault)
            await home.accept(spec_of("k", work_class), 1.0)
            if prepare is not None:
                prepare(runner)
            await home.schedule(2.0)
            runner.deliver()
            await drive(home, runner)
            return home.record("courts", "k"), runner.ran

        return asyncio.run(run())

    def test_lost_start_is_sent_again_under_a_new_attempt(self):
        record, ran = self.run_with("lost")
        self.assertThat(ran, Equals(["courts/k/2/0"]))
        self.assertThat(record.state, Equals(JobState.DONE))

    def test_start_whose_answer_is_lost_is_adopted(self):
        record, ran = self.run_with("answer")
        self.assertThat(ran, Equals(["courts/k/1/0"]))
        self.assertThat(record.state, Equals(JobState.DONE))

    def test_late_start_is_refused_after_it_was_resolved(self):
        record, ran = self.run_with("late")
        self.assertThat(ran, Equals(["courts/k/2/0"]))
        self.assertThat(record.state, Equals(JobState.DONE))

    def test_start_in_flight_is_not_looked_up(self):
        async def run():
            home, runner, _ = await opened()

            async def look_up(start):
                await home.resolve(3.0)

            runner.before_start = look_up
            await home.accept(spec_of("k"), 1.0)
            await home.schedule(2.0)
            return runner.resolves, runner.ran

        self.assertThat(asyncio.run(run()), Equals(([], ["courts/k/1/0"])))

    def test_partly_started_billed_gang_fails_and_is_not_repeated(self):
        async def run():
            home, runner, _ = await opened()
            runner.faults.append("lost")
            await home.accept(spec_of("k", "billed_ring", tasks=2), 1.0)
            await home.schedule(2.0)
            await drive(home, runner)
            return home.record("courts", "k"), runner.ran

        record, ran = asyncio.run(run())
        self.assertThat(record.state, Equals(JobState.FAILED))
        self.assertThat(record.problem.code, Equals(Code.TASK_FAILED))
        self.assertThat(ran, Equals(["courts/k/1/1"]))

    def lost_worker(self, work_class):
        def lose_all(runner):
            async def lose(start):
                runner.before_start = None
                runner.lose(start.worker)

            runner.before_start = lose

        return self.run_with("answer", work_class, lose_all)

    def test_non_repeatable_work_on_a_lost_worker_ends_unknown(self):
        record, _ = self.lost_worker("simulation")
        self.assertThat(record.state, Equals(JobState.UNKNOWN))
        self.assertThat(record.problem.code, Equals(Code.WORKER_LOST))

    def test_repeatable_work_on_a_lost_worker_runs_elsewhere(self):
        record, ran = self.lost_worker("sweep")
        self.assertThat(record.state, Equals(JobState.DONE))
        self.assertThat(ran, Equals(["courts/k/2/0"]))

    def test_running_task_unknown_to_its_worker_was_lost_not_unstarted(self):
        async def run():
            home, runner, store = await opened()
            await home.accept(spec_of("k", "simulation"), 1.0)
            await home.schedule(2.0)
            runner.workers["w1"].tasks.clear()
            present = new_home(store, runner, host="h2")
            await present.open(100.0)
            return present.record("courts", "k")

        record = asyncio.run(run())
        self.assertThat(record.state, Equals(JobState.UNKNOWN))


class TestCancelRaces(testtools.TestCase):
    """Guards against a cancelled job that starts, or a false "not run"."""

    def cancelled_while(self, block, fault="ok"):
        async def run():
            home, runner, store = await opened()
            runner.faults.append(fault)
            at_step, go_on = asyncio.Event(), asyncio.Event()
            await home.accept(spec_of("k"), 1.0)
            block(runner, store, at_step, go_on)
            starting = asyncio.create_task(home.schedule(2.0))
            await at_step.wait()
            cancelling = asyncio.create_task(home.cancel("courts", "k", 3.0))
            for _ in range(10):
                await asyncio.sleep(0)
            go_on.set()
            await asyncio.gather(starting, cancelling)
            await home.schedule(4.0)
            await runner.report(home, 5.0)
            return home.record("courts", "k"), runner

        return asyncio.run(run())

    def test_while_reserving_it_never_starts(self):
        def block(runner, store, at_step, go_on):
            reserve = runner.reserve

            async def slow(*args, **kwargs):
                at_step.set()
                await go_on.wait()
                return await reserve(*args, **kwargs)

            runner.reserve = slow

        record, runner = self.cancelled_while(block)
        self.assertThat(
            record.problem.code, Equals(Code.CANCELLED_BEFORE_START)
        )
        self.assertThat(runner.ran, Equals([]))
        self.assertThat(runner.released, HasLength(1))

    def test_while_the_start_is_journalled_it_is_not_sent(self):
        def block(runner, store, at_step, go_on):
            put = store.put

            async def slow(*args, **kwargs):
                at_step.set()
                await go_on.wait()
                return await put(*args, **kwargs)

            store.put = slow

        record, runner = self.cancelled_while(block)
        self.assertThat(
            record.problem.code, Equals(Code.CANCELLED_BEFORE_START)
        )
        self.assertThat((runner.ran, runner.released), Equals(([], ["r1"])))

    def block_send(self, runner, store, at_step, go_on):
        async def slow(start):
            at_step.set()
            await go_on.wait()

        runner.before_start = slow

    def test_while_the_start_is_sent_it_is_stopped(self):
        record, runner = self.cancelled_while(self.block_send)
        self.assertThat(runner.ran, HasLength(1))
        self.assertThat(runner.live(), Equals([]))
        self.assertThat(record.problem.code, Equals(Code.CANCELLED_AFTER_START))

    def test_while_the_start_is_lost_it_did_not_run(self):
        record, runner = self.cancelled_while(self.block_send, "lost")
        self.assertThat(runner.ran, Equals([]))
        self.assertThat(
            record.problem.code, Equals(Code.CANCELLED_BEFORE_START)
        )

    def test_wave_of_cancellations_is_one_commit_and_one_stop(self):
        async def run():
            home, runner, store = await opened()
            keys = [str(number) for number in range(40)]
            await asyncio.gather(
                *(home.accept(spec_of(key), 1.0) for key in keys)
            )
            await home.schedule(2.0)
            before = len(store.writes)
            await asyncio.gather(
                *(home.cancel("courts", key, 3.0) for key in keys)
            )
            return len(store.writes) - before, runner.stops

        writes, stops = asyncio.run(run())
        self.assertThat(writes, Equals(1))
        self.assertThat([len(stop) for stop in stops], Equals([40]))


class TestStoreOutage(testtools.TestCase):
    """Guards against promises and lost results while the store is down."""

    def test_nothing_is_accepted_or_started_and_results_stay(self):
        async def run():
            home, runner, store = await opened()
            await home.accept(spec_of("running"), 1.0)
            await home.schedule(2.0)
            await home.accept(spec_of("queued"), 2.0)
            store.mode = "down"
            refused = await home.accept(spec_of("new"), 3.0)
            await home.schedule(3.1)
            await home.schedule(9.0)
            event = runner.end("courts/running/1/0")
            kept = await home.finished(event, 9.5)
            cancelled, again = await asyncio.gather(
                home.cancel("courts", "running", 9.6),
                home.accept(spec_of("running"), 9.6),
            )
            ran = list(runner.ran)
            store.mode = "ok"
            await drive(home, runner)
            states = {r.spec.key: r.state for r in home.records()}
            return refused, kept, cancelled, ran, again, states

        refused, kept, cancelled, ran, again, states = asyncio.run(run())
        self.assertThat(refused.failure().code, Equals(Code.STORE_UNAVAILABLE))
        self.assertThat(refused.failure().retry_after_s > 0, Is(True))
        self.assertThat(kept, Is(False))
        self.assertThat(cancelled.failure().code, Equals(Code.ASK_AGAIN))
        self.assertThat(ran, Equals(["courts/running/1/0"]))
        self.assertThat(again.unwrap().state, Equals(JobState.RUNNING))
        done = JobState.DONE
        self.assertThat(states, Equals({"running": done, "queued": done}))

    def test_start_whose_journal_write_is_unsettled_is_not_sent(self):
        async def run():
            home, runner, store = await opened()
            await home.accept(spec_of("k", "simulation"), 1.0)
            store.faults.extend(["lost", "lost", "effect", "lost"])
            await home.schedule(2.0)
            ran = list(runner.ran)
            await drive(home, runner)
            return ran, runner.ran, home.record("courts", "k").state

        self.assertThat(
            asyncio.run(run()),
            Equals(([], ["courts/k/2/0"], JobState.DONE)),
        )
