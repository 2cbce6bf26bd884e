"""Tests of the spreading of the configuration."""

import asyncio
import functools
import itertools
import random

import testtools
from returns.result import Success
from testtools.matchers import Equals, HasLength, LessThan

from dragonflybank.cluster.config_sync import ConfigHolder, ConfigSync
from dragonflybank.cluster.entries import HostEntry
from dragonflybank.cluster.membership import Membership
from dragonflybank.cluster.messages import ConfigValue
from dragonflybank.cluster.peers import Peers
from dragonflybank.cluster.tests.fakes import FakeClock
from dragonflybank.model.codes import Code, failure
from dragonflybank.platform.store import ConfigStore, VersionedValue

T0 = 1000.0
# The bound of I8.
IN_FORCE_S = 16.0


def _generation(value):
    text = value.decode()
    return (
        Success(int(text))
        if text.isdigit()
        else failure(Code.BAD_CONFIGURATION)
    )


class _Store(ConfigStore):
    """A store with one key; ``mode`` is up, silent (watches) or down."""

    def __init__(self, clock, value=None):
        self.clock, self.mode = clock, "up"
        self.stored = VersionedValue(0 if value is None else 1, value)
        self.watches = 0

    def write(self, value):
        self.stored = VersionedValue(self.stored.version + 1, value)

    async def get(self, key):
        await asyncio.sleep(0)
        if self.mode == "down":
            return failure(Code.STORE_UNAVAILABLE)
        return Success(self.stored)

    async def watch(self, key, *, after, wait_s):
        self.watches += 1
        for _ in range(int(wait_s * 4)):
            if self.mode == "up" and self.stored.version > after:
                return Success(self.stored)
            await self.clock.sleep(0.25)
        if self.mode == "up":
            return Success(None)
        await self.clock.sleep(2.0)
        return failure(Code.TIMED_OUT)

    put = delete = list_versions = None


class _Peers(Peers):
    def __init__(self, hosts):
        self.hosts = hosts

    async def call(self, host, request, *, timeout_s):
        return await self.call_address(
            f"{host}:1", request, timeout_s=timeout_s
        )

    async def call_address(self, address, request, *, timeout_s):
        await asyncio.sleep(0)
        host = self.hosts.get(address.split(":")[0])
        if host is None:
            return failure(Code.UNREACHABLE, address)
        return await host.handle_fetch(request)


class _Hosts:
    """Hosts in process that all hear each other."""

    def __init__(self, store, names, region="north"):
        self.store, self.clock = store, store.clock
        self.spreads, self.members = {}, {}
        peers = _Peers(self.spreads)
        for i, name in enumerate(names):
            member = Membership(name, region, f"{name}:1", now=T0)
            self.members[name] = member
            self.spreads[name] = ConfigSync(
                ConfigHolder(),
                store,
                member,
                peers,
                read_generation=_generation,
                rng=random.Random(i),
            )
        self.gossip(T0)

    def gossip(self, now):
        for member in self.members.values():
            member.tick(now)
        pairs = itertools.permutations(self.members.values(), 2)
        for one, other in pairs:
            one.merge([other.own_entry], now)

    def generations(self):
        return {s.holder.generation for s in self.spreads.values()}

    async def run(self, body):
        async def keep_gossiping():
            while True:
                self.gossip(self.clock.now())
                await self.clock.sleep(0.5)

        tasks = [asyncio.create_task(keep_gossiping())]
        tasks += [
            asyncio.create_task(s.run(self.clock))
            for s in self.spreads.values()
        ]
        try:
            await body()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


def with_hosts(test):
    """Runs an async test method with four hosts and a store."""

    @functools.wraps(test)
    def run(self):
        async def main():
            hosts = _Hosts(_Store(FakeClock(T0), b"1"), "abcd")
            await hosts.run(lambda: test(self, hosts))

        asyncio.run(main())

    return run


