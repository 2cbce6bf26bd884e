"""Faults of the soak; each coroutine sets its fault, waits and clears it."""

__all__ = ["FAULTS", "TROUBLES", "end_faults"]

import asyncio
import random
from collections.abc import Awaitable, Callable

from dragonflybank.bench.soak.outages import OUTAGE_FAULTS
from dragonflybank.bench.soak.process_cell import ProcessCell
from dragonflybank.bench.soak.processes import HostProcess
from dragonflybank.bench.soak.restarts import RESTART_FAULTS

Fault = Callable[[ProcessCell, random.Random], Awaitable[None]]
# Up to more than the leases of the leader's key (2 s) and of executors (6 s).
PAUSE_RANGE_S = (0.5, 9.0)
OUTAGE_RANGE_S = (0.5, 6.0)
SHORT_FAULT_RANGE_S = (0.5, 3.0)


def end_faults(cell: ProcessCell) -> None:
    """Ends all faults."""
    faults = cell.store.faults
    faults.is_down = faults.is_refusing = False
    faults.cut_hosts.clear()
    faults.refused_hosts.clear()
    faults.lost_share = faults.late_share = faults.watch_delay_s = 0.0
    faults.round_trip_s = 0.004
    for host in cell.processes.values():
        host.resume()
        host.caller_proxy.end_faults()
        host.store_proxy.end_faults()
    for proxy in cell.executor_proxies.values():
        proxy.end_faults()
    cell.silent_executors.clear()
    for executor in cell.executors.values():
        switches = executor.faults
        switches.is_cut = switches.fails_all = switches.hangs = False
        switches.lost_share = switches.late_share = 0.0
        switches.max_delay_s = 0.0
        switches.slowdown = 1.0
        if switches.is_crashed:
            executor.restart()


def _choose_host(cell: ProcessCell, rng: random.Random) -> HostProcess:
    """Draws a host: half of the time the leader, otherwise any host."""
    leader = cell.leader()
    if leader and rng.random() < 0.5:
        return cell.processes[leader]
    return rng.choice(list(cell.processes.values()))


async def host_killed(cell: ProcessCell, rng: random.Random) -> None:
    """A host is killed."""
    _choose_host(cell, rng).kill()


async def all_killed(cell: ProcessCell, rng: random.Random) -> None:
    """All hosts are killed at once."""
    for host in cell.processes.values():
        host.kill()


async def host_paused(cell: ProcessCell, rng: random.Random) -> None:
    """A host is paused."""
    host = _choose_host(cell, rng)
    host.pause()
    await asyncio.sleep(rng.uniform(*PAUSE_RANGE_S))
    host.resume()


async def rolling_stop(cell: ProcessCell, rng: random.Random) -> None:
    """All hosts are stopped gracefully in turn."""
    for host in cell.processes.values():
        host.terminate()
        await asyncio.sleep(rng.uniform(1.0, 4.0))


async def host_reloaded(cell: ProcessCell, rng: random.Random) -> None:
    """The settings of a host change."""
    _choose_host(cell, rng).reload()


async def clock_stepped(cell: ProcessCell, rng: random.Random) -> None:
    """The time of day of a host jumps, and later jumps back."""
    host = _choose_host(cell, rng)
    host.set_clock_offset(rng.uniform(-6.0, 6.0))
    await asyncio.sleep(rng.uniform(*OUTAGE_RANGE_S))
    host.set_clock_offset(0.0)


async def store_down(cell: ProcessCell, rng: random.Random) -> None:
    """The store does not reply, or refuses all requests."""
    faults = cell.store.faults
    faults.pauses_leases = rng.random() < 0.5
    is_refusing = rng.random() < 0.3
    faults.is_refusing, faults.is_down = is_refusing, not is_refusing
    await asyncio.sleep(rng.uniform(*OUTAGE_RANGE_S))
    faults.is_refusing = faults.is_down = False


async def store_slow(cell: ProcessCell, rng: random.Random) -> None:
    """The store is slow."""
    cell.store.faults.round_trip_s = rng.uniform(0.1, 0.5)
    await asyncio.sleep(rng.uniform(*OUTAGE_RANGE_S))
    cell.store.faults.round_trip_s = 0.004


async def writes_lost(cell: ProcessCell, rng: random.Random) -> None:
    """Writes take effect without a reply, or late."""
    faults = cell.store.faults
    faults.lost_share, faults.late_share = rng.choice(((0.3, 0.0), (0.0, 0.3)))
    await asyncio.sleep(rng.uniform(*SHORT_FAULT_RANGE_S))
    faults.lost_share = faults.late_share = 0.0


async def history_lost(cell: ProcessCell, rng: random.Random) -> None:
    """The store loses its history of changes."""
    cell.store.faults.is_history_lost = True


