"""Tests of the logs that a failed test leaves behind."""

import logging
import pathlib
import tempfile

import testtools
from testtools.matchers import Contains, Equals

from dragonflybank.standins import kept_logs


def _make_test(*, does_fail: bool) -> testtools.TestCase:
    # A class in a function is not collected as a test of its own.
    class Played(testtools.TestCase):
        def runTest(self):  # noqa: N802
            kept_logs.keep_logs_on_failure(self, more_lines=lambda: ["5 of 6"])
            log = logging.getLogger("dragonflybank.model")
            log.info("started", extra={"job": "k1"})
            if does_fail:
                raise TimeoutError("the job is pending")

    return Played()


class TestKeptLogs(testtools.TestCase):
    """Guards against a rare failure that leaves nothing to trace it by."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.patch(kept_logs, "LOGS", self.folder)

    def test_a_failure_names_the_file_with_the_log(self):
        result = testtools.TestResult()
        _make_test(does_fail=True).run(result)
        (path,) = self.folder.iterdir()
        text = path.read_text()
        for part in ("started {'job': 'k1'}", "TimeoutError", "5 of 6"):
            self.assertThat(text, Contains(part))
        self.assertThat(result.errors[0][1], Contains(str(path)))

    def test_nothing_is_left_after_a_pass(self):
        before = list(logging.getLogger("dragonflybank").handlers)
        _make_test(does_fail=False).run(testtools.TestResult())
        self.assertThat(list(self.folder.iterdir()), Equals([]))
        self.assertThat(
            logging.getLogger("dragonflybank").handlers, Equals(before)
        )
