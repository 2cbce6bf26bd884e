"""Tests that the logs of a simulated fault explain a request's outcome."""

import logging
import os
import tempfile

import testtools
from testtools.matchers import Contains, Equals, GreaterThan, Is, IsInstance

from dragonflybank.cell.logs import JsonLinesHandler
from dragonflybank.cli.attempt_history import AttemptTracker, EndingKind
from dragonflybank.cli.explain import Event, read_events, related_events
from dragonflybank.cli.restarts import find_interruptions
from dragonflybank.standins.cell.fault_scenarios import run_scenario


def events_of_fault(fault: str, seed: int) -> list[Event]:
    """Simulates a fault and returns the events that the hosts logged."""
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


def event_names(events: list[Event], job: str) -> list[str]:
    return [event.name for event in related_events(events, job)]


class TestFaultLogs(testtools.TestCase):
    """Guards against failures that the logs do not explain."""

    def test_refused_request_is_logged_with_its_code(self):
        events = events_of_fault("store_down", 1)
        refused = next(e for e in events if e.name == "refused")
        self.assertThat(refused.fields["code"], Equals("STORE_UNAVAILABLE"))
        self.assertThat(
            event_names(events, refused.fields["job"]), Contains("refused")
        )

    def test_restart_of_a_request_is_explained_by_the_lost_executor(self):
        events = events_of_fault("executors_gone", 1)
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
        self.assertThat(event_names(events, job), Contains("attempts lost"))

    def test_attempts_of_restarted_executors_are_explained(self):
        events = events_of_fault("executors_crash", 1)
        restarted = [
            found for found in find_interruptions(events) if found.is_restarted
        ]
        self.assertThat(len(restarted), GreaterThan(0))
        for found in restarted:
            self.assertThat(found.incarnation, Equals(2))
        tracker = AttemptTracker()
        for event in events:
            tracker.process(event)
        attempts = tracker.attempts.values()
        calls = [call for attempt in attempts for call in attempt.calls]
        self.assertThat(len(calls), GreaterThan(0))
        for call in calls:
            self.assertThat(call.meant_for, IsInstance(int))
            self.assertThat(call.answered_by is None, Is(not call.is_answered))
        losses = [
            ending
            for attempt in attempts
            for ending in attempt.endings
            if ending.kind is EndingKind.LOST
        ]
        self.assertThat(len(losses), GreaterThan(0))
        for ending in losses:
            self.assertThat(ending.is_named, Is(True))
            self.assertThat(ending.silent_s, IsInstance(float))
            self.assertThat(ending.lease_s, IsInstance(float))

    def test_delayed_request_is_logged_until_it_ends(self):
        events = events_of_fault("leader_killed", 1)
        late = max(
            (e for e in events if e.name == "place"),
            key=lambda event: event.fields["waited_s"],
        )
        self.assertThat(late.fields["waited_s"], GreaterThan(0.0))
        job = late.fields["task"].split(".")[0]
        self.assertThat(event_names(events, job), Contains("job ended"))

    def test_log_lines_over_the_rate_limit_are_counted(self):
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

    def test_load_lines_show_what_each_service_waits_for(self):
        events = events_of_fault("calm", 1)
        load = [e.fields["services"] for e in events if e.name == "load"]
        cores = {services["directory"]["cores"] for services in load}
        self.assertThat(max(cores), Equals(6 * 32))
        waiting = [s["directory"].get("waiting_steps", 0) for s in load]
        self.assertThat(max(waiting), GreaterThan(0))
