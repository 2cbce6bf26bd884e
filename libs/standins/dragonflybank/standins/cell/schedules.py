"""Random schedules of overlapping faults for a simulated cell.

``python -m dragonflybank.standins.cell.schedules FIRST LAST`` runs the
schedules of a range of seeds and prints those that violated a rule. With the
option ``--restart-series``, executors restart in series and are cut off; with
``--outages``, the store is down so long that leases expire, and executors crash
meanwhile.
"""

__all__ = [
    "draw_outages",
    "draw_restart_series",
    "draw_schedule",
    "play_schedule",
    "run_schedule",
]

import asyncio
import random
import sys
from collections.abc import Callable, Sequence

from dragonflybank.standins.cell.cell_faults import (
    DARK_RANGE_S,
    FAULTS,
    ScheduledFault,
    inject_fault,
)
from dragonflybank.standins.cell.simulated_cell import (
    SimulatedCell,
    SubmissionLoad,
)
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time

LOAD = SubmissionLoad(jobs_per_s=5.0, duration_s=12.0)
LAST_START_S = 12.0
# So many that series overlap.
MAX_FAULTS = 10
DURATIONS_S = (0.2, 1.0, 2.5, 5.0)
# Longer than the lease of the leader's key.
OUTAGE_RANGE_S = (2.0, 5.0)
MAX_OUTAGES = 3


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
    return await run_schedule(cell, schedule)


async def run_schedule(
    cell: SimulatedCell, schedule: Sequence[ScheduledFault]
) -> list[str]:
    """Runs the load of `play_schedule` on a started cell.

    Args:
        cell: The cell.
        schedule: Faults with their times.

    Returns:
        A line for each violation of a rule.
    """
    injecting = [
        asyncio.create_task(inject_fault(cell, scheduled))
        for scheduled in schedule
    ]
    found = await cell.run_load(LOAD)
    await asyncio.gather(*injecting)
    return found


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
