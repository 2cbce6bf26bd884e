"""Fake store and workers with injected faults for the tests of this library."""

import asyncio
import collections
import functools
import inspect
import itertools

import attrs
import testtools
from returns.result import Success

from dragonflybank.jobs.home import SchedulingRules, ShardHome, TaskRunner
from dragonflybank.model.codes import Code, failure
from dragonflybank.model.leases import (
    Reservation,
    Resolution,
    StartReply,
    TaskEvent,
    TaskState,
)
from dragonflybank.model.leases import ResolutionKind as Kind
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import JobSpec, WorkClass, WorkKind
from dragonflybank.platform.store import ConfigStore, VersionedValue

CLASSES = (
    WorkClass("sweep"),
    WorkClass("urgent_sweep", priority=1),
    WorkClass("worthy_sweep", value=5.0),
    WorkClass("simulation", repeatable=False),
    WorkClass("ring", WorkKind.GANG),
    WorkClass("billed_ring", WorkKind.GANG, repeatable=False),
    WorkClass("die_lookup", WorkKind.LOOKUP),
)

DOWN = failure(Code.STORE_UNAVAILABLE, "down", retry_after_s=1.0)


class StepCounter:
    """Counts the steps of a scenario and blocks forever at a chosen one."""

    def __init__(self):
        self.stop_at, self.count = None, 0
        self.stopped = asyncio.Event()

    async def pass_step(self):
        self.count += 1
        if self.count == self.stop_at:
            self.stopped.set()
            await asyncio.Event().wait()


class FakeStore(ConfigStore):
    """In-memory store with injected faults.

    Each write takes the next fault of ``faults``, or ``mode`` if there is
    none. A fault is ``ok``, ``down``, ``slow`` (waits for ``gate``),
    ``effect`` (takes effect, but the answer is lost), ``lost`` (the request
    is lost) or ``late`` (takes effect when ``deliver_late`` is called, and
    the answer is lost).
    """

    def __init__(self):
        self.mode = "ok"
        self.faults = collections.deque()
        self.gate = asyncio.Event()
        self.writes = []
        self.largest_bytes, self.deletes_fail = 0, False
        self.steps = StepCounter()
        self._values, self._late = {}, []

    async def get(self, key):
        await asyncio.sleep(0)
        if self.mode == "down":
            return DOWN
        return Success(self._values.get(key, VersionedValue(0, None)))

    async def put(self, key, value, *, version):
        await asyncio.sleep(0)
        await self.steps.pass_step()
        outcome = await self._faulty_put(key, value, version)
        await self.steps.pass_step()
        return outcome

    async def _faulty_put(self, key, value, version):
        fault = self.faults.popleft() if self.faults else self.mode
        self.writes.append(key)
        self.largest_bytes = max(self.largest_bytes, len(value))
        if fault == "slow":
            await self.gate.wait()
        if fault == "late":
            self._late.append((key, value, version))
        effect = fault in ("ok", "slow", "effect")
        outcome = self._put(key, value, version) if effect else DOWN
        lost = failure(Code.TIMED_OUT, fault, retry_after_s=1.0)
        return outcome if fault in ("ok", "slow", "down") else lost

    async def delete(self, key, *, version):
        await asyncio.sleep(0)
        if self.mode == "down" or self.deletes_fail:
            return DOWN
        return self._put(key, None, version)

    async def list_versions(self, prefix):
        keys = self.keys(prefix)
        return Success({key: self._values[key].version for key in keys})

    async def watch(self, key, *, after, wait_s):
        raise NotImplementedError

    def deliver_late(self):
        late, self._late = self._late, []
        for key, value, version in late:
            self._put(key, value, version)

    def keys(self, prefix):
        return [
            key
            for key, stored in self._values.items()
            if key.startswith(prefix) and stored.value is not None
        ]

    def _put(self, key, value, version):
        stored = self._values.get(key, VersionedValue(0, None))
        expected = stored.version if stored.value is not None else 0
        if version != expected:
            return failure(Code.CAS_CONFLICT)
        self._values[key] = VersionedValue(stored.version + 1, value)
        return Success(stored.version + 1)


@attrs.define
class FakeWorker:
    """State of a worker; the value of an ended task is its event."""

    name: str
    epoch: int = 1
    incarnation: str = "1"
    reachable: bool = True
    lapsed: bool = False
    tasks: dict[str, TaskEvent | None] = attrs.field(factory=dict)


