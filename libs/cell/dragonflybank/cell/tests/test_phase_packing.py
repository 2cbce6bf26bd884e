"""Tests of the short form of job phases in the leader's answers."""

import asyncio

import attrs
import pytest

from dragonflybank.cell.jobs import JobPhase
from dragonflybank.cell.phase_cache import JobPhaseCache
from dragonflybank.cell.phase_packing import pack_phases, unpack_phases
from dragonflybank.cluster.messages import encode

JOB_IDS = [f"{n:016x}" for n in range(100)]
OTHER_IDS = ["nightly", "5C0E7A21D94B36F8", "5c0e7a21d94b36f", "a" * 17, "é"]


def cache_with_changes(job_ids) -> JobPhaseCache:
    cache = JobPhaseCache()
    cache.start_epoch(7)
    for job_id in job_ids:
        cache.record_live(job_id, JobPhase.RUNNING)
    return cache


def changes(cache: JobPhaseCache, *, packs: bool):
    return asyncio.run(cache.wait_for_changes(7, 0, wait_s=0.0, packs=packs))


@pytest.mark.parametrize("phase", JobPhase)
def test_phases_survive_the_short_form(phase):
    """Guards against phases that are lost or mixed up on the way."""
    states = [(job_id, phase.value) for job_id in [*JOB_IDS, *OTHER_IDS]]
    packed, rest = pack_phases(states)
    assert [*unpack_phases(packed), *rest] == states


def test_truncated_and_unknown_rows_are_left_out():
    """Guards against an exception for rows of another version."""
    packed, _ = pack_phases([(JOB_IDS[1], "running")])
    assert list(unpack_phases(packed[:-1])) == []
    assert list(unpack_phases(packed[:-1] + b"\xff")) == []


def test_hosts_learn_the_same_from_both_forms():
    """Guards against hosts of two versions that report different phases."""
    leader = cache_with_changes([*JOB_IDS, *OTHER_IDS])
    followers = []
    for packs in (False, True):
        follower = JobPhaseCache()
        follower.apply_changes(changes(leader, packs=packs), now=1.0)
        followers.append(
            [follower.job_phase(i, 1.0) for i in [*JOB_IDS, *OTHER_IDS]]
        )
    assert followers[0] == followers[1]
    assert set(followers[0]) == {JobPhase.RUNNING}


def test_a_host_of_an_earlier_version_gets_no_packed_phases():
    """Guards against an update that leaves hosts with outdated phases."""
    reply = changes(cache_with_changes(JOB_IDS), packs=False)
    assert len(reply.states) == len(JOB_IDS)
    assert reply.packed == b""


def test_a_change_takes_at_most_ten_bytes():
    """Guards against answers that fill the leader's link in large cells."""
    leader = cache_with_changes(JOB_IDS)
    without = len(encode(changes(cache_with_changes([]), packs=True)))
    with_changes = len(encode(changes(leader, packs=True)))
    assert with_changes - without <= 10 * len(JOB_IDS)


async def ask(leader: JobPhaseCache, follower: JobPhaseCache):
    """Returns the answer to a request of a follower, which applies it."""
    reply = await leader.wait_for_changes(
        follower.epoch,
        follower.change_number,
        wait_s=0.0,
        pending_number=follower.pending_number,
    )
    follower.apply_changes(reply, now=1.0)
    return reply


def test_counts_of_pending_jobs_are_sent_once():
    """Guards against answers that repeat the counts of all queues."""
    pending = {f"queue-{n}": n for n in range(1000)}

    async def run():
        leader, follower = cache_with_changes([]), JobPhaseCache()
        leader.update_pending(pending, (), hosts=100, now=1.0)
        assert (await ask(leader, follower)).pending == pending
        assert len(encode(await ask(leader, follower))) < 250
        assert follower.pending == pending
        leader.update_pending({"queue-1": 3}, (), hosts=100, now=2.0)
        assert (await ask(leader, follower)).pending == {"queue-1": 3}
        assert follower.pending == {"queue-1": 3}

    asyncio.run(run())


def test_a_new_leader_sends_its_own_counts():
    """Guards against counts of a former leader under an equal number."""

    async def run():
        follower = JobPhaseCache()
        for epoch, pending in ((7, {"a": 1}), (8, {"b": 2})):
            leader = JobPhaseCache()
            leader.start_epoch(epoch)
            leader.update_pending(pending, (), hosts=3, now=1.0)
            await ask(leader, follower)
            assert follower.pending == pending

    asyncio.run(run())


@pytest.mark.parametrize("is_leader_earlier", [False, True])
def test_hosts_of_two_versions_exchange_the_counts_each_time(is_leader_earlier):
    """Guards against an update that leaves hosts with outdated counts."""

    async def run():
        leader, follower = cache_with_changes([]), JobPhaseCache()
        for number in range(3):
            leader.update_pending({"a": number}, (), hosts=3, now=number)
            reply = await leader.wait_for_changes(
                7, leader.change_number, wait_s=0.0
            )
            assert reply.pending == {"a": number}
            if is_leader_earlier:
                reply = attrs.evolve(reply, pending_number=-1)
            follower.apply_changes(reply, now=1.0)
            assert follower.pending == {"a": number}

    asyncio.run(run())


def test_a_leader_that_followed_an_earlier_version_sends_its_counts():
    """Guards against counts that are left out for hosts that have none."""
    from_earlier_version = attrs.evolve(
        changes(cache_with_changes([]), packs=False),
        pending={"a": 7},
        pending_number=-1,
    )

    async def run():
        leader = JobPhaseCache()
        leader.apply_changes(from_earlier_version, now=1.0)
        leader.start_epoch(8)
        leader.update_pending({"a": 7}, (), hosts=3, now=2.0)
        reply = await leader.wait_for_changes(
            8, leader.change_number, wait_s=0.0, pending_number=-1
        )
        assert reply.pending == {"a": 7}

    asyncio.run(run())


@pytest.mark.parametrize(("hosts", "updates"), [(6, 50), (40, 50), (100, 20)])
def test_counts_change_less_often_in_a_large_cell(hosts, updates):
    """Guards against bytes that grow with hosts x queues.

    Small cells get each change as before, five a second.
    """
    cache = JobPhaseCache()
    for n in range(50):
        cache.update_pending({"a": n + 1}, (), hosts=hosts, now=n * 0.2001)
    assert cache.pending_number == pytest.approx(updates, abs=3)
