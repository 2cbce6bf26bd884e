"""Acquisition of all reservations of a gang (D14).

Reservations are acquired in the order of worker name, so that two gangs
never wait for each other in a cycle (Havender 1968). Each is held for a
limited time; if one is missing all are released.
"""

__all__ = ["GangAttempt", "Step", "Verdict", "plan_gang"]

import enum
from collections.abc import Collection, Iterable, Sequence

import attrs
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dragonflybank.model.codes import Problem
from dragonflybank.model.leases import Reservation
from dragonflybank.model.resources import Resources, minus
from dragonflybank.policy.placement import (
    Candidate,
    PlacementPolicy,
    Spread,
)

HOLD_S = 5.0
# Time for the journal write and the start before the first hold ends.
START_MARGIN_S = 1.0


class Verdict(enum.StrEnum):
    """What to do next with a gang."""

    ACQUIRE = "acquire"
    START = "start"
    RELEASE = "release"


@attrs.frozen
class Step:
    """Reservations to acquire at one worker.

    Attributes:
        worker: Name of the worker.
        tasks: Number of tasks of the gang there.
    """

    worker: str
    tasks: int


class GangAttempt:
    """One attempt to acquire the reservations of a gang.

    Args:
        steps: The plan, in order of worker name.
    """

    def __init__(self, steps: Sequence[Step]):
        self._steps = steps
        self._acquired = 0
        self._missing = False
        self._held = []

    @property
    def held(self) -> tuple[Reservation, ...]:
        """Reservations held; to be released if the verdict says so."""
        return tuple(self._held)

    def verdict(self, now: float) -> Verdict:
        """Returns what to do next.

        Args:
            now: Present time, seconds since 1970.
        """
        ends = [reservation.expires_at for reservation in self._held]
        if self._missing or (ends and now + START_MARGIN_S > min(ends)):
            return Verdict.RELEASE
        if self._acquired == len(self._steps):
            return Verdict.START
        return Verdict.ACQUIRE

    def next_step(self) -> Step:
        """Returns the step to acquire next."""
        return self._steps[self._acquired]

    def acquired(self, reservations: Iterable[Reservation]) -> None:
        """Notes the reservations of the next step."""
        found = list(reservations)
        self._held += found
        if len(found) < self.next_step().tasks:
            self._missing = True
        else:
            self._acquired += 1

    def refused(self) -> None:
        """Notes that the next step cannot be acquired."""
        self._missing = True


def plan_gang(
    need: Resources,
    tasks: int,
    candidates: Sequence[Candidate],
    policy: PlacementPolicy,
    now: float,
    *,
    avoid: Collection[str] = (),
    spread_by: str = "",
) -> Result[tuple[Step, ...], Problem]:
    """Returns where to acquire the reservations of a gang, in order.

    Args:
        need: Resources of each task.
        tasks: Number of tasks.
        candidates: The workers that may be chosen.
        policy: Placement of each task.
        now: Present time, seconds since 1970.
        avoid: Names of workers that must not be chosen.
        spread_by: ``rack`` or ``failure_domain`` to spread over, or empty.

    Returns:
        The steps, or the problem of the first task without room; nothing
        needs to be acquired then.
    """
    free = {c.name: c for c in candidates}
    counts, used = {}, {}
    for _ in range(tasks):
        spread = Spread(spread_by, used) if spread_by else None
        outcome = policy.choose(
            need, list(free.values()), now, avoid=avoid, spread=spread
        )
        if not is_successful(outcome):
            return Failure(outcome.failure())
        name = outcome.unwrap().name
        chosen = free[name]
        free[name] = attrs.evolve(chosen, free=minus(chosen.free, need))
        counts[name] = counts.get(name, 0) + 1
        if spread_by:
            domain = getattr(chosen, spread_by)
            used[domain] = used.get(domain, 0) + 1
    return Success(tuple(Step(name, counts[name]) for name in sorted(counts)))
