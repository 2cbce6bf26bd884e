"""Tests of rendezvous hashing."""

import testtools
from testtools.matchers import Equals

from dragonflybank.model.hashing import rank_members


class TestRankMembers(testtools.TestCase):
    """Guards against a membership change that moves unrelated keys."""

    def test_removing_a_member_moves_only_its_keys(self):
        members = [f"host-{i}" for i in range(6)]
        keys = [f"worker-{i}" for i in range(200)]
        before = {key: rank_members(key, members)[0] for key in keys}
        after = {key: rank_members(key, members[1:])[0] for key in keys}
        moved = {before[key] for key in keys if before[key] != after[key]}
        self.assertThat(moved, Equals({members[0]}))
