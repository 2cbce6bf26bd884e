"""Tests of the table of results and of the command that prints it."""

import json
import pathlib
import tempfile

import testtools
from testtools.matchers import Contains, Equals, HasLength

from dragonflybank.bench import __main__ as command
from dragonflybank.bench.table import Better, Row, missed_bounds, render_table


def make_row(value, **kwargs):
    return Row("wait", "s", "tooling", value, **kwargs)


class TestTable(testtools.TestCase):
    """Guards against a missed bound that is reported as met."""

    def test_bound_depends_on_the_direction_of_improvement(self):
        verdicts = [
            make_row(1.0, bound=1.2).verdict,
            make_row(1.2, bound=1.2).verdict,
            make_row(1.3, bound=1.2).verdict,
            make_row(1.3, bound=1.2, better=Better.HIGHER).verdict,
            make_row(1.1, bound=1.2, better=Better.HIGHER).verdict,
        ]
        expected = ["met", "met", "missed", "met", "missed"]
        self.assertThat(verdicts, Equals(expected))

    def test_nan_misses_its_bound(self):
        rows = [make_row(float("nan"), bound=1.2)]
        self.assertThat(missed_bounds(rows), HasLength(1))

    def test_value_without_bound_is_compared_with_the_baseline(self):
        verdicts = [make_row(v, baseline=2.0).verdict for v in (1.0, 2.0, 3.0)]
        self.assertThat(verdicts, Equals(["better", "equal", "worse"]))
        self.assertThat(make_row(1.0).verdict, Equals("-"))

    def test_printed_row_has_its_verdict(self):
        self.assertThat(
            render_table([make_row(1.3, bound=1.2)]), Contains("missed")
        )


class TestMain(testtools.TestCase):
    """Guards against an exit status that hides a missed bound."""

    def run_main(self, *values, names=()):
        def benchmark():
            return [make_row(value, bound=1.2) for value in values]

        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "build" / "bench.json"
            code = command.main(names, benchmarks=[benchmark], path=path)
            body = json.loads(path.read_text()) if path.exists() else []
        return code, [item["verdict"] for item in body]

    def test_missed_bound_sets_exit_status_1_and_is_written(self):
        found = self.run_main(1.0, 1.3)
        self.assertThat(found, Equals((1, ["met", "missed"])))

    def test_met_bounds_set_exit_status_0(self):
        self.assertThat(self.run_main(1.0), Equals((0, ["met"])))

    def test_unknown_name_sets_exit_status_2(self):
        self.assertThat(self.run_main(1.0, names=["no"])[0], Equals(2))
