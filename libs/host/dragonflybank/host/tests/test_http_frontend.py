"""Tests of callers' requests with fields that are no sound numbers."""

import testtools
from returns.result import Failure
from testtools.matchers import Equals, IsInstance

from dragonflybank.host.http_frontend import _decode_job_spec, _decode_lookup
from dragonflybank.model.codes import Code
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import WorkClass, WorkKind

LOOKUP = {"team": "t", "work_class": "c", "payload": ""}
PATH = {"team": "t", "key": "k"}
BATCH = WorkClass("sweep", WorkKind.BATCH, size=Resources())


class TestOddNumbers(testtools.TestCase):
    """Guards against a request that raises an exception in its handler."""

    def test_timeout_that_is_no_number_is_refused(self):
        for value in (True, "5", -1, [], float("nan")):
            got = _decode_lookup({**LOOKUP, "timeout_ms": value})
            self.assertThat(got, IsInstance(Failure), repr(value))

    def test_job_fields_that_are_no_numbers_are_refused_by_name(self):
        for name, values in (
            ("tasks", (True, 0, 1.5, "2", None)),
            ("expected_s", ("soon", [], -1, True, 1e300, float("nan"))),
        ):
            for value in values:
                got = _decode_job_spec(PATH, {name: value}, BATCH)
                self.assertThat(got, IsInstance(Failure), repr(value))
                self.assertThat(got.failure().code, Equals(Code.BAD_REQUEST))
                self.assertThat(got.failure().field, Equals(name))
