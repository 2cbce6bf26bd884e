"""A small deployment: stand-ins in this process, hosts as processes.

Every call to a stand-in and every request between hosts passes a tap, so that
a fault strikes at the exact call.
"""

__all__ = ["World"]

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
    STORE_POINTS,
    WORKER_POINTS,
    Point,
    Trap,
    tap_of,
)
from dragonflybank.bench.matrix.layout import (
    HOME_REGION,
    SHARDS,
    SIZE,
    TEAM,
    operator_config,
    places,
    worker_for_each,
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

READY_LIMIT_S = 60.0
ASK_LIMIT_S = 2.0
SAMPLE_S = 0.5
# A host that was paused reads the configuration anew on waking up.
CATCH_UP_S = 6.0


class World:
    """One deployment of a cell.

    Attributes:
        log: Records of all stand-ins and of the driver.
        store: The store.
        vmlist: The VM list.
        workers: Workers by name.
        hosts: Scheduler hosts by name, dead ones included.
        relays: Relays between the hosts.
        gone: Names of the hosts that were killed or drained.
        paused_urls: URLs of the hosts that were paused at some time.

    Args:
        boots: Bounds the hosts that start at once; a start takes about a
            second of a processor.
        two_regions: Whether the third host is in a region of its own.
    """

    def __init__(self, boots: asyncio.Semaphore, *, two_regions: bool = False):
        self._boots = boots
        self.log = RecordLog()
        self.store = StoreServer(log=self.log)
        self.vmlist = VmListServer(log=self.log)
        self.hosts: dict[str, HostProcess] = {}
        self.gone: set[str] = set()
        self.relays = RelayTable(self._on_request)
        self.places = places(two_regions=two_regions)
        self.workers = {
            name: WorkerServer(name, SIZE, self.log)
            for name in worker_for_each(self.places)
        }
        self._regions = {
            name: place.region
            for name, place in zip(self.workers, self.places, strict=True)
        }
        self._traps: list[Trap] = []
        self._scratch = tempfile.TemporaryDirectory(prefix="dragonflybank-")
        self.paused_urls: set[str] = set()
        self._paused: dict[str, float] = {}
        self._sampler: asyncio.Task | None = None
        self.http: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Starts the stand-ins and the hosts; does not wait for readiness."""
        self.http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=ASK_LIMIT_S),
        )
        for server in (self.store, self.vmlist, *self.workers.values()):
            await server.start()
        self._tap(self.store, STORE_POINTS)
        for worker in self.workers.values():
            self._tap(worker, WORKER_POINTS)
        await self._write_config()
        for name in self.workers:
            self.list_worker(name)
        await asyncio.gather(*(self.start_host(p) for p in self.places))
        self._sampler = asyncio.create_task(self._sample_always())

    async def start_host(self, place: HostSpec) -> HostProcess:
        """Starts a host with its relay and lists it."""
        self.relays.forget(place.name)
        settings = Settings(
            place.name,
            place.region,
            self.store.url,
            self.vmlist.url,
            failure_domain=place.failure_domain,
            shards_per_region=SHARDS,
        )
        folder = pathlib.Path(self._scratch.name)
        path = folder / f"{place.name}.json"
        path.write_text(encode_settings(settings))
        log = folder / f"{place.name}.log"
        async with self._boots:
            program = await ServerProcess.start(
                "dragonflybank.host",
                str(path),
                log=log,
                timeout_s=READY_LIMIT_S,
            )
        host = HostProcess(place, program, log)
        self.hosts[place.name] = host
        self.gone.discard(place.name)
        port = await self.relays.add(place.name, program.ports["peer_port"])
        self.vmlist.put(
            VmInfo(
                place.name,
                "127.0.0.1",
                port,
                place.region,
                place.failure_domain,
                role=VmRole.HOST,
            )
        )
        return host

    def list_worker(self, name: str) -> None:
        """Puts a worker into the VM list."""
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
                size=SIZE,
            )
        )

    def arm(self, trap: Trap) -> Trap:
        """Arms a trap and returns it."""
        self._traps.append(trap)
        return trap

    def live(self) -> list[str]:
        """Returns the names of the hosts that run and are not leaving."""
        return [
            name
            for name, host in self.hosts.items()
            if host.process.is_running and name not in self.gone
        ]

    def urls(self) -> list[str]:
        """Returns the URLs of the hosts that the balancer serves."""
        return [self.hosts[name].url for name in self.live()]

    def home(self, team: str = TEAM) -> str:
        """Returns the host that should keep a team's shard."""
        shard = f"{HOME_REGION}/{shard_of_job(team, 'x', SHARDS)}"
        near = [
            name
            for name in self.live()
            if self.hosts[name].spec.region == HOME_REGION
        ]
        return rank_members(shard, near)[0]

    def entry(self, team: str = TEAM) -> str:
        """Returns a live host that is not the home, if there is one."""
        home = self.home(team)
        return next((name for name in self.live() if name != home), home)

    def worker_of(self, host: str) -> str:
        """Returns the worker for which a host ranks first at the start."""
        names = [place.name for place in self.places]
        place = names.index(host) if host in names else 0
        return list(self.workers)[place]

    def kill(self, name: str) -> None:
        """Kills a host."""
        self.gone.add(name)
        self.relays.forget(name)
        self.hosts[name].process.signal(signal.SIGKILL)

    def pause(self, name: str) -> None:
        """Pauses a host."""
        self._paused[name] = float("inf")
        self.paused_urls.add(self.hosts[name].url)
        self.hosts[name].process.signal(signal.SIGSTOP)

    def wake(self, name: str) -> None:
        """Lets a paused host continue."""
        self._paused[name] = time.time() + CATCH_UP_S
        self.hosts[name].process.signal(signal.SIGCONT)

    async def drain(self, name: str) -> None:
        """Shuts a host down gracefully and records it."""
        host = self.hosts[name]
        began_at = time.time()
        self.gone.add(name)
        host.process.signal(signal.SIGTERM)
        status = await host.process.wait()
        self.relays.forget(name)
        if status == 0:
            self.log.add(HostDrained(began_at, host.url, time.time()))

    async def wait_ready(self) -> None:
        """Waits until each live host is ready and all workers are owned."""
        await wait_until(self._is_ready, timeout_s=READY_LIMIT_S)

    async def metrics(self, name: str) -> str:
        """Returns the metrics of a host, empty if it does not answer."""
        try:
            url = f"{self.hosts[name].url}/metrics"
            async with self.http.get(url) as resp:
                return await resp.text()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return ""

    async def generation(self, name: str) -> int:
        """Returns the generation in force at a host, 0 if it is unknown."""
        text = await self.metrics(name)
        return int(_metric(text, "dragonflybank_config_generation"))

    def records(self) -> Sequence[Record]:
        """Returns all records."""
        return self.log.all()

    def keep_logs(self, folder: pathlib.Path) -> None:
        """Copies the hosts' logs and writes the records to a folder."""
        shutil.copytree(self._scratch.name, folder, dirs_exist_ok=True)
        lines = "\n".join(str(record) for record in self.records())
        (folder / "records.txt").write_text(lines)

    async def stop_hosts(self) -> None:
        """Kills all hosts."""
        if self._sampler is not None:
            self._sampler.cancel()
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
        self._scratch.cleanup()

    async def _is_ready(self) -> bool:
        names = self.live()
        texts = [await self.metrics(name) for name in names]
        owned = sum(_metric(t, "dragonflybank_owned_workers") for t in texts)
        generations = [
            _metric(t, "dragonflybank_config_generation") for t in texts
        ]
        shards = sum(_metric(t, "dragonflybank_open_shards") for t in texts)
        regions = {place.region for place in self.places}
        return (
            all(generations)
            and owned >= len(self.workers)
            and shards >= SHARDS * len(regions)
        )

    async def _write_config(self) -> None:
        cfg = operator_config(self.places)
        store = HttpConfigStore(self.store.url)
        (await ConfigEditor(store).create(cfg)).unwrap()
        await store.close()

    def _tap(self, server, points) -> None:
        for point in points:
            for when in HookTiming:
                server.arm(tap_of(self.reached, server.name, point, when))

    async def reached(
        self, point: Point, when: HookTiming, server: str
    ) -> None:
        """Springs the trap if it waits for this call."""
        for trap in self._traps:
            is_due = (trap.point, trap.when) == (point, when)
            if is_due and not trap.fired.is_set() and trap.accepts(server):
                trap.fired.set()
                await trap.act(server)

    async def _on_request(self, sender: str, receiver: str, kind: str) -> None:
        await self.reached(
            Point("peer", str(kind)), HookTiming.BEFORE, receiver
        )

    async def _sample_always(self) -> None:
        """Records the generation in force at each host."""
        while True:
            await asyncio.sleep(SAMPLE_S)
            for name in self.live():
                began_at = time.time()
                if began_at < self._paused.get(name, 0.0):
                    continue
                self._paused.pop(name, None)
                number = await self.generation(name)
                if number and name not in self._paused:
                    pid = str(self.hosts[name].process.pid)
                    self.log.add(GenerationSeen(began_at, name, number, pid))


def _metric(text: str, name: str) -> float:
    lines = (line for line in text.splitlines() if line.startswith(name + " "))
    return float(next(lines, f"{name} 0").split()[1])
