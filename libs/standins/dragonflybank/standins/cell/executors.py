"""Executors in memory.

They keep leases on their own clock, and refuse commands of older epochs and
starts without a valid ticket. `executor_calls` has the calls that reach them.
"""

__all__ = ["AttemptRun", "ExecutorFaults", "MemoryExecutor"]

import asyncio
import random
from collections.abc import Callable, Coroutine

import attrs

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
from dragonflybank.standins.cell.executor_calls import MemoryExecutorClient
from dragonflybank.standins.cell.virtual_time import create_task_in_process

MAX_LEASE_S = 10.0
MAX_FIRST_CLOCK_S = 10_000.0
STOP_DURATION_S = 0.3
GANG_ASSEMBLY_TIMEOUT_S = 3.0


@attrs.define
class ExecutorFaults:
    """Faults of an executor; they may change while it runs.

    Attributes:
        is_cut: Whether no host reaches it; its attempts go on running.
        cut_hosts: Hosts that don't reach it.
        is_crashed: Whether its process has ended.
        is_replaced: Whether an executor with another identifier answers at
            its address.
        lost_share: Share of the calls that take effect without an answer.
        late_share: Share of the calls that time out and take effect later, in
            the incarnation that there is then.
        late_range_s: Shortest and longest delay of such calls, in seconds.
        max_delay_s: Greatest delay of each call and of each answer, in
            seconds; they may overtake each other.
        fails_all: Whether each attempt fails at its end.
        hangs: Whether its attempts make no progress.
        slowdown: Factor by which run times grow.
        raises_in_caller: Whether the next poll raises an error in the calling
            host, as a programming error there would.
    """

    is_cut: bool = False
    cut_hosts: set[str] = attrs.field(factory=set)
    is_crashed: bool = False
    is_replaced: bool = False
    lost_share: float = 0.0
    late_share: float = 0.0
    late_range_s: tuple[float, float] = (2.0, 12.0)
    max_delay_s: float = 0.0
    fails_all: bool = False
    hangs: bool = False
    slowdown: float = 1.0
    raises_in_caller: bool = False


@attrs.define
class AttemptRun:
    """A run of an attempt at an executor, which the checks judge.

    Attributes:
        task: The task.
        attempt: Number of the attempt.
        executor: Identifier and incarnation of the executor.
        started_at: Time of its start.
        spec: Specification of the job in the start command.
        ended_at: Time of its end, None while it runs.
        end_kind: How it ended, None while it runs.
        percent: Progress of its work in percent.
        was_late: Whether the start command took effect late.
        acked_at: Time at which its end was acknowledged, None before.
    """

    task: TaskId
    attempt: int
    executor: str
    started_at: float
    spec: str
    ended_at: float | None = None
    end_kind: EndKind | None = None
    percent: float = 0.0
    was_late: bool = False
    acked_at: float | None = None


