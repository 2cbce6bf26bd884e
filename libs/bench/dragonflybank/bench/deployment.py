"""A deployment on loopback: stand-ins and scheduler hosts as processes."""

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
ALL_DAY_BREAKS = (BreakWindow("00:00", "12:00"), BreakWindow("12:00", "00:00"))


class ServerProcess:
    """One process that prints its ports as a line of JSON.

    Attributes:
        ports: The printed object.
        pid: Process id.
    """

    def __init__(self, process: asyncio.subprocess.Process, ports: dict):
        self._process = process
        self.ports = ports
        self.pid = process.pid

    @classmethod
    async def start(
        cls, *args: str, log: pathlib.Path, timeout_s: float = START_TIMEOUT_S
    ) -> "ServerProcess":
        """Starts ``python -m ARGS`` and waits for its line of ports."""
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
        """Whether the process has not ended."""
        return self._process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process."""
        if self.is_running:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Waits for the end of the process and returns its exit status."""
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self._process.wait()

    async def stop(self) -> int:
        """Ends the process with SIGTERM, with SIGKILL if it does not end."""
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
        config: The operator configuration that is written first.
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
        self._scratch = tempfile.TemporaryDirectory(prefix="dragonflybank-")
        self._programs: dict[str, ServerProcess] = {}
        self._http: aiohttp.ClientSession | None = None

    @property
    def folder(self) -> pathlib.Path:
        """Folder with the settings and logs of this run."""
        return pathlib.Path(self._scratch.name)

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
            *(self.start_host(place) for place in self.topology.hosts)
        )

    async def start_host(self, place: HostSpec) -> HostProcess:
        """Starts a scheduler host and lists it."""
        settings = host_settings(
            self.topology,
            place,
            store_url=self.store_url,
            vmlist_url=self._url("vmlist"),
        )
        path = self.folder / f"{place.name}.json"
        path.write_text(encode_settings(settings))
        log = self.folder / f"{place.name}.log"
        program = await self.start_program(str(path), log)
        host = HostProcess(place, program, log)
        self.hosts[place.name] = host
        await self.put_vms([_host_vm(place, program.ports["peer_port"])])
        return host

    async def start_program(
        self, path: str, log: pathlib.Path
    ) -> ServerProcess:
        """Starts the daemon of a host with its settings file."""
        return await ServerProcess.start("dragonflybank.host", path, log=log)

    async def put_vms(self, vms: list[VmInfo]) -> None:
        """Adds or replaces rows of the VM list."""
        await self._control(
            "vmlist", "/control/vms", {"put": [encode_vm(vm) for vm in vms]}
        )

    async def remove_vms(self, names: list[str]) -> None:
        """Removes rows of the VM list."""
        await self._control("vmlist", "/control/vms", {"remove": names})

    async def set_faults(self, program: str, server: str, **faults) -> None:
        """Sets fault switches of a stand-in.

        Args:
            program: ``store``, ``vmlist`` or ``workers``.
            server: Name of the server in the program.
            **faults: Switches as `standins.faults` names them.
        """
        path = f"/control/faults?server={server}"
        await self._control(program, path, faults)

    async def records(self, program: str) -> list[Record]:
        """Returns what a stand-in program recorded."""
        url = self._control_url(program) + "/control/records"
        async with self._http.get(url) as resp:
            rows = (await resp.json())["records"]
        return [decode_record(row) for row in rows]

    async def store_calls(self) -> dict[str, int]:
        """Returns the number of store calls by kind."""
        return (await self.calls("store", "store"))["calls"]

    async def calls(self, program: str, server: str) -> dict:
        """Returns what a stand-in counted: calls and bytes by kind.

        Args:
            program: ``store``, ``vmlist`` or ``workers``.
            server: Name of the server in the program.
        """
        url = f"{self._control_url(program)}/control/calls?server={server}"
        async with self._http.get(url) as resp:
            return await resp.json()

    def pid_of(self, program: str) -> int:
        """Returns the process id of a stand-in program."""
        return self._programs[program].pid

    async def metrics(self, host: HostProcess) -> str:
        """Returns a host's metrics, empty if it does not answer."""
        try:
            async with self._http.get(f"{host.url}/metrics") as resp:
                return await resp.text()
        except aiohttp.ClientError:
            return ""

    def urls_in_rotation(self) -> list[str]:
        """Returns the base URLs of the hosts that the balancer serves."""
        return [
            host.url
            for host in self.hosts.values()
            if host.process.is_running and host.is_in_rotation
        ]

    async def wait_ready(self) -> None:
        """Waits until each running host is ready and owns workers."""
        await wait_until(self.all_owned, timeout_s=START_TIMEOUT_S)

    async def all_owned(self) -> bool:
        """Returns whether all hosts are ready and all workers owned."""
        live = [h for h in self.hosts.values() if h.process.is_running]
        texts = [await self._metrics(host) for host in live]
        if not all(texts):
            return False
        owned = sum(_metric(t, "dragonflybank_owned_workers") for t in texts)
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
        self._scratch.cleanup()
        return codes

    async def _write_config(self) -> None:
        store = HttpConfigStore(self.store_url)
        created = await ConfigEditor(store).create(self.config)
        created.unwrap()
        await store.close()

    async def _control(self, program: str, path: str, body: dict) -> None:
        url = (
            self._url(program)
            if path == "/control/vms"
            else self._control_url(program)
        )
        async with self._http.post(url + path, json=body) as resp:
            resp.raise_for_status()

    async def _metrics(self, host: HostProcess) -> str:
        try:
            async with self._http.get(f"{host.url}/readyz") as resp:
                if resp.status != 200:
                    return ""
        except aiohttp.ClientError:
            return ""
        return await self.metrics(host)

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
        condition: Asked again after each interval.
        timeout_s: Longest wait in seconds.
        interval_s: Time between two questions in seconds.

    Raises:
        TimeoutError: It did not hold in time.
    """
    async with asyncio.timeout(timeout_s):
        is_met = await condition()
        while not is_met:
            await asyncio.sleep(interval_s)
            is_met = await condition()


def _host_vm(place: HostSpec, port: int) -> VmInfo:
    return VmInfo(
        place.name,
        "127.0.0.1",
        port,
        place.region,
        place.failure_domain,
        role=VmRole.HOST,
        state=VmState.LIVE,
    )


def _metric(text: str, name: str) -> float:
    lines = (line for line in text.splitlines() if line.startswith(name + " "))
    return float(next(lines, f"{name} 0").split()[1])
