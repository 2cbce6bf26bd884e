"""Tests of placement, starts and lookups on one worker."""

import asyncio

import attrs
import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals, HasLength

from dragonflybank.cluster.claims import claim
from dragonflybank.cluster.renewals import renew_leases
from dragonflybank.cluster.sessions import WorkerSession
from dragonflybank.cluster.tests.fakes import run_lookup, with_worker, worker_vm
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
from dragonflybank.platform.worker import Fence, WorkerTask

TASK_SIZE = Resources(4, 1024, 0, 1, 1)


async def _claimed_session(worker, host="a"):
    session = WorkerSession(worker_vm(), worker, host=host)
    await claim(session, (await worker.state()).unwrap())
    _mark_stepped(session, worker.clock.time)
    return session


def _mark_stepped(session, now):
    session.liveness.last_step_at = now


def _record(session):
    return StartRecord("t1", "w1", session.epoch, TASK_SIZE, 0.0)


async def _start(session, record, now=1000.0):
    return await session.start(record, work_class="sweep", payload="", now=now)


async def _started(worker, **faults):
    session = await _claimed_session(worker)
    worker.faults.update(faults)
    record = _record(session)
    return session, record, await _start(session, record)


def _kind(resolution):
    return resolution.unwrap().kind


class TestCapacity(testtools.TestCase):
    """Guards against more work on a worker than its size allows."""

    @with_worker
    async def test_tasks_do_not_use_the_slots_reserved_for_lookups(
        self, worker
    ):
        session = await _claimed_session(worker)
        held = [session.reserve(TASK_SIZE, 1000.0) for _ in range(7)]
        codes = [r.failure().code for r in held if isinstance(r, Failure)]
        lookup = await run_lookup(session)
        self.assertThat(codes, Equals([Code.FULL]))
        self.assertThat(lookup, Equals(Success("X")))

    @with_worker
    async def test_lookups_and_tasks_share_the_slots(self, worker):
        session = await _claimed_session(worker)
        worker.execute_gate = asyncio.Event()
        lookups = [asyncio.create_task(run_lookup(session)) for _ in range(9)]
        await asyncio.wait(lookups, return_when=asyncio.FIRST_COMPLETED)
        refused = session.reserve(TASK_SIZE, 1000.0).failure().code
        worker.execute_gate.set()
        done = await asyncio.gather(*lookups)
        free = session.free_for_lookups.slots
        done = [r for r in done if isinstance(r, Success)]
        self.assertThat(refused, Equals(Code.FULL))
        self.assertThat(done, HasLength(8))
        self.assertThat(free, Equals(8))

    @with_worker
    async def test_tasks_that_no_home_asked_for_count_as_used(self, worker):
        worker.leases["old"] = worker.clock.time
        worker.tasks["old"] = WorkerTask(
            "old", "sweep", TaskState.RUNNING, attrs.evolve(TASK_SIZE, cores=30)
        )
        session = await _claimed_session(worker)
        unaccounted_ids, held = (
            session.unaccounted_ids,
            session.reserve(TASK_SIZE, 1000.0),
        )
        self.assertThat(unaccounted_ids, Equals({"old"}))
        self.assertThat(held.failure().code, Equals(Code.FULL))

    @with_worker
    async def test_expired_reservation_is_freed(self, worker):
        session = await _claimed_session(worker)
        big = attrs.evolve(TASK_SIZE, cores=20)
        first = session.reserve(big, 1000.0, hold_s=5.0)
        second = session.reserve(big, 1004.9)
        third = session.reserve(big, 1005.0)
        self.assertThat(second.failure().code, Equals(Code.FULL))
        self.assertThat(third.unwrap().epoch, Equals(first.unwrap().epoch))

    @with_worker
    async def test_timed_out_lookup_keeps_its_slot_for_some_time(self, worker):
        session = await _claimed_session(worker)
        worker.faults["execute"] = "lose"
        await run_lookup(session)
        early = session.free_for_lookups.slots
        session.capacity.expire(1003.0)
        self.assertThat((early, session.free_for_lookups.slots), Equals((7, 8)))

    @with_worker
    async def test_worker_that_the_list_or_itself_reports_leaving_is_unused(
        self, worker
    ):
        listed = await _claimed_session(worker)
        reporting = await _claimed_session(worker, "b")
        listed.info = worker_vm(state=VmState.LEAVING)
        worker.leaving = True
        await renew_leases(reporting, 1000.0)
        replies = [s.reserve(TASK_SIZE, 1000.0) for s in (listed, reporting)]
        replies.append(await run_lookup(reporting))
        self.assertThat(
            {r.failure().code for r in replies}, Equals({Code.DRAINING})
        )

    @with_worker
    async def test_task_that_ends_before_its_start_is_answered_is_not_counted(
        self, worker
    ):
        session = await _claimed_session(worker)
        record = _record(session)
        started = asyncio.create_task(_start(session, record))
        session.on_task_ended(TaskEvent("t1", "w1", TaskState.DONE))
        await started
        self.assertThat(session.free_for_tasks.slots, Equals(6))


