"""Drawn workloads of all kinds of work, under drawn faults.

``python -m dragonflybank.standins.cell.waiting_schedules FIRST LAST`` plays the
cells of a range of seeds and prints those that violated a rule of `checks` or
of `waiting_check`. With the option ``--full``, the services of these cells are
full most of the time. With ``--slow-advice``, calls for advice take 0.3 s. With
``--losses``, executors are lost for good near the end of the submissions, and
leaders change in series after it.
"""

__all__ = ["DrawnCell", "add_losses", "draw_cell", "fill_cell", "play_cell"]

import asyncio
import random
import sys
from collections.abc import Callable, Sequence

import attrs

from dragonflybank.cell.jobs import AdviceTiming, Job, Step
from dragonflybank.cell.ports import EndKind
from dragonflybank.cell.teams import ResourceCap, Team, key_digest
from dragonflybank.standins.cell.cell_faults import (
    ScheduledFault,
    inject_fault,
)
from dragonflybank.standins.cell.checks import find_violations
from dragonflybank.standins.cell.schedules import draw_schedule
from dragonflybank.standins.cell.simulated_cell import (
    SERVICE_NAME,
    SimulatedCell,
)
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time
from dragonflybank.standins.cell.waiting_check import WaitingCheck

OTHER_SERVICE = "archive"
QUEUES = ("lookup", "verify", "sweep")
FIRST_SUBMISSION_S = 1.0
LAST_SUBMISSION_S = 18.0
# After the last submission, waits and restarts are observed for this long.
OBSERVATION_S = 14.0
# With the schedule of a seed, or without a fault.
FAULT_SHARE = 0.6
FULL_JOBS_PER_S = 12.0
# Tickets are valid for 2 s, as those of the users' platform.
TICKETS_VALID_S = 2.0
SLOW_ADVICE_S = 0.3
# Losses for good, and leaders that are lost after each of them.
MAX_LOSSES = 3
LOSS_RANGE_S = (10.0, LAST_SUBMISSION_S + 2.0)
NEVER_S = 1000.0
MAX_LEADERS_LOST = 4
LEADER_LOST_AFTER_S = (1.0, 5.0)
LEADER_FAULTS = (
    "host_cut_from_store",
    "host_dark",
    "host_frozen",
    "host_killed",
)
LEADER_FAULT_S = (1.0, 2.5, 5.0)
LOSS_OBSERVATION_S = 45.0


@attrs.frozen
class DrawnCell:
    """A cell and its load.

    Attributes:
        seed: Seed of the cell.
        services: Its services, among which the executors are dealt out.
        executors: Number of its executors.
        is_advised: Whether queues other than ``lookup`` need advice.
        caps_in_cores: Caps by team; 0 for no limit.
        jobs_per_s: Average rate of submissions in jobs per second.
        max_estimate_error: Largest factor by which estimates are off.
        moves_at_s: Times at which a queue moves to another service, in
            seconds.
        failures_at_s: Times at which a long-running task fails, in seconds.
        faults: Faults with their times.
        advice_s: Duration of a call for advice in seconds.
        observation_s: Time after the last submission for which waits and
            restarts are observed, in seconds.
    """

    seed: int
    services: tuple[str, ...]
    executors: int
    is_advised: bool
    caps_in_cores: tuple[tuple[str, int], ...]
    jobs_per_s: float
    max_estimate_error: float
    moves_at_s: tuple[float, ...]
    failures_at_s: tuple[float, ...]
    faults: tuple[ScheduledFault, ...]
    advice_s: float = 0.02
    observation_s: float = OBSERVATION_S


