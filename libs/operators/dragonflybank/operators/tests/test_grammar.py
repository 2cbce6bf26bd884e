"""Tests of the operators' language."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success
from testtools.matchers import Contains, Equals

from dragonflybank.config.changes import EditAction, EditRequest
from dragonflybank.model.codes import Code, Problem
from dragonflybank.operators.commands import (
    Condition,
    ExplainJob,
    ExplainLookup,
    Listing,
    Op,
    ShowTable,
    ShowWork,
    Stage,
    Table,
)
from dragonflybank.operators.grammar import HELP, MAX_TEXT_LENGTH, parse

WORDS = [
    "show",
    "running",
    "waiting",
    "workers",
    "where",
    "team",
    "age_s",
    "code",
    "=",
    "~",
    "<",
    "and",
    "limit",
    "10",
    "explain",
    "job",
    "lookup",
    "courts/k1",
    "stage",
    "night",
    ":",
    ",",
    "set",
    "class.a.priority",
    '"x',
    '"y"',
    "1e9",
    "-3",
    "true",
    "add",
    "class",
    "team",
    "break",
    "22:00-22:30",
    "(",
    "days",
    "[",
    "mon",
    "]",
    ")",
    "remove",
    "diff",
    "apply",
    "withdraw",
    "help",
    "[]",
    "007",
    "\\",
    "'ä",
    "\n",
    "\t",
    "limits.team_queue",
]


class TestParse(testtools.TestCase):
    """Guards against commands that are parsed with another meaning."""

    def test_documented_commands_are_parsed(self):
        conditions = (
            Condition("team", Op.EQ, "workshops"),
            Condition("age_s", Op.GT, 5),
        )
        expected = {
            "show running where team = workshops and age_s > 5 limit 3": (
                ShowWork(Listing.RUNNING, conditions, 3)
            ),
            "show staged": ShowTable(Table.STAGED),
            "explain job courts/a/b:1": ExplainJob("courts", "a/b:1"),
            "explain lookup show": ExplainLookup("show"),
            "stage n: set class.die_lookup.priority = 9,\n remove team x": (
                Stage(
                    "n",
                    (
                        EditRequest(
                            EditAction.SET, "class.die_lookup.priority", 9
                        ),
                        EditRequest(EditAction.REMOVE, "team.x"),
                    ),
                )
            ),
            "stage n: add class s (kind = batch, size.cores = 2.5)": Stage(
                "n",
                (
                    EditRequest(
                        EditAction.ADD,
                        "class.s",
                        {"kind": "batch", "size": {"cores": 2.5}},
                    ),
                ),
            ),
            "stage n: add break 23:00-01:00 (days = [sat, sun])": Stage(
                "n",
                (
                    EditRequest(
                        EditAction.ADD,
                        "break.23:00-01:00",
                        {"days": ["sat", "sun"]},
                    ),
                ),
            ),
        }
        for text, command in expected.items():
            self.assertThat(parse(text), Equals(Success(command)))

    def test_errors_report_line_and_column(self):
        expected = {
            "": ("1:1", "show"),
            "show runing": ("1:6", "running waiting refused finished"),
            "show running\n  were team = x": ("2:3", "where"),
            "show running where colour = 1": ("1:20", "work_class"),
            "show running where age_s = old": ("1:28", "a number"),
            "show running where age_s ~ 3": ("1:26", "<="),
            "show running limit 0": ("1:20", "1 to 1000"),
            "explain job k1": ("1:13", "TEAM/KEY"),
            "stage n: set clas.a.priority = 1": ("1:14", "class.NAME"),
            "stage n: set limits.team_queue 5": ("1:32", "="),
            "stage n: add team t (region = a, region = b)": (
                "1:34",
                "once",
            ),
            "stage n:": ("1:9", "add, remove, set"),
            "applyx": ("1:1", "apply"),
            "apply x y": ("1:9", "the end of the command"),
            'stage n: set team.a.region = "\\ud800"': ("1:30", "JSON"),
            "stage n: set team.a.weight = 1e999": ("1:30", "finite"),
        }
        for text, (where, accepted) in expected.items():
            failed = parse(text).failure()
            self.assertThat(failed.code, Equals(Code.BAD_COMMAND))
            self.assertThat((text, failed.field), Equals((text, where)))
            self.assertThat(failed.accepted, Contains(accepted))

    def test_text_that_is_too_long_is_refused_before_parsing(self):
        failed = parse("show running" + " " * MAX_TEXT_LENGTH).failure()
        self.assertThat(failed.accepted, Contains(str(MAX_TEXT_LENGTH)))

    def test_help_names_every_command_of_the_grammar(self):
        failed = parse("").failure()
        for word in failed.accepted.split(", "):
            self.assertThat(HELP, Contains(f"{word}"))

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(
        st.text(max_size=80)
        | st.lists(st.sampled_from(WORDS) | st.text(max_size=4)).map(" ".join)
    )
    def test_any_text_gives_a_command_or_a_problem(self, text):
        # Guards against a stack trace of the parser at the operator.
        outcome = parse(text)
        if isinstance(outcome, Failure):
            failed = outcome.failure()
            self.assertIsInstance(failed, Problem)
            self.assertThat(failed.code, Equals(Code.BAD_COMMAND))
            self.assertRegex(failed.field, r"^[0-9]+:[0-9]+$")
