"""A small deployment on loopback: stand-ins here, hosts as processes."""

__all__ = ["Lab", "run_case"]

import asyncio
import contextlib
import itertools
import json
import logging
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable

import aiohttp
from standins.executors import Executor, Fleet, Run
from standins.store import Store

ROOT = pathlib.Path(__file__).resolve().parents[3]
SERVICE = "tooling"
HOST_HEADER = "front.example"
DEADLINE_MS = 3000
FRONT_PORT, READY_PORT, METRICS_PORT = 8161, 8167, 9464
PEER_PORTS = (7720, 7735)
ZONES = ("zone-a", "zone-b", "zone-c")
MAX_TRIES = 5
START_LIMIT_S = 25.0
# Bounds of the small sites, in the names of the settings.
BOUNDS = {
    "max_hold_ms": 10000,
    "stop_grace_ms": 400,
    "early_ms": 250,
    "status_s": 120,
    "grace_s": 6,
}
FINISH_S = 14.0


class Lab:
    """The stand-ins, the hosts and the record of one case.

    Attributes:
        store: The platform's store.
        fleet: The executors.
        trouble: Whether the disruption of the case is made.

    Args:
        folder: Folder of the case; ``record.txt`` is written there.
        work_s: Returns the work of a task in seconds.
        lasting_ends: See `Fleet`.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        work_s: Callable[[str], float],
        lasting_ends: Callable[[Run], tuple[float, str] | None] = lambda _: (
            None
        ),
    ):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.fleet = Fleet(
            note=self.note, work_s=work_s, lasting_ends=lasting_ends
        )
        self.accepted: dict[str, float] = {}
        self.shown: dict[str, list[tuple[float, str]]] = {}
        self._record = (folder / "record.txt").open("w")
        self._began_at = self.now()
        self._temp = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._prefix = _free_prefix()
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._fronts: list[str] = []
        self._turn = itertools.count()
        self._session: aiohttp.ClientSession | None = None
        self._services: tuple[str, ...] = ()

    @property
    def unused_address(self) -> str:
        """A loopback address at which nothing answers."""
        return f"{self._prefix}.99:{FRONT_PORT}"

    def now(self) -> float:
        """Returns the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    def note(self, text: str) -> None:
        """Writes a line with the time to the record."""
        self._record.write(f"{self.now() - self._began_at:8.3f} {text}\n")
        self._record.flush()

    async def start(
        self,
        routes: list[dict],
        *,
        hosts: int = 3,
        executors: int = 4,
        services: tuple[str, ...] = (SERVICE,),
        cpu: int = 8000,
        mem_mb: int = 32768,
    ) -> None:
        """Starts the stand-ins and the hosts; waits until all are ready.

        The executors are dealt out among the services in turn.
        """
        self._services = services
        self._session = aiohttp.ClientSession()
        await self.store.start(f"{self._prefix}.7")
        self.configure(1, routes)
        for number in range(executors):
            executor = Executor(
                self.fleet,
                f"i-{number:02d}{random.randrange(16**6):06x}",
                service=services[number % len(services)],
                zone=ZONES[number % len(ZONES)],
                labels=("a", f"r{number % 2}"),
                cpu=cpu,
                mem_mb=mem_mb,
            )
            await executor.start(f"{self._prefix}.{101 + number}", self._write)
        for number in range(hosts):
            await self.start_host(f"host-{number}")
        async with asyncio.timeout(START_LIMIT_S):
            for number in range(hosts):
                await self._wait_until_ready(f"{self._prefix}.{11 + number}")
            await self.wait_for(
                lambda: bool(self.store.keys("leader")), START_LIMIT_S
            )
        await asyncio.sleep(2.0)
        self.note("the deployment is ready")

    async def start_host(self, name: str) -> None:
        """Starts a host with the command of the deploy file."""
        number = int(name.rpartition("-")[2])
        ip = f"{self._prefix}.{11 + number}"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["host"]
        settings = self._temp / f"{name}.json"
        template = (ROOT / role["template"]).read_text()
        settings.write_text(_fill(template, self._fields(name, ip, number)))
        env = {
            k: os.environ[k]
            for k in ("PATH", "HOME", "LANG")
            if k in os.environ
        }
        env |= role.get("env", {})
        env |= {
            "DRAGONFLYBANK_SETTINGS": str(settings),
            "PYTHONPATH": "target/deps",
        }
        log = (self._temp / f"{name}.log").open("ab")
        self._processes[name] = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
        )
        front = f"{ip}:{FRONT_PORT}"
        if front not in self._fronts:
            self._fronts.append(front)
        self.note(f"{name} is started")

    def signal_host(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a host."""
        self._processes[name].send_signal(number)
        self.note(f"{name} gets {number.name}")

    def leader(self) -> str:
        """Returns the name of the host that leads, or an empty string."""
        raw = self.store.read("leader")
        return json.loads(raw)["name"] if raw else ""

    def configure(self, version: int, routes: list[dict]) -> None:
        """Writes a configuration."""
        body = {
            "version": version,
            "routes": [
                {"host": HOST_HEADER, "service": SERVICE, **route}
                for route in routes
            ],
            "services": [
                {"name": name, "health_path": "/health"}
                for name in self._services
            ],
            "limits": {"max_body_bytes": 262144},
        }
        self._write("op/config", json.dumps(body).encode())

    async def submit(self, queue: str, body: dict) -> str | None:
        """Hands a job in as a client does; returns its identifier."""
        job = f"{random.randrange(16**16):016x}"
        self.fleet.jobs[job] = body
        for _ in range(MAX_TRIES):
            status, _ = await self.call("POST", f"/{queue}/{job}", body)
            self.note(f"POST {queue}/{job} -> {status}")
            if status is not None and 200 <= status < 300:
                self.accepted[job] = self.now()
                return job
            await asyncio.sleep(1.0)
        return None

    async def state(self, queue: str, job: str) -> str:
        """Returns the state of a job, or the status of another answer."""
        status, body = await self.call("GET", f"/{queue}/{job}")
        state = str(status)
        if status == 200:
            state = json.loads(body)["state"]
        self.shown.setdefault(job, []).append((self.now(), state))
        return state

    async def call(
        self, method: str, path: str, body: dict | None = None
    ) -> tuple[int | None, bytes]:
        """Sends a request of a client to the next host."""
        front = self._fronts[next(self._turn) % len(self._fronts)]
        try:
            async with self._session.request(
                method,
                f"http://{front}{path}",
                json=body,
                headers={
                    "Host": HOST_HEADER,
                    "Deadline-Ms": str(DEADLINE_MS),
                },
                timeout=aiohttp.ClientTimeout(total=DEADLINE_MS / 1000),
            ) as resp:
                return resp.status, await resp.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None, b""

    async def wait_for(
        self, condition: Callable[[], bool], limit_s: float
    ) -> bool:
        """Waits until a condition holds; returns whether it does."""
        until = self.now() + limit_s
        while True:
            if condition() or self.now() >= until:
                return condition()
            await asyncio.sleep(0.02)

    async def close(self) -> None:
        """Ends all processes and stand-ins."""
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            await process.wait()
        if self._session is not None:
            await self._session.close()
        for executor in self.fleet.executors.values():
            await executor.close()
        await self.store.close()
        logs = os.environ.get("REVIEW_LOGS")
        if logs:
            shutil.copytree(self._temp, logs, dirs_exist_ok=True)
        shutil.rmtree(self._temp, ignore_errors=True)
        self._record.close()

    def _write(self, key: str, value: bytes) -> None:
        self.store.put(key, value)

    async def _wait_until_ready(self, ip: str) -> None:
        while True:
            if await self._is_ready(ip):
                return
            await asyncio.sleep(0.1)

    async def _is_ready(self, ip: str) -> bool:
        try:
            async with self._session.get(
                f"http://{ip}:{READY_PORT}/-/ready",
                timeout=aiohttp.ClientTimeout(total=0.5),
            ) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    def _fields(self, name: str, ip: str, number: int) -> dict:
        return {
            "node_name": name,
            "zone": ZONES[number % len(ZONES)],
            "region": "region",
            "zones": dict.fromkeys(ZONES, "region"),
            "ip": ip,
            "listen_addrs": {
                "front": f"{ip}:{FRONT_PORT}",
                "ready": f"{ip}:{READY_PORT}",
            },
            "internal_port_range": list(PEER_PORTS),
            "platform": {
                "address": self.store.address,
                "writes_per_s": 400,
                "reads_per_s": 2000,
            },
            "advice": None,
            "limits": {"cores": 2, "cpu_share": 0.537, "memory_mb": 300},
            "heartbeat_ms": 1500,
            "bounds": BOUNDS,
        }


def run_case(
    folder: pathlib.Path, case: Callable[[pathlib.Path], Awaitable[int]]
) -> None:
    """Runs a case and exits with its result; 2 if it could not run."""

    async def play() -> int:
        # A case that is ended from outside ends its processes first.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await case(folder)

    # The servers of the stand-ins report connections that are cut at the end.
    logging.disable(logging.CRITICAL)
    try:
        result = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as exc:
        print(f"the case could not run: {exc!r}")
        result = 2
    sys.exit(result)


def _fill(template: str, fields: dict) -> str:
    def value(match: re.Match) -> str:
        found = fields
        for name in match[1].split("."):
            found = found[name]
        return json.dumps(found) if match[2] else str(found)

    return re.sub(r"\{\{([a-z_.]+)(\|json)?\}\}", value, template)


def _free_prefix() -> str:
    """Returns the first three parts of loopback addresses that are free."""
    while True:
        prefix = f"127.{random.randint(30, 220)}.{random.randint(1, 250)}"
        try:
            for last, port in ((11, FRONT_PORT), (12, READY_PORT)):
                with socket.socket() as sock:
                    sock.bind((f"{prefix}.{last}", port))
        except OSError:
            continue
        return prefix