def draw_cell(seed: int) -> DrawnCell:
    """Draws the cell of a seed and its load."""
    rng = random.Random(seed)
    services = rng.choice(((SERVICE_NAME,), (SERVICE_NAME, OTHER_SERVICE)))
    has_faults = rng.random() < FAULT_SHARE
    return DrawnCell(
        seed,
        services,
        executors=rng.choice((3, 6, 9)) * len(services),
        is_advised=rng.random() < 0.7,
        caps_in_cores=(
            (("forecast", 80), ("research", 120), ("survey", 0))
            if rng.random() < 0.5
            else ()
        ),
        jobs_per_s=rng.choice((0.5, 1.0, 2.0, 4.0)),
        max_estimate_error=rng.choice((1.0, 3.0, 10.0)),
        moves_at_s=(
            _draw_times(rng, 3)
            if len(services) > 1 and rng.random() < 0.5
            else ()
        ),
        failures_at_s=_draw_times(rng, 8),
        faults=tuple(draw_schedule(seed)) if has_faults else (),
    )


def fill_cell(drawn: DrawnCell) -> DrawnCell:
    """Returns a cell with more load than its services can do."""
    executors = min(drawn.executors, 6 * len(drawn.services))
    return attrs.evolve(
        drawn,
        executors=executors,
        jobs_per_s=FULL_JOBS_PER_S * executors / 6,
    )


def add_losses(drawn: DrawnCell) -> DrawnCell:
    """Returns a cell that loses executors, and leaders in series after it."""
    rng = random.Random(f"losses {drawn.seed}")
    faults = list(drawn.faults)
    for _ in range(rng.randint(1, MAX_LOSSES)):
        at = rng.uniform(*LOSS_RANGE_S)
        # Even numbers select executors one after the other.
        target = 2 * rng.randrange(drawn.executors)
        faults.append(ScheduledFault(at, "executor_crashed", target, NEVER_S))
        for _ in range(rng.randint(0, MAX_LEADERS_LOST)):
            at += rng.uniform(*LEADER_LOST_AFTER_S)
            faults.append(
                ScheduledFault(
                    at,
                    rng.choice(LEADER_FAULTS),
                    # An odd number selects the leader.
                    2 * rng.randrange(50) + 1,
                    rng.choice(LEADER_FAULT_S),
                )
            )
    return attrs.evolve(
        drawn, faults=tuple(faults), observation_s=LOSS_OBSERVATION_S
    )


def play_cell(drawn: DrawnCell) -> list[str]:
    """Plays a drawn cell and returns a line for each violation of a rule."""
    return run_in_virtual_time(_run(drawn))


def _draw_times(rng: random.Random, most: int) -> tuple[float, ...]:
    return tuple(
        sorted(
            rng.uniform(2.0, LAST_SUBMISSION_S + 4.0)
            for _ in range(rng.randint(0, most))
        )
    )


class _AdvisedCell(SimulatedCell):
    """A simulated cell whose calls for advice take the drawn time."""

    def __init__(self, drawn: DrawnCell, **kwargs):
        super().__init__(drawn.seed, **kwargs)
        self._advice_s = drawn.advice_s
        timing = AdviceTiming(drawn.advice_s, 0.0, TICKETS_VALID_S)
        self._queues = {
            name: attrs.evolve(queue, advised=queue.advised and timing)
            for name, queue in self._queues.items()
        }

    async def start_host(self, name: str) -> None:
        """Starts a new process of a host."""
        await super().start_host(name)
        self.hosts[name].platform.advice.call_s = self._advice_s


