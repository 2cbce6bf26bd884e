"""Tests of the worker stand-in through the platform's client."""

import asyncio
import json

import testtools
from testtools.matchers import Equals

from dragonflybank.model.codes import Code
from dragonflybank.model.leases import StartReply, TaskState
from dragonflybank.model.resources import Resources
from dragonflybank.platform.worker import Fence, HttpWorkerClient
from dragonflybank.standins.faults import Hook, HookAction
from dragonflybank.standins.simulation import expected_result
from dragonflybank.standins.worker_server import WorkerServer

INCARNATION = "vm-1"
SIZE = Resources(cores=4, memory_mb=1000, slots=2, connections=3)
GRANT = Resources(cores=1, memory_mb=100, slots=1, connections=1)


def _payload(**fields):
    return json.dumps(fields)


def _fence(epoch=1):
    return Fence(INCARNATION, epoch)


def _start(server, client, task_id, payload, *, epoch=1, lease_s=30.0):
    return client.start(
        task_id,
        fence=_fence(epoch),
        work_class="sweep",
        grant=GRANT,
        lease_until_s=server.clock_s + lease_s,
        payload=payload,
    )


def _execute(client, request_id, payload, *, begin_until_s=1e9):
    return client.execute(
        request_id,
        fence=_fence(),
        work_class="die_lookup",
        payload=payload,
        timeout_s=30,
        begin_until_s=begin_until_s,
    )


async def _ends(client, *, epoch=1):
    events = await client.events(fence=_fence(epoch), wait_s=30)
    return [(e.task_id, e.state, e.reason) for e in events.unwrap()]


async def _with_worker(steps):
    server = WorkerServer("w1", SIZE)
    server.incarnation = INCARNATION
    await server.start()
    client = HttpWorkerClient("w1", server.url)
    try:
        await client.claim("h1", fence=_fence(0))
        return await steps(server, client)
    finally:
        await client.close()
        await server.close()


