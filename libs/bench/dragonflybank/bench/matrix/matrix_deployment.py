"""A small deployment: stand-ins in this process, hosts as processes.

Every call to a stand-in and every request between hosts is reported before it
goes on, so that a fault can be injected at an exact call.
"""

__all__ = ["MatrixDeployment"]

import asyncio
import pathlib
import shutil
import signal
import tempfile
import time
from collections.abc import Sequence

import aiohttp

from dragonflybank.bench.deployment import (
    HostProcess,
    ServerProcess,
    wait_until,
)
from dragonflybank.bench.matrix.breakpoints import (
    STORE_CALLS,
    WORKER_CALLS,
    Breakpoint,
    CallPattern,
    call_hook,
)
from dragonflybank.bench.matrix.layout import (
    HOME_REGION,
    HOME_TEAM,
    SHARDS_PER_REGION,
    WORKER_SIZE,
    choose_worker_names,
    host_specs,
    operator_config,
)
from dragonflybank.bench.matrix.relay import RelayTable
from dragonflybank.config.editor import ConfigEditor
from dragonflybank.config.settings import Settings, encode_settings
from dragonflybank.config.topology import HostSpec
from dragonflybank.model.hashing import rank_members, shard_of_job
from dragonflybank.model.topology import VmInfo, VmRole
from dragonflybank.platform.store import HttpConfigStore
from dragonflybank.standins.faults import HookTiming
from dragonflybank.standins.records import (
    GenerationSeen,
    HostDrained,
    Record,
    RecordLog,
)
from dragonflybank.standins.store_server import StoreServer
from dragonflybank.standins.vmlist_server import VmListServer
from dragonflybank.standins.worker_server import WorkerServer

READY_TIMEOUT_S = 60.0
REQUEST_TIMEOUT_S = 2.0
SAMPLE_INTERVAL_S = 0.5
# After a pause, a host has this long to read the configuration again before its
# generation is sampled.
CATCH_UP_TIME_S = 6.0


