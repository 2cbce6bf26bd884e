"""Tests of fault switches and hooks through the platform's clients."""

import asyncio

import testtools
from returns.result import Failure
from testtools.matchers import Equals, Is

from dragonflybank.model.codes import Code
from dragonflybank.platform.store import HttpConfigStore
from dragonflybank.standins.faults import Hook, HookAction, HookTiming
from dragonflybank.standins.simulated_worker import SimulatedTask
from dragonflybank.standins.store_server import StoreServer
from dragonflybank.standins.worker_server import WorkerServer


def _code_of(result):
    return result.failure().code if isinstance(result, Failure) else Code.OK


async def _with_store(steps):
    server = StoreServer()
    await server.start()
    client = HttpConfigStore(server.url, timeout_s=0.2)
    try:
        # Opens the connection on which the fault acts.
        await client.get("warm-up")
        return await steps(server, client)
    finally:
        await client.close()
        await server.close()


class TestFaults(testtools.TestCase):
    """Guards against a fault that does less or more than documented."""

    def run_steps(self, steps):
        return asyncio.run(_with_store(steps))

    def test_write_with_a_lost_reply_takes_effect_once(self):
        # If the HTTP library repeated the call, the reply would be a conflict
        # with the caller's own write.
        async def steps(server, client):
            await server.set_faults(drop_reply=True)
            reply = await client.put("k", b"1", version=0)
            return _code_of(reply), server.version("k"), server.calls["put"]

        self.assertThat(self.run_steps(steps), Equals((Code.TIMED_OUT, 1, 1)))

    def test_lost_request_has_no_effect(self):
        async def steps(server, client):
            await server.set_faults(drop_request=True)
            reply = await client.put("k", b"1", version=0)
            return _code_of(reply), server.version("k")

        self.assertThat(self.run_steps(steps), Equals((Code.TIMED_OUT, 0)))

    def test_down_server_refuses_calls_and_returns_on_the_same_port(self):
        async def steps(server, client):
            port = server.port
            await server.set_faults(down=True)
            # The first call may still use the closed connection.
            codes = [_code_of(await client.get("k")) for _ in range(2)]
            await server.set_faults(down=False)
            again = await client.get("k")
            is_failed = codes[0] is not Code.OK
            return is_failed, codes[1], _code_of(again), server.port == port

        self.assertThat(
            self.run_steps(steps),
            Equals((True, Code.STORE_UNAVAILABLE, Code.OK, True)),
        )

    def test_silenced_connection_stays_silent_while_new_ones_work(self):
        async def steps(server, client):
            async def get_twice():
                both = await asyncio.gather(client.get("k"), client.get("k"))
                return [_code_of(reply) for reply in both]

            # Two concurrent calls open two connections.
            await get_twice()
            await server.set_faults(silence=True)
            codes = await get_twice(), await get_twice()
            return codes, client._http.reconnects

        self.assertThat(
            self.run_steps(steps),
            Equals((([Code.TIMED_OUT] * 2, [Code.OK] * 2), 1)),
        )

    def test_request_on_a_silenced_connection_has_no_effect(self):
        async def steps(server, client):
            await server.set_faults(silence=True)
            reply = await client.put("k", b"1", version=0)
            return _code_of(reply), server.version("k")

        self.assertThat(self.run_steps(steps), Equals((Code.TIMED_OUT, 0)))

    def test_delayed_call_takes_effect_after_its_caller_gave_up(self):
        async def steps(server, client):
            done = server.arm(Hook("put", when=HookTiming.AFTER))
            await server.set_faults(delay_s=0.4)
            reply = await client.put("k", b"1", version=0)
            version = server.version("k")
            async with asyncio.timeout(30):
                await done.fired.wait()
            return _code_of(reply), version, server.version("k")

        self.assertThat(self.run_steps(steps), Equals((Code.TIMED_OUT, 0, 1)))

    def test_call_to_a_frozen_vm_takes_effect_when_it_resumes(self):
        async def steps(server, client):
            done = server.arm(Hook("put", when=HookTiming.AFTER))
            await server.set_faults(frozen=True)
            reply = await client.put("k", b"1", version=0)
            version = server.version("k")
            await server.set_faults(frozen=False)
            await done.fired.wait()
            return _code_of(reply), version, server.version("k")

        self.assertThat(self.run_steps(steps), Equals((Code.TIMED_OUT, 0, 1)))

    def test_vm_frozen_after_the_effect_does_not_reply(self):
        async def steps(server, client):
            server.arm(Hook("put", HookAction.FREEZE, HookTiming.AFTER))
            reply = await client.put("k", b"1", version=0)
            return _code_of(reply), server.version("k")

        self.assertThat(self.run_steps(steps), Equals((Code.TIMED_OUT, 1)))

    def test_hook_acts_only_on_the_nth_matching_call(self):
        async def steps(server, client):
            row = {"kind": "put", "path": "/v1/kv/b", "nth": 2}
            row |= {"action": "close", "when": "before"}
            control = await client._http.call(
                "POST", "/control/faults", json={"hooks": [row]}
            )
            codes = [
                _code_of(await client.put(key, b"1", version=version))
                for key, version in [("b", 0), ("a", 0), ("b", 1), ("b", 1)]
            ]
            return control.unwrap().status, codes

        expected = [Code.OK, Code.OK, Code.TIMED_OUT, Code.OK]
        self.assertThat(self.run_steps(steps), Equals((200, expected)))

    def test_held_call_waits_for_its_release(self):
        async def steps(server, client):
            hook = server.arm(Hook("put", HookAction.HOLD, HookTiming.AFTER))
            put = asyncio.create_task(client.put("k", b"1", version=0))
            await hook.fired.wait()
            state = server.version("k"), put.done()
            await server.set_faults(release=True)
            return state, _code_of(await put)

        self.assertThat(self.run_steps(steps), Equals(((1, False), Code.OK)))

    def test_fault_that_can_never_act_is_refused(self):
        # Otherwise a test would pass without the fault that it sets.
        async def steps(server, client):
            error_after_effect = {
                "kind": "put",
                "action": "error",
                "when": "after",
            }
            changes = [
                {"slow": 1},
                {"hooks": [{"kind": "start", "action": "close"}]},
                {"hooks": [{"kind": "put", "action": "vanish"}]},
                {"hooks": [error_after_effect]},
            ]
            replies = [
                await client._http.call("POST", "/control/faults", json=change)
                for change in changes
            ]
            return [reply.unwrap().status for reply in replies]

        self.assertThat(self.run_steps(steps), Equals([400] * 4))


class TestFrozenWorker(testtools.TestCase):
    """Guards against a lease that doesn't expire while its VM is paused."""

    def test_lease_expires_while_the_vm_is_paused(self):
        async def steps():
            server = WorkerServer("w1")
            await server.set_faults(frozen=True)
            server.work.start(
                "t/k/1/0",
                "sweep",
                epoch=1,
                grant=server.size,
                lease_s=0.01,
                payload='{"run_s": 0}',
            )
            await server.work.changed.wait()
            task: SimulatedTask = server.work.tasks["t/k/1/0"]
            server.work.cancel()
            return task.state == "lapsed"

        self.assertThat(asyncio.run(steps()), Is(True))
