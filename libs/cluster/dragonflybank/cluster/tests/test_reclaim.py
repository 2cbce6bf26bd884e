"""Tests of calls that overtake the answer to an owner's own claim."""

import asyncio

import testtools
from testtools.matchers import Equals

from dragonflybank.cluster.claims import claim, reclaim
from dragonflybank.cluster.sessions import WorkerSession
from dragonflybank.cluster.tests.fakes import FakeClock, FakeWorker, row
from dragonflybank.model.codes import Code
from dragonflybank.model.leases import LEASE_S


class SlowClaim(FakeWorker):
    """Withholds the answers to claims until it is told to send them."""

    def __init__(self, clock):
        super().__init__(clock)
        self.claimed = asyncio.Event()
        self.answer = asyncio.Event()

    async def claim(self, host, *, epoch):
        reply = await super().claim(host, epoch=epoch)
        self.claimed.set()
        await self.answer.wait()
        return reply


class TestReclaim(testtools.TestCase):
    """Guards against an owned worker whose leases nobody renews."""

    def owned_after(self, meanwhile):
        async def run():
            worker = SlowClaim(FakeClock())
            worker.answer.set()
            session = WorkerSession(row(), worker, host="a")
            await claim(session, (await worker.state()).unwrap())
            worker.claimed.clear()
            worker.answer.clear()
            async with session.lock:
                reclaiming = asyncio.create_task(reclaim(session))
                await worker.claimed.wait()
                code = await meanwhile(session, worker)
                was_dropped = session.not_owned.is_set()
                worker.answer.set()
                await reclaiming
            return code, was_dropped, session.is_owned

        return asyncio.run(run())

    def test_call_with_the_former_epoch_does_not_drop_the_worker(self):
        async def renew(session, worker):
            reply = await session.call_fenced(
                lambda number: worker.renew(epoch=number, lease_s=LEASE_S)
            )
            return reply.failure().code

        found = self.owned_after(renew)
        self.assertThat(found, Equals((Code.STALE_EPOCH, False, True)))

    def test_worker_that_is_dropped_meanwhile_is_not_adopted(self):
        async def drop(session, worker):
            session.drop_ownership(None)

        self.assertThat(self.owned_after(drop), Equals((None, True, False)))
