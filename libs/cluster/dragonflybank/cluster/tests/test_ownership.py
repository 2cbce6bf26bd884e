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
from dragonflybank.cluster.tests.fakes import run_lookup, worker_vm
from dragonflybank.model.codes import Code
from dragonflybank.model.hashing import rank_members
from dragonflybank.model.leases import TaskState
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import StartRecord

NAMES = tuple(f"w{i}" for i in range(12))
TASK_SIZE = Resources(4, 1024, 0, 1, 1)


async def _wait_owned(c, worker="w1", owner=None):
    wanted = owner or first_host(worker, HOSTS)
    return await c.clock.advance_until(lambda: c.owners(worker) == [wanted])


class TestClaims(testtools.TestCase):
    """Guards against workers without an owner or with two owners."""

    @with_cluster(workers=NAMES)
    async def test_each_worker_is_claimed_by_its_first_ranked_host(self, c):
        firsts = {w: [first_host(w, HOSTS)] for w in NAMES}
        await c.clock.advance_until(
            lambda: {w: c.owners(w) for w in NAMES} == firsts
        )
        self.assertThat({c.workers[w].epoch for w in NAMES}, Equals({1}))

    @with_cluster()
    async def test_next_host_in_rank_takes_over_from_a_dead_owner(self, c):
        await _wait_owned(c)
        owner = c.owners()[0]
        await c.kill(owner)
        others = tuple(h for h in HOSTS if h != owner)
        await c.clock.advance_until(
            lambda: c.hosts[first_host("w1", others)].sessions["w1"].is_owned
        )
        self.assertThat(c.workers["w1"].epoch, Equals(2))

    @with_cluster()
    async def test_paused_owner_starts_nothing_after_a_takeover(self, c):
        await _wait_owned(c)
        paused = c.owners()[0]
        session = c.hosts[paused].sessions["w1"]
        start = StartRecord("t", "w1", session.epoch, TASK_SIZE, 0.0)
        c.paused.add(paused)
        await c.clock.advance_until(lambda: len(c.owners()) == 2)
        c.members[paused].tick(c.clock.time)
        c.hosts[paused].step(c.clock.time)
        refused = session.reserve(TASK_SIZE, c.clock.time)
        await session.start(start, work_class="s", payload="", now=c.clock.time)
        c.paused.clear()
        await c.clock.advance_until(lambda: c.owners() == [paused])
        worker = c.workers["w1"]
        self.assertThat(refused.failure().code, Equals(Code.UNREACHABLE))
        self.assertThat((worker.started_ids, worker.epoch), Equals(([], 3)))

    @with_cluster()
    async def test_hosts_that_consider_each_other_dead_back_off(self, c):
        first, other, third = rank_members("w1", HOSTS)
        await _wait_owned(c)
        await c.kill(third)
        # They exchange no gossip, so each considers the other dead.
        c.gossip_blocked |= {(first, other), (other, first)}
        c.cut_from_peers |= {first, other}
        await c.clock.advance(300.0)
        result = c.workers["w1"].epoch
        # Without backoff each would claim once a step, 600 times.
        self.assertThat(result, LessThan(30))

    @with_cluster()
    async def test_draining_host_hands_over_after_its_lookup(self, c):
        await _wait_owned(c)
        leaving = c.owners()[0]
        session = c.session()
        worker = c.workers["w1"]
        worker.execute_gate = asyncio.Event()
        lookup = asyncio.create_task(run_lookup(session, 30.0, c.clock.time))
        await c.clock.advance(0.1)
        c.members[leaving].update_own_entry(status=HostStatus.LEAVING)
        drained = asyncio.create_task(c.hosts[leaving].drain(c.clock))
        await c.clock.advance(5.0)
        during = c.owners()
        worker.execute_gate.set()
        reply = await lookup
        await c.clock.advance_until(drained.done)
        await c.clock.advance_until(lambda: len(c.owners()) == 1)
        self.assertThat(during, Equals([leaving]))
        self.assertThat(reply, Equals(Success("X")))
        self.assertFalse(leaving in c.owners())

    def test_owner_hands_over_only_to_the_first_ranked_host_it_knows(self):
        first, second, owner = rank_members("w1", HOSTS)
        known_hosts = tuple(sorted((first, owner)))
        self.assertThat(
            [may_receive("w1", h, known_hosts) for h in (first, second)],
            Equals([True, False]),
        )

    @with_cluster()
    async def test_claim_is_repeated_after_a_lost_answer(self, c):
        c.workers["w1"].faults["claim"] = "lose"
        await c.clock.advance_until(lambda: c.workers["w1"].epoch >= 1)
        await c.clock.advance(0.25)
        c.workers["w1"].faults.clear()
        await _wait_owned(c)
        self.assertThat(c.workers["w1"].owner, Equals(first_host("w1", HOSTS)))

    @with_cluster(names=("a", "b"), regions={"b": "south"})
    async def test_another_region_waits_before_it_takes_over(self, c):
        await c.clock.advance_until(lambda: c.owners() == ["a"])
        await c.kill("a")
        waited = await c.clock.advance_until(lambda: c.owners() == ["b"])
        self.assertThat(waited, GreaterThan(60.0))


