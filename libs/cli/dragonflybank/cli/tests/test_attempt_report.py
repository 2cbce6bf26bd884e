"""Tests of the summary of attempts."""

import testtools
from testtools.matchers import Contains, Equals, HasLength

from dragonflybank.cli.attempt_history import attempt_histories
from dragonflybank.cli.attempt_report import format_attempts
from dragonflybank.cli.explain import Event

TASK = "ed0042df881d27e7.0.0.0"


def event(at: float, name: str, **fields) -> Event:
    return Event(at, "edge-uusimaa-a-1", name, fields)


def about(at: float, name: str, number: int, executor: str, **fields) -> Event:
    return event(
        at, name, task=TASK, attempt=number, executor=executor, **fields
    )


def started(at: float, number: int, executor: str, **fields) -> Event:
    return about(
        at, "start answered", number, executor, reply="ok", tries=1, **fields
    )


# The first case of the page on the incident, with the fields of present logs.
# The leader counts the lease of incarnation 4; incarnation 5 runs the attempt.
INCIDENT = [
    event(
        0.0,
        "executor claimed",
        executor="i-aace57a97e",
        incarnation=4,
        executor_clock_s=100.0,
    ),
    about(6.327, "place", 1, "i-aace57a97e"),
    started(
        6.358,
        1,
        "i-aace57a97e",
        meant_for=4,
        answered_by="newer",
        executor_clock_s=0.758,
    ),
    event(7.191, "executor silent", executor="i-aace57a97e", attempts=1),
    event(
        14.248,
        "attempts lost",
        executor="i-aace57a97e",
        incarnation=4,
        attempts=1,
        reason="lease over",
        tasks=[f"{TASK}/1"],
        silent_s=9.3,
        lease_s=6.0,
        kept=0,
    ),
    about(14.653, "place", 2, "i-b1760b957e"),
    started(
        14.66,
        2,
        "i-b1760b957e",
        meant_for=2,
        answered_by="known",
        executor_clock_s=30.0,
    ),
    about(15.2, "end", 2, "i-b1760b957e", kind="done", incarnation=2),
    event(16.7, "executor restarted", executor="i-aace57a97e"),
    event(16.7, "executor answers again", executor="i-aace57a97e"),
    about(16.7, "end", 1, "i-aace57a97e", kind="lapsed", incarnation=5),
    event(
        16.7,
        "executor claimed",
        executor="i-aace57a97e",
        incarnation=5,
        executor_clock_s=11.1,
    ),
]


def report(*events: Event) -> list[str]:
    tracker, attempts = attempt_histories(events, TASK)
    return format_attempts(tracker, attempts, 6.0)


class TestIncident(testtools.TestCase):
    """Guards against logs that don't tell why a task ran twice."""

    def test_each_incarnation_and_the_lease_are_told(self):
        self.assertThat(
            report(*INCIDENT),
            Equals(
                [
                    f"{TASK}/1  placed at 0.327 s on i-aace57a97e; start meant"
                    " for incarnation 4, answered ok by a newer one, 5, 1 try,"
                    " at 0.358 s",
                    "    seen in incarnation 5; lost at 8.248 s: lease over,"
                    " silent 9.300 s, lease 6.000 s; afterwards ended at"
                    " 10.700 s as lapsed, listed by incarnation 5; next start"
                    " 0.405 s later",
                    f"{TASK}/2  placed at 8.653 s on i-b1760b957e; start meant"
                    " for incarnation 2, answered ok by the same, 1 try, at"
                    " 8.660 s",
                    "    seen in incarnation 2; ended at 9.200 s as done,"
                    " listed by incarnation 2",
                ]
            ),
        )

    def test_earlier_logs_are_shown_as_not_logging_it(self):
        lost = event(
            14.248,
            "attempts lost",
            executor="i-aace57a97e",
            reason="lease over",
        )
        first, second, *_ = report(INCIDENT[1], lost, INCIDENT[5])
        self.assertThat(first, Contains("start not logged"))
        self.assertThat(
            second,
            Equals(
                "    seen in incarnation not logged; lost at 8.248 s: lease"
                " over, silent not logged, lease not logged; next start"
                " 0.405 s later"
            ),
        )

    def test_possible_loss_is_not_told_as_a_loss(self):
        lost = event(
            14.248,
            "attempts lost",
            executor="i-aace57a97e",
            reason="another incarnation",
        )
        _, second, *_ = report(INCIDENT[1], lost, INCIDENT[5])
        self.assertThat(second, Contains("perhaps lost at 8.248 s"))
        self.assertThat(second, Contains("end not logged"))
        self.assertThat(second, Contains("next start at 8.653 s"))


