"""Runs scheduler hosts and stand-ins in one process for tests of the host."""

__all__ = ["LocalDeployment", "running_deployment", "wait_until"]

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

WAIT_TIMEOUT_S = 30.0
REGION = "flanders"
SIZE = Resources(cores=32, memory_mb=65536, slots=8, connections=64)
CLASSES = (
    WorkClass("die_lookup", WorkKind.LOOKUP, priority=100, expected_s=0.1),
    WorkClass("simulation", repeatable=False, priority=50, expected_s=1.0),
    WorkClass("tonnage_table", can_checkpoint=True, priority=10),
)


@attrs.define
class LocalDeployment:
    """A small deployment in one process.

    Attributes:
        store: Stand-in of the store.
        vmlist: Stand-in of the VM list.
        workers: Stand-ins of the workers by name.
        hosts: Scheduler hosts by name.
        log: Records of all stand-ins.
        http_session: Client session of the callers.
    """

    store: StoreServer
    vmlist: VmListServer
    workers: dict[str, WorkerServer]
    log: RecordLog
    http_session: aiohttp.ClientSession
    hosts: dict[str, SchedulerHost] = attrs.field(factory=dict)

    async def add_host(self, name: str) -> SchedulerHost:
        """Starts a host and adds it to the VM list."""
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

    async def wait_ready(self, host: SchedulerHost) -> None:
        """Waits until a host is ready and all workers are owned."""
        await wait_until(
            lambda: (
                not host.not_ready_reason() and self._are_all_workers_owned()
            )
        )

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

    async def wait_for_job(
        self, host: SchedulerHost, key: str, wait_s=20
    ) -> dict:
        """Waits for the end of a job and returns the answer."""
        path = f"/v1/jobs/workshops/{key}?wait_s={wait_s}"
        return await self.call(host, "GET", path)

    async def call(self, host, method, path, body=None) -> dict:
        """Sends a request to a host and returns the JSON reply."""
        url = f"http://127.0.0.1:{host.http.port}{path}"
        async with self.http_session.request(method, url, json=body) as resp:
            return await resp.json()

    def _are_all_workers_owned(self) -> bool:
        owned = {
            session.name
            for host in self.hosts.values()
            for session in host.ownership.owned_sessions()
        }
        return owned >= set(self.workers)


@contextlib.asynccontextmanager
async def running_deployment(*host_names: str, workers: int = 2):
    """Runs stand-ins and hosts; yields once all hosts are ready."""
    log = RecordLog()
    deployment = LocalDeployment(
        StoreServer(log=log),
        VmListServer(log=log),
        {f"w{i}": WorkerServer(f"w{i}", SIZE, log) for i in range(workers)},
        log,
        aiohttp.ClientSession(),
    )
    for server in (
        deployment.store,
        deployment.vmlist,
        *deployment.workers.values(),
    ):
        await server.start()
    for name, worker in deployment.workers.items():
        deployment.vmlist.put(
            VmInfo(name, "127.0.0.1", worker.port, REGION, rack="r1", size=SIZE)
        )
    await write_config(deployment)
    try:
        for name in host_names:
            await deployment.add_host(name)
        for host in deployment.hosts.values():
            await deployment.wait_ready(host)
        yield deployment
    finally:
        await asyncio.gather(*(h.stop() for h in deployment.hosts.values()))
        for server in (
            deployment.store,
            deployment.vmlist,
            *deployment.workers.values(),
        ):
            await server.close()
        await deployment.http_session.close()


async def write_config(
    deployment: LocalDeployment, generation: int = 1
) -> None:
    """Writes an operator configuration with the given generation."""
    cfg = OperatorConfig(
        generation,
        CLASSES,
        (Team("workshops", REGION, lookups_per_s=1000.0),),
        (BreakWindow("00:00", "12:00"), BreakWindow("12:00", "00:00")),
    )
    store = HttpConfigStore(deployment.store.url)
    key = "config/active"
    value = encode_operator_config(cfg).encode()
    (
        await store.put(key, value, version=deployment.store.version(key))
    ).unwrap()
    await store.close()


async def wait_until(condition, timeout_s: float = WAIT_TIMEOUT_S) -> None:
    """Waits until a condition holds; raises TimeoutError otherwise."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(condition)
        await asyncio.sleep(0.02)
