"""Faults of a soak; each puts itself in force, waits and ends."""

__all__ = ["FAULTS", "heal"]

import asyncio
import random
from collections.abc import Awaitable, Callable

from dragonflybank.bench.soak.process_cell import SoakWorld
from dragonflybank.bench.soak.processes import HostProcess

Fault = Callable[[SoakWorld, random.Random], Awaitable[None]]
# Past a lease of the leader's key (2 s) and of executors (6 s).
PAUSE_S = (0.5, 9.0)
OUTAGE_S = (0.5, 6.0)
SHORT_S = (0.5, 3.0)


def heal(world: SoakWorld) -> None:
    """Ends all faults."""
    faults = world.store.faults
    faults.is_down = faults.is_refusing = False
    faults.cut_hosts.clear()
    faults.refused_hosts.clear()
    faults.lost_share = faults.late_share = 0.0
    faults.round_trip_s = 0.004
    for host in world.processes.values():
        host.wake()
        host.front.heal()
        host.store.heal()
    for proxy in world.executor_proxies.values():
        proxy.heal()
    for executor in world.executors.values():
        found = executor.faults
        found.is_cut = found.fails_all = found.hangs = False
        found.lost_share = found.late_share = 0.0
        found.slowdown = 1.0
        if found.is_crashed:
            executor.restart()


def _some_host(world: SoakWorld, rng: random.Random) -> HostProcess:
    """Returns the leader half of the time."""
    leader = world.leader()
    if leader and rng.random() < 0.5:
        return world.processes[leader]
    return rng.choice(list(world.processes.values()))


async def host_killed(world: SoakWorld, rng: random.Random) -> None:
    """A host is killed."""
    _some_host(world, rng).kill()


async def all_killed(world: SoakWorld, rng: random.Random) -> None:
    """All hosts are killed at once."""
    for host in world.processes.values():
        host.kill()


async def host_paused(world: SoakWorld, rng: random.Random) -> None:
    """A host is paused."""
    host = _some_host(world, rng)
    host.pause()
    await asyncio.sleep(rng.uniform(*PAUSE_S))
    host.wake()


async def rolling_stop(world: SoakWorld, rng: random.Random) -> None:
    """All hosts are stopped gracefully in turn."""
    for host in world.processes.values():
        host.terminate()
        await asyncio.sleep(rng.uniform(1.0, 4.0))


async def host_reloaded(world: SoakWorld, rng: random.Random) -> None:
    """The settings of a host change."""
    _some_host(world, rng).reload()


async def clock_stepped(world: SoakWorld, rng: random.Random) -> None:
    """The time of day of a host jumps, and back again."""
    host = _some_host(world, rng)
    host.set_clock(rng.uniform(-6.0, 6.0))
    await asyncio.sleep(rng.uniform(*OUTAGE_S))
    host.set_clock(0.0)


async def store_down(world: SoakWorld, rng: random.Random) -> None:
    """The store does not answer, or refuses all."""
    faults = world.store.faults
    faults.pauses_leases = rng.random() < 0.5
    is_refusing = rng.random() < 0.3
    faults.is_refusing, faults.is_down = is_refusing, not is_refusing
    await asyncio.sleep(rng.uniform(*OUTAGE_S))
    faults.is_refusing = faults.is_down = False


async def store_slow(world: SoakWorld, rng: random.Random) -> None:
    """The store is slow."""
    world.store.faults.round_trip_s = rng.uniform(0.1, 0.5)
    await asyncio.sleep(rng.uniform(*OUTAGE_S))
    world.store.faults.round_trip_s = 0.004


async def writes_lost(world: SoakWorld, rng: random.Random) -> None:
    """Writes are done without an answer, or late."""
    faults = world.store.faults
    faults.lost_share, faults.late_share = rng.choice(((0.3, 0.0), (0.0, 0.3)))
    await asyncio.sleep(rng.uniform(*SHORT_S))
    faults.lost_share = faults.late_share = 0.0


async def history_lost(world: SoakWorld, rng: random.Random) -> None:
    """The store forgets its history."""
    world.store.faults.is_history_lost = True


async def host_cut_from_store(world: SoakWorld, rng: random.Random) -> None:
    """The store turns a host away while it serves the others."""
    host = _some_host(world, rng)
    chosen = rng.choice(
        (world.store.faults.cut_hosts, world.store.faults.refused_hosts)
    )
    chosen.add(host.name)
    host.disturb()
    await asyncio.sleep(rng.uniform(*OUTAGE_S))
    chosen.discard(host.name)
    host.disturb()