class TestEvents(testtools.TestCase):
    """Guards against ends of tasks that no home learns of."""

    @with_cluster()
    async def test_end_is_acknowledged_only_once_journalled(self, c):
        await _start_first_task(c)
        c.accepts_ends = False
        c.workers["w1"].end_task("t1")
        await c.clock.advance(5.0)
        waiting = dict(c.workers["w1"].end_events)
        free = c.session().free_for_tasks.slots
        c.accepts_ends = True
        await c.clock.advance_until(lambda: not c.workers["w1"].end_events)
        ended = c.reported_ends
        self.assertThat(list(waiting), Equals(["t1"]))
        self.assertThat(free, Equals(6))
        self.assertThat(
            [e[1:] for e in ended], Equals([("t1", TaskState.DONE)])
        )

    @with_cluster()
    async def test_lost_acknowledgement_is_sent_again(self, c):
        await _start_first_task(c)
        c.workers["w1"].faults["ack"] = "drop"
        c.workers["w1"].end_task("t1")
        await c.clock.advance_until(lambda: len(c.reported_ends) == 2)
        c.workers["w1"].faults.clear()
        await c.clock.advance_until(lambda: not c.workers["w1"].end_events)

    @with_cluster()
    async def test_next_owner_reports_ends_that_a_dead_owner_did_not(self, c):
        await _start_first_task(c)
        owner = c.owners()[0]
        await c.kill(owner)
        c.workers["w1"].end_task("t1")
        await c.clock.advance_until(lambda: c.reported_ends)
        reporter, task, _ = c.reported_ends[0]
        self.assertThat((task, reporter == owner), Equals(("t1", False)))

    @with_cluster()
    async def test_unresponsive_event_poll_does_not_stop_renewals(self, c):
        await _wait_owned(c)
        c.workers["w1"].faults["events"] = "drop"
        before = c.workers["w1"].calls.count("renew")
        await c.clock.advance(30.0)
        sent = c.workers["w1"].calls.count("renew") - before
        self.assertThat(sent, Equals(10))

    @with_cluster()
    async def test_tasks_of_a_lost_worker_are_reported_once_leases_expired(
        self, c
    ):
        await _start_first_task(c)
        await c.clock.advance(10.0)
        c.workers["w1"].faults["all"] = "drop"
        last = c.workers["w1"].renewed_at
        await c.clock.advance_until(lambda: c.reported_ends)
        self.assertThat(c.clock.time, GreaterThan(last + 19.9))
        self.assertThat(c.reported_ends[0][2], Equals(TaskState.LAPSED))

    @with_cluster()
    async def test_tasks_of_a_replaced_worker_are_reported(self, c):
        await _start_first_task(c)
        c.workers["w1"].replace_vm()
        await c.clock.advance_until(lambda: c.reported_ends)
        await _wait_owned(c)
        self.assertThat(
            [e[2] for e in c.reported_ends], Equals([TaskState.LAPSED])
        )
        self.assertThat(c.session().free_for_tasks.slots, Equals(6))

    @with_cluster()
    async def test_unanswered_start_is_resolved_without_its_home(self, c):
        await _wait_owned(c)
        c.workers["w1"].faults["start"] = "drop"
        await _start_task(c, "t1")
        c.workers["w1"].faults.clear()
        before = c.session().free_for_tasks.slots
        await c.clock.advance_until(
            lambda: c.session().free_for_tasks.slots == 6
        )
        self.assertThat((before, c.workers["w1"].epoch), Equals((5, 2)))


