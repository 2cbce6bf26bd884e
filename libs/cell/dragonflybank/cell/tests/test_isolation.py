"""Tests that a fault in one input leaves the others alone."""

import asyncio

import testtools
from returns.result import Failure
from testtools.matchers import Equals, GreaterThan, IsInstance, LessThan

from dragonflybank.cell import round_order, scheduling
from dragonflybank.cell.isolation import IsolatedExecutorClient, run_supervised
from dragonflybank.cell.ports import ExecutorClient
from dragonflybank.model.codes import Code
from dragonflybank.standins.cell.simulated_cell import (
    SimulatedCell,
    SubmissionLoad,
)
from dragonflybank.standins.cell.virtual_time import (
    VirtualClock,
    run_in_virtual_time,
)


class RaisingClient(ExecutorClient):
    """A client of which each call raises an exception."""

    async def start(self, command):
        raise ValueError("header value is invalid")

    async def stop(self, task, attempt, *, epoch):
        raise ValueError

    async def poll(self, *, epoch, acked_end, lease_until_s, wait_s):
        raise RecursionError

    async def throttle(self, task, attempt, *, percent, epoch):
        raise ValueError

    async def close(self):
        raise AssertionError("not called here")


class TestIsolatedExecutorClient(testtools.TestCase):
    """Guards against a call whose exception ends the leadership."""

    def test_an_exception_counts_as_a_lost_reply(self):
        faults = []
        client = IsolatedExecutorClient(
            RaisingClient(), "i-1", lambda: faults.append(1)
        )

        async def main():
            return [
                await client.start(None),
                await client.stop(None, 1, epoch=1),
                await client.poll(
                    epoch=1, acked_end=0, lease_until_s=0.0, wait_s=0.0
                ),
                await client.throttle(None, 1, percent=5, epoch=1),
            ]

        for got in run_in_virtual_time(main()):
            self.assertThat(got, IsInstance(Failure))
            self.assertThat(got.failure().code, Equals(Code.TIMED_OUT))
        self.assertThat(len(faults), Equals(4))


class TestSupervision(testtools.TestCase):
    """Guards against a loop whose exception ends the process."""

    def test_a_loop_is_started_again(self):
        runs = []

        async def run_loop():
            runs.append(1)
            if len(runs) < 3:
                raise RuntimeError("broken")

        async def main():
            await run_supervised(
                "loop",
                run_loop,
                clock=VirtualClock(),
                on_fault=lambda: None,
            )

        run_in_virtual_time(main())
        self.assertThat(len(runs), Equals(3))


class TestStepSetAside(testtools.TestCase):
    """Guards against one step whose placement ends each leader in turn.

    The other steps must be placed, and the step again once it can be.
    """

    def _play(self, name: str, *, faults: int):
        """Makes a function of the rounds fail for the steps of one job.

        Returns:
            Numbers of exceptions and of leaders, and violations of rules.
        """
        raised, leaders = [], set()
        module = round_order if name == "step_rank" else scheduling
        original = getattr(module, name)

        def fail_for_one(step, *args, **kwargs):
            poisoned.setdefault("job", step.job_state.job.id)
            is_poisoned = step.job_state.job.id == poisoned["job"]
            if is_poisoned and len(raised) < faults:
                raised.append(step.name)
                raise RuntimeError("broken")
            return original(step, *args, **kwargs)

        poisoned = {}
        self.patch(module, name, fail_for_one)

        async def main():
            cell = SimulatedCell(4)
            await cell.start()
            running = asyncio.create_task(cell.run_load(SubmissionLoad()))
            while not running.done():
                leaders.add(cell.leader())
                await asyncio.sleep(0.1)
            return await running

        found = run_in_virtual_time(main())
        return len(raised), len(leaders - {""}), found

    def test_a_step_that_fails_once_is_placed_a_second_later(self):
        self.assertThat(
            self._play("plan_placement", faults=1), Equals((1, 1, []))
        )

    def test_a_step_that_cannot_be_ranked_once_is_placed_later(self):
        self.assertThat(self._play("step_rank", faults=1), Equals((1, 1, [])))

    def _assert_leadership_kept(self, name: str) -> None:
        raised, leaders, _ = self._play(name, faults=1000)
        self.assertThat(leaders, Equals(1))
        # After the second exception, each step waits for 30 s.
        self.assertThat(raised, GreaterThan(1))
        self.assertThat(raised, LessThan(10))

    def test_a_step_that_fails_again_does_not_end_the_leadership(self):
        self._assert_leadership_kept("plan_placement")

    def test_a_step_that_cannot_be_ranked_does_not_end_the_leadership(self):
        self._assert_leadership_kept("step_rank")


class TestEndSetAside(testtools.TestCase):
    """Guards against an end whose handling fails and that is lost.

    The leader must go on, the task must not be started again, and the next
    leader must find its end.
    """

    def test_next_leader_processes_the_end(self):
        async def main():
            cell = SimulatedCell(4)
            await cell.start()
            running = asyncio.create_task(cell.run_load(SubmissionLoad()))
            await asyncio.sleep(6.0)
            name = cell.leader()
            leader = cell.hosts[name].leader
            finish_task, faults = leader.workload.finish_task, []

            def fail_once(task, attempt, now):
                if faults:
                    return finish_task(task, attempt, now)
                faults.append(task.id.job)
                raise RuntimeError("broken")

            leader.workload.finish_task = fail_once
            await asyncio.sleep(8.0)
            is_leading = cell.leader() == name
            cell.kill_host(name)
            await asyncio.sleep(1.0)
            await cell.start_host(name)
            return await running, faults, is_leading

        found, faults, is_leading = run_in_virtual_time(main())
        self.assertThat(len(faults), Equals(1))
        self.assertThat(is_leading, Equals(True))
        self.assertThat(found, Equals([]))
