"""Tests that each check reports a scheduler with a broken mechanism.

Each test calls the stand-ins as a scheduler would that lacks one mechanism.
"""

import asyncio
import json
import time

import aiohttp
import attrs
import testtools
from aiohttp import web
from testtools.matchers import Contains, Equals

from dragonflybank.model.codes import Code
from dragonflybank.model.hashing import digest
from dragonflybank.model.leases import LEASE_S
from dragonflybank.model.resources import Resources
from dragonflybank.model.topology import VmInfo, VmState
from dragonflybank.model.work import Outcome
from dragonflybank.platform.store import HttpConfigStore
from dragonflybank.platform.worker import Fence, HttpWorkerClient
from dragonflybank.standins.answers import CallerAnswer
from dragonflybank.standins.faults import Hook, HookAction, HookTiming
from dragonflybank.standins.invariants import check_all
from dragonflybank.standins.records import (
    GenerationSeen,
    HostDrained,
    RecordLog,
)
from dragonflybank.standins.simulation import expected_result
from dragonflybank.standins.store_server import StoreServer
from dragonflybank.standins.vmlist_server import VmListServer
from dragonflybank.standins.worker_server import WorkerServer

WORKER_SIZE = Resources(cores=8, memory_mb=8192, slots=8, connections=8)
GRANT = Resources(cores=5, memory_mb=1024, slots=1, connections=1)
PAYLOAD = json.dumps({"run_s": 60.0, "answer": "a"})
CONFIG_KEY = "config/active"


class Standins:
    """Two workers, a store and a VM list that share one log of records."""

    def __init__(self):
        self.log = RecordLog()
        self.store = StoreServer(log=self.log)
        self.vmlist = VmListServer(log=self.log)
        self.workers = [
            WorkerServer(n, WORKER_SIZE, self.log) for n in ("w1", "w2")
        ]
        self.clients: list[HttpWorkerClient] = []

    async def __aenter__(self):
        for server in (self.store, self.vmlist, *self.workers):
            await server.start()
        self.clients = [HttpWorkerClient(w.name, w.url) for w in self.workers]
        return self

    async def __aexit__(self, *exc):
        for client in self.clients:
            await client.close()
        for server in (self.store, self.vmlist, *self.workers):
            await server.close()

    def fence(self, number):
        """Returns the fence of a worker that no host has claimed."""
        return Fence(self.workers[number].incarnation, 0)

    async def start(self, number, task, work_class="tonnage_table"):
        """Starts a task with the fence that the worker reports, so unfenced."""
        client = self.clients[number]
        seen = (await client.state()).unwrap()
        return await client.start(
            task,
            fence=seen.fence,
            work_class=work_class,
            grant=GRANT,
            lease_until_s=seen.clock_s + LEASE_S,
            payload=PAYLOAD,
        )

    def violated_invariants(self, answers=()):
        """Returns the numbers of the violated invariants, as ``I1``."""
        violations = check_all(self.log.all(), answers, expect_final=False)
        return sorted({violation.invariant for violation in violations})


def make_answer(outcome, **changes):
    result = expected_result("tonnage_table", PAYLOAD)
    body = result.encode() if outcome is Outcome.DONE else b""
    default = CallerAnswer(
        "t",
        "k",
        "tonnage_table",
        PAYLOAD,
        time.time() - 1.0,
        time.time(),
        outcome,
        len(body),
        digest(body),
        body.decode(),
        host="http://h1",
    )
    return attrs.evolve(default, **changes)