async def host_cut_from_store(cell: ProcessCell, rng: random.Random) -> None:
    """The store is unavailable to one host and serves the others."""
    host = _choose_host(cell, rng)
    chosen = rng.choice(
        (cell.store.faults.cut_hosts, cell.store.faults.refused_hosts)
    )
    chosen.add(host.name)
    host.mark_disturbed()
    await asyncio.sleep(rng.uniform(*OUTAGE_RANGE_S))
    chosen.discard(host.name)
    host.mark_disturbed()


async def leader_key_lost(cell: ProcessCell, rng: random.Random) -> None:
    """The leader's key is removed without notice to the leader."""
    cell.store.revoke("leader")


async def links_disturbed(cell: ProcessCell, rng: random.Random) -> None:
    """A host's connections are reset, delayed, or pass no data.

    Open connections pass no data for good, or all connections pass none in
    one direction until the fault ends.
    """
    host = _choose_host(cell, rng)
    proxy = rng.choice((host.caller_proxy, host.store_proxy))
    host.mark_disturbed()
    match rng.randrange(4):
        case 0:
            proxy.reset()
        case 1:
            proxy.stop_forwarding()
        case 2:
            proxy.delay_s = rng.uniform(0.02, 0.3)
        case 3:
            proxy.block(rng.randrange(2))
    await asyncio.sleep(rng.uniform(*SHORT_FAULT_RANGE_S))
    proxy.end_faults()
    host.mark_disturbed()


async def executor_links(cell: ProcessCell, rng: random.Random) -> None:
    """Connections to an executor are reset, delayed or pass no data."""
    proxy = rng.choice(list(cell.executor_proxies.values()))
    match rng.randrange(3):
        case 0:
            proxy.reset()
        case 1:
            proxy.stop_forwarding()
        case 2:
            proxy.delay_s = rng.uniform(0.02, 0.2)
    await asyncio.sleep(rng.uniform(*SHORT_FAULT_RANGE_S))
    proxy.end_faults()


async def executor_cut(cell: ProcessCell, rng: random.Random) -> None:
    """An executor is unreachable and keeps running its tasks."""
    executor = rng.choice(list(cell.executors.values()))
    executor.faults.is_cut = True
    await asyncio.sleep(rng.uniform(*PAUSE_RANGE_S))
    executor.faults.is_cut = False


async def executor_crashed(cell: ProcessCell, rng: random.Random) -> None:
    """An executor crashes and restarts under the same identifier."""
    executor = rng.choice(list(cell.executors.values()))
    if executor.faults.is_crashed or executor.info.draining:
        return
    executor.crash()
    await asyncio.sleep(rng.uniform(*OUTAGE_RANGE_S))
    if executor.faults.is_crashed:
        executor.restart()
        cell.write_executor_entry(executor)


async def executor_leaves(cell: ProcessCell, rng: random.Random) -> None:
    """An executor drains and leaves; a new incarnation follows."""
    executor = rng.choice(list(cell.executors.values()))
    if executor.faults.is_crashed or executor.info.draining:
        return
    remaining_s = rng.uniform(1.0, 4.0)
    cell.drain_executor(executor, remaining_s=remaining_s)
    await asyncio.sleep(remaining_s)
    executor.crash()
    cell.remove_executor_entry(executor)
    await asyncio.sleep(rng.uniform(*SHORT_FAULT_RANGE_S))
    cell.restart_drained_executor(executor)


async def orders_late(cell: ProcessCell, rng: random.Random) -> None:
    """Calls to executors take effect without a reply, or late."""
    executors = list(cell.executors.values())
    for executor in executors:
        executor.faults.late_share = 0.1
        executor.faults.lost_share = 0.1
    await asyncio.sleep(rng.uniform(*SHORT_FAULT_RANGE_S))
    for executor in executors:
        executor.faults.late_share = executor.faults.lost_share = 0.0


async def executor_sick(cell: ProcessCell, rng: random.Random) -> None:
    """An executor fails all attempts, makes no progress or is slow."""
    faults = rng.choice(list(cell.executors.values())).faults
    match rng.randrange(3):
        case 0:
            faults.fails_all = True
        case 1:
            faults.hangs = True
        case 2:
            faults.slowdown = 6.0
    await asyncio.sleep(rng.uniform(*OUTAGE_RANGE_S))
    faults.fails_all = faults.hangs = False
    faults.slowdown = 1.0


async def config_changed(cell: ProcessCell, rng: random.Random) -> None:
    """Configurations are written in quick succession."""
    for _ in range(rng.randint(1, 4)):
        cell.configure()
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
} | RESTART_FAULTS
# Drawn on their own, so that the draws of other runs stay.
_ALL_FAULTS = tuple(FAULTS)
FAULTS |= OUTAGE_FAULTS
# Names of the faults that a run draws from.
TROUBLES: dict[str, tuple[str, ...]] = {
    "all": _ALL_FAULTS,
    "restarts": tuple(RESTART_FAULTS),
    "acknowledgements": ("killed_after_acknowledgement",),
    "outages": (*OUTAGE_FAULTS, "history_lost", "leader_key_lost"),
}
