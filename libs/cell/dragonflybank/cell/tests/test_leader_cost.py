"""Tests that count what decisions look at in a large cell.

They guard against passes over all executors for each step or round.
"""

import itertools
import math
import types

import pytest

from dragonflybank.cell.advice_spending import (
    MAX_EXECUTORS_COUNTED,
    count_executors_to_name,
)
from dragonflybank.cell.capacity import count_fitting_tasks, reserve
from dragonflybank.cell.decision_round import begin_round
from dragonflybank.cell.fleet import Fleet
from dragonflybank.cell.gang_reservation import GangReservation
from dragonflybank.cell.jobs import Step
from dragonflybank.cell.limits import CellLimits
from dragonflybank.cell.state import AttemptPhase
from dragonflybank.cell.tests.builders import add_job, get_step, make_executor
from dragonflybank.cell.workload import Workload

EXECUTORS = [make_executor(f"e{n}") for n in range(1000)]


def make_step(count: int, *, cores: int = 8):
    job = add_job(Workload(), 1, Step(count, millicores=1000 * cores))
    return get_step(job)


@pytest.fixture
def looked_at(monkeypatch):
    """Executors whose capacity was counted."""
    found = []

    def count(executor, step):
        found.append(executor.info.id)
        return count_fitting_tasks(executor, step)

    monkeypatch.setattr(
        "dragonflybank.cell.advice_spending.count_fitting_tasks", count
    )
    return found


@pytest.mark.parametrize("size", [10, 100, 1000])
def test_a_call_for_advice_looks_at_the_executors_that_it_needs(
    looked_at, size
):
    """Guards against work for each call that grows with the cell."""
    named = count_executors_to_name(
        make_step(20), 20, EXECUTORS[:size], good_share=0.5
    )
    # 8 tasks of 8 cores fit on each of 64 cores.
    assert named == 6
    assert len(looked_at) == 3


def test_a_step_that_fits_nowhere_does_not_look_at_the_whole_cell(looked_at):
    """Guards against passes over a full cell for each waiting step."""
    step = make_step(20, cores=100)
    named = count_executors_to_name(step, 20, EXECUTORS, good_share=1.0)
    assert named > MAX_EXECUTORS_COUNTED
    assert len(looked_at) == MAX_EXECUTORS_COUNTED


@pytest.mark.parametrize(
    ("tasks", "share", "other"),
    itertools.product([1, 7, 60, 500], [0.05, 0.3, 1.0], [0, 640_000]),
)
def test_executors_beyond_those_counted_change_no_call(tasks, share, other):
    """Guards against calls that name too few executors in a large cell."""
    step = make_step(tasks, cores=20)
    totals = itertools.accumulate(
        min(count_fitting_tasks(e, step.spec), step.spec.count)
        for e in EXECUTORS
    )
    needed = tasks + other // step.spec.millicores
    enough = sum(total < needed for total in totals) + 1
    named = count_executors_to_name(
        step, tasks, EXECUTORS, good_share=share, other_millicores=other
    )
    # A call names no more than this.
    most = MAX_EXECUTORS_COUNTED
    assert min(most, named) == min(most, math.ceil(enough / share))


def test_only_executors_out_of_touch_with_attempts_are_released_by_time():
    """Guards against a pass that computes lease times of all executors.

    It must still release what a former leader started on an executor that
    never answers.
    """
    step = make_step(2)
    released = []
    leader = types.SimpleNamespace(
        leadership=types.SimpleNamespace(began_at=0.0),
        limits=CellLimits(),
        attempts=types.SimpleNamespace(
            release_lost=lambda executor, reason, is_lost: released.extend(
                executor.info.id
                for attempt in executor.attempts.values()
                if is_lost(attempt)
            )
        ),
    )
    fleet = Fleet(leader)
    claimed, silent, idle = (make_executor(n) for n in ("a", "b", "c"))
    silent.claimed = idle.claimed = False
    for task, executor in zip(step.tasks, (claimed, silent), strict=True):
        reserve(executor, task, 1, phase=AttemptPhase.RUNNING, now=0.0)
    fleet.executors = {e.info.id: e for e in (claimed, silent, idle)}
    fleet.release_expired(12.0)
    assert released == []
    fleet.release_expired(30.0)
    assert released == ["b"]


class CountingServices(dict):
    """Executors by service, which counts the passes over a service."""

    passes = 0

    def get(self, service, default=None):
        type(self).passes += 1
        return super().get(service, default)


class LateGang(GangReservation):
    """A gang that can start only in a minute."""

    @property
    def wait_s(self) -> float:
        """See `GangReservation.wait_s`."""
        return 60.0


@pytest.mark.parametrize(
    ("used_cores", "reserved"), [(0, False), (31, False), (33, True)]
)
def test_a_step_takes_one_pass_for_the_reservations_of_all_gangs(
    used_cores, reserved
):
    """Guards against a pass over the cell for each waiting gang.

    In a mostly idle service a short step still uses reserved executors.
    """
    executors = [make_executor(f"e{n}") for n in range(20)]
    for executor in executors:
        executor.used_millicores = 1000 * used_cores
    current = begin_round(executors, 0.0)
    current.gang_reservations = [
        LateGang((False, -1), Step(1, millicores=64_000), ((e, 1),), 0.0)
        for e in executors[:10]
    ]
    CountingServices.passes = 0
    current.accepting = CountingServices(current.accepting)
    job = add_job(Workload(), 1, Step(1, millicores=1000, estimate_s=1.0))
    found = current.reserved_against(get_step(job))
    assert bool(found) is reserved
    assert len(found) in (0, 10)
    assert CountingServices.passes == 1
