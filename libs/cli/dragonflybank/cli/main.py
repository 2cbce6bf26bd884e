"""The ``dragonflybank`` command."""

__all__ = ["main", "run"]

import asyncio
import getpass
import importlib.metadata
import json
import pathlib
import sys
from collections.abc import Callable, Sequence
from urllib.parse import quote

import attrs
import cappa
from returns.result import Failure, Result, Success

from dragonflybank.cli import commands
from dragonflybank.cli.answers import answer_as_text, exit_status
from dragonflybank.cli.checks import check_file
from dragonflybank.cli.client import Call, HostClient
from dragonflybank.cli.log_commands import run_explain, run_restarts
from dragonflybank.config.editor import ConfigEditor
from dragonflybank.config.operator import OperatorConfig, decode_operator_config
from dragonflybank.config.validation import HTTP_URL
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import Answer, Outcome, answer_for_problem
from dragonflybank.operators.render import Report, report_to_text
from dragonflybank.platform.store import HttpConfigStore

# A host answers a waiting call within this time, so that an unresponsive
# connection is noticed.
MAX_LONG_POLL_S = 10.0
QUERY_TIMEOUT_S = 30.0
# Limits the rate of calls to a host that answers immediately.
MIN_POLL_INTERVAL_S = 0.2
_RETRYABLE_CODES = (
    Code.ANSWER_LOST,
    Code.ASK_AGAIN,
    Code.DRAINING,
    Code.STORE_UNAVAILABLE,
)


def main(argv: Sequence[str] | None = None) -> int:
    """Runs a command line and returns its exit status.

    Args:
        argv: Arguments without the program name; None for ``sys.argv``.
    """
    args = cappa.parse(
        commands.Dragonflybank,
        argv=None if argv is None else list(argv),
        completion=False,
    )
    return asyncio.run(run(args))


async def run(
    args: commands.Dragonflybank,
    *,
    write: Callable[[str], object] = print,
    client: HostClient | None = None,
) -> int:
    """Runs a parsed command line and returns its exit status.

    Args:
        args: The command line.
        write: Function that prints a text.
        client: Client to use instead of a new one for ``args.host``.
    """
    urls = args.host or [commands.DEFAULT_HOST]
    bad = [url for url in urls if not HTTP_URL.accepts(url)]
    if bad:
        failed = Problem(
            Code.BAD_REQUEST, f"host {bad[0]!r}", "host", HTTP_URL.description
        )
        return _print_answer(answer_for_problem(failed), args.json, write)
    used = client or HostClient(urls)
    match args.command:
        case commands.Query() as command:
            return await _run_query(command, used, args.json, write)
        case commands.Check() as command:
            return _run_check(command, args.json, write)
        case commands.Explain() as command:
            return run_explain(command, args.json, write)
        case commands.Restarts() as command:
            return run_restarts(command, args.json, write)
        case commands.Init() as command:
            return _print_answer(await _run_init(command), args.json, write)
        case commands.Codes():
            return _print_codes(args.json, write)
        case commands.Version():
            write(importlib.metadata.version("dragonflybank-cli"))
            return 0
    answer = await _call_hosts(args.command, used)
    status = _print_answer(answer, args.json, write)
    return 0 if _is_accepted(args.command, answer) else status


def _print_answer(answer: Answer, as_json: bool, write) -> int:
    document = attrs.asdict(answer)
    write(json.dumps(document) if as_json else answer_as_text(answer))
    return exit_status(answer)


async def _run_init(command: commands.Init) -> Answer:
    if not HTTP_URL.accepts(command.store):
        return answer_for_problem(
            Problem(
                Code.BAD_REQUEST,
                f"found {command.store!r}",
                "store",
                HTTP_URL.description,
            )
        )
    decoded = _load_operator_config(command.path)
    if isinstance(decoded, Failure):
        return answer_for_problem(decoded.failure())
    store = HttpConfigStore(command.store)
    written = await ConfigEditor(store).create(decoded.unwrap())
    await store.close()
    if isinstance(written, Failure):
        return answer_for_problem(written.failure())
    return Answer.from_result(
        f"generation {written.unwrap().generation} is in force"
    )


def _load_operator_config(path: str) -> Result[OperatorConfig, Problem]:
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return failure(
            Code.BAD_CONFIGURATION,
            str(exc),
            field="path",
            accepted="a JSON file",
        )
    return decode_operator_config(text)


async def _call_hosts(command, client: HostClient) -> Answer:
    match command:
        case commands.Lookup():
            return await _run_lookup(command, client)
        case commands.Submit():
            return await _run_submit(command, client)
        case commands.Wait():
            return await _run_wait(command.job, command.wait_s, client)
        case commands.Cancel():
            return await _call_job("DELETE", command.job, client)
    return await _call_job("GET", command.job, client)


async def _run_lookup(command: commands.Lookup, client) -> Answer:
    payload = _read_payload(command.payload)
    if isinstance(payload, Problem):
        return answer_for_problem(payload)
    body = {
        "team": command.team,
        "work_class": command.work_class,
        "payload": payload,
        "timeout_ms": command.timeout_ms,
    }
    wait_s = command.timeout_ms / 1000
    return await client.request_answer(
        Call("POST", "/v1/lookups", body, wait_s, command.repeatable)
    )


