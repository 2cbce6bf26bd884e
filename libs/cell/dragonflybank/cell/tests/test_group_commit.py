"""Tests of the group commit of progress records."""

import asyncio
import random

import testtools
from testtools.matchers import Equals, LessThan

from dragonflybank.cell.election import LEADER_KEY, Leadership
from dragonflybank.cell.group_commit import ROWS_PER_TXN, Committer
from dragonflybank.cell.jobs import Job, JobPhase, Queue, Step
from dragonflybank.cell.keys import ended_key, job_key, progress_key
from dragonflybank.cell.state import JobState
from dragonflybank.standins.cell.store import MemoryStore
from dragonflybank.standins.cell.virtual_time import (
    VirtualClock,
    run_in_virtual_time,
)

QUEUE = Queue("lookup", "front", "/lookup/", "directory", 0, 0.4, 1.5, 4)


def job_state(number: int) -> JobState:
    job = Job(f"{number:016x}", QUEUE, "text", (Step(1),), 0.0)
    return JobState(job)


class Harness:
    """A committer of a leader, with a store in memory."""

    def __init__(self):
        self.store = MemoryStore(random.Random(1))
        self.store.put(LEADER_KEY, b"me")
        epoch = self.store.scan(LEADER_KEY).items[0].revision
        self.leadership = Leadership(epoch, 1, 0.0, 0.0)
        self.ended: list[str] = []
        self.committer = Committer(
            self.store.client("host"),
            self.leadership,
            clock=VirtualClock(),
            on_ended=lambda job, end: self.ended.append(end.job_id),
        )


class TestCommitter(testtools.TestCase):
    """Guards against changes that are lost, partly stored or not reported."""

    def test_a_steady_stream_of_changes_does_not_delay_a_waiter(self):
        async def main() -> float:
            harness = Harness()
            harness.store.faults.round_trip_s = 0.03
            running = asyncio.create_task(harness.committer.run())

            async def mark_continuously() -> None:
                for number in range(2000):
                    harness.committer.mark_changed(
                        job_state(number), urgent=True
                    )
                    await asyncio.sleep(0.005)

            marking = asyncio.create_task(mark_continuously())
            await asyncio.sleep(0.1)
            began_at = asyncio.get_running_loop().time()
            await harness.committer.wait_until_stored()
            waited_s = asyncio.get_running_loop().time() - began_at
            running.cancel()
            marking.cancel()
            return waited_s

        # Two writes of 30 ms each and two batch delays.
        self.assertThat(run_in_virtual_time(main()), LessThan(0.1))

    def test_a_waiter_is_released_only_when_its_change_is_stored(self):
        async def main() -> bytes | None:
            harness = Harness()
            running = asyncio.create_task(harness.committer.run())
            state = job_state(1)
            harness.committer.mark_changed(state)
            await harness.committer.wait_until_stored()
            running.cancel()
            return harness.store.get(progress_key(state.job.id))

        self.assertThat(run_in_virtual_time(main()) is None, Equals(False))

    def test_an_ended_job_has_one_key(self):
        async def main() -> list[str]:
            harness = Harness()
            state = job_state(1)
            harness.store.put(job_key(state.job.id), b"{}")
            running = asyncio.create_task(harness.committer.run())
            harness.committer.mark_changed(state)
            await harness.committer.wait_until_stored()
            state.phase = JobPhase.COMPLETED
            harness.committer.mark_changed(state)
            await harness.committer.wait_until_stored()
            running.cancel()
            self.assertThat(harness.ended, Equals([state.job.id]))
            return [
                key
                for key in harness.store.keys("")
                if key.endswith(state.job.id)
            ]

        self.assertThat(
            run_in_virtual_time(main()), Equals([ended_key(f"{1:016x}")])
        )

    def test_many_endings_stay_within_the_rows_of_a_transaction(self):
        async def main() -> int:
            harness = Harness()
            running = asyncio.create_task(harness.committer.run())
            for number in range(3 * ROWS_PER_TXN):
                state = job_state(number)
                state.phase = JobPhase.COMPLETED
                harness.committer.mark_changed(state)
            await harness.committer.wait_until_stored()
            running.cancel()
            return len(harness.store.keys("ended/"))

        self.assertThat(run_in_virtual_time(main()), Equals(3 * ROWS_PER_TXN))

    def test_a_former_leader_writes_nothing(self):
        async def main() -> tuple[bool, list[str]]:
            harness = Harness()
            harness.store.put(LEADER_KEY, b"another")
            running = asyncio.create_task(harness.committer.run())
            harness.committer.mark_changed(job_state(1))
            await harness.leadership.lost.wait()
            running.cancel()
            return harness.leadership.lost.is_set(), harness.store.keys(
                "progress/"
            )

        self.assertThat(run_in_virtual_time(main()), Equals((True, [])))

    def test_a_late_write_does_not_restore_an_old_record(self):
        async def main() -> bytes | None:
            harness = Harness()
            running = asyncio.create_task(harness.committer.run())
            state = job_state(1)
            harness.store.faults.late_share = 1.0
            harness.committer.mark_changed(state)
            await asyncio.sleep(0.5)
            harness.store.faults.late_share = 0.0
            state.progress.done["0.0"] = [0]
            harness.committer.mark_changed(state)
            await harness.committer.wait_until_stored()
            await asyncio.sleep(10.0)
            running.cancel()
            return harness.store.get(progress_key(state.job.id))

        self.assertThat(
            b'"0.0":[0]' in run_in_virtual_time(main()), Equals(True)
        )
