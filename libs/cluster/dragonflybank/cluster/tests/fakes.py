"""Fake worker, peers and clock, with faults that tests switch on."""

__all__ = [
    "FakeClock",
    "FakePeers",
    "FakeWorker",
    "run_lookup",
    "with_worker",
    "worker_vm",
]

import asyncio
import functools
import heapq
import itertools

import attrs
from returns.result import Success

from dragonflybank.cluster.clock import Clock
from dragonflybank.cluster.peers import Peers
from dragonflybank.model.codes import Code, failure
from dragonflybank.model.leases import StartReply, TaskEvent, TaskState
from dragonflybank.model.resources import Resources
from dragonflybank.model.topology import VmInfo
from dragonflybank.platform.worker import (
    ClaimResult,
    WorkerClient,
    WorkerState,
    WorkerTask,
)

SIZE = Resources(32, 65536, 4, 8, 64)
# Turns of the event loop after which every resumed task waits again. The
# longest chain of calls between fakes takes about 20.
READY_TURNS = 40


def worker_vm(name="w1", region="north", address="127.0.0.1", **kwargs):
    return VmInfo(name, address, 1, region, size=SIZE, **kwargs)


def with_worker(test):
    """Runs an async test method with a fake worker of its own."""

    @functools.wraps(test)
    def run(self):
        async def main():
            await test(self, FakeWorker(FakeClock()))

        asyncio.run(main())

    return run


async def run_lookup(session, timeout_s=1.0, now=1000.0):
    return await session.execute(
        "r", work_class="l", payload="x", timeout_s=timeout_s, now=now
    )


class FakeClock(Clock):
    """A clock that advances only when a test calls it to."""

    def __init__(self, now=1000.0):
        self.time = now
        self._sleepers = []
        self._order = itertools.count()

    def now(self):
        return self.time

    async def sleep(self, seconds):
        fut = asyncio.get_running_loop().create_future()
        entry = (self.time + seconds, next(self._order), fut)
        heapq.heappush(self._sleepers, entry)
        await fut

    async def advance(self, seconds):
        """Advances the time and resumes due sleepers in order."""
        end = self.time + seconds
        await _run_ready_tasks()
        while self._sleepers and self._sleepers[0][0] <= end:
            due, _, fut = heapq.heappop(self._sleepers)
            self.time = max(self.time, due)
            if not fut.done():
                fut.set_result(None)
                await _run_ready_tasks()
        self.time = end

    async def advance_until(self, condition, *, timeout_s=120.0):
        """Advances until a condition holds; returns the seconds it took."""
        start = self.time
        while not condition():
            if self.time - start > timeout_s:
                raise AssertionError(
                    f"condition did not hold within {timeout_s} s"
                )
            await self.advance(0.25)
        return self.time - start


