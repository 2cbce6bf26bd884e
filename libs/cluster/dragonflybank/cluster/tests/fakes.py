"""A worker, peers and a clock in process, with faults that tests switch on."""

__all__ = ["FakeClock", "FakePeers", "FakeWorker", "look", "on_worker", "row"]

import asyncio
import functools
import heapq
import itertools

import attrs
from returns.result import Success

from dragonflybank.cluster.clock import Clock
from dragonflybank.cluster.peers import Peers
from dragonflybank.model.codes import Code, failure
from dragonflybank.model.leases import LEASE_S, StartReply, TaskEvent, TaskState
from dragonflybank.model.resources import Resources
from dragonflybank.model.topology import VmInfo
from dragonflybank.platform.worker import (
    ClaimResult,
    WorkerClient,
    WorkerState,
    WorkerTask,
)

SIZE = Resources(32, 65536, 4, 8, 64)
# Turns of the event loop after which every woken task waits again; the
# longest chain of calls in process takes about 20.
SETTLE_TURNS = 40


def row(name="w1", region="north", address="127.0.0.1", **kwargs):
    return VmInfo(name, address, 1, region, size=SIZE, **kwargs)


def on_worker(test):
    """Runs an async test method with a fake worker of its own."""

    @functools.wraps(test)
    def run(self):
        async def main():
            await test(self, FakeWorker(FakeClock()))

        asyncio.run(main())

    return run


async def look(session, timeout_s=1.0, now=1000.0):
    return await session.execute(
        "r", work_class="l", payload="x", timeout_s=timeout_s, now=now
    )


class FakeClock(Clock):
    """A clock that moves only when a test says so."""

    def __init__(self, now=1000.0):
        self.at = now
        self._sleepers = []
        self._order = itertools.count()

    def now(self):
        return self.at

    async def sleep(self, seconds):
        fut = asyncio.get_running_loop().create_future()
        entry = (self.at + seconds, next(self._order), fut)
        heapq.heappush(self._sleepers, entry)
        await fut

    async def advance(self, seconds):
        """Moves the time and wakes the sleepers on the way, in order."""
        end = self.at + seconds
        await _settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            due, _, fut = heapq.heappop(self._sleepers)
            self.at = max(self.at, due)
            if not fut.done():
                fut.set_result(None)
                await _settle()
        self.at = end

    async def until(self, condition, *, limit_s=120.0):
        """Moves the time until a condition holds; returns the seconds."""
        start = self.at
        while not condition():
            if self.at - start > limit_s:
                raise AssertionError(f"not within {limit_s} s")
            await self.advance(0.25)
        return self.at - start


