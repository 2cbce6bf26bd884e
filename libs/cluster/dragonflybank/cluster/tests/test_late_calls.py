"""Tests of calls that a worker carries out long after they were sent."""

import asyncio

import testtools
from testtools.matchers import Equals, LessThan

from dragonflybank.cluster.claims import claim, reclaim
from dragonflybank.cluster.events import poll_events
from dragonflybank.cluster.ranking import first_host
from dragonflybank.cluster.renewals import MAX_CLOCK_READ_S, renew_leases
from dragonflybank.cluster.sessions import WorkerSession
from dragonflybank.cluster.tests.fake_cluster import with_cluster
from dragonflybank.cluster.tests.fakes import run_lookup, with_worker, worker_vm
from dragonflybank.model.leases import ResolutionKind
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import StartRecord

TASK_SIZE = Resources(4, 1024, 0, 1, 1)


async def _owner(worker, host="a"):
    session = WorkerSession(worker_vm(), worker, host=host)
    seen = (await worker.state()).unwrap()
    await claim(session, seen)
    session.on_clock_read(seen.clock_s, worker.clock.time)
    session.liveness.last_step_at = worker.clock.time
    return session


async def _start(session, now, task_id="t1"):
    start = StartRecord(task_id, "w1", session.epoch, TASK_SIZE, now)
    await session.start(start, work_class="sweep", payload="", now=now)
    return start


async def _journal_end(event, session):
    return True


class TestCallsForAReplacedVm(testtools.TestCase):
    """Guards against calls for a replaced VM that take effect on the next one.

    The next VM counts its epochs from 0 again, so that the number alone does
    not tell a call of the former VM's owner from one of its own.
    """

    @with_worker
    async def test_late_start_does_not_run_a_task_that_was_resolved_as_lost(
        self, worker
    ):
        session = await _owner(worker)
        worker.faults["start"] = "hold"
        start = await _start(session, 1000.0)
        worker.faults.clear()
        worker.replace_vm()
        successor = await _owner(worker, "b")
        resolved = await successor.resolve(start, now=1001.0)
        worker.carry_out_held_calls()
        self.assertThat(
            (resolved.unwrap().kind, worker.started_ids),
            Equals((ResolutionKind.LEASE_LAPSED, [])),
        )

    @with_worker
    async def test_start_of_an_owner_that_missed_the_restart_does_not_run(
        self, worker
    ):
        former = await _owner(worker)
        worker.replace_vm()
        await _owner(worker, "b")
        await _start(former, 1001.0)
        self.assertThat(
            (worker.started_ids, former.is_owned), Equals(([], False))
        )

    @with_worker
    async def test_lookup_of_an_owner_that_missed_the_restart_does_not_run(
        self, worker
    ):
        former = await _owner(worker)
        worker.replace_vm()
        await _owner(worker, "b")
        reply = await run_lookup(former)
        self.assertThat(
            (reply.map(str).value_or("refused"), former.is_owned),
            Equals(("refused", False)),
        )

    @with_worker
    async def test_former_owner_does_not_resolve_starts_of_the_next_vm(
        self, worker
    ):
        # Its own last lease tells nothing about those of the next owner.
        former = await _owner(worker)
        former.client = worker.for_host("a", {"a"})
        worker.replace_vm()
        worker.clock.time = 1090.0
        successor = await _owner(worker, "b")
        start = await _start(successor, 1090.0)
        former.liveness.last_step_at = 1092.0
        resolved = [await former.resolve(start, now=1092.0) for _ in range(3)]
        self.assertThat(
            [r.map(lambda r: r.kind).value_or("not_owner") for r in resolved],
            Equals([ResolutionKind.UNDECIDED, "not_owner", "not_owner"]),
        )

    @with_worker
    async def test_former_owner_does_not_take_the_next_vm_by_a_reclaim(
        self, worker
    ):
        former = await _owner(worker)
        worker.replace_vm()
        await _owner(worker, "b")
        async with former.lock:
            await reclaim(former)
        self.assertThat((worker.owner, former.is_owned), Equals(("b", False)))

    @with_worker
    async def test_late_claim_does_not_end_the_ownership_of_the_next_vm(
        self, worker
    ):
        worker.faults["claim"] = "hold"
        await _owner(worker)
        await _owner(worker)
        worker.faults.clear()
        worker.replace_vm()
        successor = await _owner(worker, "b")
        worker.replace_vm()
        worker.carry_out_held_calls()
        self.assertThat((worker.owner, successor.host), Equals(("", "b")))

    @with_worker
    async def test_late_renewal_does_not_extend_leases_of_the_next_vm(
        self, worker
    ):
        former = await _owner(worker)
        worker.faults["renew"] = "hold"
        await renew_leases(former, 1000.0)
        worker.faults.clear()
        worker.replace_vm()
        successor = await _owner(worker, "b")
        await _start(successor, 1000.0)
        worker.carry_out_held_calls()
        self.assertThat(worker.leases["t1"], Equals(15.0))


