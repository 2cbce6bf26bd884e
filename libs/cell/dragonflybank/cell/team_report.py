"""What the leader reports about teams in its log and in its metrics."""

__all__ = ["OTHER_TEAMS", "summarise_teams", "update_team_gauges"]

import collections
import heapq
import itertools

from dragonflybank.cell.metrics import CellMetrics
from dragonflybank.cell.workload import Workload

# Label of the teams that have no time series of their own.
OTHER_TEAMS = "other"
MAX_LOGGED_TEAMS = 10
MAX_TEAM_SERIES = 50


def summarise_teams(workload: Workload) -> dict[str, dict[str, int | float]]:
    """Returns usage, cap and waiting steps of the fullest teams, for the log.

    Empty without teams in the configuration.
    """
    usage = workload.team_usage
    if not usage.is_active:
        return {}
    waiting = _count_waiting_steps(workload)
    fullest = usage.fullest(MAX_LOGGED_TEAMS)
    idle = heapq.nlargest(
        MAX_LOGGED_TEAMS - len(fullest),
        sorted(set(waiting) - set(fullest)),
        key=lambda name: waiting[name],
    )
    summary = {}
    for name in itertools.chain(fullest, idle):
        used, cap = usage.used(name), usage.cap(name)
        summary[name] = {
            "cores": used.millicores // 1000,
            "cap_cores": cap.millicores // 1000,
            "memory_mb": used.memory_mb,
            "cap_memory_mb": cap.memory_mb,
            "accelerators": used.accelerators,
            "cap_accelerators": cap.accelerators,
            "used_share": round(usage.fullness(name), 3),
            "waiting_steps": waiting[name],
        }
    return summary


def update_team_gauges(workload: Workload, metrics: CellMetrics) -> None:
    """Sets the gauges by team.

    The teams with the greatest weights have their own time series, and the
    others share one, so that the number of series is bounded. The choice
    depends on the configuration alone, so that it is the same on each leader.
    """
    usage = workload.team_usage
    if not usage.is_active:
        return
    named = set(
        heapq.nsmallest(
            MAX_TEAM_SERIES,
            usage.teams,
            key=lambda name: (-usage.teams[name].weight, name),
        )
    )
    waiting = _count_waiting_steps(workload)
    cores: collections.Counter[str] = collections.Counter()
    steps: collections.Counter[str] = collections.Counter()
    for name in {*usage.teams, *waiting, *usage.names}:
        label = name if name in named else OTHER_TEAMS
        cores[label] += usage.used(name).millicores / 1000
        steps[label] += waiting[name]
    for gauge, values in (
        (metrics.team_used_cores, cores),
        (metrics.team_waiting_steps, steps),
    ):
        gauge.clear()
        for label, value in values.items():
            gauge.labels(label).set(value)


def _count_waiting_steps(workload: Workload) -> collections.Counter[str]:
    return collections.Counter(
        step.job_state.job.team for step in workload.ready
    )