class FakeWorker(WorkerClient):
    """A worker in memory that follows its protocol; shared by all hosts.

    Attributes:
        faults: Names of calls -> how they fail: ``drop`` (no effect),
            ``lose`` (effect, no answer), ``refuse`` (connection refused),
            ``hold`` (no answer, effect at `carry_out_held_calls`).
        held_calls: Effects of the calls that are held back.
        calls: Names of all calls that took effect.
        started_ids: Every task id that was ever started, in order.
        executed_ids: Request ids of the lookups that ran, in order.
    """

    def __init__(self, clock, *, size=SIZE):
        self.clock = clock
        self.size = size
        self.epoch = 0
        self.owner = ""
        self.incarnation = "vm-1"
        self.leaving = False
        self.tasks = {}
        self.end_events = {}
        self.usage = Resources()
        self.faults = {}
        self.held_calls = []
        self.calls = []
        self.started_ids = []
        self.executed_ids = []
        self.renewed_at = 0.0
        self.leases = {}
        self.booted_at = 0.0
        self.changed = asyncio.Event()
        self.execute_gate = None

    @property
    def clock_s(self):
        """The clock of the leases, which a new VM starts anew."""
        return self.clock.time - self.booted_at

    def for_host(self, host, cut_hosts):
        """Returns a client of one host, which fails while the host is cut off.

        Args:
            host: Name of the host.
            cut_hosts: Names of the hosts that cannot reach the worker.
        """
        return _HostPath(self, host, cut_hosts)

    def replace_vm(self):
        """Replaces the VM by a new one without tasks."""
        self.epoch, self.owner = 0, ""
        self.booted_at = self.clock.time
        self.incarnation += "'"
        self.tasks, self.end_events = {}, {}

    def carry_out_held_calls(self):
        """Carries out the held calls now, on the present VM."""
        held, self.held_calls = self.held_calls, []
        for effect in held:
            effect()

    def expire_leases(self):
        """Ends the tasks whose lease has expired, as a worker does."""
        for task_id in list(self.tasks):
            if self.clock_s > self.leases.get(task_id, 0.0):
                self.end_task(task_id, TaskState.LAPSED, "")

    def end_task(self, task_id, state=TaskState.DONE, result="ok"):
        self.tasks.pop(task_id)
        self.end_events[task_id] = TaskEvent(task_id, "w1", state, result)
        self.changed.set()

    async def claim(self, host, *, fence):
        return await self._call("claim", lambda: self._claim(host, fence))

    async def state(self):
        return await self._call("state", lambda: Success(self._state()))

    async def start(
        self, task_id, *, fence, work_class, grant, lease_until_s, payload
    ):
        def effect():
            if task_id in self.tasks or task_id in self.end_events:
                return Success(StartReply.KNOWN)
            if lease_until_s <= self.clock_s:
                return failure(Code.UNREACHABLE, "the lease had ended")
            self.started_ids.append(task_id)
            self.leases[task_id] = lease_until_s
            self.tasks[task_id] = WorkerTask(
                task_id, work_class, TaskState.RUNNING, grant, self.clock.time
            )
            return Success(StartReply.STARTED)

        return await self._call_fenced("start", fence, effect)

    async def renew(self, *, fence, lease_until_s):
        def effect():
            self.renewed_at = self.clock.time
            self.leases = {
                task: max(lease_until_s, self.leases.get(task, 0.0))
                for task in self.tasks
            }
            return Success(self._state())

        return await self._call_fenced("renew", fence, effect)

    async def events(self, *, fence, wait_s):
        if not self.end_events and "events" not in self.faults:
            self.changed.clear()
            waits = [
                asyncio.create_task(self.changed.wait()),
                asyncio.create_task(self.clock.sleep(wait_s)),
            ]
            try:
                await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for wait in waits:
                    wait.cancel()
        return await self._call_fenced(
            "events", fence, lambda: Success(tuple(self.end_events.values()))
        )

    async def ack(self, task_ids, *, fence):
        def effect():
            for task_id in task_ids:
                self.end_events.pop(task_id, None)
            return Success(None)

        return await self._call_fenced("ack", fence, effect)

    async def stop(self, task_ids, *, fence):
        def effect():
            for task_id in set(task_ids) & set(self.tasks):
                self.end_task(task_id, TaskState.STOPPED, "")
            return Success(None)

        return await self._call_fenced("stop", fence, effect)

    throttle = checkpoint = stop

    async def execute(
        self,
        request_id,
        *,
        fence,
        work_class,
        payload,
        timeout_s,
        begin_until_s,
    ):
        if self.execute_gate is not None:
            await self.execute_gate.wait()

        def effect():
            if self.clock_s >= begin_until_s:
                return failure(Code.UNREACHABLE, "too late")
            self.executed_ids.append(request_id)
            return Success(payload.upper())

        return await self._call_fenced("execute", fence, effect)

    async def _call(self, name, effect):
        await asyncio.sleep(0)
        self.expire_leases()
        fault = self.faults.get(name) or self.faults.get("all")
        if fault == "refuse":
            return failure(Code.UNREACHABLE, name)
        if fault == "drop":
            return failure(Code.TIMED_OUT, name)
        if fault == "hold":
            self.held_calls.append(effect)
            return failure(Code.TIMED_OUT, name)
        self.calls.append(name)
        reply = effect()
        return failure(Code.TIMED_OUT, name) if fault == "lose" else reply

    def _claim(self, host, fence):
        won = fence == self._state().fence
        if won:
            self.epoch, self.owner = self.epoch + 1, host
        return Success(ClaimResult(won, self._state()))

    async def _call_fenced(self, name, fence, effect):
        def fenced():
            is_stale = fence != self._state().fence
            return failure(Code.STALE_EPOCH) if is_stale else effect()

        return await self._call(name, fenced)

    def _state(self):
        ended = (
            WorkerTask(e.task_id, "sweep", e.state, Resources())
            for e in self.end_events.values()
        )
        return WorkerState(
            self.epoch,
            self.owner,
            self.incarnation,
            self.size,
            self.leaving,
            (*self.tasks.values(), *ended),
            self.usage,
            self.clock_s,
        )


class _HostPath:
    """Calls of one host to a worker, which fail while it is cut off."""

    def __init__(self, worker, host, cut_hosts):
        self._worker, self._host, self._cut_hosts = worker, host, cut_hosts

    def __getattr__(self, name):
        call = getattr(self._worker, name)

        async def unless_cut(*args, **kwargs):
            if self._host in self._cut_hosts:
                await asyncio.sleep(0)
                return failure(Code.TIMED_OUT, "cut off")
            return await call(*args, **kwargs)

        return unless_cut


@attrs.define
class FakePeers(Peers):
    """Calls the handover handlers of other hosts in process.

    Attributes:
        host: Name of the calling host.
        hosts: Ownership by host name, shared by all.
        clock: The clock.
        cut_hosts: Hosts whose calls to others and from others fail.
    """

    host: str
    hosts: dict
    clock: FakeClock
    cut_hosts: set

    async def call_address(self, address, request, *, timeout_s):
        return failure(Code.UNREACHABLE, address)

    async def call(self, host, request, *, timeout_s):
        await asyncio.sleep(0)
        if host not in self.hosts or {host, self.host} & self.cut_hosts:
            return failure(Code.UNREACHABLE, host)
        return await self.hosts[host].handle_handover(
            self.host, request, self.clock.now()
        )


async def _run_ready_tasks():
    for _ in range(READY_TURNS):
        await asyncio.sleep(0)