class TestLateCallsForTheSameVm(testtools.TestCase):
    """Guards against tasks that run on after their leases count as expired.

    A VM that was paused, or that only some hosts reach, carries out calls long
    after their senders have given up.
    """

    async def resolve_unreachable(self, session, start, now):
        """Resolves a start after the owner has probed an unreachable worker."""
        session.client.faults["all"] = "drop"
        session.client.clock.time = now
        session.liveness.is_renewal_unconfirmed = True
        session.liveness.last_step_at = now
        await renew_leases(session, now)
        resolved = await session.resolve(start, now=now)
        session.client.expire_leases()
        return resolved.unwrap().kind, list(session.client.tasks)

    @with_worker
    async def test_late_start_does_not_run_beyond_the_lease(self, worker):
        session = await _owner(worker)
        worker.faults["start"] = "hold"
        start = await _start(session, 1000.0)
        early = await self.resolve_unreachable(session, start, 1014.0)
        worker.carry_out_held_calls()
        late = await self.resolve_unreachable(session, start, 1020.0)
        self.assertThat(
            (early, late),
            Equals(
                (
                    (ResolutionKind.UNDECIDED, []),
                    (ResolutionKind.LEASE_LAPSED, []),
                )
            ),
        )

    @with_worker
    async def test_late_renewal_does_not_extend_a_lease_that_counts_as_expired(
        self, worker
    ):
        session = await _owner(worker)
        start = await _start(session, 1000.0)
        worker.faults["renew"] = "hold"
        await renew_leases(session, 1003.0)
        early = await self.resolve_unreachable(session, start, 1014.0)
        worker.carry_out_held_calls()
        late = await self.resolve_unreachable(session, start, 1023.0)
        self.assertThat(
            (early, late),
            Equals(
                (
                    (ResolutionKind.ADOPTED, ["t1"]),
                    (ResolutionKind.LEASE_LAPSED, []),
                )
            ),
        )

    @with_worker
    async def test_late_renewal_does_not_shorten_a_newer_lease(self, worker):
        session = await _owner(worker)
        await _start(session, 1000.0)
        worker.faults["renew"] = "hold"
        await renew_leases(session, 1003.0)
        worker.faults.clear()
        worker.clock.time = 1008.0
        await renew_leases(session, 1008.0)
        worker.carry_out_held_calls()
        worker.clock.time = 1020.0
        worker.expire_leases()
        self.assertThat(list(worker.tasks), Equals(["t1"]))

    @with_worker
    async def test_start_that_waited_for_other_calls_gets_no_longer_lease(
        self, worker
    ):
        session = await _owner(worker)
        async with session.lock:
            waiting = asyncio.create_task(_start(session, 1000.0))
            await asyncio.sleep(0)
            worker.clock.time = 1014.0
        start = await waiting
        late = await self.resolve_unreachable(session, start, 1020.0)
        self.assertThat(late, Equals((ResolutionKind.LEASE_LAPSED, [])))

    @with_worker
    async def test_lease_is_not_extended_by_a_step_of_the_hosts_clock(
        self, worker
    ):
        session = await _owner(worker)
        await _start(session, 1000.0)
        # The clock of the host is set forward; the worker's goes on.
        worker.clock.time, worker.booted_at = 1060.0, 60.0
        session.liveness.require_confirmation()
        await renew_leases(session, 1060.0)
        self.assertThat(worker.leases["t1"], LessThan(1015.1))

    @with_cluster()
    async def test_dead_owners_late_renewal_does_not_outlive_the_takeover(
        self, c
    ):
        await c.clock.advance_until(c.owners)
        owner = c.owners()[0]
        session, worker = c.session(), c.workers["w1"]
        start = await _start(session, c.clock.time)
        await c.clock.advance(6.0)
        worker.faults["renew"] = "hold"
        await c.clock.advance_until(lambda: worker.held_calls)
        await c.kill(owner)
        c.cut_from_workers |= set(c.hosts)
        successor = c.hosts[first_host("w1", tuple(set(c.hosts) - {owner}))]
        successor = successor.sessions["w1"]
        await c.clock.advance_until(
            lambda: successor.liveness.taken_over_at is not None
        )
        await c.clock.advance(8.0)
        worker.carry_out_held_calls()
        await c.clock.advance(12.0)
        resolved = await successor.resolve(start, now=c.clock.time)
        worker.expire_leases()
        self.assertThat(
            (resolved.unwrap().kind, list(worker.tasks)),
            Equals((ResolutionKind.LEASE_LAPSED, [])),
        )


