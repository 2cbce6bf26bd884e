"""Tests of placement, starts and lookups on one worker."""

import asyncio

import attrs
import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals, HasLength

from dragonflybank.cluster.claims import claim
from dragonflybank.cluster.renewals import renew_leases
from dragonflybank.cluster.sessions import WorkerSession
from dragonflybank.cluster.tests.fakes import look, on_worker, row
from dragonflybank.model.codes import Code
from dragonflybank.model.leases import (
    ResolutionKind,
    StartReply,
    TaskEvent,
    TaskState,
)
from dragonflybank.model.resources import Resources
from dragonflybank.model.topology import VmState
from dragonflybank.model.work import StartRecord
from dragonflybank.platform.worker import WorkerTask

ONE = Resources(4, 1024, 0, 1, 1)


async def _owned(worker, host="a"):
    session = WorkerSession(row(), worker, host=host)
    await claim(session, (await worker.state()).unwrap())
    _mark(session, worker.clock.at)
    return session


def _mark(session, now):
    session.liveness.last_step_at = now


def _record(session):
    return StartRecord("t1", "w1", session.epoch, ONE, 0.0)


async def _start(session, record, now=1000.0):
    return await session.start(record, work_class="sweep", payload="", now=now)


async def _started(worker, **faults):
    session = await _owned(worker)
    worker.faults.update(faults)
    record = _record(session)
    return session, record, await _start(session, record)


def _kind(resolution):
    return resolution.unwrap().kind


class TestCapacity(testtools.TestCase):
    """Guards against more work on a VM than it can hold (I1)."""

    @on_worker
    async def test_lookup_reserve_is_kept_free_of_patient_work(self, worker):
        session = await _owned(worker)
        held = [session.reserve(ONE, 1000.0) for _ in range(7)]
        codes = [r.failure().code for r in held if isinstance(r, Failure)]
        looked = await look(session)
        self.assertThat(codes, Equals([Code.FULL]))
        self.assertThat(looked, Equals(Success("X")))

    @on_worker
    async def test_lookups_and_tasks_share_the_slots(self, worker):
        session = await _owned(worker)
        worker.gate = asyncio.Event()
        lookups = [asyncio.create_task(look(session)) for _ in range(9)]
        await asyncio.wait(lookups, return_when=asyncio.FIRST_COMPLETED)
        refused = session.reserve(ONE, 1000.0).failure().code
        worker.gate.set()
        done = await asyncio.gather(*lookups)
        free = session.free_for_lookups.slots
        done = [r for r in done if isinstance(r, Success)]
        self.assertThat(refused, Equals(Code.FULL))
        self.assertThat(done, HasLength(8))
        self.assertThat(free, Equals(8))

    @on_worker
    async def test_unexplained_tasks_count_as_used(self, worker):
        worker.leases["old"] = worker.clock.at
        worker.tasks["old"] = WorkerTask(
            "old", "sweep", TaskState.RUNNING, attrs.evolve(ONE, cores=30)
        )
        session = await _owned(worker)
        unaccounted_ids, held = (
            session.unaccounted_ids,
            session.reserve(ONE, 1000.0),
        )
        self.assertThat(unaccounted_ids, Equals({"old"}))
        self.assertThat(held.failure().code, Equals(Code.FULL))

    @on_worker
    async def test_a_hold_limit_frees_the_room(self, worker):
        session = await _owned(worker)
        big = attrs.evolve(ONE, cores=20)
        first = session.reserve(big, 1000.0, hold_s=5.0)
        second = session.reserve(big, 1004.9)
        third = session.reserve(big, 1005.0)
        self.assertThat(second.failure().code, Equals(Code.FULL))
        self.assertThat(third.unwrap().epoch, Equals(first.unwrap().epoch))

    @on_worker
    async def test_a_timed_out_lookup_keeps_its_slot_for_a_while(self, worker):
        session = await _owned(worker)
        worker.faults["execute"] = "lose"
        await look(session)
        early = session.free_for_lookups.slots
        session.capacity.expire(1003.0)
        self.assertThat((early, session.free_for_lookups.slots), Equals((7, 8)))

    @on_worker
    async def test_a_leaving_worker_takes_nothing_from_either_source(
        self, worker
    ):
        listed = await _owned(worker)
        told = await _owned(worker, "b")
        listed.info = row(state=VmState.LEAVING)
        worker.leaving = True
        await renew_leases(told, 1000.0)
        replies = [s.reserve(ONE, 1000.0) for s in (listed, told)]
        replies.append(await look(told))
        self.assertThat(
            {r.failure().code for r in replies}, Equals({Code.DRAINING})
        )

    @on_worker
    async def test_a_short_task_is_not_counted_after_its_end(self, worker):
        session = await _owned(worker)
        record = _record(session)
        started = asyncio.create_task(_start(session, record))
        session.on_task_ended(TaskEvent("t1", "w1", TaskState.DONE))
        await started
        self.assertThat(session.free_for_tasks.slots, Equals(6))


