"""Tests of the order of starts and acknowledgements to one executor."""

import asyncio
from unittest import mock

import testtools
from testtools.matchers import Equals

from dragonflybank.cell.calls_under_way import begin_call, end_call
from dragonflybank.cell.capacity import reserve
from dragonflybank.cell.jobs import Step
from dragonflybank.cell.lease_bounds import may_late_start_arrive
from dragonflybank.cell.links import ExecutorLink
from dragonflybank.cell.state import AttemptPhase
from dragonflybank.cell.tests.builders import (
    ManualClock,
    add_job,
    get_step,
    make_executor,
)
from dragonflybank.cell.workload import Workload

NOW = 100.0
EPOCH = 50
LATE_UNTIL = NOW + 12.0


class _LinkTestCase(testtools.TestCase):
    """A link to an executor that has answered, and a placed attempt."""

    def setUp(self):
        super().setUp()
        self.executor = make_executor("e1")
        self.executor.answered_incarnation = 1
        task = get_step(add_job(Workload(), 1, Step(1))).tasks[0]
        self.attempt = reserve(
            self.executor, task, 1, phase=AttemptPhase.STARTING, now=NOW
        )
        self.job = task.step.job_state
        self.job.progress_revision = EPOCH + 9
        self.clock = ManualClock()
        self.clock.time_s = NOW
        self.leader = mock.Mock(clock=self.clock)
        self.leader.leadership.epoch = EPOCH
        self.leader.committer.wait_until_stored = self._store

    async def _store(self):
        self.job.progress_revision += 10

    def _prepare(self):
        """Prepares a start; returns whether it may be sent, and its token."""

        async def run():
            link = ExecutorLink(self.leader, self.executor, mock.Mock())
            return await link._prepare_start(self.attempt), link._fence

        return asyncio.run(run())


class TestFencingTokens(_LinkTestCase):
    """Guards against ends that a late acknowledgement removes unread (TWICE).

    An incarnation that has carried out a start refuses the acknowledgement if
    that has a lower token.
    """

    def _acknowledge(self, fence, *, is_answered=False):
        self.executor.ack_fence = fence
        call = begin_call(self.executor, LATE_UNTIL, acked_end=3)
        arrives_until = float("-inf") if is_answered else LATE_UNTIL
        end_call(self.executor, call, arrives_until)

    def test_it_is_the_epoch_without_an_open_acknowledgement(self):
        self._acknowledge(EPOCH, is_answered=True)
        self.assertThat(self._prepare(), Equals((True, EPOCH)))

    def test_it_is_raised_above_that_of_an_open_acknowledgement(self):
        self._acknowledge(EPOCH)
        self.assertThat(self._prepare(), Equals((True, EPOCH + 9)))
        self.assertThat(
            self.leader.committer.mark_changed.called, Equals(False)
        )

    def test_it_is_raised_while_an_acknowledgement_is_under_way(self):
        self.executor.ack_fence = EPOCH
        begin_call(self.executor, LATE_UNTIL, acked_end=3)
        self.assertThat(self._prepare(), Equals((True, EPOCH + 9)))

    def test_another_record_is_stored_if_no_revision_is_high_enough(self):
        self._acknowledge(EPOCH + 9)
        self.executor.fence = EPOCH + 9
        self.assertThat(self._prepare(), Equals((True, EPOCH + 19)))

    def test_no_start_is_sent_without_a_higher_revision(self):
        """Records of a job that is set aside are not stored."""
        self._acknowledge(EPOCH + 9)
        self.executor.fence = EPOCH + 9
        self.leader.committer.wait_until_stored = mock.AsyncMock()
        self.assertThat(self._prepare(), Equals((False, EPOCH + 9)))

    def test_it_is_not_raised_once_the_acknowledgement_cannot_arrive(self):
        self._acknowledge(EPOCH)
        self.clock.time_s = LATE_UNTIL
        self.assertThat(self._prepare(), Equals((True, EPOCH)))


class TestLateStarts(_LinkTestCase):
    """Guards against acknowledgements while a start may arrive (TWICE)."""

    def test_a_start_without_an_answer_may_arrive(self):
        self.attempt.start_arrives_until = LATE_UNTIL
        for now, expected in (
            (NOW, True),
            # An acknowledgement is sent some time after the last reply.
            (LATE_UNTIL + 1.0, True),
            (LATE_UNTIL + 2.0, False),
        ):
            self.assertThat(
                may_late_start_arrive(self.executor, now), Equals(expected)
            )

    def test_a_start_that_its_ticket_binds_begins_nowhere_else(self):
        self.attempt.start_arrives_until = LATE_UNTIL
        self.attempt.meant_for = 1
        self.attempt.ticket_received_at = NOW - 1.0
        self.executor.alive_at = NOW
        self.assertThat(
            may_late_start_arrive(self.executor, NOW), Equals(False)
        )
