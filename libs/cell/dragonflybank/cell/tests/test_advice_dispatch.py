"""Simulations of many advice calls at once, as after a change of leader."""

import asyncio

import testtools
from returns.result import Success
from testtools.matchers import Equals, LessThan

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


class TestBacklog(testtools.TestCase):
    """Guards against urgent steps that wait behind a backlog of long calls."""

    def test_some_hosts_stay_reserved_for_urgent_calls(self):
        clock, service, waits = VirtualClock(), _Service(), []

        async def call_peer(address, step, executors, timeout_s):
            return await service.advise(step, executors, timeout_s=timeout_s)

        async def main():
            lines = AdviceDispatcher(service, call_peer, now=clock.now)
            lines.set_peers([f"peer-{n}" for n in range(35)])

            async def request_advice(step, priority, duration_s):
                began_at = clock.now()
                await lines.request_advice(
                    step, ["one"], priority=priority, duration_s=duration_s
                )
                if not priority:
                    waits.append(clock.now() - began_at)

            calls = [request_advice(f"long-{n}", 1, LONG_S) for n in range(100)]
            backlog = asyncio.gather(*calls)
            for number in range(200):
                await asyncio.sleep(0.01)
                asyncio.create_task(
                    request_advice(f"short-{number}", 0, SHORT_S)
                )
            await backlog
            await asyncio.sleep(1.0)

        run_in_virtual_time(main())
        self.assertThat(len(waits), Equals(200))
        self.assertThat(max(waits), LessThan(0.1))
