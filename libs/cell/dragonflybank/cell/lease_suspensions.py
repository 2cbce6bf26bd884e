"""Suspensions of the leases of executors that the leader doesn't hear.

What a leader knows about a silent executor ends with it. Its successor would
have to assume that the lease was renewed until the election, and each further
one again, so that the tasks of a lost executor would wait anew with each change
of the leader.

A leader therefore stores that it has suspended the lease of a silent executor
that holds attempts, and until when they may run. The record is a promise that
all leaders keep: while an executor has one, none renews its lease or starts an
attempt there. A leader that hears the executor again first stores that the
suspension is over. The next leader counts from the begin of the suspension, not
from its election.

All writes expect the leader's key and the revision of the record. A write
without an answer may still be carried out; it can't be once another one has
changed the revision. So the record is never removed, and a suspension that may
be stored ends with a write that has an answer.

A host of an earlier version knows no suspensions and may renew any lease while
it leads. `Leadership.suspensions_since` tells since which term no such host has
led; older suspensions count for nothing.
"""

__all__ = ["LeaseSuspensions"]

import asyncio
import logging
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Iterator,
    Mapping,
)

import attrs
import msgspec
from returns.result import Failure, Result, Success

from dragonflybank.cell.calls_under_way import latest_renewal_arrival
from dragonflybank.cell.election import LEADER_KEY, Leadership
from dragonflybank.cell.keys import SUSPENSIONS_KEY
from dragonflybank.cell.lease_bounds import (
    find_hold,
    known_lease_end,
    longest_lease_s,
)
from dragonflybank.cell.limits import CellLimits
from dragonflybank.cell.metrics import CellMetrics
from dragonflybank.cell.ports import Store, Txn, TxnReply
from dragonflybank.cell.state import Attempt, Executor, SuspendedLease
from dragonflybank.cell.suspension_records import (
    LateStart,
    Suspension,
    SuspensionAge,
    SuspensionRecord,
    SuspensionTimes,
)
from dragonflybank.cluster.clock import Clock
from dragonflybank.model.codes import Code, Problem
from dragonflybank.model.decoding import decode_json

_log = logging.getLogger(__name__)

# An executor that answers the next poll again costs no write.
SUSPEND_AFTER_S = 0.5
# Losses within this time are written together.
BATCH_DELAY_S = 0.05
RETRY_DELAY_S = 0.1
# A suspension under which nothing runs any more is kept for this long, since
# the stored placements may still name its executor.
KEPT_AFTER_HOLD_S = 30.0


