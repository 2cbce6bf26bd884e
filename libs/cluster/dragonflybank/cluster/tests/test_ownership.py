"""Tests of claims and handover between hosts."""

import asyncio

import testtools
from returns.result import Success
from testtools.matchers import Equals, GreaterThan, LessThan

from dragonflybank.cluster.entries import HostStatus
from dragonflybank.cluster.ranking import first_host, may_receive
from dragonflybank.cluster.tests.fake_cluster import (
    HOSTS,
    with_cluster,
)
from dragonflybank.cluster.tests.fakes import look, row
from dragonflybank.model.codes import Code
from dragonflybank.model.hashing import rank_members
from dragonflybank.model.leases import TaskState
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import StartRecord

NAMES = tuple(f"w{i}" for i in range(12))
ONE = Resources(4, 1024, 0, 1, 1)


async def _owned(c, worker="w1", owner=None):
    wanted = owner or first_host(worker, HOSTS)
    return await c.clock.until(lambda: c.owners(worker) == [wanted])


class TestClaims(testtools.TestCase):
    """Guards against workers with no owner or with two."""

    @with_cluster(workers=NAMES)
    async def test_each_worker_goes_to_its_first_host(self, c):
        firsts = {w: [first_host(w, HOSTS)] for w in NAMES}
        await c.clock.until(lambda: {w: c.owners(w) for w in NAMES} == firsts)
        self.assertThat({c.workers[w].epoch for w in NAMES}, Equals({1}))

    @with_cluster()
    async def test_a_dead_owner_is_followed_by_the_next_in_rank(self, c):
        await _owned(c)
        owner = c.owners()[0]
        await c.kill(owner)
        others = tuple(h for h in HOSTS if h != owner)
        await c.clock.until(
            lambda: c.hosts[first_host("w1", others)].sessions["w1"].is_owned
        )
        self.assertThat(c.workers["w1"].epoch, Equals(2))

    @with_cluster()
    async def test_a_paused_owner_wakes_and_finds_its_worker_taken(self, c):
        await _owned(c)
        paused = c.owners()[0]
        session = c.hosts[paused].sessions["w1"]
        start = StartRecord("t", "w1", session.epoch, ONE, 0.0)
        c.paused.add(paused)
        await c.clock.until(lambda: len(c.owners()) == 2)
        c.members[paused].tick(c.clock.at)
        c.hosts[paused].step(c.clock.at)
        refused = session.reserve(ONE, c.clock.at)
        await session.start(start, work_class="s", payload="", now=c.clock.at)
        c.paused.clear()
        await c.clock.until(lambda: c.owners() == [paused])
        worker = c.workers["w1"]
        self.assertThat(refused.failure().code, Equals(Code.UNREACHABLE))
        self.assertThat((worker.ran, worker.epoch), Equals(([], 3)))

    @with_cluster()
    async def test_hosts_with_different_views_take_it_more_and_more_rarely(
        self, c
    ):
        first, other, third = rank_members("w1", HOSTS)
        await _owned(c)
        await c.kill(third)
        # Neither hears the other, so each takes the other for dead.
        c.deaf |= {(first, other), (other, first)}
        c.no_peer |= {first, other}
        await c.clock.advance(300.0)
        result = c.workers["w1"].epoch
        # Without back-off each would claim once a step, 600 times.
        self.assertThat(result, LessThan(30))

    @with_cluster()
    async def test_a_draining_host_hands_over_after_its_lookup(self, c):
        await _owned(c)
        leaver = c.owners()[0]
        session = c.session()
        worker = c.workers["w1"]
        worker.gate = asyncio.Event()
        lookup = asyncio.create_task(look(session, 30.0, c.clock.at))
        await c.clock.advance(0.1)
        c.members[leaver].update_own(status=HostStatus.LEAVING)
        drained = asyncio.create_task(c.hosts[leaver].drain(c.clock))
        await c.clock.advance(5.0)
        during = c.owners()
        worker.gate.set()
        reply = await lookup
        await c.clock.until(drained.done)
        await c.clock.until(lambda: len(c.owners()) == 1)
        self.assertThat(during, Equals([leaver]))
        self.assertThat(reply, Equals(Success("X")))
        self.assertFalse(leaver in c.owners())

    def test_an_owner_gives_a_worker_only_to_the_first_of_its_own_view(self):
        first, second, owner = rank_members("w1", HOSTS)
        view = tuple(sorted((first, owner)))
        self.assertThat(
            [may_receive("w1", h, view) for h in (first, second)],
            Equals([True, False]),
        )

    @with_cluster()
    async def test_a_lost_claim_answer_is_claimed_again(self, c):
        c.workers["w1"].faults["claim"] = "lose"
        await c.clock.until(lambda: c.workers["w1"].epoch >= 1)
        await c.clock.advance(0.25)
        c.workers["w1"].faults.clear()
        await _owned(c)
        self.assertThat(c.workers["w1"].owner, Equals(first_host("w1", HOSTS)))

    @with_cluster(names=("a", "b"), regions={"b": "south"})
    async def test_another_region_waits_before_it_takes_over(self, c):
        await c.clock.until(lambda: c.owners() == ["a"])
        await c.kill("a")
        waited = await c.clock.until(lambda: c.owners() == ["b"])
        self.assertThat(waited, GreaterThan(60.0))


