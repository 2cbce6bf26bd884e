"""Tests of docs/fault-matrix.md."""

import testtools
from testtools.matchers import Equals

from dragonflybank.bench.matrix import page


class TestPage(testtools.TestCase):
    """Guards against a page that lists other cells than the test runs."""

    def test_page_is_generated_from_the_table(self):
        text = page.PAGE.read_text()
        self.assertThat(text, Equals(page.render()))

    def test_named_tests_exist(self):
        for proof in page.PROOFS:
            path, name = proof.broken_test.split("::")[0::2]
            source = (page.ROOT / path).read_text()
            self.assertIn(f"def {name}(", source)
