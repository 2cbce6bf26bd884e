"""Tests of a home that another host replaced without its knowledge."""

import asyncio

import testtools
from testtools.matchers import Equals

from dragonflybank.jobs.tests.fakes import (
    FakeRules,
    FakeRunner,
    FakeStore,
    make_spec,
    new_home,
)
from dragonflybank.model.codes import Code
from dragonflybank.model.resources import Resources

HUGE = Resources(cores=8)


class TestFormerHome(testtools.TestCase):
    """Guards against "unknown job" for a job that the new home accepted."""

    def codes(self, *, is_replaced, mode="ok"):
        async def run():
            store = FakeStore()
            rules = FakeRules(size=Resources(cores=4))
            former = new_home(store, FakeRunner(), host="h1", rules=rules)
            (await former.open(0.0)).unwrap()
            if is_replaced:
                present = new_home(store, FakeRunner(), host="h2")
                (await present.open(1.0)).unwrap()
                (await present.accept(make_spec("k"), 1.0)).unwrap()
            store.mode = mode
            team = make_spec("k").team
            replies = [
                await former.confirm_unknown(team, "k"),
                await former.cancel(team, "k", 2.0),
                await former.accept(make_spec("k", size=HUGE), 2.0),
            ]
            return [reply.failure().code for reply in replies]

        return asyncio.run(run())

    def test_former_home_never_reports_a_job_as_unknown_or_refused(self):
        found = self.codes(is_replaced=True)
        self.assertThat(found, Equals(3 * [Code.NOT_HOME]))

    def test_no_job_is_reported_as_unknown_while_the_store_is_down(self):
        found = self.codes(is_replaced=False, mode="down")
        self.assertThat(found, Equals(3 * [Code.NOT_HOME]))

    def test_present_home_reports_unknown_and_refused_jobs(self):
        expected = [Code.UNKNOWN_JOB, Code.UNKNOWN_JOB, Code.CAN_NEVER_RUN]
        self.assertThat(self.codes(is_replaced=False), Equals(expected))


class TestRelease(testtools.TestCase):
    """Guards against a shard that a live host neither runs nor releases."""

    def test_release_is_repeated_until_the_store_accepts_it(self):
        async def run():
            store = FakeStore()
            former = new_home(store, FakeRunner(), host="h1")
            present = new_home(store, FakeRunner(), host="h2")
            (await former.open(0.0)).unwrap()
            found = []
            for fault in ("down", "lost", "ok"):
                store.faults.append(fault)
                released = await former.release(1.0)
                opened = await present.open(2.0, is_dead=lambda host: False)
                found.append((released, opened.map(lambda _: "open")))
            return [(r, o.value_or("refused")) for r, o in found]

        expected = [(False, "refused"), (False, "refused"), (True, "open")]
        self.assertThat(asyncio.run(run()), Equals(expected))
