"""A cell of real host processes over the platform's protocols."""

__all__ = ["SoakWorld"]

import asyncio
import contextlib
import itertools
import os
import pathlib
import random

import aiohttp
import attrs
import msgspec

from dragonflybank.adapter.daemon import HttpPlatform
from dragonflybank.adapter.standins.encode import (
    config_body,
    executor_entry_body,
    job_body,
)
from dragonflybank.adapter.standins.servers import (
    AdviceServer,
    ExecutorServer,
    StoreServer,
)
from dragonflybank.bench.deployment import wait_until
from dragonflybank.bench.soak.processes import HostProcess
from dragonflybank.bench.soak.proxy import TcpProxy
from dragonflybank.cell.election import LEADER_KEY, LeaderRecord
from dragonflybank.cell.jobs import (
    CellConfig,
    Job,
    JobPhase,
    Queue,
    Service,
)
from dragonflybank.standins.cell.executors import MemoryExecutor
from dragonflybank.standins.cell.simulated_cell import (
    SERVICE_NAME,
    SimulatedCell,
)

HEARTBEAT_S = 1.5
MISSED_HEARTBEATS = 3
CALL_LIMIT_S = 3.0
START_LIMIT_S = 30.0
# A request that is cut earlier may have crossed the end of its connection.
LOSS_SLACK_S = 0.2
SUBMIT_TRIES = 5
READY_EVERY_S = 1.0
PROBE_EVERY_S = 0.4
POLL_S = 0.5
# Callers keep to their host for this share of their calls.
STICKY_SHARE = 0.6
# Bounds of the pages: a configuration is in force this long after it was
# written, for hosts that were left alone for as long before.
CONFIG_S = 2.5 + 6.0
IN_TOUCH_S = 4.0
FRONT = "front"


