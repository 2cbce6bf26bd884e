"""A job that is shown as completed is started again by the next leader."""

import asyncio
import pathlib
import time

from lab_3 import Cell, Executor, job_id, run_case

FOLDER = pathlib.Path(__file__).parent
EXECUTORS = 8
LOOKUPS = 20
RUN_S = 0.3
OUTAGE_S = 4.5
ROUNDS = 3
# Time in which a start counts as one after the job was shown as completed.
SHOWN_FOR_S = 1.0
# Longer than a new leader waits for an executor that it doesn't hear: late
# starts may arrive for 12 s and run for the longest lease.
WATCHED_S = 26.0


async def submit(cell: Cell, first: int) -> list[str]:
    """Submits lookups within 0.4 s; returns those that were accepted."""
    body = {
        "spec": f'{{"run_s": {RUN_S}}}',
        "steps": [{"count": 1, "cpu": 2000, "mem_mb": 256}],
    }

    async def hand_in(number: int) -> tuple[str, int]:
        await asyncio.sleep(0.3 * number / LOOKUPS)
        name = job_id(first + number)
        host = cell.hosts[number % len(cell.hosts)]
        status, _ = await cell.call(host, "POST", f"/q0/{name}", body)
        return name, status

    found = await asyncio.gather(*map(hand_in, range(LOOKUPS)))
    return [name for name, status in found if status == 200]


async def watch_states(cell: Cell, names: list[str], seconds: float) -> dict:
    """Returns when jobs were first shown as completed, by any host."""
    shown: dict[str, float] = {}
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for host in cell.hosts:
            for name in names:
                status, found = await cell.call(
                    host, "GET", f"/q0/{name}", is_recorded=False
                )
                if status == 200 and found["state"] == "completed":
                    if name not in shown:
                        cell.record.write(f"{host.name}: {name} completed")
                    shown.setdefault(name, time.monotonic())
        await asyncio.sleep(0.1)
    return shown


async def play_round(cell: Cell, number: int, *, trouble: bool) -> bool:
    """Returns whether no completed job was started again."""
    names = await submit(cell, 1000 * (number + 1))
    if trouble:
        cell.store.go_down()
    await asyncio.sleep(2.0)
    starts = {n: _starts(cell, n) for n in names}
    busiest = max(
        cell.executors, key=lambda e: sum(t[:16] in names for t in e.started)
    )
    if trouble:
        cell.record.write(f"{busiest.name}: crashes")
        cell.executors.remove(busiest)
        cell.ended.append(busiest)
        await busiest.close()
        new = Executor(f"i-new-{number}", cell.store, cell.record, ("a", "r0"))
        await asyncio.sleep(OUTAGE_S - 2.0)
        cell.store.remove(f"servers/{busiest.name}")
        cell.store.come_back(lapse=True)
        cell.executors.append(new)
        await new.start()
    shown = await watch_states(cell, names, 4.0)
    # Those of which a start was under way are left out.
    before = {n: _starts(cell, n) for n in names}
    await asyncio.sleep(WATCHED_S - 4.0 if trouble else 2.0)
    again = [
        n
        for n, at in shown.items()
        if time.monotonic() > at + SHOWN_FOR_S
        and _starts(cell, n) > before[n] >= starts[n] > 0
    ]
    for name in again:
        cell.record.write(f"TWICE: {name} started again")
    cell.record.write(
        f"round {number}: {len(names)} accepted, {len(shown)} shown as "
        f"completed, {len(again)} of these started again"
    )
    return not again


def _starts(cell: Cell, name: str) -> int:
    return sum(
        text[:16] == name
        for executor in (*cell.executors, *cell.ended)
        for text in executor.start_log
    )


async def main(trouble: bool) -> int:
    """Returns the exit status of the case."""
    async with Cell(FOLDER, hosts=3, executors=EXECUTORS) as cell:
        if not await cell.wait_until_ready(20.0):
            return 2
        await asyncio.sleep(2.0)
        for number in range(ROUNDS):
            if not await play_round(cell, number, trouble=trouble):
                return 1
        return 0


run_case(main)
