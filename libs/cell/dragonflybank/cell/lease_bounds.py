"""How long an executor may still run an attempt, by the platform's limits.

An executor may restart under its identifier. Calls that were meant for its
former incarnation are then carried out by the new one, at once or up to
`CellLimits.max_call_delay_s` after they were sent if they had no answer. The
expiry of a lease is a time on the former clock, and the new clock starts at any
value, so that the new incarnation may grant the longest lease that it grants at
all. What a leader asked for therefore bounds only the incarnation whose clock
it knows.

An attempt that was seen in an incarnation ends with it, and so does one whose
ticket was issued to an incarnation that has answered since: the executor
refuses that ticket in all later ones. Another attempt may begin in a newer
incarnation as long as a start of it may arrive. All decisions that an attempt
is over without the executor's word are made by `find_hold`, which also names
the term that decides.

A new leader that has not heard an executor counts from its own election, unless
a former leader has suspended the executor's lease; see `lease_suspensions`.
"""

__all__ = [
    "Hold",
    "HoldReason",
    "find_hold",
    "has_lease_expired",
    "is_out_of_touch",
    "known_lease_end",
    "latest_start_arrival",
    "longest_lease_s",
    "may_late_start_arrive",
    "may_run_until",
    "needs_lease",
    "running_orphans",
]

import enum
from collections.abc import Iterable, Iterator

import attrs

from dragonflybank.cell.incarnations import MIN_CLOCK_RATE
from dragonflybank.cell.jobs import Queue, TaskId
from dragonflybank.cell.limits import CellLimits
from dragonflybank.cell.state import Attempt, Executor

# Covers the time from an executor's reading of its clock until it has killed
# its attempts.
LEASE_EXPIRY_MARGIN_S = 0.3
# Longest time from an executor's reply until an acknowledgement is sent.
MAX_ACK_AGE_S = 1.5
# A leader that cannot confirm its key still renews leases for this long, so
# that running work survives a store outage.
MAX_UNCONFIRMED_RENEWAL_S = 6.0


class HoldReason(enum.StrEnum):
    """The term of the bound that holds an attempt longest.

    Attributes:
        LEASE: The lease of the incarnation that answered last.
        LATE_FORMER_RENEWAL: A renewal meant for a former incarnation may
            extend the lease of the present one.
        LATE_START: A start without an answer may begin it in a newer
            incarnation, which grants the longest lease.
        LATE_RENEWAL: A renewal without an answer may extend the lease of that
            newer incarnation.
        FORMER_LEADER: Former leaders may renew the lease for some time after
            the election.
        SUSPENDED: What the leader that suspended the lease counted.
    """

    LEASE = "lease"
    LATE_FORMER_RENEWAL = "late renewal for a former incarnation"
    LATE_START = "late start"
    LATE_RENEWAL = "late renewal"
    FORMER_LEADER = "renewals of former leaders"
    SUSPENDED = "suspended lease"


@attrs.frozen
class Hold:
    """Until when an attempt may run if its executor isn't heard again.

    Attributes:
        until: The time, on the leader's clock, in seconds.
        reason: The term of the bound that is last.
    """

    until: float
    reason: HoldReason


def longest_lease_s(limits: CellLimits) -> float:
    """Returns the longest time that a call lets attempts run, in seconds."""
    return limits.max_lease_s / MIN_CLOCK_RATE + LEASE_EXPIRY_MARGIN_S


def latest_start_arrival(
    queue: Queue, limits: CellLimits, sent_at: float
) -> float:
    """Returns the latest time at which a start without an answer may begin.

    Args:
        queue: The queue of its job. An executor refuses a start whose ticket
            has expired, or was issued for another incarnation.
        limits: Limits of the platform.
        sent_at: Time at which the start was sent, in seconds.
    """
    advised = queue.advised
    validity_s = advised.valid_s if advised is not None else float("inf")
    return sent_at + min(limits.max_call_delay_s, validity_s)


def is_out_of_touch(executor: Executor) -> bool:
    """Returns whether an executor's own lists can't settle its attempts."""
    return executor.silent_since is not None or not executor.claimed


