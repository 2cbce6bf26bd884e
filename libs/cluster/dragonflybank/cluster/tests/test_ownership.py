"""Tests of claims and handover between hosts."""

import asyncio
import random

import testtools
from testtools.matchers import Equals, LessThan

from dragonflybank.cluster.clock import Clock
from dragonflybank.cluster.entries import HostStatus
from dragonflybank.cluster.membership import Membership
from dragonflybank.cluster.ownership import Ownership, OwnershipConfig
from dragonflybank.cluster.ranking import first_host, may_receive
from dragonflybank.cluster.tests.fakes import (
    FakeClock,
    FakePeers,
    FakeWorker,
    row,
)
from dragonflybank.model.codes import Code
from dragonflybank.model.hashing import ranked
from dragonflybank.model.leases import ResolutionKind, TaskState
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import StartRecord

ONE = Resources(4, 1024, 0, 1, 1)
HOSTS = ("a", "b", "c")


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


class _Cluster:
    """Hosts in process; tests decide who hears whom.

    Attributes:
        deaf: Pairs (listener, speaker) between which no gossip passes.
        paused: Hosts that do nothing.
    """

    def __init__(self, names=HOSTS, workers=("w1",), regions=None):
        self.clock = FakeClock()
        self.workers = {w: FakeWorker(self.clock) for w in workers}
        self.deaf, self.paused, self.cut, self.no_peer = (
            set(),
            set(),
            set(),
            set(),
        )
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
                    self.members[o].own
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
        return [n for n, session in found.items() if session and session.owned]

    def session(self, worker="w1"):
        return self.hosts[self.owners(worker)[0]].sessions[worker]


def _run(body, **kwargs):
    async def main():
        cluster = _Cluster(**kwargs)
        return await cluster.run(body)

    return asyncio.run(main())


async def _owned(c, worker="w1", owner=None):
    wanted = owner or first_host(worker, HOSTS)
    return await c.clock.until(lambda: c.owners(worker) == [wanted])


class TestClaims(testtools.TestCase):
    """Guards against workers with no owner or with two."""

    def test_each_worker_goes_to_its_first_host(self):
        names = tuple(f"w{i}" for i in range(12))

        async def body(c):
            await c.clock.until(
                lambda: all(
                    c.owners(w) == [first_host(w, HOSTS)] for w in names
                )
            )
            return {w: c.workers[w].epoch for w in names}

        epochs = _run(body, workers=names)
        self.assertThat(set(epochs.values()), Equals({1}))

    def test_a_dead_owner_is_followed_by_the_next_in_rank(self):
        async def body(c):
            await _owned(c)
            owner = c.owners()[0]
            await c.kill(owner)
            others = tuple(h for h in HOSTS if h != owner)
            await c.clock.until(
                lambda: c.hosts[first_host("w1", others)].sessions["w1"].owned
            )
            return c.workers["w1"].epoch

        self.assertThat(_run(body), Equals(2))

    def test_a_paused_owner_wakes_and_finds_its_worker_taken(self):
        async def body(c):
            await _owned(c)
            paused = c.owners()[0]
            session = c.hosts[paused].sessions["w1"]
            start = StartRecord("t", "w1", session.epoch, ONE, 0.0)
            c.paused.add(paused)
            await c.clock.until(lambda: len(c.owners()) == 2)
            c.members[paused].tick(c.clock.at)
            c.hosts[paused].step(c.clock.at)
            refused = session.reserve(ONE, c.clock.at)
            await session.start(
                start, work_class="s", payload="", now=c.clock.at
            )
            c.paused.clear()
            await c.clock.until(lambda: c.owners() == [paused])
            return refused, c.workers["w1"].ran, c.workers["w1"].epoch

        refused, ran, epoch = _run(body)
        self.assertThat(refused.failure().code, Equals(Code.UNREACHABLE))
        self.assertThat((ran, epoch), Equals(([], 3)))

    def test_hosts_with_different_views_take_it_more_and_more_rarely(self):
        async def body(c):
            first, other, third = ranked("w1", HOSTS)
            await _owned(c)
            await c.kill(third)
            # Neither hears the other, so each takes the other for dead.
            c.deaf |= {(first, other), (other, first)}
            c.no_peer |= {first, other}
            await c.clock.advance(300.0)
            return c.workers["w1"].epoch

        # Without back-off each would claim once a step, 600 times.
        self.assertThat(_run(body), LessThan(30))

    def test_a_draining_host_hands_over_after_its_lookup(self):
        async def body(c):
            await _owned(c)
            leaver = c.owners()[0]
            session = c.session()
            worker = c.workers["w1"]
            worker.gate = asyncio.Event()
            lookup = asyncio.create_task(
                session.execute(
                    "r",
                    work_class="l",
                    payload="x",
                    timeout_s=30,
                    now=c.clock.at,
                )
            )
            await c.clock.advance(0.1)
            c.members[leaver].update_own(status=HostStatus.LEAVING)
            drained = asyncio.create_task(c.hosts[leaver].drain(c.clock))
            await c.clock.advance(5.0)
            during = c.owners()
            worker.gate.set()
            reply = await lookup
            await c.clock.until(drained.done)
            await c.clock.until(lambda: len(c.owners()) == 1)
            return leaver, during, reply.unwrap(), c.owners()

        leaver, during, reply, after = _run(body)
        self.assertThat(during, Equals([leaver]))
        self.assertThat(reply, Equals("X"))
        self.assertThat(leaver in after, Equals(False))

    def test_an_owner_gives_a_worker_only_to_the_first_of_its_own_view(self):
        first, second, owner = ranked("w1", HOSTS)
        view = tuple(sorted((first, owner)))
        self.assertThat(
            [may_receive("w1", h, view) for h in (first, second)],
            Equals([True, False]),
        )

    def test_a_lost_claim_answer_is_claimed_again(self):
        async def body(c):
            c.workers["w1"].faults["claim"] = "lose"
            await c.clock.until(lambda: c.workers["w1"].epoch >= 1)
            await c.clock.advance(0.25)
            c.workers["w1"].faults.clear()
            await _owned(c)
            return c.workers["w1"].owner

        self.assertThat(_run(body), Equals(first_host("w1", HOSTS)))

    def test_another_region_waits_before_it_takes_over(self):
        async def body(c):
            await c.clock.until(lambda: c.owners() == ["a"])
            died = c.clock.at
            await c.kill("a")
            await c.clock.until(lambda: c.owners() == ["b"])
            return c.clock.at - died

        waited = _run(body, names=("a", "b"), regions={"b": "south"})
        self.assertThat(waited > 60.0, Equals(True))


