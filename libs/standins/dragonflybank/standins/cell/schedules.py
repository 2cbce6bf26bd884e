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
from dragonflybank.standins.cell.simulated_cell import Load, World
from dragonflybank.standins.cell.store import StoreFaults
from dragonflybank.standins.cell.virtual_time import play

LOAD = Load(jobs_per_s=5.0, seconds=12.0)
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
    return play(_play(seed, strikes))


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
    world = World(seed)
    await world.start()
    striking = [asyncio.create_task(_strike(world, each)) for each in strikes]
    found = await world.run(LOAD)
    await asyncio.gather(*striking)
    return found


async def _strike(world: World, strike: Strike) -> None:
    await asyncio.sleep(strike.at)
    await FAULTS[strike.fault](world, strike)


def _host(world: World, strike: Strike) -> str:
    """Returns the leader for every second target, or another host."""
    names = sorted(world.hosts)
    if not names:
        return ""
    leader = world.leader()
    return leader if strike.target % 2 and leader else _pick(names, strike)


def _executor(world: World, strike: Strike) -> MemoryExecutor:
    return _pick(list(world.executors.values()), strike)


def _pick(things: Sequence, strike: Strike):
    return things[strike.target // 2 % len(things)]


async def host_killed(world: World, strike: Strike) -> None:
    """A host's process is killed and starts again."""
    await _end_host(world, strike, power=False)


async def host_dark(world: World, strike: Strike) -> None:
    """A host's machine loses power for some time."""
    await _end_host(world, strike, power=True)


async def _end_host(world: World, strike: Strike, *, power: bool) -> None:
    name = _host(world, strike)
    if not name:
        return
    world.kill_host(name, power=power)
    await asyncio.sleep(strike.for_s)
    await world.start_host(name)


async def host_seems_gone(world: World, strike: Strike) -> None:
    """Connections to a live host are refused."""
    await _host_among(world.refusing, world, strike)


async def host_cut_from_store(world: World, strike: Strike) -> None:
    """A host gets no answer from the store."""
    await _host_among(world.store.faults.cut, world, strike)


async def host_turned_away(world: World, strike: Strike) -> None:
    """The store refuses a host."""
    await _host_among(world.store.faults.refused, world, strike)


async def host_cut_from_peers(world: World, strike: Strike) -> None:
    """A host and its peers do not reach each other."""
    await _host_among(world.cut_peers, world, strike)


async def _host_among(names: set[str], world: World, strike: Strike) -> None:
    """Adds a host to a set of names for the time of the strike."""
    name = _host(world, strike)
    names.add(name)
    await asyncio.sleep(strike.for_s)
    names.discard(name)


async def key_revoked(world: World, strike: Strike) -> None:
    """The leader's key is taken away."""
    world.store.revoke("leader")


async def store_silent(world: World, strike: Strike) -> None:
    """The store does not answer."""
    await _store_fault(world, strike, "is_down", True)


async def store_refusing(world: World, strike: Strike) -> None:
    """The store refuses all calls."""
    await _store_fault(world, strike, "is_refusing", True)


async def store_slow(world: World, strike: Strike) -> None:
    """The store answers slowly."""
    await _store_fault(world, strike, "answer_s", SLOW_ANSWER_S)


async def answers_lost(world: World, strike: Strike) -> None:
    """A third of the writes are done without an answer."""
    await _store_fault(world, strike, "lost_share", 0.3)


async def writes_late(world: World, strike: Strike) -> None:
    """A third of the writes are done seconds later."""
    await _store_fault(world, strike, "late_share", 0.3)


async def _store_fault(world: World, strike: Strike, name: str, value) -> None:
    await _fault(world.store.faults, strike, name, value)


async def history_lost(world: World, strike: Strike) -> None:
    """The store forgets its history."""
    world.store.faults.is_history_lost = True


async def executor_cut(world: World, strike: Strike) -> None:
    """An executor is cut off and runs on."""
    await _executor_fault(world, strike, "is_cut", True)


async def orders_lost(world: World, strike: Strike) -> None:
    """An executor carries out half of its orders without an answer."""
    await _executor_fault(world, strike, "lost_share", 0.5)


async def orders_late(world: World, strike: Strike) -> None:
    """An executor carries out half of its orders seconds later."""
    await _executor_fault(world, strike, "late_share", 0.5)


async def executor_failing(world: World, strike: Strike) -> None:
    """An executor fails all that it starts."""
    await _executor_fault(world, strike, "fails_all", True)


async def executor_hanging(world: World, strike: Strike) -> None:
    """What an executor runs makes no progress."""
    await _executor_fault(world, strike, "hangs", True)


async def _executor_fault(
    world: World, strike: Strike, name: str, value
) -> None:
    await _fault(_executor(world, strike).faults, strike, name, value)


async def _fault(
    faults: StoreFaults | ExecutorFaults, strike: Strike, name: str, value
) -> None:
    """Sets a fault for the time of the strike."""
    usual = getattr(type(faults)(), name)
    setattr(faults, name, value)
    await asyncio.sleep(strike.for_s)
    setattr(faults, name, usual)


async def executor_crashed(world: World, strike: Strike) -> None:
    """An executor crashes and starts again under its identity."""
    executor = _executor(world, strike)
    if executor.faults.is_replaced:
        return
    executor.crash()
    await asyncio.sleep(strike.for_s)
    if executor.faults.is_crashed:
        executor.restart()
        world.list_executor(executor)


async def executor_moves(world: World, strike: Strike) -> None:
    """An executor crashes and starts again at another address."""
    executor = _executor(world, strike)
    if executor.faults.is_replaced:
        return
    executor.crash()
    await asyncio.sleep(strike.for_s)
    if executor.faults.is_crashed:
        address = f"10.1.{strike.target}.{executor.info.incarnation}:80"
        executor.restart(address=address)
        world.list_executor(executor)


async def executor_leaves(world: World, strike: Strike) -> None:
    """An executor leaves after its notice; another life comes later."""
    executor = _executor(world, strike)
    if executor.faults.is_replaced:
        return
    world.drain_executor(executor, left_s=strike.for_s)
    await asyncio.sleep(strike.for_s)
    executor.crash()
    world.unlist_executor(executor)
    await asyncio.sleep(3.0)
    if executor.faults.is_crashed:
        world.replace_executor(executor)


async def executor_replaced(world: World, strike: Strike) -> None:
    """An executor crashes, and another one gets its address."""
    gone = [e for e in world.executors.values() if e.faults.is_replaced]
    executor = _executor(world, strike)
    if len(gone) < MAX_REPLACED and not executor.faults.is_crashed:
        executor.replace()
        await asyncio.sleep(strike.for_s)
        world.unlist_executor(executor)


Fault = Callable[[World, Strike], Awaitable[None]]
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
