"""Tests of a home that another host has replaced without its knowledge."""

import asyncio

import testtools
from testtools.matchers import Equals

from dragonflybank.jobs.tests.fakes import (
    FakeRunner,
    FakeStore,
    Rules,
    new_home,
    spec_of,
)
from dragonflybank.model.codes import Code
from dragonflybank.model.resources import Resources

HUGE = Resources(cores=8)


class TestFormerHome(testtools.TestCase):
    """Guards against "unknown job" for a job that the next home accepted."""

    def codes(self, *, is_replaced, mode="ok"):
        async def run():
            store = FakeStore()
            rules = Rules(size=Resources(cores=4))
            former = new_home(store, FakeRunner(), host="h1", rules=rules)
            (await former.open(0.0)).unwrap()
            if is_replaced:
                present = new_home(store, FakeRunner(), host="h2")
                (await present.open(1.0)).unwrap()
                (await present.accept(spec_of("k"), 1.0)).unwrap()
            store.mode = mode
            team = spec_of("k").team
            replies = [
                await former.confirm_unknown(team, "k"),
                await former.cancel(team, "k", 2.0),
                await former.accept(spec_of("k", size=HUGE), 2.0),
            ]
            return [reply.failure().code for reply in replies]

        return asyncio.run(run())

    def test_former_home_does_not_deny_or_refuse_a_job(self):
        found = self.codes(is_replaced=True)
        self.assertThat(found, Equals(3 * [Code.NOT_HOME]))

    def test_nothing_is_denied_while_the_store_does_not_tell(self):
        found = self.codes(is_replaced=False, mode="down")
        self.assertThat(found, Equals(3 * [Code.NOT_HOME]))

    def test_present_home_denies_and_refuses(self):
        expected = [Code.UNKNOWN_JOB, Code.UNKNOWN_JOB, Code.CAN_NEVER_RUN]
        self.assertThat(self.codes(is_replaced=False), Equals(expected))


class TestRelease(testtools.TestCase):
    """Guards against a shard that a living host neither keeps nor releases."""

    def test_release_is_repeated_until_the_store_takes_it(self):
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
