"""Tests of the index of candidates."""

import random

import attrs
import testtools
from returns.pipeline import is_successful
from testtools.matchers import Equals, HasLength

from dragonflybank.model.resources import Resources
from dragonflybank.policy import placement
from dragonflybank.policy.placement_index import CandidateIndex

SIZES = (
    Resources(32, 65536, 0, 8, 64),
    Resources(64, 262144, 4, 8, 64),
)


def random_candidate(rng, name):
    size = rng.choice(SIZES)
    free = Resources(
        rng.uniform(0, size.cores),
        rng.uniform(0, size.memory_mb),
        rng.randint(0, size.accelerators),
        rng.randint(0, size.slots),
        rng.randint(0, size.connections),
    )
    return placement.Candidate(
        name, size, free, leaving=rng.random() < 0.1, rack=f"r{len(name)}"
    )


def random_need(rng):
    return Resources(
        rng.uniform(0, 12), rng.uniform(0, 20000), rng.choice((0, 0, 1)), 1, 1
    )


class TestCandidateIndex(testtools.TestCase):
    """Guards against an index that differs from the full comparison."""

    def test_equals_best_fit_over_all_candidates_while_they_change(self):
        rng = random.Random(11)
        policy = placement.BestFitPolicy()
        index = CandidateIndex()
        known = {}
        for _ in range(600):
            name = f"w{rng.randrange(80)}"
            if rng.random() < 0.2:
                index.remove(name)
                known.pop(name, None)
            else:
                known[name] = random_candidate(rng, name)
                index.update(known[name])
            need = random_need(rng)
            avoid = {f"w{rng.randrange(80)}"}
            found = index.choose(need, 0.0, avoid=avoid)
            expected = policy.choose(
                need, list(known.values()), 0.0, avoid=avoid
            )
            self.assertThat(
                found.map(lambda c: c.name).value_or(""),
                Equals(expected.map(lambda c: c.name).value_or("")),
            )
        self.assertThat(index, HasLength(len(known)))

    def test_worker_that_starts_to_leave_is_not_chosen(self):
        size = SIZES[0]
        worker = placement.Candidate("w", size, size)
        index = CandidateIndex([worker])
        index.update(attrs.evolve(worker, leaving=True))
        outcome = index.choose(Resources(cores=1), 0.0)
        self.assertFalse(is_successful(outcome))

    def test_spread_is_kept(self):
        size = SIZES[0]
        index = CandidateIndex(
            placement.Candidate(f"w{r}", size, size, rack=r) for r in "ab"
        )
        spread = placement.Spread(used={"a": 1})
        choice = index.choose(Resources(cores=1), 0.0, spread=spread)
        self.assertThat(choice.unwrap().name, Equals("wb"))
