"""Tests of what the ends of attempts change."""

import types
from unittest import mock

import testtools
from testtools.matchers import Equals

from dragonflybank.cell.attempts import AttemptManager
from dragonflybank.cell.capacity import reserve
from dragonflybank.cell.jobs import Step
from dragonflybank.cell.ports import AttemptEnd, EndKind
from dragonflybank.cell.state import AttemptPhase
from dragonflybank.cell.tests.builders import add_job, get_step, make_executor
from dragonflybank.cell.tests.scheduler_fakes import FakeLeader

NOW = 100.0


class TestProcessEnd(testtools.TestCase):
    """Guards against a new leader that waits for attempts that have ended."""

    def test_each_end_of_a_placed_attempt_is_stored(self):
        for kind in (EndKind.STOPPED, EndKind.LAPSED, EndKind.BROKEN):
            executor = make_executor("e1")
            leader = FakeLeader([executor])
            leader.health = mock.Mock()
            leader.committer = types.SimpleNamespace(mark_changed=mock.Mock())
            manager = AttemptManager(leader)
            state = add_job(leader.workload, 1, Step(1))
            task = get_step(state).tasks[0]
            attempt = reserve(
                executor, task, 1, phase=AttemptPhase.RUNNING, now=NOW
            )
            leader.workload.record_placement(attempt)
            end = AttemptEnd(1, task.id, 1, kind)
            manager.process_end(executor, end, NOW)
            leader.committer.mark_changed.assert_called_once_with(state)
            self.assertThat(leader.workload.placement_of(task), Equals(None))
