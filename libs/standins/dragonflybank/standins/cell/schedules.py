"""Schedules of overlapping faults for a cell in memory.

``python -m dragonflybank.standins.cell.schedules FIRST LAST`` plays the
schedules of some seeds and prints those that broke a rule.
"""

__all__ = ["FAULTS", "Strike", "draw_schedule", "play_schedule"]

import asyncio
import random
import sys
from collections.abc import Awaitable, Callable, Sequence

import attrs

from dragonflybank.standins.cell.executors import (
    ExecutorFaults,
    MemoryExecutor,
)
from dragonflybank.standins.cell.simulated_cell import (
    SimulatedCell,
    SubmissionLoad,
)
from dragonflybank.standins.cell.store import StoreFaults
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time

LOAD = SubmissionLoad(jobs_per_s=5.0, duration_s=12.0)
LAST_STRIKE_S = 12.0
MAX_STRIKES = 7
# The others must have room for the widest gang.
MAX_REPLACED = 2
LENGTHS_S = (0.2, 1.0, 2.5, 5.0)
SLOW_ANSWER_S = 0.25


@attrs.frozen
class Strike:
    """A fault of a schedule.

    Attributes:
        at: Time since the start of the load, in seconds.
        fault: Name of the fault.
        target: Number that chooses the host or the executor.
        for_s: How long it lasts, in seconds.
    """

    at: float
    fault: str
    target: int
    for_s: float


def play_schedule(seed: int, strikes: Sequence[Strike]) -> list[str]:
    """Plays a load with overlapping faults.

    Returns:
        A line for each rule that was broken.
    """
    return run_in_virtual_time(_play(seed, strikes))


def draw_schedule(seed: int) -> list[Strike]:
    """Returns the schedule of a seed."""
    rng = random.Random(seed)
    return [
        Strike(
            rng.uniform(0.0, LAST_STRIKE_S),
            rng.choice(sorted(FAULTS)),
            rng.randrange(100),
            rng.choice(LENGTHS_S),
        )
        for _ in range(rng.randint(1, MAX_STRIKES))
    ]


async def _play(seed: int, strikes: Sequence[Strike]) -> list[str]:
    cell = SimulatedCell(seed)
    await cell.start()
    striking = [asyncio.create_task(_strike(cell, each)) for each in strikes]
    found = await cell.run_load(LOAD)
    await asyncio.gather(*striking)
    return found


async def _strike(cell: SimulatedCell, strike: Strike) -> None:
    await asyncio.sleep(strike.at)
    await FAULTS[strike.fault](cell, strike)


def _host(cell: SimulatedCell, strike: Strike) -> str:
    """Returns the leader for every second target, or another host."""
    names = sorted(cell.hosts)
    if not names:
        return ""
    leader = cell.leader()
    return leader if strike.target % 2 and leader else _pick(names, strike)


def _executor(cell: SimulatedCell, strike: Strike) -> MemoryExecutor:
    return _pick(list(cell.executors.values()), strike)