class TestHolds(testtools.TestCase):
    """Guards against logs that don't tell what an attempt waits for."""

    def test_each_leader_tells_the_term_that_holds_an_attempt(self):
        def held(at, reason, held_s):
            return event(
                at,
                "attempts held",
                executor="i-1",
                tasks=["another.0.0.0/3", f"{TASK}/1"],
                held_by=["lease", reason],
                held_until_s=[1.0, held_s],
            )

        _, second = report(
            about(6.0, "place", 1, "i-1"),
            held(8.0, "late start", 12.5),
            held(13.0, "suspended lease", 7.5),
        )
        self.assertThat(
            second,
            Contains(
                "held until 14.500 s by late start; held until 14.500 s by"
                " suspended lease; end not logged"
            ),
        )


class TestCalls(testtools.TestCase):
    """Guards against a command without an answer that looks answered."""

    def report_calls(self, *events: Event) -> list[str]:
        return report(about(6.0, "place", 1, "i-1"), *events)

    def test_start_without_an_answer(self):
        first, second = self.report_calls(
            about(7.0, "start outcome unknown", 1, "i-1", meant_for=4),
            about(9.0, "attempt absent", 1, "i-1", incarnation=5),
        )
        self.assertThat(
            first, Contains("start meant for incarnation 4, no answer")
        )
        self.assertThat(second, Contains("seen in no known incarnation"))
        self.assertThat(
            second,
            Contains(
                "absent at 3.000 s from the list of incarnation 5;"
                " no later start"
            ),
        )

    def test_withdrawn_and_refused_starts(self):
        for name, fields, expected in (
            ("start withdrawn", {}, "start withdrawn at 1.000 s"),
            (
                "start refused",
                {"reply": "late"},
                "start refused at 1.000 s: late",
            ),
        ):
            _, second = self.report_calls(about(7.0, name, 1, "i-1", **fields))
            self.assertThat(second, Contains(expected))

    def test_stop_and_its_answer(self):
        first, second = self.report_calls(
            about(7.0, "stop", 1, "i-1", reason="job ended"),
            about(
                7.1,
                "stop answered",
                1,
                "i-1",
                reply="ok",
                meant_for=4,
                answered_by="unknown",
            ),
        )
        self.assertThat(second, Contains("stopped at 1.000 s (job ended)"))
        self.assertThat(
            first,
            Contains(
                "start not logged; stop meant for incarnation 4, answered ok"
                " by an incarnation that is not known, at 1.100 s"
            ),
        )

    def test_newer_incarnation_without_a_claim_is_not_named(self):
        first, _ = self.report_calls(
            started(
                7.0,
                1,
                "i-1",
                meant_for=4,
                answered_by="newer",
                executor_clock_s=1,
            )
        )
        self.assertThat(first, Contains("by a newer one, not identified"))

    def test_adopted_attempt_without_a_placement(self):
        lines = report(about(7.0, "attempt adopted", 1, "i-1"))
        self.assertThat(lines, HasLength(2))
        self.assertThat(lines[0], Contains("placed not logged on i-1"))
        self.assertThat(lines[1], Contains("adopted at 1.000 s"))
