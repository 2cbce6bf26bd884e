"""Tests of events between an owner's claim and the answer to it."""

import asyncio

import testtools
from testtools.matchers import Equals

from dragonflybank.cluster.claims import claim, reclaim
from dragonflybank.cluster.sessions import WorkerSession
from dragonflybank.cluster.tests.fakes import FakeClock, FakeWorker, worker_vm
from dragonflybank.model.codes import Code


class _SlowClaimWorker(FakeWorker):
    """Withholds answers to claims until the event ``answer`` is set."""

    def __init__(self, clock):
        super().__init__(clock)
        self.claimed = asyncio.Event()
        self.answer = asyncio.Event()

    async def claim(self, host, *, fence):
        reply = await super().claim(host, fence=fence)
        self.claimed.set()
        await self.answer.wait()
        return reply


class TestReclaim(testtools.TestCase):
    """Guards against an owned worker whose leases no host renews.

    An owner raises the epoch by another claim. Before the answer arrives, the
    worker refuses the former epoch, or the ownership is dropped.
    """

    def owned_after_reclaim(self, meanwhile):
        async def run():
            worker = _SlowClaimWorker(FakeClock())
            worker.answer.set()
            session = WorkerSession(worker_vm(), worker, host="a")
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
                lambda fence: worker.renew(
                    fence=fence, lease_until_s=session.lease_until(1000.0)
                )
            )
            return reply.failure().code

        found = self.owned_after_reclaim(renew)
        self.assertThat(found, Equals((Code.STALE_EPOCH, False, True)))

    def test_worker_dropped_during_the_claim_is_not_owned_after_it(self):
        async def drop(session, worker):
            session.drop_ownership(None)

        self.assertThat(
            self.owned_after_reclaim(drop), Equals((None, True, False))
        )
