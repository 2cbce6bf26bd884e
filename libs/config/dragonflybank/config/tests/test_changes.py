"""Tests of the pure functions for staged changes."""

import attrs
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success
from testtools.matchers import Contains, Equals, HasLength

from dragonflybank.config.changes import (
    MAX_HISTORY_ENTRIES,
    EditAction,
    EditRequest,
    apply,
    diff,
    stage,
    withdraw,
)
from dragonflybank.config.operator import (
    BreakWindow,
    OperatorConfig,
    Team,
    find_team,
    find_work_class,
)
from dragonflybank.model.codes import Code
from dragonflybank.model.work import WorkClass, WorkKind

OPEN, CLOSED = 12 * 3600.0, 14 * 3600.0
CFG = OperatorConfig(
    1,
    (WorkClass("die_lookup", WorkKind.LOOKUP), WorkClass("simulation")),
    (Team("workshops", "flanders"), Team("engineering", "flanders")),
    (BreakWindow("11:00", "13:00"),),
)


def staged(cfg, *edits, name="change", author="anna"):
    requests = [EditRequest(*edit) for edit in edits]
    change_id = f"{name}-{cfg.generation}"
    return stage(cfg, name, author, requests, change_id=change_id, now=OPEN)


def set_to(path, value):
    return (EditAction.SET, path, value)


class TestStage(testtools.TestCase):
    """Guards against staging a change that can never be applied."""

    def test_staged_edit_records_the_old_value(self):
        change = staged(CFG, set_to("team.workshops.weight", 2)).unwrap()
        self.assertThat(change.edits[0].old, Equals(1.0))

    def test_all_unknown_paths_are_reported_at_once(self):
        failed = staged(
            CFG,
            set_to("team.workshop.weight", 2),
            set_to("class.die_lookup.prio", 2),
            set_to("generation", 7),
            (EditAction.ADD, "team.workshops", {"region": "oulu"}),
        ).failure()
        self.assertThat(failed.code, Equals(Code.BAD_CONFIGURATION))
        self.assertThat(failed.field.split(", "), HasLength(4))
        self.assertThat(failed.accepted, Contains("class.die_lookup.priority"))

    def test_lookup_of_over_30_seconds_is_refused(self):
        failed = staged(CFG, set_to("class.die_lookup.timeout_s", 31)).failure()
        self.assertThat(failed.field, Equals("classes[0].timeout_s"))

    def test_region_and_shards_of_a_team_are_fixed(self):
        # Guards against searching for jobs in a shard other than their own.
        replaced = {"region": "wallonia", "shards": 2}
        for edits in (
            [set_to("team.workshops.region", "wallonia")],
            [set_to("team.workshops.shards", 2)],
            [
                (EditAction.REMOVE, "team.workshops"),
                (EditAction.ADD, "team.workshops", replaced),
            ],
        ):
            failed = staged(CFG, *edits).failure()
            self.assertThat(failed.code, Equals(Code.BAD_CONFIGURATION))
            self.assertThat(failed.field, Contains("team.workshops."))

    def test_rows_cannot_be_renamed(self):
        # Guards against jobs stored under the name of a team that is gone.
        for path in (
            "team.workshops.name",
            "class.simulation.name",
            "break.11:00-13:00.start",
        ):
            failed = staged(CFG, set_to(path, "other")).failure()
            self.assertThat(failed.detail, Contains("names the row"))

    def test_adding_or_removing_other_paths_is_refused(self):
        for action in (EditAction.ADD, EditAction.REMOVE):
            for path in ("team.workshops.weight", "limits.x", "x", "team."):
                failed = staged(CFG, (action, path, {})).failure()
                self.assertThat(failed.code, Equals(Code.BAD_CONFIGURATION))

    def test_rows_are_added_and_removed(self):
        change = staged(
            CFG,
            (EditAction.ADD, "class.sweep", {"priority": 3}),
            (EditAction.REMOVE, "class.simulation"),
            (EditAction.ADD, "break.23:00-01:00", {"days": ["sat"]}),
        ).unwrap()
        after = apply(CFG, change, by="anna", now=OPEN).unwrap()
        self.assertThat(find_work_class(after, "sweep").priority, Equals(3))
        self.assertThat(find_work_class(after, "simulation"), Equals(None))
        self.assertThat(
            after.breaks[-1], Equals(BreakWindow("23:00", "01:00", ("sat",)))
        )


