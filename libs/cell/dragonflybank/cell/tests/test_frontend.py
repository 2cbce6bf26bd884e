"""Tests of submissions that arrive while the store is unavailable."""

import asyncio
import random

import attrs
import testtools
from returns.result import Success
from testtools.matchers import Equals, LessThan

from dragonflybank.cell.frontend import CellFrontend
from dragonflybank.cell.jobs import Job, Step
from dragonflybank.cell.keys import job_key
from dragonflybank.cell.phase_cache import JobPhaseCache
from dragonflybank.cell.relay import RelayedStore
from dragonflybank.cell.submission_wait import max_store_wait_s
from dragonflybank.cell.tests.builders import QUEUES
from dragonflybank.model.codes import Code
from dragonflybank.standins.cell.store import MemoryStore
from dragonflybank.standins.cell.virtual_time import (
    VirtualClock,
    run_in_virtual_time,
)

TIMEOUT_S = 3.0


def _job(number: int, queue: str = "sweep") -> Job:
    steps = (Step(1, estimate_s=2.0),)
    return Job(f"{number:016x}", QUEUES[queue], "text", steps, 0.0)


class _Outage:
    """A frontend whose store is unavailable for some time."""

    def __init__(self):
        self.store = MemoryStore(random.Random(1))
        self.is_store_answering = True
        self.client = self.store.client("host")
        self.frontend = CellFrontend(
            RelayedStore(
                self.client,
                None,
                is_store_answering=lambda: self.is_store_answering,
                get_relay_address=lambda: "",
            ),
            JobPhaseCache(),
            clock=VirtualClock(),
            notify_leader=lambda epoch, item: None,
        )

    async def interrupt_store(
        self, seconds: float, *, is_refusing: bool
    ) -> None:
        faults = self.store.faults
        faults.is_refusing, faults.is_down = is_refusing, not is_refusing
        self.is_store_answering = is_refusing
        await asyncio.sleep(seconds)
        faults.is_refusing = faults.is_down = False
        self.is_store_answering = True

    async def submit(self, jobs: int, seconds: float, *, is_refusing: bool):
        """Submits jobs during an outage and returns the outcomes."""
        interrupting = asyncio.create_task(
            self.interrupt_store(seconds, is_refusing=is_refusing)
        )
        await asyncio.sleep(0.1)
        outcomes = await asyncio.gather(
            *(
                self.frontend.submit(_job(n), timeout_s=TIMEOUT_S)
                for n in range(jobs)
            )
        )
        await interrupting
        return outcomes


class TestOutage(testtools.TestCase):
    """Guards against batch jobs that are refused in a short outage."""

    def _submit(self, jobs, seconds, *, is_refusing):
        """Returns the outage, the outcomes and the keys of the stored jobs."""
        outage = _Outage()

        async def main():
            outcomes = await outage.submit(
                jobs, seconds, is_refusing=is_refusing
            )
            return outage, outcomes, outage.store.keys("jobs/")

        return run_in_virtual_time(main())

    def test_jobs_are_accepted_right_after_a_short_outage(self):
        for is_refusing in (False, True):
            _, outcomes, stored = self._submit(8, 1.0, is_refusing=is_refusing)
            accepted = sum(isinstance(o, Success) for o in outcomes)
            self.assertThat((accepted, len(stored)), Equals((8, 8)))

    def test_jobs_are_refused_as_not_run_in_a_long_outage(self):
        for is_refusing in (False, True):
            _, outcomes, stored = self._submit(4, 6.0, is_refusing=is_refusing)
            codes = {outcome.failure().code for outcome in outcomes}
            self.assertThat(codes, Equals({Code.STORE_UNAVAILABLE}))
            self.assertThat(stored, Equals([]))

    def test_a_refusing_store_is_not_flooded(self):
        outage, _, _ = self._submit(200, 2.0, is_refusing=True)
        # Each submission is sent at most once before and once after the outage;
        # in between only probes read the store.
        self.assertThat(outage.store.calls["commit"], LessThan(401))
        self.assertThat(outage.store.calls["get"], LessThan(20))

    def test_a_write_that_may_be_stored_is_never_refused(self):
        outage = _Outage()

        async def main():
            outage.store.faults.late_share = 1.0
            outcome = await outage.frontend.submit(_job(1), timeout_s=TIMEOUT_S)
            await asyncio.sleep(10.0)
            return outcome, outage.store.get(job_key(_job(1).id))

        outcome, stored = run_in_virtual_time(main())
        self.assertThat(outcome.failure().code, Equals(Code.WRITE_UNSETTLED))
        self.assertTrue(stored is not None)

    def test_a_slow_store_does_not_delay_submissions(self):
        outage = _Outage()
        waits_s = []

        async def submit(number: int):
            await asyncio.sleep(0.05 * number)
            began_at = asyncio.get_running_loop().time()
            outcome = await outage.frontend.submit(
                _job(number), timeout_s=TIMEOUT_S
            )
            waits_s.append(asyncio.get_running_loop().time() - began_at)
            return isinstance(outcome, Success)

        async def main():
            # 50 times the usual response time.
            outage.store.faults.round_trip_s = 0.2
            return await asyncio.gather(*(submit(n) for n in range(60)))

        self.assertThat(set(run_in_virtual_time(main())), Equals({True}))
        # After the first answers, each submission is sent at once.
        delayed = [wait_s for wait_s in waits_s[20:] if wait_s > 0.25]
        self.assertThat(delayed, Equals([]))

    def test_a_failing_probe_does_not_block_submissions(self):
        outage = _Outage()

        async def fail(key):
            raise ValueError("the answer cannot be decoded")

        async def main():
            outage.store.faults.is_refusing = True
            outage.client.probe = fail
            await outage.frontend.submit(_job(1), timeout_s=TIMEOUT_S)
            outage.store.faults.is_refusing = False
            return await outage.frontend.submit(_job(2), timeout_s=TIMEOUT_S)

        self.assertTrue(isinstance(run_in_virtual_time(main()), Success))

    def test_an_urgent_job_waits_only_while_its_result_is_useful(self):
        lookup = _job(1, "lookup")
        urgent = attrs.evolve(lookup, steps=(Step(1, estimate_s=0.1),))
        self.assertThat(max_store_wait_s(_job(1), 2.0), Equals(0.9))
        # 3 x (0.4 + 1.5 x 0.1) - 0.1 s.
        self.assertThat(round(max_store_wait_s(urgent, 9.0), 6), Equals(1.55))

    def test_a_silent_store_leaves_few_writes_of_unknown_outcome(self):
        outage = _Outage()
        codes = []

        async def submit(number: int):
            await asyncio.sleep(0.02 * number)
            outcome = await outage.frontend.submit(
                _job(number), timeout_s=TIMEOUT_S
            )
            codes.append(outcome.failure().code)

        async def main():
            # The watch of the configuration has not noticed the outage yet.
            outage.store.faults.is_down = True
            await asyncio.gather(*(submit(n) for n in range(100)))

        run_in_virtual_time(main())
        unknown = codes.count(Code.WRITE_UNSETTLED)
        self.assertThat((len(codes), unknown < 10), Equals((100, True)))
