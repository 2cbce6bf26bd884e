"""Fault scenarios of a simulated cell.

Each scenario is a coroutine function that injects faults while callers submit
jobs. Its name is the key in `SCENARIOS` and part of the name of a test.
"""

__all__ = ["SCENARIOS", "run_scenario"]

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from dragonflybank.cell.teams import ResourceCap, Team, key_digest
from dragonflybank.standins.cell.simulated_cell import (
    SERVICE_NAME,
    SimulatedCell,
    SubmissionLoad,
)
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time

Scenario = Callable[[SimulatedCell], Awaitable[None]]
LOAD = SubmissionLoad()
# Three heartbeat intervals.
ENTRY_EXPIRY_S = 4.5
OTHER_SERVICE = "archive"
LONG_DRAIN_S = 120.0
# A drawn gang needs up to 60 cores; a cap of 0 is none.
CAPS_IN_CORES = {"forecast": 80, "research": 100, "survey": 0}
DEEPLY_NESTED = b'{"not_known": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"


def run_scenario(name: str, seed: int) -> list[str]:
    """Runs a scenario and returns a line for each violation of a rule.

    Args:
        name: Name of the scenario.
        seed: Seed of the cell.
    """
    services = SERVICES_BY_SCENARIO.get(name, (SERVICE_NAME,))
    return run_in_virtual_time(_run(SCENARIOS[name], seed, services))


async def _run(
    scenario: Scenario, seed: int, services: tuple[str, ...]
) -> list[str]:
    # Each service alone has the capacity for the load.
    cell = SimulatedCell(
        seed,
        executors=6 * len(services),
        services=services,
        teams=TEAMS_BY_SCENARIO.get(scenario.__name__),
    )
    await cell.start()
    injecting = asyncio.create_task(scenario(cell))
    found = await cell.run_load(LOAD)
    await injecting
    return found


async def calm(cell: SimulatedCell) -> None:
    """No fault occurs."""


async def leader_killed(cell: SimulatedCell) -> None:
    """Leaders are killed and restarted."""
    for pause_s in (6.0, 2.3, 3.0):
        await asyncio.sleep(pause_s)
        name = cell.leader()
        cell.kill_host(name)
        if name:
            await asyncio.sleep(1.0)
            await cell.start_host(name)


async def successors_killed(cell: SimulatedCell) -> None:
    """The leader is killed, then two successors during their takeovers."""
    await asyncio.sleep(6.0)
    for pause_s in (0.0, 0.01, 0.03):
        name = await cell.wait_for_leader()
        await asyncio.sleep(pause_s)
        cell.kill_host(name)
        await asyncio.sleep(0.1)
        await cell.start_host(name)


async def leader_dark(cell: SimulatedCell) -> None:
    """The leader's machine loses power, and so does its successor's."""
    for pause_s in (6.0, 5.0):
        await asyncio.sleep(pause_s)
        name = cell.leader()
        cell.kill_host(name, power_off=True)
        if name:
            await asyncio.sleep(3.0)
            await cell.start_host(name)


async def leader_seems_gone(cell: SimulatedCell) -> None:
    """Connections to leaders are refused although their processes run."""
    for pause_s in (6.0, 1.0, 4.0):
        await asyncio.sleep(pause_s)
        cell.refusing_hosts = {cell.leader()}
    await asyncio.sleep(4.0)
    cell.refusing_hosts = set()


async def all_killed(cell: SimulatedCell) -> None:
    """All hosts are killed at once, twice."""
    for _ in range(2):
        await asyncio.sleep(6.0)
        names = list(cell.hosts)
        for name in names:
            cell.kill_host(name)
        await asyncio.sleep(1.5)
        for name in names:
            await cell.start_host(name)


async def store_down(cell: SimulatedCell) -> None:
    """The store doesn't answer for 5 s, then refuses calls for 4 s."""
    await asyncio.sleep(5.0)
    cell.store.faults.is_down = True
    await asyncio.sleep(5.0)
    cell.store.faults.is_down = False
    await asyncio.sleep(3.0)
    cell.store.faults.is_refusing = True
    await asyncio.sleep(4.0)
    cell.store.faults.is_refusing = False


