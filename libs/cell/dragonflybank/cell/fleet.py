"""The executors of the cell, as the leader knows them.

Executors are added and removed according to the platform's list, their replies
and failed calls. Each has a link that renews its lease and polls its lists.

An entry may be another writer's. It adds an executor and tells where to reach
it, but attempts are over only by what the executor itself says: its lists, a
reply of a newer incarnation, an entry of a newer incarnation at another
address, or the end of its lease.
"""

__all__ = ["Fleet"]

import asyncio
import logging
from typing import TYPE_CHECKING

import attrs

from dragonflybank.cell.calls_under_way import note_restart
from dragonflybank.cell.draining import attempts_to_evacuate, has_left
from dragonflybank.cell.incarnations import CLOCK_MARGIN_S
from dragonflybank.cell.isolation import IsolatedExecutorClient
from dragonflybank.cell.lease_bounds import (
    has_lease_expired,
    is_out_of_touch,
    may_run_until,
)
from dragonflybank.cell.links import ExecutorLink
from dragonflybank.cell.ports import AttemptEnd, ExecutorInfo, PollReply
from dragonflybank.cell.state import AttemptPhase, Executor
from dragonflybank.model.codes import Code, Problem

if TYPE_CHECKING:
    from dragonflybank.cell.leader import Leader

_log = logging.getLogger(__name__)

# Ends that an executor lists in one reply; a full reply may be incomplete.
MAX_ENDS_PER_REPLY = 500
# An executor that is not listed and does not answer is forgotten after this
# time. Entries that expired in a store outage are back 2 s after its end.
FORGET_AFTER_S = 3.0


