"""Tests of the history of attempts."""

import testtools
from testtools.matchers import Equals, HasLength, Is

from dragonflybank.cli.attempt_history import (
    AttemptHistory,
    AttemptTracker,
    EndingKind,
    attempt_histories,
    next_start,
)
from dragonflybank.cli.explain import Event

TASK = "5c0e7a21d94b36f8.0.0.0"
OTHER = "ffffffffffffffff.0.0.0"


def event(at: float, name: str, **fields) -> Event:
    return Event(at, "host-a", name, fields)


def about(at: float, name: str, number: int = 1, **fields) -> Event:
    """Returns an event about an attempt of the task on executor i-1."""
    return event(
        at,
        name,
        **{"task": TASK, "attempt": number, "executor": "i-1"},
        **fields,
    )


def histories(*events: Event) -> list[AttemptHistory]:
    return attempt_histories(events, TASK)[1]


def endings(*events: Event) -> list[EndingKind]:
    return [ending.kind for ending in histories(*events)[0].endings]


class TestEndings(testtools.TestCase):
    """Guards against a wrong reason why an attempt was taken to be over."""

    def test_each_line_that_ends_an_attempt_is_told_apart(self):
        for line, expected in (
            (about(2.0, "end", kind="done"), EndingKind.ENDED),
            (about(2.0, "attempt absent", phase="running"), EndingKind.ABSENT),
            (about(2.0, "start refused", reply="late"), EndingKind.REFUSED),
            (about(2.0, "start withdrawn"), EndingKind.WITHDRAWN),
        ):
            found = endings(about(1.0, "place"), line)
            self.assertThat(found, Equals([expected]))

    def test_refusal_of_a_former_leader_does_not_end_an_attempt(self):
        [attempt] = histories(
            about(1.0, "place"), about(2.0, "start refused", reply="fenced")
        )
        self.assertThat(attempt.endings, Equals([]))
        self.assertThat(attempt.is_open, Is(True))

    def test_loss_names_its_attempts_and_their_incarnation(self):
        lost = event(
            9.0,
            "attempts lost",
            executor="i-1",
            reason="lease over",
            tasks=[f"{TASK}/1 in 17"],
            silent_s=7.5,
            lease_s=6.0,
        )
        first, second = histories(
            about(1.0, "place"), about(2.0, "place", 2), lost
        )
        [ending] = first.endings
        self.assertThat(
            (ending.detail, ending.incarnation, ending.silent_s),
            Equals(("lease over", 17, 7.5)),
        )
        self.assertThat(ending.lease_s, Equals(6.0))
        self.assertThat(second.endings, Equals([]))

    def test_named_loss_without_an_incarnation(self):
        lost = event(9.0, "attempts lost", executor="i-1", tasks=[f"{TASK}/1"])
        [attempt] = histories(about(1.0, "place"), lost)
        self.assertThat(attempt.endings[0].incarnation, Is(None))
        self.assertThat(attempt.endings[0].is_named, Is(True))

    def test_unnamed_loss_concerns_what_runs_on_the_executor(self):
        lost = event(9.0, "attempts lost", executor="i-1", reason="lease over")
        [attempt] = histories(about(1.0, "place"), lost)
        [ending] = attempt.endings
        self.assertThat(ending.is_named, Is(False))
        self.assertThat(ending.silent_s, Is(None))
        ended = about(5.0, "end", kind="done")
        self.assertThat(
            endings(about(1.0, "place"), ended, lost),
            Equals([EndingKind.ENDED]),
        )

    def test_unnamed_loss_by_a_restart_is_only_possible(self):
        [attempt] = histories(
            about(1.0, "place"),
            event(
                9.0,
                "attempts lost",
                executor="i-1",
                reason="another incarnation",
            ),
        )
        self.assertThat(attempt.endings, Equals([]))
        self.assertThat(attempt.possible_losses, HasLength(1))

    def test_end_of_a_lost_attempt_comes_after_its_loss(self):
        lost = event(9.0, "attempts lost", executor="i-1", tasks=[f"{TASK}/1"])
        found = endings(
            about(1.0, "place"), lost, about(12.0, "end", kind="lapsed")
        )
        self.assertThat(found, Equals([EndingKind.LOST, EndingKind.ENDED]))

    def test_lost_attempt_that_is_adopted_may_be_running(self):
        lost = event(9.0, "attempts lost", executor="i-1", tasks=[f"{TASK}/1"])
        [attempt] = histories(
            about(1.0, "place"), lost, about(12.0, "attempt adopted")
        )
        self.assertThat(attempt.adopted, Equals([12.0]))
        self.assertThat(attempt.is_open, Is(True))

    def test_malformed_entries_of_a_loss_are_skipped(self):
        for tasks in ([f"{TASK}/x", 4, None], "text", 4, None):
            lost = event(9.0, "attempts lost", executor="i-1", tasks=tasks)
            self.assertThat(endings(about(1.0, "place"), lost), Equals([]))


