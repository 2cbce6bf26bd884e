"""The leader's link to one executor: polls, lease renewals, starts and stops.

A command without a reply may have been executed, or may be executed seconds
later. A start is therefore sent again with the same attempt number, which the
executor starts only once. If that fails too, the attempt is stopped, since an
executor never starts an attempt after it has received a stop for it. The
attempt occupies its resources until a list requested afterwards lacks it, the
executor has a new incarnation, or the lease has expired on the executor's
clock. A command without a reply may also reach a new incarnation at the same
address; the attempt is stopped there too.

Ends are acknowledged by polls that don't wait, sent right after a reply of the
same incarnation. A new incarnation counts its ends anew, and a poll meant for a
former one would remove them unread. A poll that waits is often under way at a
crash, so it acknowledges nothing.
"""

__all__ = [
    "ExecutorLink",
    "has_lease_expired",
    "max_old_lease_s",
    "running_orphans",
]

import asyncio
import logging
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from dragonflybank.cell.background import BackgroundTasks
from dragonflybank.cell.incarnations import (
    MIN_CLOCK_RATE,
    identify_answerer,
)
from dragonflybank.cell.jobs import TaskId
from dragonflybank.cell.ports import (
    CommandAnswer,
    CommandReply,
    ExecutorClient,
    PollReply,
    StartCommand,
)
from dragonflybank.cell.state import Attempt, AttemptPhase, Executor
from dragonflybank.model.codes import Code, Problem

if TYPE_CHECKING:
    from dragonflybank.cell.leader import Leader

_log = logging.getLogger(__name__)

# The platform allows a wait of 2 s; a shorter one detects silence earlier.
POLL_WAIT_S = 1.5
# An executor without attempts is only polled to see whether it still runs.
IDLE_POLL_WAIT_S = 2.0
RETRY_DELAY_S = 0.15
# Maximum wait between polls while the effect of ends is not stored yet.
UNSTORED_ENDS_WAIT_S = 0.3
# Load figures of serving tasks cover half a second. They are read this often
# while filling tasks run beside them.
THROTTLED_POLL_WAIT_S = 0.5
UNKNOWN_SPEED_PERCENT = -1
MAX_START_TRIES = 3
# Covers the time from an executor's reading of its clock until it has killed
# its attempts.
LEASE_EXPIRY_MARGIN_S = 0.3
# A leader that cannot confirm its key still renews leases for this long, so
# that running work survives a store outage.
MAX_UNCONFIRMED_RENEWAL_S = 6.0


def has_lease_expired(executor: Executor, now: float) -> bool:
    """Returns whether an executor's lease has expired on its own clock."""
    left_s = executor.lease_until_s - executor.clock_s
    waited_s = now - executor.last_reply_at
    return waited_s >= left_s / MIN_CLOCK_RATE + LEASE_EXPIRY_MARGIN_S


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


def max_old_lease_s(lease_s: float) -> float:
    """Returns how long leases of earlier leaders can last after an election.

    Args:
        lease_s: Duration of a lease in seconds.

    Returns:
        Seconds after the election.
    """
    return (
        MAX_UNCONFIRMED_RENEWAL_S
        + lease_s / MIN_CLOCK_RATE
        + 2 * LEASE_EXPIRY_MARGIN_S
    )


