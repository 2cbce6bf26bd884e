"""Tests of calls that a worker carries out long after they were sent."""

import testtools
from testtools.matchers import Equals

from dragonflybank.cluster.claims import claim, reclaim
from dragonflybank.cluster.renewals import renew_leases
from dragonflybank.cluster.sessions import WorkerSession
from dragonflybank.cluster.tests.fakes import run_lookup, with_worker, worker_vm
from dragonflybank.model.leases import ResolutionKind
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import StartRecord

TASK_SIZE = Resources(4, 1024, 0, 1, 1)


async def _owner(worker, host="a"):
    session = WorkerSession(worker_vm(), worker, host=host)
    await claim(session, (await worker.state()).unwrap())
    session.liveness.last_step_at = worker.clock.time
    return session


async def _start(session, now, task_id="t1"):
    start = StartRecord(task_id, "w1", session.epoch, TASK_SIZE, now)
    await session.start(start, work_class="sweep", payload="", now=now)
    return start


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
        await _start(successor, 1001.0)
        worker.clock.time = 1010.0
        worker.carry_out_held_calls()
        self.assertThat(worker.leases["t1"], Equals(1000.0))