async def _run(drawn: DrawnCell) -> list[str]:
    cell = _AdvisedCell(
        drawn,
        executors=drawn.executors,
        advised=drawn.is_advised,
        services=drawn.services,
        teams={
            name: Team(
                name,
                (key_digest(name),),
                cap=ResourceCap(1000 * cores, 1000 * cores),
            )
            for name, cores in drawn.caps_in_cores
        },
    )
    await cell.start()
    check = WaitingCheck(cell)
    rng = random.Random(drawn.seed + 1)
    tasks = [
        asyncio.create_task(coro)
        for coro in (
            check.run(),
            _move_queues(cell, drawn, rng),
            _fail_lasting_tasks(cell, drawn, rng),
            *(inject_fault(cell, fault) for fault in drawn.faults),
            *(
                _submit(cell, drawn, rng)
                for _ in range(
                    int(
                        drawn.jobs_per_s
                        * (LAST_SUBMISSION_S - FIRST_SUBMISSION_S)
                    )
                )
            ),
        )
    ]
    await asyncio.sleep(LAST_SUBMISSION_S + drawn.observation_s)
    for task in tasks:
        task.cancel()
    ended = await asyncio.gather(*tasks, return_exceptions=True)
    raised = [
        f"RAISED {found!r}" for found in ended if isinstance(found, Exception)
    ]
    return [
        *raised,
        *check.violations,
        *find_violations(cell.history, cell.executors.values()),
    ]


async def _submit(
    cell: SimulatedCell, drawn: DrawnCell, rng: random.Random
) -> None:
    # Whole seconds make bursts.
    at = rng.uniform(FIRST_SUBMISSION_S, LAST_SUBMISSION_S)
    await asyncio.sleep(rng.choice((at, float(int(at)))))
    job = _draw_job(cell, drawn, rng)
    is_cancelled = rng.random() < 0.05
    if await cell.submit(job) and is_cancelled:
        await asyncio.sleep(rng.uniform(0.0, 3.0))
        await cell.cancel(job)


async def _move_queues(
    cell: SimulatedCell, drawn: DrawnCell, rng: random.Random
) -> None:
    """Deals out the queues to the services, and moves one at each time."""
    moved = {name: rng.choice(drawn.services) for name in QUEUES}
    cell.configure(2, moved_queues=moved)
    began = asyncio.get_running_loop().time()
    for version, at in enumerate(drawn.moves_at_s, 3):
        await asyncio.sleep(began + at - asyncio.get_running_loop().time())
        moved = {rng.choice(QUEUES): rng.choice(drawn.services)}
        cell.configure(version, moved_queues=moved)


async def _fail_lasting_tasks(
    cell: SimulatedCell, drawn: DrawnCell, rng: random.Random
) -> None:
    began = asyncio.get_running_loop().time()
    for at in drawn.failures_at_s:
        await asyncio.sleep(began + at - asyncio.get_running_loop().time())
        running = [
            (executor, run)
            for executor in cell.executors.values()
            for run in executor.running.values()
            if (job := cell.history.jobs.get(run.task.job))
            and job.steps[run.task.step].lasting
        ]
        if running:
            executor, run = rng.choice(running)
            executor.end_by_gang(run, EndKind.FAILED)


def _draw_job(cell: SimulatedCell, drawn: DrawnCell, rng: random.Random) -> Job:
    # Mostly short tasks, and some that are longer than any allowed wait.
    run_s = rng.uniform(0.3, 3.0) if rng.random() < 0.7 else rng.uniform(3, 12)
    error = drawn.max_estimate_error ** rng.uniform(-1.0, 1.0)
    kind = rng.choices(list(KINDS), WEIGHTS)[0]
    step = attrs.evolve(KINDS[kind](rng), estimate_s=run_s * error)
    steps = [step]
    if not step.lasting and rng.random() < 0.2:
        # A second step of another shape, after the first.
        other = KINDS[rng.choice(("lookup", "wide", "gang"))](rng)
        steps.append(attrs.evolve(other, estimate_s=run_s * error, after=(0,)))
    job = cell.make_job(
        rng.choice(QUEUES),
        *steps,
        run_s=run_s,
        team=rng.choice(sorted(cell.teams)) if cell.teams else "",
    )
    if step.lasting or rng.random() > 0.1:
        return job
    return attrs.evolve(
        job,
        start_at=job.accepted_at + rng.uniform(0.0, 2.0),
        interval_s=rng.uniform(2.0, 5.0),
        repeat=rng.randint(1, 4),
    )


