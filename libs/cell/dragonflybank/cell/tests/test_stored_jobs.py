"""Tests of stored jobs of earlier and later versions."""

import testtools
from testtools.matchers import Equals

from dragonflybank.cell.jobs import decode_job, encode_record

# As the version before teams wrote it.
OLD_RECORD = (
    b'{"id":"5c0e7a21d94b36f8","queue":{"name":"q","host":"front","prefix":'
    b'"/q/","service":"s","priority":0,"objective_s":0.4,"slack":1.5,'
    b'"max_attempts":4,"advised":null,"version":7},"spec":"x","steps":'
    b'[{"count":2,"millicores":500}],"accepted_at":1786311452.5,'
    b'"start_at":0.0,"interval_s":0.0,"repeat":0}'
)


class TestStoredJob(testtools.TestCase):
    """Guards against accepted jobs that are lost by a change of version."""

    def test_record_of_an_earlier_version_has_no_team(self):
        job = decode_job(OLD_RECORD)
        self.assertThat(job.team, Equals(""))
        self.assertThat(job.queue.is_public, Equals(False))
        self.assertThat(decode_job(encode_record(job)), Equals(job))

    def test_fields_of_a_later_version_are_ignored(self):
        later = OLD_RECORD.replace(b'"spec"', b'"not_known":{"a":[1]},"spec"')
        self.assertThat(decode_job(later), Equals(decode_job(OLD_RECORD)))
