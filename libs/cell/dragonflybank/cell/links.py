"""The leader's link to one executor: polls, lease renewals, starts and stops.

A command without a reply may have been executed, or may be executed seconds
later, also by a new incarnation at the same address. A start with a ticket is
sent again with the same attempt number, since an executor starts it only once
and a ticket holds for one incarnation. A start without one is sent once. If no
reply arrives, the attempt is stopped, since an executor never starts an attempt
after it has received a stop for it. The attempt occupies its resources until a
list that was requested when its start could no longer arrive lacks it, or
until `lease_bounds` says that it is over.

Leases are renewed and ends acknowledged by polls that don't wait, sent right
after a reply of the same incarnation. A new incarnation has another clock and
counts its ends anew: a poll meant for a former one would extend its lease and
remove its ends unread. A poll that waits is often under way at a crash, so it
renews and acknowledges nothing.

A renewal and a start are never under way together. If neither had an answer, a
newer incarnation might carry out the start with a ticket of its own, and the
renewal up to `CellLimits.max_call_delay_s` later, so that the attempt would be
held for that time and the longest lease.

An acknowledgement and a start without an answer must not both reach an
incarnation that nobody has heard: the end of the attempt that began there would
be removed unread, and the task started again. While a start may arrive, nothing
is acknowledged. A start that is sent while an acknowledgement may arrive has a
higher fencing token, so that an incarnation that has carried out the start
refuses the acknowledgement. The token is the revision of a record that this
leader stored: higher than its epoch, and lower than that of any later leader.
"""

__all__ = ["ExecutorLink"]

import asyncio
import logging
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from dragonflybank.cell.background import BackgroundTasks
from dragonflybank.cell.calls_under_way import (
    begin_call,
    end_call,
    may_ack_arrive,
)
from dragonflybank.cell.incarnations import Answerer, identify_answerer
from dragonflybank.cell.lease_bounds import (
    latest_start_arrival,
    may_late_start_arrive,
    needs_lease,
)
from dragonflybank.cell.ports import (
    CommandAnswer,
    CommandReply,
    ExecutorClient,
    PollReply,
    StartCommand,
)
from dragonflybank.cell.state import Attempt, AttemptPhase, Call, Executor
from dragonflybank.model.codes import Code, Problem, failure

if TYPE_CHECKING:
    from dragonflybank.cell.leader import Leader

_log = logging.getLogger(__name__)

