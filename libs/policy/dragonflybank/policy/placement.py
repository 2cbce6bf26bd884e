"""Placement policies, which choose a worker for one task.

Best fit over all resources keeps large free workers available for large
tasks. First fit, least loaded and random placement are baselines for
comparison. `LookupPolicy` chooses an executor for a lookup by the power of
two choices (Mitzenmacher 2001).
"""

__all__ = [
    "BestFitPolicy",
    "Candidate",
    "FirstFitPolicy",
    "LeastLoadedPolicy",
    "LookupPolicy",
    "PlacementChoice",
    "PlacementPolicy",
    "RandomPolicy",
    "SpreadPreference",
    "check_feasible",
]

import abc
import random
from collections.abc import Collection, Mapping, Sequence

import attrs
from returns.result import Result, Success

from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.resources import Resources, fits
from dragonflybank.policy.candidates import (
    Candidate,
    can_place,
    check_feasible,
    leftover_score,
    rejection_reason,
)

# Limits the length of the log line of a decision.
PASSED_OVER_LIMIT = 5
# Gossip and reservation rounds take about this long to show freed resources.
RETRY_AFTER_FULL_S = 0.5
# With half of the executors full, one choice in 256 compares all of them.
MAX_SAMPLES = 4


@attrs.frozen
class PlacementChoice:
    """A chosen worker.

    Attributes:
        name: Name of the worker.
        reason: Short reason for the choice.
        passed_over: At most `PASSED_OVER_LIMIT` alternatives, each with the
            reason why it was not chosen.
    """

    name: str
    reason: str
    passed_over: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class SpreadPreference:
    """Soft constraint that spreads the tasks of one job over domains.

    Attributes:
        domain_attribute: Attribute of `Candidate` that names its domain,
            ``rack`` or ``failure_domain``.
        task_counts: Number of the job's tasks in each domain.
    """

    domain_attribute: str = "rack"
    task_counts: Mapping[str, int] = attrs.field(factory=dict)


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
        spread: SpreadPreference | None = None,
    ) -> Result[PlacementChoice, Problem]:
        """Chooses one of the candidates.

        Args:
            need: Resources of the task.
            candidates: The workers that may be chosen.
            now: Current time, seconds since 1970.
            avoid: Names of workers that must not be chosen.
            spread: How to spread the tasks of the job; None for no
                preference.

        Returns:
            The choice, or ``NO_WORKER`` if no candidate has enough free
            resources.
        """


class _ScoredPolicy(PlacementPolicy):
    """Chooses the candidate with the lowest score."""

    reason = ""

    @abc.abstractmethod
    def _score(self, need: Resources, candidate: Candidate) -> float:
        """Returns the score of a placeable candidate; lower is better."""

    def choose(self, need, candidates, now, *, avoid=(), spread=None):
        """See the base class."""
        scored, refused = [], []
        for candidate in candidates:
            if candidate.name not in avoid and can_place(need, candidate):
                scored.append((self._score(need, candidate), candidate))
            elif len(refused) < PASSED_OVER_LIMIT:
                refused.append(candidate)
        if not scored:
            return _no_worker(need, candidates, refused, avoid)
        if spread is not None:
            scored = [
                (
                    spread.task_counts.get(
                        getattr(c, spread.domain_attribute), 0
                    ),
                    score,
                    c,
                )
                for score, c in scored
            ]
        best = min(scored, key=lambda item: item[:-1])
        others = scored[: PASSED_OVER_LIMIT + 1]
        passed = [
            (item[-1].name, _rank_reason(item, best))
            for item in others
            if item is not best
        ]
        passed += [(c.name, rejection_reason(need, c, avoid)) for c in refused]
        return Success(
            PlacementChoice(
                best[-1].name,
                f"{self.reason} of {len(scored)} workers that fit",
                tuple(passed[:PASSED_OVER_LIMIT]),
            )
        )


class BestFitPolicy(_ScoredPolicy):
    """Chooses the candidate with the smallest leftover of free resources.

    Work that needs no accelerators goes first to workers without free ones,
    because `ACCELERATOR_WEIGHT` makes them the main part of the leftover.
    """

    reason = "smallest leftover"

    def _score(self, need, candidate):
        return leftover_score(need, candidate.free, candidate.size)


class LeastLoadedPolicy(_ScoredPolicy):
    """Chooses the candidate with the largest leftover; a baseline."""

    reason = "largest leftover"

    def _score(self, need, candidate):
        return -leftover_score(need, candidate.free, candidate.size)


class RandomPolicy(_ScoredPolicy):
    """Chooses a random candidate with enough resources; a baseline.

    Args:
        seed: Seed of the generator.
    """

    reason = "random"

    def __init__(self, seed: int = 0):
        self._rng = random.Random(seed)

    def _score(self, need, candidate):
        return self._rng.random()


class FirstFitPolicy(_ScoredPolicy):
    """Chooses the first candidate with enough resources; a baseline."""

    reason = "first"

    def _score(self, need, candidate):
        return 0.0


class LookupPolicy(PlacementPolicy):
    """Chooses the executor with more free slots among two random ones.

    All candidates are compared only if `MAX_SAMPLES` pairs are full. The time
    of a choice thus does not depend on the number of executors while a large
    fraction of them has free slots.

    Args:
        seed: Seed of the generator.
    """

    def __init__(self, seed: int = 0):
        self._rng = random.Random(seed)

    def choose(self, need, candidates, now, *, avoid=(), spread=None):
        """See the base class; ``spread`` has no effect on lookups."""
        count = len(candidates)
        if count == 0:
            return _no_worker(need, candidates, (), avoid)
        usable = []
        for _ in range(MAX_SAMPLES):
            picks = {self._rng.randrange(count) for _ in range(2)}
            sample = [candidates[i] for i in picks]
            usable = _placeable(need, sample, avoid)
            if usable:
                break
        reason = "most free slots of two"
        if not usable:
            usable = _placeable(need, candidates, avoid)
            sample = candidates[:PASSED_OVER_LIMIT]
            reason = "most free slots of all"
        if not usable:
            return _no_worker(need, candidates, sample, avoid)
        best = min(usable, key=_lookup_rank)
        passed = tuple(
            (
                c.name,
                rejection_reason(need, c, avoid)
                or f"{c.free.slots} free slots",
            )
            for c in sample
            if c is not best
        )
        return Success(PlacementChoice(best.name, reason, passed))


def _placeable(need, candidates, avoid):
    return [c for c in candidates if c.name not in avoid and can_place(need, c)]


def _lookup_rank(candidate):
    return (-candidate.free.slots, candidate.long_running, candidate.name)


def _rank_reason(item, best):
    if len(item) == 3 and item[0] > best[0]:
        return f"already has {item[0]} tasks of the job"
    return "ranked lower"


def _no_worker(need, candidates, refused, avoid):
    if not any(fits(need, c.size) for c in candidates):
        return failure(
            Code.NO_WORKER, f"none of {len(candidates)} workers is large enough"
        )
    reasons = "; ".join(
        f"{c.name}: {rejection_reason(need, c, avoid)}" for c in refused
    )
    return failure(
        Code.NO_WORKER,
        f"none of {len(candidates)} workers can take the task ({reasons})",
        retry_after_s=RETRY_AFTER_FULL_S,
    )
