"""Executors over HTTP, as PROTOCOL.md describes them."""

__all__ = ["Executor", "Fleet", "Run"]

import asyncio
import json
import time
from collections.abc import Callable

import attrs
from aiohttp import web

HEARTBEAT_S = 1.5
MAX_HOLD_S = 10.0
STOP_S = 0.2
GANG_TIMEOUT_S = 3.0
TICK_S = 0.02
ENDS_PER_REPLY = 500
LASTING_STARTUP_S = 0.3


@attrs.define
class Run:
    """A run of a task, which the cases judge.

    Attributes:
        task: Name of the task.
        number: Number of the run.
        executor: Identifier of the executor.
        started_at: Time of its start.
        cpu: Thousandths of a core that it takes.
        ended_at: Time of its end; None while it runs.
        how: How it ended; None while it runs.
        noted_at: Time at which its end was taken note of.
        work_s: Work that is left, in seconds.
        total_s: Its whole work in seconds.
        present_since: Time at which all members of its gang were there.
    """

    task: str
    number: int
    executor: str
    started_at: float
    cpu: int
    work_s: float
    total_s: float
    ended_at: float | None = None
    how: str | None = None
    noted_at: float | None = None

    @property
    def percent(self) -> int:
        """How much of its work is done, in percent."""
        if self.total_s <= 0:
            return 100
        return min(99, int(100 * (1 - self.work_s / self.total_s)))


class Fleet:
    """All executors, and the jobs that clients sent.

    Attributes:
        executors: Executors by identifier.
        runs: All runs, in the order of their starts.
        jobs: Bodies of the jobs that clients sent, by identifier.
        unknown_starts: Tasks that were started though no client sent them.

    Args:
        note: Writes a line to the record.
        work_s: Returns the work of a task in seconds.
        lasting_ends: Returns when and how a run of a task that lasts ends, in
            seconds after its start, or None.
    """

    def __init__(
        self,
        *,
        note: Callable[[str], None],
        work_s: Callable[[str], float],
        lasting_ends: Callable[[Run], tuple[float, str] | None] = lambda _: (
            None
        ),
    ):
        self.executors: dict[str, Executor] = {}
        self.runs: list[Run] = []
        self.jobs: dict[str, dict] = {}
        self.unknown_starts: list[str] = []
        self.note = note
        self.work_s = work_s
        self.lasting_ends = lasting_ends

    def step_of(self, task: str) -> dict | None:
        """Returns the step of a task, None if no client sent it."""
        job, _, step, index = task.split(".")
        body = self.jobs.get(job)
        if body is None or int(step) >= len(body["steps"]):
            return None
        found = body["steps"][int(step)]
        return found if int(index) < found["count"] else None

    def running(self, task_prefix: str = "") -> list[Run]:
        """Returns the runs that have not ended, of some tasks."""
        return [
            r
            for r in self.runs
            if r.ended_at is None and r.task.startswith(task_prefix)
        ]

    def gang_of(self, run: Run) -> list[Run]:
        """Returns the members of a run's gang that are there."""
        step_name = run.task.rpartition(".")[0] + "."
        return [r for r in self.running(step_name) if r.number == run.number]


