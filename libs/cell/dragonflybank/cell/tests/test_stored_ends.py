"""Tests that callers learn of an end from stored records only (review/11)."""

import ast
import asyncio
import pathlib

import pytest

from dragonflybank.cell import stored_ends
from dragonflybank.cell.election import LEADER_KEY
from dragonflybank.cell.jobs import (
    JobPhase,
    Progress,
    Step,
    decode_progress,
    encode_record,
)
from dragonflybank.cell.keys import ended_key, job_key
from dragonflybank.cell.phase_cache import JobPhaseCache
from dragonflybank.cell.ports import Item, Txn, TxnReply
from dragonflybank.cell.stored_ends import (
    StoredEnd,
    committed_ends,
    pack_ends,
    read_end,
    unpack_ends,
)
from dragonflybank.cell.takeover import add_stored_jobs
from dragonflybank.standins.cell.simulated_cell import SimulatedCell
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time

JOB_ID = "5c0e7a21d94b36f8"
SETTLED_S = 5.0
# The outage begins while the lookup runs, and lasts until it has ended.
RUN_S = 0.4
STARTED_S = 0.3
ENDED_S = 0.5
FINAL_PHASES = [phase for phase in JobPhase if phase.is_final]


def stored_item(phase: JobPhase, revision: int = 812) -> Item:
    """Returns the item of a stored end."""
    return Item(ended_key(JOB_ID), encode_record(Progress(phase)), revision)


async def end_in_memory(cell: SimulatedCell) -> tuple:
    """Lets a job end while its leader can't store anything.

    Returns:
        The job, and the host that leads.
    """
    await cell.start()
    await asyncio.sleep(SETTLED_S)
    host = cell.hosts[await cell.wait_for_leader()]
    job = cell.make_job("lookup", Step(1, millicores=1000), run_s=RUN_S)
    assert await cell.submit(job)
    await asyncio.sleep(STARTED_S)
    cell.store.faults.is_down = True
    await asyncio.sleep(ENDED_S)
    assert job.id in host.leader.workload.ended
    return job, host


def test_a_late_watch_reports_no_end_before_it_is_stored():
    """Guards against jobs that are completed for callers and run again."""

    async def main():
        cell = SimulatedCell(1)
        job, host = await end_in_memory(cell)
        assert host.leader is not None
        add_stored_jobs(host.leader, [cell.store.item(job_key(job.id))])
        shown = host.frontend.known_phase(job.id)
        assert cell.store.last_value(ended_key(job.id)) is None
        assert shown in (None, JobPhase.QUEUED, JobPhase.RUNNING)

    run_in_virtual_time(main())


def test_an_end_is_reported_once_the_store_answers_again():
    """Guards against ends that nobody learns after a short outage."""

    async def main():
        cell = SimulatedCell(1)
        cell.store.faults.pauses_leases = True
        job, host = await end_in_memory(cell)
        cell.store.faults.is_down = False
        phase = await cell.wait_until_final(job, timeout_s=10.0)
        assert phase is JobPhase.COMPLETED
        assert cell.answer_check.violations == []
        end = host.leader and host.frontend.known_phase(job.id)
        assert end is JobPhase.COMPLETED

    run_in_virtual_time(main())


@pytest.mark.parametrize("phase", FINAL_PHASES)
def test_a_phase_in_memory_is_no_end(phase):
    """Guards against a way around `StoredEnd`."""
    cache = JobPhaseCache()
    cache.synced_at = 1.0
    with pytest.raises(ValueError, match="final"):
        cache.record_live(JOB_ID, phase)
    assert cache.job_phase(JOB_ID, 1.0) is None


def test_only_this_module_makes_ends():
    """Guards against ends that come from something else than a record."""
    roots = [
        pathlib.Path(stored_ends.__file__).parent,
        pathlib.Path(__file__).parents[5] / "platform",
    ]
    makers = {
        path.name
        for root in roots
        for path in root.rglob("*.py")
        if "tests" not in path.parts
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call)
        and getattr(node.func, "id", getattr(node.func, "attr", ""))
        == StoredEnd.__name__
    }
    assert makers == {"stored_ends.py"}


