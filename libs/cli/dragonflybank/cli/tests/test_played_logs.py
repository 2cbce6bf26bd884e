"""Tests that the logs of a played day lead from a request to its cause."""

import logging
import os
import tempfile

import testtools
from testtools.matchers import Contains, Equals, GreaterThan

from dragonflybank.cell.logs import JsonLinesHandler
from dragonflybank.cli.explain import Event, events_about, read_events
from dragonflybank.standins.cell.fault_scenarios import run_scenario


def played(fault: str, seed: int) -> list[Event]:
    """Plays a fault and returns the events that the hosts logged."""
    root = logging.getLogger()
    with tempfile.TemporaryFile("w+b") as file:
        handler = JsonLinesHandler(file.fileno(), lines_per_s=10**6)
        level = root.level
        root.addHandler(handler)
        root.setLevel(logging.INFO)
        try:
            run_scenario(fault, seed)
        finally:
            root.removeHandler(handler)
            root.setLevel(level)
        os.lseek(file.fileno(), 0, os.SEEK_SET)
        text = file.read().decode()
    return list(read_events(text.splitlines()))


def names(events: list[Event], job: str) -> list[str]:
    return [event.name for event in events_about(events, job)]


class TestPlayedLogs(testtools.TestCase):
    """Guards against a failure that the logs do not explain."""

    def test_a_request_that_was_refused(self):
        events = played("store_down", 1)
        refused = next(e for e in events if e.name == "refused")
        self.assertThat(refused.fields["code"], Equals("STORE_UNAVAILABLE"))
        self.assertThat(
            names(events, refused.fields["job"]), Contains("refused")
        )

    def test_a_request_run_again_after_a_lost_executor(self):
        events = played("executors_gone", 1)
        lost = {
            e.fields["executor"] for e in events if e.name == "attempts lost"
        }
        first = {
            e.fields["task"]: e.at
            for e in events
            if e.name == "place" and e.fields["executor"] in lost
        }
        again = next(
            e
            for e in events
            if e.name == "place"
            and e.fields["attempt"] > 1
            and e.fields["task"] in first
        )
        job = again.fields["task"].split(".")[0]
        self.assertThat(names(events, job), Contains("attempts lost"))

    def test_a_request_completed_late(self):
        events = played("leader_killed", 1)
        late = max(
            (e for e in events if e.name == "place"),
            key=lambda event: event.fields["waited_s"],
        )
        self.assertThat(late.fields["waited_s"], GreaterThan(0.0))
        job = late.fields["task"].split(".")[0]
        self.assertThat(names(events, job), Contains("job ended"))

    def test_lines_beyond_the_limit_are_counted(self):
        with tempfile.TemporaryFile("w+b") as file:
            handler = JsonLinesHandler(file.fileno(), lines_per_s=3)
            for second in (1.0, 2.0):
                for _ in range(5):
                    record = logging.makeLogRecord(
                        {"msg": "end", "name": "dragonflybank.cell"}
                    )
                    record.created = second
                    handler.emit(record)
            os.lseek(file.fileno(), 0, os.SEEK_SET)
            lines = list(read_events(file.read().decode().splitlines()))
        self.assertThat(len(lines), Equals(6))
        self.assertThat(lines[3].fields["omitted"], Equals(2))
