"""Tests that compare the documentation with the code."""

import pathlib
from typing import get_args

import testtools
from returns.result import Failure
from testtools.matchers import Contains, Equals

from dragonflybank.cli.answers import EXIT_STATUS
from dragonflybank.config.changes import stage
from dragonflybank.config.operator import decode_operator_config
from dragonflybank.model.codes import Code, Problem, proves_not_run
from dragonflybank.model.work import Outcome, answer_for_problem
from dragonflybank.operators.commands import FIELD_TYPES, Command, Stage
from dragonflybank.operators.grammar import HELP, parse

DOCS = pathlib.Path(__file__).parents[5] / "docs"


def code_rows():
    lines = (DOCS / "result-codes.md").read_text().splitlines()
    cells = [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in lines
        if line.startswith("|")
    ]
    return {int(row[0]): row for row in cells if row[0].isdigit()}


class TestResultCodes(testtools.TestCase):
    """Guards against a table of result codes that differs from the code."""

    def test_table_lists_every_code_with_its_name(self):
        named = {number: row[1] for number, row in code_rows().items()}
        self.assertThat(named, Equals({int(c): c.name for c in Code}))

    def test_documented_outcomes_match_the_answers(self):
        expected = {
            int(code): answer_for_problem(Problem(code)).outcome
            for code in Code
            if code is not Code.OK
        }
        found = {n: row[2] for n, row in code_rows().items() if n}
        self.assertThat(found, Equals(expected))

    def test_codes_documented_as_not_run_prove_that_nothing_ran(self):
        found = {n for n, row in code_rows().items() if row[3] == "no"}
        expected = {int(code) for code in Code if proves_not_run(code)}
        self.assertThat(found, Equals(expected))

    def test_every_row_is_complete(self):
        for row in code_rows().values():
            self.assertThat((len(row), all(row)), Equals((6, True)))


class TestOperations(testtools.TestCase):
    """Guards against documentation of commands that do not exist."""

    def test_every_documented_command_is_valid(self):
        text = (DOCS / "OPERATIONS.md").read_text()
        block = text.split("```text\n")[1].split("```")[0]
        lines = block.splitlines()
        refused = [ln for ln in lines if isinstance(parse(ln), Failure)]
        self.assertThat(refused, Equals([]))
        commands = [parse(line).unwrap() for line in lines]
        kinds = {type(command) for command in commands}
        self.assertThat(kinds, Equals(set(get_args(Command))))
        path = DOCS.parent / "deployments" / "vandenbroucke" / "operator.json"
        cfg = decode_operator_config(path.read_text()).unwrap()
        staged = [
            stage(cfg, each.name, "anna", each.edits, change_id="", now=0.0)
            for each in commands
            if isinstance(each, Stage)
        ]
        refused = [each for each in staged if isinstance(each, Failure)]
        self.assertThat(refused, Equals([]))

    def test_fields_and_exit_statuses_are_documented(self):
        text = (DOCS / "OPERATIONS.md").read_text()
        for name in FIELD_TYPES:
            self.assertThat(text, Contains(f"`{name}`"))
            self.assertThat(HELP, Contains(name))
        for outcome in Outcome:
            row = f"| `{outcome}` | {EXIT_STATUS[outcome]} |"
            self.assertThat(text, Contains(row))