class FakeWorker(WorkerClient):
    """A worker's rules in memory; one object serves all hosts.

    Attributes:
        faults: Names of calls -> how they fail: ``drop`` (no effect),
            ``lose`` (effect, no answer), ``refuse`` (connection refused).
        cut: Hosts that cannot reach the worker; see `for_host`.
        calls: Names of all calls that took effect.
        ran: Every task id that was ever started, in order.
    """

    def __init__(self, clock, *, size=SIZE):
        self.clock = clock
        self.size = size
        self.epoch = 0
        self.owner = ""
        self.incarnation = "vm-1"
        self.leaving = False
        self.tasks = {}
        self.ends = {}
        self.usage = Resources()
        self.faults = {}
        self.calls = []
        self.ran = []
        self.renewed_at = 0.0
        self.leases = {}
        self.changed = asyncio.Event()
        self.gate = None

    def for_host(self, host, cut):
        """Returns the worker as a host sees it over its own network path."""
        return _Path(self, host, cut)

    def replace(self):
        """Starts a new VM in place of the old one."""
        self.epoch, self.owner = 0, ""
        self.incarnation += "'"
        self.tasks, self.ends = {}, {}

    def lapse(self):
        """Stops the tasks whose lease has ended, as a worker does itself."""
        for task_id in list(self.tasks):
            if self.clock.at > self.leases.get(task_id, 0.0) + LEASE_S:
                self.finish(task_id, TaskState.LAPSED, "")

    def finish(self, task_id, state=TaskState.DONE, result="ok"):
        self.tasks.pop(task_id)
        self.ends[task_id] = TaskEvent(task_id, "w1", state, result)
        self.changed.set()

    async def claim(self, host, *, epoch):
        return await self._do("claim", lambda: self._claim(host, epoch))

    async def state(self):
        return await self._do("state", lambda: Success(self._state()))

    async def start(
        self, task_id, *, epoch, work_class, grant, lease_s, payload
    ):
        def act():
            if task_id in self.tasks or task_id in self.ends:
                return Success(StartReply.KNOWN)
            self.ran.append(task_id)
            self.leases[task_id] = self.clock.at
            self.tasks[task_id] = WorkerTask(
                task_id, work_class, TaskState.RUNNING, grant, self.clock.at
            )
            return Success(StartReply.STARTED)

        return await self._guarded("start", epoch, act)

    async def renew(self, *, epoch, lease_s):
        def act():
            self.renewed_at = self.clock.at
            self.leases = dict.fromkeys(self.tasks, self.clock.at)
            return Success(self._state())

        return await self._guarded("renew", epoch, act)

    async def events(self, *, epoch, wait_s):
        if not self.ends and "events" not in self.faults:
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
        return await self._guarded(
            "events", epoch, lambda: Success(tuple(self.ends.values()))
        )

    async def ack(self, task_ids, *, epoch):
        def act():
            for task_id in task_ids:
                self.ends.pop(task_id, None)
            return Success(None)

        return await self._guarded("ack", epoch, act)

    async def stop(self, task_ids, *, epoch):
        def act():
            for task_id in set(task_ids) & set(self.tasks):
                self.finish(task_id, TaskState.STOPPED, "")
            return Success(None)

        return await self._guarded("stop", epoch, act)

    throttle = checkpoint = stop

    async def execute(
        self, request_id, *, epoch, work_class, payload, timeout_s
    ):
        if self.gate is not None:
            await self.gate.wait()
        return await self._guarded(
            "execute", epoch, lambda: Success(payload.upper())
        )

    async def _do(self, name, act):
        await asyncio.sleep(0)
        self.lapse()
        fault = self.faults.get(name) or self.faults.get("all")
        if fault == "refuse":
            return failure(Code.UNREACHABLE, name)
        if fault == "drop":
            return failure(Code.TIMED_OUT, name)
        self.calls.append(name)
        reply = act()
        return failure(Code.TIMED_OUT, name) if fault == "lose" else reply

    def _claim(self, host, epoch):
        won = epoch == self.epoch
        if won:
            self.epoch, self.owner = epoch + 1, host
        return Success(ClaimResult(won, self._state()))

    async def _guarded(self, name, epoch, act):
        def fenced():
            return act() if epoch == self.epoch else failure(Code.STALE_EPOCH)

        return await self._do(name, fenced)

    def _state(self):
        ended = (
            WorkerTask(e.task_id, "sweep", e.state, Resources())
            for e in self.ends.values()
        )
        return WorkerState(
            self.epoch,
            self.owner,
            self.incarnation,
            self.size,
            self.leaving,
            (*self.tasks.values(), *ended),
            self.usage,
        )


class _Path:
    """The calls of one host, which fail while the host is cut off."""

    def __init__(self, worker, host, cut):
        self._worker, self._host, self._cut = worker, host, cut

    def __getattr__(self, name):
        call = getattr(self._worker, name)

        async def unless_cut(*args, **kwargs):
            if self._host in self._cut:
                await asyncio.sleep(0)
                return failure(Code.TIMED_OUT, "cut off")
            return await call(*args, **kwargs)

        return unless_cut


@attrs.define
class FakePeers(Peers):
    """Requests to other hosts' handover handlers in process.

    Attributes:
        host: Name of the asking host.
        hosts: Ownership by host name, shared by all.
        clock: The clock.
        cut: Hosts that nobody reaches.
    """

    host: str
    hosts: dict
    clock: FakeClock
    cut: set

    async def call_address(self, address, request, *, timeout_s):
        return failure(Code.UNREACHABLE, address)

    async def call(self, host, request, *, timeout_s):
        await asyncio.sleep(0)
        if host not in self.hosts or {host, self.host} & self.cut:
            return failure(Code.UNREACHABLE, host)
        return await self.hosts[host].handle_handover(
            self.host, request, self.clock.now()
        )


async def _settle():
    for _ in range(SETTLE_TURNS):
        await asyncio.sleep(0)
