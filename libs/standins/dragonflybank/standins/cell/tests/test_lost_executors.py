"""Tests of how soon the tasks of executors that are lost for good restart."""

import asyncio
from collections.abc import Awaitable, Callable

import testtools
from testtools.matchers import Equals, LessThan

from dragonflybank.cell.jobs import Step
from dragonflybank.cell.lease_bounds import longest_lease_s
from dragonflybank.cell.limits import CellLimits
from dragonflybank.standins.cell.checks import find_violations
from dragonflybank.standins.cell.executors import MemoryExecutor
from dragonflybank.standins.cell.simulated_cell import SimulatedCell
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time

SEED = 1
SETTLED_S = 5.0
LONG_RUN_S = 200.0
# From the loss until its leader has certainly noticed and stored it.
NOTICED_S = 4.9
LEADER_INTERVAL_S = 4.0
WAIT_LIMIT_S = 60.0
# What the tasks of a lost executor may wait longer beside changes of the
# leader: an election without a word of the former leader takes 1.4 s, and no
# task is started during it.
ELECTION_S = 2.0
# A poll that waits 1.5 s is under way at the loss, and the next call may take
# 0.4 s to time out.
NOTICE_S = 2.5
TICKET_VALID_S = 2.0

Disturbance = Callable[[SimulatedCell], Awaitable[None]]


class TestLostExecutors(testtools.TestCase):
    """Guards against work that is held anew by each new leader (review/8)."""

    def test_leaders_killed_in_series(self):
        for count in (1, 3):
            self._assert_not_prolonged(_kill_leader, count)

    def test_leader_frozen(self):
        self._assert_not_prolonged(_freeze_leader, 1)

    def test_leader_cut_off(self):
        self._assert_not_prolonged(_cut_leader, 1)

    def test_hosts_restarted_in_turn(self):
        self._assert_not_prolonged(_restart_all_hosts, 1)

    def _assert_not_prolonged(self, disturb: Disturbance, count: int) -> None:
        undisturbed_s, _ = _time_to_restart_s(disturb, 0)
        disturbed_s, found = _time_to_restart_s(disturb, count)
        self.assertThat("\n".join(found), Equals(""))
        self.assertThat(disturbed_s, LessThan(undisturbed_s + ELECTION_S))


def _time_to_restart_s(
    disturb: Disturbance, count: int
) -> tuple[float, list[str]]:
    """Returns the time from a loss until all its tasks run again, in seconds.

    Args:
        disturb: Disturbs the leader.
        count: How many times it does, each time the leader of that moment.

    Returns:
        The time, and a line for each violation of a rule.
    """

    async def main():
        cell = SimulatedCell(SEED)
        await cell.start()
        await asyncio.sleep(SETTLED_S)
        await _submit_long_tasks(cell)
        executor = max(cell.executors.values(), key=lambda e: len(e.running))
        tasks = {run.task for run in executor.running.values()}
        lost_at = asyncio.get_running_loop().time()
        executor.crash()
        cell.remove_executor_entry(executor)
        disturbing = asyncio.create_task(_disturb_in_series(cell))
        await _wait_until_running(cell, executor, tasks)
        passed_s = asyncio.get_running_loop().time() - lost_at
        await disturbing
        return passed_s, find_violations(cell.history, cell.executors.values())

    async def _disturb_in_series(cell: SimulatedCell):
        await asyncio.sleep(NOTICED_S)
        for _ in range(count):
            await disturb(cell)
            await asyncio.sleep(LEADER_INTERVAL_S)

    return run_in_virtual_time(main())


async def _submit_long_tasks(cell: SimulatedCell) -> None:
    step = Step(12, millicores=4000, memory_mb=1000, estimate_s=LONG_RUN_S)
    await cell.submit(cell.make_job("sweep", step, run_s=LONG_RUN_S))
    await asyncio.sleep(SETTLED_S)