def _make_step(rng: random.Random, widths: range, cores: range, **kwargs):
    each = rng.choice(cores)
    return Step(
        rng.choice(widths),
        millicores=1000 * each,
        memory_mb=1000 * each,
        **kwargs,
    )


def _lookup(rng: random.Random) -> Step:
    return _make_step(rng, range(1, 4), range(1, 7))


def _wide(rng: random.Random) -> Step:
    return _make_step(
        rng, range(10, 31), range(1, 5), checkpoints=rng.random() < 0.5
    )


def _large(rng: random.Random) -> Step:
    return _make_step(rng, range(1, 3), range(10, 25))


def _gang(rng: random.Random) -> Step:
    # It fits into half of the smallest cap and of two executors.
    return _make_step(rng, range(2, 7), range(1, 7), gang=True)


def _spread_gang(rng: random.Random) -> Step:
    """Returns a gang that needs room on many executors at the same time."""
    return _make_step(
        rng, range(2, 10), range(4, 29), gang=True, max_per_executor=1
    )


def _labelled_gang(rng: random.Random) -> Step:
    return attrs.evolve(_gang(rng), label=f"rack-{rng.randrange(2)}")


def _lasting(rng: random.Random) -> Step:
    return _make_step(rng, range(1, 3), range(1, 4), lasting=True)


def _filling(rng: random.Random) -> Step:
    return _make_step(rng, range(1, 5), range(1, 4), filling=True)


def _labelled(rng: random.Random) -> Step:
    return _make_step(
        rng, range(1, 5), range(1, 7), label=f"rack-{rng.randrange(2)}"
    )


def _limited(rng: random.Random) -> Step:
    return _make_step(
        rng, range(1, 7), range(1, 7), max_per_executor=rng.randint(1, 2)
    )


def _duplicated(rng: random.Random) -> Step:
    return _make_step(rng, range(1, 5), range(1, 5), duplicates=True)


# The draws of a seed depend on the order of the kinds.
KINDS: dict[str, Callable[[random.Random], Step]] = {
    "lookup": _lookup,
    "wide": _wide,
    "large": _large,
    "gang": _gang,
    "lasting": _lasting,
    "filling": _filling,
    "labelled": _labelled,
    "limited": _limited,
    "duplicated": _duplicated,
    "spread gang": _spread_gang,
    "labelled gang": _labelled_gang,
}
WEIGHTS: Sequence[int] = (6, 1, 2, 2, 2, 2, 2, 2, 1, 3, 2)


def main(
    first: int,
    last: int,
    *,
    is_full: bool = False,
    has_slow_advice: bool = False,
    has_losses: bool = False,
) -> int:
    """Plays the cells of a range of seeds.

    Args:
        first: First seed.
        last: Last seed.
        is_full: Whether their services are full most of the time.
        has_slow_advice: Whether calls for advice take `SLOW_ADVICE_S`.
        has_losses: Whether executors are lost, and leaders in series.

    Returns:
        The number of cells that violated a rule.
    """
    violating = 0
    for seed in range(first, last + 1):
        drawn = draw_cell(seed)
        if is_full:
            drawn = fill_cell(drawn)
        if has_slow_advice:
            drawn = attrs.evolve(drawn, advice_s=SLOW_ADVICE_S)
        if has_losses:
            drawn = add_losses(drawn)
        found = play_cell(drawn)
        violating += bool(found)
        if found:
            print(f"seed {seed}: {len(found)} {found[:3]}", flush=True)
    print(f"{last + 1 - first} cells, {violating} broke a rule")
    return violating


if __name__ == "__main__":
    found_any = main(
        int(sys.argv[1]),
        int(sys.argv[2]),
        is_full="--full" in sys.argv[3:],
        has_slow_advice="--slow-advice" in sys.argv[3:],
        has_losses="--losses" in sys.argv[3:],
    )
    sys.exit(1 if found_any else 0)
