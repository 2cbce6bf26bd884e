"""Tests of placement policies."""

import attrs
import testtools
from returns.pipeline import is_successful
from testtools.matchers import Equals, HasLength, Is, LessThan

from dragonflybank.model.codes import Code
from dragonflybank.model.resources import Resources
from dragonflybank.policy import placement

SIZE = Resources(cores=32, memory_mb=65536, slots=8, connections=64)
ONE = Resources(cores=4, memory_mb=8192, slots=1, connections=1)


def worker(name, *, used_cores=0.0, **changes):
    free = attrs.evolve(SIZE, cores=SIZE.cores - used_cores)
    return attrs.evolve(placement.Candidate(name, SIZE, free), **changes)


class TestPlacement(testtools.TestCase):
    """Guards against overload, bad packing and unexplained choices."""

    def test_best_fit_leaves_empty_workers_for_large_tasks(self):
        workers = [worker("empty"), worker("half", used_cores=16)]
        choice = placement.BestFitPolicy().choose(ONE, workers, 0.0).unwrap()
        self.assertThat(choice.name, Equals("half"))

    def test_work_without_accelerators_avoids_workers_that_have_them(self):
        size = attrs.evolve(SIZE, accelerators=4)
        gpu = placement.Candidate(
            "gpu", size, attrs.evolve(size, cores=8, memory_mb=9000)
        )
        choice = placement.BestFitPolicy().choose(
            ONE, [gpu, worker("plain", used_cores=8)], 0.0
        )
        self.assertThat(choice.unwrap().name, Equals("plain"))

    def test_no_policy_exceeds_any_resource(self):
        for name in ("cores", "memory_mb", "slots", "connections"):
            free = attrs.evolve(SIZE, **{name: 0})
            full = placement.Candidate("full", SIZE, free)
            for policy in (
                placement.BestFitPolicy(),
                placement.LeastLoadedPolicy(),
                placement.RandomPolicy(),
                placement.FirstFitPolicy(),
                placement.LookupPolicy(),
            ):
                failed = policy.choose(ONE, [full], 0.0).failure()
                self.assertThat(failed.code, Is(Code.NO_WORKER))

    def test_leaving_quarantined_and_avoided_workers_are_never_chosen(self):
        workers = [
            worker("leaving", leaving=True),
            worker("sick", quarantined=True),
            worker("tried"),
        ]
        for policy in (placement.BestFitPolicy(), placement.LookupPolicy()):
            outcome = policy.choose(ONE, workers, 0.0, avoid={"tried"})
            self.assertFalse(is_successful(outcome))

    def test_spread_preference_takes_precedence_over_fit(self):
        workers = [
            worker("a", used_cores=16, rack="r1"),
            worker("b", rack="r2"),
        ]
        spread = placement.SpreadPreference(task_counts={"r1": 1})
        choice = placement.BestFitPolicy().choose(
            ONE, workers, 0.0, spread=spread
        )
        self.assertThat(choice.unwrap().name, Equals("b"))

    def test_passed_over_list_is_bounded_and_has_reasons(self):
        workers = [worker(f"full-{i}", used_cores=30) for i in range(50)]
        workers += [worker(f"free-{i}") for i in range(50)]
        choice = placement.BestFitPolicy().choose(ONE, workers, 0.0).unwrap()
        limit = placement.PASSED_OVER_LIMIT
        self.assertThat(choice.passed_over, HasLength(limit))
        self.assertTrue(all(reason for _, reason in choice.passed_over))

    def test_task_larger_than_every_worker_can_never_run(self):
        need = attrs.evolve(ONE, cores=33)
        outcome = placement.check_feasible(need, [SIZE, SIZE])
        self.assertThat(outcome.failure().code, Is(Code.CAN_NEVER_RUN))


class TestLookupPolicy(testtools.TestCase):
    """Guards against lookups that overload one executor."""

    def test_two_choices_balance_load_better_than_random(self):
        two = _max_executor_load(placement.LookupPolicy(seed=3))
        baseline = _max_executor_load(placement.RandomPolicy(seed=3))
        self.assertThat(two, LessThan(baseline))

    def test_only_executor_with_a_free_slot_is_found(self):
        full = attrs.evolve(SIZE, slots=0)
        workers = [placement.Candidate(f"w{i}", SIZE, full) for i in range(99)]
        workers.append(worker("free"))
        choice = placement.LookupPolicy().choose(ONE, workers, 0.0).unwrap()
        self.assertThat(choice.name, Equals("free"))


def _max_executor_load(policy, workers=50, lookups=150):
    need = Resources(slots=1)
    free = {f"w{i}": SIZE.slots for i in range(workers)}
    for _ in range(lookups):
        choice = policy.choose(
            need,
            [
                placement.Candidate(n, SIZE, Resources(slots=k))
                for n, k in free.items()
            ],
            0.0,
        )
        free[choice.unwrap().name] -= 1
    return SIZE.slots - min(free.values())
