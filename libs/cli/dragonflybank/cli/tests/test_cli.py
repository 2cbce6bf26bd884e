"""Tests of the command line against scripted scheduler hosts."""

import asyncio
import contextlib
import json
import pathlib
import socket

import attrs
import cappa
import testtools
from aiohttp import web
from testtools.matchers import Contains, Equals, HasLength, StartsWith

from dragonflybank.cli.client import HostClient
from dragonflybank.cli.commands import Dragonflybank
from dragonflybank.cli.main import run
from dragonflybank.model.codes import Code, Problem
from dragonflybank.model.work import Answer, Outcome, answer_for_problem

# A bound socket that does not listen refuses every connection.
_BOUND = socket.socket()
_BOUND.bind(("127.0.0.1", 0))
UNREACHABLE = f"http://127.0.0.1:{_BOUND.getsockname()[1]}"
DEPLOYMENTS = pathlib.Path(__file__).parents[5] / "deployments"
ACCEPTED = Answer(Outcome.PENDING, state="queued", ask="/v1/jobs/t/k")
DONE = Answer.from_result("tulos", state="done")
LOST = None


class ScriptedHost:
    """Sends its replies in order; ``LOST`` closes the connection instead."""

    def __init__(self, *replies):
        self.calls = []
        self._replies = list(replies)

    async def handle(self, req):
        body = await req.json() if req.can_read_body else None
        self.calls.append((req.method, req.raw_path.split("?")[0], body))
        reply = self._replies.pop(0)
        if reply is LOST:
            req.transport.abort()
            return web.Response()
        if isinstance(reply, Answer):
            reply = attrs.asdict(reply)
        return web.json_response(reply)

    @contextlib.asynccontextmanager
    async def serve(self):
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.handle)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        try:
            host, port = site._server.sockets[0].getsockname()
            yield f"http://{host}:{port}"
        finally:
            await runner.cleanup()


def dragonflybank(line, *hosts, before=()):
    """Runs a command line with scripted hosts; returns status and output."""

    async def steps():
        async with contextlib.AsyncExitStack() as stack:
            urls = [await stack.enter_async_context(h.serve()) for h in hosts]
            args = cappa.parse(Dragonflybank, argv=line, completion=False)
            printed = []
            client = HostClient([*before, *urls])
            status = await run(args, write=printed.append, client=client)
            return status, "\n".join(printed)

    return asyncio.run(steps())


SUBMIT = ["submit", "t/k", "--class", "sweep", "--payload", "p"]
LOOKUP = ["lookup", "t", "--class", "die_lookup", "--payload", "p"]


class TestSubmit(testtools.TestCase):
    """Guards against reporting outcomes that are not proved."""

    def test_submit_skips_an_unreachable_host_and_keeps_the_key(self):
        host = ScriptedHost(ACCEPTED)
        status, _ = dragonflybank(SUBMIT, host, before=[UNREACHABLE])
        self.assertThat(status, Equals(0))
        method, path, body = host.calls[0]
        self.assertThat((method, path), Equals(("PUT", "/v1/jobs/t/k")))
        self.assertThat(body["payload"], Equals("p"))

    def test_refusal_after_a_lost_answer_is_unknown(self):
        # Guards against reporting a job as refused that the first host
        # accepted.
        refused = answer_for_problem(Problem(Code.STORE_UNAVAILABLE, "store"))
        status, text = dragonflybank(
            SUBMIT, ScriptedHost(LOST), ScriptedHost(refused)
        )
        self.assertThat(status, Equals(13))
        self.assertThat(text, Contains("301"))

    def test_reused_key_is_reported_after_a_lost_answer(self):
        reused = answer_for_problem(Problem(Code.KEY_REUSED))
        status, _ = dragonflybank(
            SUBMIT, ScriptedHost(LOST), ScriptedHost(reused)
        )
        self.assertThat(status, Equals(11))

    def test_refusal_of_a_status_call_is_reported_after_a_lost_answer(self):
        # A status call has no effect, so a lost answer leaves no doubt.
        unknown = answer_for_problem(Problem(Code.UNKNOWN_JOB))
        status, _ = dragonflybank(
            ["status", "t/k"], ScriptedHost(LOST), ScriptedHost(unknown)
        )
        self.assertThat(status, Equals(11))

    def test_outcome_is_unknown_if_no_host_is_reachable(self):
        status, text = dragonflybank(SUBMIT, before=[UNREACHABLE])
        self.assertThat(status, Equals(13))
        self.assertThat(text, Contains("503"))

    def test_submit_skips_a_draining_host(self):
        draining = answer_for_problem(Problem(Code.DRAINING))
        status, _ = dragonflybank(
            SUBMIT, ScriptedHost(draining), ScriptedHost(ACCEPTED)
        )
        self.assertThat(status, Equals(0))

    def test_resources_are_completed_with_defaults(self):
        # Guards against a request without slots if only cores are given.
        host = ScriptedHost(ACCEPTED)
        dragonflybank([*SUBMIT, "--cores", "2"], host)
        sent = host.calls[0][2]["resources"]
        self.assertThat((sent["cores"], sent["slots"]), Equals((2.0, 1)))

    def test_key_with_a_slash_is_quoted_in_the_path(self):
        host = ScriptedHost(DONE)
        dragonflybank(["status", "t/a/b?c"], host)
        self.assertThat(host.calls[0][1], Equals("/v1/jobs/t/a%2Fb%3Fc"))


