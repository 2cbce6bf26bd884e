"""Tests of the quarantine of unhealthy workers by a scheduler host."""

import asyncio

import testtools
from testtools.matchers import Equals, HasLength

from dragonflybank.host.lookups import IncomingLookup
from dragonflybank.host.task_outcomes import HealthTracker
from dragonflybank.host.tests.harness import running_deployment
from dragonflybank.model.codes import Code, failure
from dragonflybank.policy.health import PROBE_DELAY_S


def _fail_lookups(health: HealthTracker, worker: str) -> None:
    for team in ("a", "b", "c"):
        req = IncomingLookup(team, "die_lookup", "")
        health.record_lookup_end(worker, req, failure(Code.TASK_FAILED))


class TestQuarantine(testtools.TestCase):
    """Guards against work on unhealthy workers and excessive quarantine."""

    def test_quarantined_worker_gets_no_work_until_a_probe_is_due(self):
        async def run():
            async with running_deployment("a", workers=2) as deployment:
                host = deployment.hosts["a"]
                _fail_lookups(host.worker_health, "w0")
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

        lookups_now, tasks_later, lookups_later = asyncio.run(run())
        self.assertThat(sorted(lookups_now), Equals([False, True]))
        self.assertThat(sorted(tasks_later), Equals([False, True]))
        self.assertThat(lookups_later, Equals([False, False]))

    def test_quarantine_is_limited_to_a_share_of_the_region(self):
        async def run():
            async with running_deployment("a", workers=2) as deployment:
                health = deployment.hosts["a"].worker_health
                _fail_lookups(health, "w0")
                _fail_lookups(health, "w1")
                return health.quarantined

        self.assertThat(asyncio.run(run()), HasLength(1))
