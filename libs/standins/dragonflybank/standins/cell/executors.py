"""Executors in memory: leases on their own clock, fences, late orders."""

__all__ = ["AttemptRun", "ExecutorFaults", "MemoryExecutor"]

import asyncio
import random
from collections.abc import Callable

import attrs
from returns.result import Result, Success

from dragonflybank.cell.jobs import Step, TaskId
from dragonflybank.cell.ports import (
    AttemptEnd,
    CommandReply,
    EndKind,
    ExecutorClient,
    ExecutorInfo,
    PollReply,
    RunningAttempt,
    StartCommand,
)
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.standins.cell.virtual_time import create_task_in_process

ANSWER_S = 0.003
TIMEOUT_S = 0.4
MAX_LEASE_S = 10.0
STOP_S = 0.3
GANG_S = 3.0


@attrs.define
class ExecutorFaults:
    """Faults of an executor, changed while it runs.

    Attributes:
        is_cut: Whether no host reaches it; what runs goes on.
        cut_hosts: Hosts that do not reach it.
        is_crashed: Whether it runs nothing and answers nothing.
        is_replaced: Whether another executor answers at its address.
        lost_share: Share of the orders that are carried out and not answered.
        late_share: Share of the orders that are carried out seconds later.
        fails_all: Whether all that it starts fails.
        hangs: Whether what it runs makes no progress.
        slowness: Factor on run times.
        breaks_caller: Whether the next call for lists raises an error in the
            calling host, as a programming error there would.
    """

    is_cut: bool = False
    cut_hosts: set[str] = attrs.field(factory=set)
    is_crashed: bool = False
    is_replaced: bool = False
    lost_share: float = 0.0
    late_share: float = 0.0
    fails_all: bool = False
    hangs: bool = False
    slowness: float = 1.0
    breaks_caller: bool = False


@attrs.define
class AttemptRun:
    """A run of an attempt, for the checks.

    Attributes:
        task: The task.
        attempt: Number of the attempt.
        executor: Executor and its incarnation.
        at: Time of its start.
        spec: Text of the order.
        ended_at: Time of its end, None while it runs.
        kind: How it ended.
        percent: How much of its work was done.
        was_late: Whether the order was carried out late.
        noted_at: Time at which its end was acknowledged, None before.
    """

    task: TaskId
    attempt: int
    executor: str
    at: float
    spec: str
    ended_at: float | None = None
    kind: EndKind | None = None
    percent: float = 0.0
    was_late: bool = False
    noted_at: float | None = None