class TestStarts(testtools.TestCase):
    """Guards against work that runs twice or is taken for not run."""

    @on_worker
    async def test_a_lost_start_keeps_its_room_until_resolved(self, worker):
        session, record, lost = await _started(worker, start="drop")
        counted = session.free_for_tasks.slots
        resolved = await session.resolve(record, now=1000.0)
        del worker.faults["start"]
        late = await worker.start(
            "t1",
            epoch=1,
            work_class="sweep",
            grant=ONE,
            lease_s=15,
            payload="",
        )
        free = session.free_for_tasks.slots
        self.assertThat(lost.failure().code, Equals(Code.TIMED_OUT))
        self.assertThat(counted, Equals(5))
        self.assertThat(_kind(resolved), Equals(ResolutionKind.NOT_STARTED))
        self.assertThat(free, Equals(6))
        self.assertThat(late.failure().code, Equals(Code.STALE_EPOCH))

    @on_worker
    async def test_a_start_with_effect_but_lost_answer_is_adopted(self, worker):
        session, record, _ = await _started(worker, start="lose")
        resolved = await session.resolve(record, now=1000.0)
        again = await session.resolve(record, now=1000.0)
        kinds = [_kind(resolved), _kind(again)]
        self.assertThat(kinds, Equals([ResolutionKind.ADOPTED] * 2))
        self.assertThat(
            (session.free_for_tasks.slots, worker.ran), Equals((5, ["t1"]))
        )

    @on_worker
    async def test_a_repeated_start_runs_once(self, worker):
        session = await _owned(worker)
        record = _record(session)
        replies = await asyncio.gather(
            *(_start(session, record) for _ in range(3))
        )
        again = [r.unwrap() for r in replies[1:]]
        self.assertThat(again, Equals([StartReply.KNOWN] * 2))
        self.assertThat(
            (worker.ran, session.free_for_tasks.slots), Equals((["t1"], 5))
        )

    @on_worker
    async def test_a_refusal_after_a_lost_start_does_not_prove_anything(
        self, worker
    ):
        session, record, _ = await _started(worker, start="lose")
        worker.faults["start"] = "refuse"
        again = await _start(session, record)
        session.info = row(state=VmState.LEAVING)
        leaving = await _start(session, record)
        self.assertThat(
            (again.failure().code, leaving.failure().code),
            Equals((Code.TIMED_OUT, Code.TIMED_OUT)),
        )

    @on_worker
    async def test_a_paused_owner_is_refused_and_drops_the_worker(self, worker):
        paused = await _owned(worker)
        record = _record(paused)
        held = paused.reserve(ONE, 1000.0)
        await _owned(worker, "b")
        reply = await _start(paused, record)
        self.assertTrue(isinstance(held, Success))
        self.assertThat(reply.failure().code, Equals(Code.STALE_EPOCH))
        self.assertThat((paused.is_owned, worker.ran), Equals((False, [])))

    @on_worker
    async def test_a_lost_claim_answer_does_not_lose_the_worker(self, worker):
        session, record, _ = await _started(worker, start="lose")
        worker.faults["claim"] = "lose"
        first = await session.resolve(record, now=1000.0)
        worker.faults.clear()
        second = await session.resolve(record, now=1000.0)
        self.assertThat(_kind(first), Equals(ResolutionKind.UNDECIDED))
        self.assertThat(_kind(second), Equals(ResolutionKind.ADOPTED))
        self.assertTrue(session.is_owned)

    @on_worker
    async def test_a_task_of_a_replaced_vm_may_have_run(self, worker):
        session, record, _ = await _started(worker)
        worker.replace()
        successor = await _owned(worker, "b")
        # Epochs start again; the numbers alone would say "not started".
        await claim(successor, (await worker.state()).unwrap())
        _mark(successor, 1000.0)
        result = await successor.resolve(record, now=1000.0)
        self.assertThat(_kind(result), Equals(ResolutionKind.LEASE_LAPSED))

    @on_worker
    async def test_an_ended_task_is_resolved_with_its_event(self, worker):
        session, record, _ = await _started(worker)
        worker.finish("t1")
        successor = await _owned(worker, "b")
        before = await successor.resolve(record, now=1000.0)
        successor.on_task_ended(worker.ends["t1"])
        after = await successor.resolve(record, now=1000.0)
        self.assertThat(_kind(before), Equals(ResolutionKind.ADOPTED))
        self.assertThat(_kind(after), Equals(ResolutionKind.FINISHED))
        self.assertThat(after.unwrap().event.result, Equals("ok"))


