"""Tests of a home whose tasks lost their owner."""

import asyncio

import testtools
from testtools.matchers import Equals

from dragonflybank.jobs.tests.fakes import (
    FakeRunner,
    FakeStore,
    new_home,
    spec_of,
)


class CountingRunner(FakeRunner):
    """Counts the starts that are looked up."""

    def __init__(self):
        super().__init__()
        self.looked_up = []

    async def resolve(self, start, *, now):
        self.looked_up.append(start.task_id)
        return await super().resolve(start, now=now)


class TestDistrust(testtools.TestCase):
    """Guards against a running task that is not looked up for minutes."""

    def test_running_tasks_are_looked_up_after_the_loss_of_an_owner(self):
        async def run():
            runner = CountingRunner()
            home = new_home(FakeStore(), runner)
            (await home.open(0.0)).unwrap()
            (await home.accept(spec_of("k"), 0.0)).unwrap()
            await home.schedule(1.0)
            await home.resolve(2.0)
            before = list(runner.looked_up)
            home.recheck_starts()
            await home.resolve(3.0)
            return runner.looked_up[len(before) :]

        self.assertThat(asyncio.run(run()), Equals(["courts/k/1/0"]))
