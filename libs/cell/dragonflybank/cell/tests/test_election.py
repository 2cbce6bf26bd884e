"""Tests of the election."""

import asyncio

import testtools
from testtools.matchers import GreaterThan, LessThan

from dragonflybank.cell.election import LEASE_S, RENEW_S
from dragonflybank.standins.cell.virtual import play
from dragonflybank.standins.cell.world import World


async def _without_leader_s(*, power: bool) -> float:
    """Returns the time from the end of a leader to the next one."""
    world = World(1)
    await world.start()
    await asyncio.sleep(3.0)
    loop = asyncio.get_running_loop()
    killed_at = loop.time()
    world.kill_host(world.leader(), power=power)
    await world.until_led()
    return loop.time() - killed_at


class TestSuccession(testtools.TestCase):
    """Guards against a cell that waits for a leader known to be dead."""

    def test_lease_of_a_process_that_ended_is_not_waited_for(self):
        waited_s = play(_without_leader_s(power=False))
        self.assertThat(waited_s, LessThan(LEASE_S - RENEW_S))

    def test_lease_of_a_silent_machine_is_waited_for(self):
        waited_s = play(_without_leader_s(power=True))
        self.assertThat(waited_s, GreaterThan(LEASE_S - RENEW_S))
