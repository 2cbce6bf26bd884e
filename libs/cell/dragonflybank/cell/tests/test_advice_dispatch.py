"""Simulations of many advice calls at once, as after a change of leader."""

import asyncio

import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals, IsInstance, LessThan

from dragonflybank.cell.advice_dispatch import AdviceDispatcher
from dragonflybank.cell.ports import AdviceService
from dragonflybank.standins.cell.virtual_time import (
    VirtualClock,
    run_in_virtual_time,
)

LONG_S = 1.1
SHORT_S = 0.015


class _Service(AdviceService):
    async def advise(self, step, executors, *, timeout_s):
        await asyncio.sleep(LONG_S if step.startswith("long") else SHORT_S)
        return Success({})


class _Cell:
    """A dispatcher with some peers, and steps that ask it in every round."""

    ROUND_S = 0.01

    def __init__(self, peers: int = 35):
        self.clock, service = VirtualClock(), _Service()

        async def call_peer(address, step, executors, timeout_s):
            return await service.advise(step, executors, timeout_s=timeout_s)

        self.dispatcher = AdviceDispatcher(
            service, call_peer, now=self.clock.now
        )
        self.dispatcher.set_peers([f"peer-{n}" for n in range(peers)])

    async def ask(self, step: str, priority: int, duration_s: float) -> float:
        """Makes a call as soon as there is a slot; returns the whole time."""
        began_at = self.clock.now()
        while True:
            slot = self.dispatcher.acquire_slot(
                priority=priority, duration_s=duration_s, now=self.clock.now()
            )
            if slot is not None:
                break
            await asyncio.sleep(self.ROUND_S)
        await self.dispatcher.request_advice(
            slot, step, ["one"], duration_s=duration_s
        )
        return self.clock.now() - began_at


class TestBacklog(testtools.TestCase):
    """Guards against urgent steps that wait behind a backlog of long calls."""

    def test_some_hosts_stay_reserved_for_urgent_calls(self):
        async def main():
            cell = _Cell()
            backlog = asyncio.gather(
                *(cell.ask(f"long-{n}", 1, LONG_S) for n in range(100))
            )
            urgent = []
            for number in range(200):
                await asyncio.sleep(0.01)
                urgent.append(
                    asyncio.create_task(cell.ask(f"short-{number}", 0, SHORT_S))
                )
            await backlog
            return [await call for call in urgent]

        waits = run_in_virtual_time(main())
        self.assertThat(len(waits), Equals(200))
        self.assertThat(max(waits), LessThan(0.1))

    def test_one_of_two_long_calls_is_left_to_a_lower_priority(self):
        async def main():
            cell = _Cell(peers=2)

            def acquire(priority: int):
                return cell.dispatcher.acquire_slot(
                    priority=priority, duration_s=LONG_S, now=cell.clock.now()
                )

            first, second, lower = acquire(1), acquire(1), acquire(2)
            self.assertThat(lower, Equals(None))
            await cell.dispatcher.request_advice(
                first, "short", ["one"], duration_s=LONG_S
            )
            # The higher priority asks first in each round.
            return second, acquire(1), acquire(2)

        second, higher, lower = run_in_virtual_time(main())
        self.assertThat(second is not None, Equals(True))
        self.assertThat(higher, Equals(None))
        self.assertThat(lower is not None, Equals(True))


class TestShares(testtools.TestCase):
    """Guards against steps of one priority that use up all calls."""

    def test_lower_priority_gets_slots_beside_a_backlog_of_a_higher_one(self):
        async def main():
            cell = _Cell()
            backlog = asyncio.gather(
                *(cell.ask(f"long-{n}", 1, LONG_S) for n in range(300))
            )
            await asyncio.sleep(3.0)
            waits = [await cell.ask(f"long-low-{n}", 2, LONG_S) for n in (1, 2)]
            backlog.cancel()
            return waits

        # One call may be in progress on each host, then the limit applies.
        for wait_s in run_in_virtual_time(main()):
            self.assertThat(wait_s, LessThan(2 * LONG_S + 0.1))

    def test_one_priority_may_use_all_slots_if_no_other_asks(self):
        async def main():
            cell = _Cell()
            calls = [
                asyncio.create_task(cell.ask(f"long-{n}", 1, LONG_S))
                for n in range(27)
            ]
            return [await call for call in calls]

        waits = run_in_virtual_time(main())
        self.assertThat(max(waits), LessThan(LONG_S + 0.001))


class TestFailures(testtools.TestCase):
    """Guards against a step that never gets an answer."""

    def test_an_exception_is_a_failed_call_and_frees_the_slot(self):
        class Raising(AdviceService):
            async def advise(self, step, executors, *, timeout_s):
                raise RecursionError

        async def main():
            dispatcher = AdviceDispatcher(Raising(), None, now=lambda: 5.0)
            slot = dispatcher.acquire_slot(
                priority=1, duration_s=LONG_S, now=5.0
            )
            got = await dispatcher.request_advice(
                slot, "step", ["one"], duration_s=LONG_S
            )
            return got, slot.is_idle

        got, is_idle = run_in_virtual_time(main())
        self.assertThat(got, IsInstance(Failure))
        self.assertThat(is_idle, Equals(True))
