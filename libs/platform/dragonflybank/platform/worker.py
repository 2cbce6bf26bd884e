"""The platform's worker API: claims, tasks under leases, lookups."""

__all__ = [
    "ClaimResult",
    "HttpWorkerClient",
    "WorkerClient",
    "WorkerState",
    "WorkerTask",
]

import abc
import functools
from collections.abc import Sequence

import attrs
from returns.result import Result, Success

from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.hashing import digest
from dragonflybank.model.leases import StartReply, TaskEvent, TaskState
from dragonflybank.model.resources import Resources
from dragonflybank.platform.http_client import HttpClient

CALL_TIMEOUT_S = 2.0


@attrs.frozen
class WorkerTask:
    """A task that a worker holds.

    Attributes:
        task_id: Identity of the start.
        work_class: Name of the work class.
        state: Running, or final and not yet acknowledged.
        grant: Resources that its lease grants.
        started_at: Start time at the worker, seconds since 1970.
    """

    task_id: str
    work_class: str
    state: TaskState
    grant: Resources
    started_at: float = 0.0


@attrs.frozen
class WorkerState:
    """What a worker says of itself.

    Attributes:
        epoch: Ownership epoch.
        owner: Name of the owning host, empty if it never had one.
        incarnation: Identity of this start of the worker's VM.
        size: What the worker can hold, slots and connections included.
        leaving: Whether the VM is leaving.
        tasks: Tasks that it holds.
        usage: Measured use, some seconds old.
    """

    epoch: int
    owner: str
    incarnation: str
    size: Resources
    leaving: bool
    tasks: tuple[WorkerTask, ...] = ()
    usage: Resources = Resources()


@attrs.frozen
class ClaimResult:
    """The answer to a claim.

    Attributes:
        won: Whether the caller is the owner now.
        state: State of the worker after the claim.
    """

    won: bool
    state: WorkerState


class WorkerClient(abc.ABC):
    """One worker.

    Every method fails with ``UNREACHABLE`` if the call certainly had no
    effect, with ``TIMED_OUT`` if it may have had one, and with
    ``STALE_EPOCH`` if the worker has another epoch.
    """

    @abc.abstractmethod
    async def claim(
        self, host: str, *, epoch: int
    ) -> Result[ClaimResult, Problem]:
        """Becomes the owner if the worker's epoch is ``epoch``."""

    @abc.abstractmethod
    async def state(self) -> Result[WorkerState, Problem]:
        """Returns the worker's state."""

    @abc.abstractmethod
    async def start(
        self,
        task_id: str,
        *,
        epoch: int,
        work_class: str,
        grant: Resources,
        lease_s: float,
        payload: str,
    ) -> Result[StartReply, Problem]:
        """Starts a task under a lease; a known task is not started again."""

    @abc.abstractmethod
    async def renew(
        self, *, epoch: int, lease_s: float
    ) -> Result[WorkerState, Problem]:
        """Renews the leases of all tasks of the worker."""

    @abc.abstractmethod
    async def events(
        self, *, epoch: int, wait_s: float
    ) -> Result[tuple[TaskEvent, ...], Problem]:
        """Waits for ended tasks that are not acknowledged."""

    @abc.abstractmethod
    async def ack(
        self, task_ids: Sequence[str], *, epoch: int
    ) -> Result[None, Problem]:
        """Lets the worker forget ended tasks."""

    @abc.abstractmethod
    async def stop(
        self, task_ids: Sequence[str], *, epoch: int
    ) -> Result[None, Problem]:
        """Stops tasks."""

    @abc.abstractmethod
    async def throttle(
        self, task_ids: Sequence[str], *, epoch: int
    ) -> Result[None, Problem]:
        """Throttles tasks to half of their processors."""

    @abc.abstractmethod
    async def checkpoint(
        self, task_ids: Sequence[str], *, epoch: int
    ) -> Result[None, Problem]:
        """Checkpoints tasks, which then stop."""

    @abc.abstractmethod
    async def execute(
        self,
        request_id: str,
        *,
        epoch: int,
        work_class: str,
        payload: str,
        timeout_s: float,
    ) -> Result[str, Problem]:
        """Runs a lookup on an executor slot and returns its whole answer."""


