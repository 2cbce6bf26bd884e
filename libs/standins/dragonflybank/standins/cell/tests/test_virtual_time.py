"""Tests of processes in virtual time."""

import asyncio

import testtools
from testtools.matchers import Equals

from dragonflybank.standins.cell.virtual_time import (
    create_task_in_process,
    run_in_virtual_time,
)


class TestFrozenProcess(testtools.TestCase):
    """Guards against a frozen process that goes on, or never does."""

    def test_it_stands_still_and_goes_on(self):
        async def tick(times):
            loop = asyncio.get_running_loop()
            for _ in range(4):
                await asyncio.sleep(1.0)
                times.append(loop.time())

        async def main():
            loop = asyncio.get_running_loop()
            began = loop.time()
            frozen, other = [], []
            tasks = [
                create_task_in_process("frozen", tick(frozen)),
                create_task_in_process("other", tick(other)),
            ]
            await asyncio.sleep(1.5)
            loop.freeze("frozen")
            await asyncio.sleep(2.0)
            loop.thaw("frozen")
            await asyncio.gather(*tasks)
            return [[at - began for at in times] for times in (frozen, other)]

        self.assertThat(
            run_in_virtual_time(main()),
            Equals([[1.0, 3.5, 4.5, 5.5], [1.0, 2.0, 3.0, 4.0]]),
        )
