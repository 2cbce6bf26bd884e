"""Random schedules of overlapping faults for a simulated cell.

``python -m dragonflybank.standins.cell.schedules FIRST LAST`` runs the
schedules of a range of seeds and prints those that violated a rule. With the
option ``--restart-series``, executors restart in series and are cut off; with
``--outages``, the store is down so long that leases expire, and executors crash
meanwhile.
"""

__all__ = [
    "FAULTS",
    "ScheduledFault",
    "draw_outages",
    "draw_restart_series",
    "draw_schedule",
    "inject",
    "play_schedule",
]

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
# So many that series overlap.
MAX_FAULTS = 10
# The remaining executors must have capacity for the widest gang.
MAX_REPLACED = 2
DURATIONS_S = (0.2, 1.0, 2.5, 5.0)
SLOW_ROUND_TRIP_S = 0.25
HEARTBEAT_INTERVAL_S = 1.5
# Ranges of `executor_back_and_cut`, in seconds.
DARK_RANGE_S = (0.2, 1.0)
BACK_RANGE_S = (0.3, 3.0)
CUT_RANGE_S = (2.0, 12.0)
MAX_CALL_DELAY_S = 0.5
# Longer than the lease of the leader's key.
OUTAGE_RANGE_S = (2.0, 5.0)
MAX_OUTAGES = 3
MAX_WATCH_DELAY_S = 0.6


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


def draw_restart_series(seed: int) -> list[ScheduledFault]:
    """Draws executors that are back under their old ids and then cut off.

    Several executors restart, each twice in a row, beside calls that are late,
    lost or reordered; leaders are killed between a restart and the cut.
    """
    rng = random.Random(f"restart series {seed}")
    series: list[ScheduledFault] = []
    for first in range(rng.randint(2, 4)):
        start_s = rng.uniform(2.0, LAST_START_S)
        again_s = start_s + rng.uniform(1.5, 8.0)
        # Consecutive numbers select different executors.
        target = 2 * (first + rng.randrange(2))
        series += [
            ScheduledFault(at, "executor_back_and_cut", target, 0.0)
            for at in (start_s, again_s)
        ]
        if rng.random() < 0.4:
            # An odd number selects the leader.
            series.append(
                ScheduledFault(
                    start_s + rng.uniform(*DARK_RANGE_S) + 0.1,
                    rng.choice(("host_killed", "host_frozen")),
                    2 * rng.randrange(50) + 1,
                    rng.choice(DURATIONS_S),
                )
            )
        if rng.random() < 0.7:
            series.append(
                ScheduledFault(
                    max(0.0, start_s - rng.uniform(0.0, 2.0)),
                    rng.choice(("calls_unanswered", "calls_reordered")),
                    rng.randrange(100),
                    rng.choice(DURATIONS_S),
                )
            )
    return series


def draw_outages(seed: int) -> list[ScheduledFault]:
    """Draws outages in which the leader's lease expires.

    Executors that hold the only record of an end crash during them. The watches
    are late or read all keys again, answers to writes are lost, and the leader
    goes on for a while without its key.
    """
    rng = random.Random(f"outages {seed}")
    found: list[ScheduledFault] = []
    for _ in range(rng.randint(1, MAX_OUTAGES)):
        start_s = rng.uniform(1.0, LAST_START_S)
        outage_s = rng.uniform(*OUTAGE_RANGE_S)
        found.append(ScheduledFault(start_s, "store_silent", 0, outage_s))
        found += [
            ScheduledFault(
                start_s + rng.uniform(0.2, outage_s),
                "executor_crashed",
                rng.randrange(100),
                rng.choice(DURATIONS_S),
            )
            for _ in range(rng.randint(1, 2))
        ]
        found += [
            ScheduledFault(
                max(0.0, start_s - rng.uniform(0.0, 1.0)),
                fault,
                # An odd number selects the leader.
                2 * rng.randrange(50) + 1,
                outage_s + rng.uniform(0.0, 2.0),
            )
            for fault, share in (
                ("history_lost", 0.5),
                ("watches_late", 0.4),
                ("answers_lost", 0.3),
                ("writes_late", 0.2),
                ("key_revoked", 0.2),
            )
            if rng.random() < share
        ]
    return found


async def _run(seed: int, schedule: Sequence[ScheduledFault]) -> list[str]:
    cell = SimulatedCell(seed)
    await cell.start()
    injecting = [
        asyncio.create_task(inject(cell, scheduled)) for scheduled in schedule
    ]
    found = await cell.run_load(LOAD)
    await asyncio.gather(*injecting)
    return found


async def inject(cell: SimulatedCell, scheduled: ScheduledFault) -> None:
    """Waits until a fault of a schedule is due, and plays it."""
    await asyncio.sleep(scheduled.start_s)
    inject = FAULTS.get(scheduled.fault) or OUTAGE_FAULTS[scheduled.fault]
    await inject(cell, scheduled)


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
DRAWS = {
    "--restart-series": draw_restart_series,
    "--outages": draw_outages,
}


def main(
    first: int,
    last: int,
    draw: Callable[[int], list[ScheduledFault]] = draw_schedule,
) -> int:
    """Runs the schedules that are drawn for a range of seeds.

    Returns:
        The number of schedules that violated a rule.
    """
    violating = 0
    for seed in range(first, last + 1):
        schedule = draw(seed)
        found = play_schedule(seed, schedule)
        violating += bool(found)
        if found:
            print(f"seed {seed}: {found[:3]}, {schedule}", flush=True)
    print(f"{last + 1 - first} schedules, {violating} broke a rule")
    return violating


if __name__ == "__main__":
    option = next(iter(sys.argv[3:]), "")
    violating = main(
        int(sys.argv[1]),
        int(sys.argv[2]),
        DRAWS.get(option, draw_schedule),
    )
    sys.exit(1 if violating else 0)
