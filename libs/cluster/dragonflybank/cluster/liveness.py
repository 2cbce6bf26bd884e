"""Reachability of one worker and the times that bound its leases."""

__all__ = ["WorkerLiveness"]

import attrs

from dragonflybank.cluster.membership import PAUSE_THRESHOLD_S
from dragonflybank.model.leases import LEASE_MARGIN_S, LEASE_S

# A single lost answer is often due to a connection that stopped responding,
# which the client replaces at once.
UNANSWERED_BEFORE_UNREACHABLE = 2


@attrs.define
class WorkerLiveness:
    """Tracks answered and unanswered calls and leases of one worker.

    Attributes:
        unanswered_calls: Consecutive calls without an answer.
        is_renewal_unconfirmed: Whether the last renewal has no answer. The
            next renewal is then sent only after the worker has answered a
            probe; otherwise each attempt would postpone the time by which the
            leases of an unreachable worker have certainly expired.
        last_lease_sent_at: Latest time at which a renewal or start that may
            have reached the worker was sent, seconds since 1970.
        taken_over_at: Time since which no other host can renew the leases of a
            worker that this host could not claim, None if there is none.
        last_step_at: Time of the last ownership step. If it is long ago, this
            process was paused; leases do not count as expired and no start is
            sent until the next step.
        must_verify: Whether another host may have claimed the worker while
            this process was paused; this host then stays the owner only if the
            worker confirms it.
    """

    unanswered_calls: int = 0
    is_renewal_unconfirmed: bool = False
    last_lease_sent_at: float = 0.0
    taken_over_at: float | None = None
    last_step_at: float = 0.0
    must_verify: bool = False

    @property
    def is_reachable(self) -> bool:
        """Whether the worker answers calls."""
        return self.unanswered_calls < UNANSWERED_BEFORE_UNREACHABLE

    def on_answer(self) -> None:
        """Records an answer of the worker."""
        self.unanswered_calls = 0
        self.is_renewal_unconfirmed = False
        self.must_verify = False
        self.taken_over_at = None

    def on_no_answer(self) -> None:
        """Records a call without an answer."""
        self.unanswered_calls += 1

    def require_confirmation(self) -> None:
        """Treats the worker as unreachable until it confirms its owner."""
        self.must_verify = True
        self.unanswered_calls = max(
            self.unanswered_calls, UNANSWERED_BEFORE_UNREACHABLE
        )
        self.is_renewal_unconfirmed = True

    def on_lease_sent(self, at: float) -> None:
        """Records the time of a renewal or start that may reach the worker."""
        self.last_lease_sent_at = max(self.last_lease_sent_at, at)

    def on_takeover(self, now: float) -> None:
        """Starts the wait for the expiry of the former owner's leases."""
        if self.taken_over_at is None:
            self.taken_over_at = now

    def on_pause(self, now: float) -> None:
        """Restarts the lease times after this process was paused."""
        self.last_lease_sent_at = max(self.last_lease_sent_at, now)
        if self.taken_over_at is not None:
            self.taken_over_at = now

    def was_paused(self, now: float) -> bool:
        """Returns whether this host was paused and has made no step since."""
        return now - self.last_step_at > PAUSE_THRESHOLD_S

    def have_leases_expired(self, now: float, *, is_owned: bool) -> bool:
        """Returns whether every lease of the worker has certainly expired.

        Every lease ends at a time on the worker's clock that was computed
        before the call was sent, and at most ``LEASE_S`` later. So it does not
        matter when the worker carries the call out.

        Args:
            now: Current time.
            is_owned: Whether this host is the owner. The time counts from the
                last lease that it sent if so, otherwise from its takeover.
        """
        start = self.last_lease_sent_at if is_owned else self.taken_over_at
        if start is None or self.was_paused(now):
            return False
        return now >= start + LEASE_S + LEASE_MARGIN_S