def test_a_refused_transaction_stores_no_end():
    """Guards against ends of leaders whose key is gone."""
    item = stored_item(JobPhase.COMPLETED)
    txn = Txn(expected={LEADER_KEY: 7}, puts={item.key: item.value})
    assert committed_ends(txn, TxnReply(None)) == ()
    (end,) = committed_ends(txn, TxnReply(812))
    assert end == StoredEnd(JOB_ID, JobPhase.COMPLETED, 812)
    assert decode_progress(item.value).phase is end.phase


@pytest.mark.parametrize("phase", JobPhase)
def test_only_final_records_are_read_as_ends(phase):
    """Guards against the record of a live job under the key of an end."""
    found = read_end(stored_item(phase)).value_or(None)
    assert (found is not None) == phase.is_final


def test_the_short_form_keeps_phases_and_revisions():
    """Guards against ends with the revision of another transaction."""
    ends = [
        StoredEnd(f"{n:016x}", FINAL_PHASES[n % 3], 900 + n // 4)
        for n in range(20)
    ]
    other = StoredEnd("nightly", JobPhase.FAILED, 910)
    packed, rest = pack_ends([*ends, other])
    assert list(unpack_ends(packed)) == ends
    assert rest == (("nightly", "failed"),)
    assert list(unpack_ends(packed[:-1])) == ends[:-1]


def test_live_states_in_the_short_form_of_ends_are_left_out():
    """Guards against live states that would be kept for good."""
    packed, _ = pack_ends([StoredEnd(JOB_ID, JobPhase.RUNNING, 900)])
    assert list(unpack_ends(packed)) == []


def sync(leader: JobPhaseCache, follower: JobPhaseCache, **kwargs) -> None:
    """Lets a follower ask for changes and apply the answer."""
    reply = asyncio.run(
        leader.wait_for_changes(
            follower.epoch, follower.change_number, wait_s=0.0, **kwargs
        )
    )
    follower.apply_changes(reply, now=1.0)


def test_hosts_learn_an_end_with_its_revision():
    """Guards against answers that no record can be found for."""
    leader, follower = JobPhaseCache(), JobPhaseCache()
    leader.start_epoch(7)
    leader.record_live(JOB_ID, JobPhase.RUNNING)
    sync(leader, follower, packs=True, takes_ends=True)
    end = read_end(stored_item(JobPhase.COMPLETED)).unwrap()
    leader.record_end(end)
    sync(leader, follower, packs=True, takes_ends=True)
    assert follower.ends == {JOB_ID: end}


@pytest.mark.parametrize("packs", [False, True])
def test_an_end_without_a_revision_is_read_from_the_store(packs):
    """Guards against ends that a leader of an earlier version has not stored.

    Such a leader sends them as it sends live phases.
    """
    leader, follower = JobPhaseCache(), JobPhaseCache()
    leader.start_epoch(7)
    leader.record_live(JOB_ID, JobPhase.RUNNING)
    sync(leader, follower, packs=packs)
    assert follower.job_phase(JOB_ID, 1.0) is JobPhase.RUNNING
    leader.record_end(read_end(stored_item(JobPhase.COMPLETED)).unwrap())
    sync(leader, follower, packs=packs)
    assert follower.job_phase(JOB_ID, 1.0) is None


def test_an_end_that_the_leader_has_read_is_sent_to_the_others():
    """Guards against followers that call an ended job running.

    A caller may ask the leader's host, which reads the store, before the
    leader's own transaction is answered.
    """
    leader, follower = JobPhaseCache(), JobPhaseCache()
    leader.start_epoch(7)
    leader.record_live(JOB_ID, JobPhase.RUNNING)
    sync(leader, follower, takes_ends=True)
    end = read_end(stored_item(JobPhase.COMPLETED)).unwrap()
    leader.learn_end(end)
    leader.record_end(end)
    sync(leader, follower, takes_ends=True)
    assert follower.job_phase(JOB_ID, 1.0) is JobPhase.COMPLETED