class TestLateClaims(testtools.TestCase):
    """Guards against a worker that is left to a host which doesn't know it."""

    @with_cluster()
    async def test_late_claim_in_the_same_life_loses_no_task(self, c):
        await c.clock.advance_until(c.owners)
        owner, worker = c.owners()[0], c.workers["w1"]
        await _start(c.session(), c.clock.time)
        other = next(host for host in c.hosts if host != owner)
        seen = (await worker.state()).unwrap()
        await worker.claim(other, fence=seen.fence)
        await c.clock.advance_until(
            lambda: c.owners() == [owner] and worker.owner == owner
        )
        await c.clock.advance(20.0)
        self.assertThat(
            (c.owners(), list(worker.tasks), c.reported_ends),
            Equals(([owner], ["t1"], [])),
        )


class TestLateLookups(testtools.TestCase):
    """Guards against lookups that run on slots which count as free."""

    @with_worker
    async def test_lookup_does_not_begin_after_its_slot_was_freed(self, worker):
        session = await _owner(worker)
        worker.faults["execute"] = "hold"
        await run_lookup(session, timeout_s=1.0)
        session.capacity.expire(1003.0)
        free = session.free_for_lookups.slots
        worker.clock.time = 1003.0
        worker.carry_out_held_calls()
        self.assertThat((free, worker.executed_ids), Equals((8, [])))

    @with_worker
    async def test_lookup_is_not_refused_for_an_inexact_clock(self, worker):
        session = await _owner(worker)
        clock_s = (await worker.state()).unwrap().clock_s
        session.on_clock_read(clock_s, 1000.0 + MAX_CLOCK_READ_S)
        worker.clock.time = 1000.2
        await run_lookup(session, timeout_s=0.3)
        self.assertThat(worker.executed_ids, Equals(["r"]))


class TestRepeatedStarts(testtools.TestCase):
    """Guards against a start that a worker carries out twice.

    A peer connection that breaks during a call repeats the request of a home.
    """

    @with_worker
    async def test_late_copy_of_a_repeated_start_does_not_run_again(
        self, worker
    ):
        session = await _owner(worker)
        worker.faults["start"] = "hold"
        await _start(session, 1000.0)
        worker.faults.clear()
        repeated = await _start(session, 1000.0)
        for task_id in tuple(worker.tasks):
            worker.end_task(task_id)
            await poll_events(session, _journal_end, worker.clock.now)
        worker.carry_out_held_calls()
        resolved = await session.resolve(repeated, now=1000.0)
        self.assertThat(
            (worker.started_ids, resolved.unwrap().kind),
            Equals((["t1"], ResolutionKind.ADOPTED)),
        )

    @with_worker
    async def test_start_that_arrived_during_a_pause_of_the_owner_is_not_sent(
        self, worker
    ):
        # A host that can't reach the worker has resolved it as lost meanwhile.
        session = await _owner(worker)
        await _start(session, 1030.0)
        self.assertThat(worker.started_ids, Equals([]))

    @with_worker
    async def test_copy_of_a_start_that_was_resolved_as_lost_is_not_sent(
        self, worker
    ):
        session = await _owner(worker)
        await _start(session, 1000.0)
        worker.faults["all"] = "drop"
        worker.clock.time = session.liveness.last_step_at = 1020.0
        session.liveness.is_renewal_unconfirmed = True
        await renew_leases(session, 1020.0)
        worker.faults.clear()
        worker.expire_leases()
        worker.end_events.clear()
        await renew_leases(session, 1020.0)
        await _start(session, 1020.0)
        self.assertThat(
            (list(session.lost_events), worker.started_ids),
            Equals((["t1"], ["t1"])),
        )