class MemoryExecutor:
    """The state of an executor; `client` returns a host's access to it.

    Attributes:
        info: Its entry in the store.
        faults: Faults in force.
        runs: All runs of all incarnations, which the checks judge.
        poll_count: Number of polls by hosts.
        overloaded_at: Times at which its attempts exceeded its capacity.
        lapsed_at: Times at which it held no valid lease, in ascending order.
        rng: Generator of its faults.

    Args:
        info: Its entry in the store.
        find_step: Returns the step of a task, None if no caller submitted its
            job.
        run_time_s: Returns the run time of a task in seconds.
        does_fail: Returns whether attempts of a task fail.
        ticket_valid_s: Returns for how long tickets for a task are valid, in
            seconds; None if it needs no ticket.
        clock_rate: Speed of its clock relative to true time.
        rng: Seeded generator.
    """

    def __init__(
        self,
        info: ExecutorInfo,
        *,
        find_step: Callable[[TaskId], Step | None],
        run_time_s: Callable[[TaskId], float],
        does_fail: Callable[[TaskId], bool],
        ticket_valid_s: Callable[[TaskId], float | None],
        clock_rate: float,
        rng: random.Random,
    ):
        self.info = info
        self.faults = ExecutorFaults()
        self.runs: list[AttemptRun] = []
        self.poll_count = 0
        self.overloaded_at: list[float] = []
        self.lapsed_at: list[float] = []
        self._find_step = find_step
        self._run_time_s = run_time_s
        self._does_fail = does_fail
        self._ticket_valid_s = ticket_valid_s
        self._clock_rate = clock_rate
        self.rng = rng
        self._tasks: set[asyncio.Task] = set()
        self._start_incarnation()

    def client(self, host: str, *, address: str = "") -> ExecutorClient:
        """Returns a host's client, whose calls are subject to the faults.

        Args:
            host: Name of the host.
            address: Address that the host calls, by default the executor's
                current one.
        """
        return MemoryExecutorClient(self, host, address or self.info.address)

    def crash(self) -> None:
        """Ends all attempts; no call is answered until `restart`."""
        self.faults.is_crashed = True
        for run in list(self.running.values()):
            run.ended_at, run.end_kind = self._now(), EndKind.LAPSED
        self.running.clear()

    def restart(self, *, address: str = "") -> None:
        """Starts a new incarnation with the same identifier.

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
        self._start_incarnation()

    async def restart_after(self, dark_s: float) -> None:
        """Crashes, and restarts at the same address.

        Args:
            dark_s: Time during which no call is answered, in seconds.
        """
        self.crash()
        await asyncio.sleep(dark_s)
        if self.faults.is_crashed:
            self.restart()

    def replace(self) -> None:
        """Gives its address to an executor with another identifier for good."""
        self.crash()
        self.faults.is_crashed = False
        self.faults.is_replaced = True

    def clock_s(self) -> float:
        """Returns the time of its own monotonic clock in seconds.

        Each incarnation's clock starts at another value.
        """
        passed_s = (self._now() - self._started_at) * self._clock_rate
        return self._first_clock_s + passed_s

    def used_capacity(self) -> tuple[int, int]:
        """Returns the thousandths of cores and the MiB of memory in use."""
        steps = [self._find_step(run.task) for run in self.running.values()]
        return (
            # Filling tasks reserve no cores.
            sum(s.millicores for s in steps if s and not s.filling),
            sum(s.memory_mb for s in steps if s),
        )

    def start(
        self, command: StartCommand, *, late: bool = False
    ) -> CommandReply:
        """Executes a start command.

        Args:
            command: The command.
            late: Whether it arrives late, as `ExecutorFaults.late_share` says.
        """
        key = (command.task, command.attempt)
        if not self._accept_epoch(command.epoch):
            return CommandReply.FENCED
        if key in self.running:
            self._extend_lease(command.lease_until_s)
            return CommandReply.OK
        if command.attempt <= self._last_ended_attempt.get(command.task, 0):
            self._extend_lease(command.lease_until_s)
            return CommandReply.OLD
        if command.lease_until_s <= self.clock_s():
            return CommandReply.LATE
        if not self._accepts_ticket(command):
            return CommandReply.NO_TICKET
        self._extend_lease(command.lease_until_s)
        run = AttemptRun(
            command.task,
            command.attempt,
            f"{self.info.id}/{self.info.incarnation}",
            self._now(),
            command.spec,
            was_late=late,
        )
        self.runs.append(run)
        self.running[key] = self._runs[key] = run
        self.on_run_started(run)
        cores, memory_mb = self.used_capacity()
        if cores > self.info.millicores or memory_mb > self.info.memory_mb:
            self.overloaded_at.append(self._now())
        self.spawn(self._run(run, self.info.incarnation))
        return CommandReply.OK

    def stop(self, task: TaskId, attempt: int, epoch: int) -> CommandReply:
        """Executes a stop command."""
        if not self._accept_epoch(epoch):
            return CommandReply.FENCED
        self._last_ended_attempt[task] = max(
            self._last_ended_attempt.get(task, 0), attempt
        )
        run = self.running.get((task, attempt))
        if run is not None:
            self.spawn(self._stop_run(run))
        return CommandReply.OK

    async def poll(
        self, epoch: int, acked_end: int, lease_until_s: float, wait_s: float
    ) -> PollReply:
        """Renews the lease and returns the running and the ended attempts.

        Waits up to ``wait_s`` seconds for an ended attempt.
        """
        self.poll_count += 1
        if not self._accept_epoch(epoch):
            return PollReply(CommandReply.FENCED)
        self._extend_lease(lease_until_s)
        for end in self._ends:
            if end.number <= acked_end:
                self._runs[end.task, end.attempt].acked_at = self._now()
        self._ends = [e for e in self._ends if e.number > acked_end]
        if not self._ends:
            self._has_new_end.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._has_new_end.wait()
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

    def is_reachable(self, host: str, address: str) -> bool:
        """Returns whether calls of a host to an address reach the executor."""
        faults = self.faults
        is_silent = faults.is_cut or faults.is_crashed
        is_cut_off = is_silent or host in faults.cut_hosts
        return not is_cut_off and address == self.info.address

    def is_serving(self, address: str) -> bool:
        """Returns whether it runs at an address, cut off or not."""
        faults = self.faults
        has_ended = faults.is_crashed or faults.is_replaced
        return not has_ended and address == self.info.address

    def draw_delay_s(self) -> float:
        """Returns the delay of a call or of an answer, in seconds."""
        longest = self.faults.max_delay_s
        return self.rng.uniform(0.0, longest) if longest else 0.0

    def spawn(self, coro: Coroutine) -> None:
        """Starts a task that goes on when the calling host is killed."""
        task = create_task_in_process(self.info.id, coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _start_incarnation(self) -> None:
        self.running: dict[tuple[TaskId, int], AttemptRun] = {}
        self._runs: dict[tuple[TaskId, int], AttemptRun] = {}
        self._started_at = self._now()
        self._first_clock_s = self.rng.uniform(1.0, MAX_FIRST_CLOCK_S)
        self._epoch = 0
        self._lease_until_s = 0.0
        self._ends: list[AttemptEnd] = []
        self._has_new_end = asyncio.Event()
        self._last_end_number = 0
        self._last_ended_attempt: dict[TaskId, int] = {}
        self.spawn(self._watch_lease(self.info.incarnation))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _accept_epoch(self, epoch: int) -> bool:
        if epoch < self._epoch:
            return False
        self._epoch = epoch
        return True

    def _accepts_ticket(self, command: StartCommand) -> bool:
        """Returns whether a start has a valid ticket or needs none.

        The stand-in of the advice service in `memory_platform` issues tickets
        of the form step/executor/incarnation/time. A ticket without the last
        two is valid at any time, in any incarnation.
        """
        valid_s = self._ticket_valid_s(command.task)
        if valid_s is None:
            return True
        step = str(command.task).rpartition(".")[0]
        named_step, _, rest = command.ticket.partition("/")
        executor, _, stamp = rest.partition("/")
        if (named_step, executor) != (step, self.info.id):
            return False
        if not stamp:
            return True
        incarnation, _, issued_at = stamp.partition("/")
        return (
            int(incarnation) == self.info.incarnation
            and self._now() - float(issued_at) <= valid_s
        )

    def _extend_lease(self, until_s: float) -> None:
        longest = self.clock_s() + MAX_LEASE_S
        self._lease_until_s = max(self._lease_until_s, min(until_s, longest))

    async def _watch_lease(self, incarnation: int) -> None:
        while self.info.incarnation == incarnation:
            await asyncio.sleep(0.05)
            if self.clock_s() >= self._lease_until_s:
                self.lapsed_at.append(self._now())
                for run in list(self.running.values()):
                    self._end(run, EndKind.LAPSED)

    async def _stop_run(self, run: AttemptRun) -> None:
        await asyncio.sleep(STOP_DURATION_S)
        self._end(run, EndKind.STOPPED)

    async def _run(self, run: AttemptRun, incarnation: int) -> None:
        step = self._find_step(run.task)
        remaining_s = self._run_time_s(run.task)
        total_s = remaining_s
        assembly_deadline = self._now() + GANG_ASSEMBLY_TIMEOUT_S
        while remaining_s > 0 or (step and step.lasting):
            await asyncio.sleep(0.05)
            if run.ended_at is not None or self.info.incarnation != incarnation:
                return
            if step and step.gang and not self._is_gang_present(run, step):
                if self._now() > assembly_deadline:
                    self._end(run, EndKind.ALONE)
                    return
                continue
            if not self.faults.hangs:
                remaining_s -= 0.05 / self.faults.slowdown
                run.percent = min(99.0, 100.0 * (1 - remaining_s / total_s))
        failed = self.faults.fails_all or self._does_fail(run.task)
        self._end(run, EndKind.FAILED if failed else EndKind.DONE)

    def _is_gang_present(self, run: AttemptRun, step: Step) -> bool:
        return self.count_gang_members(run) >= step.count

    def on_run_started(self, run: AttemptRun) -> None:
        """Called with each run at its start.

        `SimulatedCell` replaces it.
        """

    def count_gang_members(self, run: AttemptRun) -> int:
        """Returns the number of tasks of a run's gang that run now.

        `SimulatedCell` replaces it, since it knows the other executors.
        """
        return 1_000_000

    def on_gang_member_ended(self, run: AttemptRun, kind: EndKind) -> None:
        """Called when a member of a gang ended here, to end the others.

        `SimulatedCell` replaces it.
        """

    def end_by_gang(self, run: AttemptRun, kind: EndKind) -> None:
        """Ends a run because another member of its gang ended."""
        if run.ended_at is None:
            self._end(run, kind, by_gang=True)

    def _end(
        self, run: AttemptRun, kind: EndKind, *, by_gang: bool = False
    ) -> None:
        key = (run.task, run.attempt)
        # A later incarnation may run an attempt of the same number.
        if self.running.get(key) is not run:
            return
        del self.running[key]
        run.ended_at, run.end_kind = self._now(), kind
        if kind is EndKind.DONE:
            run.percent = 100.0
        self._last_ended_attempt[run.task] = max(
            self._last_ended_attempt.get(run.task, 0), run.attempt
        )
        self._last_end_number += 1
        self._ends.append(
            AttemptEnd(self._last_end_number, run.task, run.attempt, kind)
        )
        self._has_new_end.set()
        if not by_gang:
            self.on_gang_member_ended(run, kind)
