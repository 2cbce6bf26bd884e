"""Plays seeds of the soak and judges them while they run."""

__all__ = ["Soak", "play_seed"]

import asyncio
import pathlib
import random

import attrs

from dragonflybank.bench.soak.faults import FAULTS, heal
from dragonflybank.bench.soak.process_cell import SoakWorld
from dragonflybank.standins.cell.checks import find_violations
from dragonflybank.standins.cell.simulated_cell import SubmissionLoad

CHECK_EVERY_S = 1.0
PAUSE_S = (0.2, 2.5)
# The leader's lease, the executors' leases and the longest chain of work
# twice over, with room for retries of callers.
FINISH_S = 60.0
# Faults that change what the whole cell can reach.
_STORE_FAULTS = ("store_down", "store_slow", "writes_lost", "history_lost")


@attrs.frozen
class Soak:
    """What a seed is played with.

    Attributes:
        seconds: Time for which jobs and faults come.
        jobs_per_s: Jobs a second.
        hosts: Number of hosts.
        executors: Number of executors.
        series: Number of series of faults that overlap.
        faults: Names of the faults to draw from.
    """

    seconds: float = 20.0
    jobs_per_s: float = 5.0
    hosts: int = 3
    executors: int = 6
    series: int = 2
    faults: tuple[str, ...] = tuple(FAULTS)


async def play_seed(
    seed: int, folder: pathlib.Path, soak: Soak | None = None
) -> tuple[list[str], list[str]]:
    """Plays a seed.

    Args:
        seed: Seed of jobs and faults.
        folder: Where the logs of the hosts are written.
        soak: What to play.

    Returns:
        A line for each broken promise, and what was done to the cell.
    """
    soak = soak or Soak()
    world = SoakWorld(seed, folder, hosts=soak.hosts, executors=soak.executors)
    found: list[str] = []
    try:
        await world.start()
        load = SubmissionLoad(
            jobs_per_s=soak.jobs_per_s, duration_s=soak.seconds
        )
        checking = asyncio.create_task(_check_always(world, found))
        running = asyncio.create_task(
            world.run_load(load, finish_timeout_s=FINISH_S)
        )
        await _strike(world, soak, seed)
        heal(world)
        world.note("healed")
        found += [line for line in await running if line not in found]
        checking.cancel()
    finally:
        await world.close()
    ended = [line for host in world.processes.values() for line in host.wrong]
    world.note(world.summary())
    return [*found, *world.wrong, *ended], world.notes


async def _strike(world: SoakWorld, soak: Soak, seed: int) -> None:
    until = world.now() + soak.seconds

    async def one(number: int) -> None:
        rng = random.Random(f"{seed}.{number}")
        while world.now() < until:
            await asyncio.sleep(rng.uniform(*PAUSE_S))
            name = rng.choice(soak.faults)
            world.note(f"{name} begins, {world.leader() or 'nobody'} leads")
            if name in _STORE_FAULTS:
                world.disturbed_at = float("inf")
            await FAULTS[name](world, rng)
            if name in _STORE_FAULTS:
                world.disturbed_at = world.now()
            world.note(f"{name} ends")

    await asyncio.gather(*(one(number) for number in range(soak.series)))


async def _check_always(world: SoakWorld, found: list[str]) -> None:
    while True:
        await asyncio.sleep(CHECK_EVERY_S)
        for line in find_violations(world.history, world.executors.values()):
            if line not in found:
                found.append(line)
                world.note(line)
