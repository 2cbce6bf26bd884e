"""Tests of suspended leases."""

import asyncio
from unittest import mock

import testtools
from returns.result import Success
from testtools.matchers import (
    Equals,
    GreaterThan,
    Is,
    LessThan,
    MatchesAll,
    Not,
)

from dragonflybank.cell.capacity import is_available, reserve
from dragonflybank.cell.election import LEADER_KEY, Leadership
from dragonflybank.cell.jobs import Step
from dragonflybank.cell.keys import SUSPENSIONS_KEY
from dragonflybank.cell.lease_bounds import (
    HoldReason,
    find_hold,
    longest_lease_s,
    needs_lease,
)
from dragonflybank.cell.lease_suspensions import (
    SUSPEND_AFTER_S,
    LeaseSuspensions,
)
from dragonflybank.cell.limits import CellLimits
from dragonflybank.cell.metrics import CellMetrics
from dragonflybank.cell.ports import Item, TxnReply
from dragonflybank.cell.state import AttemptPhase
from dragonflybank.cell.suspension_records import (
    SuspensionTimes,
    decode_first_term,
    encode_terms,
)
from dragonflybank.cell.tests.builders import (
    ManualClock,
    add_job,
    get_step,
    make_executor,
)
from dragonflybank.cell.workload import Workload
from dragonflybank.model.codes import Code, failure

LIMITS = CellLimits()
LEASE_S = 6.0
SILENT_AT = 100.0
EPOCH = 7


class _Store:
    """Answers each write as the test says."""

    def __init__(self):
        self.outcomes = []
        self.written = []
        self.item = None

    async def get(self, key):
        return Success(self.item)

    async def commit(self, txn):
        self.written.append(txn)
        got = self.outcomes.pop(0) if self.outcomes else len(self.written)
        if isinstance(got, int):
            self.item = Item(SUSPENSIONS_KEY, txn.puts[SUSPENSIONS_KEY], got)
            return Success(TxnReply(revision=got))
        return got


