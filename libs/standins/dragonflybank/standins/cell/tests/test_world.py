"""Plays cells in memory through the faults of the platform."""

import testtools
from testtools.matchers import Equals

from dragonflybank.standins.cell.plays import PLAYS, play_fault


class TestPlays(testtools.TestCase):
    """Guards against a fault that breaks a rule or loses a job."""


def _test_of(name: str, seed: int):
    def test(self):
        found = play_fault(name, seed)
        self.assertThat("\n".join(found), Equals(""))

    test.__doc__ = f"{PLAYS[name].__doc__} Seed {seed}."
    return test


for play_name in PLAYS:
    for each in (1,):
        setattr(
            TestPlays, f"test_{play_name}__{each}", _test_of(play_name, each)
        )
