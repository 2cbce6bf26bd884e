"""Tests of the configuration sync between store and hosts."""

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
# Largest time until a change is in force on every host.
MAX_PROPAGATION_S = 16.0


def _generation(value):
    text = value.decode()
    return (
        Success(int(text))
        if text.isdigit()
        else failure(Code.BAD_CONFIGURATION)
    )


class _Store(ConfigStore):
    """A store with one key.

    Its ``mode`` is ``up``, ``silent`` (watches get no answer) or ``down``.
    """

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
    """Hosts in process that all exchange gossip."""

    def __init__(self, store, names, region="north"):
        self.store, self.clock = store, store.clock
        self.syncs, self.members = {}, {}
        peers = _Peers(self.syncs)
        for i, name in enumerate(names):
            member = Membership(name, region, f"{name}:1", now=T0)
            self.members[name] = member
            self.syncs[name] = ConfigSync(
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
        return {s.holder.generation for s in self.syncs.values()}

    async def run(self, body):
        async def gossip_loop():
            while True:
                self.gossip(self.clock.now())
                await self.clock.sleep(0.5)

        tasks = [asyncio.create_task(gossip_loop())]
        tasks += [
            asyncio.create_task(s.run(self.clock)) for s in self.syncs.values()
        ]
        try:
            await body()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


def with_four_hosts(test):
    """Runs an async test method with four hosts and a store."""

    @functools.wraps(test)
    def run(self):
        async def main():
            hosts = _Hosts(_Store(FakeClock(T0), b"1"), "abcd")
            await hosts.run(lambda: test(self, hosts))

        asyncio.run(main())

    return run


class TestConfigSync(testtools.TestCase):
    """Guards against hosts that keep or return to an old configuration."""

    @with_four_hosts
    async def test_change_reaches_every_host_by_watch_and_gossip(self, hosts):
        await hosts.clock.advance_until(lambda: hosts.generations() == {1})
        hosts.store.write(b"2")
        self.assertThat(
            await hosts.clock.advance_until(lambda: hosts.generations() == {2}),
            LessThan(3.0),
        )

    @with_four_hosts
    async def test_polls_find_a_change_that_watches_miss(self, hosts):
        await hosts.clock.advance_until(lambda: hosts.generations() == {1})
        hosts.store.mode = "silent"
        hosts.store.write(b"2")
        self.assertThat(
            await hosts.clock.advance_until(lambda: hosts.generations() == {2}),
            LessThan(MAX_PROPAGATION_S),
        )

    @with_four_hosts
    async def test_change_reaches_every_host_while_the_store_is_down(
        self, hosts
    ):
        await hosts.clock.advance_until(lambda: hosts.generations() == {1})
        hosts.store.mode = "down"
        hosts.syncs["c"].adopt_if_newer(b"2")
        self.assertThat(
            await hosts.clock.advance_until(lambda: hosts.generations() == {2}),
            LessThan(3.0),
        )

    @with_four_hosts
    async def test_generation_never_decreases(self, hosts):
        hosts.store.write(b"7")
        await hosts.clock.advance_until(lambda: hosts.generations() == {7})
        hosts.store.write(b"3")
        hosts.store.write(b"not a configuration")
        await hosts.clock.advance(30.0)
        self.assertThat(hosts.generations(), Equals({7}))

    @with_four_hosts
    async def test_two_hosts_of_a_region_watch_the_store(self, hosts):
        await hosts.clock.advance(1.0)
        self.assertThat(
            [n for n, s in hosts.syncs.items() if s.is_watcher(T0)],
            HasLength(2),
        )

    def test_only_watchers_fetch_a_remote_value_at_first(self):
        async def check(hosts):
            remote = HostEntry("r", 1, 1, "south", address="r:1", generation=9)
            syncs = dict(hosts.syncs)
            hosts.syncs["r"] = _FixedAnswer(ConfigValue(9, b"9"))
            for member in hosts.members.values():
                member.merge([remote], T0)
            return [
                [await s.fetch_newer(now) for s in syncs.values()]
                for now in (T0, T0 + 2.0)
            ], [s.is_watcher(T0) for s in syncs.values()]

        hosts = _Hosts(_Store(FakeClock(T0)), "abcd")
        (first, later), watchers = asyncio.run(check(hosts))
        self.assertThat(first, Equals(watchers))
        self.assertThat(later, Equals([not w for w in watchers]))


class _FixedAnswer:
    def __init__(self, answer):
        self.answer = answer

    async def handle_fetch(self, request):
        return Success(self.answer)


class TestReadiness(testtools.TestCase):
    """Guards against a host that reports ready with an old configuration."""

    def _check(self, *, store_value=None, store_mode="up", answers=()):
        async def main():
            store = _Store(FakeClock(T0), store_value)
            store.mode = store_mode
            hosts = _Hosts(store, "a")
            for i, answer in enumerate(answers):
                hosts.syncs[f"p{i}"] = _FixedAnswer(answer)
            hosts.members["a"].set_join_candidates(
                {f"p{i}": f"p{i}:1" for i in range(len(answers) + 1)}
            )
            sync = hosts.syncs["a"]
            ready = await sync.check_ready(T0)
            return ready, sync.holder.generation

        return asyncio.run(main())

    def test_host_is_not_ready_without_any_answer(self):
        self.assertThat(self._check(store_mode="down"), Equals((False, 0)))

    def test_host_is_ready_with_the_value_of_the_store(self):
        self.assertThat(self._check(store_value=b"4"), Equals((True, 4)))

    def test_host_is_ready_with_the_value_of_a_peer(self):
        ready = self._check(
            store_mode="down", answers=[ConfigValue(5, b"5"), ConfigValue(3)]
        )
        self.assertThat(ready, Equals((True, 5)))

    def test_host_is_not_ready_if_a_newer_value_is_malformed(self):
        ready = self._check(store_value=b"4", answers=[ConfigValue(6, b"?")])
        self.assertThat(ready, Equals((False, 4)))

    def test_host_is_not_ready_if_the_store_is_empty(self):
        self.assertThat(self._check(), Equals((False, 0)))