class TestBroken(testtools.TestCase):
    """Guards against a check that accepts a scheduler with a broken rule."""

    def assert_violations(self, run_scheduler, expected):
        async def run_check():
            async with Standins() as standins:
                return standins.violated_invariants(
                    await run_scheduler(standins) or ()
                )

        self.assertThat(asyncio.run(run_check()), Equals(expected))

    def test_i1_owner_that_does_not_count_grants(self):
        async def run_scheduler(standins):
            for task in ("t/k1/1/0", "t/k2/1/0"):
                (await standins.start(0, task)).unwrap()

        self.assert_violations(run_scheduler, ["I1"])

    def test_i2_owner_that_ignores_its_epoch(self):
        async def run_scheduler(standins):
            # The new owner finds no task and starts it at the other worker.
            # The former owner then sends its start with the current epoch.
            claimed = await standins.clients[0].claim(
                "new", fence=standins.fence(0)
            )
            self.assertThat(claimed.unwrap().state.tasks, Equals(()))
            (await standins.start(1, "t/k/2/0")).unwrap()
            (await standins.start(0, "t/k/1/0")).unwrap()

        self.assert_violations(run_scheduler, ["I2"])

    def test_i2_home_that_does_not_wait_for_the_lease(self):
        async def run_scheduler(standins):
            (await standins.start(0, "t/k/1/0")).unwrap()
            await standins.workers[0].set_faults(frozen=True)
            (await standins.start(1, "t/k/2/0")).unwrap()

        self.assert_violations(run_scheduler, ["I2"])

    def test_i3_host_that_swaps_two_answers(self):
        async def run_scheduler(standins):
            results = [
                await standins.clients[0].execute(
                    f"r{number}",
                    fence=standins.fence(0),
                    work_class="die_lookup",
                    payload=json.dumps({"answer": number}),
                    timeout_s=1.0,
                    begin_until_s=60.0,
                )
                for number in range(2)
            ]
            body = results[1].unwrap()
            return [
                make_answer(
                    Outcome.DONE,
                    key="",
                    work_class="die_lookup",
                    payload=json.dumps({"answer": 0}),
                    result=body,
                    length=len(body),
                    digest=digest(body.encode()),
                )
            ]

        self.assert_violations(run_scheduler, ["I3"])

    def test_i4_not_run_after_a_lost_answer(self):
        async def run_scheduler(standins):
            hook = Hook("start", HookAction.CLOSE, HookTiming.AFTER)
            standins.workers[0].arm(hook)
            started = await standins.start(0, "t/k/1/0")
            self.assertThat(started.failure().code, Equals(Code.TIMED_OUT))
            return [make_answer(Outcome.NOT_RUN)]

        self.assert_violations(run_scheduler, ["I4"])

    def test_i5_start_that_is_sent_twice(self):
        async def run_scheduler(standins):
            for number in range(2):
                task = f"t/k/{number + 1}/0"
                (await standins.start(number, task, "simulation")).unwrap()
                client = standins.clients[number]
                fence = standins.fence(number)
                (await client.stop([task], fence=fence)).unwrap()

        self.assert_violations(run_scheduler, ["I5"])

    def test_i6_owner_that_does_not_read_the_vm_list(self):
        async def run_scheduler(standins):
            worker = VmInfo("w1", "127.0.0.1", 1, "north")
            leaving = attrs.evolve(worker, state=VmState.LEAVING)
            standins.vmlist.put(leaving)
            now = time.time()
            self.patch(time, "time", lambda: now + 6.0)
            (await standins.start(0, "t/k/1/0")).unwrap()

        self.assert_violations(run_scheduler, ["I6"])

    def test_i7_host_that_exits_with_a_request_in_progress(self):
        async def run_scheduler(standins):
            arrived = asyncio.Event()

            async def hang(request):
                arrived.set()
                await asyncio.Event().wait()

            app = web.Application()
            app.router.add_post("/", hang)
            runner = web.AppRunner(app, shutdown_timeout=0.05)
            await runner.setup()
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            port = site._server.sockets[0].getsockname()[1]
            url = f"http://127.0.0.1:{port}"
            asked_at = time.time()

            async def send_request():
                async with aiohttp.ClientSession() as http:
                    try:
                        async with http.post(url):
                            return False
                    except aiohttp.ServerDisconnectedError:
                        return True

            request_task = asyncio.create_task(send_request())
            await arrived.wait()
            began_at = time.time()
            await runner.cleanup()
            standins.log.add(HostDrained(began_at, url, time.time()))
            cut = make_answer(None, host=url, asked_at=asked_at)
            return [
                attrs.evolve(cut, was_cut=await request_task, at=time.time())
            ]

        self.assert_violations(run_scheduler, ["I7"])

    def test_i8_apply_that_writes_an_older_generation(self):
        async def run_scheduler(standins):
            store = HttpConfigStore(standins.store.url)
            for version, generation in enumerate((2, 1)):
                value = json.dumps({"generation": generation}).encode()
                (await store.put(CONFIG_KEY, value, version=version)).unwrap()
            await store.close()

        self.assert_violations(run_scheduler, ["I8"])

    def test_i8_host_that_adopts_an_older_generation(self):
        async def run_scheduler(standins):
            for generation in (2, 1):
                now = time.time()
                standins.log.add(GenerationSeen(now, "h1", generation, "1"))

        self.assert_violations(run_scheduler, ["I8"])

    def test_accepted_work_that_is_lost(self):
        async def run_scheduler(standins):
            return [make_answer(Outcome.PENDING)]

        async def run_check():
            async with Standins() as standins:
                answers = await run_scheduler(standins)
                return check_all(standins.log.all(), answers)

        found = [violation.detail for violation in asyncio.run(run_check())]
        self.assertThat(found, Contains("no final answer"))
