"""Property test of a shard home under random sequences of faults."""

import asyncio
import collections

import attrs
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from dragonflybank.jobs.entries import job_key_of, task_index
from dragonflybank.jobs.home import ShardHome
from dragonflybank.jobs.tests import fakes
from dragonflybank.model.codes import Code, proves_not_run
from dragonflybank.model.leases import TaskState
from dragonflybank.model.work import is_final_state

KEYS = ("a", "b", "c")
# Each key has a fixed class and number of tasks, so that a repeated accept
# submits the same job.
SPECS = {
    "a": fakes.make_spec("a", "simulation"),
    "b": fakes.make_spec("b", "sweep", tasks=2),
    "c": fakes.make_spec("c", "billed_ring", tasks=2),
}
WORKERS = ("w1", "w2", "w3")
STORE_FAULTS = ("down", "effect", "lost", "late")
START_FAULTS = ("lost", "answer", "late")

STEPS_WITHOUT_CHOICE = (
    "schedule",
    "schedule",
    "resolve",
    "report",
    "deliver",
    "take_over",
)
END_STATES = (TaskState.DONE, TaskState.FAILED, TaskState.STOPPED)


def step_strategy(kinds, choices):
    return st.tuples(st.sampled_from(kinds), st.sampled_from(choices))


steps = st.one_of(
    step_strategy(STEPS_WITHOUT_CHOICE, [0]),
    step_strategy(["accept", "cancel", "accept"], KEYS),
    step_strategy(["begin", "begin", "kill"], range(60)),
    step_strategy(["end"], END_STATES),
    step_strategy(["store"], STORE_FAULTS),
    step_strategy(["starts"], START_FAULTS),
    step_strategy(["outage"], ("ok", "ok", *STORE_FAULTS)),
    step_strategy(["cut", "lose", "replace", "rejoin", "rejoin"], WORKERS),
)


@attrs.define
class Scenario:
    """A shard, its former and present homes and the answers to callers."""

    store: fakes.FakeStore = attrs.field(factory=fakes.FakeStore)
    runner: fakes.FakeRunner = attrs.field(
        factory=lambda: fakes.FakeRunner(*WORKERS)
    )
    homes: list[ShardHome] = attrs.field(factory=list)
    accepted: set[str] = attrs.field(factory=set)
    reported_not_run: set[str] = attrs.field(factory=set)
    background_rounds: set[asyncio.Task] = attrs.field(factory=set)
    now: float = 0.0

    async def step(self, kind, choice):
        """Executes one step at every home, including the former ones."""
        self.now += 10.0
        match kind:
            case "accept" | "cancel" | "schedule" | "resolve" | "report":
                for home in self.homes:
                    await self.call(home, kind, choice)
            case "begin":
                for home in self.homes:
                    self.background_rounds.add(
                        asyncio.create_task(home.schedule(self.now))
                    )
                await yield_to_loop(choice)
            case "store":
                self.store.faults.append(choice)
            case "outage":
                self.store.mode = choice
            case "starts":
                self.runner.faults.append(choice)
            case "end":
                for task in self.runner.live_tasks()[:1]:
                    self.runner.end_task(task, choice)
            case "deliver":
                self.store.deliver_late()
                self.runner.deliver_late()
            case "kill":
                await yield_to_loop(choice)
                await fakes.cancel_other_tasks()
                self.homes.clear()
            case "take_over":
                await self.open_another()
            case "cut" | "lose" | "replace" | "rejoin":
                getattr(self.runner, kind)(choice)

    async def call(self, home, kind, key):
        """Calls a home and checks its answer to the caller."""
        outcome = None
        match kind:
            case "accept":
                outcome = await home.accept(SPECS[key], self.now)
            case "cancel":
                outcome = await home.cancel("courts", key, self.now)
            case "report":
                await self.runner.report_finished(home, self.now)
            case _:
                await getattr(home, kind)(self.now)
        match outcome:
            case Failure(failed):
                refused = proves_not_run(failed.code)
                assert not (refused and key in self.accepted), failed
                assert not (refused and self.runs_by_task(key)), failed
            case Success(_) if kind == "accept":
                self.accepted.add(key)
            case Success(record) if record.problem is not None:
                self.record_if_not_run(key, record.problem.code)

    def record_if_not_run(self, key, code):
        if code in (Code.CANCELLED_BEFORE_START, Code.CAN_NEVER_RUN):
            self.reported_not_run.add(key)

    async def open_another(self):
        """Opens a new home without notice to the former ones."""
        home = fakes.new_home(self.store, self.runner, host=f"h{self.now}")
        if isinstance(await home.open(self.now), Success):
            self.homes.append(home)

    async def repair_and_finish(self):
        self.store.mode = "ok"
        self.store.faults.clear()
        self.runner.faults.clear()
        for name in WORKERS:
            self.runner.rejoin(name)
        await self.open_another()
        await yield_to_loop(200)
        await fakes.run_until_idle(
            self.homes[-1], self.runner, start=self.now + 1000.0
        )

    def runs_by_task(self, key):
        ran = [task for task in self.runner.ran if job_key_of(task)[1] == key]
        return collections.Counter(map(task_index, ran))

    def check_no_double_run(self):
        running = collections.Counter(
            (job_key_of(task), task_index(task))
            for task in self.runner.live_tasks()
        )
        assert max(running.values(), default=0) <= 1, running

    def check_final_state(self):
        for key in KEYS:
            record = self.homes[-1].record("courts", key)
            assert record is not None or key not in self.accepted
            if record is None:
                continue
            assert is_final_state(record.state), record
            if record.problem is not None:
                self.record_if_not_run(key, record.problem.code)
        for key in self.reported_not_run:
            assert not self.runs_by_task(key), key
        for key in ("a", "c"):
            assert max(self.runs_by_task(key).values(), default=0) <= 1, key


async def yield_to_loop(count):
    for _ in range(count):
        await asyncio.sleep(0)


async def play(drawn):
    scenario = Scenario()
    await scenario.open_another()
    for key in KEYS:
        await scenario.step("accept", key)
    for kind, choice in drawn:
        await scenario.step(kind, choice)
        scenario.check_no_double_run()
    await scenario.repair_and_finish()
    scenario.check_final_state()


class TestFaultSequences(testtools.TestCase):
    """Guards against violated invariants after random sequences of faults.

    No task runs twice at the same time (I2), a job that was reported as not
    run did not run (I4), and work that must not be repeated is started at
    most once (I5). All accepted jobs end.
    """

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(st.lists(steps, min_size=5, max_size=50))
    def test_promises_hold(self, drawn):
        asyncio.run(play(drawn))
