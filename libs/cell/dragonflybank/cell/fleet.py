"""The executors of the cell as the leader knows them.

They come and go by the platform's list, by their own answers and by their
silence; each has a link that keeps its lease and asks for its lists.
"""

__all__ = ["Fleet"]

import asyncio
import logging
from typing import TYPE_CHECKING

import attrs

from dragonflybank.cell.draining import has_left, to_evacuate
from dragonflybank.cell.links import (
    ExecutorLink,
    doubt_ends_s,
    lease_is_over,
)
from dragonflybank.cell.ports import ExecutorInfo, PollReply
from dragonflybank.cell.state import Executor
from dragonflybank.model.codes import Problem

if TYPE_CHECKING:
    from dragonflybank.cell.leader import Leader

_log = logging.getLogger(__name__)

# Ends that an executor lists in one answer; a full answer is not complete.
ENDS_PER_ANSWER = 500
# An executor that is not listed and does not answer is forgotten after this;
# entries that lapsed in an outage of the store are back 2 s after it.
GONE_AFTER_S = 3.0


class Fleet:
    """Executors and the links to them.

    Attributes:
        executors: Executors by identity.

    Args:
        leader: The leader.
    """

    def __init__(self, leader: "Leader"):
        self.executors: dict[str, Executor] = {}
        self._leader = leader
        self._links: dict[str, ExecutorLink] = {}

    def link(self, executor: Executor) -> ExecutorLink | None:
        """Returns the link to an executor, None if it has no address."""
        return self._links.get(executor.info.id)

    async def close(self) -> None:
        """Ends all calls to executors."""
        links, self._links = self._links, {}
        await asyncio.gather(*(link.close() for link in links.values()))

    def on_listed(
        self, info: ExecutorInfo, *, written_after: float = float("-inf")
    ) -> None:
        """Takes in what the platform's list says of an executor.

        Args:
            info: What the list says.
            written_after: Time after which it was written.
        """
        executor = self.executors.get(info.id)
        if executor is None:
            executor = Executor(info)
            self.executors[info.id] = executor
            self._connect(executor)
            if info.draining:
                self._note_draining(executor, info, written_after)
            _log.info(
                "executor listed",
                extra={"executor": info.id, "zone": info.zone},
            )
        else:
            known = executor.info.incarnation
            if not info.incarnation:
                info = attrs.evolve(info, incarnation=known)
            if info.incarnation < known:
                # An entry of an earlier life, written late.
                return
            is_new = executor.info.id not in self._links
            has_moved = not is_new and info.address != executor.info.address
            if has_moved or info.incarnation > known > 0:
                self.replaced(executor, is_elsewhere=has_moved)
            if info.draining:
                self._note_draining(executor, info, written_after)
            executor.info = info
            executor.is_listed = True
            if is_new or has_moved:
                self._connect(executor)
        self._leader.wake()

    def on_unlisted(self, executor_id: str) -> None:
        """Notes that the platform's list lacks an executor."""
        executor = self.executors.get(executor_id)
        if executor is None or not executor.is_listed:
            return
        executor.is_listed = False
        is_gone = has_left(
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
            self._leader.attempts.lose(executor, "left")
            self._forget(executor)

    def silent(self, executor: Executor, failed: Problem) -> None:
        """Notes a call to an executor that failed."""
        now = self._leader.clock.now()
        if executor.silent_since is None:
            executor.silent_since = now
            _log.warning(
                "executor silent",
                extra={
                    "executor": executor.info.id,
                    "code": failed.code.name,
                    "attempts": len(executor.attempts),
                },
            )
        if executor.claimed and lease_is_over(executor, now):
            self._leader.attempts.lose(executor, "lease over")

    def replaced(
        self, executor: Executor, *, is_elsewhere: bool = False
    ) -> None:
        """Notes that an executor was started anew.

        Args:
            executor: The executor; it runs nothing but what was ordered
                since the last list of its former incarnation.
            is_elsewhere: Whether its identity is not found at its address any
                more, so that orders on their way do not reach it.
        """
        self._leader.attempts.lose(
            executor, "another incarnation", keep_moved=not is_elsewhere
        )
        executor.reborn_at = self._leader.clock.now()
        executor.acked_end = executor.seen_end = 0
        executor.lease_until_s = 0.0
        executor.leaves_at = float("inf")
        executor.drained_after = float("-inf")
        executor.claimed = False
        executor.strangers.clear()
        link = self.link(executor)
        if link is not None:
            link.begin_anew()
        for step in self._leader.workload.ready:
            step.verdicts.pop(executor.info.id, None)

    def take_lists(
        self, executor: Executor, held: PollReply, *, sent_at: float
    ) -> bool:
        """Takes in an executor's lists of running and ended attempts.

        Returns:
            Whether there were ends that were not known.
        """
        now = self._leader.clock.now()
        known = executor.info.incarnation
        if held.incarnation < known:
            return False
        if held.incarnation > known:
            if known:
                self.replaced(executor)
            executor.info = attrs.evolve(
                executor.info, incarnation=held.incarnation
            )
        if executor.silent_since is not None:
            executor.silent_since = None
            _log.info("executor answers", extra={"executor": executor.info.id})
        executor.reached_at = now
        executor.clock_s = held.clock_s
        new_ends = [e for e in held.ends if e.number > executor.seen_end]
        for end in new_ends:
            executor.seen_end = end.number
            self._leader.attempts.take_end(executor, end, now)
        if len(held.ends) < ENDS_PER_ANSWER:
            self._leader.attempts.take_running(
                executor, held.running, sent_at, now
            )
            if not executor.claimed:
                executor.claimed = True
                _log.info(
                    "executor claimed",
                    extra={
                        "executor": executor.info.id,
                        "epoch": self._leader.leadership.epoch,
                        "running": len(held.running),
                        "ends": len(new_ends),
                    },
                )
            self._leader.attempts.pace(executor, now)
            self._leader.wake()
        return bool(new_ends)

    def end_doubt(self, now: float) -> None:
        """Gives up what ran on executors that could not be claimed.

        No lease of a former leader is left on them by then, nor any that an
        order brought to another incarnation, whose clock is not known.
        """
        leader = self._leader
        began_at, limits = leader.leadership.began_at, leader.limits
        for executor in self.executors.values():
            ends_at = max(
                began_at + doubt_ends_s(limits.lease_s),
                executor.reborn_at + doubt_ends_s(limits.max_lease_s),
            )
            if not executor.claimed and executor.attempts and now >= ends_at:
                leader.attempts.lose(executor, "no lease can be left")

    def evacuate(self, now: float) -> None:
        """Stops what cannot be done before its executor leaves."""
        for executor in self.executors.values():
            for attempt in to_evacuate(executor, self._leader.limits, now):
                self._leader.attempts.stop(attempt, "executor leaves")

    def drop_gone(self, now: float) -> None:
        """Forgets executors that are not listed and do not answer."""
        for executor in list(self.executors.values()):
            if (
                not executor.is_listed
                and not executor.attempts
                and self._is_silent_for(executor, GONE_AFTER_S, now)
                and lease_is_over(executor, now)
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
        link = ExecutorLink(
            self._leader,
            executor,
            self._leader.platform.executor_client(executor.info),
        )
        self._links[executor.info.id] = link
        link.open()

    def _note_draining(
        self, executor: Executor, info: ExecutorInfo, written_after: float
    ) -> None:
        is_known = executor.leaves_at < float("inf")
        executor.leaves_at = self._leader.clock.now() + info.drain_remaining_s
        # Each entry is a sign of life of the executor.
        executor.drained_after = max(executor.drained_after, written_after)
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
        _log.info("executor gone", extra={"executor": executor.info.id})
