"""Replays of submissions that arrive while the store is away."""

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
from dragonflybank.standins.cell.virtual import VirtualClock, play

LIMIT_S = 3.0


def _job(number: int, queue: str = "sweep") -> Job:
    steps = (Step(1, estimate_s=2.0),)
    return Job(f"{number:016x}", QUEUES[queue], "text", steps, 0.0)


class _Outage:
    """A front whose store is away for some time."""

    def __init__(self):
        self.store = MemoryStore(random.Random(1))
        self.is_answering = True
        self.client = self.store.client("host")
        self.frontend = CellFrontend(
            RelayedStore(
                self.client,
                None,
                is_answering=lambda: self.is_answering,
                relay_address=lambda: "",
            ),
            JobPhaseCache(),
            clock=VirtualClock(),
            notify=lambda epoch, item: None,
        )

    async def strike(self, seconds: float, *, is_refusing: bool) -> None:
        faults = self.store.faults
        faults.is_refusing, faults.is_down = is_refusing, not is_refusing
        self.is_answering = is_refusing
        await asyncio.sleep(seconds)
        faults.is_refusing = faults.is_down = False
        self.is_answering = True

    async def submit(self, jobs: int, seconds: float, *, is_refusing: bool):
        """Submits jobs during an outage; returns outcomes and store calls."""
        striking = asyncio.create_task(
            self.strike(seconds, is_refusing=is_refusing)
        )
        await asyncio.sleep(0.1)
        outcomes = await asyncio.gather(
            *(
                self.frontend.submit(_job(n), timeout_s=LIMIT_S)
                for n in range(jobs)
            )
        )
        await striking
        return outcomes


class TestOutage(testtools.TestCase):
    """Guards against patient work that is lost to a short outage."""

    def _submit(self, jobs, seconds, *, is_refusing):
        """Returns the outage, the outcomes and the stored jobs."""
        outage = _Outage()

        async def main():
            outcomes = await outage.submit(
                jobs, seconds, is_refusing=is_refusing
            )
            return outage, outcomes, outage.store.keys("jobs/")

        return play(main())

    def test_work_is_accepted_right_after_a_short_outage(self):
        for is_refusing in (False, True):
            _, outcomes, stored = self._submit(8, 1.0, is_refusing=is_refusing)
            accepted = sum(isinstance(o, Success) for o in outcomes)
            self.assertThat((accepted, len(stored)), Equals((8, 8)))

    def test_work_is_refused_as_not_run_after_a_long_one(self):
        for is_refusing in (False, True):
            _, outcomes, stored = self._submit(4, 6.0, is_refusing=is_refusing)
            codes = {outcome.failure().code for outcome in outcomes}
            self.assertThat(codes, Equals({Code.STORE_UNAVAILABLE}))
            self.assertThat(stored, Equals([]))

    def test_a_refusing_store_is_not_flooded(self):
        outage, _, _ = self._submit(200, 2.0, is_refusing=True)
        # Each submission once before and once after, and reads between.
        self.assertThat(outage.store.calls["commit"], LessThan(401))
        self.assertThat(outage.store.calls["get"], LessThan(20))

    def test_a_write_that_may_be_stored_is_never_refused(self):
        outage = _Outage()

        async def main():
            outage.store.faults.late_share = 1.0
            outcome = await outage.frontend.submit(_job(1), timeout_s=LIMIT_S)
            await asyncio.sleep(10.0)
            return outcome, outage.store.get(job_key(_job(1).id))

        outcome, stored = play(main())
        self.assertThat(outcome.failure().code, Equals(Code.WRITE_UNSETTLED))
        self.assertTrue(stored is not None)

    def test_a_slow_store_is_not_taken_for_a_silent_one(self):
        outage = _Outage()
        waited = []

        async def submit(number: int):
            await asyncio.sleep(0.05 * number)
            began_at = asyncio.get_running_loop().time()
            outcome = await outage.frontend.submit(
                _job(number), timeout_s=LIMIT_S
            )
            waited.append(asyncio.get_running_loop().time() - began_at)
            return isinstance(outcome, Success)

        async def main():
            # 50 times as long as usual.
            outage.store.faults.answer_s = 0.2
            return await asyncio.gather(*(submit(n) for n in range(60)))

        self.assertThat(set(play(main())), Equals({True}))
        # After the first answers each one is sent at once.
        late = [wait_s for wait_s in waited[20:] if wait_s > 0.25]
        self.assertThat(late, Equals([]))

    def test_a_read_that_breaks_does_not_keep_submissions_away(self):
        outage = _Outage()

        async def broken(key):
            raise ValueError("an answer that cannot be read")

        async def main():
            outage.store.faults.is_refusing = True
            outage.client.probe = broken
            await outage.frontend.submit(_job(1), timeout_s=LIMIT_S)
            outage.store.faults.is_refusing = False
            return await outage.frontend.submit(_job(2), timeout_s=LIMIT_S)

        self.assertTrue(isinstance(play(main()), Success))

    def test_urgent_work_waits_no_longer_than_it_is_worth(self):
        lookup = _job(1, "lookup")
        urgent = attrs.evolve(lookup, steps=(Step(1, estimate_s=0.1),))
        self.assertThat(max_store_wait_s(_job(1), 2.0), Equals(0.9))
        # 3 x (0.4 + 1.5 x 0.1) - 0.1 s.
        self.assertThat(round(max_store_wait_s(urgent, 9.0), 6), Equals(1.55))

    def test_silence_leaves_few_writes_whose_outcome_is_not_known(self):
        outage = _Outage()
        codes = []

        async def submit(number: int):
            await asyncio.sleep(0.02 * number)
            outcome = await outage.frontend.submit(
                _job(number), timeout_s=LIMIT_S
            )
            codes.append(outcome.failure().code)

        async def main():
            # The host does not know yet that the store is silent.
            outage.store.faults.is_down = True
            await asyncio.gather(*(submit(n) for n in range(100)))

        play(main())
        unknown = codes.count(Code.WRITE_UNSETTLED)
        self.assertThat((len(codes), unknown < 10), Equals((100, True)))
