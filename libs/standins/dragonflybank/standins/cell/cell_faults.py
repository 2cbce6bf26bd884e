"""Faults of a simulated cell, by name."""

__all__ = ["FAULTS", "OUTAGE_FAULTS", "ScheduledFault", "inject_fault"]

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

import attrs

from dragonflybank.standins.cell.executors import (
    ExecutorFaults,
    MemoryExecutor,
)
from dragonflybank.standins.cell.simulated_cell import SimulatedCell
from dragonflybank.standins.cell.store import StoreFaults

# The remaining executors must have capacity for the widest gang.
MAX_REPLACED = 2
SLOW_ROUND_TRIP_S = 0.25
HEARTBEAT_INTERVAL_S = 1.5
# Ranges of `executor_back_and_cut`, in seconds.
DARK_RANGE_S = (0.2, 1.0)
BACK_RANGE_S = (0.3, 3.0)
CUT_RANGE_S = (2.0, 12.0)
MAX_CALL_DELAY_S = 0.5
MAX_WATCH_DELAY_S = 0.6


@attrs.frozen
class ScheduledFault:
    """A fault of a schedule.

    Attributes:
        start_s: Time of its start after the start of the load, in seconds.
        fault: Name of the fault, a key of `FAULTS` or `OUTAGE_FAULTS`.
        target: Number that selects the host or the executor.
        duration_s: Its duration in seconds.
    """

    start_s: float
    fault: str
    target: int
    duration_s: float


async def inject_fault(cell: SimulatedCell, scheduled: ScheduledFault) -> None:
    """Waits until a fault of a schedule is due, and plays it."""
    await asyncio.sleep(scheduled.start_s)
    fault = FAULTS.get(scheduled.fault) or OUTAGE_FAULTS[scheduled.fault]
    await fault(cell, scheduled)


def _select_host(cell: SimulatedCell, scheduled: ScheduledFault) -> str:
    """Selects a host: the leader for odd targets if there is one."""
    names = sorted(cell.hosts)
    if not names:
        return ""
    leader = cell.leader()
    return (
        leader if scheduled.target % 2 and leader else _select(names, scheduled)
    )


def _select_executor(
    cell: SimulatedCell, scheduled: ScheduledFault
) -> MemoryExecutor:
    return _select(list(cell.executors.values()), scheduled)