class MatrixDeployment:
    """The deployment of one cell.

    Attributes:
        log: Records of all stand-ins and of this class.
        store: The store.
        vmlist: The VM list.
        workers: Workers by name.
        hosts: Scheduler hosts by name, dead ones included.
        relays: Relays between the hosts.
        stopped_hosts: Names of the hosts that were killed or drained.
        paused_urls: Base URLs of the hosts that were ever paused.
        host_specs: The hosts that `start` starts.
        http: Session for all HTTP requests, None before the start.

    Args:
        start_slots: Limits the hosts that start at the same time; a start
            takes about a second of CPU time.
        two_regions: Whether the third host is in a region of its own.
    """

    def __init__(
        self, start_slots: asyncio.Semaphore, *, two_regions: bool = False
    ):
        self._start_slots = start_slots
        self.log = RecordLog()
        self.store = StoreServer(log=self.log)
        self.vmlist = VmListServer(log=self.log)
        self.hosts: dict[str, HostProcess] = {}
        self.stopped_hosts: set[str] = set()
        self.relays = RelayTable(self._on_request)
        self.host_specs = host_specs(two_regions=two_regions)
        self.workers = {
            name: WorkerServer(name, WORKER_SIZE, self.log)
            for name in choose_worker_names(self.host_specs)
        }
        self._regions = {
            name: spec.region
            for name, spec in zip(self.workers, self.host_specs, strict=True)
        }
        self._breakpoints: list[Breakpoint] = []
        self._temporary_folder = tempfile.TemporaryDirectory(
            prefix="dragonflybank-"
        )
        self.paused_urls: set[str] = set()
        self._unsampled_until: dict[str, float] = {}
        self._sampling_task: asyncio.Task | None = None
        self.http: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Starts the stand-ins and the hosts, without waiting for readiness."""
        self.http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
        )
        for server in (self.store, self.vmlist, *self.workers.values()):
            await server.start()
        self._arm_hooks(self.store, STORE_CALLS)
        for worker in self.workers.values():
            self._arm_hooks(worker, WORKER_CALLS)
        await self._write_config()
        for name in self.workers:
            self.list_worker(name)
        await asyncio.gather(*(self.start_host(p) for p in self.host_specs))
        self._sampling_task = asyncio.create_task(self._sample_generations())

    async def start_host(self, spec: HostSpec) -> HostProcess:
        """Starts a host and its relay and adds the host to the VM list."""
        self.relays.stop_accepting(spec.name)
        settings = Settings(
            spec.name,
            spec.region,
            self.store.url,
            self.vmlist.url,
            failure_domain=spec.failure_domain,
            shards_per_region=SHARDS_PER_REGION,
        )
        folder = pathlib.Path(self._temporary_folder.name)
        path = folder / f"{spec.name}.json"
        path.write_text(encode_settings(settings))
        log = folder / f"{spec.name}.log"
        async with self._start_slots:
            process = await ServerProcess.start(
                "dragonflybank.host",
                str(path),
                log=log,
                timeout_s=READY_TIMEOUT_S,
            )
        host = HostProcess(spec, process, log)
        self.hosts[spec.name] = host
        self.stopped_hosts.discard(spec.name)
        port = await self.relays.add(spec.name, process.ports["peer_port"])
        self.vmlist.put(
            VmInfo(
                spec.name,
                "127.0.0.1",
                port,
                spec.region,
                spec.failure_domain,
                role=VmRole.HOST,
            )
        )
        return host

    def list_worker(self, name: str) -> None:
        """Adds a worker to the VM list."""
        region = self._regions.get(name, HOME_REGION)
        worker = self.workers[name]
        self.vmlist.put(
            VmInfo(
                name,
                "127.0.0.1",
                worker.port,
                region,
                region,
                rack=f"rack-{name}",
                size=WORKER_SIZE,
            )
        )

    def add_breakpoint(self, point: Breakpoint) -> Breakpoint:
        """Adds a breakpoint and returns it."""
        self._breakpoints.append(point)
        return point

    def live_hosts(self) -> list[str]:
        """Returns the names of the running hosts that were not stopped."""
        return [
            name
            for name, host in self.hosts.items()
            if host.process.is_running and name not in self.stopped_hosts
        ]

    def live_urls(self) -> list[str]:
        """Returns the base URLs of the hosts that the balancer uses."""
        return [self.hosts[name].url for name in self.live_hosts()]

    def home_host(self, team: str = HOME_TEAM) -> str:
        """Returns the host that ranks first as home of a team's shard."""
        shard = f"{HOME_REGION}/{shard_of_job(team, 'x', SHARDS_PER_REGION)}"
        regional_hosts = [
            name
            for name in self.live_hosts()
            if self.hosts[name].spec.region == HOME_REGION
        ]
        return rank_members(shard, regional_hosts)[0]

    def non_home_host(self, team: str = HOME_TEAM) -> str:
        """Returns a live host that is not the home, if there is one."""
        home_host = self.home_host(team)
        return next(
            (name for name in self.live_hosts() if name != home_host), home_host
        )

    def initial_worker_of(self, host: str) -> str:
        """Returns the worker for which a host ranks first at the start."""
        names = [spec.name for spec in self.host_specs]
        position = names.index(host) if host in names else 0
        return list(self.workers)[position]

    def kill(self, name: str) -> None:
        """Kills the process of a host."""
        self.stopped_hosts.add(name)
        self.relays.stop_accepting(name)
        self.hosts[name].process.signal(signal.SIGKILL)

    def pause(self, name: str) -> None:
        """Pauses the process of a host."""
        self._unsampled_until[name] = float("inf")
        self.paused_urls.add(self.hosts[name].url)
        self.hosts[name].process.signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes the process of a paused host."""
        self._unsampled_until[name] = time.time() + CATCH_UP_TIME_S
        self.hosts[name].process.signal(signal.SIGCONT)

    async def drain(self, name: str) -> None:
        """Shuts a host down gracefully and records a successful shutdown."""
        host = self.hosts[name]
        started_at = time.time()
        self.stopped_hosts.add(name)
        host.process.signal(signal.SIGTERM)
        status = await host.process.wait()
        self.relays.stop_accepting(name)
        if status == 0:
            self.log.add(HostDrained(started_at, host.url, time.time()))

    async def wait_until_ready(self) -> None:
        """Waits until each live host is ready and all workers are owned."""
        await wait_until(self._is_ready, timeout_s=READY_TIMEOUT_S)

    async def read_metrics(self, name: str) -> str:
        """Returns the metrics of a host; empty without a reply."""
        try:
            url = f"{self.hosts[name].url}/metrics"
            async with self.http.get(url) as resp:
                return await resp.text()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return ""

    async def read_generation(self, name: str) -> int:
        """Returns the generation in force at a host, 0 if it is unknown."""
        text = await self.read_metrics(name)
        return int(_metric_value(text, "dragonflybank_config_generation"))

    def records(self) -> Sequence[Record]:
        """Returns all records."""
        return self.log.all()

    def keep_logs(self, folder: pathlib.Path) -> None:
        """Writes the hosts' logs and the records to a folder."""
        shutil.copytree(self._temporary_folder.name, folder, dirs_exist_ok=True)
        lines = "\n".join(str(record) for record in self.records())
        (folder / "records.txt").write_text(lines)

    async def stop_hosts(self) -> None:
        """Kills all hosts."""
        if self._sampling_task is not None:
            self._sampling_task.cancel()
        for host in self.hosts.values():
            host.process.signal(signal.SIGKILL)
        for host in self.hosts.values():
            await host.process.wait()

    async def close(self) -> None:
        """Closes relays and stand-ins after the hosts were stopped."""
        await self.relays.close()
        for server in (self.store, self.vmlist, *self.workers.values()):
            await server.close()
        if self.http is not None:
            await self.http.close()
        self._temporary_folder.cleanup()

    async def _is_ready(self) -> bool:
        names = self.live_hosts()
        texts = [await self.read_metrics(name) for name in names]
        owned = sum(
            _metric_value(t, "dragonflybank_owned_workers") for t in texts
        )
        generations = [
            _metric_value(t, "dragonflybank_config_generation") for t in texts
        ]
        shards = sum(
            _metric_value(t, "dragonflybank_open_shards") for t in texts
        )
        regions = {spec.region for spec in self.host_specs}
        return (
            all(generations)
            and owned >= len(self.workers)
            and shards >= SHARDS_PER_REGION * len(regions)
        )

    async def _write_config(self) -> None:
        cfg = operator_config(self.host_specs)
        store = HttpConfigStore(self.store.url)
        (await ConfigEditor(store).create(cfg)).unwrap()
        await store.close()

    def _arm_hooks(self, server, patterns) -> None:
        for pattern in patterns:
            for when in HookTiming:
                server.arm(call_hook(self.on_call, server.name, pattern, when))

    async def on_call(
        self, pattern: CallPattern, when: HookTiming, server: str
    ) -> None:
        """Runs the breakpoints that match this call and were not hit yet."""
        for point in self._breakpoints:
            is_due = (point.pattern, point.when) == (pattern, when)
            if (
                is_due
                and not point.hit.is_set()
                and point.matches_server(server)
            ):
                point.hit.set()
                await point.on_hit(server)

    async def _on_request(self, sender: str, receiver: str, kind: str) -> None:
        await self.on_call(
            CallPattern("peer", str(kind)), HookTiming.BEFORE, receiver
        )

    async def _sample_generations(self) -> None:
        """Records the generation in force at each host."""
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            for name in self.live_hosts():
                started_at = time.time()
                if started_at < self._unsampled_until.get(name, 0.0):
                    continue
                self._unsampled_until.pop(name, None)
                generation = await self.read_generation(name)
                if generation and name not in self._unsampled_until:
                    pid = str(self.hosts[name].process.pid)
                    self.log.add(
                        GenerationSeen(started_at, name, generation, pid)
                    )


def _metric_value(text: str, name: str) -> float:
    lines = (line for line in text.splitlines() if line.startswith(name + " "))
    return float(next(lines, f"{name} 0").split()[1])
