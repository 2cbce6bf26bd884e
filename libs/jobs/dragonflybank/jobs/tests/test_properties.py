"""Property test of a shard home under drawn sequences of faults."""

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
# The class and the number of tasks are fixed for a key, so that a repeated
# accept asks for the same work.
SPECS = {
    "a": fakes.spec_of("a", "simulation"),
    "b": fakes.spec_of("b", "sweep", tasks=2),
    "c": fakes.spec_of("c", "billed_ring", tasks=2),
}
WORKERS = ("w1", "w2", "w3")
STORE_FAULTS = ("down", "effect", "lost", "late")
START_FAULTS = ("lost", "answer", "late")

PLAIN = ("schedule", "schedule", "resolve", "report", "deliver", "take_over")
ENDS = (TaskState.DONE, TaskState.FAILED, TaskState.STOPPED)


def step_of(kinds, choices):
    return st.tuples(st.sampled_from(kinds), st.sampled_from(choices))


steps = st.one_of(
    step_of(PLAIN, [0]),
    step_of(["accept", "cancel", "accept"], KEYS),
    step_of(["begin", "begin", "kill"], range(60)),
    step_of(["end"], ENDS),
    step_of(["store"], STORE_FAULTS),
    step_of(["starts"], START_FAULTS),
    step_of(["outage"], ("ok", "ok", *STORE_FAULTS)),
    step_of(["cut", "lose", "replace", "rejoin", "rejoin"], WORKERS),
)


@attrs.define
class Scenario:
    """A shard, its homes past and present, and what callers were told."""

    store: fakes.FakeStore = attrs.field(factory=fakes.FakeStore)
    runner: fakes.FakeRunner = attrs.field(
        factory=lambda: fakes.FakeRunner(*WORKERS)
    )
    homes: list[ShardHome] = attrs.field(factory=list)
    accepted: set[str] = attrs.field(factory=set)
    told_not_run: set[str] = attrs.field(factory=set)
    begun: set[asyncio.Task] = attrs.field(factory=set)
    now: float = 0.0

    async def step(self, kind, choice):
        """Takes one step with every home, the former ones included."""
        self.now += 10.0
        match kind:
            case "accept" | "cancel" | "schedule" | "resolve" | "report":
                for home in self.homes:
                    await self.call(home, kind, choice)
            case "begin":
                for home in self.homes:
                    self.begun.add(asyncio.create_task(home.schedule(self.now)))
                await yields(choice)
            case "store":
                self.store.faults.append(choice)
            case "outage":
                self.store.mode = choice
            case "starts":
                self.runner.faults.append(choice)
            case "end":
                for task in self.runner.live()[:1]:
                    self.runner.end(task, choice)
            case "deliver":
                self.store.deliver()
                self.runner.deliver()
            case "kill":
                await yields(choice)
                await fakes.kill_others()
                self.homes.clear()
            case "take_over":
                await self.open_another()
            case "cut" | "lose" | "replace" | "rejoin":
                getattr(self.runner, kind)(choice)

    async def call(self, home, kind, key):
        """Calls a home and checks an answer to a caller."""
        outcome = None
        match kind:
            case "accept":
                outcome = await home.accept(SPECS[key], self.now)
            case "cancel":
                outcome = await home.cancel("courts", key, self.now)
            case "report":
                await self.runner.report(home, self.now)
            case _:
                await getattr(home, kind)(self.now)
        match outcome:
            case Failure(failed):
                refused = proves_not_run(failed.code)
                assert not (refused and key in self.accepted), failed
                assert not (refused and self.runs(key)), failed
            case Success(_) if kind == "accept":
                self.accepted.add(key)
            case Success(record) if record.problem is not None:
                self.note_code(key, record.problem.code)

    def note_code(self, key, code):
        if code in (Code.CANCELLED_BEFORE_START, Code.CAN_NEVER_RUN):
            self.told_not_run.add(key)

    async def open_another(self):
        """Opens a new home; the former ones do not notice."""
        home = fakes.new_home(self.store, self.runner, host=f"h{self.now}")
        if isinstance(await home.open(self.now), Success):
            self.homes.append(home)

    async def heal(self):
        self.store.mode = "ok"
        self.store.faults.clear()
        self.runner.faults.clear()
        for name in WORKERS:
            self.runner.rejoin(name)
        await self.open_another()
        await yields(200)
        await fakes.drive(self.homes[-1], self.runner, start=self.now + 1000.0)

    def runs(self, key):
        ran = [task for task in self.runner.ran if job_key_of(task)[1] == key]
        return collections.Counter(map(task_index, ran))

    def check_running(self):
        running = collections.Counter(
            (job_key_of(task), task_index(task)) for task in self.runner.live()
        )
        assert max(running.values(), default=0) <= 1, running

    def check_ended(self):
        for key in KEYS:
            record = self.homes[-1].record("courts", key)
            assert record is not None or key not in self.accepted
            if record is None:
                continue
            assert is_final_state(record.state), record
            if record.problem is not None:
                self.note_code(key, record.problem.code)
        for key in self.told_not_run:
            assert not self.runs(key), key
        for key in ("a", "c"):
            assert max(self.runs(key).values(), default=0) <= 1, key


async def yields(count):
    for _ in range(count):
        await asyncio.sleep(0)


async def play(drawn):
    scenario = Scenario()
    await scenario.open_another()
    for key in KEYS:
        await scenario.step("accept", key)
    for kind, choice in drawn:
        await scenario.step(kind, choice)
        scenario.check_running()
    await scenario.heal()
    scenario.check_ended()


class TestFaultSequences(testtools.TestCase):
    """Guards I2, I4 and I5, and that all accepted work ends."""

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(st.lists(steps, min_size=5, max_size=50))
    def test_promises_hold(self, drawn):
        asyncio.run(play(drawn))