class TestSessionRegistry(testtools.TestCase):
    """Guards against workers that are dropped too early or never."""

    @with_cluster()
    async def test_tasks_of_a_worker_with_a_new_address_are_reported_lost(
        self, c
    ):
        await _start_first_task(c)
        host = c.hosts[c.owners()[0]]
        c.workers["w1"].replace_vm()
        host.update_workers([worker_vm(address="127.0.0.2")], c.clock.time)
        await c.clock.advance_until(lambda: c.reported_ends)
        self.assertThat(
            c.reported_ends[0][1:], Equals(("t1", TaskState.LAPSED))
        )

    @with_cluster()
    async def test_unlisted_worker_without_answers_is_dropped(self, c):
        await _start_first_task(c)
        host = c.hosts[c.owners()[0]]
        c.workers["w1"].faults["all"] = "drop"
        host.update_workers([], c.clock.time)
        await c.clock.advance_until(lambda: c.reported_ends)
        await c.clock.advance(60.0)
        host.update_workers([], c.clock.time)
        owners = c.owners()
        await c.clock.advance(1.0)
        host.update_workers([], c.clock.time + 3600.0)
        self.assertThat((owners, list(host.sessions)), Equals(([], [])))

    @with_cluster()
    async def test_changed_lookup_reserve_applies_at_once(self, c):
        await _wait_owned(c)
        c.hosts[c.owners()[0]].set_lookup_reserve(5)
        self.assertThat(c.session().free_for_tasks.slots, Equals(3))


