"""Tests of waiting work in drawn cells."""

from unittest import mock

import attrs
import testtools
from testtools.matchers import Contains, Equals

from dragonflybank.cell.scheduling import Scheduler
from dragonflybank.standins.cell.waiting_schedules import (
    SLOW_ADVICE_S,
    DrawnCell,
    add_losses,
    draw_cell,
    fill_cell,
    play_cell,
)

# Two cells with faults and two without, one of each with teams; then cells that
# once violated LOST, by a wide gang (112) and a quarantine (205).
SEEDS = (1, 2, 5, 7, 112, 205)
# Cells in which each new leader held the work of lost executors anew, with
# tickets (1, 6) and without (3, 13). In 36, hosts are elected that no leader
# has told of a suspension.
LOSS_SEEDS = (1, 3, 6, 13, 36)


class TestWaitingCheck(testtools.TestCase):
    """Guards against a check that overlooks work that waits."""

    def test_work_that_is_never_placed_is_found(self):
        with mock.patch.object(Scheduler, "_place_step"):
            found = play_cell(attrs.evolve(draw_cell(1), faults=()))
        self.assertThat({line.split()[0] for line in found}, Contains("LOST"))

    def test_a_long_running_task_that_stays_down_is_found(self):
        place_step = Scheduler._place_step

        def place_no_restart(self, step, tasks, current):
            is_restart = any(task.last_attempt for task in tasks)
            if not (step.spec.lasting and is_restart):
                place_step(self, step, tasks, current)

        drawn = attrs.evolve(
            draw_cell(1), faults=(), failures_at_s=(6.0, 8.0, 10.0, 12.0)
        )
        with mock.patch.object(Scheduler, "_place_step", place_no_restart):
            found = play_cell(drawn)
        self.assertThat(
            {line.split()[0] for line in found}, Contains("MISSING")
        )


class TestDrawnCells(testtools.TestCase):
    """Guards against work that waits beside idle capacity."""

    def test_full_cell_with_slow_advice__17(self):
        drawn = fill_cell(draw_cell(17))
        found = play_cell(attrs.evolve(drawn, advice_s=SLOW_ADVICE_S))
        self.assertThat("\n".join(found), Equals(""))


class TestLosses(testtools.TestCase):
    """Guards against work that new leaders hold anew (review/8)."""


def _make_test(drawn: DrawnCell):
    def test(self):
        found = play_cell(drawn)
        self.assertThat("\n".join(found), Equals(""))

    return test


for cell_seed in SEEDS:
    setattr(
        TestDrawnCells,
        f"test_cell__{cell_seed}",
        _make_test(draw_cell(cell_seed)),
    )
for cell_seed in LOSS_SEEDS:
    setattr(
        TestLosses,
        f"test_cell__{cell_seed}",
        _make_test(add_losses(draw_cell(cell_seed))),
    )
