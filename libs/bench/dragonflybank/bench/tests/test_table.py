"""Tests of the table of measures and of its command."""

import json
import pathlib
import tempfile

import testtools
from testtools.matchers import Contains, Equals, HasLength

from dragonflybank.bench import __main__ as command
from dragonflybank.bench.table import Better, Row, missed, render


def row(value, **kwargs):
    return Row("wait", "s", "tooling", value, **kwargs)


class TestTable(testtools.TestCase):
    """Guards against a missed bound that is reported as met."""

    def test_bound_is_judged_in_the_direction_of_the_measure(self):
        verdicts = [
            row(1.0, bound=1.2).verdict,
            row(1.2, bound=1.2).verdict,
            row(1.3, bound=1.2).verdict,
            row(1.3, bound=1.2, better=Better.HIGHER).verdict,
            row(1.1, bound=1.2, better=Better.HIGHER).verdict,
        ]
        expected = ["met", "met", "missed", "met", "missed"]
        self.assertThat(verdicts, Equals(expected))

    def test_figure_that_is_not_a_number_misses_its_bound(self):
        rows = [row(float("nan"), bound=1.2)]
        self.assertThat(missed(rows), HasLength(1))

    def test_without_bound_the_baseline_is_compared(self):
        verdicts = [row(v, baseline=2.0).verdict for v in (1.0, 2.0, 3.0)]
        self.assertThat(verdicts, Equals(["better", "equal", "worse"]))
        self.assertThat(row(1.0).verdict, Equals("-"))

    def test_columns_are_printed_with_their_verdict(self):
        self.assertThat(render([row(1.3, bound=1.2)]), Contains("missed"))


class TestMain(testtools.TestCase):
    """Guards against a run that hides a missed bound."""

    def run_main(self, *values, names=()):
        def measured():
            return [row(value, bound=1.2) for value in values]

        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "build" / "bench.json"
            code = command.main(names, benchmarks=[measured], path=path)
            body = json.loads(path.read_text()) if path.exists() else []
        return code, [item["verdict"] for item in body]

    def test_missed_bound_fails_the_run_and_is_written(self):
        found = self.run_main(1.0, 1.3)
        self.assertThat(found, Equals((1, ["met", "missed"])))

    def test_met_bounds_pass(self):
        self.assertThat(self.run_main(1.0), Equals((0, ["met"])))

    def test_unknown_name_is_not_a_pass(self):
        self.assertThat(self.run_main(1.0, names=["no"])[0], Equals(2))
