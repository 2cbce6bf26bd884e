"""Tests of gossip rounds over loopback sockets."""

import asyncio
import random

import testtools
from testtools.matchers import Equals, HasLength

from dragonflybank.cluster.clock import SystemClock
from dragonflybank.cluster.entries import HostEntry
from dragonflybank.cluster.gossip import FANOUT, Gossiper, choose_targets
from dragonflybank.cluster.links import PeerServer, typed_handler
from dragonflybank.cluster.membership import Membership
from dragonflybank.cluster.messages import Gossip, RequestKind
from dragonflybank.cluster.peers import PeerLinks

LOCAL = "127.0.0.1"


class _Host:
    """A host with a real peer socket."""

    def __init__(self, name, seed):
        clock = SystemClock()
        self.server = PeerServer(LOCAL, 0, contexts=32)
        self.server.serve(
            {RequestKind.GOSSIP: typed_handler(Gossip, self._answer)}
        )
        address = f"{LOCAL}:{self.server.port}"
        self.member = Membership(name, "north", address, now=clock.now())
        self.links = PeerLinks(name, self.member.address_of)
        self.gossiper = Gossiper(
            self.member, self.links, rng=random.Random(seed)
        )
        self.run = asyncio.create_task(self.gossiper.run(clock))
        self.received = asyncio.Event()

    async def _answer(self, sender, message):
        reply = await self.gossiper.handle_gossip(message, SystemClock().now())
        self.received.set()
        return reply

    def live(self):
        return self.member.live_hosts("north", SystemClock().now())

    async def close(self):
        self.run.cancel()
        await asyncio.gather(self.run, return_exceptions=True)
        await self.links.close()
        await self.server.close()


class TestGossip(testtools.TestCase):
    """Guards against hosts that do not find each other, or send too much."""

    def test_hosts_find_each_other_through_one_seed(self):
        async def check():
            hosts = [_Host(f"h{i}", i) for i in range(4)]
            seed = hosts[0].member.own_entry.address
            for host in hosts:
                host.member.set_join_candidates({"seed": seed})
            names = tuple(h.member.own_entry.host for h in hosts)
            for host in hosts:
                while host.live() != names:
                    host.received.clear()
                    await host.received.wait()
            await hosts[1].gossiper.announce_leaving(SystemClock())
            for host in hosts:
                while host.live() != ("h0", "h2", "h3"):
                    host.received.clear()
                    await host.received.wait()
            for host in hosts:
                await host.close()

        async def limited():
            async with asyncio.timeout(60):
                return await check()

        # Ends only when every host lists all hosts as live, and later all but
        # the leaving one.
        asyncio.run(limited())

    def test_remote_peer_is_chosen_in_every_fourth_round(self):
        member = Membership("a", "north", "a:1", now=0.0)
        for i in range(8):
            region = "north" if i < 5 else "south"
            member.merge(
                [HostEntry(f"h{i}", 1, 1, region, address=f"{i}")], 0.0
            )
        rng = random.Random(3)
        remote = []
        for _ in range(8):
            member.tick(0.0)
            chosen = choose_targets(member, rng, 0.0)
            self.assertThat(chosen, HasLength(FANOUT))
            remote.append(sum(int(a) >= 5 for a in chosen))
        self.assertThat(remote, Equals([0, 0, 0, 1] * 2))