class TestEvents(testtools.TestCase):
    """Guards against ends of tasks that are lost or told to no one."""

    @with_cluster()
    async def test_an_end_is_acknowledged_only_once_journalled(self, c):
        await _running(c)
        c.accepts = False
        c.workers["w1"].finish("t1")
        await c.clock.advance(5.0)
        waiting = dict(c.workers["w1"].ends)
        free = c.session().free_for_tasks.slots
        c.accepts = True
        await c.clock.until(lambda: not c.workers["w1"].ends)
        ended = c.ended
        self.assertThat(list(waiting), Equals(["t1"]))
        self.assertThat(free, Equals(6))
        self.assertThat(
            [e[1:] for e in ended], Equals([("t1", TaskState.DONE)])
        )

    @with_cluster()
    async def test_a_lost_acknowledgement_is_sent_again(self, c):
        await _running(c)
        c.workers["w1"].faults["ack"] = "drop"
        c.workers["w1"].finish("t1")
        await c.clock.until(lambda: len(c.ended) == 2)
        c.workers["w1"].faults.clear()
        await c.clock.until(lambda: not c.workers["w1"].ends)

    @with_cluster()
    async def test_the_next_owner_reports_what_the_dead_one_did_not(self, c):
        await _running(c)
        owner = c.owners()[0]
        await c.kill(owner)
        c.workers["w1"].finish("t1")
        await c.clock.until(lambda: c.ended)
        reporter, task, _ = c.ended[0]
        self.assertThat((task, reporter == owner), Equals(("t1", False)))

    @with_cluster()
    async def test_a_silent_event_connection_does_not_stop_renewals(self, c):
        await _owned(c)
        c.workers["w1"].faults["events"] = "drop"
        before = c.workers["w1"].calls.count("renew")
        await c.clock.advance(30.0)
        sent = c.workers["w1"].calls.count("renew") - before
        self.assertThat(sent, Equals(10))

    @with_cluster()
    async def test_tasks_of_a_lost_worker_are_reported_after_the_worst_case(
        self, c
    ):
        await _running(c)
        await c.clock.advance(10.0)
        c.workers["w1"].faults["all"] = "drop"
        last = c.workers["w1"].renewed_at
        await c.clock.until(lambda: c.ended)
        self.assertThat(c.clock.at, GreaterThan(last + 19.9))
        self.assertThat(c.ended[0][2], Equals(TaskState.LAPSED))

    @with_cluster()
    async def test_tasks_of_a_replaced_worker_are_reported(self, c):
        await _running(c)
        c.workers["w1"].replace()
        await c.clock.until(lambda: c.ended)
        await _owned(c)
        self.assertThat([e[2] for e in c.ended], Equals([TaskState.LAPSED]))
        self.assertThat(c.session().free_for_tasks.slots, Equals(6))

    @with_cluster()
    async def test_an_unanswered_start_is_settled_without_its_home(self, c):
        await _owned(c)
        c.workers["w1"].faults["start"] = "drop"
        await _start_task(c, "t1")
        c.workers["w1"].faults.clear()
        before = c.session().free_for_tasks.slots
        await c.clock.until(lambda: c.session().free_for_tasks.slots == 6)
        self.assertThat((before, c.workers["w1"].epoch), Equals((5, 2)))


