"""Tests of placement, starts and lookups on one worker."""

import asyncio

import attrs
import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals, HasLength

from dragonflybank.cluster.claims import claim
from dragonflybank.cluster.renewals import renew
from dragonflybank.cluster.sessions import WorkerSession
from dragonflybank.cluster.tests.fakes import FakeClock, FakeWorker, row
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
from dragonflybank.platform.worker import RunningTask

ONE = Resources(4, 1024, 0, 1, 1)


async def _owned(worker, host="a"):
    session = WorkerSession(row(), worker, host=host)
    await claim(session, (await worker.state()).unwrap())
    _mark(session, worker.clock.at)
    return session


def _mark(session, now):
    session.contact.attended_at = now


def _record(session, task_id="t1", grant=ONE, *, epoch=None):
    return StartRecord(
        task_id, "w1", session.epoch if epoch is None else epoch, grant, 0.0
    )


async def _start(session, record, now=1000.0):
    return await session.start(record, work_class="sweep", payload="", now=now)


def _kind(resolution):
    return resolution.unwrap().kind


class _Case(testtools.TestCase):
    def run_async(self, check):
        async def main():
            return await check(FakeWorker(FakeClock()))

        return asyncio.run(main())


class TestCapacity(_Case):
    """Guards against more work on a VM than it can hold (I1)."""

    def test_lookup_reserve_is_kept_free_of_patient_work(self):
        async def check(worker):
            session = await _owned(worker)
            held = [session.reserve(ONE, 1000.0) for _ in range(7)]
            codes = [r.failure().code for r in held if isinstance(r, Failure)]
            looked = await session.execute(
                "r", work_class="l", payload="x", timeout_s=1, now=1000.0
            )
            return codes, looked

        codes, looked = self.run_async(check)
        self.assertThat(codes, Equals([Code.FULL]))
        self.assertThat(looked, Equals(Success("X")))

    def test_lookups_and_tasks_share_the_slots(self):
        async def check(worker):
            session = await _owned(worker)
            worker.gate = asyncio.Event()
            lookups = [
                asyncio.create_task(
                    session.execute(
                        f"r{i}",
                        work_class="l",
                        payload="x",
                        timeout_s=9,
                        now=1000.0,
                    )
                )
                for i in range(9)
            ]
            await asyncio.wait(lookups, return_when=asyncio.FIRST_COMPLETED)
            refused = session.reserve(ONE, 1000.0).failure().code
            worker.gate.set()
            done = await asyncio.gather(*lookups)
            free = session.free_for_lookups.slots
            return refused, [r for r in done if isinstance(r, Success)], free

        refused, done, free = self.run_async(check)
        self.assertThat(refused, Equals(Code.FULL))
        self.assertThat(done, HasLength(8))
        self.assertThat(free, Equals(8))

    def test_unexplained_tasks_count_as_used(self):
        async def check(worker):
            worker.tasks["old"] = RunningTask(
                "old", "sweep", TaskState.RUNNING, attrs.evolve(ONE, cores=30)
            )
            session = await _owned(worker)
            return session.unexplained, session.reserve(ONE, 1000.0)

        unexplained, held = self.run_async(check)
        self.assertThat(unexplained, Equals({"old"}))
        self.assertThat(held.failure().code, Equals(Code.FULL))

    def test_a_hold_limit_frees_the_room(self):
        async def check(worker):
            session = await _owned(worker)
            big = attrs.evolve(ONE, cores=20)
            first = session.reserve(big, 1000.0, hold_s=5.0)
            second = session.reserve(big, 1004.9)
            third = session.reserve(big, 1005.0)
            return first, second, third

        first, second, third = self.run_async(check)
        self.assertThat(second.failure().code, Equals(Code.FULL))
        self.assertThat(third.unwrap().epoch, Equals(first.unwrap().epoch))

    def test_a_timed_out_lookup_keeps_its_slot_for_a_while(self):
        async def check(worker):
            session = await _owned(worker)
            worker.faults["execute"] = "lose"
            await session.execute(
                "r", work_class="l", payload="x", timeout_s=1.0, now=1000.0
            )
            early = session.free_for_lookups.slots
            session.ledger.expire(1003.0)
            return early, session.free_for_lookups.slots

        self.assertThat(self.run_async(check), Equals((7, 8)))

    def test_a_leaving_worker_takes_nothing_from_either_source(self):
        async def check(worker):
            listed, told = await _owned(worker), await _owned(worker, "b")
            listed.info = row(state=VmState.LEAVING)
            worker.leaving = True
            await renew(told, 1000.0)
            replies = [s.reserve(ONE, 1000.0) for s in (listed, told)]
            replies.append(
                await told.execute(
                    "r", work_class="l", payload="", timeout_s=1, now=1000.0
                )
            )
            return {r.failure().code for r in replies}

        self.assertThat(self.run_async(check), Equals({Code.DRAINING}))

    def test_a_short_task_is_not_counted_after_its_end(self):
        async def check(worker):
            session = await _owned(worker)
            record = _record(session)
            started = asyncio.create_task(_start(session, record))
            session.end(TaskEvent("t1", "w1", TaskState.DONE))
            await started
            return session.free.slots

        self.assertThat(self.run_async(check), Equals(6))


