"""Tests of the connections between hosts, over loopback."""

import asyncio
import contextlib

import testtools
from returns.result import Success
from testtools.matchers import Equals

from dragonflybank.cluster.links import (
    PeerLink,
    PeerServer,
    call_peer,
    typed_handler,
)
from dragonflybank.cluster.messages import (
    REQUEST_TYPES,
    ConfigValue,
    FetchConfig,
    HandoverReply,
    HandoverRequest,
    ListWork,
    WorkRows,
)
from dragonflybank.model.codes import Code

LOCAL = "127.0.0.1"
# Timeout of calls that must succeed; only a failing test waits for it.
LONG_TIMEOUT_S = 20.0
# Timeout of calls that must time out.
SHORT_TIMEOUT_S = 0.05


class _UnresponsiveListener:
    """Accepts connections, sends the nng greeting and never answers."""

    def __init__(self):
        self.accepted = []

    async def start(self):
        self.server = await asyncio.start_server(self._accept, LOCAL, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
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


async def _release_all(sender, request):
    return Success(HandoverReply(request.workers))


async def _failing(sender, request):
    raise ZeroDivisionError


class _Slow:
    """A handler that answers once it is released."""

    def __init__(self):
        self.entered = asyncio.Semaphore(0)
        self.release = asyncio.Event()

    async def __call__(self, sender, request):
        self.entered.release()
        await self.release.wait()
        return Success(WorkRows((), ()))


@contextlib.asynccontextmanager
async def _pair(contexts=32, **answers):
    """Yields a server and a link to it.

    Args:
        contexts: Contexts of the server.
        answers: Answer functions by name of the request class.
    """
    classes = {c.__name__: (c, kind) for c, (kind, _) in REQUEST_TYPES.items()}
    server = PeerServer(LOCAL, 0, contexts=contexts)
    server.serve(
        {
            classes[name][1]: typed_handler(classes[name][0], answer)
            for name, answer in answers.items()
        }
    )
    link = PeerLink("a", f"{LOCAL}:{server.port}")
    yield server, link
    await link.close()
    await server.close()


def _list(link, *, timeout_s=LONG_TIMEOUT_S):
    return asyncio.create_task(
        call_peer(link, ListWork("hosts"), timeout_s=timeout_s)
    )


async def _call_until(link, condition):
    """Calls until a condition holds; returns the codes of the failures."""
    codes = set()
    while not condition():
        reply = await call_peer(link, FetchConfig(1), timeout_s=SHORT_TIMEOUT_S)
        codes.add(reply.failure().code)
    return codes


class TestLinks(testtools.TestCase):
    """Guards against calls that are lost, mixed up or never answered."""

    def test_server_and_link_count_the_same_bytes(self):
        """Guards against traffic metrics that leave out a direction."""

        async def check():
            at_server, at_link = [], []
            server = PeerServer(
                LOCAL, 0, contexts=4, on_bytes=lambda *n: at_server.append(n)
            )
            server.serve(
                {
                    REQUEST_TYPES[FetchConfig][0]: typed_handler(
                        FetchConfig, _echo
                    )
                }
            )
            address = f"{LOCAL}:{server.port}"
            link = PeerLink("a", address, on_bytes=lambda *n: at_link.append(n))
            await call_peer(link, FetchConfig(1), timeout_s=LONG_TIMEOUT_S)
            await link.close()
            await server.close()
            return at_server, at_link, address

        at_server, at_link, address = asyncio.run(check())
        (sender, sent, received), *rest = at_server
        self.assertThat((sender, rest), Equals(("a", [])))
        expected = [(address, received, 0), (address, 0, sent)]
        self.assertThat(at_link, Equals(expected))

    def test_each_of_many_concurrent_calls_gets_its_own_answer(self):
        async def check():
            async with _pair(24, FetchConfig=_echo) as (_, link):
                return await asyncio.gather(
                    *(
                        call_peer(
                            link, FetchConfig(i), timeout_s=LONG_TIMEOUT_S
                        )
                        for i in range(300)
                    )
                )

        expected = [Success(ConfigValue(i, b"a")) for i in range(300)]
        self.assertThat(asyncio.run(check()), Equals(expected))

    def test_call_to_an_absent_peer_is_unreachable_and_not_sent(self):
        async def check():
            async with _pair() as (server, link):
                await server.close()
                reply = await call_peer(
                    link, FetchConfig(1), timeout_s=SHORT_TIMEOUT_S
                )
                return reply.failure().code

        self.assertThat(asyncio.run(check()), Equals(Code.UNREACHABLE))

    def test_link_reconnects_if_the_peer_does_not_respond(self):
        async def check():
            unresponsive = _UnresponsiveListener()
            await unresponsive.start()
            link = PeerLink("a", f"{LOCAL}:{unresponsive.port}")
            await _call_until(link, lambda: len(unresponsive.accepted) == 1)
            before = link.reconnects
            codes = await _call_until(link, lambda: link.reconnects > before)
            await _call_until(link, lambda: len(unresponsive.accepted) == 2)
            await link.close()
            unresponsive.close()
            return codes

        codes = asyncio.run(check())
        self.assertThat(codes - {Code.UNREACHABLE}, Equals({Code.TIMED_OUT}))

    def test_slow_call_is_answered_after_other_calls_reconnect(self):
        async def check():
            slow = _Slow()
            async with _pair(ListWork=slow) as (_, link):
                long = _list(link)
                while not link.reconnects:
                    await _list(link, timeout_s=SHORT_TIMEOUT_S)
                slow.release.set()
                return await long

        self.assertThat(asyncio.run(check()), Equals(Success(WorkRows((), ()))))

    def test_draining_server_answers_received_requests(self):
        async def check():
            slow = _Slow()
            async with _pair(ListWork=slow) as (server, link):
                call = _list(link)
                await slow.entered.acquire()
                drained = asyncio.create_task(server.drain())
                slow.release.set()
                await drained
                await server.close()
                return await call

        self.assertThat(asyncio.run(check()), Equals(Success(WorkRows((), ()))))

    def test_control_requests_are_answered_beside_slow_ones(self):
        async def check():
            slow = _Slow()
            async with _pair(
                18, ListWork=slow, HandoverRequest=_release_all
            ) as (
                _,
                link,
            ):
                calls = [_list(link) for _ in range(2)]
                for _ in calls:
                    await slow.entered.acquire()
                over = (await _list(link)).failure().code
                control = await call_peer(
                    link, HandoverRequest(("w",)), timeout_s=LONG_TIMEOUT_S
                )
                slow.release.set()
                await asyncio.gather(*calls)
                return over, control

        expected = (Code.FULL, Success(HandoverReply(("w",))))
        self.assertThat(asyncio.run(check()), Equals(expected))

    def test_failing_handler_leaves_the_outcome_open(self):
        async def check():
            async with _pair(FetchConfig=_failing) as (_, link):
                reply = await call_peer(
                    link, FetchConfig(1), timeout_s=LONG_TIMEOUT_S
                )
                unknown = await _list(link)
                return reply.failure().code, unknown.failure().code

        self.assertThat(
            asyncio.run(check()), Equals((Code.ANSWER_LOST, Code.BAD_REQUEST))
        )
