"""Tests of running tasks after the loss of their worker's owner."""

import asyncio

import testtools
from testtools.matchers import Equals

from dragonflybank.jobs.tests.fakes import (
    FakeRunner,
    FakeStore,
    make_spec,
    new_home,
)


class RecordingRunner(FakeRunner):
    """Records the starts that are resolved."""

    def __init__(self):
        super().__init__()
        self.resolved_ids = []

    async def resolve(self, start, *, now):
        self.resolved_ids.append(start.task_id)
        return await super().resolve(start, now=now)


class TestRecheckStarts(testtools.TestCase):
    """Guards against a lost task that is noticed only minutes later.

    An owner that dies doesn't report the loss of its workers' tasks.
    """

    def test_running_tasks_are_resolved_after_the_loss_of_an_owner(self):
        async def run():
            runner = RecordingRunner()
            home = new_home(FakeStore(), runner)
            (await home.open(0.0)).unwrap()
            (await home.accept(make_spec("k"), 0.0)).unwrap()
            await home.schedule(1.0)
            await home.resolve(2.0)
            before = list(runner.resolved_ids)
            home.recheck_starts()
            await home.resolve(3.0)
            return runner.resolved_ids[len(before) :]

        self.assertThat(asyncio.run(run()), Equals(["courts/k/1/0"]))
