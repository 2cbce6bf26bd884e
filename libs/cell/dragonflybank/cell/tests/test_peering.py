"""Tests of the connections between the hosts of a cell."""

import asyncio
import socket

import testtools
from testtools.matchers import Equals

from dragonflybank.cell.messages import READ, ReadReply, ReadRequest
from dragonflybank.cell.peering import NngPeers
from dragonflybank.model.codes import Code, failure


async def _refuse(sender: str, req: ReadRequest):
    return failure(Code.STORE_UNAVAILABLE, "no store here")


async def _ask(peers: NngPeers, address: str) -> None:
    await peers.call(
        address, READ, ReadRequest("key"), ReadReply, timeout_s=2.0
    )


class TestIsGone(testtools.TestCase):
    """Guards against a live process that is taken for dead."""

    def test_process_that_listens_lives_until_it_closes(self):
        async def main():
            one = NngPeers("one", "127.0.0.1", 0)
            two = NngPeers("two", "127.0.0.1", 0)
            for peers in (one, two):
                peers.serve({READ: (ReadRequest, _refuse)})
            told = [await one.has_process_exited(two.address)]
            await _ask(one, two.address)
            told.append(await one.has_process_exited(two.address))
            address = two.address
            await two.close()
            # The link notices it in a thread of its own.
            for _ in range(500):
                if await one.has_process_exited(address):
                    break
                await asyncio.sleep(0.01)
            told.append(await one.has_process_exited(address))
            await one.close()
            return told

        self.assertThat(asyncio.run(main()), Equals([False, False, True]))

    def test_silent_process_may_live(self):
        # A process that was stopped accepts nothing; its machine still does.
        async def main():
            with socket.socket() as listener:
                listener.bind(("127.0.0.1", 0))
                listener.listen(1)
                peers = NngPeers("one", "127.0.0.1", 0)
                port = listener.getsockname()[1]
                gone = await peers.has_process_exited(f"127.0.0.1:{port}")
                await peers.close()
                return gone

        self.assertThat(asyncio.run(main()), Equals(False))
