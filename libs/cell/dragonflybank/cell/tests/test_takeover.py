"""Tests of what a new leader loads."""

from unittest import mock

import testtools
from testtools.matchers import Contains, Equals, Not

from dragonflybank.cell.election import Leadership
from dragonflybank.cell.jobs import (
    Job,
    JobPhase,
    Progress,
    Step,
    TaskId,
    encode_record,
)
from dragonflybank.cell.keys import cancel_key, job_key, progress_key
from dragonflybank.cell.leader import Leader
from dragonflybank.cell.limits import CellLimits
from dragonflybank.cell.metrics import CellMetrics
from dragonflybank.cell.ports import AttemptEnd, EndKind, RunningAttempt
from dragonflybank.cell.takeover import take_over
from dragonflybank.cell.tests.builders import (
    QUEUES,
    make_config,
    make_executor,
)
from dragonflybank.standins.cell.memory_platform import MemoryPlatform
from dragonflybank.standins.cell.simulated_cell import SimulatedCell
from dragonflybank.standins.cell.virtual_time import (
    VirtualClock,
    run_in_virtual_time,
)

JOB_ID = "5c0e7a21d94b36f8"

RECURRING_ID = "7d00000000000001"


def make_leader(cell, clock, phases) -> Leader:
    """Returns a leader of a cell that has been elected just now."""
    return Leader(
        MemoryPlatform(cell, "host-0"),
        Leadership(1, 1, clock.now(), clock.now()),
        limits=CellLimits(),
        clock=clock,
        unix_time=clock.now,
        advice_dispatcher=None,
        record_live=phases.__setitem__,
        record_end=lambda end: None,
        metrics=CellMetrics(),
    )


class TestTakeOver(testtools.TestCase):
    """Guards against attempts of earlier leaders that are not counted."""

    def test_attempts_of_a_cancelled_job_count_until_they_end(self):
        step = Step(1, millicores=6000)
        job = Job(JOB_ID, QUEUES["lookup"], "text", (step,), 1.0, team="a")
        progress = Progress(placed={"0.0.0": (1, "silent")})
        phases = {}

        async def run():
            cell = SimulatedCell(1)
            cell.store.put(job_key(JOB_ID), encode_record(job))
            cell.store.put(progress_key(JOB_ID), encode_record(progress))
            cell.store.put(cancel_key(JOB_ID), b"1")
            clock = VirtualClock()
            leader = make_leader(cell, clock, phases)
            leader.adopt_config(make_config(caps={"a": 20}))
            await take_over(leader)
            used = leader.workload.team_usage.used("a").millicores
            self.assertThat(used, Equals(6000))
            self.assertThat(
                leader.workload.jobs[JOB_ID].phase, Equals(JobPhase.CANCELLED)
            )
            # The executor answers after all, and still runs the attempt.
            executor = leader.fleet.executors["silent"]
            link = mock.Mock(close=mock.AsyncMock())
            leader.fleet._links["silent"] = link
            row = RunningAttempt(TaskId(JOB_ID, 0, 0, 0), 1)
            now = clock.now()
            leader.attempts.process_running(executor, (row,), now, now)
            self.assertThat(link.stop.call_count, Equals(1))
            leader.fleet.release_expired(clock.now() + 60.0)
            self.assertThat(leader.workload.jobs, Not(Contains(JOB_ID)))
            await leader.close()

        run_in_virtual_time(run())

    def test_an_end_of_an_occurrence_that_is_not_due_is_recorded(self):
        """Guards against an acknowledged end that no record holds.

        The former leader's clock was ahead, so that it had started the task.
        """
        progress = Progress(placed={"0.0.0": (1, "executor-0")})

        async def run():
            cell = SimulatedCell(1)
            clock = VirtualClock()
            job = Job(
                RECURRING_ID,
                QUEUES["lookup"],
                "text",
                (Step(1),),
                clock.now(),
                start_at=clock.now() + 3.0,
                interval_s=9.0,
                repeat=2,
            )
            cell.store.put(job_key(job.id), encode_record(job))
            cell.store.put(progress_key(job.id), encode_record(progress))
            leader = make_leader(cell, clock, {})
            await take_over(leader)
            info = cell.executors["executor-0"].info
            executor = make_executor(info.id)
            task = TaskId(job.id, 0, 0, 0)
            end = AttemptEnd(1, task, 1, EndKind.DONE)
            leader.attempts.process_end(executor, end, clock.now())
            state = leader.workload.jobs[job.id]
            self.assertThat(state.progress.done, Equals({"0.0": [0]}))
            self.assertThat(leader.committer.changes_marked, Equals(1))
            await leader.close()

        run_in_virtual_time(run())
