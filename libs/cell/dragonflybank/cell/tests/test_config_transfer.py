"""Tests of how hosts get the operators' configuration."""

import asyncio
import zlib

import testtools
from returns.result import Failure
from testtools.matchers import Equals, IsInstance, LessThan

from dragonflybank.cell.config_transfer import (
    MAX_CONFIG_BYTES,
    pack_config,
    unpack_config,
)
from dragonflybank.cell.messages import SYNC_KIND
from dragonflybank.standins.cell.simulated_cell import SimulatedCell
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time


class TestUnpack(testtools.TestCase):
    """Guards against a malformed message that ends the loop of a host."""

    def test_malformed_and_oversized_bytes_are_refused(self):
        packed = pack_config(b"x" * 1000)
        oversized = zlib.compress(b"x" * (MAX_CONFIG_BYTES + 1))
        for raw in (b"", b"{}", packed[:-3], oversized):
            self.assertThat(unpack_config(raw), IsInstance(Failure))


class TestTransfer(testtools.TestCase):
    """Guards against a leader whose link is full of copies of one change."""

    def _change_config(self, *, is_cut: bool) -> tuple[list[int], list[int]]:
        """Returns the versions of all hosts and the sizes that were sent."""

        async def main():
            cell, sizes = SimulatedCell(1, hosts=8), []
            await cell.start()
            leader = await cell.wait_for_leader()
            await asyncio.sleep(3.0)
            handlers = dict(cell.handlers_of_host[leader])
            request_class, handle = handlers[SYNC_KIND]

            async def record_size(sender, req):
                got = await handle(sender, req)
                sizes.append(len(got.unwrap().config))
                return got

            handlers[SYNC_KIND] = (request_class, record_size)
            cell.handlers_of_host[leader] = handlers
            if is_cut:
                other = next(name for name in cell.hosts if name != leader)
                cell.store.faults.cut_hosts.add(other)
                await asyncio.sleep(2.5)
            cell.configure(2)
            await asyncio.sleep(2.0)
            versions = [host.config.version for host in cell.hosts.values()]
            return versions, sizes

        return run_in_virtual_time(main())

    def test_hosts_that_the_store_answers_get_nothing_from_the_leader(self):
        versions, sizes = self._change_config(is_cut=False)
        self.assertThat(versions, Equals([2] * 8))
        self.assertThat(sum(sizes), Equals(0))

    def test_hosts_that_miss_a_change_get_it_from_the_leader(self):
        async def main():
            cell = SimulatedCell(1, hosts=8)
            await cell.start()
            leader = await cell.wait_for_leader()
            await asyncio.sleep(3.0)
            raw = cell.store.get("config")
            newer = raw.replace(b'"version":1', b'"version":2')
            cell.hosts[leader].adopt_config(newer)
            await asyncio.sleep(2.2)
            return [host.config.version for host in cell.hosts.values()]

        self.assertThat(run_in_virtual_time(main()), Equals([2] * 8))

    def test_a_host_that_the_store_turns_away_gets_it_from_the_leader(self):
        versions, sizes = self._change_config(is_cut=True)
        self.assertThat(versions, Equals([2] * 8))
        self.assertThat(len([size for size in sizes if size]), LessThan(3))
