"""Hosts with their worker ownership in process, on a simulated network."""

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
    worker_vm,
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
    """The clock of one host, whose sleeps do not end while it is paused."""

    def __init__(self, cluster, name):
        self._cluster, self._name = cluster, name

    def now(self):
        return self._cluster.clock.time

    async def sleep(self, seconds):
        await self._cluster.clock.sleep(seconds)
        while self._name in self._cluster.paused:
            await self._cluster.clock.sleep(0.25)


class FakeCluster:
    """Hosts in process; tests cut off gossip and calls between them.

    Attributes:
        gossip_blocked: Pairs (receiver, sender) between which no gossip passes.
        paused: Hosts that do nothing.
        cut_from_workers: Hosts that reach no worker.
        cut_from_peers: Hosts whose calls to other hosts fail, both ways.
        accepts_ends: Whether the homes journal the ends of tasks.
        reported_ends: Ends of tasks as (reporting host, task id, state).
    """

    def __init__(self, names=HOSTS, workers=("w1",), regions=None):
        self.clock = FakeClock()
        self.workers = {w: FakeWorker(self.clock) for w in workers}
        self.gossip_blocked, self.paused = set(), set()
        self.cut_from_workers, self.cut_from_peers = set(), set()
        self.accepts_ends = True
        self.reported_ends = []
        self.members, self.hosts, self.loops = {}, {}, {}
        for name in names:
            region = (regions or {}).get(name, "north")
            self._add(name, region)

    def _add(self, name, region):
        now = self.clock.time
        member = Membership(name, region, f"{name}:1", now=now)
        member.tick(now)
        self.members[name] = member
        self.hosts[name] = Ownership(
            OwnershipConfig(name, region),
            member,
            lambda vm: self.workers[vm.name].for_host(
                name, self.cut_from_workers
            ),
            on_finished=self._on_finished,
            peers=FakePeers(name, self.hosts, self.clock, self.cut_from_peers),
            rng=random.Random(7),
        )
        self.hosts[name].update_workers(
            [worker_vm(w) for w in self.workers], now
        )

    async def _on_finished(self, event, session):
        if self.accepts_ends:
            self.reported_ends.append(
                (session.host, event.task_id, event.state)
            )
        return self.accepts_ends

    async def run(self, body):
        for name in self.hosts:
            self.loops[name] = asyncio.create_task(
                self.hosts[name].run(_HostClock(self, name))
            )
        gossip = asyncio.create_task(self._gossip())
        try:
            return await body(self)
        finally:
            tasks = [gossip, *self.loops.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _gossip(self):
        while True:
            now = self.clock.time
            active = [n for n in self.members if n not in self.paused]
            for name in active:
                self.members[name].tick(now)
            for name in active:
                received = [
                    self.members[o].own_entry
                    for o in active
                    if o != name and (name, o) not in self.gossip_blocked
                ]
                for entry in received:
                    self.members[name].merge([entry], now)
            await self.clock.sleep(0.5)

    async def kill(self, name):
        self.paused.add(name)
        self.cut_from_peers.add(name)
        self.loops[name].cancel()
        await asyncio.gather(self.loops[name], return_exceptions=True)

    def owners(self, worker="w1"):
        found = {n: o.sessions.get(worker) for n, o in self.hosts.items()}
        return [
            n for n, session in found.items() if session and session.is_owned
        ]

    def session(self, worker="w1"):
        return self.hosts[self.owners(worker)[0]].sessions[worker]
