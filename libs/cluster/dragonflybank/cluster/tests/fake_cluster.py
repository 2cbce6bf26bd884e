"""Hosts with their ownership in process, and who hears whom."""

__all__ = ["HOSTS", "FakeCluster", "with_cluster"]

import asyncio
import functools
import random

from dragonflybank.cluster.clock import Clock
from dragonflybank.cluster.membership import Membership
from dragonflybank.cluster.ownership import Ownership
from dragonflybank.cluster.session_registry import OwnershipConfig
from dragonflybank.cluster.tests.fakes import (
    FakeClock,
    FakePeers,
    FakeWorker,
    row,
)

HOSTS = ("a", "b", "c")


def with_cluster(**kwargs):
    """Runs an async test method with a cluster of its own."""

    def decorate(test):
        @functools.wraps(test)
        def run(self):
            async def main():
                await FakeCluster(**kwargs).run(functools.partial(test, self))

            asyncio.run(main())

        return run

    return decorate


class _HostClock(Clock):
    """The clock of one host, which stands still while the host is paused."""

    def __init__(self, cluster, name):
        self._cluster, self._name = cluster, name

    def now(self):
        return self._cluster.clock.at

    async def sleep(self, seconds):
        await self._cluster.clock.sleep(seconds)
        while self._name in self._cluster.paused:
            await self._cluster.clock.sleep(0.25)


class FakeCluster:
    """Hosts in process; tests decide who hears whom.

    Attributes:
        deaf: Pairs (listener, speaker) between which no gossip passes.
        paused: Hosts that do nothing.
        cut: Hosts that reach no worker.
        no_peer: Hosts whose calls to other hosts fail, both ways.
        accepts: Whether the homes journal the ends of tasks.
        ended: Ends of tasks as (reporting host, task id, state).
    """

    def __init__(self, names=HOSTS, workers=("w1",), regions=None):
        self.clock = FakeClock()
        self.workers = {w: FakeWorker(self.clock) for w in workers}
        self.deaf, self.paused = set(), set()
        self.cut, self.no_peer = set(), set()
        self.accepts = True
        self.ended = []
        self.members, self.hosts, self.runs = {}, {}, {}
        for name in names:
            region = (regions or {}).get(name, "north")
            self._add(name, region)

    def _add(self, name, region):
        now = self.clock.at
        member = Membership(name, region, f"{name}:1", now=now)
        member.tick(now)
        self.members[name] = member
        self.hosts[name] = Ownership(
            OwnershipConfig(name, region),
            member,
            lambda vm: self.workers[vm.name].for_host(name, self.cut),
            on_finished=self._on_finished,
            peers=FakePeers(name, self.hosts, self.clock, self.no_peer),
            rng=random.Random(7),
        )
        self.hosts[name].update_workers([row(w) for w in self.workers], now)

    async def _on_finished(self, event, session):
        if self.accepts:
            self.ended.append((session.host, event.task_id, event.state))
        return self.accepts

    async def run(self, body):
        for name in self.hosts:
            self.runs[name] = asyncio.create_task(
                self.hosts[name].run(_HostClock(self, name))
            )
        gossip = asyncio.create_task(self._gossip())
        try:
            return await body(self)
        finally:
            tasks = [gossip, *self.runs.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _gossip(self):
        while True:
            now = self.clock.at
            active = [n for n in self.members if n not in self.paused]
            for name in active:
                self.members[name].tick(now)
            for name in active:
                heard = [
                    self.members[o].own_entry
                    for o in active
                    if o != name and (name, o) not in self.deaf
                ]
                for entry in heard:
                    self.members[name].merge([entry], now)
            await self.clock.sleep(0.5)

    async def kill(self, name):
        self.paused.add(name)
        self.no_peer.add(name)
        self.runs[name].cancel()
        await asyncio.gather(self.runs[name], return_exceptions=True)

    def owners(self, worker="w1"):
        found = {n: o.sessions.get(worker) for n, o in self.hosts.items()}
        return [
            n for n, session in found.items() if session and session.is_owned
        ]

    def session(self, worker="w1"):
        return self.hosts[self.owners(worker)[0]].sessions[worker]
