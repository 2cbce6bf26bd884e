"""Tests of the silences and restarts of executors."""

import itertools

import testtools
from testtools.matchers import Equals, HasLength, Is

from dragonflybank.cli.explain import Event
from dragonflybank.cli.restarts import (
    Interruption,
    find_interruptions,
    report_by_executor,
    report_interruptions,
)


def event(at: float, name: str, executor: str = "i-1", **fields) -> Event:
    return Event(at, "host-a", name, {"executor": executor, **fields})


def about(
    at: float,
    name: str,
    task: str,
    number: int = 1,
    executor: str = "i-1",
    **fields,
) -> Event:
    return event(at, name, executor, task=task, attempt=number, **fields)


def lost(at: float, *entries: str, **fields) -> Event:
    return event(
        at,
        "attempts lost",
        attempts=len(entries),
        tasks=list(entries),
        **fields,
    )


SILENT = event(10.0, "executor silent", attempts=3)
AGAIN = event(20.0, "executor answers again")
PLACED = [about(1.0, "place", task) for task in ("a.0", "b.0", "c.0")]


def only_one(*events: Event) -> Interruption:
    [found] = find_interruptions(events)
    return found


class TestInterruptions(testtools.TestCase):
    """Guards against a wrong begin or end, or a wrong incarnation."""

    def test_silence_lasts_until_the_executor_answers(self):
        found = only_one(SILENT, AGAIN)
        self.assertThat(
            (found.cause, found.began_at, found.answered_at),
            Equals(("silent", 10.0, 20.0)),
        )
        self.assertThat(found.is_restarted, Is(False))

    def test_answer_of_the_same_incarnation(self):
        claimed = event(1.0, "executor claimed", incarnation=4)
        found = only_one(claimed, SILENT, AGAIN)
        self.assertThat(found.incarnation, Equals(4))

    def test_answer_of_a_new_incarnation(self):
        found = only_one(
            event(1.0, "executor claimed", incarnation=4),
            SILENT,
            event(20.0, "executor restarted", former_incarnation=4),
            AGAIN,
            event(20.0, "executor claimed", incarnation=5),
        )
        self.assertThat(found.incarnation, Equals(5))
        self.assertThat(found.is_restarted, Is(True))

    def test_restart_without_a_silence(self):
        found = only_one(
            *PLACED,
            event(20.0, "executor restarted", attempts=3),
            lost(20.0, "a.0/1", "b.0/1", reason="another incarnation"),
            event(20.0, "executor claimed", incarnation=5),
        )
        self.assertThat(
            (found.cause, found.began_at, found.answered_at),
            Equals(("restarted", 20.0, 20.0)),
        )
        self.assertThat((found.lost, found.kept), Equals((2, 1)))
        self.assertThat(found.incarnation, Equals(5))

    def test_earlier_logs_show_a_restart_by_a_second_claim(self):
        found = only_one(SILENT, AGAIN, event(20.0, "executor claimed"))
        self.assertThat(found.is_restarted, Is(True))
        self.assertThat(found.incarnation, Is(None))

    def test_claim_by_the_next_leader_is_no_restart(self):
        elected = Event(30.0, "host-b", "elected", {"epoch": 9})
        claim = event(31.0, "executor claimed", incarnation=4)
        found = only_one(SILENT, AGAIN, elected, claim)
        self.assertThat(found.is_restarted, Is(False))
        found = only_one(SILENT, Event(11.0, "host-b", "elected", {}), claim)
        self.assertThat(found.answered_at, Equals(31.0))
        self.assertThat(found.is_restarted, Is(False))

    def test_next_leader_shows_a_restart_by_a_greater_incarnation(self):
        found = only_one(
            event(1.0, "executor claimed", incarnation=4),
            SILENT,
            Event(11.0, "host-b", "elected", {}),
            event(31.0, "executor claimed", incarnation=5),
        )
        self.assertThat(found.is_restarted, Is(True))

    def test_silence_for_a_second_leader_is_the_same_interruption(self):
        found = only_one(SILENT, event(15.0, "executor silent", attempts=3))
        self.assertThat(found.began_at, Equals(10.0))
        self.assertThat(found.answered_at, Is(None))

    def test_loss_without_a_silence(self):
        found = only_one(
            *PLACED, lost(12.0, "a.0/1", reason="no lease can be left")
        )
        self.assertThat(found.cause, Equals("attempts lost"))
        self.assertThat(found.lost, Equals(1))


class TestAttempts(testtools.TestCase):
    """Guards against wrong numbers of lost and kept attempts."""

    def test_ended_attempts_are_not_on_the_executor(self):
        ended = about(2.0, "end", "a.0", kind="done")
        found = only_one(*PLACED, ended, SILENT, AGAIN)
        self.assertThat(found.attempts, HasLength(2))
        self.assertThat((found.lost, found.kept), Equals((0, 2)))

    def test_attempts_of_other_executors_do_not_count(self):
        other = about(1.0, "place", "d.0", executor="i-2")
        found = only_one(*PLACED, other, SILENT, AGAIN)
        self.assertThat(found.attempts, HasLength(3))

    def test_attempt_placed_during_the_silence_counts(self):
        late = about(11.0, "place", "d.0")
        found = only_one(*PLACED, SILENT, late, AGAIN)
        self.assertThat(found.attempts, HasLength(4))

    def test_unnamed_losses_of_earlier_logs_are_not_kept(self):
        gone = event(
            20.0, "attempts lost", attempts=2, reason="another incarnation"
        )
        found = only_one(*PLACED, SILENT, gone, AGAIN)
        self.assertThat((found.lost, found.kept), Equals((2, 1)))
        gone = event(16.0, "attempts lost", attempts=3, reason="lease over")
        found = only_one(*PLACED, SILENT, gone, AGAIN)
        self.assertThat((found.lost, found.kept), Equals((3, 0)))

    def test_attempts_are_still_kept_at_the_end_of_the_logs(self):
        found = only_one(*PLACED, SILENT)
        self.assertThat(found.kept, Equals(3))


