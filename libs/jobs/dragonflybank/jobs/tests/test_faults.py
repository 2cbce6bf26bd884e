"""Tests of a shard home that is killed or paused or loses answers."""

import asyncio
import collections

from dragonflybank.jobs.entries import task_index
from dragonflybank.jobs.tests.fakes import (
    AsyncTestCase,
    cancel_other_tasks,
    code_of,
    make_spec,
    open_home,
    run_until_idle,
    take_over,
    wait_until,
)
from dragonflybank.model.codes import Code, proves_not_run
from dragonflybank.model.leases import TaskState
from dragonflybank.model.work import JobState

FIRST, SECOND = "courts/k/1/0", "courts/k/2/0"
NOT_RUN, STOPPED = Code.CANCELLED_BEFORE_START, Code.CANCELLED_AFTER_START


class TestKilledHome(AsyncTestCase):
    """Guards against lost and duplicated work when a home is killed."""

    async def kill_at(self, step, spec, most_runs, states):
        """Kills the home at a step and lets another home finish the job."""
        home, runner, store = await open_home()
        runner.steps = steps = store.steps
        steps.count, steps.stop_at = 0, step
        accepted = []

        async def work():
            accepted.append(await home.accept(spec, 1.0))
            await home.schedule(2.0)
            for task in runner.live_tasks():
                runner.end_task(task)
            await runner.report_finished(home, 3.0)

        stops = asyncio.create_task(steps.stopped.wait())
        working = asyncio.create_task(work())
        await asyncio.wait(
            [working, stops], return_when=asyncio.FIRST_COMPLETED
        )
        await cancel_other_tasks()
        steps.stop_at = None
        present = await take_over(store, runner)
        await run_until_idle(present, runner)
        record = present.record("courts", "k")
        if accepted or record is not None:
            self.assertIn(record.state, states, f"killed at step {step}")
        runs_by_task = collections.Counter(map(task_index, runner.ran))
        worst = max(runs_by_task.values(), default=0)
        self.assertTrue(worst <= most_runs, f"killed at step {step}")
        return steps.stopped.is_set()

    def check(self, *args):
        steps = iter(range(1, 100))
        while asyncio.run(self.kill_at(next(steps), *args)):
            pass
        self.assertTrue(next(steps) > 9)

    def test_non_repeatable_work_runs_exactly_once(self):
        self.check(make_spec("k", "simulation"), 1, [JobState.DONE])

    def test_repeatable_work_of_several_tasks_ends(self):
        self.check(make_spec("k", tasks=3), 1, [JobState.DONE])

    def test_gang_ends(self):
        self.check(make_spec("k", "ring", tasks=3), 2, [JobState.DONE])

    def test_non_repeatable_gang_runs_at_most_once(self):
        states = [JobState.DONE, JobState.FAILED]
        self.check(make_spec("k", "billed_ring", tasks=2), 1, states)


class TestPausedHome(AsyncTestCase):
    """Guards against a former home that goes on after a pause."""

    async def test_start_sent_by_a_former_home_is_refused(self):
        home, runner, store = await open_home(make_spec("k", "simulation"))
        woken, paused = asyncio.Event(), asyncio.Event()

        async def pause(start):
            if not paused.is_set():
                paused.set()
                await woken.wait()

        runner.before_start = pause
        former = asyncio.create_task(home.schedule(2.0))
        await paused.wait()
        present = await take_over(store, runner)
        await present.schedule(101.0)
        woken.set()
        await former
        late = await home.accept(make_spec("late"), 102.0)
        self.assertEqual(Code.NOT_HOME, code_of(late))
        self.assertFalse(home.is_open)
        await run_until_idle(present, runner)
        self.assertEqual([SECOND], runner.ran)
        self.assertEqual(JobState.DONE, present.record("courts", "k").state)

    async def test_job_accepted_by_another_home_is_not_reported_as_not_run(
        self,
    ):
        times = iter([0.0])
        home, runner, store = await open_home(clock=lambda: next(times, 101.0))
        store.faults.append("slow")
        blocked = asyncio.create_task(home.accept(make_spec("first"), 2.0))
        await wait_until(lambda: len(store.writes) > 1)
        behind = asyncio.create_task(home.accept(make_spec("k"), 2.0))
        present = await take_over(store, runner)
        (await present.accept(make_spec("k"), 100.5)).unwrap()
        store.gate.set()
        codes = [code_of(await blocked), code_of(await behind)]
        self.assertEqual([], [c for c in codes if proves_not_run(c)])


