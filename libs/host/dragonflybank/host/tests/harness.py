"""Scheduler hosts and stand-ins in one process, for the tests of the host."""

__all__ = ["Cell", "running_cell", "until"]

import asyncio
import contextlib
import json
import time

import aiohttp
import attrs

from dragonflybank.config.operator import (
    BreakWindow,
    OperatorConfig,
    Team,
    encode_operator_config,
)
from dragonflybank.config.settings import Settings
from dragonflybank.host.daemon import SchedulerHost
from dragonflybank.model.resources import Resources
from dragonflybank.model.topology import VmInfo, VmRole
from dragonflybank.model.work import WorkClass, WorkKind
from dragonflybank.platform.store import HttpConfigStore
from dragonflybank.standins.records import RecordLog
from dragonflybank.standins.store_server import StoreServer
from dragonflybank.standins.vmlist_server import VmListServer
from dragonflybank.standins.worker_server import WorkerServer

LIMIT_S = 30.0
REGION = "flanders"
SIZE = Resources(cores=32, memory_mb=65536, slots=8, connections=64)
CLASSES = (
    WorkClass("die_lookup", WorkKind.LOOKUP, priority=100, expected_s=0.1),
    WorkClass("simulation", repeatable=False, priority=50, expected_s=1.0),
    WorkClass("tonnage_table", can_checkpoint=True, priority=10),
)


@attrs.define
class Cell:
    """A small deployment.

    Attributes:
        store: Its store.
        vmlist: Its VM list.
        workers: Its workers by name.
        hosts: Its scheduler hosts by name.
        log: Records of all stand-ins.
        http: Client session of the callers.
    """

    store: StoreServer
    vmlist: VmListServer
    workers: dict[str, WorkerServer]
    log: RecordLog
    http: aiohttp.ClientSession
    hosts: dict[str, SchedulerHost] = attrs.field(factory=dict)

    async def add_host(self, name: str) -> SchedulerHost:
        """Starts a host and lists it."""
        host = SchedulerHost(
            Settings(name, REGION, self.store.url, self.vmlist.url)
        )
        await host.start()
        self.hosts[name] = host
        row = VmInfo(
            name, "127.0.0.1", host.server.port, REGION, role=VmRole.HOST
        )
        self.vmlist.put(row)
        return host

    async def ready(self, host: SchedulerHost) -> None:
        """Waits until a host is ready and all workers are owned."""
        await until(lambda: not host.not_ready_reason() and self._all_owned())

    async def lookup(self, host: SchedulerHost, **fields) -> dict:
        """Sends a lookup; ``fields`` go into its payload."""
        body = {
            "team": "workshops",
            "work_class": "die_lookup",
            "payload": json.dumps({"run_s": 0.01, **fields}),
        }
        return await self.call(host, "POST", "/v1/lookups", body)

    async def submit(
        self, host: SchedulerHost, key: str, work_class: str, **fields
    ) -> dict:
        """Submits a job; ``fields`` go into its payload."""
        body = {"work_class": work_class, "payload": json.dumps(fields)}
        path = f"/v1/jobs/workshops/{key}"
        return await self.call(host, "PUT", path, body)

    async def ask(self, host: SchedulerHost, key: str, wait_s=20) -> dict:
        """Waits for the end of a job."""
        path = f"/v1/jobs/workshops/{key}?wait_s={wait_s}"
        return await self.call(host, "GET", path)

    async def call(self, host, method, path, body=None) -> dict:
        """Calls a host and returns the JSON object."""
        url = f"http://127.0.0.1:{host.http.port}{path}"
        async with self.http.request(method, url, json=body) as resp:
            return await resp.json()

    def _all_owned(self) -> bool:
        owned = {
            session.name
            for host in self.hosts.values()
            for session in host.ownership.owned_sessions()
        }
        return owned >= set(self.workers)


@contextlib.asynccontextmanager
async def running_cell(*host_names: str, workers: int = 2):
    """Runs stand-ins and hosts; yields the cell when the hosts are ready."""
    log = RecordLog()
    cell = Cell(
        StoreServer(log=log),
        VmListServer(log=log),
        {f"w{i}": WorkerServer(f"w{i}", SIZE, log) for i in range(workers)},
        log,
        aiohttp.ClientSession(),
    )
    for server in (cell.store, cell.vmlist, *cell.workers.values()):
        await server.start()
    for name, worker in cell.workers.items():
        cell.vmlist.put(
            VmInfo(name, "127.0.0.1", worker.port, REGION, rack="r1", size=SIZE)
        )
    await write_config(cell)
    try:
        for name in host_names:
            await cell.add_host(name)
        for host in cell.hosts.values():
            await cell.ready(host)
        yield cell
    finally:
        await asyncio.gather(*(h.stop() for h in cell.hosts.values()))
        for server in (cell.store, cell.vmlist, *cell.workers.values()):
            await server.close()
        await cell.http.close()


async def write_config(cell: Cell, generation: int = 1) -> None:
    """Writes the operator configuration of a generation."""
    cfg = OperatorConfig(
        generation,
        CLASSES,
        (Team("workshops", REGION, lookups_per_s=1000.0),),
        (BreakWindow("00:00", "12:00"), BreakWindow("12:00", "00:00")),
    )
    store = HttpConfigStore(cell.store.url)
    key = "config/active"
    value = encode_operator_config(cfg).encode()
    (await store.put(key, value, version=cell.store.version(key))).unwrap()
    await store.close()


async def until(condition, limit_s: float = LIMIT_S) -> None:
    """Waits until a condition holds; raises TimeoutError otherwise."""
    deadline = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(condition)
        await asyncio.sleep(0.02)
