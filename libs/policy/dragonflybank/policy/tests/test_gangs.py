"""Tests of the acquisition of gangs."""

import random

import testtools
from returns.pipeline import is_successful
from testtools.matchers import Equals, Is, LessThan

from dragonflybank.model.leases import Reservation
from dragonflybank.model.resources import Resources
from dragonflybank.policy import gangs, placement

SIZE = Resources(cores=8)
TASK = Resources(cores=4)


def workers(count):
    return [
        placement.Candidate(f"w{i}", SIZE, SIZE, rack=f"r{i % 2}")
        for i in range(count)
    ]


def reservation(worker, expires_at=5.0):
    return Reservation(worker, worker, "host", 1, TASK, expires_at)


class TestPlanGang(testtools.TestCase):
    """Guards against acquisition out of order and partial plans."""

    def test_steps_are_in_order_of_worker_name(self):
        policy = placement.RandomPolicy(seed=2)
        steps = gangs.plan_gang(TASK, 7, workers(5), policy, 0.0).unwrap()
        names = [step.worker for step in steps]
        self.assertThat(names, Equals(sorted(names)))
        self.assertThat(sum(step.tasks for step in steps), Equals(7))

    def test_no_worker_gets_more_than_it_holds(self):
        policy = placement.BestFitPolicy()
        steps = gangs.plan_gang(TASK, 8, workers(4), policy, 0.0).unwrap()
        self.assertThat({step.tasks for step in steps}, Equals({2}))

    def test_gang_that_does_not_fit_acquires_nothing(self):
        policy = placement.BestFitPolicy()
        outcome = gangs.plan_gang(TASK, 9, workers(4), policy, 0.0)
        self.assertFalse(is_successful(outcome))

    def test_spread_over_racks(self):
        policy = placement.BestFitPolicy()
        steps = gangs.plan_gang(
            TASK, 2, workers(4), policy, 0.0, spread_by="rack"
        ).unwrap()
        self.assertThat([s.worker for s in steps], Equals(["w0", "w1"]))


class TestGangAttempt(testtools.TestCase):
    """Guards against gangs that start in part, deadlock or hold on."""

    def setUp(self):
        super().setUp()
        self.attempt = gangs.GangAttempt(
            [gangs.Step("w0", 1), gangs.Step("w1", 1)]
        )

    def test_starts_only_when_complete(self):
        self.attempt.acquired([reservation("w0")])
        self.assertThat(self.attempt.verdict(0.0), Is(gangs.Verdict.ACQUIRE))
        self.attempt.acquired([reservation("w1")])
        self.assertThat(self.attempt.verdict(0.0), Is(gangs.Verdict.START))

    def test_missing_reservation_releases_all(self):
        self.attempt.acquired([reservation("w0")])
        self.attempt.refused()
        self.assertThat(self.attempt.verdict(0.0), Is(gangs.Verdict.RELEASE))
        self.assertThat(len(self.attempt.held), Equals(1))

    def test_too_few_reservations_release_all(self):
        self.attempt.acquired([])
        self.assertThat(self.attempt.verdict(0.0), Is(gangs.Verdict.RELEASE))

    def test_hold_that_is_about_to_end_is_not_started(self):
        self.attempt.acquired([reservation("w0")])
        self.attempt.acquired([reservation("w1", expires_at=9.0)])
        self.assertThat(self.attempt.verdict(4.5), Is(gangs.Verdict.RELEASE))

    def test_ordered_acquisition_beats_unordered(self):
        ordered = sum(_blocked_rounds(seed, sorted) for seed in range(200))
        unordered = sum(_blocked_rounds(seed, list) for seed in range(200))
        self.assertThat(ordered, Equals(0))
        self.assertThat(ordered, LessThan(unordered))


def _blocked_rounds(seed, arrange):
    """Returns 1 if no gang of a round gets all of its workers."""
    rng = random.Random(seed)
    names = [f"w{i}" for i in range(4)]
    taken = {}
    plans = [arrange(rng.sample(names, 3)) for _ in range(3)]
    attempts = [
        gangs.GangAttempt([gangs.Step(n, 1) for n in plan]) for plan in plans
    ]
    active = list(attempts)
    while active:
        attempt = rng.choice(active)
        name = attempt.next_step().worker
        if taken.setdefault(name, attempt) is attempt:
            attempt.acquired([reservation(name)])
        else:
            attempt.refused()
        if attempt.verdict(0.0) is not gangs.Verdict.ACQUIRE:
            active.remove(attempt)
    done = [a for a in attempts if a.verdict(0.0) is gangs.Verdict.START]
    return 0 if done else 1