def _select(candidates: Sequence, scheduled: ScheduledFault):
    return candidates[scheduled.target // 2 % len(candidates)]


async def host_killed(cell: SimulatedCell, scheduled: ScheduledFault) -> None:
    """A host's process is killed and restarted."""
    await _end_host(cell, scheduled, power_off=False)


async def host_dark(cell: SimulatedCell, scheduled: ScheduledFault) -> None:
    """A host's machine loses power for some time."""
    await _end_host(cell, scheduled, power_off=True)


async def _end_host(
    cell: SimulatedCell, scheduled: ScheduledFault, *, power_off: bool
) -> None:
    name = _select_host(cell, scheduled)
    if not name:
        return
    cell.kill_host(name, power_off=power_off)
    await asyncio.sleep(scheduled.duration_s)
    await cell.start_host(name)


async def host_frozen(cell: SimulatedCell, scheduled: ScheduledFault) -> None:
    """A host's process stands still and goes on."""
    name = _select_host(cell, scheduled)
    if name:
        await cell.freeze_host(name, scheduled.duration_s)


async def host_seems_gone(
    cell: SimulatedCell, scheduled: ScheduledFault
) -> None:
    """Connections to a host are refused although its process runs."""
    await _add_host_to(cell.refusing_hosts, cell, scheduled)


async def host_cut_from_store(
    cell: SimulatedCell, scheduled: ScheduledFault
) -> None:
    """The store doesn't answer a host."""
    await _add_host_to(cell.store.faults.cut_hosts, cell, scheduled)


async def host_turned_away(
    cell: SimulatedCell, scheduled: ScheduledFault
) -> None:
    """The store refuses the calls of a host."""
    await _add_host_to(cell.store.faults.refused_hosts, cell, scheduled)


async def host_cut_from_peers(
    cell: SimulatedCell, scheduled: ScheduledFault
) -> None:
    """A host and its peers don't reach each other."""
    await _add_host_to(cell.cut_peers, cell, scheduled)


async def _add_host_to(
    names: set[str], cell: SimulatedCell, scheduled: ScheduledFault
) -> None:
    """Keeps a host in a set of names for the duration of the fault."""
    name = _select_host(cell, scheduled)
    names.add(name)
    await asyncio.sleep(scheduled.duration_s)
    names.discard(name)


async def key_revoked(cell: SimulatedCell, scheduled: ScheduledFault) -> None:
    """The leader's key is removed from the store."""
    cell.store.revoke("leader")


async def store_silent(cell: SimulatedCell, scheduled: ScheduledFault) -> None:
    """The store doesn't answer."""
    await _store_fault(cell, scheduled, "is_down", True)


async def store_refusing(
    cell: SimulatedCell, scheduled: ScheduledFault
) -> None:
    """The store refuses all calls."""
    await _store_fault(cell, scheduled, "is_refusing", True)


async def store_slow(cell: SimulatedCell, scheduled: ScheduledFault) -> None:
    """The store answers slowly."""
    await _store_fault(cell, scheduled, "round_trip_s", SLOW_ROUND_TRIP_S)


async def answers_lost(cell: SimulatedCell, scheduled: ScheduledFault) -> None:
    """A third of the writes take effect without an answer."""
    await _store_fault(cell, scheduled, "lost_share", 0.3)


async def writes_late(cell: SimulatedCell, scheduled: ScheduledFault) -> None:
    """A third of the writes take effect seconds later."""
    await _store_fault(cell, scheduled, "late_share", 0.3)


async def _store_fault(
    cell: SimulatedCell, scheduled: ScheduledFault, name: str, value
) -> None:
    await _set_fault(cell.store.faults, scheduled, name, value)


async def history_lost(cell: SimulatedCell, scheduled: ScheduledFault) -> None:
    """The store loses the history of events that watches read."""
    cell.store.faults.is_history_lost = True


async def watches_late(cell: SimulatedCell, scheduled: ScheduledFault) -> None:
    """The store's answers to watches are late."""
    await _store_fault(cell, scheduled, "watch_delay_s", MAX_WATCH_DELAY_S)


async def executor_cut(cell: SimulatedCell, scheduled: ScheduledFault) -> None:
    """An executor is cut off but runs on."""
    await _executor_fault(cell, scheduled, "is_cut", True)


async def orders_lost(cell: SimulatedCell, scheduled: ScheduledFault) -> None:
    """An executor executes half of its commands without an answer."""
    await _executor_fault(cell, scheduled, "lost_share", 0.5)


async def orders_late(cell: SimulatedCell, scheduled: ScheduledFault) -> None:
    """An executor executes half of its commands seconds later."""
    await _executor_fault(cell, scheduled, "late_share", 0.5)


async def executor_failing(
    cell: SimulatedCell, scheduled: ScheduledFault
) -> None:
    """All attempts at an executor fail."""
    await _executor_fault(cell, scheduled, "fails_all", True)


async def executor_hanging(
    cell: SimulatedCell, scheduled: ScheduledFault
) -> None:
    """The attempts at an executor make no progress."""
    await _executor_fault(cell, scheduled, "hangs", True)


async def _executor_fault(
    cell: SimulatedCell, scheduled: ScheduledFault, name: str, value
) -> None:
    await _set_fault(
        _select_executor(cell, scheduled).faults, scheduled, name, value
    )


async def _set_fault(
    faults: StoreFaults | ExecutorFaults,
    scheduled: ScheduledFault,
    name: str,
    value,
) -> None:
    """Sets an attribute of the faults for the duration of the fault."""
    default = getattr(type(faults)(), name)
    setattr(faults, name, value)
    await asyncio.sleep(scheduled.duration_s)
    setattr(faults, name, default)


async def executor_crashed(
    cell: SimulatedCell, scheduled: ScheduledFault
) -> None:
    """An executor crashes and restarts with the same identifier."""
    executor = _select_executor(cell, scheduled)
    if executor.faults.is_replaced:
        return
    executor.crash()
    await asyncio.sleep(scheduled.duration_s)
    if executor.faults.is_crashed:
        executor.restart()
        cell.write_executor_entry(executor)


async def executor_back_and_cut(
    cell: SimulatedCell, scheduled: ScheduledFault
) -> None:
    """An executor is back at once under its identifier, and then cut off."""
    rng = random.Random(f"{scheduled.start_s} {scheduled.target}")
    executor = _select_executor(cell, scheduled)
    if executor.faults.is_replaced or executor.faults.is_crashed:
        return
    await executor.restart_after(rng.uniform(*DARK_RANGE_S))
    back_s = rng.uniform(*BACK_RANGE_S)
    heartbeat_s = rng.uniform(0.0, HEARTBEAT_INTERVAL_S)
    await asyncio.sleep(min(back_s, heartbeat_s))
    if heartbeat_s < back_s and executor.is_serving(executor.info.address):
        cell.write_executor_entry(executor)
    await asyncio.sleep(max(0.0, back_s - heartbeat_s))
    executor.faults.is_cut = True
    await asyncio.sleep(rng.uniform(*CUT_RANGE_S))
    executor.faults.is_cut = False
    if executor.is_serving(executor.info.address):
        cell.write_executor_entry(executor)


async def calls_unanswered(
    cell: SimulatedCell, scheduled: ScheduledFault
) -> None:
    """Calls of all executors are late, or lose their answers."""
    await _fault_of_all(cell, scheduled, late_share=0.2, lost_share=0.2)


async def calls_reordered(
    cell: SimulatedCell, scheduled: ScheduledFault
) -> None:
    """Calls and answers of all executors overtake each other."""
    await _fault_of_all(cell, scheduled, max_delay_s=MAX_CALL_DELAY_S)


async def _fault_of_all(
    cell: SimulatedCell, scheduled: ScheduledFault, **values: float
) -> None:
    await asyncio.gather(
        *(
            _set_fault(executor.faults, scheduled, name, value)
            for executor in cell.executors.values()
            for name, value in values.items()
        )
    )


async def executor_moves(
    cell: SimulatedCell, scheduled: ScheduledFault
) -> None:
    """An executor crashes and restarts at another address."""
    executor = _select_executor(cell, scheduled)
    if executor.faults.is_replaced:
        return
    executor.crash()
    await asyncio.sleep(scheduled.duration_s)
    if executor.faults.is_crashed:
        address = f"10.1.{scheduled.target}.{executor.info.incarnation}:80"
        executor.restart(address=address)
        cell.write_executor_entry(executor)


async def executor_leaves(
    cell: SimulatedCell, scheduled: ScheduledFault
) -> None:
    """An executor leaves after its notice and restarts 3 s later."""
    executor = _select_executor(cell, scheduled)
    if executor.faults.is_replaced:
        return
    cell.drain_executor(executor, remaining_s=scheduled.duration_s)
    await asyncio.sleep(scheduled.duration_s)
    executor.crash()
    cell.remove_executor_entry(executor)
    await asyncio.sleep(3.0)
    if executor.faults.is_crashed:
        cell.restart_drained_executor(executor)


async def executor_replaced(
    cell: SimulatedCell, scheduled: ScheduledFault
) -> None:
    """An executor crashes, and another one takes its address."""
    replaced = [e for e in cell.executors.values() if e.faults.is_replaced]
    executor = _select_executor(cell, scheduled)
    if len(replaced) < MAX_REPLACED and not executor.faults.is_crashed:
        executor.replace()
        await asyncio.sleep(scheduled.duration_s)
        cell.remove_executor_entry(executor)


Fault = Callable[[SimulatedCell, ScheduledFault], Awaitable[None]]
# The schedule of a seed is drawn from the sorted names of the faults, so a new
# or renamed fault changes the schedules of all seeds.
FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        host_killed,
        host_dark,
        host_frozen,
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
        executor_back_and_cut,
        calls_unanswered,
        calls_reordered,
        executor_moves,
        executor_leaves,
        executor_replaced,
    )
}

# Drawn by `draw_outages` only, so that the schedules of other seeds stay.
OUTAGE_FAULTS: dict[str, Fault] = {watches_late.__name__: watches_late}
