"""Tests of the election."""

import asyncio

import testtools
from returns.result import Success
from testtools.matchers import Equals, GreaterThan, LessThan

from dragonflybank.cell.election import LEASE_S, RENEW_S
from dragonflybank.standins.cell.virtual import play
from dragonflybank.standins.cell.world import Load, World

# Objective of the most urgent queue of the users.
LOOKUP_OBJECTIVE_S = 0.4


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


async def _after_a_stop_s(*, is_cut_off: bool) -> float:
    """Returns the time from the stop of a leader to the next one.

    Args:
        is_cut_off: Whether the store turns the leader away, so that it cannot
            end its lease.
    """
    world = World(1)
    await world.start()
    await asyncio.sleep(3.0)
    name = world.leader()
    if is_cut_off:
        world.store.faults.refused.add(name)
    loop = asyncio.get_running_loop()
    stopped_at = loop.time()
    # The process stays a while, to answer its callers.
    stopping = asyncio.create_task(world.hosts.pop(name).on_stop())
    await world.until_led()
    waited_s = loop.time() - stopped_at
    await stopping
    return waited_s


async def _pending_after_a_loss_of_all() -> list[int]:
    """Returns what hosts say of five waiting jobs as they start anew."""
    world = World(1)
    await world.start()
    await asyncio.sleep(2.0)
    for each in world.executors.values():
        each.faults.is_cut = True
    queue = "sweep"
    for _ in range(5):
        job = world.draw_job(Load())
        while job.queue.name != queue:
            job = world.draw_job(Load())
        await world.submit(job)
    names = list(world.hosts)
    for name in names:
        world.kill_host(name)
    world.store.faults.answer_s = 0.3
    for name in names:
        await world.start_host(name)
    told = []
    for _ in range(200):
        await asyncio.sleep(0.05)
        said = [
            host.frontend.count_pending_jobs(queue)
            for host in world.hosts.values()
        ]
        told += [got.unwrap() for got in said if isinstance(got, Success)]
    return told


class TestTakeover(testtools.TestCase):
    """Guards against a new leader that speaks of jobs it has not read."""

    def test_waiting_jobs_are_not_denied(self):
        told = play(_pending_after_a_loss_of_all())
        self.assertThat(set(told), Equals({5}))


class TestSuccession(testtools.TestCase):
    """Guards against a cell that waits for a leader known to be dead."""

    def test_lease_of_a_process_that_ended_is_not_waited_for(self):
        waited_s = play(_without_leader_s(power=False))
        self.assertThat(waited_s, LessThan(LEASE_S - RENEW_S))

    def test_leader_that_stops_is_followed_at_once(self):
        for is_cut_off in (False, True):
            waited_s = play(_after_a_stop_s(is_cut_off=is_cut_off))
            self.assertThat(waited_s, LessThan(LOOKUP_OBJECTIVE_S))

    def test_lease_of_a_silent_machine_is_waited_for(self):
        waited_s = play(_without_leader_s(power=True))
        self.assertThat(waited_s, GreaterThan(LEASE_S - RENEW_S))