async def answers_lost(cell: SimulatedCell) -> None:
    """Writes take effect without an answer, or seconds later."""
    await asyncio.sleep(4.0)
    cell.store.faults.lost_share = 0.3
    await asyncio.sleep(5.0)
    cell.store.faults.lost_share = 0.0
    cell.store.faults.late_share = 0.3
    await asyncio.sleep(5.0)
    cell.store.faults.late_share = 0.0


async def history_lost(cell: SimulatedCell) -> None:
    """The store loses the history of events that watches read."""
    for _ in range(8):
        await asyncio.sleep(2.0)
        cell.store.faults.is_history_lost = True


async def leader_cut_from_store(cell: SimulatedCell) -> None:
    """The leader is cut off from the store, and its key is removed."""
    await asyncio.sleep(5.0)
    name = cell.leader()
    cell.store.faults.cut_hosts.add(name)
    cell.store.revoke("leader")
    await asyncio.sleep(6.0)
    cell.store.faults.cut_hosts.clear()
    await asyncio.sleep(3.0)
    cell.store.revoke("leader")


async def executors_cut(cell: SimulatedCell) -> None:
    """Executors are cut off but run on; the leader is killed meanwhile."""
    await asyncio.sleep(5.0)
    cut = list(cell.executors.values())[:2]
    for executor in cut:
        executor.faults.is_cut = True
    await asyncio.sleep(1.0)
    name = cell.leader()
    cell.kill_host(name)
    await asyncio.sleep(4.5)
    for executor in cut:
        executor.faults.is_cut = False
    await cell.start_host(name)


async def former_leader_cut(cell: SimulatedCell) -> None:
    """A former leader still reaches an executor that its successor can't."""
    await asyncio.sleep(5.0)
    name = cell.leader()
    first, *_ = cell.executors.values()
    first.faults.cut_hosts = set(cell.hosts) - {name}
    cell.store.faults.cut_hosts.add(name)
    cell.cut_peers.add(name)
    await asyncio.sleep(9.0)
    cell.store.faults.cut_hosts.clear()
    cell.cut_peers.clear()
    first.faults.cut_hosts = set()


async def executors_crash(cell: SimulatedCell) -> None:
    """Executors crash and restart, with and without their store entries."""
    executors = list(cell.executors.values())
    for number in range(4):
        await asyncio.sleep(4.0)
        executor = executors[number]
        executor.crash()
        if number % 2:
            cell.remove_executor_entry(executor)
        await asyncio.sleep(2.5)
        executor.restart()
        cell.write_executor_entry(executor)


async def executors_gone(cell: SimulatedCell) -> None:
    """Two executors crash for good; one store entry stays, one is removed."""
    await asyncio.sleep(6.0)
    first, second, *_ = cell.executors.values()
    first.crash()
    second.crash()
    await asyncio.sleep(4.0)
    cell.remove_executor_entry(second)


async def orders_late(cell: SimulatedCell) -> None:
    """Executors execute commands without an answer, or seconds later."""
    await asyncio.sleep(3.0)
    for executor in cell.executors.values():
        executor.faults.late_share = 0.15
        executor.faults.lost_share = 0.1
    await asyncio.sleep(8.0)
    for executor in cell.executors.values():
        executor.faults.late_share = executor.faults.lost_share = 0.0


async def orders_late_and_killed(cell: SimulatedCell) -> None:
    """Executors execute commands late while leaders are killed."""
    await asyncio.gather(orders_late(cell), leader_killed(cell))


async def executors_sick(cell: SimulatedCell) -> None:
    """One executor fails all attempts, one hangs and one is slow."""
    await asyncio.sleep(3.0)
    failing, hanging, slow, *_ = cell.executors.values()
    failing.faults.fails_all = True
    hanging.faults.hangs = True
    slow.faults.slowdown = 6.0
    await asyncio.sleep(8.0)
    failing.faults.fails_all = hanging.faults.hangs = False
    slow.faults.slowdown = 1.0


async def executors_leave(cell: SimulatedCell) -> None:
    """Executors leave two seconds after their notice and restart later."""
    for executor in list(cell.executors.values())[:3]:
        await asyncio.sleep(1.0)
        cell.drain_executor(executor, remaining_s=2.0)
        await asyncio.sleep(2.0)
        executor.crash()
        cell.remove_executor_entry(executor)
        await asyncio.sleep(4.0)
        cell.restart_drained_executor(executor)


