"""A cell of host processes that use the HTTP protocols of the platform."""

__all__ = ["LONG_RUN_RANGE_S", "ProcessCell"]

import asyncio
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
from dragonflybank.bench.soak.configurations import (
    LASTING_KEY,
    UNKNOWN_KEY,
    draw_key,
    make_configuration,
)
from dragonflybank.bench.soak.processes import HostProcess, get_status
from dragonflybank.bench.soak.proxy import TcpProxy
from dragonflybank.bench.soak.recording import RecordingClient
from dragonflybank.cell.election import LEADER_KEY, LeaderRecord
from dragonflybank.cell.jobs import Job, JobPhase, Step
from dragonflybank.standins.cell.checks import KeyDecision
from dragonflybank.standins.cell.executors import MemoryExecutor
from dragonflybank.standins.cell.simulated_cell import (
    SERVICE_NAME,
    SimulatedCell,
    SubmissionLoad,
)

HEARTBEAT_INTERVAL_S = 1.5
MISSED_HEARTBEATS = 3
CALL_TIMEOUT_S = 3.0
START_TIMEOUT_S = 30.0
# A younger request may have been sent while the host closed its connection.
MIN_LOST_REQUEST_AGE_S = 0.2
MAX_SUBMIT_ATTEMPTS = 5
READINESS_INTERVAL_S = 1.0
CONFIG_CHECK_INTERVAL_S = 0.4
PHASE_POLL_INTERVAL_S = 0.5
# Pauses before an ended job is asked for again. By the last answer, no host may
# repeat what it learned before the end.
ASK_AGAIN_INTERVALS_S = (0.5, 4.0)
# Share of the calls that a caller sends to the same host for a given job.
STICKY_CALL_SHARE = 0.6
# A configuration must be in force this long after it was written, at hosts
# that were undisturbed for the time below.
CONFIG_PROPAGATION_LIMIT_S = 2.5 + 6.0
UNDISTURBED_S = 4.0
CALLER_HOSTNAME = "front"
# Longer than a restart, a cut and a lease.
LONG_RUN_RANGE_S = (8.0, 20.0)


