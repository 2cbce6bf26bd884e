"""Tests of changes of API keys in a simulated cell."""

import asyncio

import testtools
from testtools.matchers import Equals

from dragonflybank.cell.authorization import Authorizer
from dragonflybank.cell.jobs import JobPhase, Step
from dragonflybank.standins.cell.checks import (
    CallerHistory,
    KeyDecision,
    find_violations,
)
from dragonflybank.standins.cell.simulated_cell import SimulatedCell
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time

UNSOUND = b'{"version": 9, "teams": 5}'


def accepted_keys(cell: SimulatedCell, name: str) -> list[str]:
    """Returns which keys a host accepts."""
    cfg = cell.hosts[name].config
    queue = cfg.queues["front"][0]
    return [
        key
        for key in ("k1", "k2", "k3")
        if Authorizer().authorize(cfg, queue, key).value_or("")
    ]


async def start_cell() -> tuple[SimulatedCell, str, str]:
    """Returns a cell with the key k1, its leader and another host."""
    cell = SimulatedCell(1)
    await cell.start()
    cell.configure(2, keys={"a": ["k1"]})
    leader = await cell.wait_for_leader()
    await asyncio.sleep(3.0)
    return cell, leader, next(n for n in cell.hosts if n != leader)


class TestHosts(testtools.TestCase):
    """Guards against a host that goes on with withdrawn keys."""

    def _check(self, change, *expected: str) -> None:
        """Checks which keys all live hosts accept 4 s after a change."""

        async def main():
            cell, leader, other = await start_cell()
            await change(cell, leader, other)
            await asyncio.sleep(4.0)
            return [accepted_keys(cell, name) for name in cell.hosts]

        for found in run_in_virtual_time(main()):
            self.assertThat(found, Equals(list(expected)))

    def test_versions_in_quick_succession(self):
        async def change(cell, leader, other):
            cell.configure(3, keys={"a": ["k1", "k2"]})
            cell.configure(4, keys={"b": ["k2", "k3"]})

        self._check(change, "k2", "k3")

    def test_host_that_the_store_turns_away(self):
        async def change(cell, leader, other):
            cell.store.faults.cut_hosts.add(other)
            await asyncio.sleep(2.5)
            cell.configure(3, keys={"a": ["k2"]})

        self._check(change, "k2")

    def test_former_leader_that_the_store_turns_away(self):
        async def change(cell, leader, other):
            cell.store.faults.cut_hosts.add(leader)
            await asyncio.sleep(2.5)
            cell.configure(3, keys={"a": ["k2"]})

        self._check(change, "k2")

    def test_host_that_the_store_turns_away_after_its_leader_was_killed(self):
        async def change(cell, leader, other):
            cell.store.faults.cut_hosts.add(other)
            await asyncio.sleep(2.5)
            cell.configure(3, keys={"a": ["k2"]})
            cell.kill_host(leader)

        self._check(change, "k2")

    def test_host_that_restarts(self):
        async def change(cell, leader, other):
            cell.kill_host(other)
            cell.configure(3, keys={"a": ["k2"]})
            await cell.start_host(other)

        self._check(change, "k2")

    def test_earlier_version_is_not_adopted(self):
        async def change(cell, leader, other):
            earlier = cell.store.get("config")
            cell.configure(3, keys={"a": ["k2"]})
            await asyncio.sleep(2.5)
            cell.hosts[other].adopt_config(earlier)
            cell.store.put("config", earlier)

        self._check(change, "k2")

    def test_unsound_version_leaves_the_former_in_force(self):
        async def change(cell, leader, other):
            cell.store.put("config", UNSOUND)
            await asyncio.sleep(2.5)
            cell.kill_host(other)
            await cell.start_host(other)

        self._check(change, "k1")


class TestAcceptedJobs(testtools.TestCase):
    """Guards against accepted jobs that are lost with their key."""

    def test_job_waits_and_runs_after_its_key_is_withdrawn(self):
        async def main():
            cell, leader, other = await start_cell()
            jobs = [
                cell.make_job("sweep", Step(1, millicores=32_000), run_s=2.0)
                for _ in range(12)
            ]
            # Six executors run half of the jobs while the others wait.
            for job in jobs:
                self.assertThat(await cell.submit(job, key="k1"), Equals(True))
            teams = {
                s.job.team
                for s in cell.hosts[leader].leader.workload.jobs.values()
            }
            cell.configure(3, keys={"b": ["k2"]})
            phases = {
                await cell.wait_until_final(job, timeout_s=30.0) for job in jobs
            }
            return teams, phases

        teams, phases = run_in_virtual_time(main())
        self.assertThat(teams, Equals({"a"}))
        self.assertThat(phases, Equals({JobPhase.COMPLETED}))


class TestCheck(testtools.TestCase):
    """Guards against a check of simulated cells that overlooks a key."""

    def test_decisions_by_keys_that_are_not_in_force_are_reported(self):
        history = CallerHistory()
        history.keys = [
            (0.0, frozenset({"k1"})),
            (10.0, frozenset({"k1", "k2"})),
            (20.0, frozenset({"k2"})),
        ]
        for at, key, is_admitted, is_reported in (
            (5.0, "k1", True, False),
            (5.0, "k2", True, True),
            (5.0, "other", True, True),
            (5.0, "k1", False, True),
            (11.0, "k2", True, False),
            (11.0, "k2", False, False),
            (14.5, "k2", False, True),
            (23.0, "k1", True, False),
            (25.0, "k1", True, True),
            (25.0, "other", False, False),
        ):
            history.key_decisions = [KeyDecision(at, at, key, is_admitted)]
            found = find_violations(history, ())
            self.assertThat(len(found), Equals(is_reported), f"{at} {key}")
