"""The order of waiting steps of several teams.

Within one priority, the step of the team with the least weighted share comes
first: the largest fraction of a resource of the service that the team uses,
divided by its weight (weighted dominant resource fairness, Ghodsi et al. 2011).
The shares are those of the moment, so a team that got room moves back within
the same round, and lent capacity returns as running work ends.

Jobs that a team sends beyond its rate come after the work of all teams that
keep theirs. They are not refused, and run where there is room.
"""

__all__ = ["RateMeter", "fair_order", "is_beyond_rate"]

import heapq
from collections.abc import Callable, Iterator, Mapping

from dragonflybank.cell.state import JobState, StepState
from dragonflybank.cell.team_usage import TeamUsage
from dragonflybank.cell.teams import ResourceCap, Team

# A team may send this many seconds of its rate at once. Arrivals of a team that
# keeps its rate on average vary by a few jobs.
RATE_BURST_S = 3.0
# A team with a small weight may send this many jobs at once. Of independent
# arrivals at 0.8 of the rate, 20% are beyond it with 2 jobs, and 0.4% with 10.
MIN_BURST_JOBS = 10.0


class RateMeter:
    """Finds the jobs that teams send beyond their rates.

    Each team has a token bucket that is filled by its weight per second. It
    counts by the times of acceptance, in their order, so that a new leader
    decides alike on the jobs that it loads. Jobs that ended before are not
    loaded and take no tokens.
    """

    def __init__(self):
        self._new: list[JobState] = []
        # Time at which the bucket of a team is full again.
        self._full_at: dict[str, float] = {}

    def add(self, state: JobState) -> None:
        """Adds a job, to be judged by the next call of `judge_new`."""
        if state.job.team:
            self._new.append(state)

    def judge_new(self, teams: Mapping[str, Team]) -> None:
        """Marks the jobs added since the last call that are beyond the rate.

        Args:
            teams: Teams by name.
        """
        added, self._new = self._new, []
        for state in sorted(added, key=lambda s: (s.job.accepted_at, s.job.id)):
            team = teams.get(state.job.team)
            if team is not None:
                state.is_beyond_rate = not self._take_token(
                    team, state.job.accepted_at
                )

    def _take_token(self, team: Team, accepted_at: float) -> bool:
        burst_s = max(RATE_BURST_S, MIN_BURST_JOBS / team.weight)
        full_at = max(self._full_at.get(team.name, accepted_at), accepted_at)
        full_at += 1.0 / team.weight
        if full_at > accepted_at + burst_s:
            return False
        self._full_at[team.name] = full_at
        return True


def is_beyond_rate(step: StepState) -> bool:
    """Returns whether a step's job was sent beyond the rate of its team."""
    return step.job_state.is_beyond_rate


def fair_order(
    ranks: Mapping[StepState, tuple],
    usage: TeamUsage,
    capacity: Callable[[str], ResourceCap],
    *,
    is_overdue: Callable[[StepState], bool],
) -> Iterator[StepState]:
    """Yields steps in the order in which they are placed.

    A step is chosen when it is asked for, by the usage at that time. The cost
    of a step grows with the logarithm of the number of teams.

    Args:
        ranks: Ready steps and their keys of `step_order.step_rank`.
        usage: What the teams use.
        capacity: Returns the resources of a service.
        is_overdue: Returns whether a step counts as within its team's rate
            since its job has waited too long.
    """
    groups: dict[tuple, dict[tuple[str, str], list]] = {}
    for number, (step, rank) in enumerate(ranks.items()):
        is_last = is_beyond_rate(step) and not is_overdue(step)
        team, service = step.job_state.job.team, step.job_state.queue.service
        # Restarts come first, whoever sent the job.
        queues = groups.setdefault((rank[0], is_last, *rank[1:3]), {})
        queue = queues.setdefault((team, service), [])
        queue.append((rank[3:], number, step))
    for key in sorted(groups):
        yield from _least_share_first(groups[key], usage, capacity)


def _least_share_first(
    queues: Mapping[tuple[str, str], list],
    usage: TeamUsage,
    capacity: Callable[[str], ResourceCap],
) -> Iterator[StepState]:
    """Yields the steps of one priority.

    Args:
        queues: Rank, number and step of the steps, by team and service.
        usage: What the teams use.
        capacity: Returns the resources of a service.
    """

    def entry(team: str, service: str) -> tuple:
        share = usage.weighted_share(team, service, capacity(service))
        rank, number, _ = queues[team, service][-1]
        return share, rank, number, team, service

    for queue in queues.values():
        queue.sort(key=lambda row: row[:2], reverse=True)
    heap = [entry(*key) for key in queues]
    heapq.heapify(heap)
    while heap:
        *_, team, service = heap[0]
        yield queues[team, service].pop()[2]
        # Only the usage of this team has grown.
        if queues[team, service]:
            heapq.heapreplace(heap, entry(team, service))
        else:
            heapq.heappop(heap)
