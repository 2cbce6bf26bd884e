"""Waiting steps that the cap, share or rate of their team holds back.

A step that is held back is passed over: it reserves no executors and asks for
no advice, so that it does not hold back other teams.
"""

__all__ = [
    "is_start_within_cap",
    "log_wait",
    "tasks_ahead",
    "tasks_within_cap",
]

import logging
from collections.abc import Sequence

from dragonflybank.cell.decision_round import DecisionRound
from dragonflybank.cell.placement import has_attainable_room
from dragonflybank.cell.state import Attempt, StepState, Task
from dragonflybank.cell.team_shares import is_beyond_rate

_log = logging.getLogger(__name__)

# Shortest time between two log lines that say why a step waits. It doubles from
# line to line, or a long backlog would crowd out all other lines of the log.
HOLD_LOG_INTERVAL_S = 1.0


def tasks_within_cap(
    step: StepState, tasks: list[Task], current: DecisionRound
) -> list[Task]:
    """Returns the tasks that the cap of the step's team leaves room for.

    A gang without room keeps the rest of the cap from later gangs of its team
    and from its team's work of lower priorities.

    Args:
        step: A ready step.
        tasks: Its waiting tasks.
        current: The round.
    """
    state, spec = step.job_state, step.spec
    usage, team = state.team_usage, state.job.team
    if not usage.is_limited(team):
        return tasks
    room = 0
    if not current.waits_for_gang_of_team(step) or current.is_overdue(step):
        room = usage.room_for(
            team, spec, len(tasks), is_job_idle=not state.attempts()
        )
        if not room and _can_start_later(step, tasks, current):
            current.cap_waits.setdefault(team, state.queue.priority)
            if current.is_overdue(step):
                current.starved_teams.add(team)
    if not room:
        _log_hold(step, "cap", current.now)
    return tasks[:room]


def _can_start_later(
    step: StepState, tasks: list[Task], current: DecisionRound
) -> bool:
    """Returns whether a gang starts once its team and others use less."""
    state, spec = step.job_state, step.spec
    accepting = current.accepting.get(state.queue.service, {})
    return (
        spec.gang
        and len(tasks) == step.unfinished_count
        and state.team_usage.may_ever_fit(state.job.team, spec)
        and has_attainable_room(step, len(tasks), accepting.values())
    )


def tasks_ahead(step: StepState) -> int:
    """Returns how many waiting tasks of a step may delay other teams' jobs.

    Those over the cap of their team do not, nor does a job beyond the rate.
    """
    state, tasks = step.job_state, len(step.waiting_tasks())
    if is_beyond_rate(step):
        return 0
    if not state.team_usage.is_limited(state.job.team):
        return tasks
    return state.team_usage.room_for(state.job.team, step.spec, tasks)


def log_wait(step: StepState, current: DecisionRound) -> None:
    """Logs that a step waits for its team's rate or share, if it does.

    Args:
        step: A step that was not placed.
        current: The round.
    """
    state, service = step.job_state, step.job_state.queue.service
    usage, team = state.team_usage, state.job.team
    if not team or not usage.is_active:
        return
    share = usage.dominant_share(team, service, current.capacity(service))
    if is_beyond_rate(step):
        _log_hold(step, "rate", current.now, share)
    elif share > usage.guaranteed_share(team):
        _log_hold(step, "share", current.now, share)


def is_start_within_cap(step: StepState, attempts: Sequence[Attempt]) -> bool:
    """Returns whether reserved attempts of a step may still be started.

    The cap of the team may have been lowered since their reservation.
    """
    state = step.job_state
    return state.team_usage.covers(
        state.job.team,
        step.spec,
        len(attempts),
        is_first=len(state.attempts()) == 1,
    )


def _log_hold(
    step: StepState, reason: str, now: float, share: float | None = None
) -> None:
    """Logs why a step waits, less and less often while it goes on waiting.

    Args:
        step: The step.
        reason: ``cap``, ``share`` or ``rate``.
        now: Current time of the leader's monotonic clock, in seconds.
        share: Share of the service that the team uses, if it is the reason.
    """
    ready_at = now if step.ready_at is None else step.ready_at
    interval_s = max(HOLD_LOG_INTERVAL_S, step.hold_logged_at - ready_at)
    if now - step.hold_logged_at < interval_s:
        return
    step.hold_logged_at = now
    team = step.job_state.job.team
    usage = step.job_state.team_usage
    used, cap = usage.used(team), usage.cap(team)
    _log.info(
        "held back",
        extra={
            "step": step.name,
            "team": team,
            "reason": reason,
            "used_millicores": used.millicores,
            "cap_millicores": cap.millicores,
            "used_memory_mb": used.memory_mb,
            "cap_memory_mb": cap.memory_mb,
            "used_accelerators": used.accelerators,
            "cap_accelerators": cap.accelerators,
            **(
                {}
                if share is None
                else {
                    "share": round(share, 3),
                    "guaranteed_share": round(usage.guaranteed_share(team), 3),
                }
            ),
        },
    )