class TestLookup(testtools.TestCase):
    """Guards against lookups that run twice or return damaged results."""

    def test_lookup_is_not_repeated_after_a_lost_answer(self):
        second = ScriptedHost(DONE)
        status, _ = dragonflybank(LOOKUP, ScriptedHost(LOST), second)
        self.assertThat((status, second.calls), Equals((13, [])))

    def test_repeatable_lookup_is_sent_to_the_next_host(self):
        line = [*LOOKUP, "--repeatable"]
        status, text = dragonflybank(
            line, ScriptedHost(LOST), ScriptedHost(DONE)
        )
        self.assertThat((status, text), Equals((0, "tulos")))

    def test_results_with_wrong_length_or_digest_are_rejected(self):
        for damage in ({"length": 4}, {"digest": "0" * 64}, {"result": "x"}):
            host = ScriptedHost(attrs.evolve(DONE, **damage))
            status, text = dragonflybank([*LOOKUP, "--json"], host)
            answer = json.loads(text)
            found = (status, answer["code"], answer["result"])
            self.assertThat(found, Equals((13, 301, "")))

    def test_outcome_is_unknown_if_the_answer_is_malformed(self):
        for reply in ([], {}, "x", {"outcome": "great"}, {"outcome": 3}):
            status, _ = dragonflybank(LOOKUP, ScriptedHost(reply))
            self.assertThat(status, Equals(13))


class TestWait(testtools.TestCase):
    """Guards against a wait that ends before the job ends."""

    def test_wait_continues_after_pending_and_lost_answers(self):
        host = ScriptedHost(ACCEPTED, LOST, DONE)
        status, text = dragonflybank(["wait", "t/k"], host)
        self.assertThat((status, text), Equals((0, "tulos")))
        self.assertThat(host.calls, HasLength(3))

    def test_final_outcomes_have_their_exit_status(self):
        expected = {
            Code.CANCELLED_BEFORE_START: 12,
            Code.TASK_FAILED: 14,
            Code.WORKER_LOST: 13,
            Code.UNKNOWN_JOB: 11,
        }
        for code, status in expected.items():
            host = ScriptedHost(
                answer_for_problem(Problem(code), state="failed")
            )
            found, _ = dragonflybank(["wait", "t/k"], host)
            self.assertThat(found, Equals(status))

    def test_outcome_is_pending_after_the_wait_time(self):
        host = ScriptedHost(ACCEPTED)
        found, _ = dragonflybank(["wait", "t/k", "--wait-s", "0"], host)
        self.assertThat(found, Equals(10))


class TestQuery(testtools.TestCase):
    """Guards against reporting an apply as refused that took effect."""

    def test_rows_are_printed_as_a_table(self):
        rows = [{"team": "courts", "tasks": 2}]
        host = ScriptedHost({"code": 0, "rows": rows, "notes": ["partial"]})
        status, text = dragonflybank(["query", "show", "running"], host)
        self.assertThat(status, Equals(0))
        self.assertThat(text, StartsWith("team    tasks\ncourts      2\n"))
        self.assertThat(text, Contains("note: partial"))
        self.assertThat(host.calls[0][2]["text"], Equals("show running"))

    def test_error_reports_position_and_code(self):
        host = ScriptedHost(
            {"code": 102, "detail": "line 1 column 6", "field": "1:6"}
        )
        status, text = dragonflybank(["query", "show runing"], host)
        self.assertThat(status, Equals(11))
        self.assertThat(text, Contains("line 1 column 6"))

    def test_refusal_after_a_lost_apply_is_unknown(self):
        refused = {"code": 102, "detail": "no change x is staged"}
        status, text = dragonflybank(
            ["query", "apply x"], ScriptedHost(LOST), ScriptedHost(refused)
        )
        self.assertThat(status, Equals(13))
        self.assertThat(text, Contains("may have taken effect"))


class TestOffline(testtools.TestCase):
    """Guards against offline commands that need a running deployment."""

    def test_check_reports_the_kind_and_all_faults(self):
        folder = DEPLOYMENTS / "vandenbroucke"
        for name, kind in (("operator", "operator"), ("topology", "topology")):
            path = str(folder / f"{name}.json")
            status, text = dragonflybank(["check", path])
            self.assertThat(status, Equals(0))
            self.assertThat(text, Contains(f"{kind} accepted"))
        path = str(folder / "topology.json")
        status, text = dragonflybank(
            ["check", path, "--kind", "settings", "--json"]
        )
        self.assertThat(status, Equals(11))
        self.assertThat(len(json.loads(text)["faults"]) > 3, Equals(True))

    def test_missing_file_is_reported_as_a_fault(self):
        status, _ = dragonflybank(["check", "/no/such/file"])
        self.assertThat(status, Equals(11))

    def test_codes_lists_every_code(self):
        _, text = dragonflybank(["codes"])
        self.assertThat(text.splitlines(), HasLength(len(Code)))

    def test_invalid_host_url_is_refused_before_any_call(self):
        line = [*SUBMIT, "--host", "nonsense"]
        status, text = dragonflybank(line)
        self.assertThat(status, Equals(11))
        self.assertThat(text, Contains("field host"))
