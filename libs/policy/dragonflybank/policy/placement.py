"""Choice of a worker for one task.

Best fit keeps large rooms whole over all resources of a worker. First fit,
least loaded and random placement are the baselines that it is measured
against. `LookupPolicy` chooses an executor for a lookup by the power of two
choices (Mitzenmacher 2001).
"""

__all__ = [
    "BestFitPolicy",
    "Candidate",
    "Choice",
    "FirstFitPolicy",
    "LeastLoadedPolicy",
    "LookupPolicy",
    "PlacementPolicy",
    "RandomPolicy",
    "Spread",
    "can_ever_hold",
]

import abc
import random
from collections.abc import Collection, Mapping, Sequence

import attrs
from returns.result import Result, Success

from dragonflybank.model.codes import Code, Problem, problem
from dragonflybank.model.resources import Resources, fits
from dragonflybank.policy.candidates import (
    Candidate,
    can_ever_hold,
    has_room,
    left_over,
    obstacle,
)

# Bounds the length of the log line of a decision.
PASSED_OVER_LIMIT = 5
# The gossip and reservation rounds take about this long to show new room.
RETRY_WHEN_FULL_S = 0.5
# With half of the executors full one choice in 256 looks at all of them.
SAMPLES = 4


@attrs.frozen
class Choice:
    """A chosen worker.

    Attributes:
        name: Name of the worker.
        reason: Why it was chosen, in a few words.
        passed_over: At most `PASSED_OVER_LIMIT` alternatives, each with the
            reason why it was not taken.
    """

    name: str
    reason: str
    passed_over: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class Spread:
    """A wish to spread the tasks of one job.

    Attributes:
        by: Attribute of the candidate, ``rack`` or ``failure_domain``.
        used: Number of the job's tasks in each rack or failure domain.
    """

    by: str = "rack"
    used: Mapping[str, int] = attrs.field(factory=dict)


class PlacementPolicy(abc.ABC):
    """Chooses a worker for one task."""

    @abc.abstractmethod
    def choose(
        self,
        need: Resources,
        candidates: Sequence[Candidate],
        now: float,
        *,
        avoid: Collection[str] = (),
        spread: Spread | None = None,
    ) -> Result[Choice, Problem]:
        """Chooses one of the candidates.

        Args:
            need: Resources of the task.
            candidates: The workers that may be chosen.
            now: Present time, seconds since 1970.
            avoid: Names of workers that must not be chosen.
            spread: How to spread the tasks of the job, if asked.

        Returns:
            The choice, or ``NO_WORKER`` if no candidate has room.
        """


class _ScoredPolicy(PlacementPolicy):
    """Chooses the candidate with the lowest score."""

    reason = ""

    @abc.abstractmethod
    def _score(self, need: Resources, candidate: Candidate) -> float:
        """Returns the score of a candidate that has room; lower is better."""

    def choose(self, need, candidates, now, *, avoid=(), spread=None):
        """See the base class."""
        scored, refused = [], []
        for candidate in candidates:
            if candidate.name not in avoid and has_room(need, candidate):
                scored.append((self._score(need, candidate), candidate))
            elif len(refused) < PASSED_OVER_LIMIT:
                refused.append(candidate)
        if not scored:
            return _no_room(need, candidates, refused, avoid)
        if spread is not None:
            scored = [
                (spread.used.get(getattr(c, spread.by), 0), score, c)
                for score, c in scored
            ]
        best = min(scored, key=lambda item: item[:-1])
        others = scored[: PASSED_OVER_LIMIT + 1]
        passed = [
            (item[-1].name, _behind(item, best))
            for item in others
            if item is not best
        ]
        passed += [(c.name, obstacle(need, c, avoid)) for c in refused]
        return Success(
            Choice(
                best[-1].name,
                f"{self.reason} of {len(scored)} with room",
                tuple(passed[:PASSED_OVER_LIMIT]),
            )
        )


class BestFitPolicy(_ScoredPolicy):
    """Leaves the smallest rest, summed over the shares of all resources.

    Work that needs no accelerators goes to workers without free ones first,
    because `ACCELERATOR_WEIGHT` makes them the largest part of the rest.
    """

    reason = "smallest rest"

    def _score(self, need, candidate):
        return left_over(need, candidate.free, candidate.size)


class LeastLoadedPolicy(_ScoredPolicy):
    """Takes the candidate with the largest rest; a baseline."""

    reason = "largest rest"

    def _score(self, need, candidate):
        return -left_over(need, candidate.free, candidate.size)


class RandomPolicy(_ScoredPolicy):
    """Takes any candidate with room; a baseline.

    Args:
        seed: Seed of the generator.
    """

    reason = "random"

    def __init__(self, seed: int = 0):
        self._rng = random.Random(seed)

    def _score(self, need, candidate):
        return self._rng.random()


class FirstFitPolicy(_ScoredPolicy):
    """Takes the first candidate that has room, first come first served."""

    reason = "first"

    def _score(self, need, candidate):
        return 0.0


class LookupPolicy(PlacementPolicy):
    """Takes the executor with more free slots of two chosen at random.

    All candidates are compared only if `SAMPLES` pairs have no room, so the
    time of a choice does not depend on the number of executors while a good
    part of them has room.

    Args:
        seed: Seed of the generator.
    """

    def __init__(self, seed: int = 0):
        self._rng = random.Random(seed)

    def choose(self, need, candidates, now, *, avoid=(), spread=None):
        """See the base class; ``spread`` has no effect on lookups."""
        count = len(candidates)
        if count == 0:
            return _no_room(need, candidates, (), avoid)
        usable = []
        for _ in range(SAMPLES):
            picks = {self._rng.randrange(count) for _ in range(2)}
            sample = [candidates[i] for i in picks]
            usable = _usable(need, sample, avoid)
            if usable:
                break
        reason = "most free slots of two"
        if not usable:
            usable = _usable(need, candidates, avoid)
            sample = candidates[:PASSED_OVER_LIMIT]
            reason = "most free slots of all"
        if not usable:
            return _no_room(need, candidates, sample, avoid)
        best = min(usable, key=_lookup_rank)
        passed = tuple(
            (c.name, obstacle(need, c, avoid) or f"{c.free.slots} free slots")
            for c in sample
            if c is not best
        )
        return Success(Choice(best.name, reason, passed))


def _usable(need, candidates, avoid):
    return [c for c in candidates if c.name not in avoid and has_room(need, c)]


def _lookup_rank(candidate):
    return (-candidate.free.slots, candidate.long_running, candidate.name)


def _behind(item, best):
    if len(item) == 3 and item[0] > best[0]:
        return f"{item[0]} tasks of the job are there"
    return "ranked lower"


def _no_room(need, candidates, refused, avoid):
    if not any(fits(need, c.size) for c in candidates):
        return problem(
            Code.NO_WORKER, f"none of {len(candidates)} workers is large enough"
        )
    why = "; ".join(f"{c.name}: {obstacle(need, c, avoid)}" for c in refused)
    return problem(
        Code.NO_WORKER,
        f"no room on {len(candidates)} workers ({why})",
        retry_after_s=RETRY_WHEN_FULL_S,
    )