class TestStarts(testtools.TestCase):
    """Guards against work that runs twice or is wrongly reported as not run."""

    @with_worker
    async def test_lost_start_keeps_its_resources_until_resolved(self, worker):
        session, record, lost = await _started(worker, start="drop")
        counted = session.free_for_tasks.slots
        resolved = await session.resolve(record, now=1000.0)
        del worker.faults["start"]
        late = await worker.start(
            "t1",
            fence=Fence("vm-1", 1),
            work_class="sweep",
            grant=TASK_SIZE,
            lease_until_s=1015.0,
            payload="",
        )
        free = session.free_for_tasks.slots
        self.assertThat(lost.failure().code, Equals(Code.TIMED_OUT))
        self.assertThat(counted, Equals(5))
        self.assertThat(_kind(resolved), Equals(ResolutionKind.NOT_STARTED))
        self.assertThat(free, Equals(6))
        self.assertThat(late.failure().code, Equals(Code.STALE_EPOCH))

    @with_worker
    async def test_start_with_a_lost_answer_is_adopted_if_it_runs(self, worker):
        session, record, _ = await _started(worker, start="lose")
        resolved = await session.resolve(record, now=1000.0)
        again = await session.resolve(record, now=1000.0)
        kinds = [_kind(resolved), _kind(again)]
        self.assertThat(kinds, Equals([ResolutionKind.ADOPTED] * 2))
        self.assertThat(
            (session.free_for_tasks.slots, worker.started_ids),
            Equals((5, ["t1"])),
        )

    @with_worker
    async def test_repeated_start_runs_once(self, worker):
        session = await _claimed_session(worker)
        record = _record(session)
        replies = await asyncio.gather(
            *(_start(session, record) for _ in range(3))
        )
        again = [r.unwrap() for r in replies[1:]]
        self.assertThat(again, Equals([StartReply.KNOWN] * 2))
        self.assertThat(
            (worker.started_ids, session.free_for_tasks.slots),
            Equals((["t1"], 5)),
        )

    @with_worker
    async def test_refusal_after_a_lost_start_leaves_the_outcome_open(
        self, worker
    ):
        session, record, _ = await _started(worker, start="lose")
        worker.faults["start"] = "refuse"
        again = await _start(session, record)
        session.info = worker_vm(state=VmState.LEAVING)
        leaving = await _start(session, record)
        self.assertThat(
            (again.failure().code, leaving.failure().code),
            Equals((Code.TIMED_OUT, Code.TIMED_OUT)),
        )

    @with_worker
    async def test_former_owner_is_refused_and_drops_the_worker(self, worker):
        paused = await _claimed_session(worker)
        record = _record(paused)
        held = paused.reserve(TASK_SIZE, 1000.0)
        await _claimed_session(worker, "b")
        reply = await _start(paused, record)
        self.assertTrue(isinstance(held, Success))
        self.assertThat(reply.failure().code, Equals(Code.STALE_EPOCH))
        self.assertThat(
            (paused.is_owned, worker.started_ids), Equals((False, []))
        )

    @with_worker
    async def test_lost_answer_to_a_claim_does_not_end_the_ownership(
        self, worker
    ):
        session, record, _ = await _started(worker, start="lose")
        worker.faults["claim"] = "lose"
        first = await session.resolve(record, now=1000.0)
        worker.faults.clear()
        second = await session.resolve(record, now=1000.0)
        self.assertThat(_kind(first), Equals(ResolutionKind.UNDECIDED))
        self.assertThat(_kind(second), Equals(ResolutionKind.ADOPTED))
        self.assertTrue(session.is_owned)

    @with_worker
    async def test_task_of_a_replaced_vm_counts_as_lapsed(self, worker):
        session, record, _ = await _started(worker)
        worker.replace_vm()
        successor = await _claimed_session(worker, "b")
        # The new VM counts epochs from the start; the numbers alone would
        # resolve the task as not started.
        await claim(successor, (await worker.state()).unwrap())
        _mark_stepped(successor, 1000.0)
        result = await successor.resolve(record, now=1000.0)
        self.assertThat(_kind(result), Equals(ResolutionKind.LEASE_LAPSED))

    @with_worker
    async def test_ended_task_is_resolved_with_its_event(self, worker):
        session, record, _ = await _started(worker)
        worker.end_task("t1")
        successor = await _claimed_session(worker, "b")
        before = await successor.resolve(record, now=1000.0)
        successor.on_task_ended(worker.end_events["t1"])
        after = await successor.resolve(record, now=1000.0)
        self.assertThat(_kind(before), Equals(ResolutionKind.ADOPTED))
        self.assertThat(_kind(after), Equals(ResolutionKind.FINISHED))
        self.assertThat(after.unwrap().event.result, Equals("ok"))


class TestLeases(testtools.TestCase):
    """Guards against leases considered expired while tasks may still run."""

    @with_worker
    async def test_lease_expires_after_the_last_renewal_that_was_sent(
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
            _mark_stepped(session, now)
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

    @with_worker
    async def test_paused_host_does_not_take_leases_for_expired(self, worker):
        session, record, _ = await _started(worker, all="drop")
        result = await session.resolve(record, now=1100.0)
        self.assertThat(_kind(result), Equals(ResolutionKind.UNDECIDED))

    @with_worker
    async def test_running_task_that_was_reported_lapsed_is_stopped(
        self, worker
    ):
        session, _, _ = await _started(worker)
        worker.faults["all"] = "drop"
        for now in (1003.0, 1030.0):
            _mark_stepped(session, now)
            await renew_leases(session, now)
        worker.faults.clear()
        _mark_stepped(session, 1031.0)
        await renew_leases(session, 1031.0)
        self.assertThat(
            (worker.tasks, worker.end_events["t1"].state),
            Equals(({}, TaskState.STOPPED)),
        )

    @with_worker
    async def test_one_lost_answer_does_not_stop_placement(self, worker):
        session = await _claimed_session(worker)
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
