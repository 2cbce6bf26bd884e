"""Tests of how soon the tasks of executors that are lost for good restart."""

import asyncio

import testtools
from testtools.matchers import LessThan

from dragonflybank.cell.jobs import Step
from dragonflybank.cell.lease_bounds import longest_lease_s
from dragonflybank.cell.limits import CellLimits
from dragonflybank.standins.cell.executors import MemoryExecutor
from dragonflybank.standins.cell.simulated_cell import SimulatedCell
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time

SETTLED_S = 5.0
# A poll that waits 1.5 s is under way at the loss, and the next call may take
# 0.4 s to time out.
NOTICE_S = 2.5
TICKET_VALID_S = 2.0


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
