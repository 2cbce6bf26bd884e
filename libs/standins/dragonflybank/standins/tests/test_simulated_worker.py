"""Tests of simulated work in virtual time."""

import asyncio
import json
import selectors

import testtools
from testtools.matchers import Equals

from dragonflybank.model.resources import Resources
from dragonflybank.standins.records import RecordLog
from dragonflybank.standins.simulated_worker import SimulatedWorker
from dragonflybank.standins.simulation import LaggedUsage

GRANT = Resources(cores=1, memory_mb=100, slots=1, connections=1)


class _SkippingSelector(selectors.DefaultSelector):
    """Skips the time until the next timer instead of waiting."""

    skipped_s = 0.0

    def select(self, timeout=None):
        self.skipped_s += max(0.0, timeout or 0.0)
        return super().select(0)


class _SkippingLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self.skipping = _SkippingSelector()
        super().__init__(self.skipping)

    def time(self):
        return self.skipping.skipped_s


def _run(steps):
    with asyncio.Runner(loop_factory=_SkippingLoop) as runner:
        return runner.run(steps)


def _start(work, fields, *, lease_s=1000.0):
    work.start(
        "t",
        "sweep",
        epoch=1,
        grant=GRANT,
        lease_s=lease_s,
        payload=json.dumps(fields),
    )


async def _run_task(fields, actions=(), *, is_sick=False, lease_s=1000.0):
    """Runs a task and calls actions at given times.

    Returns:
        The time of the task's end, its state and the reason.
    """
    work = SimulatedWorker("w1", GRANT, RecordLog())
    work.set_sick(is_sick)
    loop = asyncio.get_running_loop()
    for at_s, action in actions:
        loop.call_later(at_s, action, work)
    _start(work, fields, lease_s=lease_s)
    await work.changed.wait()
    task = work.tasks["t"]
    return round(loop.time(), 3), task.state.value, task.reason


class TestSimulatedWorker(testtools.TestCase):
    """Guards against work that doesn't end at the documented time."""

    def assert_end(self, fields, *expected, **kwargs):
        self.assertThat(_run(_run_task(fields, **kwargs)), Equals(expected))

    def test_task_ends_after_its_run_time(self):
        self.assert_end({"run_s": 10}, 10, "done", "")

    def test_task_that_needs_more_cores_than_granted_is_throttled(self):
        self.assert_end({"run_s": 10, "cores": 4}, 40, "done", "")

    def test_task_that_needs_more_memory_than_granted_is_stopped(self):
        fields = {"run_s": 10, "memory_mb": 200}
        self.assert_end(fields, 5, "stopped", "size_exceeded")

    def test_sick_worker_fails_a_task_early(self):
        self.assert_end(
            {"run_s": 10}, 0.01, "failed", "sick_worker", is_sick=True
        )

    def test_throttled_task_takes_twice_the_remaining_time(self):
        actions = [(at_s, lambda work: work.throttle(["t"])) for at_s in (4, 8)]
        self.assert_end({"run_s": 10}, 16, "done", "", actions=actions)

    def test_paused_task_makes_no_progress(self):
        actions = [(4, SimulatedWorker.pause), (9, SimulatedWorker.resume)]
        self.assert_end({"run_s": 10}, 15, "done", "", actions=actions)

    def test_held_task_ends_when_it_is_released(self):
        actions = [
            (4, SimulatedWorker.hold_ends),
            (25, SimulatedWorker.release_ends),
        ]
        self.assert_end({"run_s": 10}, 25, "done", "", actions=actions)

    def test_held_task_of_a_paused_worker_ends_when_it_is_resumed(self):
        actions = [
            (4, SimulatedWorker.hold_ends),
            (20, SimulatedWorker.pause),
            (25, SimulatedWorker.release_ends),
            (30, SimulatedWorker.resume),
        ]
        self.assert_end({"run_s": 10}, 30, "done", "", actions=actions)

    def test_held_task_can_lapse(self):
        actions = [(4, SimulatedWorker.hold_ends)]
        self.assert_end(
            {"run_s": 10},
            *(15, "lapsed", "lease_expired"),
            actions=actions,
            lease_s=15,
        )

    def test_renewed_lease_expires_later_even_during_a_pause(self):
        actions = [
            (10, lambda work: work.renew(15)),
            (20, SimulatedWorker.pause),
        ]
        self.assert_end(
            {"run_s": 60},
            *(25, "lapsed", "lease_expired"),
            actions=actions,
            lease_s=15,
        )

    def test_lookup_waits_for_a_slot_that_a_task_holds(self):
        async def steps():
            work = SimulatedWorker("w1", GRANT, RecordLog())
            _start(work, {"run_s": 10})
            done = work.executor.execute("r", "die_lookup", '{"run_s": 1}')
            await done
            return asyncio.get_running_loop().time()

        self.assertThat(_run(steps()), Equals(11))

    def test_usage_is_reported_with_its_lag(self):
        usage = LaggedUsage(5.0)
        usage.record(GRANT, 100.0)
        self.assertThat(usage.reported_at(104.9), Equals(Resources()))
        self.assertThat(usage.reported_at(105.0), Equals(GRANT))
