"""Tests of sick workers through a scheduler host."""

import asyncio

import testtools
from testtools.matchers import Equals, HasLength

from dragonflybank.host.lookups import IncomingLookup
from dragonflybank.host.task_outcomes import HealthTracker
from dragonflybank.host.tests.harness import running_cell
from dragonflybank.model.codes import Code, failure
from dragonflybank.policy.health import PROBE_DELAY_S


def _make_sick(health: HealthTracker, worker: str) -> None:
    for team in ("a", "b", "c"):
        req = IncomingLookup(team, "die_lookup", "")
        health.record_lookup_end(worker, req, failure(Code.TASK_FAILED))


class TestQuarantine(testtools.TestCase):
    """Guards against work on sick workers and against too few well ones."""

    def test_quarantined_worker_takes_nothing_until_a_probe_is_due(self):
        async def run():
            async with running_cell("a", workers=2) as cell:
                host = cell.hosts["a"]
                _make_sick(host.worker_health, "w0")
                now = host.clock()
                later = now + PROBE_DELAY_S + 1
                return [
                    [c.quarantined for c in candidates]
                    for candidates in (
                        host.owned_workers.lookup_candidates(now),
                        host.owned_workers.task_candidates(later),
                        host.owned_workers.lookup_candidates(later),
                    )
                ]

        at_once, tasks, probes = asyncio.run(run())
        self.assertThat(sorted(at_once), Equals([False, True]))
        self.assertThat(sorted(tasks), Equals([False, True]))
        self.assertThat(probes, Equals([False, False]))

    def test_only_a_share_of_the_region_is_quarantined(self):
        async def run():
            async with running_cell("a", workers=2) as cell:
                health = cell.hosts["a"].worker_health
                _make_sick(health, "w0")
                _make_sick(health, "w1")
                return health.quarantined

        self.assertThat(asyncio.run(run()), HasLength(1))
