"""Tests of the decision whether a key admits a call."""

import logging

import attrs
import testtools
from returns.result import Success
from testtools.matchers import Equals

from dragonflybank.cell.authorization import Authorizer, RefusalLog
from dragonflybank.cell.jobs import CellConfig, Queue
from dragonflybank.cell.metrics import CellMetrics
from dragonflybank.cell.teams import Team, key_digest
from dragonflybank.model.codes import Code

QUEUE = Queue("q", "front", "/q/", "s", 0, 0.4, 1.5, 4)


def config(version: int, **keys: tuple[str, ...]) -> CellConfig:
    teams = {
        name: Team(name, tuple(map(key_digest, found)))
        for name, found in keys.items()
    }
    return CellConfig(version, {"front": (QUEUE,)}, {}, teams=teams)


class TestAuthorizer(testtools.TestCase):
    """Guards against calls that run with a key that no team has."""

    def test_key_gives_the_team_and_others_are_refused(self):
        authorizer, cfg = Authorizer(), config(1, a=("k1", "k2"), b=("k3",))
        for key, team in (("k1", "a"), ("k2", "a"), ("k3", "b")):
            got = authorizer.authorize(cfg, QUEUE, key)
            self.assertThat(got, Equals(Success(team)))
        for key in ("", "k", "K1", "k1 ", "x" * 100_000, "\udcff", "\u00e4"):
            code = authorizer.authorize(cfg, QUEUE, key).failure().code
            self.assertThat(code, Equals(Code.UNKNOWN_KEY))

    def test_no_key_is_needed_without_teams_or_for_a_public_queue(self):
        public = attrs.evolve(QUEUE, is_public=True)
        authorizer = Authorizer()
        for cfg, queue in ((config(1), QUEUE), (config(1, a=("k",)), public)):
            for key in ("", "k", "other"):
                got = authorizer.authorize(cfg, queue, key)
                self.assertThat(got, Equals(Success("")))

    def test_each_configuration_is_used_from_its_first_call(self):
        authorizer = Authorizer()
        versions = (config(1, a=("k1",)), config(2, a=("k2",)), config(3))
        allowed = [
            isinstance(authorizer.authorize(cfg, QUEUE, key), Success)
            for cfg in versions
            for key in ("k1", "k2")
        ]
        self.assertThat(allowed, Equals([True, False, False, True, True, True]))


class TestRefusalLog(testtools.TestCase):
    """Guards against a log that is flooded by refused calls or shows keys."""

    def test_one_line_per_second_without_the_key(self):
        records = []
        handler = logging.Handler()
        handler.emit = records.append
        logger = logging.getLogger("dragonflybank.cell.authorization")
        logger.addHandler(handler)
        self.addCleanup(logger.removeHandler, handler)
        metrics = CellMetrics()
        log = RefusalLog("host-1", metrics)
        # The clock is set back at the end.
        for now in (10.0, 10.2, 10.9, 11.1, 5.0):
            log.record(QUEUE, "secret", "the key belongs to no team", now)
        shown = [(r.host, r.queue, r.digest, r.not_logged) for r in records]
        line = ("host-1", "q", key_digest("secret").hex()[:8])
        self.assertThat(shown, Equals([(*line, 0), (*line, 2), (*line, 0)]))
        self.assertThat("secret" in str(vars(records[0])), Equals(False))
        exposed = metrics.exposition().decode()
        self.assertIn("dragonflybank_keys_refused_total 5.0", exposed)