class SoakWorld(SimulatedCell):
    """Stand-ins in this process, hosts as processes.

    Attributes:
        processes: Hosts by name.
        disturbed_at: Time at which the store was last disturbed.
        wrong: What was seen that must not be, beside the rules of jobs.
        notes: What was done to the cell, with its time.

    Args:
        seed: Seed of all that is drawn.
        folder: Where settings and logs of the hosts are written.
        hosts: Number of hosts.
        executors: Number of executors.
    """

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        *,
        hosts: int = 3,
        executors: int = 6,
    ):
        super().__init__(seed, hosts=hosts, executors=executors)
        self.processes: dict[str, HostProcess] = {}
        self.disturbed_at = 0.0
        self.wrong: list[str] = []
        self.notes: list[str] = []
        self.executor_proxies: dict[str, TcpProxy] = {}
        self._folder = folder
        # Addresses of this soak's own, so that several can run at once.
        self._net = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}"
        self._servers: list = []
        self._tasks: list[asyncio.Task] = []
        self._ready: set[str] = set()
        self._version = 0
        self._configured_at = 0.0
        self._beats = itertools.count(1)
        self._sessions: dict[str, aiohttp.ClientSession] = {}
        self._seen_version: dict[tuple[str, int], int] = {}
        self._began_at = self.now()

    def now(self) -> float:
        """Returns the present time in seconds."""
        return asyncio.get_running_loop().time()

    def note(self, text: str) -> None:
        """Notes what is done to the cell."""
        self.notes.append(f"{self.now() - self._began_at:7.2f} {text}")

    async def start(self) -> None:
        """Starts stand-ins, proxies and hosts; waits until one is ready."""
        self._probing = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_LIMIT_S)
        )
        self.configure()
        for executor in self.executors.values():
            await self._serve_executor(executor)
            self._spawn(self._beat(executor))
        for number, name in enumerate(self._host_names):
            await self._add_host(name, f"{self._net}.{number + 1}")
        self._spawn(self._balance())
        await wait_until(self._is_ready, timeout_s=START_LIMIT_S)
        self._spawn(self._probe_always())

    async def _is_ready(self) -> bool:
        return bool(self._ready)

    async def close(self) -> None:
        """Ends all processes and servers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*(h.close() for h in self.processes.values()))
        for session in (*self._sessions.values(), self._probing):
            await session.close()
        for server in (*self.executor_proxies.values(), *self._servers):
            await server.close()

    def configure(self) -> None:
        """Writes the next configuration; each has one queue of its own."""
        self._version += 1
        extra = attrs.evolve(
            next(iter(self._queues.values())),
            name=f"extra-{self._version}",
            prefix=f"/extra-{self._version}/",
        )
        queues: tuple[Queue, ...] = (*self._queues.values(), extra)
        cfg = CellConfig(
            self._version,
            {FRONT: queues},
            {SERVICE_NAME: Service(SERVICE_NAME)},
        )
        self.store.put(HttpPlatform.config_key, config_body(cfg))
        self._configured_at = self.now()

    def leader(self) -> str:
        """Returns the name of the elected host, or an empty string."""
        raw = self.store.get(LEADER_KEY)
        return msgspec.json.decode(raw, type=LeaderRecord).name if raw else ""

    def write_executor_entry(self, executor: MemoryExecutor) -> None:
        """Writes an executor's entry."""
        info = executor.info
        address = self.executor_proxies[info.id].address
        entry = executor_entry_body(
            attrs.evolve(info, address=address), next(self._beats)
        )
        self.store.put(HttpPlatform.executors_prefix + info.id, entry)

    def remove_executor_entry(self, executor: MemoryExecutor) -> None:
        """Removes an executor's entry."""
        self.store.put(HttpPlatform.executors_prefix + executor.info.id, None)

    def summary(self) -> str:
        """Returns how much was played."""
        history = self.history
        runs = sum(len(e.runs) for e in self.executors.values())
        lives = sum(host.life for host in self.processes.values())
        return (
            f"{len(history.jobs)} jobs, {len(history.accepted)} accepted, "
            f"{len(history.cancelled)} cancelled, {runs} task starts, "
            f"{lives} processes, {self._version} configurations"
        )

    async def submit(self, job: Job) -> bool:
        """Submits a job as a caller does; False if it was refused."""
        self.history.jobs[job.id] = job
        is_refused = True
        for _ in range(SUBMIT_TRIES):
            status = await self._call("POST", job, job_body(job))
            if status is not None and 200 <= status < 300:
                self.history.accepted[job.id] = self.now()
                return True
            if status == 404:
                self.wrong.append(f"CONFIG {job.queue.name} is not known")
            is_refused &= status in (429, 503)
            await asyncio.sleep(1.0)
        if is_refused:
            self.history.refused.add(job.id)
        return False

    async def wait_until_final(
        self, job: Job, *, timeout_s: float
    ) -> JobPhase | None:
        """Asks for a job's state until it is final."""
        until = self.now() + timeout_s
        observed_phases = self.history.observed_phases.setdefault(job.id, [])
        while self.now() < until:
            await asyncio.sleep(POLL_S)
            status, body = await self._exchange("GET", job, None)
            if status == 410:
                self.wrong.append(f"LOST {job.id} is said not to exist")
                return None
            if status != 200:
                continue
            phase = JobPhase(msgspec.json.decode(body)["state"])
            observed_phases.append((self.now(), phase))
            if phase.is_final:
                return phase
        return None

    async def cancel(self, job: Job) -> None:
        """Cancels a job as a caller does."""
        for _ in range(SUBMIT_TRIES):
            status = await self._call("DELETE", job, None)
            if status == 410:
                self.wrong.append(f"LOST {job.id} is said not to exist")
            if status is not None and 200 <= status < 300:
                self.history.cancelled[job.id] = self.now()
                return
            await asyncio.sleep(1.0)

    async def _call(
        self, method: str, job: Job, body: bytes | None
    ) -> int | None:
        status, _ = await self._exchange(method, job, body)
        return status

    async def _exchange(
        self, method: str, job: Job, body: bytes | None
    ) -> tuple[int | None, bytes]:
        host = self._host_for(job)
        session = self._session(host.name)
        sent_at, life = self.now(), host.life
        try:
            async with session.request(
                method,
                f"http://{host.front.address}{job.queue.prefix}{job.id}",
                data=body,
                headers={
                    "Host": FRONT,
                    "Deadline-Ms": str(int(CALL_LIMIT_S * 1000)),
                },
            ) as resp:
                return resp.status, await resp.read()
        except aiohttp.ClientConnectorError:
            return None, b""
        except TimeoutError:
            return None, b""
        except (aiohttp.ClientError, OSError):
            self._check_cut(host, life, sent_at)
            return None, b""

    def _session(self, host: str) -> aiohttp.ClientSession:
        """Returns the open connections of callers to a host."""
        if host not in self._sessions:
            self._sessions[host] = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=CALL_LIMIT_S)
            )
        return self._sessions[host]

    def _check_cut(self, host: HostProcess, life: int, sent_at: float) -> None:
        """Notes a request that a graceful shutdown has cut off."""
        since = host.stopping_since
        is_graceful = since is not None and host.touched_at == since
        if (
            is_graceful
            and host.life == life
            and self.now() - sent_at > LOSS_SLACK_S
        ):
            self.wrong.append(f"LOST a request cut by the stop of {host.name}")

    def _host_for(self, job: Job) -> HostProcess:
        names = list(self.processes)
        sticky = names[int(job.id, 16) % len(names)]
        ready = sorted(self._ready)
        if not ready or self.rng.random() < STICKY_SHARE:
            return self.processes[sticky]
        return self.processes[self.rng.choice(ready)]

    async def _serve_executor(self, executor: MemoryExecutor) -> None:
        server = ExecutorServer(executor.info.id, executor.client("any"))
        await server.start()
        self._servers.append(server)
        proxy = TcpProxy(lambda: server.address)
        await proxy.start("127.0.0.1")
        self.executor_proxies[executor.info.id] = proxy

    async def _add_host(self, name: str, ip: str) -> None:
        server = StoreServer(self.store.client(name))
        await server.start()
        advice = AdviceServer()
        await advice.start()
        self._servers += [server, advice]
        store = TcpProxy(lambda: server.address)
        await store.start("127.0.0.1")
        host = HostProcess(
            name,
            ip,
            folder=self._folder,
            store=store,
            advice_address=advice.address,
            rng=random.Random(self.rng.getrandbits(32)),
        )
        self.processes[name] = host
        self._spawn(host.run("127.0.0.1"))

    async def _beat(self, executor: MemoryExecutor) -> None:
        missed = 0
        while True:
            faults = self.store.faults
            if executor.faults.is_crashed:
                missed += 1
                if missed == MISSED_HEARTBEATS:
                    self.remove_executor_entry(executor)
            elif not faults.is_down and not faults.is_refusing:
                missed = 0
                self.write_executor_entry(executor)
            await asyncio.sleep(HEARTBEAT_S)

    async def _balance(self) -> None:
        """Asks the hosts whether they are ready, as the platform does."""
        misses = dict.fromkeys(self.processes, 2)
        while True:
            for name, host in self.processes.items():
                status = await self._ask(host.ready_url, limit_s=0.5)
                misses[name] = 0 if status == 200 else misses[name] + 1
                host.was_ready |= status == 200
            self._ready = {n for n, count in misses.items() if count < 2}
            await asyncio.sleep(READY_EVERY_S)

    async def _probe_always(self) -> None:
        while True:
            for host in self.processes.values():
                await self._probe(host)
            await asyncio.sleep(PROBE_EVERY_S)

    async def _probe(self, host: HostProcess) -> None:
        """Checks that a host's configuration follows and never goes back."""
        version, life, asked_at = self._version, host.life, self.now()
        url = f"http://{host.front.address}/extra-{version}/"
        status = await self._ask(url, limit_s=1.0)
        if status is None or host.life != life:
            return
        key = host.name, life
        if status != 404:
            self._seen_version[key] = max(
                version, self._seen_version.get(key, 0)
            )
            return
        if self._seen_version.get(key, 0) >= version:
            self.wrong.append(f"CONFIG {host.name} went back from {version}")
        calm_at = max(host.touched_at, self.disturbed_at) + IN_TOUCH_S
        if asked_at > max(calm_at, self._configured_at + CONFIG_S):
            self.wrong.append(f"CONFIG {host.name} has not taken {version}")

    async def _ask(self, url: str, *, limit_s: float) -> int | None:
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self._probing.get(
                url,
                headers={"Host": FRONT},
                timeout=aiohttp.ClientTimeout(total=limit_s),
            ) as resp:
                return resp.status
        return None

    def _spawn(self, work) -> None:
        self._tasks.append(asyncio.create_task(work))