class TestEvents(testtools.TestCase):
    """Guards against ends of tasks that are lost or told to no one."""

    def test_an_end_is_acknowledged_only_once_journalled(self):
        async def body(c):
            await _owned(c)
            await _start_task(c, "t1")
            c.accepts = False
            c.workers["w1"].finish("t1")
            await c.clock.advance(5.0)
            waiting = dict(c.workers["w1"].ends)
            free = c.session().free.slots
            c.accepts = True
            await c.clock.until(lambda: not c.workers["w1"].ends)
            return waiting, free, c.ended

        waiting, free, ended = _run(body)
        self.assertThat(list(waiting), Equals(["t1"]))
        self.assertThat(free, Equals(6))
        self.assertThat(
            [e[1:] for e in ended], Equals([("t1", TaskState.DONE)])
        )

    def test_a_lost_acknowledgement_is_sent_again(self):
        async def body(c):
            await _owned(c)
            await _start_task(c, "t1")
            c.workers["w1"].faults["ack"] = "drop"
            c.workers["w1"].finish("t1")
            await c.clock.until(lambda: len(c.ended) == 2)
            c.workers["w1"].faults.clear()
            await c.clock.until(lambda: not c.workers["w1"].ends)

        _run(body)

    def test_the_next_owner_reports_what_the_dead_one_did_not(self):
        async def body(c):
            await _owned(c)
            owner = c.owners()[0]
            await _start_task(c, "t1")
            await c.kill(owner)
            c.workers["w1"].finish("t1")
            await c.clock.until(lambda: c.ended)
            return owner, c.ended[0]

        owner, (reporter, task, _) = _run(body)
        self.assertThat(task, Equals("t1"))
        self.assertThat(reporter == owner, Equals(False))

    def test_a_silent_event_connection_does_not_stop_renewals(self):
        async def body(c):
            await _owned(c)
            c.workers["w1"].faults["events"] = "drop"
            before = c.workers["w1"].calls.count("renew")
            await c.clock.advance(30.0)
            return c.workers["w1"].calls.count("renew") - before

        self.assertThat(_run(body), Equals(10))

    def test_tasks_of_a_lost_worker_are_reported_after_the_worst_case(self):
        async def body(c):
            await _owned(c)
            await _start_task(c, "t1")
            await c.clock.advance(10.0)
            c.workers["w1"].faults["all"] = "drop"
            last = c.workers["w1"].renewed_at
            await c.clock.until(lambda: c.ended)
            return c.clock.at - last, c.ended[0][2]

        waited, state = _run(body)
        self.assertThat(waited >= 20.0, Equals(True))
        self.assertThat(state, Equals(TaskState.LAPSED))

    def test_tasks_of_a_replaced_worker_are_reported(self):
        async def body(c):
            await _owned(c)
            await _start_task(c, "t1")
            c.workers["w1"].replace()
            await c.clock.until(lambda: c.ended)
            await _owned(c)
            return c.ended, c.session().free.slots

        ended, free = _run(body)
        self.assertThat(ended[0][2], Equals(TaskState.LAPSED))
        self.assertThat((ended[1:], free), Equals(([], 6)))

    def test_an_unanswered_start_is_settled_without_its_home(self):
        async def body(c):
            await _owned(c)
            c.workers["w1"].faults["start"] = "drop"
            await _start_task(c, "t1")
            c.workers["w1"].faults.clear()
            before = c.session().free.slots
            await c.clock.until(lambda: c.session().free.slots == 6)
            return before, c.workers["w1"].epoch

        self.assertThat(_run(body), Equals((5, 2)))


