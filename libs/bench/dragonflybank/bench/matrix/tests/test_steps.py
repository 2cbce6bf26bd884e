"""Tests that the steps of the matrix are reached however the hosts start."""

import asyncio

import testtools
from testtools.matchers import Equals

from dragonflybank.bench.deployment import wait_until
from dragonflybank.bench.matrix.matrix_deployment import World
from dragonflybank.bench.matrix.runner import play_cell
from dragonflybank.bench.matrix.table import CELLS


class TestTakeover(testtools.TestCase):
    """Guards against a step that waits for a claim that nobody makes."""

    def test_home_that_started_last_is_taken_over(self):
        cell = next(c for c in CELLS if c.name == "race__takeover")
        start_host = World.start_host

        async def start_last(world, place):
            async def is_claimed() -> bool:
                return all(w.owner for w in world.workers.values())

            if place is world.places[-1]:
                await wait_until(is_claimed, timeout_s=60.0)
            return await start_host(world, place)

        self.patch(World, "start_host", start_last)
        verdict = asyncio.run(play_cell(cell, asyncio.Semaphore(8)))
        self.assertThat("\n".join(verdict.found), Equals(""))
