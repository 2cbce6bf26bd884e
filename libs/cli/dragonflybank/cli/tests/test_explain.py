"""Tests of the history of a request."""

import asyncio
import json
import tempfile

import testtools
from testtools.matchers import Contains, Equals, HasLength

from dragonflybank.cli.commands import Dragonflybank, Explain
from dragonflybank.cli.explain import (
    format_history,
    read_events,
    related_events,
)
from dragonflybank.cli.main import run

JOB = "5c0e7a21d94b36f8"


def line(at: float, event: str, host: str = "host-a", **fields) -> str:
    return f"12.5 {host} " + json.dumps({"at": at, "event": event, **fields})


LINES = [
    line(10.0, "accepted", "host-b", job=JOB),
    line(10.1, "place", task=f"{JOB}.0.0.0", executor="i-1"),
    line(10.2, "place", task="ffffffffffffffff.0.0.0", executor="i-1"),
    line(11.0, "executor silent", executor="i-1"),
    line(11.5, "executor silent", executor="i-9"),
    line(17.4, "attempts lost", executor="i-1"),
    line(17.5, "place", task=f"{JOB}.0.0.0", executor="i-2"),
    line(18.2, "end", task=f"{JOB}.0.0.0", executor="i-2", kind="done"),
    "not a log line",
    '{"at": "broken',
]


class TestExplain(testtools.TestCase):
    """Guards against a history that omits or misplaces the cause."""

    def test_history_includes_the_job_and_its_executors(self):
        found = related_events(read_events(LINES), JOB)
        self.assertThat(
            [event.name for event in found],
            Equals(
                [
                    "accepted",
                    "place",
                    "executor silent",
                    "attempts lost",
                    "place",
                    "end",
                ]
            ),
        )

    def test_longest_pause_is_marked(self):
        found = format_history(related_events(read_events(LINES), JOB), JOB)
        marked = [text for text in found if "longest pause" in text]
        self.assertThat(marked, HasLength(1))
        self.assertThat(marked[0], Contains("executor=i-2"))
        self.assertThat(marked[0], Contains("7.400 s"))

    def test_answered_end_is_shown_with_its_revision(self):
        lines = [
            line(1.0, "job ended", job=JOB, phase="completed"),
            line(5.0, "end stored", job=JOB, phase="completed", revision=81),
            line(
                5.1,
                "end answered",
                "host-b",
                job=JOB,
                phase="completed",
                revision=81,
            ),
        ]
        found = format_history(related_events(read_events(lines), JOB), JOB)
        for text, event in zip(
            found[1:], ("end stored", "end answered"), strict=True
        ):
            self.assertThat(text, Contains(event))
            self.assertThat(text, Contains("revision=81"))

    def test_unknown_job_has_no_history(self):
        self.assertThat(
            related_events(read_events(LINES), "0" * 16), Equals([])
        )


class TestCommand(testtools.TestCase):
    """Guards against a command that does not report an empty history."""

    def _run(self, job: str) -> tuple[int, list[str]]:
        with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
            file.write("\n".join(LINES))
            file.flush()
            return self._run_on(job, file.name)

    def _run_on(self, job: str, path: str) -> tuple[int, list[str]]:
        written: list[str] = []
        command = Dragonflybank(
            command=Explain(job=job, log=[path]), host=[], json=False
        )
        status = asyncio.run(run(command, write=written.append))
        return status, written

    def test_prints_the_history(self):
        status, written = self._run(JOB)
        self.assertThat(status, Equals(0))
        self.assertThat(written, HasLength(6))

    def test_reports_that_the_job_is_not_in_the_logs(self):
        status, written = self._run("0" * 16)
        self.assertThat(status, Equals(1))
        self.assertThat(written[0], Contains("no line"))
