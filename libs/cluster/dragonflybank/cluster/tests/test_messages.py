"""Tests of the messages and their codec."""

import testtools
from returns.result import Success
from testtools.matchers import Equals

from dragonflybank.cluster.messages import (
    REQUEST_TYPES,
    JobReply,
    RequestKind,
    decode_reply,
    encode_reply,
)
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import JobRecord, JobSpec, StartRecord


class TestCodec(testtools.TestCase):
    """Guards against messages that change when encoded and decoded."""

    def test_every_kind_has_a_request_class(self):
        kinds = {kind for kind, _ in REQUEST_TYPES.values()}
        self.assertThat(kinds, Equals(set(RequestKind)))

    def test_nested_record_is_equal_after_decoding(self):
        record = JobRecord(
            JobSpec("courts", "k", "sweep", payload="pöytä"),
            starts=(StartRecord("t", "w", 1 << 50, Resources(cores=2), 1.5),),
            problem=Problem(Code.SIZE_EXCEEDED, "memory"),
        )
        raw = encode_reply(Success(JobReply(record)))
        self.assertThat(
            decode_reply(raw, JobReply), Equals(Success(JobReply(record)))
        )

    def test_problem_is_equal_after_decoding(self):
        refused = failure(Code.NOT_HOME, "elsewhere", retry_after_s=1.0)
        raw = encode_reply(refused)
        self.assertThat(decode_reply(raw, JobReply), Equals(refused))

    def test_malformed_reply_leaves_the_outcome_open(self):
        for raw in (b"", b"\x93\x01", encode_reply(Success("text"))):
            reply = decode_reply(raw, JobReply)
            self.assertThat(reply.failure().code, Equals(Code.TIMED_OUT))
