"""A simulation of ownership under random faults, with fixed seeds."""

import asyncio
import random

import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals

from dragonflybank.cluster.tests.fake_cluster import HOSTS, FakeCluster
from dragonflybank.model.codes import Code
from dragonflybank.model.leases import ResolutionKind
from dragonflybank.model.resources import Resources, fits, sum_resources
from dragonflybank.model.work import StartRecord

ONE = Resources(4, 1024, 0, 1, 1)
WORKERS = ("w1", "w2")
CALLS = ("claim", "start", "renew", "events", "ack", "state", "all")
STEPS = 400
# Older starts have mostly ended.
RECENT = 8
# A claim may wait for the longest back-off, and a listening host for 2 s.
HEALED_S = 70.0
UNSENT = (Code.FULL, Code.DRAINING, Code.UNREACHABLE)
OVER = (ResolutionKind.NOT_STARTED, ResolutionKind.LEASE_LAPSED)


class _Simulation:
    """Starts and resolves tasks at random hosts while faults come and go."""

    def __init__(self, seed, *, cuts):
        self.rng = random.Random(seed)
        self.cuts = cuts
        self.cluster = FakeCluster(workers=WORKERS)
        self.starts, self.over, self.faults = {}, {}, []

    async def run(self, cluster):
        for _ in range(STEPS):
            await cluster.clock.advance(self.rng.choice((0.25, 0.5, 1.0)))
            self.change_faults()
            self.end_tasks()
            for host in sorted(set(HOSTS) - cluster.paused):
                for session in cluster.hosts[host].sessions.values():
                    await self.use(session)
            self.check()
        for worker in cluster.workers.values():
            worker.faults = {}
        for faulty in (cluster.paused, cluster.no_peer, cluster.cut):
            faulty.clear()
        await cluster.clock.advance(HEALED_S)
        self.check()
        self.check_owners()
        return self.faults

    def change_faults(self):
        rng, cluster = self.rng, self.cluster
        host = rng.choice(HOSTS)
        if rng.random() < 0.05:
            worker = cluster.workers[rng.choice(WORKERS)]
            fault = {rng.choice(CALLS): rng.choice(("drop", "lose", "refuse"))}
            worker.faults = {} if worker.faults else fault
        if rng.random() < 0.04:
            cluster.paused ^= {host}
            cluster.no_peer ^= {host}
        if self.cuts and rng.random() < 0.04:
            cluster.cut ^= {host}

    def end_tasks(self):
        for worker in self.cluster.workers.values():
            worker.lapse()
            for task_id in list(worker.tasks):
                if self.rng.random() < 0.05:
                    worker.finish(task_id)

    async def use(self, session):
        now = self.cluster.clock.at
        is_asked = self.rng.random() < 0.5
        if is_asked and isinstance(session.reserve(ONE, now), Success):
            task_id = f"t{len(self.starts)}"
            start = StartRecord(task_id, session.name, session.epoch, ONE, now)
            self.starts[task_id] = start
            reply = await session.start(
                start, work_class="s", payload="", now=now
            )
            if isinstance(reply, Failure) and reply.failure().code in UNSENT:
                self.over[task_id] = "unsent"
        await self.resolve_one(session, now)

    async def resolve_one(self, session, now):
        mine = [
            start
            for start in self.starts.values()
            if start.worker == session.name and start.task_id not in self.over
        ]
        if mine and self.rng.random() < 0.5:
            start = self.rng.choice(mine[-RECENT:])
            reply = await session.resolve(start, now=now)
            kind = reply.map(lambda r: r.kind).value_or(None)
            if kind in OVER:
                self.over[start.task_id] = kind

    def check(self):
        for worker in self.cluster.workers.values():
            used = sum_resources(t.grant for t in worker.tasks.values())
            if not fits(used, worker.size):
                self.faults.append(("over its size", used))
            runs_on = set(worker.tasks) & set(self.over)
            self.faults += [("runs", t, self.over[t]) for t in runs_on]

    def check_owners(self):
        for name, worker in self.cluster.workers.items():
            owners = self.cluster.owners(name)
            listed = [
                set(self.cluster.hosts[o].sessions[name].tasks) for o in owners
            ]
            if listed != [set(worker.tasks)]:
                self.faults.append((name, owners, listed, set(worker.tasks)))


class TestFaults(testtools.TestCase):
    """Guards against combinations of faults that no single test forces.

    No task may run after it was resolved as not started or lapsed, no worker
    may hold more than its size, and in the end each has one owner that knows
    exactly its tasks.
    """

    def _run(self, seed, *, cuts):
        async def main():
            simulation = _Simulation(seed, cuts=cuts)
            return await simulation.cluster.run(simulation.run)

        self.assertThat(asyncio.run(main()), Equals([]))

    def test_pauses_and_lost_answers(self):
        self._run(1, cuts=False)

    def test_hosts_that_are_cut_off_from_workers(self):
        # Fails with these seeds if a paused owner need not be confirmed and
        # a start of a later epoch does not prove that it was overtaken.
        for seed in (4, 5):
            self._run(seed, cuts=True)
