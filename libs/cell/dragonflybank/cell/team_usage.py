"""What each team has running, and what its cap leaves room for.

Usage is counted in `capacity.reserve` and `capacity.release`, so it covers each
attempt from its reservation until it is known to be over, including those that
a new leader restores from its records. Filling tasks reserve no CPU cores on
their executor, but count with the cores that they declare.

A leader keeps to the newest configuration that it has. A team that this
configuration no longer has keeps its last known cap.
"""

__all__ = ["TeamUsage", "UsedAmount"]

import heapq
import operator
from collections.abc import Iterable, Iterator, Mapping, Set

import attrs

from dragonflybank.cell.jobs import CellConfig, Step
from dragonflybank.cell.limits import DEFAULT_QUOTA_OVERAGE
from dragonflybank.cell.teams import ResourceCap, Team


@attrs.define
class UsedAmount:
    """What the attempts of a team use, as their steps declare it.

    Attributes:
        millicores: CPU cores, in thousandths of a core.
        memory_mb: Memory in MiB.
        accelerators: Number of accelerators.
        attempts: Number of attempts.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    attempts: int = 0

    def add(self, step: Step, count: int) -> None:
        """Adds some attempts of a step; a negative number removes them."""
        self.millicores += count * step.millicores
        self.memory_mb += count * step.memory_mb
        self.accelerators += count * step.accelerators
        self.attempts += count


class TeamUsage:
    """Usage and caps by team.

    Args:
        overage: By how much the usage of a team that runs a single gang may
            exceed its cap, as a fraction of the cap.
    """

    def __init__(self, overage: float = DEFAULT_QUOTA_OVERAGE):
        self._overage = overage
        self._used: dict[str, UsedAmount] = {}
        self._by_service: dict[tuple[str, str], UsedAmount] = {}
        self._lasting: dict[str, UsedAmount] = {}
        self._orphans: dict[str, UsedAmount] = {}
        self._version: int | None = None
        self._teams: dict[str, Team] = {}
        self._capped: set[str] = set()
        self._average_weight = 1.0

    @property
    def is_active(self) -> bool:
        """Whether the configuration has teams."""
        return bool(self._teams)

    def is_limited(self, team: str) -> bool:
        """Returns whether starts of a team have to be checked."""
        if self._version is None:
            return bool(team)
        return team in self._capped

    @property
    def teams(self) -> Mapping[str, Team]:
        """Teams by name, with those that were dropped."""
        return self._teams

    @property
    def names(self) -> Set[str]:
        """Names of all teams that had attempts."""
        return self._used.keys()

    def adopt_config(self, cfg: CellConfig) -> None:
        """Takes over the teams of a configuration unless a newer one is known.

        A configuration without teams ends all counting against caps.
        """
        if self._version is not None and cfg.version < self._version:
            return
        self._version = cfg.version
        known = self._teams if cfg.teams else {}
        self._teams = {**known, **cfg.teams}
        self._capped = {
            name for name, t in self._teams.items() if t.cap != ResourceCap()
        }
        weights = [team.weight for team in self._teams.values()]
        self._average_weight = sum(weights) / len(weights) if weights else 1.0

    def change(
        self, team: str, step: Step, count: int, service: str = ""
    ) -> None:
        """Adds some attempts of a team; a negative number removes them.

        Args:
            team: Name of the team.
            step: Their step.
            count: Number of the attempts.
            service: Service of their executor when they were placed.
        """
        key = (team, service)
        self._by_service.setdefault(key, UsedAmount()).add(step, count)
        self._used.setdefault(team, UsedAmount()).add(step, count)
        if step.lasting:
            self._lasting.setdefault(team, UsedAmount()).add(step, count)

    def set_orphans(self, attempts: Iterable[tuple[str, Step]]) -> None:
        """Sets what executors may still run of ended jobs.

        Args:
            attempts: Team and step of each attempt.
        """
        self._orphans = {}
        for team, step in attempts:
            self._orphans.setdefault(team, UsedAmount()).add(step, 1)

    def used(self, team: str) -> UsedAmount:
        """Returns what a team uses now."""
        known = self._used.get(team) or UsedAmount()
        orphans = self._orphans.get(team)
        if orphans is None:
            return attrs.evolve(known)
        return UsedAmount(
            *map(operator.add, attrs.astuple(known), attrs.astuple(orphans))
        )

    def cap(self, team: str) -> ResourceCap:
        """Returns the cap of a team; without limits if it is not known."""
        found = self._teams.get(team)
        return found.cap if found else ResourceCap()

    def room_for(
        self, team: str, step: Step, count: int, *, is_job_idle: bool = False
    ) -> int:
        """Returns how many tasks of a step may start under the team's cap.

        A gang starts as a whole or not at all. One that exceeds the cap by no
        more than the overage may start while its team runs nothing else.

        A first task that is larger than what is left of the cap may start
        while its team uses less than half of the cap. It would otherwise never
        start beside a steady load of the same team. The bound of the cap with
        its overage and one task holds all the same.

        Args:
            team: Name of the team.
            step: The step.
            count: Number of its waiting tasks.
            is_job_idle: Whether its job has no attempt.
        """
        if team and self._version is None:
            # The cap is not known before the first configuration.
            return 0
        if team not in self._teams:
            return count
        used = self.used(team)
        fits = min(
            (
                (limit - taken) // need
                for limit, taken, need in self._limits(team, used, step)
            ),
            default=count,
        )
        if step.gang:
            is_allowed = fits >= count or (
                not used.attempts and self._is_within_overage(team, step, count)
            )
            return count if is_allowed else 0
        if fits < 1 and is_job_idle and self.is_below_half(team):
            return 1
        return max(0, min(fits, count))

    def may_ever_fit(self, team: str, gang: Step) -> bool:
        """Returns whether a gang fits once all tasks with an end have ended."""
        lasting = self._lasting.get(team) or UsedAmount()
        if not lasting.attempts:
            return self._is_within_overage(team, gang, gang.count)
        return all(
            taken + gang.count * need <= limit
            for limit, taken, need in self._limits(team, lasting, gang)
        )

    def covers(
        self, team: str, step: Step, count: int, *, is_first: bool
    ) -> bool:
        """Returns whether reserved attempts may still be started.

        The cap may have been lowered since they were reserved.

        Args:
            team: Name of the team.
            step: Their step.
            count: Number of the attempts, which are counted as used.
            is_first: Whether there is one attempt, the only one of its job.
        """
        if team not in self._teams:
            return True
        used = self.used(team)
        if all(
            taken <= limit for limit, taken, _ in self._limits(team, used, step)
        ):
            return True
        if step.gang:
            return used.attempts <= count and self._is_within_overage(
                team, step, count
            )
        used.add(step, -1)
        return is_first and self._is_below_half(team, used)

    def is_below_half(self, team: str) -> bool:
        """Returns whether a team uses less than half of its cap."""
        return self._is_below_half(team, self.used(team))

    def dominant_share(
        self, team: str, service: str, capacity: ResourceCap
    ) -> float:
        """Returns the largest fraction of a service's resources that it uses.

        Args:
            team: Name of the team.
            service: Name of the service.
            capacity: Resources of the service.
        """
        used = self._by_service.get((team, service))
        if used is None:
            return 0.0
        return max(
            (taken / total for total, taken in _limited(capacity, used)),
            default=0.0,
        )

    def weighted_share(
        self, team: str, service: str, capacity: ResourceCap
    ) -> float:
        """Returns the dominant share of a team, divided by its weight.

        Work without a team counts as that of a team of average weight.
        """
        found = self._teams.get(team)
        weight = found.weight if found else self._average_weight
        return self.dominant_share(team, service, capacity) / weight

    def guaranteed_share(self, team: str) -> float:
        """Returns the fraction of a full cell that a team is entitled to."""
        found = self._teams.get(team)
        weight = found.weight if found else self._average_weight
        return weight / max(1, len(self._teams)) / self._average_weight

    def fullness(self, team: str) -> float:
        """Returns the largest used fraction of a limit of a team, or 0."""
        used, cap = self.used(team), self.cap(team)
        return max(
            (taken / limit for limit, taken in _limited(cap, used)),
            default=0.0,
        )

    def fullest(self, count: int) -> list[str]:
        """Returns the teams that use most of their caps, fullest first."""
        names = {
            *(n for n, used in self._used.items() if used.attempts),
            *self._orphans,
        }
        return heapq.nlargest(
            count,
            sorted(names),
            key=lambda n: (self.fullness(n), self.used(n).millicores),
        )

    def _is_below_half(self, team: str, used: UsedAmount) -> bool:
        return all(
            2 * taken < limit for limit, taken in _limited(self.cap(team), used)
        )

    def _is_within_overage(self, team: str, step: Step, count: int) -> bool:
        return all(
            count * need <= limit * (1 + self._overage)
            for limit, _, need in self._limits(team, UsedAmount(), step)
        )

    def _limits(
        self, team: str, used: UsedAmount, step: Step
    ) -> Iterator[tuple[int, int, int]]:
        """Yields limit, usage and need of a task, of what the step needs."""
        cap = self.cap(team)
        for limit, taken, need in (
            (cap.millicores, used.millicores, step.millicores),
            (cap.memory_mb, used.memory_mb, step.memory_mb),
            (cap.accelerators, used.accelerators, step.accelerators),
        ):
            if limit and need:
                yield limit, taken, need


def _limited(cap: ResourceCap, used: UsedAmount) -> Iterator[tuple[int, int]]:
    """Yields limit and usage of the resources that a cap limits."""
    for limit, taken in (
        (cap.millicores, used.millicores),
        (cap.memory_mb, used.memory_mb),
        (cap.accelerators, used.accelerators),
    ):
        if limit:
            yield limit, taken
