"""The order in which the ready steps of a round are placed."""

__all__ = ["steps_in_order"]

from collections.abc import Collection, Iterable
from typing import TYPE_CHECKING

from dragonflybank.cell.decision_round import DecisionRound
from dragonflybank.cell.isolation import is_set_aside, set_step_aside
from dragonflybank.cell.state import StepState
from dragonflybank.cell.step_order import is_restart, step_rank
from dragonflybank.cell.team_shares import fair_order

if TYPE_CHECKING:
    from dragonflybank.cell.leader import Leader


def steps_in_order(
    leader: "Leader",
    current: DecisionRound,
    considered: Collection[StepState],
    unix_time: float,
) -> Iterable[StepState]:
    """Returns the ready steps in the order in which they are placed.

    With teams, the order follows what the teams use while steps are placed.

    Args:
        leader: The leader.
        current: The round.
        considered: Steps that an earlier part of the round has considered.
            Gangs and restarts among them are left out, since their own
            reservations would count against them.
        unix_time: Current time, seconds since 1970.
    """
    ranks = {}
    for step in list(leader.workload.ready):
        if is_set_aside(step, current.now) or (
            step in considered and (step.spec.gang or is_restart(step))
        ):
            continue
        try:
            ranks[step] = step_rank(step, unix_time)
        except Exception:
            set_step_aside(leader, step, current.now)
    usage = leader.workload.team_usage
    if not usage.is_active:
        return sorted(ranks, key=ranks.get)
    leader.workload.rate_meter.judge_new(usage.teams)
    return fair_order(
        ranks, usage, current.capacity, is_overdue=current.is_overdue
    )