class TestLeases(testtools.TestCase):
    """Guards against a lease that is taken for ended while it may run."""

    @on_worker
    async def test_the_worst_case_counts_from_the_last_renewal_sent(
        self, worker
    ):
        session, record, _ = await _started(worker)
        await renew_leases(session, 1003.0)
        worker.faults["all"] = "lose"
        await renew_leases(session, 1006.0)
        sent = worker.calls.count("renew")
        worker.faults["all"] = "drop"
        kinds = []
        for now in (1009.0, 1025.9, 1026.0):
            _mark(session, now)
            await renew_leases(session, now)
            resolved = await session.resolve(record, now=now)
            kinds.append(_kind(resolved))
        after = worker.calls.count("renew")
        adopted = ResolutionKind.ADOPTED
        lapsed = ResolutionKind.LEASE_LAPSED
        self.assertThat(kinds, Equals([adopted, adopted, lapsed]))
        self.assertThat((sent, after), Equals((2, 2)))
        self.assertThat(
            session.lost_events["t1"].state, Equals(TaskState.LAPSED)
        )

    @on_worker
    async def test_a_paused_host_does_not_take_a_lease_for_ended(self, worker):
        session, record, _ = await _started(worker, all="drop")
        result = await session.resolve(record, now=1100.0)
        self.assertThat(_kind(result), Equals(ResolutionKind.UNDECIDED))

    @on_worker
    async def test_a_task_taken_for_lapsed_that_runs_after_all_is_stopped(
        self, worker
    ):
        session, _, _ = await _started(worker)
        worker.faults["all"] = "drop"
        for now in (1003.0, 1030.0):
            _mark(session, now)
            await renew_leases(session, now)
        worker.faults.clear()
        _mark(session, 1031.0)
        await renew_leases(session, 1031.0)
        self.assertThat(
            (worker.tasks, worker.ends["t1"].state),
            Equals(({}, TaskState.STOPPED)),
        )

    @on_worker
    async def test_one_lost_answer_does_not_stop_placement(self, worker):
        session = await _owned(worker)
        worker.faults["renew"] = "lose"
        await renew_leases(session, 1003.0)
        once = session.is_reachable
        worker.faults["state"] = "drop"
        await renew_leases(session, 1004.0)
        twice = session.is_reachable
        worker.faults.clear()
        await renew_leases(session, 1005.0)
        self.assertThat(
            (once, twice, session.is_reachable), Equals((True, False, True))
        )