class Fleet:
    """Executors and the links to them.

    Attributes:
        executors: Executors by identifier.

    Args:
        leader: The leader.
    """

    def __init__(self, leader: "Leader"):
        self.executors: dict[str, Executor] = {}
        self._leader = leader
        self._links: dict[str, ExecutorLink] = {}

    def link(self, executor: Executor) -> ExecutorLink | None:
        """Returns the link to an executor; None if its address is unknown."""
        return self._links.get(executor.info.id)

    async def close(self) -> None:
        """Ends all calls to executors."""
        links, self._links = self._links, {}
        await asyncio.gather(*(link.close() for link in links.values()))

    def on_listed(
        self, info: ExecutorInfo, *, written_after: float = float("-inf")
    ) -> None:
        """Adds or updates an executor from its entry in the platform's list.

        Args:
            info: The decoded entry.
            written_after: Time after which the entry was written.
        """
        executor = self.executors.get(info.id)
        if executor is None:
            executor = Executor(
                info,
                entry_incarnation=info.incarnation,
                suspension=self._leader.suspensions.find(info.id),
            )
            self.executors[info.id] = executor
            self._connect(executor)
            if info.draining:
                self._record_draining(executor, info, written_after)
            _log.info(
                "executor listed",
                extra={"executor": info.id, "zone": info.zone},
            )
        else:
            self._update(executor, info, written_after)
        self._leader.wake()

    def _update(
        self, executor: Executor, info: ExecutorInfo, written_after: float
    ) -> None:
        """Updates a known executor from an entry."""
        known, entry_incarnation = executor.info, info.incarnation
        info = attrs.evolve(
            info, incarnation=info.incarnation or known.incarnation
        )
        has_moved = info.address != known.address
        is_newer = info.incarnation > known.incarnation
        if executor.is_identified:
            if info.incarnation < known.incarnation:
                # A delayed entry of an earlier incarnation.
                return
            if is_newer and not has_moved:
                # Its next reply shows whether it has a new incarnation.
                info = attrs.evolve(info, incarnation=known.incarnation)
                self._links[info.id].look()
            elif has_moved and not (is_newer and info.service == known.service):
                # It is at its address, and one that restarts elsewhere has a
                # new incarnation of the same service.
                self.on_entry_unusable(info.id)
                return
            elif has_moved:
                self.on_new_incarnation(executor, has_left_address=True)
        elif (
            info.incarnation < known.incarnation
            and executor.answered_incarnation
            and executor.silent_since is None
        ):
            return
        if info.draining:
            self._record_draining(executor, info, written_after)
        executor.entry_incarnation = entry_incarnation
        executor.info = info
        executor.is_listed = True
        if has_moved or info.id not in self._links:
            self._connect(executor)

    def on_entry_unusable(self, executor_id: str) -> None:
        """Handles an entry that cannot be decoded.

        The executor gets no new work. What runs there goes on: the entry may
        be another writer's, and does not show that the executor has left.
        """
        executor = self.executors.get(executor_id)
        if executor is None or not executor.is_listed:
            return
        executor.is_listed = False
        _log.warning(
            "executor entry no longer usable, no new work",
            extra={
                "executor": executor_id,
                "attempts": len(executor.attempts),
            },
        )

    def on_unlisted(self, executor_id: str) -> None:
        """Handles the removal of an executor from the platform's list."""
        executor = self.executors.get(executor_id)
        if executor is None or not executor.is_listed:
            return
        executor.is_listed = False
        is_gone = executor.is_identified and has_left(
            executor, self._leader.limits, self._leader.clock.now()
        )
        _log.info(
            "executor unlisted",
            extra={
                "executor": executor_id,
                "attempts": len(executor.attempts),
                "has_left": is_gone,
            },
        )
        if is_gone:
            self._leader.attempts.release_lost(
                executor,
                "left",
                is_lost=lambda a: not a.may_run_on_newer_incarnation,
            )

    def on_call_failed(self, executor: Executor, problem: Problem) -> None:
        """Handles a failed call to an executor."""
        now = self._leader.clock.now()
        if executor.silent_since is None:
            executor.silent_since = now
            _log.warning(
                "executor silent",
                extra={
                    "executor": executor.info.id,
                    "code": problem.code.name,
                    "attempts": len(executor.attempts),
                },
            )

    def on_other_instance(self, executor: Executor) -> None:
        """Handles a reply of another executor at the known address.

        If this executor has never answered there, the address may be another
        writer's, and the reply proves nothing.
        """
        if executor.answered_incarnation:
            self.on_new_incarnation(executor, has_left_address=True)
        else:
            self.on_call_failed(
                executor,
                Problem(Code.UNREACHABLE, "another executor answers"),
            )

    def on_new_incarnation(
        self, executor: Executor, *, has_left_address: bool = False
    ) -> None:
        """Resets the state of an executor that was restarted.

        It runs only attempts that no former incarnation was seen to run.

        Args:
            executor: The executor.
            has_left_address: Whether it is no longer at its former address, so
                that commands in transit do not reach it.
        """
        now = self._leader.clock.now()
        note_restart(executor)
        _log.warning(
            "executor restarted",
            extra={
                "executor": executor.info.id,
                "former_incarnation": executor.answered_incarnation,
                "attempts": len(executor.attempts),
                "silent_s": round(now - executor.last_reply_at, 3),
                "closed_s": max(0.0, round(executor.closed_until - now, 3)),
                "has_left_address": has_left_address,
            },
        )
        self._leader.attempts.release_lost(
            executor,
            "another incarnation",
            is_lost=lambda a: (
                has_left_address or not a.may_run_on_newer_incarnation
            ),
        )
        executor.acked_end = executor.seen_end = executor.confirmed_ack = 0
        executor.is_ack_blocked = False
        executor.lease_until_s = 0.0
        executor.leaves_at = float("inf")
        executor.drain_written_after = float("-inf")
        executor.claimed = False
        executor.orphan_attempts.clear()
        link = self.link(executor)
        if link is not None:
            link.reset_incarnation()
            for attempt in executor.attempts.values():
                if attempt.phase is AttemptPhase.STOPPING:
                    link.stop_again(attempt)
        for step in self._leader.workload.ready:
            step.advice_by_executor.pop(executor.info.id, None)

    def process_poll(
        self, executor: Executor, reply: PollReply, *, sent_at: float
    ) -> bool:
        """Processes an executor's poll reply.

        Args:
            executor: The executor.
            reply: The reply with its lists of running and ended attempts.
            sent_at: Time at which the poll was sent.

        Returns:
            Whether the reply has ends that were not known.
        """
        now = self._leader.clock.now()
        known = executor.info.incarnation
        if reply.incarnation < known:
            return False
        if (
            reply.incarnation == executor.answered_incarnation
            and reply.clock_s < executor.clock_s
        ):
            # A later poll was answered sooner.
            return False
        if reply.incarnation > known:
            # Before its first reply, its lists show what has ended.
            if executor.answered_incarnation:
                self.on_new_incarnation(executor)
            executor.info = attrs.evolve(
                executor.info, incarnation=reply.incarnation
            )
        if executor.answered_incarnation != reply.incarnation:
            # Calls of former leaders, and calls that were meant for a former
            # incarnation, may have got the longest lease.
            executor.lease_until_s = (
                reply.clock_s + self._leader.limits.max_lease_s
            )
            executor.alive_at = float("-inf")
        executor.answered_incarnation = reply.incarnation
        # Its clock may run slow, so at least as much time has passed.
        executor.alive_at = max(
            sent_at,
            executor.alive_at
            + reply.clock_s
            - executor.clock_s
            - CLOCK_MARGIN_S,
        )
        if executor.silent_since is not None:
            executor.silent_since = None
            _log.info(
                "executor answers again", extra={"executor": executor.info.id}
            )
        executor.last_reply_at = now
        executor.clock_s = reply.clock_s
        new_ends = [e for e in reply.ends if e.number > executor.seen_end]
        for end in new_ends:
            executor.seen_end = end.number
            try:
                self._leader.attempts.process_end(executor, end, now)
            except Exception:
                self._set_aside(executor, end)
        if len(reply.ends) < MAX_ENDS_PER_REPLY:
            self._leader.attempts.process_running(
                executor, reply.running, sent_at, now
            )
            if not executor.claimed:
                executor.claimed = True
                _log.info(
                    "executor claimed",
                    extra={
                        "executor": executor.info.id,
                        "epoch": self._leader.leadership.epoch,
                        "incarnation": reply.incarnation,
                        "executor_clock_s": reply.clock_s,
                        "running": len(reply.running),
                        "ends": len(new_ends),
                    },
                )
            if executor.closed_until > now:
                for attempt in list(executor.attempts.values()):
                    self._leader.attempts.stop(attempt, "executor closed")
            self._leader.attempts.update_speed_limits(executor, now)
            self._leader.wake()
        return bool(new_ends)

    def _set_aside(self, executor: Executor, end: AttemptEnd) -> None:
        """Keeps a task whose end could not be processed from being placed.

        Its state may be half changed. The end is not acknowledged, so that the
        next leader gets it again and processes it on the stored state.
        """
        _log.exception(
            "end of an attempt set aside",
            extra={
                "task": str(end.task),
                "attempt": end.attempt,
                "executor": executor.info.id,
                "kind": end.kind.value,
            },
        )
        self._leader.metrics.isolated_faults.labels("end of an attempt").inc()
        executor.is_ack_blocked = True
        task = self._leader.workload.find_task(end.task)
        if task is not None:
            task.is_set_aside = True

    def release_expired(self, now: float) -> None:
        """Releases attempts of which no executor can hold a lease any more."""
        leader = self._leader
        began_at, limits = leader.leadership.began_at, leader.limits
        for executor in self.executors.values():
            if executor.attempts and is_out_of_touch(executor):
                leader.attempts.release_lost(
                    executor,
                    "lease over",
                    is_lost=lambda attempt: (
                        now >= may_run_until(attempt, limits, began_at)
                    ),
                )

    def evacuate(self, now: float) -> None:
        """Stops attempts that cannot finish before their executor leaves."""
        for executor in self.executors.values():
            for attempt in attempts_to_evacuate(
                executor, self._leader.limits, now
            ):
                self._leader.attempts.stop(attempt, "executor leaves")

    def forget_unreachable(self, now: float) -> None:
        """Forgets executors that are neither listed nor answering."""
        for executor in list(self.executors.values()):
            if (
                not executor.is_listed
                and not executor.attempts
                and self._is_silent_for(executor, FORGET_AFTER_S, now)
                and has_lease_expired(executor, now)
                and max(
                    executor.renewals_arrive_until, executor.acks_arrive_until
                )
                <= now
            ):
                self._forget(executor)

    def _is_silent_for(
        self, executor: Executor, seconds: float, now: float
    ) -> bool:
        if executor.info.id not in self._links:
            return True
        since = executor.silent_since
        return since is not None and now - since > seconds

    def _connect(self, executor: Executor) -> None:
        old = self._links.get(executor.info.id)
        if old is not None:
            self._leader.background.spawn(old.close())
        client = IsolatedExecutorClient(
            self._leader.platform.executor_client(executor.info),
            executor.info.id,
            self._leader.metrics.isolated_faults.labels("executor call").inc,
        )
        link = ExecutorLink(self._leader, executor, client)
        self._links[executor.info.id] = link
        link.start_polling()
        link.resume()

    def _record_draining(
        self, executor: Executor, info: ExecutorInfo, written_after: float
    ) -> None:
        is_known = executor.leaves_at < float("inf")
        executor.leaves_at = self._leader.clock.now() + info.drain_remaining_s
        # Each entry shows that the executor was running when it was written.
        executor.drain_written_after = max(
            executor.drain_written_after, written_after
        )
        if is_known:
            return
        _log.info(
            "executor draining",
            extra={
                "executor": info.id,
                "left_s": info.drain_remaining_s,
                "attempts": len(executor.attempts),
            },
        )

    def _forget(self, executor: Executor) -> None:
        del self.executors[executor.info.id]
        link = self._links.pop(executor.info.id, None)
        if link is not None:
            self._leader.background.spawn(link.close())
        _log.info("executor forgotten", extra={"executor": executor.info.id})
