"""Runs stand-ins and scheduler hosts as processes on the loopback address."""

__all__ = ["HostProcess", "LoopbackDeployment", "ServerProcess", "wait_until"]

import asyncio
import json
import pathlib
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable

import aiohttp
import attrs

from dragonflybank.config.editor import ConfigEditor
from dragonflybank.config.operator import (
    BreakWindow,
    OperatorConfig,
    decode_operator_config,
)
from dragonflybank.config.settings import encode_settings
from dragonflybank.config.topology import (
    HostSpec,
    Topology,
    host_settings,
    load_topology,
)
from dragonflybank.model.topology import VmInfo, VmRole, VmState
from dragonflybank.platform.store import HttpConfigStore
from dragonflybank.platform.vmlist import encode_vm
from dragonflybank.standins.records import Record, decode_record

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 50.0
# Both halves of the day, so that a break is open at any time.
ALL_DAY_BREAKS = (BreakWindow("00:00", "12:00"), BreakWindow("12:00", "00:00"))


class ServerProcess:
    """A child process that prints its ports as one line of JSON.

    Attributes:
        ports: The JSON object that it printed.
        pid: Process identifier.
    """

    def __init__(self, process: asyncio.subprocess.Process, ports: dict):
        self._process = process
        self.ports = ports
        self.pid = process.pid

    @classmethod
    async def start(
        cls, *args: str, log: pathlib.Path, timeout_s: float = START_TIMEOUT_S
    ) -> "ServerProcess":
        """Starts ``python -m ARGS`` and waits until it prints its ports."""
        with log.open("ab") as errors:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *args,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
            )
        async with asyncio.timeout(timeout_s):
            line = await process.stdout.readline()
        if not line:
            raise RuntimeError(f"{args[0]} did not start, see {log}")
        return cls(process, json.loads(line))

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited."""
        return self._process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it still runs."""
        if self.is_running:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Waits until the process exits and returns its exit status."""
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self._process.wait()

    async def stop(self) -> int:
        """Sends SIGTERM, and SIGKILL if the process doesn't exit in time."""
        self.signal(signal.SIGTERM)
        try:
            return await self.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            return await self.wait()


@attrs.define
class HostProcess:
    """A scheduler host of the deployment.

    Attributes:
        spec: Its entry in the topology.
        process: Its process.
        log: File with its log lines.
        is_in_rotation: Whether the load balancer sends requests to it.
    """

    spec: HostSpec
    process: ServerProcess
    log: pathlib.Path
    is_in_rotation: bool = True

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://127.0.0.1:{self.process.ports['http_port']}"


