"""Tests of the short form of job phases in the leader's answers."""

import asyncio

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
        cache.record_phase(job_id, JobPhase.RUNNING)
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
