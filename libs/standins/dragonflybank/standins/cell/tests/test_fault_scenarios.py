"""Tests of a simulated cell under the faults of the platform."""

import asyncio

import testtools
from testtools.matchers import Equals, LessThan

from dragonflybank.standins.cell.fault_scenarios import SCENARIOS, run_scenario
from dragonflybank.standins.cell.simulated_cell import (
    SimulatedCell,
    SubmissionLoad,
)
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time


class TestScenarios(testtools.TestCase):
    """Guards against a fault that violates a rule or loses a job."""


class TestCost(testtools.TestCase):
    """Guards against needless calls of executors."""

    def test_polls_stay_rare_while_ends_cannot_be_stored(self):
        async def main():
            cell = SimulatedCell(1)
            await cell.start()
            running = asyncio.create_task(cell.run_load(SubmissionLoad()))
            await asyncio.sleep(10.0)
            cell.store.faults.is_down = True
            before = sum(e.poll_count for e in cell.executors.values())
            await asyncio.sleep(5.0)
            after = sum(e.poll_count for e in cell.executors.values())
            cell.store.faults.is_down = False
            found = await running
            return found, (after - before) / 5.0 / len(cell.executors)

        found, polls_per_s = run_in_virtual_time(main())
        self.assertThat(found, Equals([]))
        # One poll each 0.3 s and one for each ended attempt.
        self.assertThat(polls_per_s, LessThan(8.0))


def _make_test(name: str, seed: int):
    def test(self):
        found = run_scenario(name, seed)
        self.assertThat("\n".join(found), Equals(""))

    test.__doc__ = f"{SCENARIOS[name].__doc__} Seed {seed}."
    return test


# Seeds that a former version failed on, beside seed 1.
REGRESSION_SEEDS = {"entries_turn_odd": (2,)}

for scenario_name in SCENARIOS:
    for seed in (1, *REGRESSION_SEEDS.get(scenario_name, ())):
        setattr(
            TestScenarios,
            f"test_{scenario_name}__{seed}",
            _make_test(scenario_name, seed),
        )