class _SuspensionTestCase(testtools.TestCase):
    """A leader with one executor that holds one attempt."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.clock.time_s = SILENT_AT
        self.store = _Store()
        self.times = SuspensionTimes()
        self.executor = make_executor("e1")
        self.executor.answered_incarnation = 1
        self.executor.last_reply_at = SILENT_AT - 1.0
        self.executor.clock_s = 500.0
        self.executor.lease_until_s = 500.0 + LEASE_S
        task = get_step(add_job(Workload(), 1, Step(1))).tasks[0]
        self.attempt = reserve(
            self.executor, task, 1, phase=AttemptPhase.RUNNING, now=SILENT_AT
        )
        self.attempt.is_start_sent = True
        self.attempt.seen_in = 1

    def _leader(self, term=1, *, since=1, times=None):
        now = self.clock.now()
        return LeaseSuspensions(
            self.store,
            Leadership(EPOCH, term, now, now, suspensions_since=since),
            limits=LIMITS,
            clock=self.clock,
            executors={"e1": self.executor},
            times=times or self.times,
            metrics=CellMetrics(),
        )

    def _suspend(self, leader):
        self.executor.silent_since = SILENT_AT
        self.clock.time_s = SILENT_AT + SUSPEND_AFTER_S
        leader._leadership.confirm(self.clock.time_s)
        leader.update(self.clock.time_s)

    def _hear_again(self, leader):
        self.executor.silent_since = None
        leader.update(self.clock.time_s)

    def _store_once(self, leader):
        asyncio.run(leader._store_record())

    def _successor(self, *, after_s, times=None, since=1):
        """Returns a leader that has loaded, and never hears the executor."""
        self.clock.time_s += after_s
        self.executor.suspension = None
        self.executor.answered_incarnation = 0
        leader = self._leader(2, since=since, times=times)
        asyncio.run(leader.load())
        self.executor.suspension = leader.find("e1")
        return leader

    def _hold(self, elected_at):
        return find_hold(self.attempt, LIMITS, elected_at)


class TestLeaseSuspensions(_SuspensionTestCase):
    """Guards against holds that begin anew with each leader (review/8)."""

    def test_nothing_is_renewed_or_started_beside_a_suspension(self):
        self._suspend(self._leader())
        self.executor.silent_since = None
        now = self.clock.time_s
        self.assertThat(needs_lease(self.executor, now, now), Equals(False))
        self.assertThat(is_available(self.executor, now), Equals(False))

    def test_a_short_silence_is_not_stored(self):
        leader = self._leader()
        self.executor.silent_since = SILENT_AT
        leader.update(SILENT_AT + SUSPEND_AFTER_S / 2)
        self.assertThat(self.executor.suspension, Is(None))

    def test_none_begins_while_the_leadership_is_not_confirmed(self):
        leader = self._leader()
        self.executor.silent_since = SILENT_AT
        leader.update(SILENT_AT + 2.0)
        self.assertThat(self.executor.suspension, Is(None))

    def test_a_successor_counts_from_the_begin_of_the_suspension(self):
        leader = self._leader()
        self._suspend(leader)
        self._store_once(leader)
        held_until = self._hold(SILENT_AT).until
        self._successor(after_s=4.0)
        hold = self._hold(self.clock.time_s)
        self.assertThat(hold.until, Equals(held_until))
        self.assertThat(hold.reason, Is(HoldReason.SUSPENDED))

    def test_a_host_that_was_told_nothing_counts_from_the_write(self):
        """It was started after the loss."""
        leader = self._leader()
        self._suspend(leader)
        held_until = self._hold(SILENT_AT).until
        self.clock.time_s += 1.0
        self._store_once(leader)
        self._successor(after_s=4.0, times=SuspensionTimes())
        self.assertThat(
            self._hold(self.clock.time_s).until - held_until,
            Equals(4.0),
        )

    def test_a_late_start_is_held_longer_than_other_attempts(self):
        self.attempt.seen_in = 0
        self.attempt.start_arrives_until = SILENT_AT + 2.0
        leader = self._leader()
        self._suspend(leader)
        self._store_once(leader)
        self._successor(after_s=4.0)
        self.assertThat(
            self._hold(self.clock.time_s).until,
            Equals(SILENT_AT + 2.0 + longest_lease_s(LIMITS)),
        )

    def test_attempts_of_a_former_leader_are_held_each_by_its_own_term(self):
        """The executor has never answered this leader."""
        executor = self.executor
        executor.answered_incarnation = 0
        self.attempt.seen_in = 0
        self.attempt.start_arrives_until = SILENT_AT + 3.0
        late_task = get_step(add_job(Workload(), 2, Step(1))).tasks[0]
        late = reserve(
            executor, late_task, 1, phase=AttemptPhase.RUNNING, now=SILENT_AT
        )
        late.is_start_sent = True
        late.start_arrives_until = SILENT_AT + 13.0
        leader = self._leader()
        self._suspend(leader)
        self._store_once(leader)
        self._successor(after_s=4.0)
        lease_s = longest_lease_s(LIMITS)
        for attempt, arrives_s in ((self.attempt, 3.0), (late, 13.0)):
            hold = find_hold(attempt, LIMITS, self.clock.time_s)
            self.assertThat(
                hold.until,
                MatchesAll(
                    GreaterThan(SILENT_AT + arrives_s + lease_s - 0.001),
                    LessThan(SILENT_AT + arrives_s + lease_s + 0.001),
                ),
            )

    def test_a_successor_stores_the_age_that_it_knows(self):
        leader = self._leader()
        self._suspend(leader)
        self._store_once(leader)
        held_until = self._hold(SILENT_AT).until
        second = self._successor(after_s=4.0)
        self._store_once(second)
        self._successor(after_s=0.0, times=SuspensionTimes())
        self.assertThat(self._hold(self.clock.time_s).until, Equals(held_until))

    def test_a_late_start_counts_with_a_renewal_that_is_under_way(self):
        self.attempt.seen_in = 0
        self.attempt.start_arrives_until = SILENT_AT + 2.0
        self.executor.calls_under_way.add(
            mock.Mock(renews=True, arrives_until=SILENT_AT + 11.0)
        )
        self._suspend(self._leader())
        self.assertThat(
            self.executor.suspension.record.longest_held_s,
            GreaterThan(10.0 + longest_lease_s(LIMITS)),
        )

    def test_suspensions_before_an_earlier_version_led_count_for_nothing(self):
        leader = self._leader()
        self._suspend(leader)
        self._store_once(leader)
        self._successor(after_s=4.0, since=2)
        self.assertThat(self.executor.suspension, Is(None))
        self.assertThat(
            self._hold(self.clock.time_s).reason, Is(HoldReason.FORMER_LEADER)
        )

    def test_an_unreadable_record_counts_for_nothing(self):
        self.store.item = Item(SUSPENSIONS_KEY, b"?", 3)
        leader = self._successor(after_s=4.0)
        self.assertThat(self.executor.suspension, Is(None))
        self.assertThat(leader.revision, Equals(3))


class TestEndOfSuspension(_SuspensionTestCase):
    """Guards against leases that are renewed beside a stored suspension."""

    def test_it_ends_once_that_is_stored(self):
        leader = self._leader()
        self._suspend(leader)
        self._store_once(leader)
        self._hear_again(leader)
        self.assertThat(self.executor.suspension, Not(Is(None)))
        self._store_once(leader)
        self.assertThat(self.executor.suspension, Is(None))
        self.assertThat(b"e1" in self.store.item.value, Equals(False))

    def test_a_write_without_an_answer_cannot_take_effect_after_the_end(self):
        """Each write expects the revision that the one before might change."""
        leader = self._leader()
        self._suspend(leader)
        lost = failure(Code.TIMED_OUT, "no answer")
        is_newer = Success(
            TxnReply(
                revision=None,
                current=(
                    Item(LEADER_KEY, b"", EPOCH),
                    Item(SUSPENSIONS_KEY, b"", 40),
                ),
            )
        )
        self._hear_again(leader)
        self.store.outcomes = [lost, is_newer, 41]
        self._store_once(leader)
        expected = [t.expected[SUSPENSIONS_KEY] for t in self.store.written]
        self.assertThat(expected, Equals([0, 0, 40]))
        self.assertThat(
            {t.expected[LEADER_KEY] for t in self.store.written},
            Equals({EPOCH}),
        )
        self.assertThat(self.executor.suspension, Is(None))

    def test_a_former_leader_stores_nothing(self):
        leader = self._leader()
        self._suspend(leader)
        self.store.outcomes = [
            Success(
                TxnReply(
                    revision=None,
                    current=(Item(LEADER_KEY, b"", EPOCH + 1),),
                )
            )
        ]
        self._store_once(leader)
        self.assertThat(leader._leadership.lost.is_set(), Equals(True))
        self.assertThat(len(self.store.written), Equals(1))

    def test_an_executor_that_is_listed_again_is_still_suspended(self):
        """The leader has forgotten it meanwhile."""
        leader = self._leader()
        self._suspend(leader)
        self._store_once(leader)
        self.assertThat(leader.find("e1").record.executor, Equals("e1"))
        self._hear_again(leader)
        self.assertThat(leader.find("e1").record.executor, Equals("e1"))
        self._store_once(leader)
        self.assertThat(leader.find("e1"), Is(None))


class TestTerms(testtools.TestCase):
    """Guards against suspensions that a leader in between didn't know."""

    def test_a_term_of_an_earlier_version_breaks_the_series(self):
        value = encode_terms(2, 5)
        self.assertThat(decode_first_term(value, 6), Equals(2))
        self.assertThat(decode_first_term(value, 7), Equals(7))
        for unreadable in (None, b"", b"5", b"[1]"):
            self.assertThat(decode_first_term(unreadable, 3), Equals(3))