def _pick(things: Sequence, strike: Strike):
    return things[strike.target // 2 % len(things)]


async def host_killed(cell: SimulatedCell, strike: Strike) -> None:
    """A host's process is killed and starts again."""
    await _end_host(cell, strike, power_off=False)


async def host_dark(cell: SimulatedCell, strike: Strike) -> None:
    """A host's machine loses power for some time."""
    await _end_host(cell, strike, power_off=True)


async def _end_host(
    cell: SimulatedCell, strike: Strike, *, power_off: bool
) -> None:
    name = _host(cell, strike)
    if not name:
        return
    cell.kill_host(name, power_off=power_off)
    await asyncio.sleep(strike.for_s)
    await cell.start_host(name)


async def host_seems_gone(cell: SimulatedCell, strike: Strike) -> None:
    """Connections to a live host are refused."""
    await _host_among(cell.refusing_hosts, cell, strike)


async def host_cut_from_store(cell: SimulatedCell, strike: Strike) -> None:
    """A host gets no answer from the store."""
    await _host_among(cell.store.faults.cut, cell, strike)


async def host_turned_away(cell: SimulatedCell, strike: Strike) -> None:
    """The store refuses a host."""
    await _host_among(cell.store.faults.refused, cell, strike)


async def host_cut_from_peers(cell: SimulatedCell, strike: Strike) -> None:
    """A host and its peers do not reach each other."""
    await _host_among(cell.cut_peers, cell, strike)


async def _host_among(
    names: set[str], cell: SimulatedCell, strike: Strike
) -> None:
    """Adds a host to a set of names for the time of the strike."""
    name = _host(cell, strike)
    names.add(name)
    await asyncio.sleep(strike.for_s)
    names.discard(name)


async def key_revoked(cell: SimulatedCell, strike: Strike) -> None:
    """The leader's key is taken away."""
    cell.store.revoke("leader")


async def store_silent(cell: SimulatedCell, strike: Strike) -> None:
    """The store does not answer."""
    await _store_fault(cell, strike, "is_down", True)


async def store_refusing(cell: SimulatedCell, strike: Strike) -> None:
    """The store refuses all calls."""
    await _store_fault(cell, strike, "is_refusing", True)


async def store_slow(cell: SimulatedCell, strike: Strike) -> None:
    """The store answers slowly."""
    await _store_fault(cell, strike, "answer_s", SLOW_ANSWER_S)


async def answers_lost(cell: SimulatedCell, strike: Strike) -> None:
    """A third of the writes are done without an answer."""
    await _store_fault(cell, strike, "lost_share", 0.3)


async def writes_late(cell: SimulatedCell, strike: Strike) -> None:
    """A third of the writes are done seconds later."""
    await _store_fault(cell, strike, "late_share", 0.3)


async def _store_fault(
    cell: SimulatedCell, strike: Strike, name: str, value
) -> None:
    await _fault(cell.store.faults, strike, name, value)


async def history_lost(cell: SimulatedCell, strike: Strike) -> None:
    """The store forgets its history."""
    cell.store.faults.is_history_lost = True


async def executor_cut(cell: SimulatedCell, strike: Strike) -> None:
    """An executor is cut off and runs on."""
    await _executor_fault(cell, strike, "is_cut", True)


async def orders_lost(cell: SimulatedCell, strike: Strike) -> None:
    """An executor carries out half of its orders without an answer."""
    await _executor_fault(cell, strike, "lost_share", 0.5)


async def orders_late(cell: SimulatedCell, strike: Strike) -> None:
    """An executor carries out half of its orders seconds later."""
    await _executor_fault(cell, strike, "late_share", 0.5)


async def executor_failing(cell: SimulatedCell, strike: Strike) -> None:
    """An executor fails all that it starts."""
    await _executor_fault(cell, strike, "fails_all", True)


async def executor_hanging(cell: SimulatedCell, strike: Strike) -> None:
    """What an executor runs makes no progress."""
    await _executor_fault(cell, strike, "hangs", True)


async def _executor_fault(
    cell: SimulatedCell, strike: Strike, name: str, value
) -> None:
    await _fault(_executor(cell, strike).faults, strike, name, value)


async def _fault(
    faults: StoreFaults | ExecutorFaults, strike: Strike, name: str, value
) -> None:
    """Sets a fault for the time of the strike."""
    usual = getattr(type(faults)(), name)
    setattr(faults, name, value)
    await asyncio.sleep(strike.for_s)
    setattr(faults, name, usual)


async def executor_crashed(cell: SimulatedCell, strike: Strike) -> None:
    """An executor crashes and starts again under its identity."""
    executor = _executor(cell, strike)
    if executor.faults.is_replaced:
        return
    executor.crash()
    await asyncio.sleep(strike.for_s)
    if executor.faults.is_crashed:
        executor.restart()
        cell.list_executor(executor)


async def executor_moves(cell: SimulatedCell, strike: Strike) -> None:
    """An executor crashes and starts again at another address."""
    executor = _executor(cell, strike)
    if executor.faults.is_replaced:
        return
    executor.crash()
    await asyncio.sleep(strike.for_s)
    if executor.faults.is_crashed:
        address = f"10.1.{strike.target}.{executor.info.incarnation}:80"
        executor.restart(address=address)
        cell.list_executor(executor)


async def executor_leaves(cell: SimulatedCell, strike: Strike) -> None:
    """An executor leaves after its notice; another life comes later."""
    executor = _executor(cell, strike)
    if executor.faults.is_replaced:
        return
    cell.drain_executor(executor, remaining_s=strike.for_s)
    await asyncio.sleep(strike.for_s)
    executor.crash()
    cell.unlist_executor(executor)
    await asyncio.sleep(3.0)
    if executor.faults.is_crashed:
        cell.restart_drained_executor(executor)


async def executor_replaced(cell: SimulatedCell, strike: Strike) -> None:
    """An executor crashes, and another one gets its address."""
    gone = [e for e in cell.executors.values() if e.faults.is_replaced]
    executor = _executor(cell, strike)
    if len(gone) < MAX_REPLACED and not executor.faults.is_crashed:
        executor.replace()
        await asyncio.sleep(strike.for_s)
        cell.unlist_executor(executor)


Fault = Callable[[SimulatedCell, Strike], Awaitable[None]]
FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        host_killed,
        host_dark,
        host_seems_gone,
        host_cut_from_store,
        host_turned_away,
        host_cut_from_peers,
        key_revoked,
        store_silent,
        store_refusing,
        store_slow,
        answers_lost,
        writes_late,
        history_lost,
        executor_cut,
        orders_lost,
        orders_late,
        executor_failing,
        executor_hanging,
        executor_crashed,
        executor_moves,
        executor_leaves,
        executor_replaced,
    )
}


def main(first: int, last: int) -> int:
    """Plays the schedules of some seeds and returns how many broke a rule."""
    broken = 0
    for seed in range(first, last + 1):
        strikes = draw_schedule(seed)
        found = play_schedule(seed, strikes)
        broken += bool(found)
        if found:
            print(f"seed {seed}: {found[:3]}, {strikes}", flush=True)
    print(f"{last + 1 - first} schedules, {broken} broke a rule")
    return broken


if __name__ == "__main__":
    sys.exit(1 if main(int(sys.argv[1]), int(sys.argv[2])) else 0)