async def executors_leave_at_once(cell: SimulatedCell) -> None:
    """Executors announce that they drain and end at the same moment."""
    for executor in list(cell.executors.values())[:3]:
        await asyncio.sleep(3.0)
        cell.drain_executor(executor, remaining_s=0.0)
        executor.crash()
        cell.remove_executor_entry(executor)
        await asyncio.sleep(4.0)
        cell.restart_drained_executor(executor)


async def leaving_executor_cut(cell: SimulatedCell) -> None:
    """Draining executors are cut off, and their store entries expire."""
    for executor in list(cell.executors.values())[:2]:
        await asyncio.sleep(3.0)
        cell.drain_executor(executor, remaining_s=30.0)
        executor.faults.is_cut = True
        await asyncio.sleep(ENTRY_EXPIRY_S)
        cell.remove_executor_entry(executor)
        await asyncio.sleep(4.0)
        executor.faults.is_cut = False


async def leader_broken(cell: SimulatedCell) -> None:
    """Programming errors are raised in the leader's polls of executors."""
    for executor in list(cell.executors.values())[:3]:
        await asyncio.sleep(5.0)
        executor.faults.raises_in_caller = True


async def entries_broken(cell: SimulatedCell) -> None:
    """Another writer stores unreadable entries; an executor drains."""
    await asyncio.sleep(3.0)
    cell.store.put("executors/stray", b"\xff\x00")
    cell.store.put("executors/other", b'{"id": 5}')
    await asyncio.sleep(2.0)
    cell.drain_executor(list(cell.executors.values())[0])


async def entries_turn_odd(cell: SimulatedCell) -> None:
    """Another writer overwrites entries of running executors.

    One of them has just announced that it drains, so that the removal of its
    entry would show that it has left.
    """
    first, second, *_ = cell.executors.values()
    await asyncio.sleep(3.0)
    cell.store.put("executors/stray", DEEPLY_NESTED)
    cell.store.put("executors/" + first.info.id, DEEPLY_NESTED)
    cell.drain_executor(second, remaining_s=30.0)
    await asyncio.sleep(0.6)
    cell.store.put("executors/" + second.info.id, b'{"id": 1e400}')
    await asyncio.sleep(2.0)
    cell.kill_host(cell.leader())
    await asyncio.sleep(4.0)
    cell.write_executor_entry(first)


async def entries_replaced(cell: SimulatedCell) -> None:
    """Another writer stores sound entries under keys of running executors.

    They name another address, and another service, incarnation or state. Each
    executor's next heartbeat replaces its entry. A new leader finds some of
    them before any other, and some are removed before they are replaced.
    """
    changes = [
        {"service": "archive"},
        {"service": "archive", "incarnation": 0},
        {"incarnation": 0, "draining": True, "drain_remaining_s": 1.0},
        {"draining": True, "drain_remaining_s": 30.0},
        {"service": "archive", "incarnation": 9},
        {"service": "archive", "incarnation": 9, "draining": True},
        # These are at the executor's address.
        {"incarnation": 9, "address": None},
        {"service": "archive", "incarnation": 0, "address": None},
    ]
    await asyncio.sleep(3.0)
    for number in range(2 * len(changes)):
        executors = list(cell.executors.values())
        change = changes[number % len(changes)]
        for executor in executors[number % 3 :: 3]:
            foreign = {"address": "10.9.9.9:80", **change}
            if foreign["address"] is None:
                foreign["address"] = executor.info.address
            cell.write_executor_entry(
                executor, attrs.evolve(executor.info, **foreign)
            )
        leader = cell.leader()
        if number % 4 == 3 and leader:
            cell.kill_host(leader)
        await asyncio.sleep(0.9)
        for executor in executors[number % 3 :: 3]:
            if number % 2:
                cell.remove_executor_entry(executor)
                await asyncio.sleep(0.2)
            cell.write_executor_entry(executor)
        if number % 4 == 3 and leader:
            await cell.start_host(leader)
        await asyncio.sleep(0.5)