class TestUnreachableWorkers(testtools.TestCase):
    """Guards against a new owner that resolves starts too early.

    A former owner that this host cannot reach may still renew leases.
    """

    @with_cluster()
    async def test_lease_time_counts_once_every_host_denies_ownership(self, c):
        start = await _start_first_task(c)
        owner = c.owners()[0]
        await c.kill(owner)
        successor = first_host("w1", tuple(h for h in HOSTS if h != owner))
        c.cut_from_workers.add(successor)
        session = c.hosts[successor].sessions["w1"]
        await c.clock.advance_until(
            lambda: session.liveness.taken_over_at is not None
        )
        since = session.liveness.taken_over_at
        kinds = []
        for end in (since + 19.5, since + 20.0):
            await c.clock.advance(end - c.clock.time)
            resolved = await session.resolve(start, now=c.clock.time)
            kinds.append(resolved.unwrap().kind)
        self.assertThat(kinds, Equals(["undecided", "lease_lapsed"]))

    @with_cluster()
    async def test_lease_time_of_a_dead_successor_counts_for_the_next(self, c):
        """Guards against a wait that begins anew with each owner (review/8)."""
        start = await _start_first_task(c)
        c.cut_from_workers |= set(HOSTS)
        killed_at, left = c.clock.time, list(HOSTS)
        for _ in range(2):
            successor = first_host("w1", tuple(left))
            await c.kill(successor)
            left.remove(successor)
            await c.clock.advance(15.0)
        await c.clock.advance(killed_at + 32.0 - c.clock.time)
        session = c.hosts[left[0]].sessions["w1"]
        resolved = await session.resolve(start, now=c.clock.time)
        self.assertThat(resolved.unwrap().kind, Equals("lease_lapsed"))

    @with_cluster()
    async def test_live_owner_that_reaches_the_worker_keeps_it(self, c):
        first = first_host("w1", HOSTS)
        c.cut_from_workers.add(first)
        others = tuple(h for h in HOSTS if h != first)
        # The first host joins late and cannot reach the worker.
        c.gossip_blocked |= {(o, first) for o in others}
        await _wait_owned(c, owner=first_host("w1", others))
        start = await _start_task(c, "t1")
        c.gossip_blocked.clear()
        await c.clock.advance(60.0)
        session = c.hosts[first].sessions["w1"]
        resolved = await session.resolve(start, now=c.clock.time)
        owners, expected = c.owners(), first_host("w1", others)
        self.assertThat(owners, Equals([expected]))
        self.assertThat(resolved.failure().code, Equals(Code.NOT_OWNER))

    @with_cluster()
    async def test_leases_that_a_cut_off_owner_renews_do_not_count_as_expired(
        self, c
    ):
        start = await _start_first_task(c)
        owner = c.owners()[0]
        others = tuple(h for h in HOSTS if h != owner)
        c.gossip_blocked |= {
            p for h in others for p in ((owner, h), (h, owner))
        }
        c.cut_from_peers.add(owner)
        c.cut_from_workers |= set(others)
        successor = c.hosts[first_host("w1", others)].sessions["w1"]
        running_after_lapse = set()
        for _ in range(40):
            await c.clock.advance(1.0)
            c.workers["w1"].expire_leases()
            resolved = await successor.resolve(start, now=c.clock.time)
            kind = resolved.map(lambda r: r.kind).value_or("not_owner")
            if kind == "lease_lapsed":
                running_after_lapse |= set(c.workers["w1"].tasks)
        self.assertThat(running_after_lapse, Equals(set()))

    @with_cluster()
    async def test_former_owner_does_not_report_tasks_that_another_renewed(
        self, c
    ):
        worker = c.workers["w1"]
        # No poll that waits at the worker tells the former owner of the next.
        worker.faults["events"] = "drop"
        await _start_first_task(c)
        former = c.owners()[0]
        others = tuple(h for h in HOSTS if h != former)
        # The former owner is cut off until another host has taken over, and
        # never reaches the worker again.
        c.gossip_blocked |= {
            pair for h in others for pair in ((former, h), (h, former))
        }
        c.cut_from_peers.add(former)
        c.cut_from_workers.add(former)
        await c.clock.advance_until(lambda: worker.owner in others)
        c.gossip_blocked.clear()
        c.cut_from_peers.clear()
        await c.clock.advance(30.0)
        await c.kill(worker.owner)
        running_after_report = set()
        for _ in range(60):
            await c.clock.advance(0.5)
            worker.expire_leases()
            reported = {task_id for _, task_id, _ in c.reported_ends}
            running_after_report |= reported & set(worker.tasks)
        self.assertThat(running_after_report, Equals(set()))

    @with_cluster()
    async def test_unlisted_worker_is_gone_after_the_longest_lease(self, c):
        host = c.hosts["a"]
        start = StartRecord("t", "gone", 5, TASK_SIZE, 0.0)
        first = await host.resolve(start, now=c.clock.time)
        await c.clock.advance(25.0)
        host.update_workers([worker_vm("w1")], c.clock.time)
        second = await host.resolve(start, now=c.clock.time)
        self.assertThat(first.failure().code, Equals(Code.NOT_OWNER))
        self.assertThat(second.unwrap().kind, Equals("lease_lapsed"))

    @with_cluster(names=("a", "b"), workers=("w1", "gone"))
    async def test_unlisted_worker_is_not_gone_while_a_dead_owners_leases_run(
        self, c
    ):
        host = c.hosts["a"]
        host.update_workers([worker_vm("w1")], c.clock.time + 1e4)
        host.update_workers([worker_vm("w1")], c.clock.time + 2e4)
        c.gossip_blocked.add(("b", "a"))
        await _wait_owned(c, "gone", "b")
        start = await _start_task(c, "t1", "gone")
        first = await host.resolve(start, now=c.clock.time)
        await c.clock.advance(30.0)
        await c.kill("b")
        died_at = c.clock.time
        await c.clock.advance(5.0)
        codes = []
        for end in (died_at + 5.0, died_at + 24.9, died_at + 25.0):
            await c.clock.advance(end - c.clock.time)
            host.update_workers([worker_vm("w1")], c.clock.time)
            resolved = await host.resolve(start, now=c.clock.time)
            codes.append(resolved.map(lambda r: r.kind).value_or("not_owner"))
        self.assertThat(first.failure().code, Equals(Code.NOT_OWNER))
        self.assertThat(
            codes, Equals(["not_owner", "not_owner", "lease_lapsed"])
        )

    @with_cluster()
    async def test_worker_that_was_listed_meanwhile_is_not_gone_at_once(
        self, c
    ):
        host = c.hosts["a"]
        start = StartRecord("t", "gone", 5, TASK_SIZE, 0.0)
        await host.resolve(start, now=c.clock.time)
        await c.clock.advance(25.0)
        elsewhere = worker_vm("gone", region="south")
        host.update_workers([worker_vm("w1"), elsewhere], c.clock.time)
        listed = await host.resolve(start, now=c.clock.time)
        await c.clock.advance(3.0)
        host.update_workers([worker_vm("w1")], c.clock.time)
        unlisted = await host.resolve(start, now=c.clock.time)
        self.assertThat(
            [r.failure().code for r in (listed, unlisted)],
            Equals([Code.NOT_OWNER] * 2),
        )


async def _start_first_task(c):
    await _wait_owned(c)
    return await _start_task(c, "t1")


async def _start_task(c, task_id, worker="w1"):
    session = c.session(worker)
    start = StartRecord(task_id, worker, session.epoch, TASK_SIZE, c.clock.time)
    await session.start(start, work_class="s", payload="", now=c.clock.time)
    return start
