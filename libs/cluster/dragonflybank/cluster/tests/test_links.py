"""Tests of the connections between hosts, over loopback."""

import asyncio

import testtools
from returns.result import Success
from testtools.matchers import Equals, HasLength

from dragonflybank.cluster.links import PeerLink, PeerServer, ask, typed
from dragonflybank.cluster.messages import (
    ConfigValue,
    FetchConfig,
    Handover,
    HandoverReply,
    Kind,
    ListWork,
    WorkRows,
)
from dragonflybank.model.codes import Code

LOCAL = "127.0.0.1"
# Only calls that must succeed use this; a failure waits for it.
PATIENT_S = 20.0
# Calls that must time out.
SHORT_S = 0.05


class _SilentListener:
    """Takes connections, completes the nng greeting and never answers."""

    def __init__(self):
        self.accepted = []

    async def start(self):
        self.server = await asyncio.start_server(self._take, LOCAL, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _take(self, reader, writer):
        # The SP greeting of the reply protocol (0x31).
        writer.write(b"\0SP\0\0\x31\0\0")
        self.accepted.append(writer)
        while await reader.read(4096):
            pass

    def close(self):
        self.server.close()
        for writer in self.accepted:
            writer.close()


async def _echo(sender, request):
    return Success(ConfigValue(request.generation, sender.encode()))


class TestLinks(testtools.TestCase):
    """Guards against lost, mixed up and silent calls."""

    def test_both_ends_count_the_same_bytes(self):
        """Guards against a traffic figure that leaves out a direction."""

        async def check():
            at_server, at_link = [], []
            server = PeerServer(
                LOCAL, 0, contexts=4, on_bytes=lambda *n: at_server.append(n)
            )
            server.serve({Kind.FETCH_CONFIG: typed(FetchConfig, _echo)})
            address = f"{LOCAL}:{server.port}"
            link = PeerLink("a", address, on_bytes=lambda *n: at_link.append(n))
            await ask(link, FetchConfig(1), timeout_s=PATIENT_S)
            await link.close()
            await server.close()
            return at_server, at_link, address

        at_server, at_link, address = asyncio.run(check())
        (sender, sent, received), *rest = at_server
        self.assertThat((sender, rest), Equals(("a", [])))
        expected = [(address, received, 0), (address, 0, sent)]
        self.assertThat(at_link, Equals(expected))

    def test_many_calls_at_once_get_their_own_answers(self):
        async def check():
            server = PeerServer(LOCAL, 0, contexts=24)
            server.serve({Kind.FETCH_CONFIG: typed(FetchConfig, _echo)})
            link = PeerLink("a", f"{LOCAL}:{server.port}")
            replies = await asyncio.gather(
                *(
                    ask(link, FetchConfig(i), timeout_s=PATIENT_S)
                    for i in range(300)
                )
            )
            await link.close()
            await server.close()
            return replies

        expected = [Success(ConfigValue(i, b"a")) for i in range(300)]
        self.assertThat(asyncio.run(check()), Equals(expected))

    def test_a_peer_that_is_not_there_proves_that_nothing_was_sent(self):
        async def check():
            server = PeerServer(LOCAL, 0, contexts=1)
            server.serve({})
            await server.close()
            link = PeerLink("a", f"{LOCAL}:{server.port}")
            reply = await ask(link, FetchConfig(1), timeout_s=SHORT_S)
            await link.close()
            return reply.failure().code

        self.assertThat(asyncio.run(check()), Equals(Code.UNREACHABLE))

    def test_a_silent_connection_is_dialled_anew(self):
        async def check():
            silent = _SilentListener()
            await silent.start()
            link = PeerLink("a", f"{LOCAL}:{silent.port}")
            await _until(link, lambda: len(silent.accepted) == 1)
            before = link.redials
            codes = await _until(link, lambda: link.redials > before)
            await _until(link, lambda: len(silent.accepted) == 2)
            await link.close()
            silent.close()
            return codes

        codes = asyncio.run(check())
        self.assertThat(codes - {Code.UNREACHABLE}, Equals({Code.TIMED_OUT}))

    def test_slow_requests_leave_contexts_for_control(self):
        async def check():
            release = asyncio.Event()
            entered = asyncio.Semaphore(0)

            async def slow(sender, request):
                entered.release()
                await release.wait()
                return Success(WorkRows((), ()))

            server = PeerServer(LOCAL, 0, contexts=18)
            server.serve(
                {
                    Kind.LIST_WORK: typed(ListWork, slow),
                    Kind.HANDOVER: typed(Handover, _agree),
                }
            )
            link = PeerLink("a", f"{LOCAL}:{server.port}")
            calls = [
                asyncio.create_task(
                    ask(link, ListWork("hosts"), timeout_s=PATIENT_S)
                )
                for _ in range(2)
            ]
            for _ in calls:
                await entered.acquire()
            over = await ask(link, ListWork("hosts"), timeout_s=PATIENT_S)
            control = await ask(link, Handover(("w",)), timeout_s=PATIENT_S)
            release.set()
            done = await asyncio.gather(*calls)
            await link.close()
            await server.close()
            return over.failure().code, control, done

        over, control, done = asyncio.run(check())
        self.assertThat(over, Equals(Code.FULL))
        self.assertThat(control, Equals(Success(HandoverReply(("w",)))))
        self.assertThat([d for d in done if d == done[0]], HasLength(2))

    def test_a_failing_handler_leaves_the_outcome_open(self):
        async def broken(sender, request):
            raise ZeroDivisionError

        async def check():
            server = PeerServer(LOCAL, 0, contexts=2)
            server.serve({Kind.FETCH_CONFIG: typed(FetchConfig, broken)})
            link = PeerLink("a", f"{LOCAL}:{server.port}")
            reply = await ask(link, FetchConfig(1), timeout_s=PATIENT_S)
            unknown = await ask(link, ListWork("x"), timeout_s=PATIENT_S)
            await link.close()
            await server.close()
            return reply.failure().code, unknown.failure().code

        self.assertThat(
            asyncio.run(check()), Equals((Code.ANSWER_LOST, Code.BAD_REQUEST))
        )


async def _agree(sender, request):
    return Success(HandoverReply(request.workers))


async def _until(link, condition):
    """Calls until a condition holds; returns the codes of the failures."""
    codes = set()
    while not condition():
        reply = await ask(link, FetchConfig(1), timeout_s=SHORT_S)
        codes.add(reply.failure().code)
    return codes
