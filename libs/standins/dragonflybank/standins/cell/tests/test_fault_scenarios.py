"""Plays cells in memory through the faults of the platform."""

import asyncio

import testtools
from testtools.matchers import Equals, LessThan

from dragonflybank.standins.cell.fault_scenarios import PLAYS, play_fault
from dragonflybank.standins.cell.simulated_cell import Load, World
from dragonflybank.standins.cell.virtual_time import play


class TestPlays(testtools.TestCase):
    """Guards against a fault that breaks a rule or loses a job."""


class TestCost(testtools.TestCase):
    """Guards against calls that are made without need."""

    def test_ends_that_cannot_be_stored_are_not_asked_for_all_the_time(self):
        async def main():
            world = World(1)
            await world.start()
            running = asyncio.create_task(world.run(Load()))
            await asyncio.sleep(10.0)
            world.store.faults.is_down = True
            before = sum(e.holds for e in world.executors.values())
            await asyncio.sleep(5.0)
            after = sum(e.holds for e in world.executors.values())
            world.store.faults.is_down = False
            found = await running
            return found, (after - before) / 5.0 / len(world.executors)

        found, holds_per_s = play(main())
        self.assertThat(found, Equals([]))
        # One call each 0.3 s, and one for each end.
        self.assertThat(holds_per_s, LessThan(8.0))


def _test_of(name: str, seed: int):
    def test(self):
        found = play_fault(name, seed)
        self.assertThat("\n".join(found), Equals(""))

    test.__doc__ = f"{PLAYS[name].__doc__} Seed {seed}."
    return test


for play_name in PLAYS:
    for each in (1,):
        setattr(
            TestPlays, f"test_{play_name}__{each}", _test_of(play_name, each)
        )
