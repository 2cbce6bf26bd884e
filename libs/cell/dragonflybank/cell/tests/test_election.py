"""Tests of the leader election."""

import asyncio

import testtools
from returns.result import Success
from testtools.matchers import Equals, GreaterThan, LessThan

from dragonflybank.cell.election import (
    LEADER_LEASE_S,
    LEASE_RENEWAL_INTERVAL_S,
)
from dragonflybank.standins.cell.simulated_cell import (
    SimulatedCell,
    SubmissionLoad,
)
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time

# Objective of the most urgent queue.
LOOKUP_OBJECTIVE_S = 0.4


async def _time_without_leader_s(*, power_off: bool) -> float:
    """Returns the time from the kill of a leader to the next election.

    Args:
        power_off: Whether the machine is powered off, too.
    """
    cell = SimulatedCell(1)
    await cell.start()
    await asyncio.sleep(3.0)
    loop = asyncio.get_running_loop()
    killed_at = loop.time()
    cell.kill_host(cell.leader(), power_off=power_off)
    await cell.wait_for_leader()
    return loop.time() - killed_at


async def _time_after_leader_stop_s(*, is_cut_off: bool) -> float:
    """Returns the time from the stop of a leader to the next election.

    Args:
        is_cut_off: Whether the store refuses the leader, so that it cannot end
            its lease.
    """
    cell = SimulatedCell(1)
    await cell.start()
    await asyncio.sleep(3.0)
    name = cell.leader()
    if is_cut_off:
        cell.store.faults.refused_hosts.add(name)
    loop = asyncio.get_running_loop()
    stopped_at = loop.time()
    # The process keeps running for a while to answer its callers.
    stopping = asyncio.create_task(cell.hosts.pop(name).on_stop())
    await cell.wait_for_leader()
    waited_s = loop.time() - stopped_at
    await stopping
    return waited_s


async def _leaders_after_store_fault(*, is_for_all: bool) -> tuple[str, list]:
    """Returns the leader before a fault of the store, and who leads after it.

    The store stops answering the leader, or all hosts, without a reply.

    Returns:
        The former leader; time since the fault and name of each other leader
        within two seconds.
    """
    cell = SimulatedCell(1, hosts=5)
    await cell.start()
    await asyncio.sleep(3.0)
    name = cell.leader()
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    if is_for_all:
        cell.store.faults.is_down = True
    else:
        cell.store.faults.cut_hosts.add(name)
    others = []
    while loop.time() < began_at + 2.0:
        await asyncio.sleep(0.01)
        leading = {n for n, h in cell.hosts.items() if h.leader is not None}
        others += [(loop.time() - began_at, n) for n in leading - {name}]
        if is_for_all and name not in leading:
            others.append((loop.time() - began_at, "nobody"))
    return name, others


async def _pending_counts_after_restart_of_all_hosts() -> list[int]:
    """Returns the counts of pending jobs that restarted hosts report.

    Five jobs are pending, and all hosts restart with a slow store.
    """
    cell = SimulatedCell(1)
    await cell.start()
    await asyncio.sleep(2.0)
    for executor in cell.executors.values():
        executor.faults.is_cut = True
    queue = "sweep"
    for _ in range(5):
        job = cell.draw_job(SubmissionLoad())
        while job.queue.name != queue:
            job = cell.draw_job(SubmissionLoad())
        await cell.submit(job)
    names = list(cell.hosts)
    for name in names:
        cell.kill_host(name)
    cell.store.faults.round_trip_s = 0.3
    for name in names:
        await cell.start_host(name)
    counts = []
    for _ in range(200):
        await asyncio.sleep(0.05)
        answers = [
            host.frontend.count_pending_jobs(queue)
            for host in cell.hosts.values()
        ]
        counts += [got.unwrap() for got in answers if isinstance(got, Success)]
    return counts


class TestTakeover(testtools.TestCase):
    """Guards against a new leader that reports on jobs before loading them."""

    def test_pending_jobs_are_not_left_out_of_the_count(self):
        counts = run_in_virtual_time(
            _pending_counts_after_restart_of_all_hosts()
        )
        self.assertThat(set(counts), Equals({5}))


class TestReElection(testtools.TestCase):
    """Guards against waiting for the lease of a leader known to have ended."""

    def test_new_leader_does_not_wait_for_the_lease_of_an_exited_process(self):
        waited_s = run_in_virtual_time(_time_without_leader_s(power_off=False))
        self.assertThat(
            waited_s, LessThan(LEADER_LEASE_S - LEASE_RENEWAL_INTERVAL_S)
        )

    def test_new_leader_is_elected_at_once_after_a_leader_stops(self):
        for is_cut_off in (False, True):
            waited_s = run_in_virtual_time(
                _time_after_leader_stop_s(is_cut_off=is_cut_off)
            )
            self.assertThat(waited_s, LessThan(LOOKUP_OBJECTIVE_S))

    def test_new_leader_waits_for_the_lease_of_a_silent_machine(self):
        waited_s = run_in_virtual_time(_time_without_leader_s(power_off=True))
        self.assertThat(
            waited_s, GreaterThan(LEADER_LEASE_S - LEASE_RENEWAL_INTERVAL_S)
        )


class TestTurnedAway(testtools.TestCase):
    """Guards against a leader that keeps its key but cannot use the store.

    Its lease would have to expire first, which takes LEADER_LEASE_S.
    """

    def test_another_host_leads_before_the_lease_expires(self):
        _, others = run_in_virtual_time(
            _leaders_after_store_fault(is_for_all=False)
        )
        self.assertThat(len(others), GreaterThan(0))
        # A read each 0.4 s, 0.45 s of silence, and half a second to elect.
        self.assertThat(others[0][0], LessThan(LEADER_LEASE_S - 0.1))

    def test_the_leader_stays_in_an_outage_for_all_hosts(self):
        _, others = run_in_virtual_time(
            _leaders_after_store_fault(is_for_all=True)
        )
        self.assertThat(others, Equals([]))