async def _run_submit(command: commands.Submit, client) -> Answer:
    payload = _read_payload(command.payload)
    if isinstance(payload, Problem):
        return answer_for_problem(payload)
    body = {
        "work_class": command.work_class,
        "payload": payload,
        "tasks": command.tasks,
        "gang": command.gang,
    }
    if command.expected_s is not None:
        body["expected_s"] = command.expected_s
    resources = _resources(command)
    if resources is not None:
        body["resources"] = attrs.asdict(resources)
    answer = await _call_job("PUT", command.job, client, body)
    if answer.outcome is Outcome.PENDING and command.wait_s > 0:
        return await _run_wait(command.job, command.wait_s, client)
    return answer


def _resources(command: commands.Submit) -> Resources | None:
    given = {
        "cores": command.cores,
        "memory_mb": command.memory_mb,
        "accelerators": command.accelerators,
    }
    stated = {name: value for name, value in given.items() if value is not None}
    if not stated:
        return None
    return attrs.evolve(
        Resources(cores=1, memory_mb=256, slots=1, connections=1), **stated
    )


async def _run_wait(job: str, wait_s: float, client) -> Answer:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    while True:
        remaining_s = max(0.0, deadline - loop.time())
        poll_s = min(remaining_s, MAX_LONG_POLL_S)
        answer = await _call_job("GET", job, client, wait_s=poll_s)
        if not _may_change(answer) or remaining_s <= 0:
            return answer
        pause_s = max(answer.retry_after_s, MIN_POLL_INTERVAL_S)
        await asyncio.sleep(min(pause_s, remaining_s, MAX_LONG_POLL_S))


def _may_change(answer: Answer) -> bool:
    if answer.outcome is Outcome.PENDING:
        return True
    # Without a job state the answer describes the call and not the job.
    return not answer.state and (
        answer.code in _RETRYABLE_CODES or answer.code >= Code.STALE_EPOCH
    )


async def _call_job(method, job, client, body=None, *, wait_s=0.0) -> Answer:
    team, slash, key = job.partition("/")
    if not (team and slash and key):
        return answer_for_problem(
            Problem(
                Code.BAD_REQUEST, f"job {job!r}", "job", accepted="TEAM/KEY"
            )
        )
    path = f"/v1/jobs/{quote(team, safe='')}/{quote(key, safe='')}"
    if wait_s > 0:
        path += f"?wait_s={wait_s:.3f}"
    return await client.request_answer(Call(method, path, body, wait_s))


async def _run_query(command: commands.Query, client, as_json, write) -> int:
    body = {
        "text": " ".join(command.text),
        "operator": command.operator or getpass.getuser(),
    }
    found = await client.request_document(
        Call("POST", "/v1/query", body, QUERY_TIMEOUT_S)
    )
    match found:
        case Success({"code": 0} as document):
            write(
                json.dumps(document)
                if as_json
                else _format_query_reply(document)
            )
            return 0
        case Success({"code": int(code)} as document) if code in set(Code):
            failed = Problem(
                Code(code),
                str(document.get("detail", "")),
                str(document.get("field", "")),
                str(document.get("accepted", "")),
            )
        case Success(_):
            failed = Problem(Code.ANSWER_LOST, "the answer has no code")
        case Failure(failed):
            pass
    return _print_answer(answer_for_problem(failed), as_json, write)


def _format_query_reply(document: dict) -> str:
    rows = [row for row in document.get("rows") or () if isinstance(row, dict)]
    columns = tuple(rows[0]) if rows else ()
    cells = tuple(tuple(row.get(name) for name in columns) for row in rows)
    text = str(document.get("text") or "")
    if not text and not rows:
        text = "nothing found"
    notes = tuple(map(str, document.get("notes") or ()))
    return report_to_text(Report(columns, cells, text, notes))


def _run_check(command: commands.Check, as_json, write) -> int:
    kind, faults = check_file(command.path, command.kind)
    if as_json:
        found = [attrs.asdict(fault) for fault in faults]
        write(json.dumps({"kind": kind, "faults": found}))
    else:
        lines = [f"{int(fault.code)} {fault.detail}" for fault in faults]
        write("\n".join(lines) or f"{command.path}: {kind} accepted")
    return exit_status(answer_for_problem(faults[0])) if faults else 0


def _print_codes(as_json, write) -> int:
    if as_json:
        write(json.dumps({code.name: int(code) for code in Code}))
    else:
        write("\n".join(f"{int(code):3} {code.name}" for code in Code))
    return 0


def _is_accepted(command, answer: Answer) -> bool:
    return (
        isinstance(command, commands.Submit)
        and command.wait_s <= 0
        and answer.outcome is Outcome.PENDING
    )


def _read_payload(given: str) -> str | Problem:
    try:
        if given == "-":
            return sys.stdin.read()
        if given.startswith("@"):
            return pathlib.Path(given[1:]).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Problem(
            Code.BAD_REQUEST, str(exc), "payload", "a readable UTF-8 file"
        )
    return given
