"""Tests of the retry budget, backoff and quotas."""

import random

import testtools
from hypothesis import given
from hypothesis import strategies as st
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from dragonflybank.model.codes import Code
from dragonflybank.model.hashing import shards_of_team
from dragonflybank.policy import quotas, retries


class TestRetryLimits(testtools.TestCase):
    """Guards against retries that amplify an overload."""

    def test_retries_stay_within_a_tenth_of_the_requests(self):
        budget = retries.RetryBudget()
        sent = 0
        for _ in range(10_000):
            budget.on_request()
            sent += sum(budget.allow_retry() for _ in range(3))
        self.assertThat(sent, LessThan(1_000 + retries.RETRY_BURST + 1))
        self.assertThat(sent, GreaterThan(990))

    def test_backoff_differs_between_requests_that_failed_together(self):
        rng = random.Random(5)
        waits = {retries.backoff_s(4, rng) for _ in range(100)}
        self.assertThat(len(waits), Equals(100))

    def test_backoff_is_limited(self):
        wait_s = retries.backoff_s(10_000, random.Random(5))
        self.assertThat(wait_s, LessThan(retries.BACKOFF_MAX_S + 0.001))


class TestQuotas(testtools.TestCase):
    """Guards against quotas that are exceeded or lost in rounding."""

    @given(st.integers(0, 5000), st.integers(1, 50))
    def test_host_shares_add_up_to_the_quota(self, quota, count):
        hosts = [f"host-{i}" for i in range(count)]
        shares = [quotas.host_share(quota, host, hosts) for host in hosts]
        self.assertThat(sum(shares), Equals(quota))

    @given(st.integers(0, 500), st.integers(1, 8), st.text(max_size=5))
    def test_shard_shares_add_up_to_the_quota(self, max_running, parts, team):
        shards = shards_of_team(team, 8, team_shards=parts)
        shares = [quotas.shard_share(max_running, n, shards) for n in range(8)]
        self.assertThat(sum(shares), Equals(max_running))

    def test_exactly_the_share_of_a_host_is_admitted(self):
        quota = quotas.LookupQuota("a", 100, ["a", "b"], 0.0)
        times = [i / 1000 for i in range(10_000)]
        codes = [quota.admit(now) for now in times]
        admitted = sum(1 for c in codes if c.value_or(0) is None)
        # 10 s at 50 lookups per second plus the initial burst of 1 s.
        self.assertThat(admitted, Equals(549))
        failed = codes[-1].failure()
        self.assertThat(failed.code, Is(Code.OVER_QUOTA))
        self.assertThat(failed.retry_after_s, GreaterThan(0.0))

    def test_larger_share_after_a_host_death_adds_no_tokens(self):
        quota = quotas.LookupQuota("a", 100, ["a", "b"], 0.0)
        for _ in range(50):
            quota.admit(0.0)
        quota.update(100, ["a"], 0.0)
        self.assertThat(quota.share_per_s, Equals(100))
        self.assertThat(quota.admit(0.0).failure().code, Is(Code.OVER_QUOTA))

    def test_clock_that_steps_back_adds_no_tokens(self):
        quota = quotas.LookupQuota("a", 1, ["a"], 100.0)
        quota.admit(100.0)
        for now in (50.0, 100.0, 50.0, 100.0):
            outcome = quota.admit(now)
            self.assertThat(outcome.failure().code, Is(Code.OVER_QUOTA))
