"""Calls to an executor that may reach another incarnation than was meant.

A call counts from the moment it is sent. If the incarnation that it was meant
for answers, it is settled. Otherwise it may have been carried out by another
one, or may still be, until `CellLimits.max_call_delay_s` after it was sent.
"""

__all__ = [
    "begin_call",
    "end_call",
    "is_closed",
    "latest_renewal_arrival",
    "may_ack_arrive",
    "note_restart",
]

from dragonflybank.cell.state import Call, Executor


def begin_call(
    executor: Executor,
    arrives_until: float,
    *,
    renews: bool = False,
    acked_end: int = 0,
) -> Call:
    """Records a call that is about to be sent.

    Args:
        executor: The executor.
        arrives_until: Latest time at which it may be carried out, in seconds.
        renews: Whether it may extend the executor's lease.
        acked_end: Number of the last end that it acknowledges; 0 for none.
    """
    call = Call(executor.answered_incarnation, arrives_until, renews, acked_end)
    executor.calls_under_way.add(call)
    return call


def end_call(executor: Executor, call: Call, arrives_until: float) -> None:
    """Records the outcome of a call.

    Args:
        executor: The executor.
        call: The call.
        arrives_until: Latest time at which an incarnation that it wasn't meant
            for may carry it out; negative infinity if none does.
    """
    executor.calls_under_way.discard(call)
    if call.renews:
        executor.renewals_arrive_until = max(
            executor.renewals_arrive_until, arrives_until
        )
    if call.acked_end:
        executor.acks_arrive_until = max(
            executor.acks_arrive_until, arrives_until
        )
    if call.incarnation != executor.answered_incarnation:
        note_restart(executor)


def note_restart(executor: Executor) -> None:
    """Counts all calls without an answer as meant for a former incarnation."""
    executor.former_renewals_arrive_until = executor.renewals_arrive_until
    executor.closed_until = max(
        executor.closed_until,
        executor.acks_arrive_until,
        executor.renewals_arrive_until,
    )


def latest_renewal_arrival(executor: Executor) -> float:
    """Returns the latest time at which a call may extend the lease.

    Calls that are under way count like those that had no answer.
    """
    under_way = (
        call.arrives_until for call in executor.calls_under_way if call.renews
    )
    return max(executor.renewals_arrive_until, *under_way, float("-inf"))


def may_ack_arrive(executor: Executor, now: float) -> bool:
    """Returns whether an acknowledgement without an answer may arrive.

    Args:
        executor: The executor.
        now: Current time.
    """
    return executor.acks_arrive_until > now or any(
        call.acked_end and call.arrives_until > now
        for call in executor.calls_under_way
    )


def is_closed(executor: Executor, now: float) -> bool:
    """Returns whether polls for a former incarnation may still arrive."""
    return executor.closed_until > now or any(
        call.incarnation != executor.answered_incarnation
        and call.arrives_until > now
        and (call.renews or call.acked_end)
        for call in executor.calls_under_way
    )
