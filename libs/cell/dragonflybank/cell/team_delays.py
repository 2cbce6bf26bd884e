"""The waits of new jobs of teams that ask for more than their part.

A team that has used up its rate is served after all others, and a team that has
used up its cap waits for its own work. Their new jobs are refused by these
delays while those of the other teams are accepted, so that the refusals cost
callers least: the work of a team within its rate and cap, urgent or not, is
never refused for the sake of work beyond them.
"""

__all__ = ["estimate_team_delays"]

import collections
import itertools
from collections.abc import Collection, Iterable, Mapping

from dragonflybank.cell.messages import TeamDelay
from dragonflybank.cell.state import StepState
from dragonflybank.cell.step_holds import tasks_ahead
from dragonflybank.cell.step_order import remains_useful
from dragonflybank.cell.team_shares import is_beyond_rate
from dragonflybank.cell.team_usage import TeamUsage
from dragonflybank.cell.teams import ResourceCap

# Bounds the size of the answers to other hosts; the longest delays are kept.
MAX_DELAYS = 60


def estimate_team_delays(
    steps: Iterable[StepState],
    usage: TeamUsage,
    *,
    over_rate: Collection[str],
    usable_millicores: Mapping[str, float],
    min_delay_s: float,
    unix_time: float,
) -> tuple[TeamDelay, ...]:
    """Returns the delays of new jobs by team, the longest first.

    Args:
        steps: Steps with waiting tasks.
        usage: What the teams use, and their caps.
        over_rate: Teams whose next job would be beyond their rate.
        usable_millicores: CPU cores that placement keeps busy, in thousandths
            of a core, by service.
        min_delay_s: Shorter delays are left out, in seconds.
        unix_time: Current time, seconds since 1970.
    """
    if not usage.is_active:
        return ()
    # Core-seconds in thousandths, by service and priority.
    within: dict[str, float] = collections.defaultdict(float)
    beyond: dict[str, dict[int, float]] = {}
    own: dict[str, dict[int, list[StepState]]] = {}
    priorities: dict[str, set[int]] = collections.defaultdict(set)
    for step in steps:
        if not remains_useful(step, unix_time):
            continue
        queue, team = step.job_state.queue, step.job_state.job.team
        priorities[queue.service].add(queue.priority)
        own.setdefault(team, {}).setdefault(queue.priority, []).append(step)
        if is_beyond_rate(step):
            found = beyond.setdefault(queue.service, {})
            found[queue.priority] = found.get(queue.priority, 0.0) + _work(
                step, len(step.waiting_tasks())
            )
        else:
            within[queue.service] += _work(step, tasks_ahead(step))
    delays = []
    for service, team in itertools.product(priorities, usage.teams):
        usable = usable_millicores.get(service, 0.0)
        if not usable:
            continue
        for priority in sorted(priorities[service]):
            seconds = _cap_delay_s(usage.cap(team), own.get(team, {}), priority)
            if team in over_rate:
                ahead = within[service] + sum(
                    work
                    for other, work in beyond.get(service, {}).items()
                    if other <= priority
                )
                seconds = max(seconds, ahead / usable)
            if seconds >= min_delay_s:
                delays.append(TeamDelay(service, priority, seconds, team))
    delays.sort(key=lambda delay: -delay.seconds)
    return tuple(delays[:MAX_DELAYS])


def _work(step: StepState, tasks: int) -> float:
    """Returns core-seconds of tasks, in thousandths."""
    if step.spec.filling:
        return 0.0
    return tasks * step.spec.millicores * step.spec.estimate_s


def _cap_delay_s(
    cap: ResourceCap, own: Mapping[int, list[StepState]], priority: int
) -> float:
    """Returns how long a team's waiting work takes under its cap, in seconds.

    Args:
        cap: The cap of the team.
        own: The team's steps with waiting tasks, by priority.
        priority: Priority of the new job; work of lower ones comes after it.
    """
    ahead = [
        (len(step.waiting_tasks()) * step.spec.estimate_s, step.spec)
        for found, steps in own.items()
        if found <= priority
        for step in steps
    ]
    return max(
        (
            sum(seconds * need(spec) for seconds, spec in ahead) / limit
            for limit, need in (
                (cap.millicores, lambda spec: spec.millicores),
                (cap.memory_mb, lambda spec: spec.memory_mb),
                (cap.accelerators, lambda spec: spec.accelerators),
            )
            if limit
        ),
        default=0.0,
    )