class TestLostStarts(AsyncTestCase):
    """Guards against a second start while the first is unresolved."""

    async def check(self, spec, *faults, ran, state=JobState.DONE, before=None):
        home, runner, _ = await open_home(spec)
        runner.faults.extend(faults)
        runner.before_start = before and before(runner)
        await home.schedule(2.0)
        runner.deliver_late()
        await run_until_idle(home, runner)
        record = home.record("courts", "k")
        self.assertEqual((state, ran), (record.state, runner.ran))
        return record

    async def test_start_without_an_answer_is_resolved_at_the_worker(self):
        spec = make_spec("k", "simulation")
        await self.check(spec, "lost", ran=[SECOND])
        await self.check(spec, "answer", ran=[FIRST])
        await self.check(spec, "late", ran=[SECOND])

    async def test_only_repeatable_work_is_repeated_after_a_worker_loss(self):
        def lose_one(runner):
            async def lose(start):
                runner.before_start = None
                runner.lose(start.worker)

            return lose

        await self.check(make_spec("k"), ran=[SECOND], before=lose_one)
        spec, state = make_spec("k", "simulation"), JobState.UNKNOWN
        record = await self.check(spec, ran=[], state=state, before=lose_one)
        self.assertEqual(Code.WORKER_LOST, record.problem.code)

    async def test_start_in_flight_is_not_resolved(self):
        home, runner, _ = await open_home(make_spec("k"))

        async def look_up(start):
            await home.resolve(3.0)

        runner.before_start = look_up
        await home.schedule(2.0)
        self.assertEqual(([], [FIRST]), (runner.resolves, runner.ran))

    async def test_start_of_a_cancelled_round_is_resolved(self):
        home, runner, store = await open_home(make_spec("k", "simulation"))
        store.faults.append("slow")
        scheduling = asyncio.create_task(home.schedule(2.0))
        await wait_until(lambda: len(store.writes) == 3)
        scheduling.cancel()
        store.gate.set()
        await asyncio.wait([scheduling])
        await run_until_idle(home, runner)
        self.assertEqual([SECOND], runner.ran)

    async def test_partly_started_unrepeatable_gang_fails(self):
        for last_state in (TaskState.RUNNING, TaskState.DONE):
            spec = make_spec("k", "billed_ring", tasks=2)
            home, runner, _ = await open_home(spec)
            runner.faults.append("lost")
            await home.schedule(2.0)
            if last_state is TaskState.DONE:
                runner.end_task("courts/k/1/1")
                await runner.report_finished(home, 3.0)
            await run_until_idle(home, runner)
            record = home.record("courts", "k")
            self.assertEqual(Code.TASK_FAILED, record.problem.code)
            self.assertEqual(["courts/k/1/1"], runner.ran)

    async def test_running_task_unknown_to_its_worker_ends_as_unknown(self):
        home, runner, store = await open_home(make_spec("k", "simulation"))
        await home.schedule(2.0)
        runner.workers["w1"].tasks.clear()
        present = await take_over(store, runner)
        self.assertEqual(JobState.UNKNOWN, present.record("courts", "k").state)


class TestCancelRaces(AsyncTestCase):
    """Guards against starts of a cancelled job and a false "not run"."""

    async def check(self, owner, name, code, *, ran, released, fault="ok"):
        """Cancels a job while one call of its start is blocked."""
        home, runner, store = await open_home(make_spec("k"))
        runner.faults.append(fault)
        at_step, go_on = asyncio.Event(), asyncio.Event()
        target = {"runner": runner, "store": store}[owner]
        call = getattr(target, name)

        async def slow(*args, **kwargs):
            at_step.set()
            await go_on.wait()
            return await call(*args, **kwargs)

        setattr(target, name, slow)
        starting = asyncio.create_task(home.schedule(2.0))
        await at_step.wait()
        cancelling = asyncio.create_task(home.cancel("courts", "k", 3.0))
        for _ in range(10):
            await asyncio.sleep(0)
        go_on.set()
        await asyncio.gather(starting, cancelling)
        await home.schedule(4.0)
        await runner.report_finished(home, 5.0)
        self.assertEqual(code, home.record("courts", "k").problem.code)
        self.assertEqual((ran, released), (runner.ran, runner.released))
        self.assertEqual([], runner.live_tasks())

    async def test_start_cancelled_before_it_is_sent_is_never_sent(self):
        held = ["r1"]
        await self.check("runner", "reserve", NOT_RUN, ran=[], released=held)
        await self.check("store", "put", NOT_RUN, ran=[], released=held)

    async def test_start_cancelled_while_it_is_sent_is_stopped_or_lost(self):
        sent = "runner", "start"
        await self.check(*sent, STOPPED, ran=[FIRST], released=[])
        await self.check(*sent, NOT_RUN, ran=[], released=[], fault="lost")

    async def test_concurrent_cancellations_share_one_commit_and_one_stop(self):
        keys = [str(number) for number in range(40)]
        home, runner, store = await open_home(*map(make_spec, keys))
        await home.schedule(2.0)
        before = len(store.writes)
        await asyncio.gather(*(home.cancel("courts", k, 3.0) for k in keys))
        self.assertEqual(before + 1, len(store.writes))
        self.assertEqual([40], [len(stop) for stop in runner.stops])


class TestStoreOutage(AsyncTestCase):
    """Guards against acceptances and lost results in a store outage."""

    async def test_outage_accepts_and_starts_nothing_and_loses_no_result(self):
        home, runner, store = await open_home(make_spec("k"))
        await home.schedule(2.0)
        await home.accept(make_spec("queued"), 2.0)
        store.mode = "down"
        refused = await home.accept(make_spec("new"), 3.0)
        self.assertEqual(Code.STORE_UNAVAILABLE, code_of(refused))
        self.assertTrue(refused.failure().retry_after_s > 0)
        await home.schedule(3.1)
        await home.schedule(9.0)
        self.assertFalse(await home.on_task_ended(runner.end_task(FIRST), 9.5))
        cancelled, again = await asyncio.gather(
            home.cancel("courts", "k", 9.6), home.accept(make_spec("k"), 9.6)
        )
        self.assertEqual(Code.ASK_AGAIN, code_of(cancelled))
        self.assertEqual(JobState.RUNNING, again.unwrap().state)
        self.assertEqual([FIRST], runner.ran)
        store.mode = "ok"
        await run_until_idle(home, runner)
        states = {r.spec.key: r.state for r in home.records()}
        self.assertEqual({"k": JobState.DONE, "queued": JobState.DONE}, states)

    async def test_start_with_an_unsettled_journal_write_is_not_sent(self):
        home, runner, store = await open_home(make_spec("k", "simulation"))
        store.faults.extend(["lost", "lost", "effect", "lost"])
        await home.schedule(2.0)
        self.assertEqual([], runner.ran)
        await run_until_idle(home, runner)
        self.assertEqual([SECOND], runner.ran)
        self.assertEqual(JobState.DONE, home.record("courts", "k").state)