# The platform allows a wait of 2 s; a shorter one detects silence earlier.
POLL_WAIT_S = 1.5
# A renewal or an acknowledgement is sent this long after a reply at most, so
# that it reaches the incarnation that replied.
FRESH_REPLY_S = 0.5
# Less than a wait, so that each poll that waited is followed by a renewal.
RENEWAL_INTERVAL_S = 1.0
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
# Time to wait for the list that shows whether a start without an answer was
# carried out.
REPLY_WAIT_S = 0.5


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
        self._renewed_at = float("-inf")
        self._poll: asyncio.Task | None = None
        self._is_looking = False
        self._replied = asyncio.Event()
        self._starts_under_way = 0
        # Set while no start is under way.
        self._starts_settled = asyncio.Event()
        self._starts_settled.set()
        # Set while no renewing poll is under way.
        self._renewal_settled = asyncio.Event()
        self._renewal_settled.set()
        self._background = BackgroundTasks(leader.background.on_failure)

    @property
    def _fence(self) -> int:
        """The fencing token of the next call."""
        return max(self._leader.leadership.epoch, self._executor.fence)

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

    def reset_incarnation(self) -> None:
        """Drops what was meant for an earlier incarnation."""
        self._pending_ack = (0, 0)
        self._renewed_at = float("-inf")

    def start(self, attempt: Attempt, ticket: str) -> None:
        """Sends a command to start an attempt, in the background."""
        self._background.spawn(self._start(attempt, ticket))

    def stop(self, attempt: Attempt) -> None:
        """Sends commands to stop an attempt, in the background."""
        if not attempt.is_ending:
            attempt.phase = AttemptPhase.STOPPING
            attempt.absence_conclusive_after = None
            self._background.spawn(self._stop(attempt))

    def stop_again(self, attempt: Attempt) -> None:
        """Stops an attempt that was stopped in a former incarnation."""
        attempt.absence_conclusive_after = None
        self._background.spawn(self._stop(attempt))

    def throttle(self, attempt: Attempt, percent: int) -> None:
        """Limits an attempt to a percentage of its speed, in the background."""
        attempt.speed_percent = percent
        self._background.spawn(self._throttle(attempt, percent))

    def stop_orphan(self, key: tuple) -> None:
        """Stops an attempt of an ended job, in the background."""
        self._background.spawn(self._client.stop(*key, epoch=self._fence))

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

    async def _poll_forever(self) -> None:
        leader, executor = self._leader, self._executor
        while True:
            now = leader.clock.now()
            self._acknowledge()
            has_acks = executor.acked_end > executor.confirmed_ack
            is_fresh = (
                executor.silent_since is None
                and now - executor.last_reply_at <= FRESH_REPLY_S
            )
            may_ack = has_acks and not may_late_start_arrive(executor, now)
            acked_end = executor.acked_end if may_ack and is_fresh else 0
            is_due = now - self._renewed_at >= RENEWAL_INTERVAL_S
            renews = (
                is_fresh
                and (is_due or acked_end)
                and not self._starts_under_way
                and needs_lease(executor, leader.leadership.confirmed_at, now)
            )
            wait = (
                executor.claimed
                and is_fresh
                and not (has_acks or renews)
                and executor.acked_end >= executor.seen_end
            )
            fence = self._fence
            if acked_end:
                executor.ack_fence = fence
            call = begin_call(
                executor,
                now + leader.limits.max_call_delay_s,
                renews=renews,
                acked_end=acked_end,
            )
            got = await self._call_poll(
                epoch=fence,
                acked_end=acked_end,
                lease_until_s=self._record_lease_request(now)
                if renews
                else 0.0,
                wait_s=self._poll_wait_s() if wait else 0.0,
            )
            self._end_poll(call, got, now)
            match got:
                case Success(PollReply(status=CommandReply.OK) as reply):
                    self._process_reply(reply, now)
                    if executor.is_ack_blocked:
                        await leader.clock.sleep(UNSTORED_ENDS_WAIT_S)
                    elif has_acks and not may_ack:
                        await self._wait_for_starts()
                    elif executor.acked_end < executor.seen_end:
                        # Polls return at once while ends are unacknowledged.
                        await self._wait_until_stored()
                case Success(PollReply(status=CommandReply.FENCED)):
                    if fence == self._fence:
                        leader.on_fenced(executor)
                        return
                    # A start with a higher token has overtaken the poll.
                    await leader.clock.sleep(RETRY_DELAY_S)
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

    async def _call_poll(self, **kwargs) -> Result[PollReply, Problem]:
        """Polls; a poll that `look` has given up counts as unanswered."""
        self._poll = asyncio.ensure_future(self._client.poll(**kwargs))
        if kwargs["lease_until_s"]:
            self._renewal_settled.clear()
        try:
            await asyncio.wait({self._poll})
            if self._poll.cancelled():
                return failure(Code.TIMED_OUT, "another poll had no answer")
            return self._poll.result()
        finally:
            self._poll.cancel()
            self._renewal_settled.set()

    def _end_poll(
        self, call: Call, got: Result[PollReply, Problem], sent_at: float
    ) -> None:
        """Records the outcome of a poll.

        Args:
            call: The poll.
            got: Its outcome.
            sent_at: Time at which it was sent.
        """
        executor = self._executor
        arrives_until = float("-inf")
        match got:
            case Success(reply) if reply.incarnation == call.incarnation:
                if reply.incarnation == executor.answered_incarnation:
                    executor.confirmed_ack = max(
                        executor.confirmed_ack, call.acked_end
                    )
                    if call.renews:
                        self._renewed_at = sent_at
            case Success():
                arrives_until = self._leader.clock.now()
            case Failure(Problem(code=Code.TIMED_OUT)):
                arrives_until = call.arrives_until
        end_call(executor, call, arrives_until)

    def look(self) -> None:
        """Polls at once, in the background, since the executor may be gone.

        If that poll has no answer either, the poll that waits is given up.
        """
        if not self._is_looking:
            self._is_looking = True
            self._background.spawn(self._look())

    async def _look(self) -> None:
        leader, executor = self._leader, self._executor
        sent_at, fence = leader.clock.now(), self._fence
        try:
            got = await self._client.poll(
                epoch=fence,
                acked_end=0,
                lease_until_s=0.0,
                wait_s=0.0,
            )
        finally:
            self._is_looking = False
        match got:
            case Success(PollReply(status=CommandReply.OK) as reply):
                self._process_reply(reply, sent_at)
            case Success(PollReply(status=CommandReply.FENCED)):
                if fence == self._fence:
                    leader.on_fenced(executor)
            case Failure(failed) if executor.last_reply_at <= sent_at:
                leader.fleet.on_call_failed(executor, failed)
                if self._poll is not None:
                    self._poll.cancel()

    def _process_reply(self, reply: PollReply, sent_at: float) -> None:
        """Processes a reply; its new ends are acknowledged once stored."""
        leader, executor = self._leader, self._executor
        if leader.fleet.process_poll(executor, reply, sent_at=sent_at):
            self._pending_ack = (
                leader.committer.changes_marked,
                executor.seen_end,
            )
        self._replied.set()

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
        leader, executor = self._leader, self._executor
        queue = attempt.task.step.job_state.queue
        unanswered_until = attempt.start_arrives_until
        for sent in range(MAX_START_TRIES if ticket else 1):
            is_prepared = await self._prepare_start(attempt)
            if attempt.phase is not AttemptPhase.STARTING:
                return
            now = leader.clock.now()
            if not leader.leadership.may_start_attempts(now):
                break
            may_send = is_prepared and executor.suspension is None
            is_silent = executor.silent_since is not None
            if not sent and (is_silent or not may_send):
                leader.attempts.withdraw_start(attempt)
                return
            if not may_send:
                break
            fence = self._fence
            command = StartCommand(
                attempt.task.id,
                attempt.number,
                fence,
                attempt.task.step.job_state.job.spec,
                self._record_lease_request(now),
                attempt.task.checkpoint,
                ticket,
            )
            is_same = attempt.meant_for == executor.answered_incarnation
            attempt.meant_for = (
                executor.answered_incarnation if is_same or not sent else 0
            )
            attempt.is_start_sent = True
            arrives_until = latest_start_arrival(queue, leader.limits, now)
            attempt.start_arrives_until = max(unanswered_until, arrives_until)
            call = begin_call(executor, arrives_until, renews=True)
            got = await self._call_start(command)
            if isinstance(got, Success):
                answer = got.unwrap()
                attempt.start_arrives_until = unanswered_until
                answerer = self._process_answer(
                    "start answered", attempt, answer, now, tries=sent + 1
                )
                self._end_start(call, attempt, answer, answerer, now)
                if answer.reply is CommandReply.FENCED and fence != self._fence:
                    # Another start with a higher token has overtaken it.
                    if not sent:
                        leader.attempts.withdraw_start(attempt)
                        return
                    break
                if answer.reply is CommandReply.OK or not sent:
                    leader.attempts.on_start_reply(attempt, answer.reply)
                    return
                break
            failed = got.failure()
            if failed.code is Code.UNREACHABLE:
                end_call(executor, call, float("-inf"))
                attempt.start_arrives_until = unanswered_until
                if not sent:
                    leader.attempts.on_start_reply(
                        attempt, CommandReply.UNHEALTHY
                    )
                    return
            else:
                end_call(executor, call, call.arrives_until)
                unanswered_until = attempt.start_arrives_until
                self.look()
        if not ticket:
            await self._wait_for_reply()
        if attempt.phase is AttemptPhase.STARTING:
            leader.attempts.on_start_outcome_unknown(attempt)

    async def _prepare_start(self, attempt: Attempt) -> bool:
        """Waits until no renewal is under way, and raises the token if needed.

        Returns:
            Whether no acknowledgement may arrive that an incarnation would
            accept after this start.
        """
        executor, committer = self._executor, self._leader.committer
        state, revision = attempt.task.step.job_state, 0
        while True:
            await self._renewal_settled.wait()
            now = self._leader.clock.now()
            if self._fence > executor.ack_fence or not may_ack_arrive(
                executor, now
            ):
                return True
            if state.progress_revision > executor.ack_fence:
                executor.fence = max(executor.fence, state.progress_revision)
                return True
            if state.progress_revision <= revision:
                return False
            revision = state.progress_revision
            committer.mark_changed(state, urgent=True)
            await committer.wait_until_stored()

    async def _call_start(
        self, command: StartCommand
    ) -> Result[CommandAnswer, Problem]:
        self._starts_under_way += 1
        self._starts_settled.clear()
        try:
            return await self._client.start(command)
        finally:
            self._starts_under_way -= 1
            if not self._starts_under_way:
                self._starts_settled.set()

    def _end_start(
        self,
        call: Call,
        attempt: Attempt,
        answer: CommandAnswer,
        answerer: Answerer,
        sent_at: float,
    ) -> None:
        """Records which incarnation has answered a start.

        Args:
            call: The start.
            attempt: The attempt.
            answer: The answer.
            answerer: The incarnation that answered.
            sent_at: Time at which the start was sent.
        """
        executor, now = self._executor, self._leader.clock.now()
        is_known = answerer is Answerer.KNOWN
        is_meant = (
            is_known and call.incarnation == executor.answered_incarnation
        )
        # In another incarnation, whatever it replied, the lease is now the
        # longest one.
        end_call(executor, call, float("-inf") if is_meant else now)
        if answer.reply is not CommandReply.OK:
            return
        if is_known:
            attempt.seen_in = executor.answered_incarnation
            if is_meant:
                self._renewed_at = max(self._renewed_at, sent_at)
        else:
            attempt.start_arrives_until = max(attempt.start_arrives_until, now)

    async def _wait_for_starts(self) -> None:
        """Waits for the answers to starts, so that ends can be acknowledged.

        A start that has timed out may arrive for longer.
        """
        if self._starts_settled.is_set():
            await self._leader.clock.sleep(UNSTORED_ENDS_WAIT_S)
            return
        try:
            async with asyncio.timeout(UNSTORED_ENDS_WAIT_S):
                await self._starts_settled.wait()
        except TimeoutError:
            return

    async def _wait_for_reply(self) -> None:
        """Waits for the reply to the next poll, at most as long as for one."""
        self._replied.clear()
        try:
            async with asyncio.timeout(REPLY_WAIT_S):
                await self._replied.wait()
        except TimeoutError:
            return

    def _process_answer(
        self,
        event: str,
        attempt: Attempt,
        answer: CommandAnswer,
        sent_at: float,
        **fields,
    ) -> Answerer:
        """Logs which incarnation a command was meant for, and which answered.

        If that is one of which the leader hasn't heard, it is polled at once.

        Args:
            event: Name of the event.
            attempt: The attempt that the command was about.
            answer: The answer.
            sent_at: Time at which the command was sent.
            **fields: Further fields of the log line.

        Returns:
            The incarnation that answered.
        """
        executor = self._executor
        answerer = identify_answerer(
            executor, answer.clock_s, sent_at, self._leader.clock.now()
        )
        _log.info(
            event,
            extra={
                **attempt.log_fields,
                "reply": answer.reply.value,
                "meant_for": executor.answered_incarnation,
                "answered_by": answerer.value,
                "executor_clock_s": answer.clock_s,
                **fields,
            },
        )
        if answerer is Answerer.NEWER:
            self.look()
        return answerer

    async def _throttle(self, attempt: Attempt, percent: int) -> None:
        got = await self._client.throttle(
            attempt.task.id,
            attempt.number,
            percent=percent,
            epoch=self._fence,
        )
        if not isinstance(got, Success) and attempt.speed_percent == percent:
            # Sent again after the next poll reply.
            attempt.speed_percent = UNKNOWN_SPEED_PERCENT

    async def _stop(self, attempt: Attempt) -> None:
        leader, executor = self._leader, self._executor
        key = (attempt.task.id, attempt.number)
        while executor.attempts.get(key) is attempt:
            sent_at, fence = leader.clock.now(), self._fence
            got = await self._client.stop(*key, epoch=fence)
            if isinstance(got, Success):
                answer = got.unwrap()
                self._process_answer("stop answered", attempt, answer, sent_at)
                if answer.reply is CommandReply.OK:
                    attempt.absence_conclusive_after = leader.clock.now()
                    return
                is_overtaken = fence != self._fence
                if answer.reply is CommandReply.FENCED and not is_overtaken:
                    leader.on_fenced(executor)
                    return
            await leader.clock.sleep(RETRY_DELAY_S)