async def queues_moved(cell: SimulatedCell) -> None:
    """Queues are moved between two services, some together with new leaders.

    The executors of the service that they leave accept no new work until the
    queues come back.
    """
    names = ("lookup", "verify", "sweep")
    by_service = {
        service: [
            e for e in cell.executors.values() if e.info.service == service
        ]
        for service in (SERVICE_NAME, OTHER_SERVICE)
    }
    left, entered = SERVICE_NAME, OTHER_SERVICE
    for version, pause_s in enumerate((5.0, 4.0, 0.6, 4.0, 3.0), 2):
        await asyncio.sleep(pause_s)
        for executor in by_service[entered]:
            cell.restart_drained_executor(executor)
        for executor in by_service[left]:
            cell.drain_executor(executor, remaining_s=LONG_DRAIN_S)
        cell.configure(version, moved_queues=dict.fromkeys(names, entered))
        if version % 2:
            leader = cell.leader()
            cell.kill_host(leader)
            await asyncio.sleep(0.5)
            if leader:
                await cell.start_host(leader)
        left, entered = entered, left


async def keys_changed(cell: SimulatedCell) -> None:
    """Keys are added and withdrawn under faults of hosts and the store."""
    cell.configure(2, keys={"a": ["a-1"], "b": ["b-1"]})
    await asyncio.sleep(4.0)
    first, second, *_ = cell.hosts
    cell.store.faults.cut_hosts.add(first)
    await asyncio.sleep(2.0)
    # The host that the store turns away has to get these in time.
    cell.configure(3, keys={"a": ["a-1", "a-2"], "b": ["b-1"]})
    cell.configure(4, keys={"a": ["a-2"], "b": ["b-1"]})
    await asyncio.sleep(0.5)
    cell.kill_host(cell.leader())
    cell.configure(5, keys={"a": ["a-2"], "c": ["b-1"]})
    await asyncio.sleep(6.0)
    cell.store.faults.cut_hosts.clear()
    # An unsound configuration, and a host that restarts with it.
    cell.store.put("config", b'{"version": 6, "teams": 5}')
    await asyncio.sleep(1.0)
    cell.kill_host(second)
    await cell.start_host(second)
    await asyncio.sleep(4.0)
    cell.configure(7, keys={"c": ["c-1"]})
    await asyncio.sleep(2.0)
    cell.configure(8, keys={})


async def caps_changed(cell: SimulatedCell) -> None:
    """Caps of teams are lowered and raised while leaders are killed."""
    for version, (pause_s, percent) in enumerate(
        ((4.0, 85), (0.3, 100), (4.0, 80), (3.0, 120), (3.0, 90)), 2
    ):
        await asyncio.sleep(pause_s)
        cell.teams = {
            name: _make_team(name, cores * percent // 100)
            for name, cores in CAPS_IN_CORES.items()
        }
        cell.configure(version)
        if version % 2:
            await asyncio.sleep(0.02 * version)
            leader = cell.leader()
            cell.kill_host(leader)
            await asyncio.sleep(0.5)
            if leader:
                await cell.start_host(leader)


def _make_team(name: str, cores: int) -> Team:
    return Team(
        name,
        (key_digest(name),),
        cap=ResourceCap(1000 * cores, 1000 * cores),
    )


SCENARIOS: dict[str, Scenario] = {
    fault.__name__: fault
    for fault in (
        calm,
        leader_killed,
        successors_killed,
        leader_dark,
        leader_seems_gone,
        all_killed,
        store_down,
        answers_lost,
        history_lost,
        leader_cut_from_store,
        executors_cut,
        former_leader_cut,
        executors_crash,
        executors_gone,
        orders_late,
        orders_late_and_killed,
        executors_sick,
        executors_leave,
        executors_leave_at_once,
        leaving_executor_cut,
        leader_broken,
        entries_broken,
        entries_turn_odd,
        entries_replaced,
        queues_moved,
        keys_changed,
        caps_changed,
    )
}
# The other scenarios have one service.
SERVICES_BY_SCENARIO = {"queues_moved": (SERVICE_NAME, OTHER_SERVICE)}
# The other scenarios have no teams.
TEAMS_BY_SCENARIO = {
    "caps_changed": {n: _make_team(n, c) for n, c in CAPS_IN_CORES.items()}
}
