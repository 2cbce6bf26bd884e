"""What a host knows of the contact with a worker and of its leases."""

__all__ = ["WorkerLiveness"]

import attrs

from dragonflybank.cluster.membership import PAUSE_THRESHOLD_S
from dragonflybank.model.leases import LEASE_MARGIN_S, LEASE_S

# One lost answer is often a silent connection, which is replaced at once.
FAILURES_BEFORE_UNREACHABLE = 2


@attrs.define
class WorkerLiveness:
    """Bookkeeping of answered and unanswered calls to one worker.

    Attributes:
        failures: Consecutive calls without an answer.
        is_unconfirmed: Whether the last renewal has no answer. No renewal is
            sent then before the worker has answered a probe, so that the
            latest possible renewal does not move while it is unreachable.
        lease_from: Latest time at which a renewal or start that may have
            reached the worker was sent, seconds since 1970.
        taken_over_at: Time since which this host alone is responsible for a
            worker that it could not claim, or None.
        attended_at: Time of the last ownership step.
        must_verify: Whether this host may have lost the worker while it was
            paused; it then stays the owner only if the worker confirms it.
    """

    failures: int = 0
    is_renewal_unconfirmed: bool = False
    last_lease_sent_at: float = 0.0
    taken_over_at: float | None = None
    last_step_at: float = 0.0
    must_verify: bool = False

    @property
    def is_reachable(self) -> bool:
        """Whether calls are answered."""
        return self.failures < FAILURES_BEFORE_UNREACHABLE

    def on_answer(self) -> None:
        """Notes an answer of the worker."""
        self.failures = 0
        self.is_renewal_unconfirmed = False
        self.must_verify = False
        self.taken_over_at = None

    def on_no_answer(self) -> None:
        """Notes a call without an answer."""
        self.failures += 1

    def require_confirmation(self) -> None:
        """Treats the worker as unreachable until it confirms the owner."""
        self.must_verify = True
        self.failures = max(self.failures, FAILURES_BEFORE_UNREACHABLE)
        self.is_renewal_unconfirmed = True

    def on_lease_sent(self, at: float) -> None:
        """Notes a renewal or a start that may reach the worker."""
        self.last_lease_sent_at = max(self.last_lease_sent_at, at)

    def on_takeover(self, now: float) -> None:
        """Starts the worst case of the former owner's last renewal."""
        if self.taken_over_at is None:
            self.taken_over_at = now

    def on_pause(self, now: float) -> None:
        """Counts again from now, after this process was paused."""
        self.last_lease_sent_at = max(self.last_lease_sent_at, now)
        if self.taken_over_at is not None:
            self.taken_over_at = now

    def have_leases_expired(self, now: float, *, owned: bool) -> bool:
        """Returns whether every lease of the worker has surely ended.

        Args:
            now: Present time.
            owned: Whether this host is the owner; otherwise the time counts
                from its takeover.
        """
        start = self.last_lease_sent_at if owned else self.taken_over_at
        if start is None or now - self.last_step_at > PAUSE_THRESHOLD_S:
            return False
        return now >= start + LEASE_S + LEASE_MARGIN_S
