"""Tests of answers and outcomes."""

import testtools
from testtools.matchers import Equals

from dragonflybank.model.codes import Code, Problem
from dragonflybank.model.work import Answer, Outcome, answer_for_problem


class TestAnswers(testtools.TestCase):
    """Guards against an answer that claims more than is proved."""

    def test_lost_answer_is_never_reported_as_not_run(self):
        outcomes = {
            answer_for_problem(Problem(code)).outcome
            for code in Code
            if code >= Code.ANSWER_LOST
        }
        self.assertThat(outcomes, Equals({Outcome.UNKNOWN, Outcome.FAILED}))

    def test_length_counts_bytes_not_characters(self):
        self.assertThat(Answer.from_result("pöytä").length, Equals(7))
