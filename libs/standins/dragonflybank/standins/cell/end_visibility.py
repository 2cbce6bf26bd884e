"""Measures how long after its last task callers see that a job is completed.

``python -m dragonflybank.standins.cell.end_visibility FIRST LAST`` plays cells
without faults; with ``--outages``, with the schedules of `draw_outages`. It
prints the median and the 99th percentile of the time from the end of the last
task to the first host, and to the last live host, that calls the job completed.
"""

__all__ = ["EndTimes", "measure_seed"]

import asyncio
import statistics
import sys

import attrs

from dragonflybank.cell.jobs import JobPhase
from dragonflybank.standins.cell.cell_faults import ScheduledFault
from dragonflybank.standins.cell.schedules import draw_outages, run_schedule
from dragonflybank.standins.cell.simulated_cell import SimulatedCell
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time

SAMPLE_INTERVAL_S = 0.01


@attrs.define
class EndTimes:
    """Times at which hosts call jobs completed, in seconds.

    Attributes:
        first: Time of the first host, by job.
        last: Time since which all live hosts do, by job.
    """

    first: dict[str, float] = attrs.field(factory=dict)
    last: dict[str, float] = attrs.field(factory=dict)


def measure_seed(
    seed: int, schedule: list[ScheduledFault]
) -> tuple[list[float], list[float]]:
    """Plays a cell and returns the delays to the first and to all hosts.

    Args:
        seed: Seed of the cell.
        schedule: Faults with their times.

    Returns:
        Two lists of delays in seconds, one entry for each completed job.
    """
    return run_in_virtual_time(_measure(seed, schedule))


async def _measure(
    seed: int, schedule: list[ScheduledFault]
) -> tuple[list[float], list[float]]:
    cell, times = SimulatedCell(seed), EndTimes()
    await cell.start()
    sampling = asyncio.create_task(_sample(cell, times))
    await run_schedule(cell, schedule)
    sampling.cancel()
    ended_at: dict[str, float] = {}
    for executor in cell.executors.values():
        for run in executor.runs:
            if run.ended_at is not None:
                job = run.task.job
                ended_at[job] = max(ended_at.get(job, 0.0), run.ended_at)
    return tuple(
        [at - ended_at[job] for job, at in found.items()]
        for found in (times.first, times.last)
    )


async def _sample(cell: SimulatedCell, times: EndTimes) -> None:
    while True:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        now = asyncio.get_running_loop().time()
        frontends = [host.frontend for host in cell.hosts.values()]
        for job in cell.history.accepted:
            if job in times.last:
                continue
            shown = [
                f.known_phase(job) is JobPhase.COMPLETED for f in frontends
            ]
            if any(shown):
                times.first.setdefault(job, now)
            if shown and all(shown):
                times.last[job] = now


def _describe(name: str, delays_s: list[float]) -> str:
    hundredths = statistics.quantiles(delays_s, n=100)
    return (
        f"{name}: {len(delays_s)} jobs, median {hundredths[49]:.3f} s, "
        f"99th {hundredths[98]:.3f} s"
    )


def main(first: int, last: int, *, outages: bool) -> None:
    """Measures the cells of a range of seeds and prints the delays."""
    found = [
        measure_seed(seed, draw_outages(seed) if outages else [])
        for seed in range(first, last + 1)
    ]
    print(_describe("first host", [d for delays, _ in found for d in delays]))
    print(_describe("all hosts", [d for _, delays in found for d in delays]))


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), outages="--outages" in sys.argv)