class Executor:
    """An executor that starts whatever it is told to.

    Attributes:
        id: Its identifier.
        address: IP address and port.
        service: Service that it belongs to.
        running: Its runs by task and number.
    """

    def __init__(
        self,
        fleet: Fleet,
        executor_id: str,
        *,
        service: str,
        zone: str,
        labels: tuple[str, ...],
        cpu: int,
        mem_mb: int,
    ):
        self.id = executor_id
        self.address = ""
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.running: dict[tuple[str, int], Run] = {}
        self._fleet = fleet
        self.service = service
        self._zone = zone
        self._labels = labels
        self._leaves_at: float | None = None
        self._write: Callable[[str, bytes], None] = lambda key, value: None
        self._seq_no = 0
        self._born = int(time.time() * 1000)
        self._born_at = self._now()
        self._token = 0
        self._until = 0.0
        self._ends: list[list] = []
        self._ended: dict[int, Run] = {}
        self._last_end = 0
        self._highest_over: dict[str, int] = {}
        self._new_end = asyncio.Event()
        self._runner: web.ServerRunner | None = None
        self._tasks: list[asyncio.Task] = []
        fleet.executors[executor_id] = self

    async def start(self, ip: str, write: Callable[[str, bytes], None]) -> None:
        """Starts to listen and to write its entry."""
        server = web.Server(self._answer, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, 0, backlog=256).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        self._write = write
        self._tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._send_heartbeats()),
        ]

    async def close(self) -> None:
        """Ends its tasks and closes all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._runner is not None:
            await self._runner.cleanup()

    def entry(self) -> dict:
        """Returns its entry in the store."""
        self._seq_no += 1
        draining = {}
        if self._leaves_at is not None:
            left_s = max(0.0, self._leaves_at - self._now())
            draining = {"drain_remaining_ms": int(left_s * 1000)}
        return {
            "service": self.service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if draining else "ready",
            **draining,
            "cold_remaining_ms": 0,
            "seq_no": self._seq_no,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
            "labels": list(self._labels),
            "machine": f"m-{self.id}",
            "born": self._born,
        }

    def used_cpu(self) -> int:
        """Returns the thousandths of cores that its runs take."""
        return sum(run.cpu for run in self.running.values())

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _clock_ms(self) -> int:
        return int((self._now() - self._born_at) * 1000) + 1000

    def _extend(self, until_ms: float) -> None:
        longest = self._clock_ms() + MAX_HOLD_S * 1000
        self._until = max(self._until, min(until_ms, longest))

    def drain(self, remaining_s: float) -> None:
        """Announces that it leaves after a while."""
        self._leaves_at = self._now() + remaining_s
        self._write_entry()
        self._fleet.note(f"{self.id} drains")

    async def leave(self, remove: Callable[[str], None]) -> None:
        """Leaves; everything that runs on it ends."""
        for run in list(self.running.values()):
            self.running.pop((run.task, run.number))
            run.ended_at, run.how = self._now(), "left"
        await self.close()
        remove(f"servers/{self.id}")
        del self._fleet.executors[self.id]
        self._fleet.note(f"{self.id} has left")

    def _write_entry(self) -> None:
        entry = json.dumps(self.entry()).encode()
        self._write(f"servers/{self.id}", entry)

    async def _send_heartbeats(self) -> None:
        while True:
            self._write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _answer(self, req: web.BaseRequest) -> web.Response:
        raw = await req.read()
        if req.headers.get("Expect-Instance", self.id) != self.id:
            return self._reply({}, status=421)
        body = json.loads(raw)
        if body.get("fencing_token", 0) < self._token:
            return self._reply({"reason": "fence"}, status=409)
        self._token = body.get("fencing_token", 0)
        match req.path:
            case "/-/run-start":
                return self._start(body)
            case "/-/run-stop":
                return self._stop(body)
            case "/-/hold":
                return await self._hold(body)
            case "/-/pace":
                return self._reply({})
        return self._reply({}, status=404)

    def _reply(self, body: dict, status: int = 200) -> web.Response:
        return web.json_response(
            {"clock_ms": self._clock_ms(), **body}, status=status
        )

    def _start(self, body: dict) -> web.Response:
        task, number = body["task"], body["run_id"]
        key = (task, number)
        if body["until_ms"] <= self._clock_ms():
            return self._reply({"reason": "late"}, status=409)
        self._extend(body["until_ms"])
        if key in self.running:
            return self._reply({})
        if number <= self._highest_over.get(task, 0):
            return self._reply({"reason": "old"}, status=409)
        step = self._fleet.step_of(task)
        if step is None:
            self._fleet.unknown_starts.append(task)
        work_s = self._fleet.work_s(task)
        run = Run(
            task,
            number,
            self.id,
            self._now(),
            0 if not step or step.get("fills") else step.get("cpu", 0),
            work_s,
            work_s,
        )
        self.running[key] = run
        self._fleet.runs.append(run)
        self._fleet.note(f"{self.id} starts {task} run {number}")
        return self._reply({})

    def _stop(self, body: dict) -> web.Response:
        task, number = body["task"], body["run_id"]
        self._highest_over[task] = max(number, self._highest_over.get(task, 0))
        run = self.running.get((task, number))
        if run is not None:
            asyncio.get_running_loop().call_later(
                STOP_S, self._end, run, "stopped"
            )
        return self._reply({})

    async def _hold(self, body: dict) -> web.Response:
        if body.get("until_ms"):
            self._extend(body["until_ms"])
        for number in [n for n in self._ended if n <= body["last_seen"]]:
            self._ended.pop(number).noted_at = self._now()
        self._ends = [e for e in self._ends if e[0] > body["last_seen"]]
        if not self._ends:
            self._new_end.clear()
            try:
                async with asyncio.timeout(body.get("wait_ms", 0) / 1000):
                    await self._new_end.wait()
            except TimeoutError:
                pass
        return self._reply(
            {
                "born": self._born,
                "running": [
                    [r.task, r.number, "", r.percent, r.cpu / 1000]
                    for r in self.running.values()
                ],
                "ended_tasks": self._ends[:ENDS_PER_REPLY],
            }
        )

    async def _tick(self) -> None:
        while True:
            began_at = self._now()
            await asyncio.sleep(TICK_S)
            elapsed_s = self._now() - began_at
            if self._clock_ms() >= self._until:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")
            for run in list(self.running.values()):
                self._work(run, elapsed_s)

    def _work(self, run: Run, elapsed_s: float) -> None:
        step = self._fleet.step_of(run.task) or {}
        age_s = self._now() - run.started_at
        if step.get("long_running"):
            run.work_s = 0.0 if age_s > LASTING_STARTUP_S else run.total_s
            ends = self._fleet.lasting_ends(run)
            if ends is not None and age_s >= ends[0]:
                self._end(run, ends[1])
            return
        if step.get("gang_scheduled"):
            members = self._fleet.gang_of(run)
            if len(members) < step["count"]:
                if age_s > GANG_TIMEOUT_S and run.work_s == run.total_s:
                    self._end(run, "alone")
                return
        run.work_s -= elapsed_s
        if run.work_s <= 0:
            self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        if self.running.pop((run.task, run.number), None) is None:
            return
        run.ended_at, run.how = self._now(), how
        self._highest_over[run.task] = max(
            run.number, self._highest_over.get(run.task, 0)
        )
        self._last_end += 1
        self._ends.append([self._last_end, run.task, run.number, how, ""])
        self._ended[self._last_end] = run
        self._new_end.set()
        self._fleet.note(f"{self.id} ends {run.task} run {run.number} {how}")
        step = self._fleet.step_of(run.task) or {}
        if step.get("gang_scheduled") and how != "alone":
            for other in self._fleet.gang_of(run):
                owner = self._fleet.executors[other.executor]
                owner._end(other, "done" if how == "done" else "broken")
