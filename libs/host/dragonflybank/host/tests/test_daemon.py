"""Tests of the start, the drain and the crest of a scheduler host."""

import asyncio
import collections

import attrs
import testtools
from testtools.matchers import Equals, GreaterThan

from dragonflybank.host.daemon import SchedulerHost
from dragonflybank.host.tests.harness import running_cell, until, write_config
from dragonflybank.standins.invariants import check_all
from dragonflybank.standins.records import TaskStarted


class TestStart(testtools.TestCase):
    """Guards against a new host that serves an old configuration."""

    def test_new_host_takes_the_peers_generation_while_the_store_is_down(self):
        async def run():
            async with running_cell("a", workers=1) as cell:
                await write_config(cell, generation=2)
                await until(
                    lambda: cell.hosts["a"].active_config.generation == 2
                )
                await cell.store.set_faults(down=True)
                host = await cell.add_host("b")
                await until(lambda: not host.not_ready_reason())
                return host.active_config.generation

        self.assertThat(asyncio.run(run()), Equals(2))

    def test_host_without_store_and_peers_is_not_ready(self):
        async def run():
            async with running_cell("a", workers=1) as cell:
                settings = cell.hosts["a"].settings
                await cell.hosts.pop("a").stop()
                cell.vmlist.remove("a")
                await cell.store.set_faults(down=True)
                host = SchedulerHost(settings)
                await host.start()
                cell.hosts["a"] = host
                await until(lambda: cell.store.calls["get"] > 0)
                ready = await cell.call(host, "GET", "/readyz")
                return ready["ready"]

        self.assertThat(asyncio.run(run()), Equals(False))

    def test_host_without_configuration_denies_no_job(self):
        # Guards against "refused" for a job that another host has run.
        async def run():
            async with running_cell("a", workers=1) as cell:
                await cell.store.set_faults(down=True)
                # The new host must not find the other one.
                cell.vmlist.remove("a")
                settings = attrs.evolve(cell.hosts["a"].settings, name="b")
                host = SchedulerHost(settings)
                await host.start()
                cell.hosts["b"] = host
                return [
                    await cell.ask(host, "k", wait_s=0),
                    await cell.submit(host, "k", "simulation"),
                ]

        outcomes = [answer["outcome"] for answer in asyncio.run(run())]
        self.assertThat(outcomes, Equals(["unknown", "unknown"]))


class TestDrain(testtools.TestCase):
    """Guards against requests that a graceful shutdown cuts off."""

    def _outcomes_at_a_leaving_host(self, lookups: int, *, run_s: float):
        """Returns the outcomes of lookups at a host that leaves, counted."""

        async def run():
            async with running_cell("a", "b", workers=2) as cell:
                host = cell.hosts.pop("a")
                asked = [
                    asyncio.create_task(cell.lookup(host, n=n, run_s=run_s))
                    for n in range(lookups)
                ]
                await until(lambda: host.http.in_progress == lookups)
                await host.stop()
                return [await lookup for lookup in asked]

        return collections.Counter(a["outcome"] for a in asyncio.run(run()))

    def test_lookups_in_progress_are_answered_by_the_leaving_host(self):
        counts = self._outcomes_at_a_leaving_host(30, run_s=0.15)
        self.assertThat(counts, Equals({"done": 30}))

    def test_only_peer_gets_all_the_time_of_a_lookup(self):
        # 8 slots: the last lookups wait for the first ones there, and half
        # of their time would not do.
        counts = self._outcomes_at_a_leaving_host(24, run_s=0.35)
        self.assertThat(counts, Equals({"done": 24}))

    def test_workers_and_shards_are_served_by_the_next_host(self):
        async def run():
            async with running_cell("a", "b") as cell:
                await cell.submit(cell.hosts["a"], "k", "simulation", run_s=2)
                await cell.hosts.pop("a").stop()
                answer = await cell.ask(cell.hosts["b"], "k")
                return answer, check_all(cell.log.all())

        answer, violations = asyncio.run(run())
        self.assertThat(answer["outcome"], Equals("done"))
        self.assertThat(violations, Equals([]))


class TestCrest(testtools.TestCase):
    """Guards against patient work that keeps lookups waiting at a crest."""

    def test_checkpointed_tables_give_way_and_finish_later(self):
        async def run():
            async with running_cell("a", workers=1) as cell:
                host = cell.hosts["a"]
                for number in range(6):
                    await cell.submit(
                        host, f"t{number}", "tonnage_table", run_s=3
                    )
                await until(lambda: _count(cell, TaskStarted) == 6)
                lookups = [cell.lookup(host, n=n, run_s=0.2) for n in range(16)]
                answers = await asyncio.gather(*lookups)
                preempted = len(host.decisions.of_kind("preempt"))
                ends = [await cell.ask(host, f"t{n}", 30) for n in range(6)]
                return answers, preempted, ends, check_all(cell.log.all())

        answers, preempted, ends, violations = asyncio.run(run())
        self.assertThat(violations, Equals([]))
        self.assertThat(preempted, GreaterThan(0))
        self.assertThat({e["outcome"] for e in ends}, Equals({"done"}))
        outcomes = {answer["outcome"] for answer in answers}
        self.assertThat(outcomes - {"done", "refused"}, Equals(set()))


def _count(cell, kind) -> int:
    return sum(1 for r in cell.log.all() if isinstance(r, kind))