class TestWorker(testtools.TestCase):
    """Guards against a worker that hides a fault of the scheduler."""

    def run_steps(self, steps):
        return asyncio.run(_with_worker(steps))

    def test_claim_is_a_compare_and_swap_on_the_epoch(self):
        async def steps(server, client):
            lost = (await client.claim("h2", fence=_fence(0))).unwrap()
            won = (await client.claim("h2", fence=_fence())).unwrap()
            stale = await _start(server, client, "t/k/1/0", "", epoch=1)
            return lost.won, lost.state.owner, won.won, stale.failure().code

        self.assertThat(
            self.run_steps(steps),
            Equals((False, "h1", True, Code.STALE_EPOCH)),
        )

    def test_each_call_of_a_former_owner_is_refused(self):
        async def steps(server, client):
            waiting = asyncio.create_task(
                client.events(fence=_fence(), wait_s=30)
            )
            hook = server.arm(Hook("events"))
            await hook.fired.wait()
            await client.claim("h2", fence=_fence())
            replies = [
                await waiting,
                await client.events(fence=_fence(), wait_s=30),
                await client.renew(fence=_fence(), lease_until_s=1),
                await client.stop(["t"], fence=_fence()),
                await _execute(client, "r", ""),
            ]
            return {reply.failure().code for reply in replies}

        self.assertThat(self.run_steps(steps), Equals({Code.STALE_EPOCH}))

    def test_known_task_is_not_started_again(self):
        async def steps(server, client):
            payload = _payload(run_s=0.01, answer="x")
            first = await _start(server, client, "t/k/1/0", payload)
            again = await _start(server, client, "t/k/1/0", payload)
            event = (await client.events(fence=_fence(), wait_s=30)).unwrap()[0]
            await client.ack([event.task_id], fence=_fence())
            state = (await client.state()).unwrap()
            expected = expected_result("sweep", payload)
            is_expected = event.result == expected
            return first.unwrap(), again.unwrap(), is_expected, state.tasks

        self.assertThat(
            self.run_steps(steps),
            Equals((StartReply.STARTED, StartReply.KNOWN, True, ())),
        )

    def test_task_ends_at_its_memory_limit_its_lease_or_a_stop(self):
        async def steps(server, client):
            await _start(
                server, client, "size", _payload(run_s=0.01, memory_mb=200)
            )
            ends = await _ends(client)
            await client.ack(["size"], fence=_fence())
            await _start(
                server, client, "lease", _payload(run_s=60), lease_s=0.01
            )
            ends += await _ends(client)
            await client.ack(["lease"], fence=_fence())
            await _start(server, client, "stop", _payload(run_s=60))
            await client.throttle(["stop"], fence=_fence())
            await client.checkpoint(["stop"], fence=_fence())
            return ends + await _ends(client)

        self.assertThat(
            self.run_steps(steps),
            Equals(
                [
                    ("size", TaskState.STOPPED, "size_exceeded"),
                    ("lease", TaskState.LAPSED, "lease_expired"),
                    ("stop", TaskState.STOPPED, "checkpointed"),
                ]
            ),
        )

    def test_lookup_beyond_slots_and_queue_is_refused(self):
        async def steps(server, client):
            payload = _payload(run_s=60, answer="y")
            calls = [
                asyncio.create_task(_execute(client, f"r{i}", payload))
                for i in range(4)
            ]
            done, rest = await asyncio.wait(
                calls, return_when=asyncio.FIRST_COMPLETED
            )
            codes = [task.result().failure().code for task in done]
            usage = (await client.state()).unwrap().usage
            for task in rest:
                task.cancel()
            return codes, usage.slots

        self.assertThat(self.run_steps(steps), Equals(([Code.FULL], 2)))

    def test_lookup_answer_is_the_expected_result(self):
        async def steps(server, client):
            payload = _payload(answer="käännös", result_bytes=5000)
            answer = (await _execute(client, "r1", payload)).unwrap()
            failed = await _execute(client, "r2", _payload(fail=True))
            is_right = answer == expected_result("die_lookup", payload)
            return is_right, len(answer.encode()), failed.failure().code

        self.assertThat(
            self.run_steps(steps), Equals((True, 5000, Code.TASK_FAILED))
        )

    def test_vm_that_replaces_a_killed_one_has_no_tasks(self):
        async def steps(server, client):
            before = (await client.state()).unwrap()
            await _start(server, client, "t", _payload(run_s=60))
            await server.set_faults(killed=True)
            # The first call may still use the closed connection.
            gone = [await client.state() for _ in range(2)][1]
            await server.set_faults(killed=False)
            after = (await client.state()).unwrap()
            is_new = before.incarnation != after.incarnation
            return gone.failure().code, is_new, after.epoch, after.tasks

        self.assertThat(
            self.run_steps(steps), Equals((Code.UNREACHABLE, True, 0, ()))
        )

    def test_calls_for_a_killed_vm_are_refused_by_the_next_one(self):
        async def steps(server, client):
            hook = server.arm(Hook("start", HookAction.HOLD))
            late = asyncio.create_task(
                _start(server, client, "t", _payload(run_s=60))
            )
            await hook.fired.wait()
            await server.set_faults(killed=True)
            await late
            await server.set_faults(killed=False)
            seen = (await client.state()).unwrap()
            # The epochs are equal, only the incarnations differ.
            claimed = await client.claim("h2", fence=seen.fence)
            stale_claim = await client.claim("h1", fence=_fence())
            replies = [
                await _start(server, client, "t", _payload(run_s=60)),
                await _execute(client, "r", ""),
                await client.renew(fence=_fence(), lease_until_s=1),
                await client.events(fence=_fence(), wait_s=30),
                await client.ack(["t"], fence=_fence()),
                await client.stop(["t"], fence=_fence()),
            ]
            await server.set_faults(release=True)
            codes = {reply.failure().code for reply in replies}
            state = (await client.state()).unwrap()
            epochs = (claimed.unwrap().state.epoch, state.epoch)
            return codes, stale_claim.unwrap().won, epochs, state.tasks

        self.assertThat(
            self.run_steps(steps),
            Equals(({Code.STALE_EPOCH}, False, (1, 1), ())),
        )

    def test_late_calls_neither_start_work_nor_change_a_longer_lease(self):
        async def steps(server, client):
            late = await _start(server, client, "late", "", lease_s=-1.0)
            await _start(server, client, "t", _payload(run_s=60))
            lookup = await _execute(client, "r", "", begin_until_s=0.0)
            before = server.work.tasks["t"].lease.when()
            old = await client.renew(fence=_fence(), lease_until_s=1.0)
            shortened = server.work.tasks["t"].lease.when() < before
            tasks = [task.task_id for task in old.unwrap().tasks]
            codes = {reply.failure().code for reply in (late, lookup)}
            return codes, tasks, shortened

        self.assertThat(
            self.run_steps(steps), Equals(({Code.UNREACHABLE}, ["t"], False))
        )