class TestOpenAttempts(testtools.TestCase):
    """Guards against attempts that count on an executor that lacks them."""

    def open_after(self, *events: Event) -> list[tuple[str, int]]:
        tracker = AttemptTracker()
        for each in events:
            tracker.process(each)
        return [(a.task, a.number) for a in tracker.open_on("i-1")]

    def test_attempt_is_on_its_executor_until_it_is_over(self):
        placed = about(1.0, "place")
        self.assertThat(self.open_after(placed), Equals([(TASK, 1)]))
        for line in (
            about(2.0, "end", kind="done"),
            about(2.0, "attempt absent"),
            event(2.0, "job ended", job=TASK.split(".")[0]),
            event(2.0, "attempts lost", executor="i-1", tasks=[f"{TASK}/1"]),
        ):
            self.assertThat(self.open_after(placed, line), Equals([]))

    def test_successor_reuses_a_number_on_another_executor(self):
        """The former leader was killed before it stored the placement."""

        def moved(at, name, **fields):
            return event(
                at, name, task=TASK, attempt=1, executor="i-2", **fields
            )

        tracker, found = attempt_histories(
            (
                about(1.0, "place"),
                moved(2.0, "place"),
                moved(3.0, "end", kind="done"),
            ),
            TASK,
        )
        self.assertThat(found, HasLength(1))
        self.assertThat(found[0].executor, Equals("i-2"))
        self.assertThat(tracker.open_on("i-1"), Equals([]))
        self.assertThat(tracker.open_on("i-2"), Equals([]))

    def test_end_of_another_job_with_a_like_name_changes_nothing(self):
        ended = event(2.0, "job ended", job=TASK[:4])
        self.assertThat(
            self.open_after(about(1.0, "place"), ended), Equals([(TASK, 1)])
        )

    def test_next_placement_shows_that_an_attempt_is_over(self):
        moved = event(3.0, "place", task=TASK, attempt=2, executor="i-2")
        self.assertThat(self.open_after(about(1.0, "place"), moved), Equals([]))


class TestNextStart(testtools.TestCase):
    """Guards against a start that was refused counting as the next one."""

    def test_refused_and_withdrawn_starts_do_not_count(self):
        attempts = histories(
            about(1.0, "place"),
            about(2.0, "place", 2),
            about(2.1, "start refused", 2, reply="late"),
            about(3.0, "place", 3),
            about(3.1, "start withdrawn", 3),
            about(4.0, "place", 4),
        )
        self.assertThat(next_start(attempts[0], attempts), Equals(4.0))
        self.assertThat(next_start(attempts[3], attempts), Is(None))


class TestAnsweringIncarnation(testtools.TestCase):
    """Guards against an answer that is ascribed to the wrong incarnation."""

    def answering(self, *events: Event) -> int | None:
        tracker, [attempt] = attempt_histories(events, TASK)
        return tracker.answering_incarnation(attempt, attempt.calls[0])

    def answered(self, by: str, clock_s: float | None = None) -> Event:
        return about(
            10.0,
            "start answered",
            reply="ok",
            meant_for=4,
            answered_by=by,
            executor_clock_s=clock_s,
            tries=1,
        )

    def claimed(self, at: float, incarnation: int, clock_s: float) -> Event:
        return event(
            at,
            "executor claimed",
            executor="i-1",
            incarnation=incarnation,
            executor_clock_s=clock_s,
        )

    def test_known_one_is_that_which_the_call_was_meant_for(self):
        self.assertThat(self.answering(self.answered("known", 50.0)), Equals(4))

    def test_newer_one_is_identified_by_its_clock(self):
        found = self.answering(
            self.answered("newer", 0.7), self.claimed(20.0, 5, 10.68)
        )
        self.assertThat(found, Equals(5))

    def test_one_that_restarted_again_before_its_claim_is_not_identified(self):
        found = self.answering(
            self.answered("newer", 0.7), self.claimed(20.0, 6, 3.0)
        )
        self.assertThat(found, Is(None))

    def test_claim_of_another_executor_identifies_nothing(self):
        claim = event(
            20.0,
            "executor claimed",
            executor="i-2",
            incarnation=5,
            executor_clock_s=10.7,
        )
        found = self.answering(self.answered("newer", 0.7), claim)
        self.assertThat(found, Is(None))

    def test_without_a_clock_or_an_answer_nothing_is_known(self):
        claim = self.claimed(20.0, 5, 10.7)
        self.assertThat(
            self.answering(self.answered("unknown"), claim), Is(None)
        )
        unknown = about(10.0, "start outcome unknown", meant_for=4)
        self.assertThat(self.answering(unknown, claim), Is(None))


class TestSelection(testtools.TestCase):
    """Guards against attempts of other jobs and lines without an attempt."""

    def test_job_and_task_select_their_attempts(self):
        events = [
            about(2.0, "place", 2),
            about(1.0, "place"),
            event(1.0, "place", task=OTHER, attempt=1, executor="i-1"),
            event(1.0, "throttle", task=TASK, executor="i-1"),
        ]
        for identifier in (TASK, TASK.split(".")[0]):
            _, found = attempt_histories(events, identifier)
            self.assertThat([a.number for a in found], Equals([1, 2]))