class ProcessCell(SimulatedCell):
    """A cell with stand-ins in this process and each host as a process.

    Attributes:
        processes: Hosts by name.
        store_disturbed_at: Time at which the store was last disturbed, as
            given by `now`; infinite during a fault of the store.
        violations: Descriptions of violations other than those of the rules
            about jobs, which `find_violations` reports.
        notes: Faults, violations and the summary, each with its time.
        executor_proxies: Proxies between hosts and executors, by identifier
            of the executor.
        silent_executors: Identifiers of executors that don't renew their
            entries.

    Args:
        seed: Seed of all random draws.
        folder: Folder for the settings and logs of the hosts.
        hosts: Number of hosts.
        executors: Number of executors.
        long_share: Share of the jobs whose tasks run for 8 to 20 s.
    """

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        *,
        hosts: int = 3,
        executors: int = 6,
        long_share: float = 0.0,
    ):
        super().__init__(seed, hosts=hosts, executors=executors)
        self.processes: dict[str, HostProcess] = {}
        self.store_disturbed_at = 0.0
        self.violations: list[str] = []
        self.notes: list[str] = []
        self.executor_proxies: dict[str, TcpProxy] = {}
        self.silent_executors: set[str] = set()
        self.started_at = self.now()
        self._folder = folder
        self._long_share = long_share
        # Each process of the soak has its own addresses, so that several can
        # run at once.
        self._network_prefix = (
            f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}"
        )
        self._standin_servers: list = []
        self._tasks: list[asyncio.Task] = []
        self._ready_hosts: set[str] = set()
        self._config_version = 0
        self._configured_at = 0.0
        self._heartbeat_numbers = itertools.count(1)
        self._caller_sessions: dict[str, aiohttp.ClientSession] = {}
        self._served_version: dict[tuple[str, int], int] = {}

    def now(self) -> float:
        """Returns the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    def add_note(self, text: str) -> None:
        """Adds a line with the current time to the notes."""
        self.notes.append(f"{self.now() - self.started_at:7.2f} {text}")

    async def start(self) -> None:
        """Starts stand-ins, proxies and hosts; waits until a host is ready."""
        self._probe_session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        )
        self.configure()
        for executor in self.executors.values():
            await self._serve_executor(executor)
            self._start_task(self._send_heartbeats(executor))
        for number, name in enumerate(self._host_names):
            await self._add_host(name, f"{self._network_prefix}.{number + 1}")
        self._start_task(self._poll_readiness())
        await wait_until(self._is_any_host_ready, timeout_s=START_TIMEOUT_S)
        self._start_task(self._check_configurations())

    async def _is_any_host_ready(self) -> bool:
        return bool(self._ready_hosts)

    async def close(self) -> None:
        """Stops all processes and servers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*(h.close() for h in self.processes.values()))
        for session in (*self._caller_sessions.values(), self._probe_session):
            await session.close()
        for server in (*self.executor_proxies.values(), *self._standin_servers):
            await server.close()

    def configure(self) -> None:
        """Writes the next configuration, which adds a queue named after it."""
        self._config_version += 1
        cfg, keys = make_configuration(
            self._config_version,
            CALLER_HOSTNAME,
            self._queues.values(),
            SERVICE_NAME,
        )
        self.store.put(HttpPlatform.config_key, config_body(cfg, keys=keys))
        known = frozenset(itertools.chain.from_iterable(keys.values()))
        self.history.keys.append((self.now(), known))
        for queue in cfg.queues[CALLER_HOSTNAME]:
            self.history.record_service(queue, self.now())
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
            attrs.evolve(info, address=address), next(self._heartbeat_numbers)
        )
        self.store.put(HttpPlatform.executors_prefix + info.id, entry)

    def remove_executor_entry(self, executor: MemoryExecutor) -> None:
        """Removes an executor's entry."""
        self.store.put(HttpPlatform.executors_prefix + executor.info.id, None)

    def describe_run(self) -> str:
        """Returns numbers of jobs, starts, processes, restarts and so on."""
        history = self.history
        runs = sum(len(e.runs) for e in self.executors.values())
        restarts = sum(e.info.incarnation - 1 for e in self.executors.values())
        processes = sum(host.process_number for host in self.processes.values())
        return (
            f"{len(history.jobs)} jobs, {len(history.accepted)} accepted, "
            f"{len(history.cancelled)} cancelled, {runs} task starts, "
            f"{processes} processes, {restarts} executor restarts, "
            f"{self._config_version} configurations"
        )

    def draw_job(self, load: SubmissionLoad) -> Job:
        """Draws a job; a share of them has tasks that run for long."""
        if self.rng.random() >= self._long_share:
            return super().draw_job(load)
        run_s = self.rng.uniform(*LONG_RUN_RANGE_S)
        step = Step(
            self.rng.randint(2, 6),
            millicores=1000 * self.rng.randint(1, 2),
            memory_mb=1000,
            estimate_s=run_s,
        )
        # Starts with a ticket are refused if they come much later.
        name = self.rng.choice(("lookup", "sweep"))
        return self.make_job(name, step, run_s=run_s)

    async def submit(self, job: Job) -> bool:
        """Submits a job as a caller does; returns whether it was accepted."""
        self.history.record_submission(job, self.now())
        is_refused = True
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            status, _, _ = await self._send_request("POST", job, job_body(job))
            if status is not None and 200 <= status < 300:
                self.history.accepted[job.id] = self.now()
                return True
            if status == 404:
                self.violations.append(f"CONFIG {job.queue.name} is not known")
            is_refused &= status in (401, 429, 503)
            await asyncio.sleep(1.0)
        if is_refused:
            self.history.refused.add(job.id)
        return False

    async def wait_until_final(
        self, job: Job, *, timeout_s: float
    ) -> JobPhase | None:
        """Polls the phase of a job until it is final.

        Returns:
            The final phase; None after the timeout or if the job is unknown.
        """
        deadline = self.now() + timeout_s
        observed_phases = self.history.observed_phases.setdefault(job.id, [])
        while self.now() < deadline:
            await asyncio.sleep(PHASE_POLL_INTERVAL_S)
            status, body, process = await self._send_request("GET", job, None)
            if status == 410:
                self.violations.append(f"LOST {job.id} is said not to exist")
                return None
            if status != 200:
                continue
            phase = self._check_phase(job, body, process)
            observed_phases.append((self.now(), phase))
            if phase.is_final:
                await self._ask_again(job)
                return phase
        return None

    async def _ask_again(self, job: Job) -> None:
        """Asks all hosts for the phase of an ended job, for some seconds."""
        for interval_s in ASK_AGAIN_INTERVALS_S:
            await asyncio.sleep(interval_s)
            for name in list(self.processes):
                status, body, process = await self._send_request(
                    "GET", job, None, host_name=name
                )
                if status == 200:
                    self._check_phase(job, body, process)

    def _check_phase(self, job: Job, body: bytes, process: str) -> JobPhase:
        """Returns the phase that a process answered, after its check."""
        phase = JobPhase(msgspec.json.decode(body)["state"])
        self.answer_check.check_phase(process, job.id, phase, self.now())
        return phase

    async def cancel(self, job: Job) -> None:
        """Cancels a job as a caller does."""
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            status, _, process = await self._send_request("DELETE", job, None)
            if status == 410:
                self.violations.append(f"LOST {job.id} is said not to exist")
            if status is not None and 200 <= status < 300:
                self.history.cancelled[job.id] = self.now()
                self.answer_check.check_cancel(process, job.id, self.now())
                return
            await asyncio.sleep(1.0)

    async def _send_request(
        self,
        method: str,
        job: Job,
        body: bytes | None,
        *,
        host_name: str = "",
    ) -> tuple[int | None, bytes, str]:
        """Sends a request about a job.

        Args:
            method: Its method.
            job: The job.
            body: Its body, None without one.
            host_name: Host that it is sent to; drawn if empty.

        Returns:
            Status, None without an answer; body; and process of the host.
        """
        host = self.processes.get(host_name) or self._choose_host(job)
        session = self._caller_session(host.name)
        sent_at, process_number = self.now(), host.process_number
        key = (
            draw_key(self._config_version, self.rng)
            if method == "POST"
            else LASTING_KEY
        )
        try:
            async with session.request(
                method,
                f"http://{host.caller_proxy.address}{job.queue.prefix}{job.id}",
                data=body,
                headers={
                    "Host": CALLER_HOSTNAME,
                    "Deadline-Ms": str(int(CALL_TIMEOUT_S * 1000)),
                    "Authorization": f"Bearer {key}",
                },
            ) as resp:
                self._record_key_decision(host, key, sent_at, resp.status)
                process = f"{host.name}#{process_number}"
                return resp.status, await resp.read(), process
        except (aiohttp.ClientConnectorError, TimeoutError):
            return None, b"", ""
        except (aiohttp.ClientError, OSError):
            self._check_lost_request(host, process_number, sent_at)
            return None, b"", ""

    def _record_key_decision(
        self, host: HostProcess, key: str, sent_at: float, status: int
    ) -> None:
        """Records whether a host admitted a key.

        A host that was disturbed may have an old configuration. Its decisions
        are judged only for keys that are in force always or never. Other
        statuses than these come before the check of the key.
        """
        undisturbed_at = (
            max(host.disturbed_at, self.store_disturbed_at)
            + CONFIG_PROPAGATION_LIMIT_S
        )
        is_judged = sent_at > undisturbed_at or key in (
            LASTING_KEY,
            UNKNOWN_KEY,
        )
        if is_judged and status in (200, 401):
            self.history.key_decisions.append(
                KeyDecision(sent_at, self.now(), key, status == 200)
            )

    def _caller_session(self, host: str) -> aiohttp.ClientSession:
        """Returns the HTTP session that all callers use for a host."""
        if host not in self._caller_sessions:
            self._caller_sessions[host] = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
            )
        return self._caller_sessions[host]

    def _check_lost_request(
        self, host: HostProcess, process_number: int, sent_at: float
    ) -> None:
        """Records a violation if a graceful shutdown has cut a request off."""
        since = host.stopping_since
        is_graceful = since is not None and host.disturbed_at == since
        if (
            is_graceful
            and host.process_number == process_number
            and self.now() - sent_at > MIN_LOST_REQUEST_AGE_S
        ):
            self.violations.append(
                f"LOST a request cut by the stop of {host.name}"
            )

    def _choose_host(self, job: Job) -> HostProcess:
        names = list(self.processes)
        sticky = names[int(job.id, 16) % len(names)]
        ready_hosts = sorted(self._ready_hosts)
        if not ready_hosts or self.rng.random() < STICKY_CALL_SHARE:
            return self.processes[sticky]
        return self.processes[self.rng.choice(ready_hosts)]

    async def _serve_executor(self, executor: MemoryExecutor) -> None:
        client = RecordingClient(
            executor, self._folder / "executors.log", self.started_at
        )
        server = ExecutorServer(executor.info.id, client)
        await server.start()
        self._standin_servers.append(server)
        proxy = TcpProxy(lambda: server.address)
        await proxy.start("127.0.0.1")
        self.executor_proxies[executor.info.id] = proxy

    async def _add_host(self, name: str, ip: str) -> None:
        server = StoreServer(self.store.client(name))
        await server.start()
        advice = AdviceServer(self._issue_ticket)
        await advice.start()
        self._standin_servers += [server, advice]
        store_proxy = TcpProxy(lambda: server.address)
        await store_proxy.start("127.0.0.1")
        host = HostProcess(
            name,
            ip,
            folder=self._folder,
            store_proxy=store_proxy,
            advice_address=advice.address,
            rng=random.Random(self.rng.getrandbits(32)),
        )
        self.processes[name] = host
        self._start_task(host.run("127.0.0.1"))

    def _issue_ticket(self, step: str, executor: str) -> str:
        """Returns a ticket of the form that `MemoryExecutor` checks."""
        incarnation = self.executors[executor].info.incarnation
        return f"{step}/{executor}/{incarnation}/{self.now()}"

    async def _send_heartbeats(self, executor: MemoryExecutor) -> None:
        missed = 0
        while True:
            faults = self.store.faults
            is_silent = executor.info.id in self.silent_executors
            if executor.faults.is_crashed or is_silent:
                missed += 1
                if missed == MISSED_HEARTBEATS:
                    self.remove_executor_entry(executor)
            elif not faults.is_down and not faults.is_refusing:
                missed = 0
                self.write_executor_entry(executor)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _poll_readiness(self) -> None:
        """Polls the readiness of the hosts, as the load balancer does."""
        misses = dict.fromkeys(self.processes, 2)
        while True:
            for name, host in self.processes.items():
                status = await get_status(
                    self._probe_session,
                    host.ready_url,
                    CALLER_HOSTNAME,
                    timeout_s=0.5,
                )
                misses[name] = 0 if status == 200 else misses[name] + 1
                host.was_ready |= status == 200
            self._ready_hosts = {n for n, count in misses.items() if count < 2}
            await asyncio.sleep(READINESS_INTERVAL_S)

    async def _check_configurations(self) -> None:
        while True:
            for host in self.processes.values():
                await self._check_configuration(host)
            await asyncio.sleep(CONFIG_CHECK_INTERVAL_S)

    async def _check_configuration(self, host: HostProcess) -> None:
        """Checks that a host adopts the latest configuration and keeps it."""
        version, process_number, asked_at = (
            self._config_version,
            host.process_number,
            self.now(),
        )
        url = f"http://{host.caller_proxy.address}/extra-{version}/"
        status = await get_status(
            self._probe_session, url, CALLER_HOSTNAME, timeout_s=1.0
        )
        if status is None or host.process_number != process_number:
            return
        key = host.name, process_number
        if status != 404:
            self._served_version[key] = max(
                version, self._served_version.get(key, 0)
            )
            return
        if self._served_version.get(key, 0) >= version:
            self.violations.append(
                f"CONFIG {host.name} reverted from {version}"
            )
        undisturbed_since = (
            max(host.disturbed_at, self.store_disturbed_at) + UNDISTURBED_S
        )
        if asked_at > max(
            undisturbed_since, self._configured_at + CONFIG_PROPAGATION_LIMIT_S
        ):
            self.violations.append(
                f"CONFIG {host.name} has not adopted {version}"
            )

    def _start_task(self, coro) -> None:
        self._tasks.append(asyncio.create_task(coro))