def find_hold(
    attempt: Attempt, limits: CellLimits, leader_since: float
) -> Hold:
    """Returns how long an attempt may run if its executor isn't heard again.

    Args:
        attempt: An attempt whose start may have been sent.
        limits: Limits of the platform.
        leader_since: Time at which this leader was elected, in seconds.
    """
    hold = max(
        _possible_holds(attempt, limits, leader_since),
        key=lambda hold: hold.until,
    )
    suspension = attempt.executor.suspension
    if suspension is None:
        return hold
    held_s = suspension.record.held_s_of(str(attempt.task.id), attempt.number)
    suspended = Hold(suspension.began_at + held_s, HoldReason.SUSPENDED)
    # Each bound is enough by itself.
    return min(hold, suspended, key=lambda hold: hold.until)


def may_run_until(
    attempt: Attempt, limits: CellLimits, leader_since: float
) -> float:
    """Returns the time of `find_hold`, on the leader's clock in seconds."""
    return find_hold(attempt, limits, leader_since).until


def _possible_holds(
    attempt: Attempt, limits: CellLimits, leader_since: float
) -> Iterator[Hold]:
    """Yields the terms of the bound that apply to an attempt."""
    executor, lease_s = attempt.executor, longest_lease_s(limits)
    late_start = Hold(
        attempt.start_arrives_until + lease_s, HoldReason.LATE_START
    )
    if not executor.answered_incarnation:
        yield Hold(
            _former_leases_end(limits, leader_since), HoldReason.FORMER_LEADER
        )
        yield late_start
        return
    yield Hold(known_lease_end(executor), HoldReason.LEASE)
    yield Hold(
        executor.former_renewals_arrive_until + lease_s,
        HoldReason.LATE_FORMER_RENEWAL,
    )
    if not attempt.is_bound_to_known_incarnation:
        yield late_start
        yield Hold(
            executor.renewals_arrive_until + lease_s, HoldReason.LATE_RENEWAL
        )


def may_late_start_arrive(executor: Executor, now: float) -> bool:
    """Returns whether a start may begin an attempt in an unknown incarnation.

    That one may end the attempt, and an acknowledgement that is meant for the
    known incarnation would remove the end before anyone has read it. Such an
    acknowledgement is sent some time after the executor last replied.

    Args:
        executor: The executor.
        now: Current time.
    """
    return any(
        attempt.start_arrives_until + MAX_ACK_AGE_S > now
        and not attempt.is_bound_to_known_incarnation
        for attempt in executor.attempts.values()
    )


def needs_lease(executor: Executor, confirmed_at: float, now: float) -> bool:
    """Returns whether an executor's lease has to be renewed.

    The lease of a silent executor is not renewed, so that it expires if the
    executor is gone. Nor is a suspended one, on which the next leader relies.
    An executor that runs nothing needs no lease; without
    one, it is known to run nothing soon after it is gone.

    Args:
        executor: The executor.
        confirmed_at: Time at which the leadership was last confirmed.
        now: Current time.
    """
    return (
        executor.claimed
        and executor.silent_since is None
        and executor.suspension is None
        and bool(executor.attempts or executor.orphan_attempts)
        and now - confirmed_at <= MAX_UNCONFIRMED_RENEWAL_S
    )


def known_lease_end(executor: Executor) -> float:
    """Returns when the lease of the known incarnation ends at the latest."""
    left_s = executor.lease_until_s - executor.clock_s
    return (
        executor.last_reply_at + left_s / MIN_CLOCK_RATE + LEASE_EXPIRY_MARGIN_S
    )


def has_lease_expired(executor: Executor, now: float) -> bool:
    """Returns whether the lease of the known incarnation has expired."""
    return now >= known_lease_end(executor)


def running_orphans(
    executors: Iterable[Executor], now: float
) -> Iterator[tuple[TaskId, int]]:
    """Yields the orphan attempts that executors may still run."""
    for executor in executors:
        if executor.orphan_attempts and not (
            executor.silent_since is not None
            and has_lease_expired(executor, now)
        ):
            yield from executor.orphan_attempts


def _former_leases_end(limits: CellLimits, leader_since: float) -> float:
    """Returns until when leases that former leaders renewed may last.

    They counted them on the clock of an incarnation that had just answered. A
    renewal that arrives late at a newer one finds nothing to extend, since
    that gets no work as long as one may arrive (`Executor.closed_until`).
    """
    return (
        leader_since
        + MAX_UNCONFIRMED_RENEWAL_S
        + limits.lease_s / MIN_CLOCK_RATE
        + 2 * LEASE_EXPIRY_MARGIN_S
    )
