"""Tests of requests between the hosts of a cell."""

import asyncio
import collections
import socket

import testtools
from returns.result import Failure, Result, Success
from testtools.matchers import Equals

from dragonflybank.cell.messages import READ_KIND, ReadReply, ReadRequest
from dragonflybank.cell.peering import NngPeers
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.standins.kept_logs import keep_logs_on_failure

# Each try waits half a second for a connection.
MAX_CONNECT_TRIES = 20


async def _refuse(sender: str, req: ReadRequest):
    return failure(Code.STORE_UNAVAILABLE, "no store here")


async def _call(peers: NngPeers, address: str) -> None:
    await peers.call(
        address, READ_KIND, ReadRequest("key"), ReadReply, timeout_s=2.0
    )


async def _call_until_sent(peers: NngPeers, address: str) -> Result:
    """Calls again while the request was certainly not sent, as hosts do.

    On a machine under load a connection may take longer than a call waits for
    it, and one request that is missing keeps all others waiting.
    """
    for _ in range(MAX_CONNECT_TRIES):
        got = await peers.call(
            address, READ_KIND, ReadRequest("key"), ReadReply, timeout_s=20.0
        )
        match got:
            case Failure(Problem(code=Code.UNREACHABLE)):
                continue
        break
    return got


class TestHasProcessExited(testtools.TestCase):
    """Guards against a running process that is reported as exited."""

    def test_a_listening_process_counts_as_running_until_it_closes(self):
        async def main():
            one = NngPeers("one", "127.0.0.1", 0)
            two = NngPeers("two", "127.0.0.1", 0)
            for peers in (one, two):
                peers.serve({READ_KIND: (ReadRequest, _refuse)})
            answers = [await one.has_process_exited(two.address)]
            await _call(one, two.address)
            answers.append(await one.has_process_exited(two.address))
            address = two.address
            await two.close()
            # The link detects the closed connection in its own thread.
            for _ in range(500):
                if await one.has_process_exited(address):
                    break
                await asyncio.sleep(0.01)
            answers.append(await one.has_process_exited(address))
            await one.close()
            return answers

        self.assertThat(asyncio.run(main()), Equals([False, False, True]))

    def test_a_silent_process_counts_as_running(self):
        # A suspended process accepts no connections, but its kernel still does.
        async def main():
            with socket.socket() as listener:
                listener.bind(("127.0.0.1", 0))
                listener.listen(1)
                peers = NngPeers("one", "127.0.0.1", 0)
                port = listener.getsockname()[1]
                has_exited = await peers.has_process_exited(f"127.0.0.1:{port}")
                await peers.close()
                return has_exited

        self.assertThat(asyncio.run(main()), Equals(False))


class TestConcurrentRequests(testtools.TestCase):
    """Guards against requests that are refused in a cell of many hosts.

    Each host keeps a request open at the leader while it waits for changes.
    """

    HOSTS = 200
    CLIENTS = 4

    def test_each_of_many_hosts_may_wait_at_the_leader(self):
        waiting, everyone_waits = [], asyncio.Event()

        async def wait_for_changes(sender: str, req: ReadRequest):
            waiting.append(sender)
            if len(waiting) == self.HOSTS:
                everyone_waits.set()
            await everyone_waits.wait()
            return Success(ReadReply(b"", 1))

        async def main():
            leader = NngPeers("leader", "127.0.0.1", 0)
            leader.serve({READ_KIND: (ReadRequest, wait_for_changes)})
            clients = [
                NngPeers(f"client-{n}", "127.0.0.1", 0)
                for n in range(self.CLIENTS)
            ]
            calls = [
                _call_until_sent(client, leader.address)
                for client in clients
                for _ in range(self.HOSTS // self.CLIENTS)
            ]
            answers = await asyncio.gather(*calls)
            for peers in (*clients, leader):
                await peers.close()
            return answers

        keep_logs_on_failure(
            self,
            more_lines=lambda: [
                f"arrived: {dict(collections.Counter(waiting))}",
                f"answers: {dict(collections.Counter(map(str, answers)))}",
            ],
        )
        answers = []
        answers += asyncio.run(main())
        answered = sum(isinstance(got, Success) for got in answers)
        self.assertThat(answered, Equals(self.HOSTS))
