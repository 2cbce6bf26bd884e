"""A stand-in of the platform's worker API.

One process serves many workers, each on a separate port. A call is refused if
its incarnation or epoch isn't the worker's, but a start isn't refused for lack
of free resources. A VM that replaces a killed one has a new incarnation and
epoch 0; calls that the killed one had received arrive at it.
"""

__all__ = ["WorkerServer", "main"]

import argparse
import asyncio
import json
import time
from collections.abc import Mapping
from typing import Any

import attrs
from aiohttp import web

from dragonflybank.model.hashing import digest
from dragonflybank.model.leases import TaskState
from dragonflybank.model.resources import Resources
from dragonflybank.standins.faults import FaultSwitches
from dragonflybank.standins.lookup_executor import LOOKUP_GRANT
from dragonflybank.standins.program import run_program
from dragonflybank.standins.records import (
    ClaimWon,
    LeavingAnnounced,
    RecordLog,
    Refused,
    WorkerUp,
)
from dragonflybank.standins.server import Route, StandinServer
from dragonflybank.standins.simulated_worker import (
    SimulatedTask,
    SimulatedWorker,
)

# HTTP status of calls that arrived after the time in them.
EXPIRED = 410
DEFAULT_SIZE = Resources(
    cores=64, memory_mb=256 * 1024, slots=8, connections=64
)


def main() -> None:
    """Runs one or more workers as one program."""

    def make_servers(args, log):
        size = Resources(**json.loads(args.size)) if args.size else DEFAULT_SIZE
        return {
            name: WorkerServer(name, size, log, usage_lag_s=args.usage_lag_s)
            for name in args.names.split(",")
        }

    def add_arguments(parser: argparse.ArgumentParser):
        parser.add_argument("--names", default="worker", help="w1,w2,...")
        parser.add_argument("--size", default="", help="JSON of Resources")
        parser.add_argument("--usage-lag-s", type=float, default=0.0)

    run_program(__doc__, make_servers, add_arguments)


