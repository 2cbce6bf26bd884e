"""HTTP interface of a scheduler host for callers and operators.

Handlers respond with an `Answer`, whose outcome and code give the result. The
status is 200 or, for a job that has not ended, 202. It is 400 for a bad request
and 503 if the host accepts no new work, so that the platform's load balancer
tries another host.
"""

__all__ = ["HttpFrontend"]

import contextlib
import json

import attrs
from aiohttp import web
from returns.result import Failure, Result, Success

from dragonflybank.host.lookups import IncomingLookup
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.decoding import decode_json
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import (
    Answer,
    JobSpec,
    Outcome,
    WorkKind,
    answer_for_problem,
)

MAX_BODY_BYTES = 900_000
# Larger times in requests are refused as mistakes.
MAX_TIMEOUT_MS = 1e9
MAX_EXPECTED_S = 1e9
# Longest time for which one request may wait for the end of a job.
MAX_JOB_WAIT_S = 30.0
_NO_CONFIGURATION = Problem(
    Code.ASK_AGAIN, "the host has no configuration yet", retry_after_s=0.5
)
JOB_PATH = "/v1/jobs/{team}/{key}"


class HttpFrontend:
    """HTTP server for callers and operators.

    Attributes:
        in_progress: Number of requests in progress.
        port: Port of the listening socket; 0 before the start.
    """

    def __init__(self, host):
        self._host = host
        self._runner: web.AppRunner | None = None
        self.in_progress = 0
        self.port = 0

    async def start(self, address: str, port: int) -> None:
        """Listens on an address; the operating system chooses for port 0."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.post("/v1/lookups", self._lookup),
                web.put(JOB_PATH, self._submit),
                web.get(JOB_PATH, self._query_job),
                web.delete(JOB_PATH, self._cancel),
                web.post("/v1/query", self._run_command),
                web.get("/healthz", self._healthz),
                web.get("/readyz", self._readyz),
                web.get("/metrics", self._metrics),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, address, port)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Closes the listening socket and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _lookup(self, request: web.Request) -> web.Response:
        with self._track_request():
            body = await _json_body(request)
            req = body.bind(_decode_lookup)
            match req:
                case Success(lookup):
                    answer = await self._host.lookups.serve_caller(
                        lookup, now=self._host.clock()
                    )
                case Failure(failed):
                    answer = answer_for_problem(failed)
            self._count_answer("lookup", answer)
            return _answer_response(answer)

    async def _submit(self, request: web.Request) -> web.Response:
        with self._track_request():
            body = await _json_body(request)
            if not self._host.active_config.generation:
                # A refusal would be wrong if another host has accepted the
                # same key.
                return _answer_response(answer_for_problem(_NO_CONFIGURATION))
            spec = body.bind(lambda b: self._decode_spec(request, b))
            match spec:
                case Success(job):
                    answer = await self._host.jobs.submit(job)
                case Failure(failed):
                    answer = answer_for_problem(failed)
            self._count_answer("submit", answer)
            return _answer_response(answer)

    async def _query_job(self, request: web.Request) -> web.Response:
        with self._track_request():
            wait_s = _decode_wait_s(request.query.get("wait_s", "0"))
            match wait_s:
                case Success(max_wait_s):
                    answer = await self._host.jobs.query(
                        request.match_info["team"],
                        request.match_info["key"],
                        wait_s=max_wait_s,
                    )
                case Failure(failed):
                    answer = answer_for_problem(failed)
            self._count_answer("ask", answer)
            return _answer_response(answer)

    async def _cancel(self, request: web.Request) -> web.Response:
        with self._track_request():
            answer = await self._host.jobs.cancel(
                request.match_info["team"], request.match_info["key"]
            )
            self._count_answer("cancel", answer)
            return _answer_response(answer)

    async def _run_command(self, request: web.Request) -> web.Response:
        with self._track_request():
            body = await _json_body(request)
            match body:
                case Success({"text": str(text)} as fields):
                    reply = await self._host.query(
                        text, operator=str(fields.get("operator", ""))
                    )
                    return web.json_response(reply)
                case Success(_):
                    failed = Problem(
                        Code.BAD_REQUEST,
                        "the command is missing",
                        "text",
                        "a command",
                    )
                case Failure(failed):
                    pass
            return _answer_response(answer_for_problem(failed))

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.json_response({"host": self._host.name})

    async def _readyz(self, request: web.Request) -> web.Response:
        reason = self._host.not_ready_reason()
        return web.json_response(
            {"ready": not reason, "reason": reason},
            status=503 if reason else 200,
        )

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._host.metrics.exposition(), content_type="text/plain"
        )

    def _decode_spec(self, request, body: dict) -> Result[JobSpec, Problem]:
        known = self._host.active_config.work_class(
            str(body.get("work_class", ""))
        )
        return known.bind(
            lambda wc: _decode_job_spec(request.match_info, body, wc)
        )

    def _count_answer(self, kind: str, answer: Answer) -> None:
        self._host.metrics.answers.labels(kind, answer.outcome.value).inc()

    @contextlib.contextmanager
    def _track_request(self):
        self.in_progress += 1
        try:
            yield
        finally:
            self.in_progress -= 1


async def _json_body(request: web.Request) -> Result[dict, Problem]:
    found = decode_json(await request.read(), dict, code=Code.BAD_REQUEST)
    return found.alt(lambda p: attrs.evolve(p, accepted="a JSON object"))


def _decode_lookup(body: dict) -> Result[IncomingLookup, Problem]:
    checks = (
        ("team", str, "a team's name"),
        ("work_class", str, "a lookup class"),
        ("payload", str, "text"),
    )
    for name, kind, accepted in checks:
        if not isinstance(body.get(name), kind):
            return failure(
                Code.BAD_REQUEST,
                f"found {body.get(name)!r}",
                field=name,
                accepted=accepted,
            )
    timeout_ms = body.get("timeout_ms", 0)
    if not _is_number(timeout_ms) or not 0 <= timeout_ms < MAX_TIMEOUT_MS:
        return failure(
            Code.BAD_REQUEST,
            f"found {timeout_ms!r}",
            field="timeout_ms",
            accepted="milliseconds, 0 for the class's timeout",
        )
    return Success(
        IncomingLookup(
            body["team"], body["work_class"], body["payload"], timeout_ms / 1e3
        )
    )


def _decode_job_spec(path, body: dict, wc) -> Result[JobSpec, Problem]:
    tasks = body.get("tasks", 1)
    if type(tasks) is not int or not 1 <= tasks <= 1000:
        return failure(
            Code.BAD_REQUEST,
            f"found {tasks!r}",
            field="tasks",
            accepted="1 to 1000",
        )
    if body.get("gang") and wc.kind is not WorkKind.GANG:
        return failure(
            Code.BAD_REQUEST,
            f"{wc.name} is of kind {wc.kind.value}",
            field="gang",
            accepted="a class of kind gang",
        )
    if not isinstance(body.get("payload", ""), str):
        return failure(Code.BAD_REQUEST, field="payload", accepted="text")
    expected_s = body.get("expected_s", wc.expected_s)
    if not _is_number(expected_s) or not 0 <= expected_s < MAX_EXPECTED_S:
        return failure(
            Code.BAD_REQUEST,
            f"found {expected_s!r}",
            field="expected_s",
            accepted="a number of seconds, 0 or more",
        )
    size = _decode_size(body.get("resources"), wc.size)
    return size.map(
        lambda amounts: JobSpec(
            path["team"],
            path["key"],
            wc.name,
            body.get("payload", ""),
            tasks,
            amounts,
            float(expected_s),
        )
    )


def _is_number(value: object) -> bool:
    """Returns whether a JSON value is a number; true and false are not."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def _decode_size(declared, default: Resources) -> Result[Resources, Problem]:
    if declared is None:
        return Success(default)
    names = {field.name for field in attrs.fields(Resources)}
    valid = isinstance(declared, dict) and all(
        name in names and _is_number(amount) and amount >= 0
        for name, amount in declared.items()
    )
    if not valid:
        return failure(
            Code.BAD_REQUEST,
            f"found {declared!r}",
            field="resources",
            accepted=f"amounts of {', '.join(sorted(names))}",
        )
    return Success(attrs.evolve(default, **declared))


def _decode_wait_s(text: str) -> Result[float, Problem]:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= MAX_JOB_WAIT_S:
        return failure(
            Code.BAD_REQUEST,
            f"found {text!r}",
            field="wait_s",
            accepted=f"0 to {MAX_JOB_WAIT_S:g} seconds",
        )
    return Success(value)


def _answer_response(answer: Answer) -> web.Response:
    return web.json_response(
        attrs.asdict(answer), status=_http_status(answer), dumps=_compact_json
    )


def _http_status(answer: Answer) -> int:
    if Code.BAD_SETTINGS <= answer.code <= Code.BAD_CONFIGURATION:
        return 400
    if answer.code is Code.DRAINING:
        return 503
    return 202 if answer.outcome is Outcome.PENDING else 200


def _compact_json(value) -> str:
    return json.dumps(value, separators=(",", ":"))