class LeaseSuspensions:
    """The suspensions of a cell, as its leader reads and writes them.

    Attributes:
        revision: Revision of the stored record; 0 before it exists.

    Args:
        store: The platform's store.
        leadership: Leadership of this leader.
        limits: Limits of the platform.
        clock: Clock of the host.
        executors: All executors by identifier, as the leader knows them.
        times: When suspensions began, as this host knows it.
        metrics: Metrics of the host.
        on_stored: Called when the record has been stored, so that the other
            hosts learn the ages of its suspensions.
    """

    def __init__(
        self,
        store: Store,
        leadership: Leadership,
        *,
        limits: CellLimits,
        clock: Clock,
        executors: Mapping[str, Executor],
        times: SuspensionTimes,
        metrics: CellMetrics,
        on_stored: Callable[[], None] = lambda: None,
    ):
        self.revision = 0
        self._store = store
        self._leadership = leadership
        self._limits = limits
        self._clock = clock
        self._executors = executors
        self._times = times
        self._metrics = metrics
        self._on_stored = on_stored
        self._count = 0
        # By identifier of the executor, until a stored record lacks them.
        self._suspended: dict[str, SuspendedLease] = {}
        # Executors that were heard again.
        self._ending: set[str] = set()
        self._changed = asyncio.Event()

    async def load(self) -> Result[None, Problem]:
        """Reads the suspensions that earlier leaders stored."""
        got = await self._store.get(SUSPENSIONS_KEY)
        if isinstance(got, Failure):
            return got
        item = got.unwrap()
        if item is None or item.value is None:
            return Success(None)
        self.revision = item.revision
        match decode_json(item.value, SuspensionRecord, code=Code.BAD_REQUEST):
            case Success(record):
                self._restore(record.suspensions, self._clock.now())
            case Failure(failed):
                # Without the record, holds count from the election.
                self._metrics.malformed_inputs.labels("suspensions").inc()
                _log.error(
                    "suspensions unreadable", extra={"detail": failed.detail}
                )
        return Success(None)

    def find(self, executor_id: str) -> SuspendedLease | None:
        """Returns the suspension of an executor's lease, if it has one."""
        return self._suspended.get(executor_id)

    def ages(self, now: float) -> tuple[SuspensionAge, ...]:
        """Returns the ages of all suspensions, for the other hosts.

        Args:
            now: Current time.
        """
        return tuple(
            SuspensionAge(*lease.record.key, now - lease.began_at)
            for lease in self._suspended.values()
        )

    def update(self, now: float) -> None:
        """Begins and ends suspensions.

        None begins unless the leadership was confirmed recently: in an outage
        of the store its end could not be stored, and the leases of running work
        would expire.

        Args:
            now: Current time.
        """
        for executor in self._executors.values():
            silent_since = executor.silent_since
            if silent_since is None:
                if executor.suspension is not None and executor.claimed:
                    self._end(executor.info.id)
            elif now - silent_since >= SUSPEND_AFTER_S and executor.attempts:
                if (
                    executor.suspension is None
                    and self._leadership.may_start_attempts(now)
                ):
                    self._begin(executor, now)
                if executor.holds_logged_at < silent_since:
                    self._log_holds(executor, now)

    async def run(self) -> None:
        """Stores changed suspensions until the leadership is lost."""
        while not self._leadership.lost.is_set():
            await self._changed.wait()
            await self._clock.sleep(BATCH_DELAY_S)
            self._changed.clear()
            await self._store_record()

    def _restore(
        self, suspensions: Iterable[Suspension], read_at: float
    ) -> None:
        for record in suspensions:
            if record.term < self._leadership.suspensions_since:
                _log.warning(
                    "suspension of an earlier version's leader ignored",
                    extra={"executor": record.executor, "term": record.term},
                )
                continue
            began_at = self._times.note(record.key, read_at - record.age_s)
            self._suspended[record.executor] = SuspendedLease(began_at, record)
            # A host that is told nothing finds the present age in the store.
            self._changed.set()

    def _begin(self, executor: Executor, now: float) -> None:
        attempts = [a for a in executor.attempts.values() if a.is_start_sent]
        if not attempts:
            return
        holds_s = {a: self._held_s(a, now) for a in attempts}
        held_s = (
            max(0.0, known_lease_end(executor) - now)
            if executor.answered_incarnation
            else min(holds_s.values())
        )
        self._count += 1
        record = Suspension(
            executor.info.id,
            executor.answered_incarnation,
            self._leadership.term,
            self._count,
            held_s,
            tuple(
                LateStart(str(attempt.task.id), attempt.number, each_s)
                for attempt, each_s in holds_s.items()
                if each_s > held_s
            ),
        )
        lease = SuspendedLease(now, record)
        executor.suspension = self._suspended[executor.info.id] = lease
        self._times.note(record.key, now)
        self._changed.set()
        self._metrics.lease_suspensions.labels("begun").inc()
        _log.info(
            "lease suspended",
            extra={
                "executor": executor.info.id,
                "incarnation": executor.answered_incarnation,
                "attempts": len(attempts),
                "held_s": round(held_s, 3),
                "late_starts": len(record.late),
                "longest_held_s": round(record.longest_held_s, 3),
            },
        )

    def _held_s(self, attempt: Attempt, now: float) -> float:
        """Returns for how long an attempt may run, with calls under way."""
        executor = attempt.executor
        until = find_hold(
            attempt, self._limits, self._leadership.began_at
        ).until
        if not attempt.is_bound_to_known_incarnation:
            until = max(
                until,
                latest_renewal_arrival(executor)
                + longest_lease_s(self._limits),
            )
        return max(0.0, until - now)

    def _end(self, key: str) -> None:
        if key not in self._ending:
            self._ending.add(key)
            self._changed.set()

    def _log_holds(self, executor: Executor, now: float) -> None:
        """Logs which term of the bound holds each attempt, and until when."""
        executor.holds_logged_at = now
        holds = {
            attempt: find_hold(attempt, self._limits, self._leadership.began_at)
            for attempt in executor.attempts.values()
            if attempt.is_start_sent
        }
        _log.info(
            "attempts held",
            extra={
                "executor": executor.info.id,
                "incarnation": executor.answered_incarnation,
                "attempts": len(holds),
                "tasks": [
                    f"{attempt.task.id}/{attempt.number}" for attempt in holds
                ],
                "held_by": [hold.reason.value for hold in holds.values()],
                "held_until_s": [
                    round(hold.until - now, 3) for hold in holds.values()
                ],
                "suspended_in_term": (
                    executor.suspension.record.term
                    if executor.suspension is not None
                    else 0
                ),
            },
        )

    async def _store_record(self) -> None:
        """Writes the present suspensions until a write has an answer."""
        while not self._leadership.lost.is_set():
            now = self._clock.now()
            left_out = self._ending | set(self._expired(now))
            suspended = tuple(self._records(left_out, now))
            txn = Txn(
                expected={
                    LEADER_KEY: self._leadership.epoch,
                    SUSPENSIONS_KEY: self.revision,
                },
                puts={
                    SUSPENSIONS_KEY: msgspec.json.encode(
                        SuspensionRecord(suspended)
                    )
                },
            )
            match await self._store.commit(txn):
                case Success(TxnReply(revision=int(revision))):
                    self._leadership.confirm(now)
                    self.revision = revision
                    self._on_ended(left_out)
                    self._on_stored()
                    return
                case Success(reply):
                    # Only leaders write the record. A newer revision is from
                    # an earlier write whose answer was lost.
                    found = {item.key: item.revision for item in reply.current}
                    if found.get(LEADER_KEY) != self._leadership.epoch:
                        self._leadership.lost.set()
                        return
                    self.revision = found.get(SUSPENSIONS_KEY, 0)
                case Failure(failed):
                    _log.warning(
                        "suspensions not stored, trying again",
                        extra={
                            "suspensions": len(suspended),
                            "code": failed.code.name,
                            "detail": failed.detail,
                        },
                    )
                    await self._clock.sleep(RETRY_DELAY_S)

    def _records(
        self, left_out: Collection[str], now: float
    ) -> Iterator[Suspension]:
        for key, lease in self._suspended.items():
            if key not in left_out:
                yield attrs.evolve(lease.record, age_s=now - lease.began_at)

    def _expired(self, now: float) -> Iterator[str]:
        """Yields the executors at which nothing has run for a long time."""
        for key, lease in self._suspended.items():
            held_until = lease.began_at + lease.record.longest_held_s
            if now > held_until + KEPT_AFTER_HOLD_S:
                yield key

    def _on_ended(self, keys: Collection[str]) -> None:
        """Allows new work where the stored record lacks a suspension."""
        for key in keys:
            self._ending.discard(key)
            self._suspended.pop(key, None)
            executor = self._executors.get(key)
            if executor is not None:
                executor.suspension = None
            self._metrics.lease_suspensions.labels("ended").inc()
            _log.info("lease suspension ended", extra={"executor": key})