class TestRoster(testtools.TestCase):
    """Guards against workers that are forgotten or held for ever."""

    def test_a_vm_at_a_new_address_loses_the_old_ones_tasks(self):
        async def body(c):
            await _owned(c)
            host = c.hosts[c.owners()[0]]
            await _start_task(c, "t1")
            c.workers["w1"].replace()
            host.update_workers([row(address="127.0.0.2")], c.clock.at)
            await c.clock.until(lambda: c.ended)
            return c.ended[0][1:]

        self.assertThat(_run(body), Equals(("t1", TaskState.LAPSED)))

    def test_a_worker_that_is_gone_is_given_up(self):
        async def body(c):
            await _owned(c)
            host = c.hosts[c.owners()[0]]
            await _start_task(c, "t1")
            c.workers["w1"].faults["all"] = "drop"
            host.update_workers([], c.clock.at)
            await c.clock.until(lambda: c.ended)
            await c.clock.advance(60.0)
            host.update_workers([], c.clock.at)
            owners = c.owners()
            await c.clock.advance(1.0)
            host.update_workers([], c.clock.at + 3600.0)
            return owners, list(host.sessions)

        self.assertThat(_run(body), Equals(([], [])))

    def test_a_changed_lookup_reserve_holds_at_once(self):
        async def body(c):
            await _owned(c)
            c.hosts[c.owners()[0]].set_lookup_reserve(5)
            return c.session().free.slots

        self.assertThat(_run(body), Equals(3))


class TestUnreachableWorkers(testtools.TestCase):
    """Guards against a new owner that decides too early."""

    def test_a_takeover_counts_only_when_every_host_denies(self):
        async def body(c):
            await _owned(c)
            owner = c.owners()[0]
            start = await _start_task(c, "t1")
            await c.kill(owner)
            heir = first_host("w1", tuple(h for h in HOSTS if h != owner))
            c.cut.add(heir)
            session = c.hosts[heir].sessions["w1"]
            await c.clock.until(
                lambda: session.contact.taken_over_at is not None
            )
            since = session.contact.taken_over_at
            kinds = []
            for _ in range(2):
                resolved = await session.resolve(start, now=c.clock.at)
                kinds.append(resolved.unwrap().kind)
                await c.clock.advance(since + 20.0 - c.clock.at)
            resolved = await session.resolve(start, now=c.clock.at)
            return kinds[:1], resolved.unwrap().kind

        before, after = _run(body)
        self.assertThat(before, Equals([ResolutionKind.UNDECIDED]))
        self.assertThat(after, Equals(ResolutionKind.LEASE_LAPSED))

    def test_a_live_owner_that_reaches_the_worker_keeps_it(self):
        async def body(c):
            first = first_host("w1", HOSTS)
            c.cut.add(first)
            others = tuple(h for h in HOSTS if h != first)
            # The first host joins late and cannot reach the worker.
            c.deaf |= {(o, first) for o in others}
            await _owned(c, owner=first_host("w1", others))
            start = await _start_task(c, "t1")
            c.deaf.clear()
            await c.clock.advance(60.0)
            session = c.hosts[first].sessions["w1"]
            resolved = await session.resolve(start, now=c.clock.at)
            return c.owners(), first_host("w1", others), resolved

        owners, expected, resolved = _run(body)
        self.assertThat(owners, Equals([expected]))
        self.assertThat(resolved.failure().code, Equals(Code.NOT_OWNER))

    def test_an_unlisted_worker_is_gone_after_the_worst_case(self):
        async def body(c):
            host = c.hosts["a"]
            start = StartRecord("t", "gone", 5, ONE, 0.0)
            first = await host.resolve(start, now=c.clock.at)
            await c.clock.advance(25.0)
            host.update_workers([row("w1")], c.clock.at)
            return first, await host.resolve(start, now=c.clock.at)

        first, second = _run(body)
        self.assertThat(first.failure().code, Equals(Code.NOT_OWNER))
        self.assertThat(
            second.unwrap().kind, Equals(ResolutionKind.LEASE_LAPSED)
        )


async def _start_task(c, task_id):
    session = c.session()
    start = StartRecord(task_id, "w1", session.epoch, ONE, c.clock.at)
    await session.start(start, work_class="s", payload="", now=c.clock.at)
    return start
