"""Tests of the commands that read the logs of the hosts."""

import asyncio
import json
import tempfile

import cappa
import testtools
from testtools.matchers import Contains, Equals, HasLength

from dragonflybank.cli.commands import Dragonflybank
from dragonflybank.cli.main import run
from dragonflybank.model.codes import Code

TASK = "5c0e7a21d94b36f8.0.0.0"
ROWS = [
    {"at": 1.0, "event": "place", "task": TASK, "attempt": 1},
    {"at": 2.0, "event": "executor silent", "attempts": 1},
    {
        "at": 9.0,
        "event": "attempts lost",
        "attempts": 1,
        "reason": "lease over",
    },
    {"at": 9.5, "event": "place", "task": TASK, "attempt": 2},
]
LINES = [
    f"0.5 host-a {json.dumps({**row, 'executor': f'i-{number // 3}'})}"
    for number, row in enumerate(ROWS)
]


def dragonflybank(line: list[str]) -> tuple[int, list[str]]:
    """Runs a command line; returns its status and what it printed."""
    written: list[str] = []
    args = cappa.parse(Dragonflybank, argv=line, completion=False)
    return asyncio.run(run(args, write=written.append)), written


class LogTestCase(testtools.TestCase):
    """Provides a log file."""

    def setUp(self):
        super().setUp()
        file = self.enterContext(tempfile.NamedTemporaryFile("w"))
        file.write("\n".join([*LINES, "not a log line"]))
        file.flush()
        self.path = file.name


class TestExplain(LogTestCase):
    """Guards against a history without its attempts."""

    def test_attempts_follow_the_history(self):
        for identifier in (TASK, TASK.split(".")[0]):
            status, written = dragonflybank(
                ["explain", identifier, "--log", self.path]
            )
            self.assertThat(status, Equals(0))
            self.assertThat(written, HasLength(4 + 1 + 2 * 2))
            self.assertThat(written[4], Equals("attempts:"))
            self.assertThat(written[6], Contains("lost at 8.000 s: lease over"))


class TestRestarts(LogTestCase):
    """Guards against a summary with a wrong origin or form."""

    def test_table_has_a_row_for_each_executor(self):
        status, written = dragonflybank(["restarts", "--log", self.path])
        self.assertThat(status, Equals(0))
        _, row, total, _ = written[0].splitlines()
        self.assertThat(
            " ".join(row.split()),
            Equals("i-0 1 1.000 no answer 0 1 1 0 1 7 7 7.5 7.5 7.5"),
        )
        self.assertThat(total.split()[0], Equals("all"))

    def test_json_has_the_same_rows(self):
        status, written = dragonflybank(
            [
                "restarts",
                "--each",
                "--json",
                "--origin",
                "2",
                "--log",
                self.path,
            ]
        )
        self.assertThat(status, Equals(0))
        row, total = json.loads(written[0])["rows"]
        self.assertThat(row["began_s"], Equals("0.000"))
        self.assertThat(row["cause"], Equals("silent"))
        self.assertThat(total["longest_s"], Equals(7.5))

    def test_logs_without_events_are_reported(self):
        with tempfile.NamedTemporaryFile("w") as file:
            status, written = dragonflybank(["restarts", "--log", file.name])
        self.assertThat(status, Equals(1))
        self.assertThat(written[0], Contains("no line"))


class TestArguments(LogTestCase):
    """Guards against bad arguments without a numbered code."""

    def refusal(self, *line: str) -> tuple[int, str]:
        status, written = dragonflybank([*line, "--json"])
        self.assertThat(status, Equals(11))
        answer = json.loads(written[0])
        return answer["code"], answer["field"]

    def test_unreadable_logs_are_refused(self):
        expected = (int(Code.BAD_REQUEST), "log")
        for path in ("/no/such/file", "/", "bad\0name"):
            for command in (["explain", TASK], ["restarts"]):
                found = self.refusal(
                    *command, "--log", self.path, "--log", path
                )
                self.assertThat(found, Equals(expected))

    def test_origin_that_is_no_number_of_seconds_is_refused(self):
        for origin in ("nan", "inf"):
            found = self.refusal(
                "restarts", "--log", self.path, "--origin", origin
            )
            self.assertThat(found, Equals((int(Code.BAD_REQUEST), "origin")))
