"""Tests of the start, the drain and the preemption of a scheduler host."""

import asyncio
import collections

import attrs
import testtools
from testtools.matchers import Equals, GreaterThan

from dragonflybank.host.daemon import SchedulerHost
from dragonflybank.host.tests.harness import (
    running_deployment,
    wait_until,
    write_config,
)
from dragonflybank.standins.invariants import check_all
from dragonflybank.standins.kept_logs import keep_logs_on_failure
from dragonflybank.standins.records import TaskStarted


class TestStart(testtools.TestCase):
    """Guards against a new host that uses an outdated configuration."""

    def test_new_host_gets_config_from_a_peer_while_the_store_is_down(self):
        async def run():
            async with running_deployment("a", workers=1) as deployment:
                await write_config(deployment, generation=2)
                await wait_until(
                    lambda: deployment.hosts["a"].active_config.generation == 2
                )
                await deployment.store.set_faults(down=True)
                host = await deployment.add_host("b")
                await wait_until(lambda: not host.not_ready_reason())
                return host.active_config.generation

        self.assertThat(asyncio.run(run()), Equals(2))

    def test_host_without_store_and_peers_is_not_ready(self):
        async def run():
            async with running_deployment("a", workers=1) as deployment:
                settings = deployment.hosts["a"].settings
                await deployment.hosts.pop("a").stop()
                deployment.vmlist.remove("a")
                await deployment.store.set_faults(down=True)
                host = SchedulerHost(settings)
                await host.start()
                deployment.hosts["a"] = host
                await wait_until(lambda: deployment.store.calls["get"] > 0)
                ready = await deployment.call(host, "GET", "/readyz")
                return ready["ready"]

        self.assertThat(asyncio.run(run()), Equals(False))

    def test_host_without_configuration_refuses_no_job(self):
        # Another host may have run the job, so "refused" would be wrong.
        async def run():
            async with running_deployment("a", workers=1) as deployment:
                await deployment.store.set_faults(down=True)
                # Keeps the new host from getting the configuration from host a.
                deployment.vmlist.remove("a")
                settings = attrs.evolve(
                    deployment.hosts["a"].settings, name="b"
                )
                host = SchedulerHost(settings)
                await host.start()
                deployment.hosts["b"] = host
                return [
                    await deployment.wait_for_job(host, "k", wait_s=0),
                    await deployment.submit(host, "k", "simulation"),
                ]

        outcomes = [answer["outcome"] for answer in asyncio.run(run())]
        self.assertThat(outcomes, Equals(["unknown", "unknown"]))


class TestDrain(testtools.TestCase):
    """Guards against requests that fail because of a graceful shutdown."""

    def _lookup_outcomes_at_leaving_host(self, lookups: int, *, run_s: float):
        """Counts the outcomes of lookups at a host that shuts down."""

        async def run():
            async with running_deployment("a", "b", workers=2) as deployment:
                host = deployment.hosts.pop("a")
                lookup_tasks = [
                    asyncio.create_task(
                        deployment.lookup(host, n=n, run_s=run_s)
                    )
                    for n in range(lookups)
                ]
                await wait_until(lambda: host.http.in_progress == lookups)
                await host.stop()
                return [await lookup for lookup in lookup_tasks]

        return collections.Counter(a["outcome"] for a in asyncio.run(run()))

    def test_lookups_in_progress_are_answered_by_the_leaving_host(self):
        counts = self._lookup_outcomes_at_leaving_host(30, run_s=0.15)
        self.assertThat(counts, Equals({"done": 30}))

    def test_lookup_for_the_only_peer_uses_the_whole_timeout(self):
        # The peer has 8 slots, so the last lookups wait there for the first
        # ones. Half of their timeout would be too short for that.
        counts = self._lookup_outcomes_at_leaving_host(24, run_s=0.35)
        self.assertThat(counts, Equals({"done": 24}))

    def test_next_host_takes_over_workers_and_shards(self):
        async def run():
            async with running_deployment("a", "b") as deployment:
                await deployment.submit(
                    deployment.hosts["a"], "k", "simulation", run_s=2
                )
                await deployment.hosts.pop("a").stop()
                answer = await deployment.wait_for_job(
                    deployment.hosts["b"], "k"
                )
                return answer, check_all(deployment.log.all())

        answer, violations = asyncio.run(run())
        self.assertThat(answer["outcome"], Equals("done"))
        self.assertThat(violations, Equals([]))


class TestLookupPreemption(testtools.TestCase):
    """Guards against batch work that makes lookups wait at a load peak."""

    def test_checkpointed_tasks_are_preempted_and_finish_later(self):
        deployments = []
        keep_logs_on_failure(
            self,
            more_lines=lambda: (
                str(record) for d in deployments for record in d.log.all()
            ),
        )

        async def run():
            async with running_deployment("a", workers=1) as deployment:
                deployments.append(deployment)
                host = deployment.hosts["a"]
                for number in range(6):
                    await deployment.submit(
                        host, f"t{number}", "tonnage_table", run_s=3
                    )
                await wait_until(lambda: _count(deployment, TaskStarted) == 6)
                lookups = [
                    deployment.lookup(host, n=n, run_s=0.2) for n in range(16)
                ]
                answers = await asyncio.gather(*lookups)
                preempted = len(host.decisions.of_kind("preempt"))
                ends = [
                    await deployment.wait_for_job(host, f"t{n}", 30)
                    for n in range(6)
                ]
                return answers, preempted, ends, check_all(deployment.log.all())

        answers, preempted, ends, violations = asyncio.run(run())
        self.assertThat(violations, Equals([]))
        self.assertThat(preempted, GreaterThan(0))
        self.assertThat({e["outcome"] for e in ends}, Equals({"done"}))
        outcomes = {answer["outcome"] for answer in answers}
        self.assertThat(outcomes - {"done", "refused"}, Equals(set()))


def _count(deployment, kind) -> int:
    return sum(1 for r in deployment.log.all() if isinstance(r, kind))
