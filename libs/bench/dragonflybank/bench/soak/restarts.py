"""Faults of the soak that restart executors under their identifiers.

A restarted executor has a new clock and new numbers of ends. Calls that were
meant for the former incarnation reach the new one if they were sent while the
executor was starting, or were held back on the way.
"""

__all__ = ["RESTART_FAULTS"]

import asyncio
import contextlib
import random

from dragonflybank.bench.deployment import wait_until
from dragonflybank.bench.soak.process_cell import ProcessCell
from dragonflybank.bench.soak.processes import HostProcess
from dragonflybank.standins.cell.executors import MemoryExecutor

RESTART_DURATION_RANGE_S = (0.2, 0.8)
TIME_TO_CUT_RANGE_S = (0.3, 3.0)
CUT_RANGE_S = (0.5, 9.0)
LEADER_FAULT_RANGE_S = (0.5, 5.0)
CALLS_LATE_RANGE_S = (1.0, 4.0)
MAX_SIGNAL_GAP_S = 1.0
ACKNOWLEDGEMENT_TIMEOUT_S = 5.0
ACKNOWLEDGEMENT_CHECK_INTERVAL_S = 0.002


async def executors_restart(cell: ProcessCell, rng: random.Random) -> None:
    """Executors restart and are cut off soon after, once or twice in a row.

    Either one executor or a third of them.
    """
    executors = list(cell.executors.values())
    chosen = rng.sample(executors, rng.choice((1, max(1, len(executors) // 3))))
    for _ in range(rng.choice((1, 2))):
        await asyncio.gather(
            *(
                _restart_and_cut(cell, e, random.Random(rng.getrandbits(32)))
                for e in chosen
            )
        )


async def leader_disturbed(cell: ProcessCell, rng: random.Random) -> None:
    """Leaders are killed, paused or cut off from the store in a row."""
    for _ in range(rng.randint(1, 3)):
        host = _leader_or_any(cell, rng)
        duration_s = rng.uniform(*LEADER_FAULT_RANGE_S)
        match rng.randrange(3):
            case 0:
                cell.add_note(f"{host.name} is killed")
                host.kill()
            case 1:
                cell.add_note(f"{host.name} is paused for {duration_s:.2f} s")
                host.pause()
                await asyncio.sleep(duration_s)
                host.resume()
            case 2:
                cell.add_note(f"{host.name} is cut off for {duration_s:.2f} s")
                cell.store.faults.cut_hosts.add(host.name)
                host.mark_disturbed()
                await asyncio.sleep(duration_s)
                cell.store.faults.cut_hosts.discard(host.name)
                host.mark_disturbed()
        await asyncio.sleep(rng.uniform(0.0, 2.0))


async def leader_and_executors(cell: ProcessCell, rng: random.Random) -> None:
    """Executors restart while leaders are disturbed."""
    await asyncio.gather(
        executors_restart(cell, random.Random(rng.getrandbits(32))),
        leader_disturbed(cell, random.Random(rng.getrandbits(32))),
    )


async def calls_late(cell: ProcessCell, rng: random.Random) -> None:
    """Many commands and polls are lost or late, or overtake each other."""
    executors = list(cell.executors.values())
    is_overtaking = rng.random() < 0.3
    for executor in executors:
        faults = executor.faults
        if is_overtaking:
            faults.max_delay_s = 0.2
        else:
            faults.late_share = faults.lost_share = 0.2
    await asyncio.sleep(rng.uniform(*CALLS_LATE_RANGE_S))
    for executor in executors:
        executor.faults.late_share = executor.faults.lost_share = 0.0
        executor.faults.max_delay_s = 0.0


async def signals_overlap(cell: ProcessCell, rng: random.Random) -> None:
    """Two series of signals and changes of the configuration overlap."""

    async def run_series(rng: random.Random) -> None:
        for _ in range(rng.randint(3, 6)):
            host = rng.choice(list(cell.processes.values()))
            match rng.randrange(3):
                case 0:
                    host.terminate()
                case 1 if host.was_ready:
                    host.reload()
                case 2:
                    cell.configure()
            await asyncio.sleep(rng.uniform(0.0, MAX_SIGNAL_GAP_S))

    await asyncio.gather(
        *(run_series(random.Random(rng.getrandbits(32))) for _ in range(2))
    )


async def killed_after_acknowledgement(
    cell: ProcessCell, rng: random.Random
) -> None:
    """All hosts are killed right after an acknowledgement.

    It is the answer to a submission or cancel, or that of an attempt's end to
    an executor. Executors restart at the same time.
    """
    executors = list(cell.executors.values())
    restarting = rng.sample(executors, max(1, len(executors) // 3))
    what, count = rng.choice(
        (("an answer", _count_answers), ("an end", _count_acknowledged_ends))
    )
    count_before = count(cell)

    async def is_acknowledged() -> bool:
        return count(cell) > count_before

    with contextlib.suppress(TimeoutError):
        await wait_until(
            is_acknowledged,
            timeout_s=ACKNOWLEDGEMENT_TIMEOUT_S,
            interval_s=ACKNOWLEDGEMENT_CHECK_INTERVAL_S,
        )
    for host in cell.processes.values():
        host.kill()
    found = what if await is_acknowledged() else "nothing"
    cell.add_note(f"all hosts are killed, {found} was acknowledged")
    await asyncio.gather(
        *(
            _restart(cell, e, random.Random(rng.getrandbits(32)))
            for e in restarting
        )
    )


def _count_answers(cell: ProcessCell) -> int:
    return len(cell.history.accepted) + len(cell.history.cancelled)


def _count_acknowledged_ends(cell: ProcessCell) -> int:
    return sum(
        run.acked_at is not None
        for executor in cell.executors.values()
        for run in executor.runs
    )


def _leader_or_any(cell: ProcessCell, rng: random.Random) -> HostProcess:
    leader = cell.leader()
    return cell.processes[leader or rng.choice(list(cell.processes))]


async def _restart(
    cell: ProcessCell, executor: MemoryExecutor, rng: random.Random
) -> bool:
    """Restarts an executor; returns False if it is down or draining.

    Calls in progress get no answer. New connections wait until it is back, and
    calls whose senders gave up meanwhile reach the new incarnation too.
    """
    if executor.faults.is_crashed or executor.info.draining:
        return False
    proxy = cell.executor_proxies[executor.info.id]
    cell.add_note(f"{_describe(executor)} ends")
    proxy.stop_forwarding()
    proxy.hold_connections()
    executor.crash()
    await asyncio.sleep(rng.uniform(*RESTART_DURATION_RANGE_S))
    if executor.faults.is_crashed:
        executor.restart()
    cell.add_note(f"{_describe(executor)} begins")
    if rng.random() < 0.5:
        cell.write_executor_entry(executor)
    if executor.faults.late_share:
        # Held calls would be delayed twice, to over 12 s together.
        proxy.reset()
    proxy.release_connections()
    return True


async def _restart_and_cut(
    cell: ProcessCell, executor: MemoryExecutor, rng: random.Random
) -> None:
    if not await _restart(cell, executor, rng):
        return
    await asyncio.sleep(rng.uniform(*TIME_TO_CUT_RANGE_S))
    executor_id = executor.info.id
    proxy = cell.executor_proxies[executor_id]
    kind = rng.choice(("loses calls", "delays calls", "holds answers back"))
    is_silent = rng.random() < 0.5
    cell.add_note(
        f"{_describe(executor)} is cut off, its link {kind}, it "
        f"{'does not renew' if is_silent else 'renews'} its entry"
    )
    if is_silent:
        cell.silent_executors.add(executor_id)
    match kind:
        case "loses calls":
            executor.faults.is_cut = True
        case "delays calls":
            executor.faults.late_share = 1.0
        case "holds answers back":
            proxy.block(1)
    await asyncio.sleep(rng.uniform(*CUT_RANGE_S))
    executor.faults.is_cut = False
    executor.faults.late_share = 0.0
    proxy.end_faults()
    cell.silent_executors.discard(executor_id)
    cell.add_note(f"{_describe(executor)} is reachable")


def _describe(executor: MemoryExecutor) -> str:
    return f"{executor.info.id}/{executor.info.incarnation}"


RESTART_FAULTS = {
    fault.__name__: fault
    for fault in (
        executors_restart,
        leader_and_executors,
        leader_disturbed,
        calls_late,
        signals_overlap,
        killed_after_acknowledgement,
    )
}