class TestSpread(testtools.TestCase):
    """Guards against hosts that stay behind or go back (I8)."""

    @with_hosts
    async def test_a_change_reaches_every_host_by_watch_and_gossip(self, hosts):
        await hosts.clock.until(lambda: hosts.generations() == {1})
        hosts.store.write(b"2")
        self.assertThat(
            await hosts.clock.until(lambda: hosts.generations() == {2}),
            LessThan(3.0),
        )

    @with_hosts
    async def test_a_silent_watch_is_made_up_for_by_polls(self, hosts):
        await hosts.clock.until(lambda: hosts.generations() == {1})
        hosts.store.mode = "silent"
        hosts.store.write(b"2")
        self.assertThat(
            await hosts.clock.until(lambda: hosts.generations() == {2}),
            LessThan(IN_FORCE_S),
        )

    @with_hosts
    async def test_a_change_spreads_while_the_store_is_down(self, hosts):
        await hosts.clock.until(lambda: hosts.generations() == {1})
        hosts.store.mode = "down"
        hosts.spreads["c"].adopt_if_newer(b"2")
        self.assertThat(
            await hosts.clock.until(lambda: hosts.generations() == {2}),
            LessThan(3.0),
        )

    @with_hosts
    async def test_a_generation_never_goes_back(self, hosts):
        hosts.store.write(b"7")
        await hosts.clock.until(lambda: hosts.generations() == {7})
        hosts.store.write(b"3")
        hosts.store.write(b"not a configuration")
        await hosts.clock.advance(30.0)
        self.assertThat(hosts.generations(), Equals({7}))

    @with_hosts
    async def test_two_hosts_of_a_region_watch(self, hosts):
        await hosts.clock.advance(1.0)
        self.assertThat(
            [n for n, s in hosts.spreads.items() if s.is_watcher(T0)],
            HasLength(2),
        )

    def test_a_remote_value_is_first_fetched_by_a_watcher_only(self):
        async def check(hosts):
            remote = HostEntry("r", 1, 1, "south", address="r:1", generation=9)
            spreads = dict(hosts.spreads)
            hosts.spreads["r"] = _Answering(ConfigValue(9, b"9"))
            for member in hosts.members.values():
                member.merge([remote], T0)
            return [
                [await s.fetch_newer(now) for s in spreads.values()]
                for now in (T0, T0 + 2.0)
            ], [s.is_watcher(T0) for s in spreads.values()]

        hosts = _Hosts(_Store(FakeClock(T0)), "abcd")
        (first, later), watchers = asyncio.run(check(hosts))
        self.assertThat(first, Equals(watchers))
        self.assertThat(later, Equals([not w for w in watchers]))


class _Answering:
    def __init__(self, answer):
        self.answer = answer

    async def handle_fetch(self, request):
        return Success(self.answer)


class TestReadiness(testtools.TestCase):
    """Guards against a host that serves with an old configuration."""

    def _check(self, *, store_value=None, store_mode="up", answers=()):
        async def main():
            store = _Store(FakeClock(T0), store_value)
            store.mode = store_mode
            hosts = _Hosts(store, "a")
            for i, answer in enumerate(answers):
                hosts.spreads[f"p{i}"] = _Answering(answer)
            hosts.members["a"].set_join_candidates(
                {f"p{i}": f"p{i}:1" for i in range(len(answers) + 1)}
            )
            spread = hosts.spreads["a"]
            ready = await spread.check_ready(T0)
            return ready, spread.holder.generation

        return asyncio.run(main())

    def test_nobody_answers(self):
        self.assertThat(self._check(store_mode="down"), Equals((False, 0)))

    def test_the_store_alone_is_enough(self):
        self.assertThat(self._check(store_value=b"4"), Equals((True, 4)))

    def test_a_peer_alone_is_enough(self):
        ready = self._check(
            store_mode="down", answers=[ConfigValue(5, b"5"), ConfigValue(3)]
        )
        self.assertThat(ready, Equals((True, 5)))

    def test_a_peer_that_is_ahead_without_a_readable_value_blocks(self):
        ready = self._check(store_value=b"4", answers=[ConfigValue(6, b"?")])
        self.assertThat(ready, Equals((False, 4)))

    def test_a_store_without_a_configuration_is_not_enough(self):
        self.assertThat(self._check(), Equals((False, 0)))
