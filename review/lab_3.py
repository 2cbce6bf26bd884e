"""Stand-ins of the users' platform for the scripts of the third review.

A script runs the store and the executors in its own process and the hosts of
the cell as processes of their own. Each host reaches the store through a port
of its own, which stands for its network link.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

from aiohttp import ClientSession, ClientTimeout, web

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
SERVICE = "svc"
FRONT_NAME = "front.example"
MAX_HOLD_MS = 10_000
HEARTBEAT_S = 1.5
# A page has at most about 500 items or 1 MB.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
LINK_CHUNK_BYTES = 8192


# Below the ports that kernels choose for outgoing connections.
_ports = itertools.count(random.randrange(12_000, 28_000))


def free_port() -> int:
    """Returns a port of the loopback address that nobody listens on."""
    for port in _ports:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            return port
    raise RuntimeError("no free port")


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of a case.

    Args:
        path: The file.
    """

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self._began_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the script began."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        """Writes a line with the time."""
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()


class Link:
    """The network link of a host, which carries some Mbit/s.

    Args:
        mbps: Its rate.
    """

    def __init__(self, mbps: float):
        self._bytes_per_s = mbps * 125_000
        self._turn = asyncio.Lock()

    async def carry(self, size: int) -> None:
        """Waits as long as the link needs for some bytes."""
        async with self._turn:
            await asyncio.sleep(size / self._bytes_per_s)


class Store:
    """The platform's metadata store, which is linearizable.

    Args:
        record: Where outages are recorded.
        answer_s: Time that it takes for an answer, in seconds.
    """

    def __init__(self, record: Record, *, answer_s: float = 0.004):
        self.record = record
        self.is_silent = False
        self.answer_s = answer_s
        self._outage = 0
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._revision = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._ids = itertools.count(1)
        self._changed = asyncio.Event()
        self._runners: list[web.AppRunner] = []

    async def serve(self, link: Link) -> str:
        """Opens a port for one host; returns its address."""
        app = web.Application(client_max_size=2**24)

        def route(handler):
            async def answer(req: web.Request) -> web.StreamResponse:
                return await self._answer(req, handler, link)

            return answer

        app.add_routes(
            [
                web.get("/-/kv-key", route(self._get)),
                web.get("/-/kv-range", route(self._range)),
                web.get("/-/kv-watch", route(self._watch)),
                web.post("/-/kv-txn", route(self._txn)),
                web.post("/-/kv-lease", route(self._open_lease)),
                web.post("/-/kv-keep/{id}", route(self._keep)),
                web.delete("/-/kv-lease-end/{id}", route(self._end_lease)),
            ]
        )
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        port = free_port()
        await web.TCPSite(runner, HOST, port).start()
        self._runners.append(runner)
        return f"{HOST}:{port}"

    async def close(self) -> None:
        """Closes all ports."""
        for runner in self._runners:
            await runner.cleanup()

    def go_down(self) -> None:
        """Stops answering; what is waiting is never answered."""
        self.is_silent = True
        self._outage += 1
        self.record.write("store: down, no call is answered")

    def come_back(self, *, lapse: bool) -> None:
        """Answers new calls again.

        Args:
            lapse: Whether all leases have expired meanwhile.
        """
        if lapse:
            for lease in list(self._leases):
                self._expire(lease)
        self.is_silent = False
        self.record.write(f"store: back, leases expired: {lapse}")

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes an item on behalf of the operator or an executor."""
        self._revision += 1
        self._put(key, base64.b64encode(value).decode(), lease)
        self._wake()

    def remove(self, key: str) -> None:
        """Removes an item on behalf of the platform."""
        self._revision += 1
        self._remove(key)
        self._wake()

    def value(self, key: str) -> bytes | None:
        """Returns the value of a key."""
        self._expire_due()
        item = self._items.get(key)
        return base64.b64decode(item["value"]) if item else None

    async def _answer(self, req, handler, link: Link) -> web.StreamResponse:
        body = await req.read()
        outage = self._outage
        if self.is_silent:
            await asyncio.Event().wait()
        await asyncio.sleep(self.answer_s)
        if self.is_silent:
            await asyncio.Event().wait()
        self._expire_due()
        status, found = await handler(req, json.loads(body) if body else {})
        if self.is_silent or outage != self._outage:
            await asyncio.Event().wait()
        raw = json.dumps(found).encode()
        if len(raw) <= LINK_CHUNK_BYTES:
            await link.carry(len(raw))
            return web.Response(
                status=status, body=raw, content_type="application/json"
            )
        resp = web.StreamResponse(
            status=status,
            headers={
                "Content-Type": "application/json",
                "Content-Length": str(len(raw)),
            },
        )
        # A client may close the connection before the end.
        with contextlib.suppress(ConnectionError):
            await resp.prepare(req)
            for first in range(0, len(raw), LINK_CHUNK_BYTES):
                part = raw[first : first + LINK_CHUNK_BYTES]
                await link.carry(len(part))
                if self.is_silent:
                    await asyncio.Event().wait()
                await resp.write(part)
            await resp.write_eof()
        return resp

    async def _get(self, req, body) -> tuple[int, dict]:
        item = self._items.get(req.query["key"])
        return (200, item) if item else (404, {})

    async def _range(self, req, body) -> tuple[int, dict]:
        prefix, after = req.query["prefix"], req.query.get("after", "")
        keys = sorted(
            k for k in self._items if k.startswith(prefix) and k > after
        )
        items, size = [], 0
        for key in keys:
            size += len(self._items[key]["value"])
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            items.append(self._items[key])
        return 200, {
            "items": items,
            "has_more": len(items) < len(keys),
            "at_rev": self._revision,
        }

    async def _watch(self, req, body) -> tuple[int, dict]:
        prefix, after = req.query["prefix"], int(req.query["after"])
        until = time.monotonic() + int(req.query["wait_ms"]) / 1000
        while True:
            # Revisions rise, so only the end of the history is looked at.
            newer = itertools.takewhile(
                lambda event: event["revision"] > after, reversed(self._events)
            )
            found = [e for e in newer if e["key"].startswith(prefix)][::-1]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "at_rev": self._revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()

    async def _txn(self, req, body) -> tuple[int, dict]:
        for row in body.get("expect", ()):
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [r["key"] for r in body["expect"]]
                found = [self._items[k] for k in keys if k in self._items]
                return 412, {"items": found}
        leases = {row.get("lease_id", 0) for row in body.get("puts", ())}
        if any(lease and lease not in self._leases for lease in leases):
            return 404, {}
        self._revision += 1
        for row in body.get("puts", ()):
            self._put(row["key"], row["value"], row.get("lease_id", 0))
        for key in body.get("remove", ()):
            self._remove(key)
        self._wake()
        return 200, {"revision": self._revision}

    async def _open_lease(self, req, body) -> tuple[int, dict]:
        lease, ttl_s = next(self._ids), max(1000, body["ttl_ms"]) / 1000
        self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"lease_id": lease, "ttl_ms": int(ttl_s * 1000)}

    async def _keep(self, req, body) -> tuple[int, dict]:
        lease = int(req.match_info["id"])
        if lease not in self._leases:
            return 404, {}
        ttl_s, _ = self._leases[lease]
        self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"ttl_ms": int(ttl_s * 1000)}

    async def _end_lease(self, req, body) -> tuple[int, dict]:
        self._expire(int(req.match_info["id"]))
        return 200, {}

    def _expire_due(self) -> None:
        now = time.monotonic()
        for lease, (_, until) in list(self._leases.items()):
            if until <= now and not self.is_silent:
                self._expire(lease)

    def _expire(self, lease: int) -> None:
        self._leases.pop(lease, None)
        held = [k for k, i in self._items.items() if i["lease_id"] == lease]
        if lease and held:
            self._revision += 1
            for key in held:
                self._remove(key)
            self._wake()

    def _put(self, key: str, value: str, lease: int) -> None:
        known = self._items.get(key)
        self._items[key] = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created_rev": known["created_rev"] if known else self._revision,
            "lease_id": lease,
        }
        self._events.append(dict(self._items[key]))

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._events.append(
                {"key": key, "revision": self._revision, "compacted": True}
            )

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class Executor:
    """An executor that runs tasks as timers and guards no capacity.

    The spec of a task is a JSON object with ``run_s``, the time that it runs;
    without it, the task runs until it is stopped.

    Attributes:
        running: What it runs, by task and run.
        started: All tasks that it has ever started.
        start_log: The task of each start.

    Args:
        name: Its identifier.
        store: The store, to which it reports.
        record: Where starts and ends are recorded.
        labels: Its kind and its rack.
    """

    def __init__(
        self, name: str, store: Store, record: Record, labels: tuple[str, ...]
    ):
        self.name = name
        self.running: dict[tuple[str, int], dict] = {}
        self.started: set[str] = set()
        self.start_log: list[str] = []
        self._store, self._record, self._labels = store, record, labels
        self._ends: list[list] = []
        self._number = 0
        self._highest: dict[str, int] = {}
        self._fence = 0
        self._lease_until = 0.0
        self._changed = asyncio.Event()
        self._clock_origin = time.monotonic() - 1000.0
        self._born = int(time.time() * 1000)
        self._tasks: list[asyncio.Task] = []
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Opens its port and registers."""
        app = web.Application()
        app.add_routes(
            [
                web.post("/-/run-start", self._handle(self._run_start)),
                web.post("/-/run-stop", self._handle(self._run_stop)),
                web.post("/-/hold", self._handle(self._hold)),
                web.post("/-/pace", self._handle(self._pace)),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        port = free_port()
        await web.TCPSite(self._runner, HOST, port).start()
        self._entry = {
            "service": SERVICE,
            "address": f"{HOST}:{port}",
            "zone": "z",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": 64_000, "mem_mb": 262_144, "gpu": 0},
            "labels": list(self._labels),
            "born": self._born,
            "seq_no": 1,
        }
        self._store.put(
            f"servers/{self.name}", json.dumps(self._entry).encode()
        )
        self._tasks.append(asyncio.create_task(self._watch_lease()))

    async def close(self, *, unlist: bool = False) -> None:
        """Ends it at once, with all that it runs."""
        for task in self._tasks:
            task.cancel()
        for row in self.running.values():
            if row["timer"] is not None:
                row["timer"].cancel()
        self.running.clear()
        if self._runner is not None:
            await self._runner.cleanup()
        if unlist:
            self._store.remove(f"servers/{self.name}")

    def fail(self, key: tuple[str, int]) -> None:
        """Lets a task fail by its own fault."""
        self._end(key, "failed")

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_origin) * 1000)

    def _handle(self, handler):
        async def answer(req: web.Request) -> web.Response:
            body = await req.json()
            if req.headers.get("Expect-Instance", self.name) != self.name:
                return web.json_response({}, status=421)
            status, found = 409, {"reason": "fence"}
            fence = body.get("fencing_token", 0)
            if fence >= self._fence:
                self._fence = fence
                status, found = await handler(body)
            found["clock_ms"] = self._clock_ms()
            found["born"] = self._born
            return web.json_response(found, status=status)

        return answer

    def _renew(self, until_ms: int) -> None:
        longest = min(until_ms, self._clock_ms() + MAX_HOLD_MS)
        self._lease_until = max(self._lease_until, longest)

    async def _run_start(self, body) -> tuple[int, dict]:
        key = (body["task"], body["run_id"])
        if body["until_ms"] <= self._clock_ms():
            return 409, {"reason": "late"}
        self._renew(body["until_ms"])
        if key in self.running:
            return 200, {}
        if body["run_id"] <= self._highest.get(body["task"], 0):
            return 409, {"reason": "old"}
        run_s = json.loads(body["spec"]).get("run_s")
        loop = asyncio.get_running_loop()
        self.running[key] = {
            "began_at": time.monotonic(),
            "run_s": run_s,
            "timer": run_s and loop.call_later(run_s, self._end, key, "done"),
        }
        self.started.add(key[0])
        self.start_log.append(key[0])
        self._record.write(f"{self.name}: started {key[0]} run {key[1]}")
        return 200, {}

    async def _run_stop(self, body) -> tuple[int, dict]:
        key = (body["task"], body["run_id"])
        self._highest[key[0]] = max(self._highest.get(key[0], 0), key[1])
        if key in self.running:
            self._end(key, "stopped")
        return 200, {}

    async def _hold(self, body) -> tuple[int, dict]:
        if "until_ms" in body:
            self._renew(body["until_ms"])
        seen = body.get("last_seen", 0)
        self._ends = [row for row in self._ends if row[0] > seen]
        if not self._ends and body.get("wait_ms"):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(body["wait_ms"] / 1000):
                    await self._changed.wait()
        return 200, {
            "running": [
                [task, run, "", self._percent(row), 0]
                for (task, run), row in self.running.items()
            ],
            "ended_tasks": self._ends[:500],
        }

    async def _pace(self, body) -> tuple[int, dict]:
        return 200, {}

    def _percent(self, row: dict) -> int:
        passed_s = time.monotonic() - row["began_at"]
        return min(100, int(100 * passed_s / (row["run_s"] or 0.5)))

    def _end(self, key: tuple[str, int], how: str) -> None:
        row = self.running.pop(key, None)
        if row is None:
            return
        if row["timer"] is not None:
            row["timer"].cancel()
        self._highest[key[0]] = max(self._highest.get(key[0], 0), key[1])
        self._number += 1
        self._ends.append([self._number, *key, how, ""])
        self._record.write(f"{self.name}: ended {key[0]} run {key[1]}: {how}")
        self._changed.set()
        self._changed = asyncio.Event()

    async def _watch_lease(self) -> None:
        beat_at = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            if self._clock_ms() >= self._lease_until:
                for key in list(self.running):
                    self._end(key, "lapsed")
            if time.monotonic() - beat_at >= HEARTBEAT_S:
                beat_at = time.monotonic()
                self._entry["seq_no"] += 1


class CellProcess:
    """A host of the cell, started with the command of the deploy file.

    Args:
        name: Its name.
        folder: Folder for its settings and its log.
        store_address: Address of the store.
        link_mbps: Rate of its network link.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store_address: str,
        link_mbps: float,
    ):
        self.name = name
        self.log = folder / f"{name}.log"
        self.address = f"{HOST}:{free_port()}"
        self._settings = folder / f"{name}.json"
        self._process: asyncio.subprocess.Process | None = None
        peer = free_port()
        limits = {
            "cpu_share": 0.537,
            "cores": 2,
            "memory_mb": 300,
            "max_fds": 4200,
            "link_mbps": link_mbps,
            "disk_mb": 0,
        }
        self._settings.write_text(
            json.dumps(
                {
                    "name": name,
                    "zone": "z",
                    "region": "r",
                    "zones": {"z": "r"},
                    "ip": HOST,
                    "callers_address": self.address,
                    "ready_address": f"{HOST}:{free_port()}",
                    "metrics_address": f"{HOST}:{free_port()}",
                    "peer_ports": [peer, peer],
                    "store": {
                        "address": store_address,
                        "writes_per_s": 400,
                        "reads_per_s": 2000,
                    },
                    "advice_address": None,
                    "cores": 2,
                    "core_share": 0.537,
                    "memory_mb": 300,
                    "limits": limits,
                    "heartbeat_ms": 1500,
                    "bounds": {
                        "max_lease_ms": MAX_HOLD_MS,
                        "stop_grace_ms": 400,
                        "early_ms": 250,
                        "status_s": 120,
                        "grace_s": 6,
                    },
                    "team_bounds": {},
                }
            )
        )

    async def start(self) -> None:
        """Starts the process."""
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "dragonflybank.adapter",
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "DRAGONFLYBANK_SETTINGS": str(self._settings),
                    "SSL_CERT_FILE": "/dev/null",
                    "SSL_CERT_DIR": "/nonexistent",
                },
            )

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def close(self) -> None:
        """Ends the process."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()


class Cell:
    """A small deployment: store, executors, hosts and a client.

    Args:
        folder: Folder of the case, for its record.
        hosts: Number of hosts.
        executors: Number of executors.
        link_mbps: Rate of the network link of each host.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        hosts: int,
        executors: int,
        link_mbps: float = 1000.0,
    ):
        self.record = Record(folder / "record.txt")
        self.store = Store(self.record)
        self.hosts: list[CellProcess] = []
        self.executors: list[Executor] = []
        # Executors that a case has ended.
        self.ended: list[Executor] = []
        self._counts = hosts, executors
        self._link_mbps = link_mbps
        self._temp = tempfile.TemporaryDirectory()
        self.client: ClientSession | None = None

    async def __aenter__(self) -> "Cell":
        hosts, executors = self._counts
        folder = pathlib.Path(self._temp.name)
        self.store.put("op/config", json.dumps(_config()).encode())
        for number in range(executors):
            executor = Executor(
                f"i-{number}", self.store, self.record, ("a", f"r{number % 2}")
            )
            self.executors.append(executor)
            await executor.start()
        for number in range(hosts):
            address = await self.store.serve(Link(self._link_mbps))
            host = CellProcess(f"h{number}", folder, address, self._link_mbps)
            self.hosts.append(host)
            await host.start()
        self.client = ClientSession(timeout=ClientTimeout(total=4.0))
        return self

    async def __aexit__(self, *exc) -> None:
        await self.client.close()
        for host in self.hosts:
            await host.close()
        for executor in self.executors:
            await executor.close()
        await self.store.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for host in self.hosts:
                target = pathlib.Path(keep) / host.log.name
                target.write_bytes(host.log.read_bytes())
        self._temp.cleanup()

    @property
    def leader(self) -> str:
        """Name of the host that the store names as the leader."""
        raw = self.store.value("leader")
        return json.loads(raw)["name"] if raw else ""

    async def call(
        self,
        host: CellProcess,
        method: str,
        path: str,
        body: dict | None = None,
        *,
        is_recorded: bool = True,
    ) -> tuple[int, dict]:
        """Sends a client's request; returns the status and the body.

        The status is 0 if there is no answer.
        """
        url = f"http://{host.address}{path}"
        headers = {"Host": FRONT_NAME, "Deadline-Ms": "3000"}
        try:
            async with self.client.request(
                method, url, json=body, headers=headers
            ) as resp:
                found = (resp.status, await resp.json())
        except Exception as exc:  # noqa: BLE001
            found = (0, {"no answer": type(exc).__name__})
        if is_recorded:
            self.record.write(
                f"client: {method} {path} at {host.name}: {found[0]} "
                f"{json.dumps(found[1])}"
            )
        return found

    async def wait_until_ready(self, seconds: float) -> bool:
        """Waits until a leader exists and all hosts answer."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            found = [
                (await self.call(h, "GET", "/q0/", is_recorded=False))[0]
                for h in self.hosts
            ]
            if self.leader and all(status == 200 for status in found):
                self.record.write(f"ready, {self.leader} leads")
                return True
            await asyncio.sleep(0.2)
        return False


def _config() -> dict:
    return {
        "version": 3,
        "routes": [
            {
                "name": f"route-{number}",
                "host": FRONT_NAME,
                "prefix": f"/q{number}/",
                "kind": "non_idempotent",
                "timeout_ms": 3000,
                "target_duration_ms": 3000,
                "priority": number,
                "service": SERVICE,
                "max_attempts": 4,
                "slack_factor": 4.0,
            }
            for number in range(2)
        ],
        "services": [{"name": SERVICE, "admission_check": False}],
        "limits": {"max_body_bytes": 262_144},
    }


def job_id(number: int) -> str:
    """Returns an identifier of 16 hexadecimal digits."""
    return f"{number:016x}"


def run_case(main) -> None:
    """Runs a script and exits with 0, 1 or 2.

    Args:
        main: A coroutine function that returns the exit status.
    """
    try:
        status = asyncio.run(main(os.environ.get("TROUBLE", "1") != "0"))
    except Exception as exc:  # noqa: BLE001
        print(f"the case could not run: {exc!r}")
        status = 2
    sys.exit(status)
