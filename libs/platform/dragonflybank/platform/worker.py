"""The platform's worker API: claims, tasks with leases, and lookups."""

__all__ = [
    "CALL_TIMEOUT_S",
    "ClaimResult",
    "Fence",
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
# HTTP status of calls that arrived after the time in them.
EXPIRED = 410


@attrs.frozen
class Fence:
    """What a worker compares before it carries out a call.

    A worker that restarts counts its epochs from 0 again, so the epoch alone
    does not tell calls for its former VM from calls for the present one.

    Attributes:
        incarnation: Identifier of the boot of the worker's VM.
        epoch: Ownership epoch.
    """

    incarnation: str
    epoch: int


@attrs.frozen
class WorkerTask:
    """A task that runs on a worker or ended there and is not acknowledged.

    Attributes:
        task_id: Identifier of the start.
        work_class: Name of the work class.
        state: Running, or a final state until the end is acknowledged.
        grant: Resources that the task's lease grants.
        started_at: Start time on the worker, seconds since 1970.
    """

    task_id: str
    work_class: str
    state: TaskState
    grant: Resources
    started_at: float = 0.0


@attrs.frozen
class WorkerState:
    """The state of a worker, as the worker reports it.

    Attributes:
        epoch: Ownership epoch.
        owner: Name of the owning host, empty if it never had one.
        incarnation: Identifier of the boot of the worker's VM.
        size: Total resources, including slots and connections.
        leaving: Whether the VM is leaving.
        tasks: Running tasks, and ended ones that are not yet acknowledged.
        usage: Measured resource usage, some seconds old.
        clock_s: The clock by which the worker ends leases, in seconds; another
            incarnation starts it anew.
    """

    epoch: int
    owner: str
    incarnation: str
    size: Resources
    leaving: bool
    tasks: tuple[WorkerTask, ...] = ()
    usage: Resources = Resources()
    clock_s: float = 0.0

    @property
    def fence(self) -> Fence:
        """The fence of calls at the time of this state."""
        return Fence(self.incarnation, self.epoch)


@attrs.frozen
class ClaimResult:
    """The result of a claim.

    Attributes:
        won: Whether the caller is now the owner.
        state: State of the worker after the claim.
    """

    won: bool
    state: WorkerState


class WorkerClient(abc.ABC):
    """A client of one worker.

    Every method fails with ``UNREACHABLE`` if the call certainly had no
    effect, with ``TIMED_OUT`` if it may have had one, and with
    ``STALE_EPOCH`` if the worker has another incarnation or epoch than the
    call's fence. A refused call has no effect, however late it arrives.
    """

    @abc.abstractmethod
    async def claim(
        self, host: str, *, fence: Fence
    ) -> Result[ClaimResult, Problem]:
        """Makes a host the owner if the worker has the fence.

        Args:
            host: Name of the claiming host.
            fence: Incarnation and epoch that the worker must have; a won claim
                raises the epoch.
        """

    @abc.abstractmethod
    async def state(self) -> Result[WorkerState, Problem]:
        """Returns the worker's state."""

    @abc.abstractmethod
    async def start(
        self,
        task_id: str,
        *,
        fence: Fence,
        work_class: str,
        grant: Resources,
        lease_until_s: float,
        payload: str,
    ) -> Result[StartReply, Problem]:
        """Starts a task with a lease; a known task is not started again.

        Args:
            task_id: Identifier of the start.
            fence: Incarnation and epoch under which the caller is the owner.
            work_class: Name of the work class.
            grant: Resources that the lease grants.
            lease_until_s: End of the lease on the worker's clock, see
                `WorkerState.clock_s`. A call that arrives later has no
                effect and fails with ``UNREACHABLE``.
            payload: Request body of the job.
        """

    @abc.abstractmethod
    async def renew(
        self, *, fence: Fence, lease_until_s: float
    ) -> Result[WorkerState, Problem]:
        """Renews the leases of all tasks of the worker.

        Leases that end later stay as they are.

        Args:
            fence: Incarnation and epoch under which the caller is the owner.
            lease_until_s: New end of the leases on the worker's clock.
        """

    @abc.abstractmethod
    async def events(
        self, *, fence: Fence, wait_s: float
    ) -> Result[tuple[TaskEvent, ...], Problem]:
        """Returns the ends of tasks that are not yet acknowledged.

        Args:
            fence: Incarnation and epoch under which the caller is the owner.
            wait_s: Longest time to wait for the first end, in seconds.
        """

    @abc.abstractmethod
    async def ack(
        self, task_ids: Sequence[str], *, fence: Fence
    ) -> Result[None, Problem]:
        """Acknowledges ended tasks, which the worker then forgets."""

    @abc.abstractmethod
    async def stop(
        self, task_ids: Sequence[str], *, fence: Fence
    ) -> Result[None, Problem]:
        """Stops tasks."""

    @abc.abstractmethod
    async def throttle(
        self, task_ids: Sequence[str], *, fence: Fence
    ) -> Result[None, Problem]:
        """Throttles tasks to half of their cores."""

    @abc.abstractmethod
    async def checkpoint(
        self, task_ids: Sequence[str], *, fence: Fence
    ) -> Result[None, Problem]:
        """Checkpoints tasks and stops them."""

    @abc.abstractmethod
    async def execute(
        self,
        request_id: str,
        *,
        fence: Fence,
        work_class: str,
        payload: str,
        timeout_s: float,
        begin_until_s: float,
    ) -> Result[str, Problem]:
        """Runs a lookup on an executor slot and returns the complete answer.

        Args:
            request_id: Identifier that the answer must carry.
            fence: Incarnation and epoch under which the caller is the owner.
            work_class: Name of the work class.
            payload: Request body.
            timeout_s: Timeout of the call in seconds.
            begin_until_s: Time on the worker's clock after which the call has
                no effect and fails with ``UNREACHABLE``.
        """


class HttpWorkerClient(WorkerClient):
    """A client of a worker over HTTP.

    Args:
        name: Name of the worker.
        url: Base URL of the worker's API.
        timeout_s: Timeout of a call in seconds.
    """

    def __init__(
        self, name: str, url: str, *, timeout_s: float = CALL_TIMEOUT_S
    ):
        self.name = name
        self._http = HttpClient(url, timeout_s=timeout_s)
        # Lookups and the long poll for events have clients of their own, so
        # that their timeouts don't replace the connections of other calls.
        self._lookup_http = HttpClient(url, timeout_s=timeout_s)
        self._event_http = HttpClient(url, timeout_s=timeout_s)

    async def close(self) -> None:
        """Closes the connections."""
        for http in (self._http, self._lookup_http, self._event_http):
            await http.close()

    async def claim(
        self, host: str, *, fence: Fence
    ) -> Result[ClaimResult, Problem]:
        """See `WorkerClient.claim`."""
        reply = await self._http.call(
            "POST", "/v1/claim", json={"host": host, **attrs.asdict(fence)}
        )
        return reply.bind(
            lambda r: r.json_for_status(200, 409).map(
                lambda body: ClaimResult(
                    r.status == 200, _decode_worker_state(body)
                )
            )
        )

    async def state(self) -> Result[WorkerState, Problem]:
        """See `WorkerClient.state`."""
        reply = await self._http.call("GET", "/v1/state")
        return reply.bind(lambda r: r.json_for_status(200)).map(
            _decode_worker_state
        )

    async def start(
        self,
        task_id: str,
        *,
        fence: Fence,
        work_class: str,
        grant: Resources,
        lease_until_s: float,
        payload: str,
    ) -> Result[StartReply, Problem]:
        """See `WorkerClient.start`."""
        body = {
            "task_id": task_id,
            **attrs.asdict(fence),
            "work_class": work_class,
            "grant": attrs.asdict(grant),
            "lease_until_s": lease_until_s,
            "payload": payload,
        }
        reply = await self._http.call("POST", "/v1/tasks", json=body)
        return reply.bind(_decode_start_reply)

    async def renew(
        self, *, fence: Fence, lease_until_s: float
    ) -> Result[WorkerState, Problem]:
        """See `WorkerClient.renew`."""
        body = {**attrs.asdict(fence), "lease_until_s": lease_until_s}
        return (await self._post("/v1/renew", body)).map(_decode_worker_state)

    async def events(
        self, *, fence: Fence, wait_s: float
    ) -> Result[tuple[TaskEvent, ...], Problem]:
        """See `WorkerClient.events`."""
        reply = await self._event_http.call(
            "GET",
            "/v1/events",
            params={**attrs.asdict(fence), "wait_s": str(wait_s)},
            server_wait_s=wait_s,
        )
        return reply.bind(_check_epoch).map(
            lambda body: tuple(
                _decode_task_event(self.name, e) for e in body["events"]
            )
        )

    async def execute(
        self,
        request_id: str,
        *,
        fence: Fence,
        work_class: str,
        payload: str,
        timeout_s: float,
        begin_until_s: float,
    ) -> Result[str, Problem]:
        """See `WorkerClient.execute`."""
        body = {
            "request_id": request_id,
            **attrs.asdict(fence),
            "work_class": work_class,
            "payload": payload,
            "begin_until_s": begin_until_s,
        }
        reply = await self._lookup_http.call(
            "POST", "/v1/execute", json=body, timeout_s=timeout_s
        )
        return reply.bind(lambda r: _decode_lookup_answer(r, request_id))

    async def _post(self, path: str, body: dict) -> Result[dict, Problem]:
        reply = await self._http.call("POST", path, json=body)
        return reply.bind(_check_epoch)

    async def _post_task_ids(
        self, path: str, task_ids: Sequence[str], *, fence: Fence
    ) -> Result[None, Problem]:
        body = {**attrs.asdict(fence), "task_ids": list(task_ids)}
        return (await self._post(path, body)).map(lambda _: None)

    ack = functools.partialmethod(_post_task_ids, "/v1/ack")
    stop = functools.partialmethod(_post_task_ids, "/v1/stop")
    throttle = functools.partialmethod(_post_task_ids, "/v1/throttle")
    checkpoint = functools.partialmethod(_post_task_ids, "/v1/checkpoint")


def _check_epoch(reply) -> Result[dict, Problem]:
    if reply.status == 409:
        return failure(
            Code.STALE_EPOCH, "the worker has another incarnation or epoch"
        )
    return reply.json_for_status(200)


def _decode_start_reply(reply) -> Result[StartReply, Problem]:
    if reply.status == 201:
        return Success(StartReply.STARTED)
    if reply.status == EXPIRED:
        return failure(Code.UNREACHABLE, "the lease had ended on arrival")
    return _check_epoch(reply).map(lambda _: StartReply.KNOWN)


def _decode_lookup_answer(reply, request_id: str) -> Result[str, Problem]:
    if reply.status == 409:
        return failure(
            Code.STALE_EPOCH, "the worker has another incarnation or epoch"
        )
    if reply.status == EXPIRED:
        return failure(Code.UNREACHABLE, "the lookup arrived too late")
    if reply.status == 503:
        return failure(Code.FULL, "the executor has no free slot")
    if reply.status == 500:
        return failure(Code.TASK_FAILED, reply.body.decode(errors="replace"))
    if reply.headers.get("X-Request-Id") != request_id:
        return failure(Code.TIMED_OUT, "answer to another request")
    if reply.headers.get("X-Digest") != digest(reply.body):
        return failure(Code.TIMED_OUT, "the answer is incomplete")
    return Success(reply.body.decode())


def _decode_worker_state(body: dict) -> WorkerState:
    return WorkerState(
        epoch=body["epoch"],
        owner=body["owner"],
        incarnation=body["incarnation"],
        size=Resources(**body["size"]),
        leaving=body["leaving"],
        tasks=tuple(_decode_task(row) for row in body["tasks"]),
        usage=Resources(**body["usage"]),
        clock_s=body["clock_s"],
    )


def _decode_task(row: dict) -> WorkerTask:
    return WorkerTask(
        row["task_id"],
        row["work_class"],
        TaskState(row["state"]),
        Resources(**row["grant"]),
        row["started_at"],
    )


def _decode_task_event(worker: str, row: dict) -> TaskEvent:
    return TaskEvent(
        row["task_id"],
        worker,
        TaskState(row["state"]),
        row["result"],
        row["reason"],
        row["run_s"],
        Resources(**row["peak"]),
    )