class FakeRunner(TaskRunner):
    """In-memory workers with injected faults.

    Each start takes the next fault of ``faults``, or ``ok`` if there is none.
    A fault is ``ok``, ``lost`` (not delivered), ``answer`` (the answer is
    lost) or ``late`` (delivered when ``deliver_late`` is called, and the
    answer is lost).
    """

    def __init__(self, *names, max_tasks=100):
        self.workers = {n: FakeWorker(n) for n in names or ("w1", "w2", "w3")}
        self.max_tasks = max_tasks
        self.faults = collections.deque()
        self.ran, self.stops, self.resolves = [], [], []
        self.reserved, self.released = [], []
        self.refusal = self.before_start = None
        self.steps = StepCounter()
        self._late = []
        self._ids = itertools.count(1)

    async def reserve(self, spec, wc, count, size, *, avoid, now):
        await asyncio.sleep(0)
        await self.steps.pass_step()
        self.reserved.append((spec.key, count, size))
        if self.refusal is not None:
            return self.refusal
        able = [w for w in self.workers.values() if w.reachable]
        able.sort(key=lambda worker: (worker.name in avoid, worker.name))
        count = min(count, self.max_tasks - len(self.live_tasks()))
        if count < 1 or not able:
            return failure(Code.FULL, "no free resources")
        held = itertools.islice(itertools.cycle(able), count)
        return Success(
            tuple(self._reserve(worker, size, now) for worker in held)
        )

    async def release(self, reservations):
        self.released += [held.id for held in reservations]

    async def start(self, start, spec, *, now):
        await asyncio.sleep(0)
        await self.steps.pass_step()
        if self.before_start is not None:
            await self.before_start(start)
        outcome = self._faulty_start(start)
        await self.steps.pass_step()
        return outcome

    def _faulty_start(self, start):
        fault = self.faults.popleft() if self.faults else "ok"
        if fault == "late":
            self._late.append(start)
        lost = failure(Code.TIMED_OUT, fault)
        outcome = self._start(start) if fault in ("ok", "answer") else lost
        return outcome if fault == "ok" else lost

    async def stop(self, starts):
        self.stops.append([start.task_id for start in starts])
        for task in {start.task_id for start in starts} & set(
            self.live_tasks()
        ):
            self.end_task(task, TaskState.STOPPED)
        return Success(None)

    async def resolve(self, start, *, now):
        await asyncio.sleep(0)
        self.resolves.append(start.task_id)
        return Success(self._resolution(start, self.workers[start.worker]))

    def _resolution(self, start, worker):
        if worker.lapsed or (worker.reachable and self._is_replaced(start)):
            return Resolution(Kind.LEASE_LAPSED)
        if not worker.reachable:
            return Resolution(Kind.UNDECIDED)
        worker.epoch = max(worker.epoch, start.epoch + 1)
        if start.task_id not in worker.tasks:
            return Resolution(Kind.NOT_STARTED)
        event = worker.tasks[start.task_id]
        kind = Kind.ADOPTED if event is None else Kind.FINISHED
        return Resolution(kind, event)

    def deliver_late(self):
        late, self._late = self._late, []
        for start in late:
            self._start(start)

    def live_tasks(self):
        held = [w.tasks.items() for w in self.workers.values()]
        tasks = itertools.chain.from_iterable(held)
        return [task for task, event in tasks if event is None]

    def lose(self, name):
        """Makes a worker unreachable; its tasks end as their leases expire."""
        worker = self.workers[name]
        worker.reachable, worker.lapsed = False, True
        for task in set(self.live_tasks()) & worker.tasks.keys():
            self.end_task(task, TaskState.LAPSED)

    def replace(self, name):
        incarnation = self.workers[name].incarnation + "1"
        self.workers[name] = FakeWorker(name, incarnation=incarnation)

    def cut(self, name):
        self.workers[name].reachable = False

    def rejoin(self, name):
        worker = self.workers[name]
        worker.reachable, worker.lapsed = True, False

    async def report_finished(self, home, now):
        """Reports ended tasks; workers discard those that are journalled."""
        for worker in self.workers.values():
            events = [e for e in worker.tasks.values() if e is not None]
            for event in events if worker.reachable else ():
                if await home.on_task_ended(event, now):
                    worker.tasks.pop(event.task_id, None)

    def end_task(self, task, state=TaskState.DONE, result="r", reason=""):
        worker = next(w for w in self.workers.values() if task in w.tasks)
        event = TaskEvent(task, worker.name, state, result, reason)
        worker.tasks[task] = event
        return event

    def _is_replaced(self, start):
        return start.incarnation != self.workers[start.worker].incarnation

    def _reserve(self, worker, size, now):
        name = f"r{next(self._ids)}"
        held = worker.name, "h", worker.epoch, size, now + 5
        return Reservation(name, *held, worker.incarnation)

    def _start(self, start):
        worker = self.workers[start.worker]
        if not worker.reachable:
            return failure(Code.TIMED_OUT, "unreachable")
        if start.epoch != worker.epoch or self._is_replaced(start):
            return failure(Code.STALE_EPOCH, "stale epoch")
        if start.task_id in worker.tasks:
            return Success(StartReply.KNOWN)
        worker.tasks[start.task_id] = None
        self.ran.append(start.task_id)
        return Success(StartReply.STARTED)