class TestStarts(_Case):
    """Guards against work that runs twice or is taken for not run."""

    def test_a_lost_start_keeps_its_room_until_resolved(self):
        async def check(worker):
            session = await _owned(worker)
            worker.faults["start"] = "drop"
            record = _record(session)
            lost = await _start(session, record)
            counted = session.free.slots
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
            return lost, counted, resolved, session.free.slots, late

        lost, counted, resolved, free, late = self.run_async(check)
        self.assertThat(lost.failure().code, Equals(Code.TIMED_OUT))
        self.assertThat(counted, Equals(5))
        self.assertThat(_kind(resolved), Equals(ResolutionKind.NOT_STARTED))
        self.assertThat(free, Equals(6))
        self.assertThat(late.failure().code, Equals(Code.STALE_EPOCH))

    def test_a_start_with_effect_but_lost_answer_is_adopted(self):
        async def check(worker):
            session = await _owned(worker)
            worker.faults["start"] = "lose"
            record = _record(session)
            await _start(session, record)
            resolved = await session.resolve(record, now=1000.0)
            again = await session.resolve(record, now=1000.0)
            return resolved, again, session.free.slots, worker.ran

        resolved, again, free, ran = self.run_async(check)
        self.assertThat(_kind(resolved), Equals(ResolutionKind.ADOPTED))
        self.assertThat(_kind(again), Equals(ResolutionKind.ADOPTED))
        self.assertThat((free, ran), Equals((5, ["t1"])))

    def test_a_repeated_start_runs_once(self):
        async def check(worker):
            session = await _owned(worker)
            record = _record(session)
            replies = await asyncio.gather(
                *(_start(session, record) for _ in range(3))
            )
            return [r.unwrap() for r in replies], worker.ran, session.free.slots

        replies, ran, free = self.run_async(check)
        self.assertThat(replies[1:], Equals([StartReply.KNOWN] * 2))
        self.assertThat((ran, free), Equals((["t1"], 5)))

    def test_a_refusal_after_a_lost_start_does_not_prove_anything(self):
        async def check(worker):
            session = await _owned(worker)
            worker.faults["start"] = "lose"
            record = _record(session)
            await _start(session, record)
            worker.faults["start"] = "refuse"
            again = await _start(session, record)
            session.info = row(state=VmState.LEAVING)
            leaving = await _start(session, record)
            return again.failure().code, leaving.failure().code

        self.assertThat(
            self.run_async(check), Equals((Code.TIMED_OUT, Code.TIMED_OUT))
        )

    def test_a_paused_owner_is_refused_and_drops_the_worker(self):
        async def check(worker):
            paused = await _owned(worker)
            record = _record(paused)
            held = paused.reserve(ONE, 1000.0)
            await _owned(worker, "b")
            reply = await _start(paused, record)
            return held, reply.failure().code, paused.owned, worker.ran

        held, code, owned, ran = self.run_async(check)
        self.assertTrue(isinstance(held, Success))
        self.assertThat(code, Equals(Code.STALE_EPOCH))
        self.assertThat((owned, ran), Equals((False, [])))

    def test_a_lost_claim_answer_does_not_lose_the_worker(self):
        async def check(worker):
            session = await _owned(worker)
            worker.faults["start"] = "lose"
            record = _record(session)
            await _start(session, record)
            worker.faults["claim"] = "lose"
            first = await session.resolve(record, now=1000.0)
            worker.faults.clear()
            second = await session.resolve(record, now=1000.0)
            return _kind(first), second, session.owned

        first, second, owned = self.run_async(check)
        self.assertThat(first, Equals(ResolutionKind.UNDECIDED))
        self.assertThat(_kind(second), Equals(ResolutionKind.ADOPTED))
        self.assertTrue(owned)

    def test_a_task_of_a_replaced_vm_may_have_run(self):
        async def check(worker):
            session = await _owned(worker)
            record = _record(session)
            await _start(session, record)
            worker.replace()
            successor = await _owned(worker, "b")
            # Epochs start again; the numbers alone would say "not started".
            await claim(successor, (await worker.state()).unwrap())
            _mark(successor, 1000.0)
            return await successor.resolve(record, now=1000.0)

        self.assertThat(
            _kind(self.run_async(check)), Equals(ResolutionKind.LEASE_LAPSED)
        )

    def test_an_ended_task_is_resolved_with_its_event(self):
        async def check(worker):
            session = await _owned(worker)
            record = _record(session)
            await _start(session, record)
            worker.finish("t1")
            successor = await _owned(worker, "b")
            before = await successor.resolve(record, now=1000.0)
            successor.end(worker.ends["t1"])
            after = await successor.resolve(record, now=1000.0)
            return _kind(before), after.unwrap()

        before, after = self.run_async(check)
        self.assertThat(before, Equals(ResolutionKind.ADOPTED))
        self.assertThat(after.kind, Equals(ResolutionKind.FINISHED))
        self.assertThat(after.event.result, Equals("ok"))