class LoopbackDeployment:
    """Stand-ins and scheduler hosts of one deployment.

    Attributes:
        topology: The deployment's topology.
        config: The operator configuration written before the hosts start.
        hosts: Scheduler hosts by name.
    """

    def __init__(self, folder: pathlib.Path):
        self.topology: Topology = load_topology(
            folder / "topology.json"
        ).unwrap()
        text = (folder / "operator.json").read_text()
        self.config: OperatorConfig = attrs.evolve(
            decode_operator_config(text).unwrap(), breaks=ALL_DAY_BREAKS
        )
        self.hosts: dict[str, HostProcess] = {}
        self._temporary_folder = tempfile.TemporaryDirectory(
            prefix="dragonflybank-"
        )
        self._programs: dict[str, ServerProcess] = {}
        self._http: aiohttp.ClientSession | None = None

    @property
    def folder(self) -> pathlib.Path:
        """Folder with the settings and logs of this run."""
        return pathlib.Path(self._temporary_folder.name)

    @property
    def store_url(self) -> str:
        """Base URL of the store stand-in."""
        return f"http://127.0.0.1:{self._programs['store'].ports['port']}"

    async def start(self) -> None:
        """Starts the stand-ins, writes the configuration, starts the hosts."""
        self._http = aiohttp.ClientSession()
        size = json.dumps(attrs.asdict(self.topology.workers[0].size))
        names = ",".join(worker.name for worker in self.topology.workers)
        starts = {
            "store": ("dragonflybank.standins.store_server",),
            "vmlist": ("dragonflybank.standins.vmlist_server",),
            "workers": (
                "dragonflybank.standins.worker_server",
                "--names",
                names,
                "--size",
                size,
            ),
        }
        started = await asyncio.gather(
            *(
                ServerProcess.start(*args, log=self.folder / f"{name}.log")
                for name, args in starts.items()
            )
        )
        self._programs = dict(zip(starts, started, strict=True))
        await self._write_config()
        await self.put_vms([self._worker_vm(w) for w in self.topology.workers])
        await asyncio.gather(
            *(self.start_host(spec) for spec in self.topology.hosts)
        )

    async def start_host(self, spec: HostSpec) -> HostProcess:
        """Starts a scheduler host and adds it to the VM list."""
        settings = host_settings(
            self.topology,
            spec,
            store_url=self.store_url,
            vmlist_url=self._url("vmlist"),
        )
        path = self.folder / f"{spec.name}.json"
        path.write_text(encode_settings(settings))
        log = self.folder / f"{spec.name}.log"
        process = await self.start_host_process(str(path), log)
        host = HostProcess(spec, process, log)
        self.hosts[spec.name] = host
        await self.put_vms([_host_vm(spec, process.ports["peer_port"])])
        return host

    async def start_host_process(
        self, path: str, log: pathlib.Path
    ) -> ServerProcess:
        """Starts the daemon of a host with its settings file."""
        return await ServerProcess.start("dragonflybank.host", path, log=log)

    async def put_vms(self, vms: list[VmInfo]) -> None:
        """Adds or replaces rows of the VM list."""
        await self._post_control(
            "vmlist", "/control/vms", {"put": [encode_vm(vm) for vm in vms]}
        )

    async def remove_vms(self, names: list[str]) -> None:
        """Removes rows of the VM list."""
        await self._post_control("vmlist", "/control/vms", {"remove": names})

    async def set_faults(self, program: str, server: str, **faults) -> None:
        """Sets fault switches of a stand-in.

        Args:
            program: ``store``, ``vmlist`` or ``workers``.
            server: Name of the server in the program.
            **faults: Fault switches, named as in `standins.faults`.
        """
        path = f"/control/faults?server={server}"
        await self._post_control(program, path, faults)

    async def read_records(self, program: str) -> list[Record]:
        """Returns the records of a stand-in program."""
        url = self._control_url(program) + "/control/records"
        async with self._http.get(url) as resp:
            rows = (await resp.json())["records"]
        return [decode_record(row) for row in rows]

    async def read_store_call_counts(self) -> dict[str, int]:
        """Returns the number of store calls by kind."""
        return (await self.read_call_counts("store", "store"))["calls"]

    async def read_call_counts(self, program: str, server: str) -> dict:
        """Returns the numbers of calls and bytes by kind at a stand-in.

        Args:
            program: ``store``, ``vmlist`` or ``workers``.
            server: Name of the server in the program.
        """
        url = f"{self._control_url(program)}/control/calls?server={server}"
        async with self._http.get(url) as resp:
            return await resp.json()

    def pid_of(self, program: str) -> int:
        """Returns the process identifier of a stand-in program."""
        return self._programs[program].pid

    async def read_metrics(self, host: HostProcess) -> str:
        """Returns a host's metrics, empty if it does not answer."""
        try:
            async with self._http.get(f"{host.url}/metrics") as resp:
                return await resp.text()
        except aiohttp.ClientError:
            return ""

    def urls_in_rotation(self) -> list[str]:
        """Returns the base URLs of the running hosts in rotation."""
        return [
            host.url
            for host in self.hosts.values()
            if host.process.is_running and host.is_in_rotation
        ]

    async def wait_until_ready(self) -> None:
        """Waits until all running hosts are ready and all workers owned."""
        await wait_until(self.is_ready, timeout_s=START_TIMEOUT_S)

    async def is_ready(self) -> bool:
        """Returns whether all hosts are ready and all workers owned."""
        live = [h for h in self.hosts.values() if h.process.is_running]
        texts = [await self._read_metrics_if_ready(host) for host in live]
        if not all(texts):
            return False
        owned = sum(
            _metric_value(t, "dragonflybank_owned_workers") for t in texts
        )
        return owned >= len(self.topology.workers)

    async def stop(self) -> list[int]:
        """Stops the hosts, then the stand-ins.

        Returns:
            The exit statuses of the hosts that were still running.
        """
        live = [h for h in self.hosts.values() if h.process.is_running]
        codes = await asyncio.gather(*(h.process.stop() for h in live))
        for program in self._programs.values():
            await program.stop()
        await self._http.close()
        self._temporary_folder.cleanup()
        return codes

    async def _write_config(self) -> None:
        store = HttpConfigStore(self.store_url)
        created = await ConfigEditor(store).create(self.config)
        created.unwrap()
        await store.close()

    async def _post_control(self, program: str, path: str, body: dict) -> None:
        url = (
            self._url(program)
            if path == "/control/vms"
            else self._control_url(program)
        )
        async with self._http.post(url + path, json=body) as resp:
            resp.raise_for_status()

    async def _read_metrics_if_ready(self, host: HostProcess) -> str:
        try:
            async with self._http.get(f"{host.url}/readyz") as resp:
                if resp.status != 200:
                    return ""
        except aiohttp.ClientError:
            return ""
        return await self.read_metrics(host)

    def _worker_vm(self, worker: VmInfo) -> VmInfo:
        port = self._programs["workers"].ports["ports"][worker.name]
        return attrs.evolve(worker, address="127.0.0.1", port=port)

    def _url(self, program: str) -> str:
        return f"http://127.0.0.1:{self._programs[program].ports['port']}"

    def _control_url(self, program: str) -> str:
        port = self._programs[program].ports["control_port"]
        return f"http://127.0.0.1:{port}"


async def wait_until(
    condition: Callable[[], Awaitable[bool]],
    *,
    timeout_s: float,
    interval_s: float = 0.05,
) -> None:
    """Waits until a condition holds.

    Args:
        condition: Called at once and after each interval.
        timeout_s: Longest wait in seconds.
        interval_s: Time between two calls in seconds.

    Raises:
        TimeoutError: The condition didn't hold in time.
    """
    async with asyncio.timeout(timeout_s):
        is_met = await condition()
        while not is_met:
            await asyncio.sleep(interval_s)
            is_met = await condition()


def _host_vm(spec: HostSpec, port: int) -> VmInfo:
    return VmInfo(
        spec.name,
        "127.0.0.1",
        port,
        spec.region,
        spec.failure_domain,
        role=VmRole.HOST,
        state=VmState.LIVE,
    )


def _metric_value(text: str, name: str) -> float:
    lines = (line for line in text.splitlines() if line.startswith(name + " "))
    return float(next(lines, f"{name} 0").split()[1])