@attrs.define
class FakeRules(SchedulingRules):
    """Scheduling rules with configurable limits."""

    limits: dict[str, int] = attrs.field(factory=dict)
    size: Resources | None = None
    quarantined: set[str] = attrs.field(factory=set)
    racks: dict[str, str] = attrs.field(factory=dict)

    def work_class(self, name):
        return next((wc for wc in CLASSES if wc.name == name), None)

    def max_running(self, team):
        return self.limits.get(team)

    def largest_worker(self):
        return self.size

    def is_quarantined(self, worker):
        return worker in self.quarantined

    def rack_of(self, worker):
        return self.racks.get(worker, "")

    def rack_count(self):
        return max(1, len(set(self.racks.values())))


async def no_sleep(seconds):
    await asyncio.sleep(0)


class AsyncTestCase(testtools.TestCase):
    """Test case that runs each coroutine test in an event loop of its own."""

    def __init_subclass__(cls, **kwargs):
        super().__init_subclass__(**kwargs)
        for name, test in list(vars(cls).items()):
            if name.startswith("test") and inspect.iscoroutinefunction(test):
                setattr(cls, name, _run_in_loop(test))


def new_home(store, runner, *, host="h1", rules=None, clock=lambda: 0.0):
    """Returns a shard home that never waits for real time."""
    parts = {"store": store, "runner": runner, "rules": rules or FakeRules()}
    quiet = {"clock": clock, "sleep": no_sleep, "log": lambda line: None}
    return ShardHome("oulu/0", host, **parts, **quiet)


async def open_home(*specs, runner=None, rules=None, clock=lambda: 0.0):
    """Returns an open home that has accepted jobs, its runner and its store."""
    runner, store = runner or FakeRunner(), FakeStore()
    home = new_home(store, runner, rules=rules, clock=clock)
    (await home.open(0.0)).unwrap()
    for spec in specs:
        (await home.accept(spec, 1.0)).unwrap()
    return home, runner, store


async def take_over(store, runner, now=100.0):
    """Returns another home after it took over the shard."""
    home = new_home(store, runner, host="h2")
    (await home.open(now)).unwrap()
    return home


def code_of(outcome):
    return outcome.failure().code


def make_spec(key, work_class="sweep", **fields):
    return JobSpec("courts", key, work_class, **fields)


async def run_until_idle(home, runner, *, start=1000.0, rounds=40):
    """Runs rounds in which all live tasks finish, so that all jobs end."""
    for count in range(rounds):
        now = start + 30.0 * count
        for _ in range(20):
            await asyncio.sleep(0)
        await home.resolve(now)
        await home.schedule(now)
        for task in runner.live_tasks():
            runner.end_task(task)
        await runner.report_finished(home, now)


async def wait_until(condition):
    """Yields to the event loop until a condition is true."""
    for _ in range(10_000):
        if condition():
            return
        await asyncio.sleep(0)
    raise AssertionError("the condition did not become true")


async def cancel_other_tasks():
    """Cancels all other tasks of the loop to simulate a killed process."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


def _run_in_loop(test):
    @functools.wraps(test)
    def run(self):
        asyncio.run(test(self))

    return run
