"""Best fit over an index, for fleets of many workers.

The rest that `candidates.left_over` gives is a sum over resources. For
workers of equal size the order of the rests is therefore the same for every
task, so each size keeps one sorted list and a choice looks only at workers
from the smallest sufficient sum on.
"""

__all__ = ["CandidateIndex"]

import bisect
import collections
from collections.abc import Collection, Iterable

from returns.result import Result, Success

from dragonflybank.model.codes import Code, Problem, problem
from dragonflybank.model.resources import Resources, fits
from dragonflybank.policy import candidates as fitting
from dragonflybank.policy import placement
from dragonflybank.policy.placement import Candidate, Choice, Spread

_NOTHING = Resources()
# Sums of shares differ by rounding when amounts are added and subtracted.
_ROUNDING = 1e-9


class CandidateIndex:
    """Workers sorted by their free room; makes the choice of best fit.

    Args:
        candidates: Workers known at the start.
    """

    def __init__(self, candidates: Iterable[Candidate] = ()):
        self._by_name = {}
        self._by_size = collections.defaultdict(list)
        for candidate in candidates:
            self.update(candidate)

    def __len__(self):
        return len(self._by_name)

    def update(self, candidate: Candidate) -> None:
        """Adds a worker or replaces what is known about it."""
        self.remove(candidate.name)
        self._by_name[candidate.name] = candidate
        if not (candidate.leaving or candidate.quarantined):
            bisect.insort(self._by_size[candidate.size], _item(candidate))

    def remove(self, name: str) -> None:
        """Removes a worker if it is known."""
        candidate = self._by_name.pop(name, None)
        if candidate is None:
            return
        items = self._by_size[candidate.size]
        place = bisect.bisect_left(items, _item(candidate)[:2])
        if place < len(items) and items[place][1] == name:
            del items[place]
        if not items:
            del self._by_size[candidate.size]

    def get(self, name: str) -> Candidate | None:
        """Returns what is known about a worker."""
        return self._by_name.get(name)

    def choose(
        self,
        need: Resources,
        now: float,
        *,
        avoid: Collection[str] = (),
        spread: Spread | None = None,
    ) -> Result[Choice, Problem]:
        """Chooses as `placement.BestFitPolicy` does over all candidates.

        Args:
            need: Resources of the task.
            now: Present time, seconds since 1970.
            avoid: Names of workers that must not be chosen.
            spread: How to spread the tasks of the job; all workers are
                compared if it is given.

        Returns:
            The choice, or ``NO_WORKER`` if no worker has room.
        """
        if spread is not None:
            return placement.BestFitPolicy().choose(
                need,
                list(self._by_name.values()),
                now,
                avoid=avoid,
                spread=spread,
            )
        found, refused = [], []
        for size, items in self._by_size.items():
            if fits(need, size):
                first = self._first(need, size, items, avoid, refused)
                found += [first] if first is not None else []
        if not found:
            return self._no_room(need)
        best = min(found)
        others = [
            (c.name, "ranked lower") for *_, c in found if c is not best[-1]
        ]
        passed = others + [
            (c.name, fitting.obstacle(need, c, avoid)) for c in refused
        ]
        return Success(
            Choice(
                best[-1].name,
                f"smallest rest of {len(self._by_name)} indexed",
                tuple(passed[: placement.PASSED_OVER_LIMIT]),
            )
        )

    def _first(self, need, size, items, avoid, refused):
        least = fitting.left_over(_NOTHING, need, size)
        start = bisect.bisect_left(items, (least - _ROUNDING,))
        for place in range(start, len(items)):
            rest, name, candidate = items[place]
            if name not in avoid and fitting.has_room(need, candidate):
                return rest - least, name, candidate
            if len(refused) < placement.PASSED_OVER_LIMIT:
                refused.append(candidate)
        return None

    def _no_room(self, need):
        large = any(fits(need, c.size) for c in self._by_name.values())
        return problem(
            Code.NO_WORKER,
            f"no room on {len(self)} indexed workers"
            if large
            else f"none of {len(self)} indexed workers is large enough",
            retry_after_s=placement.RETRY_WHEN_FULL_S if large else 0.0,
        )


def _item(candidate):
    rest = fitting.left_over(_NOTHING, candidate.free, candidate.size)
    return rest, candidate.name, candidate
