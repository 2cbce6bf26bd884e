"""Tests of process settings."""

import json

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result
from testtools.matchers import Contains, Equals, MatchesListwise

from dragonflybank.config.settings import (
    Settings,
    check_settings,
    decode_settings,
    encode_settings,
    load_settings,
)
from dragonflybank.model.codes import Code, Problem

GOOD = {
    "name": "host-a",
    "region": "oulu",
    "store_url": "http://127.0.0.1:1",
    "vmlist_url": "http://127.0.0.1:2",
}


class TestSettings(testtools.TestCase):
    """Guards against a host that starts with unintended settings."""

    def test_defaults_match_the_design(self):
        cfg = decode_settings(json.dumps(GOOD)).unwrap()
        found = (
            cfg.intervals.hold_s,
            cfg.intervals.drain_s,
            cfg.lookup_reserve,
            cfg.shards_per_region,
        )
        self.assertThat(found, Equals((5.0, 30.0, 2, 8)))

    def test_all_faults_are_reported_at_once(self):
        # Guards against a host that reports only one fault at each start.
        document = {
            **GOOD,
            "name": 7,
            "store_url": "127.0.0.1",
            "seeds": [
                {"name": "b", "region": "oulu", "address": "b", "port": 9},
                {"name": "b", "region": "oulu", "address": "::1", "port": 9},
                {"name": "b", "region": "oulu", "address": "::1", "port": 0},
            ],
            "intervals": {"vmlist_s": "1", "hold_s": 0.001, "gossip_s": 1},
            "lookup_reserv": 3,
            "http": {"port": 70000},
            "shards_per_region": True,
        }
        fields = {each.field for each in check_settings(document)}
        self.assertThat(
            fields,
            Equals(
                {
                    "name",
                    "store_url",
                    "seeds[0].address",
                    "seeds[2].port",
                    "intervals.vmlist_s",
                    "intervals.hold_s",
                    "intervals.gossip_s",
                    "lookup_reserv",
                    "http.port",
                    "shards_per_region",
                }
            ),
        )

    def test_faults_of_single_and_of_several_fields_are_both_reported(self):
        seed = {"name": "b", "region": "oulu", "address": "::1", "port": 9}
        document = {**GOOD, "rack": 1, "seeds": [seed, seed]}
        fields = [each.field for each in check_settings(document)]
        self.assertThat(fields, Equals(["rack", "seeds[1].name"]))

    def test_problem_has_code_found_value_and_accepted_values(self):
        (found,) = check_settings({**GOOD, "http": {"port": 70000}})
        self.assertThat(
            [found.code, found.detail, found.accepted],
            MatchesListwise(
                [
                    Equals(Code.BAD_SETTINGS),
                    Contains("found 70000"),
                    Equals("a number from 0 to 65535"),
                ]
            ),
        )

    def test_missing_file_is_a_problem(self):
        failed = load_settings("/no/such/file.json").failure()
        self.assertThat(failed.code, Equals(Code.BAD_SETTINGS))

    def test_nan_is_refused(self):
        # Python's parser accepts NaN, which compares false with any limit.
        text = json.dumps({**GOOD, "price_per_mb": float("nan")})
        self.assertIsInstance(decode_settings(text), Failure)

    def test_repeated_field_is_refused(self):
        # Python's parser silently keeps the last one.
        text = json.dumps(GOOD)[:-1] + ', "name": "host-b"}'
        failed = decode_settings(text).failure()
        self.assertThat(failed.detail, Contains("'name' is given twice"))

    def test_encoded_settings_decode_to_the_same(self):
        cfg = Settings("a", "oulu", "http://s", "http://v")
        again = decode_settings(encode_settings(cfg)).unwrap()
        self.assertThat(again, Equals(cfg))

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
            lambda inner: (
                st.lists(inner)
                | st.dictionaries(
                    st.sampled_from(["name", "seeds", "intervals", "http"])
                    | st.text(),
                    inner,
                )
            ),
            max_leaves=10,
        )
    )
    def test_any_document_gives_settings_or_problems(self, document):
        # Guards against a stack trace in place of a list of faults.
        outcome = decode_settings(json.dumps(document))
        self.assertIsInstance(outcome, Result)
        if isinstance(outcome, Failure):
            self.assertIsInstance(outcome.failure(), Problem)
