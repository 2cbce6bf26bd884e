"""Faults of the soak around outages of the store in which leases expire.

An end that a leader knows can't be stored then, and the executor that listed it
may crash. The next leader runs the task again, so no caller may have been told
that it is done.
"""

__all__ = ["OUTAGE_FAULTS"]

import asyncio
import random

from dragonflybank.bench.soak.process_cell import ProcessCell

# Longer than the lease of the leader's key.
OUTAGE_RANGE_S = (2.0, 5.0)
MAX_CRASHED = 2
CRASH_RANGE_S = (0.2, 5.0)
MAX_WATCH_DELAY_S = 0.6
LOST_SHARE = 0.3
WATCH_FAULT_S = 2.0


async def store_lapses(cell: ProcessCell, rng: random.Random) -> None:
    """The store doesn't answer, leases expire, and executors crash.

    The watches are late or read all keys again, or answers to writes are lost.
    """
    faults = cell.store.faults
    outage_s = rng.uniform(*OUTAGE_RANGE_S)
    faults.is_history_lost = rng.random() < 0.5
    faults.watch_delay_s = rng.choice((0.0, MAX_WATCH_DELAY_S))
    faults.lost_share = rng.choice((0.0, LOST_SHARE))
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    faults.pauses_leases = False
    faults.is_down = True
    crashing = [
        asyncio.create_task(
            _crash(
                cell,
                rng.uniform(0.0, outage_s),
                rng.uniform(*CRASH_RANGE_S),
                rng.random(),
            )
        )
        for _ in range(rng.randint(1, MAX_CRASHED))
    ]
    await asyncio.sleep(outage_s)
    faults.is_down = False
    await asyncio.sleep(WATCH_FAULT_S)
    faults.watch_delay_s = faults.lost_share = 0.0
    await asyncio.gather(*crashing)


async def leader_without_key(cell: ProcessCell, rng: random.Random) -> None:
    """The leader's key is gone while the store doesn't answer the leader."""
    leader = cell.leader()
    if not leader:
        return
    cell.store.faults.cut_hosts.add(leader)
    cell.processes[leader].mark_disturbed()
    cell.store.revoke("leader")
    await asyncio.sleep(rng.uniform(*CRASH_RANGE_S))
    cell.store.faults.cut_hosts.discard(leader)
    cell.processes[leader].mark_disturbed()


async def _crash(
    cell: ProcessCell, delay_s: float, duration_s: float, draw: float
) -> None:
    """Crashes an executor, and restarts it under its identifier.

    Args:
        cell: The cell.
        delay_s: Time until it crashes, in seconds.
        duration_s: Time until it restarts, in seconds.
        draw: Selects the executor; from 0 to 1.
    """
    await asyncio.sleep(delay_s)
    executors = list(cell.executors.values())
    executor = executors[int(draw * len(executors))]
    if executor.faults.is_crashed or executor.info.draining:
        return
    executor.crash()
    await asyncio.sleep(duration_s)
    if executor.faults.is_crashed:
        executor.restart()
        cell.write_executor_entry(executor)


OUTAGE_FAULTS = {
    fault.__name__: fault for fault in (store_lapses, leader_without_key)
}