class TestDelays(testtools.TestCase):
    """Guards against delays that the interruption did not cause."""

    def delays(self, *events: Event) -> list[float]:
        return only_one(*PLACED, SILENT, *events).delays_s

    def test_delay_is_from_the_silence_to_the_next_start(self):
        found = self.delays(
            lost(17.0, "a.0/1", "b.0/1"),
            about(17.5, "place", "a.0", 2, "i-2"),
            about(19.0, "place", "b.0", 2, "i-2"),
        )
        self.assertThat(found, Equals([7.5, 9.0]))

    def test_time_until_the_attempt_is_over_is_told_apart(self):
        found = only_one(
            *PLACED,
            SILENT,
            lost(17.0, "a.0/1"),
            about(17.5, "place", "a.0", 2, "i-2"),
            about(18.0, "place", "b.0", 2, "i-2"),
        )
        self.assertThat(found.releases_s, Equals([7.0]))
        self.assertThat(found.delays_s, Equals([7.5, 8.0]))

    def test_refused_start_is_not_the_next_one(self):
        found = self.delays(
            lost(17.0, "a.0/1"),
            about(17.5, "place", "a.0", 2, "i-2"),
            about(17.6, "start refused", "a.0", 2, "i-2", reply="late"),
            about(18.0, "place", "a.0", 3, "i-2"),
        )
        self.assertThat(found, Equals([8.0]))

    def test_attempts_that_end_by_themselves_do_not_count(self):
        for kind in ("done", "failed", "broken"):
            found = self.delays(
                AGAIN,
                about(25.0, "end", "a.0", kind=kind),
                about(26.0, "place", "a.0", 2, "i-2"),
            )
            self.assertThat(found, Equals([]))

    def test_end_in_the_first_reply_after_the_silence_counts(self):
        for kind in ("lapsed", "broken"):
            found = self.delays(
                AGAIN,
                about(20.0, "end", "a.0", kind=kind),
                about(21.0, "place", "a.0", 2, "i-2"),
            )
            self.assertThat(found, Equals([11.0]))

    def test_attempt_stopped_after_the_silence_does_not_count(self):
        found = self.delays(
            AGAIN,
            about(25.0, "stop", "a.0", reason="executor leaves"),
            about(25.1, "end", "a.0", kind="stopped"),
            about(26.0, "place", "a.0", 2, "i-2"),
        )
        self.assertThat(found, Equals([]))

    def test_refused_attempt_does_not_count(self):
        found = self.delays(
            about(11.0, "place", "d.0"),
            about(11.1, "start refused", "d.0", reply="late"),
            about(11.2, "place", "d.0", 2, "i-2"),
        )
        self.assertThat(found, Equals([]))

    def test_delay_counts_from_the_last_of_two_silences(self):
        first, second = find_interruptions(
            [
                *PLACED,
                SILENT,
                AGAIN,
                event(30.0, "executor silent"),
                lost(37.0, "a.0/1"),
                about(37.5, "place", "a.0", 2, "i-2"),
            ]
        )
        self.assertThat(first.delays_s, Equals([]))
        self.assertThat(second.delays_s, Equals([7.5]))


class TestReports(testtools.TestCase):
    """Guards against a summary that differs from its rows."""

    def setUp(self):
        super().setUp()
        tasks = [f"t{number}.0" for number in range(21)]
        self.found = find_interruptions(
            [
                *(about(1.0, "place", task) for task in tasks),
                event(5.0, "executor silent", "i-2"),
                event(6.0, "executor answers again", "i-2"),
                SILENT,
                lost(17.0, *(f"{task}/1" for task in tasks)),
                *(
                    about(at, "place", task, 2, "i-2")
                    for at, task in zip(
                        itertools.count(18.0), tasks, strict=False
                    )
                ),
                AGAIN,
                event(50.0, "executor silent"),
            ]
        )

    def test_one_row_for_each_executor_and_one_for_all(self):
        report = report_by_executor(self.found, 5.0)
        self.assertThat(
            report.rows,
            Equals(
                (
                    ("i-2", 1, "0.000", "1.000", "not logged", 0)
                    + (0, 0, 0, 0, "", "", "", "", ""),
                    ("i-1", 2, "5.000", "no answer", "", 0)
                    + (21, 21, 0, 21, 7.0, 7.0, 18.0, 27.0, 28.0),
                    ("all", 3, "", "", "", 0)
                    + (21, 21, 0, 21, 7.0, 7.0, 18.0, 27.0, 28.0),
                )
            ),
        )
        self.assertThat(len(report.columns), Equals(len(report.rows[0])))

    def test_one_row_for_each_interruption_and_one_for_all(self):
        report = report_interruptions(self.found, 0.0)
        self.assertThat(
            [row[:4] for row in report.rows],
            Equals(
                [
                    ("i-2", "silent", "5.000", "6.000"),
                    ("i-1", "silent", "10.000", "20.000"),
                    ("i-1", "silent", "50.000", "no answer"),
                    ("all", 3, "", ""),
                ]
            ),
        )

    def test_logs_without_interruptions(self):
        for make_report in (report_by_executor, report_interruptions):
            report = make_report(find_interruptions(PLACED), 0.0)
            self.assertThat(
                report.text, Equals("no executor went silent or restarted")
            )