async def _wait_until_running(
    cell: SimulatedCell, lost: MemoryExecutor, tasks: set
) -> None:
    async with asyncio.timeout(WAIT_LIMIT_S):
        while tasks - {  # noqa: ASYNC110 - in virtual time
            run.task
            for executor in cell.executors.values()
            if executor is not lost
            for run in executor.running.values()
        }:
            await asyncio.sleep(0.05)


async def _kill_leader(cell: SimulatedCell) -> None:
    name = await cell.wait_for_leader()
    cell.kill_host(name)
    await asyncio.sleep(1.0)
    await cell.start_host(name)


async def _freeze_leader(cell: SimulatedCell) -> None:
    await cell.freeze_host(await cell.wait_for_leader(), 3.0)


async def _cut_leader(cell: SimulatedCell) -> None:
    name = await cell.wait_for_leader()
    cell.store.faults.cut_hosts.add(name)
    cell.cut_peers.add(name)
    await asyncio.sleep(4.0)
    cell.store.faults.cut_hosts.discard(name)
    cell.cut_peers.discard(name)


async def _restart_all_hosts(cell: SimulatedCell) -> None:
    for name in list(cell.hosts):
        await cell.hosts[name].stop()
        cell.kill_host(name)
        await asyncio.sleep(0.5)
        await cell.start_host(name)
        await asyncio.sleep(1.0)


class TestLossesCloseTogether(testtools.TestCase):
    """Guards against starts and renewals that are unanswered together.

    The start's ticket might be for a newer incarnation, in which the renewal
    would have extended the lease up to 12 s later.
    """

    def test_no_attempt_outlives_its_ticket_and_the_longest_lease(self):
        limits = CellLimits()
        bound_s = NOTICE_S + TICKET_VALID_S + longest_lease_s(limits)
        for seed in range(4):
            held_s = run_in_virtual_time(_longest_hold_s(seed))
            self.assertThat(held_s, LessThan(bound_s))


async def _longest_hold_s(seed: int) -> float:
    """Returns for how long attempts are held that executors lost, in seconds.

    Executors crash one after the other, each while a renewal is under way,
    beside many starts with tickets.
    """
    cell = SimulatedCell(seed)
    await cell.start()
    await asyncio.sleep(SETTLED_S)
    submitting = [
        asyncio.create_task(
            _submit_after(cell, number * 0.02, gang=number % 2 == 0)
        )
        for number in range(300)
    ]
    await asyncio.sleep(2.0)
    crashed_at: dict[str, float] = {}
    for executor in list(cell.executors.values())[:3]:
        _crash_at_next_renewal(executor, crashed_at)
        await asyncio.sleep(0.8)
    held_s = 0.0
    for _ in range(600):
        now = asyncio.get_running_loop().time()
        known = cell.hosts[cell.leader()].leader.fleet.executors
        held_s = max(
            (
                now - at
                for key, at in crashed_at.items()
                if key in known and known[key].attempts
            ),
            default=held_s,
        )
        await asyncio.sleep(0.05)
    await asyncio.gather(*submitting)
    return held_s


def _crash_at_next_renewal(
    executor: MemoryExecutor, crashed_at: dict[str, float]
) -> None:
    poll = executor.poll

    async def crash_or_poll(epoch, acked_end, lease_until_s, wait_s):
        if lease_until_s and executor.info.id not in crashed_at:
            executor.crash()
            crashed_at[executor.info.id] = asyncio.get_running_loop().time()
        return await poll(epoch, acked_end, lease_until_s, wait_s)

    executor.poll = crash_or_poll


async def _submit_after(
    cell: SimulatedCell, delay_s: float, *, gang: bool
) -> None:
    await asyncio.sleep(delay_s)
    step = Step(4, millicores=1000, memory_mb=500, estimate_s=1.0, gang=gang)
    await cell.submit(cell.make_job("sweep", step, run_s=1.0))