async def leader_key_lost(world: SoakWorld, rng: random.Random) -> None:
    """The leader's key goes without a sign to the leader."""
    world.store.revoke("leader")


async def links_disturbed(world: SoakWorld, rng: random.Random) -> None:
    """Connections of a host are reset, silenced, delayed or cut one way."""
    host = _some_host(world, rng)
    proxy = rng.choice((host.front, host.store))
    host.disturb()
    match rng.randrange(4):
        case 0:
            proxy.reset()
        case 1:
            proxy.silence()
        case 2:
            proxy.delay_s = rng.uniform(0.02, 0.3)
        case 3:
            proxy.cut(rng.randrange(2))
    await asyncio.sleep(rng.uniform(*SHORT_S))
    proxy.heal()
    host.disturb()


async def executor_links(world: SoakWorld, rng: random.Random) -> None:
    """Connections to an executor are reset, silenced or delayed."""
    proxy = rng.choice(list(world.executor_proxies.values()))
    match rng.randrange(3):
        case 0:
            proxy.reset()
        case 1:
            proxy.silence()
        case 2:
            proxy.delay_s = rng.uniform(0.02, 0.2)
    await asyncio.sleep(rng.uniform(*SHORT_S))
    proxy.heal()


async def executor_cut(world: SoakWorld, rng: random.Random) -> None:
    """An executor is cut off and runs on."""
    executor = rng.choice(list(world.executors.values()))
    executor.faults.is_cut = True
    await asyncio.sleep(rng.uniform(*PAUSE_S))
    executor.faults.is_cut = False


async def executor_crashed(world: SoakWorld, rng: random.Random) -> None:
    """An executor crashes and comes back under its identity."""
    executor = rng.choice(list(world.executors.values()))
    if executor.faults.is_crashed or executor.info.draining:
        return
    executor.crash()
    await asyncio.sleep(rng.uniform(*OUTAGE_S))
    if executor.faults.is_crashed:
        executor.restart()
        world.write_executor_entry(executor)


async def executor_leaves(world: SoakWorld, rng: random.Random) -> None:
    """An executor says that it leaves, leaves, and another life follows."""
    executor = rng.choice(list(world.executors.values()))
    if executor.faults.is_crashed or executor.info.draining:
        return
    left_s = rng.uniform(1.0, 4.0)
    world.drain_executor(executor, remaining_s=left_s)
    await asyncio.sleep(left_s)
    executor.crash()
    world.remove_executor_entry(executor)
    await asyncio.sleep(rng.uniform(*SHORT_S))
    world.restart_drained_executor(executor)


async def orders_late(world: SoakWorld, rng: random.Random) -> None:
    """Orders are carried out without an answer, or late."""
    executors = list(world.executors.values())
    for executor in executors:
        executor.faults.late_share = 0.1
        executor.faults.lost_share = 0.1
    await asyncio.sleep(rng.uniform(*SHORT_S))
    for executor in executors:
        executor.faults.late_share = executor.faults.lost_share = 0.0


async def executor_sick(world: SoakWorld, rng: random.Random) -> None:
    """An executor fails all it starts, stands still or is slow."""
    faults = rng.choice(list(world.executors.values())).faults
    match rng.randrange(3):
        case 0:
            faults.fails_all = True
        case 1:
            faults.hangs = True
        case 2:
            faults.slowdown = 6.0
    await asyncio.sleep(rng.uniform(*OUTAGE_S))
    faults.fails_all = faults.hangs = False
    faults.slowdown = 1.0


async def config_changed(world: SoakWorld, rng: random.Random) -> None:
    """Configurations come in quick succession."""
    for _ in range(rng.randint(1, 4)):
        world.configure()
        await asyncio.sleep(rng.uniform(0.0, 0.6))


FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        host_killed,
        all_killed,
        host_paused,
        rolling_stop,
        host_reloaded,
        clock_stepped,
        store_down,
        store_slow,
        writes_lost,
        history_lost,
        host_cut_from_store,
        leader_key_lost,
        links_disturbed,
        executor_links,
        executor_cut,
        executor_crashed,
        executor_leaves,
        orders_late,
        executor_sick,
        config_changed,
    )
}