class MemoryExecutor:
    """An executor; `client` returns it as one host reaches it.

    Attributes:
        info: What it says of itself.
        faults: Its present faults.
        started: All runs, for the checks.
        holds: Number of calls for its lists.
        overloaded: Times at which it was over its capacity.
        lapsed_at: Times at which it held no lease.

    Args:
        info: What it says of itself.
        step_of: Returns the declaration of a task, None if no caller sent it.
        run_s: Returns the true run time of a task.
        fails: Returns whether an attempt of a task fails.
        clock_rate: Speed of its clock.
        rng: Seeded generator.
    """

    def __init__(
        self,
        info: ExecutorInfo,
        *,
        step_of: Callable[[TaskId], Step | None],
        run_s: Callable[[TaskId], float],
        fails: Callable[[TaskId], bool],
        clock_rate: float,
        rng: random.Random,
    ):
        self.info = info
        self.faults = ExecutorFaults()
        self.runs: list[AttemptRun] = []
        self.holds = 0
        self.overloaded: list[float] = []
        self.lapsed_at: list[float] = []
        self._step_of = step_of
        self._run_s = run_s
        self._fails = fails
        self._rate = clock_rate
        self._rng = rng
        self._tasks: set[asyncio.Task] = set()
        self._begin()

    def client(self, host: str, *, address: str = "") -> ExecutorClient:
        """Returns the executor as a host reaches it.

        Args:
            host: Name of the host.
            address: Address at which it is looked for, its own by default.
        """
        return _Client(self, host, address or self.info.address)

    def crash(self) -> None:
        """Ends all that runs; nothing answers until `restart`."""
        self.faults.is_crashed = True
        for run in list(self.running.values()):
            run.ended_at, run.kind = self._now(), EndKind.LAPSED
        self.running.clear()

    def restart(self, *, address: str = "") -> None:
        """Starts it again as another incarnation with the same identity.

        Args:
            address: Its new address, by default the one that it had.
        """
        self.crash()
        self.faults.is_crashed = False
        self.info = attrs.evolve(
            self.info,
            incarnation=self.info.incarnation + 1,
            address=address or self.info.address,
        )
        self._begin()

    def replace(self) -> None:
        """Leaves its address to an executor of another identity, for good."""
        self.crash()
        self.faults.is_crashed = False
        self.faults.is_replaced = True

    def clock_s(self) -> float:
        """Returns its own steady clock."""
        return (self._now() - self._born) * self._rate + 1.0

    def used(self) -> tuple[int, int]:
        """Returns the thousandths of cores and the memory in use."""
        steps = [self._step_of(run.task) for run in self.running.values()]
        return (
            sum(s.millicores for s in steps if s),
            sum(s.memory_mb for s in steps if s),
        )

    def start(self, order: StartCommand, *, late: bool = False) -> CommandReply:
        """Carries out an order to start."""
        key = (order.task, order.attempt)
        if not self._take_epoch(order.epoch):
            return CommandReply.FENCED
        if key in self.running:
            self._extend(order.lease_until_s)
            return CommandReply.OK
        if order.attempt <= self._over.get(order.task, 0):
            self._extend(order.lease_until_s)
            return CommandReply.OLD
        if order.lease_until_s <= self.clock_s():
            return CommandReply.LATE
        self._extend(order.lease_until_s)
        run = AttemptRun(
            order.task,
            order.attempt,
            f"{self.info.id}/{self.info.incarnation}",
            self._now(),
            order.spec,
            was_late=late,
        )
        self.runs.append(run)
        self.running[key] = self._runs[key] = run
        cores, memory_mb = self.used()
        if cores > self.info.millicores or memory_mb > self.info.memory_mb:
            self.overloaded.append(self._now())
        self._spawn(self._run(run, self.info.incarnation))
        return CommandReply.OK

    def stop(self, task: TaskId, attempt: int, epoch: int) -> CommandReply:
        """Carries out an order to stop."""
        if not self._take_epoch(epoch):
            return CommandReply.FENCED
        self._over[task] = max(self._over.get(task, 0), attempt)
        run = self.running.get((task, attempt))
        if run is not None:
            self._spawn(self._stop(run))
        return CommandReply.OK

    async def poll(
        self, epoch: int, acked_end: int, lease_until_s: float, wait_s: float
    ) -> PollReply:
        """Carries out a renewal."""
        self.holds += 1
        if not self._take_epoch(epoch):
            return PollReply(CommandReply.FENCED)
        self._extend(lease_until_s)
        for end in self._ends:
            if end.number <= acked_end:
                self._runs[end.task, end.attempt].noted_at = self._now()
        self._ends = [e for e in self._ends if e.number > acked_end]
        if not self._ends:
            self._listed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._listed.wait()
            except TimeoutError:
                pass
        running = tuple(
            RunningAttempt(run.task, run.attempt, "", run.percent)
            for run in self.running.values()
        )
        return PollReply(
            CommandReply.OK,
            self.clock_s(),
            self.info.incarnation,
            running,
            tuple(self._ends[:500]),
        )

    async def call(self, host: str, address: str, work, *, is_order: bool):
        """Plays one call of a host with the present faults."""
        faults = self.faults
        await asyncio.sleep(ANSWER_S)
        incarnation = self.info.incarnation
        if not self.is_reached(host, address):
            await asyncio.sleep(TIMEOUT_S)
            return failure(Code.TIMED_OUT, "the executor is silent")
        if faults.is_replaced:
            return Success(CommandReply.OTHER_INSTANCE)
        drawn = self._rng.random()
        if is_order and drawn < faults.late_share:
            self._later(work, incarnation)
            await asyncio.sleep(TIMEOUT_S)
            return failure(Code.TIMED_OUT, "the answer was lost")
        found = work(False)
        if is_order and drawn < faults.late_share + faults.lost_share:
            await asyncio.sleep(TIMEOUT_S)
            return failure(Code.TIMED_OUT, "the answer was lost")
        return Success(found)

    def is_reached(self, host: str, address: str) -> bool:
        """Returns whether calls of a host to an address arrive."""
        faults = self.faults
        is_away = faults.is_cut or faults.is_crashed
        is_cut_off = is_away or host in faults.cut_hosts
        return not is_cut_off and address == self.info.address

    def _begin(self) -> None:
        self.running: dict[tuple[TaskId, int], AttemptRun] = {}
        self._runs: dict[tuple[TaskId, int], AttemptRun] = {}
        self._born = self._now()
        self._epoch = 0
        self._lease_until_s = 0.0
        self._ends: list[AttemptEnd] = []
        self._listed = asyncio.Event()
        self._number = 0
        self._over: dict[TaskId, int] = {}
        self._spawn(self._lapse(self.info.incarnation))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _spawn(self, work) -> None:
        # What an executor does goes on when the host that ordered it ends.
        task = create_task_in_process(self.info.id, work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _later(self, work, incarnation: int) -> None:
        async def late() -> None:
            await asyncio.sleep(self._rng.uniform(2.0, 12.0))
            if self.info.incarnation == incarnation:
                work(True)

        self._spawn(late())

    def _take_epoch(self, epoch: int) -> bool:
        if epoch < self._epoch:
            return False
        self._epoch = epoch
        return True

    def _extend(self, until_s: float) -> None:
        longest = self.clock_s() + MAX_LEASE_S
        self._lease_until_s = max(self._lease_until_s, min(until_s, longest))

    async def _lapse(self, incarnation: int) -> None:
        while self.info.incarnation == incarnation:
            await asyncio.sleep(0.05)
            if self.clock_s() >= self._lease_until_s:
                self.lapsed_at.append(self._now())
                for run in list(self.running.values()):
                    self._end(run, EndKind.LAPSED)

    async def _stop(self, run: AttemptRun) -> None:
        await asyncio.sleep(STOP_S)
        self._end(run, EndKind.STOPPED)

    async def _run(self, run: AttemptRun, incarnation: int) -> None:
        step = self._step_of(run.task)
        left_s = self._run_s(run.task)
        whole_s = left_s
        waits_until = self._now() + GANG_S
        while left_s > 0 or (step and step.lasting):
            await asyncio.sleep(0.05)
            if run.ended_at is not None or self.info.incarnation != incarnation:
                return
            if step and step.gang and not self._is_gang_present(run, step):
                if self._now() > waits_until:
                    self._end(run, EndKind.ALONE)
                    return
                continue
            if not self.faults.hangs:
                left_s -= 0.05 / self.faults.slowness
                run.percent = min(99.0, 100.0 * (1 - left_s / whole_s))
        failed = self.faults.fails_all or self._fails(run.task)
        self._end(run, EndKind.FAILED if failed else EndKind.DONE)

    def _is_gang_present(self, run: AttemptRun, step: Step) -> bool:
        return self.gang_size(run) >= step.count

    def gang_size(self, run: AttemptRun) -> int:
        """Returns the present members of a run's gang; set by the world."""
        return 1_000_000

    def gang_ended(self, run: AttemptRun, kind: EndKind) -> None:
        """Lets the world end the other members; set by the world."""

    def end_from_outside(self, run: AttemptRun, kind: EndKind) -> None:
        """Ends a run since another member of its gang ended."""
        if run.ended_at is None:
            self._end(run, kind, alone=True)

    def _end(
        self, run: AttemptRun, kind: EndKind, *, alone: bool = False
    ) -> None:
        key = (run.task, run.attempt)
        if self.running.pop(key, None) is None:
            return
        run.ended_at, run.kind = self._now(), kind
        if kind is EndKind.DONE:
            run.percent = 100.0
        self._over[run.task] = max(self._over.get(run.task, 0), run.attempt)
        self._number += 1
        self._ends.append(AttemptEnd(self._number, run.task, run.attempt, kind))
        self._listed.set()
        if not alone:
            self.gang_ended(run, kind)


class _Client(ExecutorClient):
    def __init__(self, executor: MemoryExecutor, host: str, address: str):
        self._executor = executor
        self._host = host
        self._address = address

    async def start(self, order: StartCommand) -> Result[CommandReply, Problem]:
        return await self._executor.call(
            self._host,
            self._address,
            lambda late: self._executor.start(order, late=late),
            is_order=True,
        )

    async def stop(
        self, task: TaskId, attempt: int, *, epoch: int
    ) -> Result[CommandReply, Problem]:
        return await self._executor.call(
            self._host,
            self._address,
            lambda late: self._executor.stop(task, attempt, epoch),
            is_order=True,
        )

    async def poll(
        self, *, epoch: int, acked_end: int, lease_until_s: float, wait_s: float
    ) -> Result[PollReply, Problem]:
        executor = self._executor
        if executor.faults.breaks_caller:
            executor.faults.breaks_caller = False
            raise RuntimeError("a programming error in the host")
        await asyncio.sleep(ANSWER_S)
        if not executor.is_reached(self._host, self._address):
            await asyncio.sleep(TIMEOUT_S + wait_s)
            return failure(Code.TIMED_OUT, "the executor is silent")
        if executor.faults.is_replaced:
            return Success(PollReply(CommandReply.OTHER_INSTANCE))
        held = await executor.poll(epoch, acked_end, lease_until_s, wait_s)
        if not executor.is_reached(self._host, self._address):
            await asyncio.sleep(TIMEOUT_S)
            return failure(Code.TIMED_OUT, "the executor is silent")
        return Success(held)

    async def throttle(
        self, task: TaskId, attempt: int, *, percent: int, epoch: int
    ) -> Result[CommandReply, Problem]:
        return Success(CommandReply.OK)

    async def close(self) -> None:
        """Nothing is open."""
