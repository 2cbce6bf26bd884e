"""The leader's link to one executor: leases, ends, starts and stops.

An order without an answer may have been carried out, and may be carried out
seconds later. A start is therefore sent again under the same attempt number,
which the executor starts once. If that fails too, the attempt is stopped: an
executor never starts an attempt that it was told to stop. Room stays taken
until a list asked for afterwards lacks the attempt, the executor has another
incarnation, or its lease is over on its own clock. An order without an answer
may reach another incarnation at the same address; it is stopped there too.
"""

__all__ = ["ExecutorLink", "doubt_ends_s", "lease_is_over"]

import asyncio
import logging
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from dragonflybank.cell.background import BackgroundTasks
from dragonflybank.cell.ports import (
    CommandReply,
    ExecutorClient,
    PollReply,
    StartCommand,
)
from dragonflybank.cell.state import Attempt, AttemptPhase, Executor
from dragonflybank.model.codes import Code

if TYPE_CHECKING:
    from dragonflybank.cell.leader import Leader

_log = logging.getLogger(__name__)

# The platform lets a call wait 2 s; a shorter wait notices silence earlier.
HOLD_WAIT_S = 1.5
# Executors without attempts only have to be known as alive.
IDLE_HOLD_WAIT_S = 2.0
RETRY_S = 0.15
# Pace of calls while ends wait for the store.
UNSETTLED_S = 0.3
# Figures of serving tasks beside filling ones are half a second old.
PACED_HOLD_WAIT_S = 0.5
UNKNOWN_PACE = -1
START_TRIES = 3
# A platform clock may run 2% slow.
CLOCK_RATE_MIN = 0.98
# Covers the time between the executor's reading of its clock and the kill.
LAPSE_SLACK_S = 0.3
# A former leader that cannot confirm its key extends leases for this long, so
# that running work survives an outage of the store.
EXTEND_UNCONFIRMED_S = 6.0


def lease_is_over(executor: Executor, now: float) -> bool:
    """Returns whether an executor's lease has lapsed on its own clock."""
    left_s = executor.lease_until_s - executor.clock_s
    waited_s = now - executor.reached_at
    return waited_s >= left_s / CLOCK_RATE_MIN + LAPSE_SLACK_S


def doubt_ends_s(lease_s: float) -> float:
    """Returns the time after an election at which no old lease is left.

    Args:
        lease_s: Length of a lease in seconds.
    """
    return EXTEND_UNCONFIRMED_S + lease_s / CLOCK_RATE_MIN + 2 * LAPSE_SLACK_S


