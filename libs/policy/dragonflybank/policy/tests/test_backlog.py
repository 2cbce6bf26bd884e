"""Tests of the order of waiting jobs."""

import random

import attrs
import testtools
from testtools.matchers import Equals, GreaterThan, Is

from dragonflybank.policy.backlog import Backlog, WaitingJob


def drain(backlog, now=0.0, **kwargs):
    jobs = iter(lambda: backlog.take(now, **kwargs), None)
    return [job.id for job in jobs]


class TestBacklog(testtools.TestCase):
    """Guards against work that is blocked by work in front of it."""

    def setUp(self):
        super().setUp()
        self.backlog = Backlog()

    def add(self, name, team="t", **kwargs):
        self.backlog.add(WaitingJob(name, team, **kwargs), 0.0)

    def test_priority_then_age(self):
        self.add("late", accepted_at=2.0)
        self.add("early", accepted_at=1.0)
        self.add("first", "u", priority=1, accepted_at=3.0)
        self.assertThat(drain(self.backlog), Equals(["first", "early", "late"]))

    def test_team_over_quota_does_not_block_others(self):
        self.add("a", "full", priority=9)
        self.add("b", "other")
        self.assertThat(drain(self.backlog, blocked={"full"}), Equals(["b"]))
        self.assertThat(drain(self.backlog), Equals(["a"]))

    def test_job_without_room_waits_for_its_time(self):
        self.add("a", not_before=5.0)
        self.assertThat(drain(self.backlog, 4.9), Equals([]))
        self.assertThat(drain(self.backlog, 5.0), Equals(["a"]))

    def test_cancelled_jobs_are_not_taken(self):
        for number in range(5):
            self.add(f"j{number}", not_before=float(number))
        for number in (0, 3):
            self.assertTrue(self.backlog.remove(f"j{number}"))
        self.assertThat(drain(self.backlog, 9.0), Equals(["j1", "j2", "j4"]))
        self.assertThat(len(self.backlog), Equals(0))

    def test_job_added_twice_is_taken_once(self):
        self.add("a")
        self.add("a", priority=3)
        self.assertThat(drain(self.backlog), Equals(["a"]))
        self.assertThat(self.backlog.take(0.0), Is(None))


class TestAgainstFirstComeFirstServed(testtools.TestCase):
    """Guards against small jobs that wait behind one without room."""

    def test_more_jobs_start_than_first_come_first_served(self):
        rng = random.Random(7)
        needs = {f"j{i}": rng.choice((1, 1, 1, 60)) for i in range(200)}
        served = _started(needs, in_order=False)
        baseline = _started(needs, in_order=True)
        self.assertThat(served, GreaterThan(2 * baseline))


def _started(needs, *, in_order, cores=100):
    """Returns how many jobs start before the room is used up."""
    backlog = Backlog()
    for place, name in enumerate(needs):
        backlog.add(WaitingJob(name, "t", accepted_at=float(place)), 0.0)
    started = 0
    while (job := backlog.take(0.0)) is not None:
        if needs[job.id] <= cores:
            cores -= needs[job.id]
            started += 1
        elif in_order:
            break
        else:
            backlog.add(attrs.evolve(job, not_before=1.0), 0.0)
    return started