class TestApply(testtools.TestCase):
    """Guards against a change that overwrites another change."""

    def test_changes_are_refused_outside_the_break(self):
        change = staged(CFG, set_to("team.workshops.weight", 2)).unwrap()
        failed = apply(CFG, change, by="anna", now=CLOSED).failure()
        found = (failed.code, failed.retry_after_s)
        self.assertThat(found, Equals((Code.BREAK_CLOSED, 21 * 3600.0)))

    def test_conflict_on_a_path_names_author_and_generation(self):
        first = staged(CFG, set_to("team.workshops.weight", 2), name="a")
        second = staged(
            CFG, set_to("team.workshops.weight", 3), name="b", author="ben"
        )
        cfg = apply(CFG, first.unwrap(), by="anna", now=OPEN).unwrap()
        failed = apply(cfg, second.unwrap(), by="ben", now=OPEN).failure()
        self.assertThat(failed.code, Equals(Code.CHANGE_CONFLICT))
        self.assertThat(failed.detail, Contains("anna set team.workshops"))
        self.assertThat(failed.detail, Contains("generation 2"))
        (line,) = diff(cfg, second.unwrap())
        self.assertThat((line.old, line.current, line.new), Equals((1, 2, 3)))
        self.assertThat(line.changed_by, Contains("anna"))

    def test_removing_a_row_conflicts_with_a_change_of_its_field(self):
        part = staged(CFG, set_to("class.simulation.priority", 2), name="a")
        whole = staged(CFG, (EditAction.REMOVE, "class.simulation"), name="b")
        cfg = apply(CFG, part.unwrap(), by="anna", now=OPEN).unwrap()
        outcome = apply(cfg, whole.unwrap(), by="ben", now=OPEN)
        self.assertThat(outcome.failure().code, Equals(Code.CHANGE_CONFLICT))

    def test_different_paths_do_not_conflict(self):
        first = staged(CFG, set_to("team.workshops.weight", 2), name="a")
        second = staged(CFG, set_to("team.workshops.max_running", 9), name="b")
        cfg = apply(CFG, first.unwrap(), by="anna", now=OPEN).unwrap()
        cfg = apply(cfg, second.unwrap(), by="ben", now=OPEN).unwrap()
        team = find_team(cfg, "workshops")
        found = (cfg.generation, team.weight, team.max_running)
        self.assertThat(found, Equals((3, 2.0, 9)))

    def test_applying_a_change_is_idempotent(self):
        change = staged(CFG, set_to("team.workshops.weight", 2)).unwrap()
        cfg = apply(CFG, change, by="anna", now=OPEN).unwrap()
        again = apply(cfg, change, by="anna", now=CLOSED).unwrap()
        self.assertThat(again, Equals(cfg))

    def test_conflict_is_found_after_its_history_entry_is_dropped(self):
        # Guards against applying an old change after the entry of the
        # conflicting change was dropped from the history.
        old = staged(CFG, set_to("team.workshops.weight", 9)).unwrap()
        cfg = CFG
        for number in range(MAX_HISTORY_ENTRIES + 1):
            path = "limits.team_queue" if number else "team.workshops.weight"
            change = staged(cfg, set_to(path, number + 5), name=f"c{number}")
            cfg = apply(cfg, change.unwrap(), by="anna", now=OPEN).unwrap()
        self.assertThat(cfg.history, HasLength(MAX_HISTORY_ENTRIES))
        failed = apply(cfg, old, by="ben", now=OPEN).failure()
        self.assertThat(failed.code, Equals(Code.CHANGE_CONFLICT))

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    [
                        "team.workshops.weight",
                        "team.workshops.region",
                        "limits.retry_budget",
                        "class.simulation.size.cores",
                        "nowhere",
                    ]
                ),
                st.integers(-1, 5) | st.text(max_size=3),
                st.booleans(),
            ),
            max_size=12,
        )
    )
    def test_generation_grows_by_one_or_stays(self, steps):
        cfg = CFG
        for number, (path, value, is_open) in enumerate(steps):
            change = staged(cfg, set_to(path, value), name=f"c{number}")
            now = OPEN if is_open else CLOSED
            outcome = change.bind(
                lambda made, cfg=cfg, now=now: apply(
                    cfg, made, by="anna", now=now
                )
            )
            after = outcome.value_or(cfg)
            grown = 1 if isinstance(outcome, Success) else 0
            self.assertThat(after.generation, Equals(cfg.generation + grown))
            cfg = after


class TestWithdraw(testtools.TestCase):
    """Guards against withdrawing another change than the named one."""

    def test_only_the_named_change_is_removed(self):
        one = staged(CFG, set_to("limits.team_queue", 9)).unwrap()
        two = attrs.evolve(one, name="two")
        self.assertThat(withdraw((one, two), "two"), Equals(Success((one,))))
        self.assertIsInstance(withdraw((one,), "two"), Failure)