class HttpWorkerClient(WorkerClient):
    """A worker over HTTP."""

    def __init__(
        self, name: str, url: str, *, timeout_s: float = CALL_TIMEOUT_S
    ):
        self.name = name
        self._http = HttpClient(url, timeout_s=timeout_s)
        # Lookups and the waiting call for events have connections of their
        # own, so that a silent one does not close the others in use.
        self._lookup_http = HttpClient(url, timeout_s=timeout_s)
        self._event_http = HttpClient(url, timeout_s=timeout_s)

    async def close(self) -> None:
        """Closes the connections."""
        for conn in (self._http, self._lookup_http, self._event_http):
            await conn.close()

    async def claim(
        self, host: str, *, epoch: int
    ) -> Result[ClaimResult, Problem]:
        """See `WorkerClient.claim`."""
        reply = await self._http.call(
            "POST", "/v1/claim", json={"host": host, "epoch": epoch}
        )
        return reply.bind(
            lambda r: r.json_for_status(200, 409).map(
                lambda body: ClaimResult(r.status == 200, _state(body))
            )
        )

    async def state(self) -> Result[WorkerState, Problem]:
        """See `WorkerClient.state`."""
        reply = await self._http.call("GET", "/v1/state")
        return reply.bind(lambda r: r.json_for_status(200)).map(_state)

    async def start(
        self,
        task_id: str,
        *,
        epoch: int,
        work_class: str,
        grant: Resources,
        lease_s: float,
        payload: str,
    ) -> Result[StartReply, Problem]:
        """See `WorkerClient.start`."""
        body = {
            "task_id": task_id,
            "epoch": epoch,
            "work_class": work_class,
            "grant": attrs.asdict(grant),
            "lease_s": lease_s,
            "payload": payload,
        }
        reply = await self._http.call("POST", "/v1/tasks", json=body)
        return reply.bind(_start_reply)

    async def renew(
        self, *, epoch: int, lease_s: float
    ) -> Result[WorkerState, Problem]:
        """See `WorkerClient.renew`."""
        body = {"epoch": epoch, "lease_s": lease_s}
        return (await self._post("/v1/renew", body)).map(_state)

    async def events(
        self, *, epoch: int, wait_s: float
    ) -> Result[tuple[TaskEvent, ...], Problem]:
        """See `WorkerClient.events`."""
        reply = await self._event_http.call(
            "GET",
            "/v1/events",
            params={"epoch": str(epoch), "wait_s": str(wait_s)},
            server_wait_s=wait_s,
        )
        return reply.bind(_accepted).map(
            lambda body: tuple(_event(self.name, e) for e in body["events"])
        )

    async def execute(
        self,
        request_id: str,
        *,
        epoch: int,
        work_class: str,
        payload: str,
        timeout_s: float,
    ) -> Result[str, Problem]:
        """See `WorkerClient.execute`."""
        body = {
            "request_id": request_id,
            "epoch": epoch,
            "work_class": work_class,
            "payload": payload,
        }
        reply = await self._lookup_http.call(
            "POST", "/v1/execute", json=body, timeout_s=timeout_s
        )
        return reply.bind(lambda r: _whole_answer(r, request_id))

    async def _post(self, path: str, body: dict) -> Result[dict, Problem]:
        reply = await self._http.call("POST", path, json=body)
        return reply.bind(_accepted)

    async def _for_tasks(
        self, path: str, task_ids: Sequence[str], *, epoch: int
    ) -> Result[None, Problem]:
        body = {"epoch": epoch, "task_ids": list(task_ids)}
        return (await self._post(path, body)).map(lambda _: None)

    ack = functools.partialmethod(_for_tasks, "/v1/ack")
    stop = functools.partialmethod(_for_tasks, "/v1/stop")
    throttle = functools.partialmethod(_for_tasks, "/v1/throttle")
    checkpoint = functools.partialmethod(_for_tasks, "/v1/checkpoint")


def _accepted(reply) -> Result[dict, Problem]:
    if reply.status == 409:
        return failure(Code.STALE_EPOCH, "the worker has another epoch")
    return reply.json_for_status(200)


def _start_reply(reply) -> Result[StartReply, Problem]:
    if reply.status == 201:
        return Success(StartReply.STARTED)
    return _accepted(reply).map(lambda _: StartReply.KNOWN)


def _whole_answer(reply, request_id: str) -> Result[str, Problem]:
    if reply.status == 409:
        return failure(Code.STALE_EPOCH, "the worker has another epoch")
    if reply.status == 503:
        return failure(Code.FULL, "the executor has no free slot")
    if reply.status == 500:
        return failure(Code.TASK_FAILED, reply.body.decode(errors="replace"))
    if reply.headers.get("X-Request-Id") != request_id:
        return failure(Code.TIMED_OUT, "answer to another request")
    if reply.headers.get("X-Digest") != digest(reply.body):
        return failure(Code.TIMED_OUT, "the answer is not whole")
    return Success(reply.body.decode())


def _state(body: dict) -> WorkerState:
    return WorkerState(
        epoch=body["epoch"],
        owner=body["owner"],
        incarnation=body["incarnation"],
        size=Resources(**body["size"]),
        leaving=body["leaving"],
        tasks=tuple(_task(row) for row in body["tasks"]),
        usage=Resources(**body["usage"]),
    )


def _task(row: dict) -> WorkerTask:
    return WorkerTask(
        row["task_id"],
        row["work_class"],
        TaskState(row["state"]),
        Resources(**row["grant"]),
        row["started_at"],
    )


def _event(worker: str, row: dict) -> TaskEvent:
    return TaskEvent(
        row["task_id"],
        worker,
        TaskState(row["state"]),
        row["result"],
        row["reason"],
        row["run_s"],
        Resources(**row["peak"]),
    )
