"""Tests of the VM list stand-in through the platform's client."""

import asyncio

import testtools
from testtools.matchers import Equals

from dragonflybank.model.resources import Resources
from dragonflybank.model.topology import VmInfo, VmState
from dragonflybank.platform.vmlist import HttpVmList, encode_vm
from dragonflybank.standins.vmlist_server import VmListServer

VM = VmInfo("w1", "127.0.0.1", 1, "oulu", size=Resources(cores=4))


class TestVmList(testtools.TestCase):
    """Guards against a list that shows a change before its lag is over."""

    def test_change_is_visible_after_the_lag(self):
        async def steps():
            server = VmListServer()
            server.put(VM)
            server.lag_s = 60.0
            server.set_state("w1", VmState.LEAVING)
            announced_at = server.log.all()[-1].at
            before = server.visible_vms(announced_at - 0.001)
            after = server.visible_vms(announced_at)
            return before[0].state, after[0].state

        self.assertThat(
            asyncio.run(steps()), Equals((VmState.LIVE, VmState.LEAVING))
        )

    def test_list_set_over_http_is_served_completely(self):
        async def steps():
            server = VmListServer()
            await server.start()
            client = HttpVmList(server.url)
            rows = {"put": [encode_vm(VM)], "lag_s": 0}
            await client._http.call("POST", "/control/vms", json=rows)
            vms = (await client.list_vms()).unwrap()
            await client.close()
            await server.close()
            return vms

        self.assertThat(asyncio.run(steps()), Equals((VM,)))