class TestLeases(_Case):
    """Guards against a lease that is taken for ended while it may run."""

    def test_the_worst_case_counts_from_the_last_renewal_sent(self):
        async def check(worker):
            session = await _owned(worker)
            record = _record(session)
            await _start(session, record, 1000.0)
            await renew(session, 1003.0)
            worker.faults["all"] = "lose"
            await renew(session, 1006.0)
            sent = worker.calls.count("renew")
            worker.faults["all"] = "drop"
            kinds = []
            for now in (1009.0, 1025.9, 1026.0):
                _mark(session, now)
                await renew(session, now)
                resolved = await session.resolve(record, now=now)
                kinds.append(_kind(resolved))
            return kinds, sent, worker.calls.count("renew"), session.lost

        kinds, sent, after, lost = self.run_async(check)
        adopted, lapsed = ResolutionKind.ADOPTED, ResolutionKind.LEASE_LAPSED
        self.assertThat(kinds, Equals([adopted, adopted, lapsed]))
        self.assertThat((sent, after), Equals((2, 2)))
        self.assertThat(lost["t1"].state, Equals(TaskState.LAPSED))

    def test_a_paused_host_does_not_take_a_lease_for_ended(self):
        async def check(worker):
            session = await _owned(worker)
            record = _record(session)
            worker.faults["all"] = "drop"
            await _start(session, record, 1000.0)
            return await session.resolve(record, now=1100.0)

        self.assertThat(
            _kind(self.run_async(check)), Equals(ResolutionKind.UNDECIDED)
        )

    def test_a_task_taken_for_lapsed_that_runs_after_all_is_stopped(self):
        async def check(worker):
            session = await _owned(worker)
            await _start(session, _record(session), 1000.0)
            worker.faults["all"] = "drop"
            for now in (1003.0, 1030.0):
                _mark(session, now)
                await renew(session, now)
            worker.faults.clear()
            _mark(session, 1031.0)
            await renew(session, 1031.0)
            return worker.tasks, worker.ends["t1"].state

        self.assertThat(self.run_async(check), Equals(({}, TaskState.STOPPED)))

    def test_one_lost_answer_does_not_stop_placement(self):
        async def check(worker):
            session = await _owned(worker)
            worker.faults["renew"] = "lose"
            await renew(session, 1003.0)
            once = session.reachable
            worker.faults["state"] = "drop"
            await renew(session, 1004.0)
            twice = session.reachable
            worker.faults.clear()
            await renew(session, 1005.0)
            return once, twice, session.reachable

        self.assertThat(self.run_async(check), Equals((True, False, True)))