class ExecutorLink:
    """Polls one executor and sends it commands.

    Args:
        leader: The leader.
        executor: State of the executor.
        client: Connections to the executor.
    """

    def __init__(
        self, leader: "Leader", executor: Executor, client: ExecutorClient
    ):
        self._leader = leader
        self._executor = executor
        self._client = client
        # A number of marked changes, and the number of the last end that may be
        # acknowledged once these changes are stored.
        self._pending_ack = (0, 0)
        self._background = BackgroundTasks(leader.background.on_failure)

    def start_polling(self) -> None:
        """Starts to poll the executor in the background."""
        self._background.spawn(self._poll_forever())

    def resume(self) -> None:
        """Stops attempts to which calls of an earlier link were under way."""
        for attempt in list(self._executor.attempts.values()):
            if attempt.phase is AttemptPhase.STARTING and attempt.is_start_sent:
                self.stop(attempt)
            elif (
                attempt.phase is AttemptPhase.STOPPING
                and attempt.absence_conclusive_after is None
            ):
                self._background.spawn(self._stop(attempt))

    async def close(self) -> None:
        """Ends all calls."""
        await self._background.close()
        await self._client.close()

    def reset_acknowledgement(self) -> None:
        """Drops the acknowledgement meant for an earlier incarnation."""
        self._pending_ack = (0, 0)

    def start(self, attempt: Attempt, ticket: str) -> None:
        """Sends a command to start an attempt, in the background."""
        self._background.spawn(self._start(attempt, ticket))

    def stop(self, attempt: Attempt) -> None:
        """Sends commands to stop an attempt, in the background."""
        if not attempt.is_ending:
            attempt.phase = AttemptPhase.STOPPING
            attempt.absence_conclusive_after = None
            self._background.spawn(self._stop(attempt))

    def throttle(self, attempt: Attempt, percent: int) -> None:
        """Limits an attempt to a percentage of its speed, in the background."""
        attempt.speed_percent = percent
        self._background.spawn(self._throttle(attempt, percent))

    def stop_orphan(self, key: tuple) -> None:
        """Stops an attempt of an ended job, in the background."""
        self._background.spawn(
            self._client.stop(*key, epoch=self._leader.leadership.epoch)
        )

    def _record_lease_request(self, now: float) -> float:
        """Returns the lease expiry to request, and records it.

        A call without a reply may have extended the lease, so the latest
        expiry ever requested counts.
        """
        executor = self._executor
        clock_s = executor.clock_s + now - executor.last_reply_at
        until_s = clock_s + self._leader.limits.lease_s
        executor.lease_until_s = max(executor.lease_until_s, until_s)
        return until_s

    def _poll_lease_until_s(self, now: float) -> float:
        """Returns the lease expiry to request with a poll, 0 for none.

        The lease of a silent executor is not renewed, so that it expires if
        the executor is gone. An executor that runs nothing needs no lease;
        without one, it is known to run nothing soon after it is gone.
        """
        executor, leadership = self._executor, self._leader.leadership
        is_used = executor.attempts or executor.orphan_attempts
        is_silent = executor.silent_since is not None
        confirmed_s = now - leadership.confirmed_at
        if (
            not executor.claimed
            or not is_used
            or is_silent
            or confirmed_s > MAX_UNCONFIRMED_RENEWAL_S
        ):
            return 0.0
        return self._record_lease_request(now)

    async def _poll_forever(self) -> None:
        leader, executor = self._leader, self._executor
        while True:
            now = leader.clock.now()
            self._acknowledge()
            is_silent = executor.silent_since is not None
            has_acks = executor.acked_end > executor.confirmed_ack
            acked_end = executor.acked_end if has_acks and not is_silent else 0
            wait = (
                executor.claimed
                and not (is_silent or has_acks)
                and executor.acked_end >= executor.seen_end
            )
            got = await self._client.poll(
                epoch=leader.leadership.epoch,
                acked_end=acked_end,
                lease_until_s=self._poll_lease_until_s(now),
                wait_s=self._poll_wait_s() if wait else 0.0,
            )
            self._record_outcome(got, now, acked_end)
            match got:
                case Success(PollReply(status=CommandReply.OK) as reply):
                    if leader.fleet.process_poll(executor, reply, sent_at=now):
                        self._pending_ack = (
                            leader.committer.changes_marked,
                            executor.seen_end,
                        )
                    if executor.is_ack_blocked:
                        await leader.clock.sleep(UNSTORED_ENDS_WAIT_S)
                    elif executor.acked_end < executor.seen_end:
                        # Polls return at once while ends are unacknowledged.
                        await self._wait_until_stored()
                case Success(PollReply(status=CommandReply.FENCED)):
                    leader.on_fenced(executor)
                    return
                case Success(PollReply(status=CommandReply.OTHER_INSTANCE)):
                    leader.fleet.on_other_instance(executor)
                    await leader.clock.sleep(RETRY_DELAY_S)
                case Success(reply):
                    _log.warning(
                        "poll refused",
                        extra={
                            "executor": executor.info.id,
                            "reply": reply.status.value,
                        },
                    )
                    await leader.clock.sleep(RETRY_DELAY_S)
                case Failure(failed):
                    leader.fleet.on_call_failed(executor, failed)
                    await leader.clock.sleep(RETRY_DELAY_S)

    def _record_outcome(
        self,
        got: Result[PollReply, Problem],
        sent_at: float,
        acked_end: int,
    ) -> None:
        """Records what a poll without an answer may still do when it arrives.

        Args:
            got: The outcome of the poll.
            sent_at: Time at which it was sent.
            acked_end: Number of the last end that it acknowledged.
        """
        executor = self._executor
        match got:
            case Success(reply):
                if reply.incarnation == executor.answered_incarnation:
                    executor.confirmed_ack = max(
                        executor.confirmed_ack, acked_end
                    )
            case Failure(Problem(code=Code.TIMED_OUT)) if acked_end:
                executor.acks_arrive_until = max(
                    executor.acks_arrive_until,
                    sent_at + self._leader.limits.max_call_delay_s,
                )

    def _poll_wait_s(self) -> float:
        attempts = self._executor.attempts
        specs = [a.task.step.spec for a in attempts.values()]
        if any(s.filling for s in specs) and any(
            s.tail_target_s for s in specs
        ):
            return THROTTLED_POLL_WAIT_S
        return POLL_WAIT_S if attempts else IDLE_POLL_WAIT_S

    def _acknowledge(self) -> None:
        marker, number = self._pending_ack
        if self._executor.is_ack_blocked:
            return
        if self._leader.committer.changes_stored >= marker:
            self._executor.acked_end = max(self._executor.acked_end, number)

    async def _wait_until_stored(self) -> None:
        try:
            async with asyncio.timeout(UNSTORED_ENDS_WAIT_S):
                await self._leader.committer.wait_until_stored()
        except TimeoutError:
            # Leases must be renewed even while the store does not answer.
            return

    async def _start(self, attempt: Attempt, ticket: str) -> None:
        leader = self._leader
        for sent in range(MAX_START_TRIES):
            if attempt.phase is not AttemptPhase.STARTING:
                return
            now = leader.clock.now()
            if not leader.leadership.may_start_attempts(now):
                break
            command = StartCommand(
                attempt.task.id,
                attempt.number,
                leader.leadership.epoch,
                attempt.task.step.job_state.job.spec,
                self._record_lease_request(now),
                attempt.task.checkpoint,
                ticket,
            )
            attempt.is_start_sent = True
            got = await self._client.start(command)
            if isinstance(got, Success):
                answer = got.unwrap()
                reply = answer.reply
                self._log_answer(
                    "start answered", attempt, answer, now, tries=sent + 1
                )
                if reply is CommandReply.OK or not sent:
                    leader.attempts.on_start_reply(attempt, reply)
                    return
                break
            failed = got.failure()
            if failed.code is Code.UNREACHABLE and not sent:
                leader.attempts.on_start_reply(attempt, CommandReply.UNHEALTHY)
                return
        if attempt.phase is AttemptPhase.STARTING:
            leader.attempts.on_start_outcome_unknown(attempt)

    def _log_answer(
        self,
        event: str,
        attempt: Attempt,
        answer: CommandAnswer,
        sent_at: float,
        **fields,
    ) -> None:
        """Logs which incarnation a command was meant for, and which answered.

        Args:
            event: Name of the event.
            attempt: The attempt that the command was about.
            answer: The answer.
            sent_at: Time at which the command was sent.
            **fields: Further fields of the log line.
        """
        executor = self._executor
        _log.info(
            event,
            extra={
                **attempt.log_fields,
                "reply": answer.reply.value,
                "meant_for": executor.answered_incarnation,
                "answered_by": identify_answerer(
                    executor, answer.clock_s, sent_at
                ).value,
                "executor_clock_s": answer.clock_s,
                **fields,
            },
        )

    async def _throttle(self, attempt: Attempt, percent: int) -> None:
        got = await self._client.throttle(
            attempt.task.id,
            attempt.number,
            percent=percent,
            epoch=self._leader.leadership.epoch,
        )
        if not isinstance(got, Success) and attempt.speed_percent == percent:
            # Sent again after the next poll reply.
            attempt.speed_percent = UNKNOWN_SPEED_PERCENT

    async def _stop(self, attempt: Attempt) -> None:
        leader, executor = self._leader, self._executor
        key = (attempt.task.id, attempt.number)
        while executor.attempts.get(key) is attempt:
            sent_at = leader.clock.now()
            got = await self._client.stop(*key, epoch=leader.leadership.epoch)
            if isinstance(got, Success):
                answer = got.unwrap()
                self._log_answer("stop answered", attempt, answer, sent_at)
                if answer.reply is CommandReply.OK:
                    attempt.absence_conclusive_after = leader.clock.now()
                    return
                if answer.reply is CommandReply.FENCED:
                    leader.on_fenced(executor)
                    return
            await leader.clock.sleep(RETRY_DELAY_S)
