"""Tests that a host reports no live phase of a job that has ended."""

import asyncio

from dragonflybank.cell.jobs import JobPhase, Step
from dragonflybank.cell.phase_cache import JobPhaseCache
from dragonflybank.cell.stored_ends import StoredEnd
from dragonflybank.standins.cell.simulated_cell import (
    CALL_TIMEOUT_S,
    SimulatedCell,
)
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time

JOB_ID = "5c0e7a21d94b36f8"
OTHER_ID = "7d00000000000001"
NOW = 1.0
SETTLED_S = 5.0


def sync(leader: JobPhaseCache, follower: JobPhaseCache) -> None:
    """Lets a follower ask for changes and apply the answer."""
    reply = asyncio.run(
        leader.wait_for_changes(
            follower.epoch,
            follower.change_number,
            wait_s=0.0,
            packs=True,
            takes_ends=True,
        )
    )
    follower.apply_changes(reply, NOW)


def leader_and_follower() -> tuple[JobPhaseCache, JobPhaseCache]:
    """Returns two caches that know that a job runs."""
    leader, follower = JobPhaseCache(), JobPhaseCache()
    leader.start_epoch(7)
    leader.record_live(JOB_ID, JobPhase.RUNNING)
    sync(leader, follower)
    return leader, follower


def test_an_own_submission_hides_no_change_of_the_leader():
    """Guards against a completed job that is called running for good.

    The host had counted its submission as a change of the leader's, and didn't
    ask for as many changes.
    """
    leader, follower = leader_and_follower()
    follower.record_accepted(OTHER_ID, 7)
    leader.record_end(StoredEnd(JOB_ID, JobPhase.COMPLETED, 812))
    sync(leader, follower)
    assert follower.job_phase(JOB_ID, NOW) is JobPhase.COMPLETED
    assert follower.job_phase(OTHER_ID, NOW) is JobPhase.QUEUED


def test_a_read_end_hides_no_change_of_the_leader():
    """Guards against the same by ends that a host has read from the store."""
    leader, follower = leader_and_follower()
    follower.learn_end(StoredEnd(OTHER_ID, JobPhase.COMPLETED, 811))
    leader.record_end(StoredEnd(JOB_ID, JobPhase.COMPLETED, 812))
    sync(leader, follower)
    assert follower.job_phase(JOB_ID, NOW) is JobPhase.COMPLETED


def test_an_acceptance_under_a_former_leader_is_no_live_phase():
    """Guards against a job that a former leader has ended meanwhile."""
    _, follower = leader_and_follower()
    follower.start_epoch(8)
    follower.record_accepted(OTHER_ID, 7)
    assert follower.job_phase(OTHER_ID, NOW) is None


def test_an_acceptance_that_is_answered_late_changes_nothing():
    """Guards against a job that goes back to queued."""
    _, follower = leader_and_follower()
    follower.learn_end(StoredEnd(OTHER_ID, JobPhase.COMPLETED, 811))
    for job_id, phase in (
        (JOB_ID, JobPhase.RUNNING),
        (OTHER_ID, JobPhase.COMPLETED),
    ):
        follower.record_accepted(job_id, 7)
        assert follower.job_phase(job_id, NOW) is phase


def test_a_repeated_submission_does_not_call_an_ended_job_queued():
    """Guards against a restarted host that calls a completed job queued."""

    async def main():
        cell = SimulatedCell(1)
        await cell.start()
        await asyncio.sleep(SETTLED_S)
        job = cell.make_job("lookup", Step(1, millicores=1000), run_s=0.4)
        assert await cell.submit(job)
        phase = await cell.wait_until_final(job, timeout_s=SETTLED_S)
        assert phase is JobPhase.COMPLETED
        leader = await cell.wait_for_leader()
        name = next(name for name in cell.hosts if name != leader)
        cell.kill_host(name)
        await cell.start_host(name)
        await asyncio.sleep(SETTLED_S)
        frontend = cell.hosts[name].frontend
        again = await frontend.submit(job, timeout_s=CALL_TIMEOUT_S)
        assert again.value_or(False) is None
        assert frontend.known_phase(job.id) is None
        answered = await frontend.job_phase(job.id)
        assert answered.unwrap() is JobPhase.COMPLETED

    run_in_virtual_time(main())
