"""Random schedules of overlapping faults for a simulated cell.

``python -m dragonflybank.standins.cell.schedules FIRST LAST`` runs the
schedules of a range of seeds and prints those that violated a rule.
"""

__all__ = ["FAULTS", "ScheduledFault", "draw_schedule", "play_schedule"]

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
LAST_START_S = 12.0
MAX_FAULTS = 7
# The remaining executors must have capacity for the widest gang.
MAX_REPLACED = 2
DURATIONS_S = (0.2, 1.0, 2.5, 5.0)
SLOW_ROUND_TRIP_S = 0.25


@attrs.frozen
class ScheduledFault:
    """A fault of a schedule.

    Attributes:
        start_s: Time of its start after the start of the load, in seconds.
        fault: Name of the fault, a key of `FAULTS`.
        target: Number that selects the host or the executor.
        duration_s: Its duration in seconds.
    """

    start_s: float
    fault: str
    target: int
    duration_s: float


def play_schedule(seed: int, schedule: Sequence[ScheduledFault]) -> list[str]:
    """Runs a load with overlapping faults.

    Args:
        seed: Seed of the cell.
        schedule: Faults with their times.

    Returns:
        A line for each violation of a rule.
    """
    return run_in_virtual_time(_run(seed, schedule))


def draw_schedule(seed: int) -> list[ScheduledFault]:
    """Draws the schedule of a seed."""
    rng = random.Random(seed)
    return [
        ScheduledFault(
            rng.uniform(0.0, LAST_START_S),
            rng.choice(sorted(FAULTS)),
            rng.randrange(100),
            rng.choice(DURATIONS_S),
        )
        for _ in range(rng.randint(1, MAX_FAULTS))
    ]


async def _run(seed: int, schedule: Sequence[ScheduledFault]) -> list[str]:
    cell = SimulatedCell(seed)
    await cell.start()
    injecting = [
        asyncio.create_task(_inject(cell, scheduled)) for scheduled in schedule
    ]
    found = await cell.run_load(LOAD)
    await asyncio.gather(*injecting)
    return found


async def _inject(cell: SimulatedCell, scheduled: ScheduledFault) -> None:
    await asyncio.sleep(scheduled.start_s)
    await FAULTS[scheduled.fault](cell, scheduled)


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
    """Runs the schedules of a range of seeds.

    Returns:
        The number of schedules that violated a rule.
    """
    violating = 0
    for seed in range(first, last + 1):
        schedule = draw_schedule(seed)
        found = play_schedule(seed, schedule)
        violating += bool(found)
        if found:
            print(f"seed {seed}: {found[:3]}, {schedule}", flush=True)
    print(f"{last + 1 - first} schedules, {violating} broke a rule")
    return violating


if __name__ == "__main__":
    sys.exit(1 if main(int(sys.argv[1]), int(sys.argv[2])) else 0)