class ExecutorLink:
    """One executor as the leader drives it.

    Args:
        leader: The leader.
        executor: Its view of the executor.
        client: Connections to the executor.
    """

    def __init__(
        self, leader: "Leader", executor: Executor, client: ExecutorClient
    ):
        self._leader = leader
        self._executor = executor
        self._client = client
        self._ack = (0, 0)
        self._background = BackgroundTasks(leader.background.on_failure)

    def open(self) -> None:
        """Begins to hold the executor."""
        self._background.spawn(self._hold_always())

    async def close(self) -> None:
        """Ends all calls."""
        await self._background.close()
        await self._client.close()

    def begin_anew(self) -> None:
        """Forgets what was acknowledged to a former incarnation."""
        self._ack = (0, 0)

    def start(self, attempt: Attempt, ticket: str) -> None:
        """Orders an attempt to start, in the background."""
        self._background.spawn(self._start(attempt, ticket))

    def stop(self, attempt: Attempt) -> None:
        """Orders an attempt to stop, in the background."""
        if not attempt.is_ending:
            attempt.phase = AttemptPhase.STOPPING
            attempt.absent_after = None
            self._background.spawn(self._stop(attempt))

    def pace(self, attempt: Attempt, percent: int) -> None:
        """Orders an attempt to work at a share of its speed."""
        attempt.pace = percent
        self._background.spawn(self._pace(attempt, percent))

    def stop_stranger(self, key: tuple) -> None:
        """Orders an attempt of an ended job to stop."""
        self._background.spawn(
            self._client.stop(*key, epoch=self._leader.leadership.epoch)
        )

    def _lease_until_s(self, now: float) -> float:
        """Returns the end of the lease to ask for.

        A call without an answer may have extended the lease, so that the end
        of the latest one asked for counts.
        """
        executor = self._executor
        clock_s = executor.clock_s + now - executor.reached_at
        until_s = clock_s + self._leader.limits.lease_s
        executor.lease_until_s = max(executor.lease_until_s, until_s)
        return until_s

    def _extension_s(self, now: float) -> float:
        """Returns the end of the lease to ask for with lists, 0 for none.

        A silent executor is asked for its lists only: its lease must come to
        an end if it is gone. One that runs nothing needs no lease, so that it
        is known to run nothing soon after it is gone.
        """
        executor, leadership = self._executor, self._leader.leadership
        is_used = executor.attempts or executor.strangers
        is_silent = executor.silent_since is not None
        confirmed_s = now - leadership.confirmed_at
        if (
            not executor.claimed
            or not is_used
            or is_silent
            or confirmed_s > EXTEND_UNCONFIRMED_S
        ):
            return 0.0
        return self._lease_until_s(now)

    async def _hold_always(self) -> None:
        leader, executor = self._leader, self._executor
        while True:
            now = leader.clock.now()
            self._acknowledge()
            is_settled = executor.acked_end >= executor.seen_end
            wait = executor.claimed and is_settled
            got = await self._client.poll(
                epoch=leader.leadership.epoch,
                acked_end=executor.acked_end,
                lease_until_s=self._extension_s(now),
                wait_s=self._wait_s() if wait else 0.0,
            )
            match got:
                case Success(PollReply(reply=CommandReply.OK) as held):
                    if leader.fleet.take_lists(executor, held, sent_at=now):
                        self._ack = (
                            leader.committer.changes_marked,
                            executor.seen_end,
                        )
                    if executor.acked_end < executor.seen_end:
                        # Ends that are not acknowledged are told at once.
                        await self._settled()
                case Success(PollReply(reply=CommandReply.FENCED)):
                    leader.deposed(executor)
                    return
                case Success(PollReply(reply=CommandReply.OTHER_INSTANCE)):
                    leader.fleet.replaced(executor, is_elsewhere=True)
                    await leader.clock.sleep(RETRY_S)
                case Success(held):
                    _log.warning(
                        "hold refused",
                        extra={
                            "executor": executor.info.id,
                            "reply": held.reply.value,
                        },
                    )
                    await leader.clock.sleep(RETRY_S)
                case Failure(failed):
                    leader.fleet.silent(executor, failed)
                    await leader.clock.sleep(RETRY_S)

    def _wait_s(self) -> float:
        attempts = self._executor.attempts
        specs = [a.task.step.spec for a in attempts.values()]
        if any(s.filling for s in specs) and any(
            s.tail_target_s for s in specs
        ):
            return PACED_HOLD_WAIT_S
        return HOLD_WAIT_S if attempts else IDLE_HOLD_WAIT_S

    def _acknowledge(self) -> None:
        marker, number = self._ack
        if self._leader.committer.changes_stored >= marker:
            self._executor.acked_end = max(self._executor.acked_end, number)

    async def _settled(self) -> None:
        try:
            async with asyncio.timeout(UNSETTLED_S):
                await self._leader.committer.wait_until_stored()
        except TimeoutError:
            # Leases must be extended while the store does not answer.
            return

    async def _start(self, attempt: Attempt, ticket: str) -> None:
        leader = self._leader
        for sent in range(START_TRIES):
            if attempt.phase is not AttemptPhase.STARTING:
                return
            now = leader.clock.now()
            if not leader.leadership.may_start_attempts(now):
                break
            order = StartCommand(
                attempt.task.id,
                attempt.number,
                leader.leadership.epoch,
                attempt.task.step.job.job.spec,
                self._lease_until_s(now),
                attempt.task.checkpoint,
                ticket,
            )
            attempt.is_ordered = True
            got = await self._client.start(order)
            if isinstance(got, Success):
                reply = got.unwrap()
                if reply is CommandReply.OK or not sent:
                    leader.attempts.answered(attempt, reply)
                    return
                break
            failed = got.failure()
            if failed.code is Code.UNREACHABLE and not sent:
                leader.attempts.answered(attempt, CommandReply.UNHEALTHY)
                return
        if attempt.phase is AttemptPhase.STARTING:
            leader.attempts.unknown(attempt)

    async def _pace(self, attempt: Attempt, percent: int) -> None:
        got = await self._client.throttle(
            attempt.task.id,
            attempt.number,
            percent=percent,
            epoch=self._leader.leadership.epoch,
        )
        if not isinstance(got, Success) and attempt.pace == percent:
            # Told again after the next lists.
            attempt.pace = UNKNOWN_PACE

    async def _stop(self, attempt: Attempt) -> None:
        leader, executor = self._leader, self._executor
        key = (attempt.task.id, attempt.number)
        while executor.attempts.get(key) is attempt:
            got = await self._client.stop(*key, epoch=leader.leadership.epoch)
            match got:
                case Success(CommandReply.OK):
                    attempt.absent_after = leader.clock.now()
                    return
                case Success(CommandReply.FENCED):
                    leader.deposed(executor)
                    return
            await leader.clock.sleep(RETRY_S)