class TestRoster(testtools.TestCase):
    """Guards against workers that are forgotten or held for ever."""

    @with_cluster()
    async def test_a_vm_at_a_new_address_loses_the_old_ones_tasks(self, c):
        await _running(c)
        host = c.hosts[c.owners()[0]]
        c.workers["w1"].replace()
        host.update_workers([row(address="127.0.0.2")], c.clock.at)
        await c.clock.until(lambda: c.ended)
        self.assertThat(c.ended[0][1:], Equals(("t1", TaskState.LAPSED)))

    @with_cluster()
    async def test_a_worker_that_is_gone_is_given_up(self, c):
        await _running(c)
        host = c.hosts[c.owners()[0]]
        c.workers["w1"].faults["all"] = "drop"
        host.update_workers([], c.clock.at)
        await c.clock.until(lambda: c.ended)
        await c.clock.advance(60.0)
        host.update_workers([], c.clock.at)
        owners = c.owners()
        await c.clock.advance(1.0)
        host.update_workers([], c.clock.at + 3600.0)
        self.assertThat((owners, list(host.sessions)), Equals(([], [])))

    @with_cluster()
    async def test_a_changed_lookup_reserve_holds_at_once(self, c):
        await _owned(c)
        c.hosts[c.owners()[0]].set_lookup_reserve(5)
        self.assertThat(c.session().free_for_tasks.slots, Equals(3))


class TestUnreachableWorkers(testtools.TestCase):
    """Guards against a new owner that decides too early."""

    @with_cluster()
    async def test_a_takeover_counts_only_when_every_host_denies(self, c):
        start = await _running(c)
        owner = c.owners()[0]
        await c.kill(owner)
        heir = first_host("w1", tuple(h for h in HOSTS if h != owner))
        c.cut.add(heir)
        session = c.hosts[heir].sessions["w1"]
        await c.clock.until(lambda: session.liveness.taken_over_at is not None)
        since = session.liveness.taken_over_at
        kinds = []
        for end in (since + 19.5, since + 20.0):
            await c.clock.advance(end - c.clock.at)
            resolved = await session.resolve(start, now=c.clock.at)
            kinds.append(resolved.unwrap().kind)
        self.assertThat(kinds, Equals(["undecided", "lease_lapsed"]))

    @with_cluster()
    async def test_a_live_owner_that_reaches_the_worker_keeps_it(self, c):
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
        owners, expected = c.owners(), first_host("w1", others)
        self.assertThat(owners, Equals([expected]))
        self.assertThat(resolved.failure().code, Equals(Code.NOT_OWNER))

    @with_cluster()
    async def test_an_unlisted_worker_is_gone_after_the_worst_case(self, c):
        host = c.hosts["a"]
        start = StartRecord("t", "gone", 5, ONE, 0.0)
        first = await host.resolve(start, now=c.clock.at)
        await c.clock.advance(25.0)
        host.update_workers([row("w1")], c.clock.at)
        second = await host.resolve(start, now=c.clock.at)
        self.assertThat(first.failure().code, Equals(Code.NOT_OWNER))
        self.assertThat(second.unwrap().kind, Equals("lease_lapsed"))


async def _running(c):
    await _owned(c)
    return await _start_task(c, "t1")


async def _start_task(c, task_id):
    session = c.session()
    start = StartRecord(task_id, "w1", session.epoch, ONE, c.clock.at)
    await session.start(start, work_class="s", payload="", now=c.clock.at)
    return start
