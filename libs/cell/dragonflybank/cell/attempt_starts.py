"""Starts of planned tasks, at once or after a call for tickets."""

__all__ = ["reserve_tasks", "start_attempts", "start_reserved"]

import logging
from collections.abc import Sequence
from typing import TYPE_CHECKING

from dragonflybank.cell.capacity import accepts_reserved
from dragonflybank.cell.state import (
    Attempt,
    AttemptPhase,
    Executor,
    StepState,
    Task,
)
from dragonflybank.cell.step_holds import is_start_within_cap
from dragonflybank.cell.tickets import valid_ticket

if TYPE_CHECKING:
    from dragonflybank.cell.leader import Leader

_log = logging.getLogger(__name__)


def reserve_tasks(
    leader: "Leader",
    step: StepState,
    pairs: Sequence[tuple[Task, Executor]],
    now: float,
) -> list[Attempt]:
    """Reserves resources for planned tasks; a gang shares one attempt number.

    Args:
        leader: The leader.
        step: The step.
        pairs: Pairs of a task and its executor.
        now: Current time of the leader's monotonic clock, in seconds.
    """
    workload, manager = leader.workload, leader.attempts
    if step.spec.gang:
        number = workload.next_attempt_number([task for task, _ in pairs])
        return manager.reserve_attempts(step, pairs, number, now)
    return [
        attempt
        for pair in pairs
        for attempt in manager.reserve_attempts(
            step, [pair], workload.next_attempt_number([pair[0]]), now
        )
    ]


def start_attempts(
    leader: "Leader", step: StepState, attempts: list[Attempt], now: float
) -> None:
    """Starts reserved attempts and logs where they were placed.

    Args:
        leader: The leader.
        step: The step.
        attempts: Its reserved attempts.
        now: Current time of the leader's monotonic clock, in seconds.
    """
    waited_s = now - (step.ready_at or now)
    waits = leader.metrics.placement_wait_seconds.labels(
        step.job_state.queue.priority
    )
    for attempt in attempts:
        waits.observe(waited_s)
        _log.info(
            "place",
            extra={
                **attempt.log_fields,
                "free_millicores": attempt.executor.free_millicores,
                "waited_s": round(waited_s, 3),
                "gang": step.spec.gang,
            },
        )
    leader.attempts.start_attempts(step, attempts)


def start_reserved(
    leader: "Leader", step: StepState, attempts: list[Attempt], now: float
) -> None:
    """Starts those attempts that waited for tickets and may still start.

    Args:
        leader: The leader.
        step: The step.
        attempts: Attempts that were reserved before the call for tickets.
        now: Current time of the leader's monotonic clock, in seconds.
    """
    usable, rest = [], []
    for attempt in attempts:
        if attempt.phase is not AttemptPhase.RESERVED:
            continue
        executor = attempt.executor
        is_usable = (
            valid_ticket(step, executor.info.id, now)
            and accepts_reserved(attempt, now)
            # The queue may have been moved during the call for tickets.
            and executor.info.service == step.job_state.queue.service
        )
        (usable if is_usable else rest).append(attempt)
    if rest and step.spec.gang or step.job_state.phase.is_final:
        usable, rest = [], [*usable, *rest]
    for attempt in rest:
        leader.attempts.stop(attempt, "no valid ticket")
    while usable and not is_start_within_cap(step, usable):
        # The cap was lowered during the call for tickets. A leader that is
        # closing has no links and leaves the attempts reserved.
        kept = 0 if step.spec.gang else len(usable) - 1
        for attempt in usable[kept:]:
            leader.attempts.stop(attempt, "over the cap of its team")
        usable = usable[:kept]
    start_attempts(leader, step, usable, now)