class WorkerServer(StandinServer):
    """The server of one worker.

    Attributes:
        epoch: Ownership epoch, 0 before the first claim.
        owner: Name of the owning host.
        incarnation: Identifier of this start of the VM, empty while it is
            killed.
        work: Simulation of its tasks and lookups.

    Args:
        name: Name of the worker.
        size: Resources that it can hold, slots and connections included.
        log: Records.
        usage_lag_s: Age of the reported usage in seconds.
        lookup_grant: Resources that the worker counts for a running lookup.
    """

    def __init__(
        self,
        name: str,
        size: Resources = DEFAULT_SIZE,
        log: RecordLog | None = None,
        *,
        usage_lag_s: float = 0.0,
        lookup_grant: Resources = LOOKUP_GRANT,
    ):
        super().__init__(name, log)
        self.work = SimulatedWorker(
            name,
            size,
            self.log,
            usage_lag_s=usage_lag_s,
            lookup_grant=lookup_grant,
        )
        self.size = size
        self.epoch = 0
        self.owner = ""
        self.incarnation = ""
        self._start_incarnation()

    @property
    def clock_s(self) -> float:
        """Clock of the leases: seconds since the VM started."""
        return time.monotonic() - self._started_at

    def routes(self) -> list[Route]:
        """See `StandinServer.routes`."""
        return [
            Route("POST", "/v1/claim", "claim", self._claim),
            Route("GET", "/v1/state", "state", self._get_state),
            Route("POST", "/v1/tasks", "start", self._start_task),
            Route("POST", "/v1/renew", "renew", self._renew),
            Route("GET", "/v1/events", "events", self._events),
            Route("POST", "/v1/ack", "ack", self._ack),
            Route("POST", "/v1/stop", "stop", self._stop),
            Route("POST", "/v1/throttle", "throttle", self._throttle),
            Route("POST", "/v1/checkpoint", "checkpoint", self._checkpoint),
            Route("POST", "/v1/execute", "execute", self._execute),
        ]

    async def close(self) -> None:
        """See `StandinServer.close`."""
        await super().close()
        self.work.cancel()

    def _start_incarnation(self) -> None:
        self.epoch = 0
        self.owner = ""
        self.incarnation = f"{self.name}-{time.time_ns()}"
        self._started_at = time.monotonic()
        now = time.time()
        self.log.add(WorkerUp(now, self.name, self.incarnation, self.size))
        if self.switches.leaving:
            self._announce_leaving()

    def _announce_leaving(self) -> None:
        is_leaving = self.switches.leaving
        record = LeavingAnnounced(time.time(), self.name, "worker", is_leaving)
        self.log.add(record)

    async def _on_switches_changed(self, old: FaultSwitches) -> None:
        new = self.switches
        self.work.set_sick(new.fails_everything)
        if new.leaving != old.leaving:
            self._announce_leaving()
        if new.killed and not old.killed:
            # Calls that the VM had received can't take effect on it any more.
            self.incarnation = ""
            self.work.fail_all()
        if old.killed and not new.killed:
            self._start_incarnation()
        if new.frozen and not old.frozen:
            self.work.pause()
        if old.frozen and not new.frozen:
            self.work.resume()
        await super()._on_switches_changed(old)

    async def _claim(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not self._is_current(body):
            return self._reply_stale_epoch("claim", body["host"], body["epoch"])
        self.epoch += 1
        self.owner = body["host"]
        now = time.time()
        self.log.add(ClaimWon(now, self.name, self.owner, self.epoch))
        # Ends a waiting call for events of the former owner.
        self.work.notify_waiters()
        return web.json_response(self._encode_state())

    async def _get_state(self, request: web.Request) -> web.Response:
        return web.json_response(self._encode_state())

    async def _start_task(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not self._is_current(body):
            return self._reply_stale_epoch(
                "start", body["task_id"], body["epoch"]
            )
        if body["task_id"] in self.work.tasks:
            return web.json_response({})
        lease_s = body["lease_until_s"] - self.clock_s
        if lease_s <= 0:
            self._record_refusal("start", body["task_id"], "lease has ended")
            return web.json_response(
                {"error": "lease has ended"}, status=EXPIRED
            )
        self.work.start(
            body["task_id"],
            body["work_class"],
            epoch=self.epoch,
            grant=Resources(**body["grant"]),
            lease_s=lease_s,
            payload=body["payload"],
        )
        return web.json_response({}, status=201)

    async def _renew(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not self._is_current(body):
            return self._reply_stale_epoch("renew", self.name, body["epoch"])
        self.work.renew(body["lease_until_s"] - self.clock_s)
        return web.json_response(self._encode_state())

    async def _events(self, request: web.Request) -> web.Response:
        fence = {**request.query, "epoch": int(request.query["epoch"])}
        try:
            async with asyncio.timeout(float(request.query["wait_s"])):
                while self._is_current(fence) and not self.work.unacked_tasks():
                    await self.work.changed.wait()
        except TimeoutError:
            pass
        if not self._is_current(fence):
            return self._reply_stale_epoch("events", self.name, fence["epoch"])
        rows = [_encode_event(task) for task in self.work.unacked_tasks()]
        return web.json_response({"events": rows})

    async def _ack(self, request: web.Request) -> web.Response:
        return await self._apply_to_tasks(
            request, "ack", self.work.remove_ended
        )

    async def _stop(self, request: web.Request) -> web.Response:
        return await self._apply_to_tasks(
            request, "stop", lambda ids: self.work.stop(ids, "stopped")
        )

    async def _throttle(self, request: web.Request) -> web.Response:
        return await self._apply_to_tasks(
            request, "throttle", self.work.throttle
        )

    async def _checkpoint(self, request: web.Request) -> web.Response:
        return await self._apply_to_tasks(
            request,
            "checkpoint",
            lambda ids: self.work.stop(ids, "checkpointed"),
        )

    async def _apply_to_tasks(self, request, kind, operation) -> web.Response:
        body = await request.json()
        if not self._is_current(body):
            return self._reply_stale_epoch(
                kind, ",".join(body["task_ids"]), body["epoch"]
            )
        operation(body["task_ids"])
        return web.json_response({})

    async def _execute(self, request: web.Request) -> web.Response:
        body = await request.json()
        request_id = body["request_id"]
        if not self._is_current(body):
            return self._reply_stale_epoch("execute", request_id, body["epoch"])
        if body["begin_until_s"] <= self.clock_s:
            self._record_refusal("execute", request_id, "too late")
            return web.json_response({"error": "too late"}, status=EXPIRED)
        done = self.work.executor.execute(
            request_id, body["work_class"], body["payload"]
        )
        if done is None:
            self._record_refusal("execute", request_id, "no free slot")
            return web.json_response({"error": "no free slot"}, status=503)
        ending = await done
        if ending.state is not TaskState.DONE:
            return web.Response(text=ending.reason, status=500)
        answer = ending.result.encode()
        headers = {"X-Request-Id": request_id, "X-Digest": digest(answer)}
        return web.Response(body=answer, headers=headers)

    def _is_current(self, fence: Mapping[str, Any]) -> bool:
        """Returns whether a call is meant for the present VM and epoch."""
        current = (self.incarnation, self.epoch)
        return (fence["incarnation"], fence["epoch"]) == current

    def _reply_stale_epoch(
        self, kind: str, subject: str, epoch: int
    ) -> web.Response:
        reason = (
            f"stale epoch {epoch}, current epoch {self.epoch} "
            f"of {self.incarnation}"
        )
        self._record_refusal(kind, subject, reason)
        return web.json_response(self._encode_state(), status=409)

    def _record_refusal(self, kind: str, subject: str, reason: str) -> None:
        self.log.add(Refused(time.time(), self.name, kind, subject, reason))

    def _encode_state(self) -> dict:
        return {
            "epoch": self.epoch,
            "owner": self.owner,
            "incarnation": self.incarnation,
            "size": attrs.asdict(self.size),
            "slots": self.size.slots,
            "connections": self.size.connections,
            "leaving": self.switches.leaving,
            "tasks": [_encode_task(task) for task in self.work.tasks.values()],
            "usage": attrs.asdict(self.work.usage(time.time())),
            "clock_s": self.clock_s,
        }


def _encode_task(task: SimulatedTask) -> dict:
    return {
        "task_id": task.task_id,
        "work_class": task.work_class,
        "state": task.state,
        "grant": attrs.asdict(task.grant),
        "started_at": task.started_at,
    }


def _encode_event(task: SimulatedTask) -> dict:
    return {
        "task_id": task.task_id,
        "state": task.state,
        "result": task.result,
        "reason": task.reason,
        "run_s": task.run_s,
        "peak": attrs.asdict(task.used),
    }


if __name__ == "__main__":
    main()
