"""Tests of store writes whose answer may be lost."""

import asyncio

import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals

from dragonflybank.model.codes import Code, failure
from dragonflybank.platform.store import ConfigStore, VersionedValue
from dragonflybank.platform.writes import CasWriter


class _ScriptedStore(ConfigStore):
    """A store of one key that answers writes as given by a list of steps.

    Steps: ``ok``, ``lost_answer`` (takes effect, then times out),
    ``lost_request`` (times out without effect), ``late`` (times out; the write
    takes effect after the next call) and ``down`` (refused).
    """

    def __init__(self, *steps):
        self.version = 0
        self.value = None
        self.writes = []
        self._steps = list(steps)
        self._late = []

    async def get(self, key):
        return Success(VersionedValue(self.version, self.value))

    async def put(self, key, value, *, version):
        step = self._steps.pop(0) if self._steps else "ok"
        if step == "down":
            return failure(Code.STORE_UNAVAILABLE)
        if step == "late":
            self._late.append((value, version))
            return failure(Code.TIMED_OUT)
        if step == "lost_request":
            return failure(Code.TIMED_OUT)
        outcome = self.write(value, version)
        for late in self._late:
            self.write(*late)
        self._late = []
        return failure(Code.TIMED_OUT) if step == "lost_answer" else outcome

    def write(self, value, version):
        if version != self.version:
            return failure(Code.CAS_CONFLICT)
        self.version += 1
        self.value = value
        self.writes.append(value)
        return Success(self.version)

    async def delete(self, key, *, version):
        raise NotImplementedError

    async def list_versions(self, prefix):
        raise NotImplementedError

    async def watch(self, key, *, after, wait_s):
        raise NotImplementedError


async def _no_sleep(_):
    pass


def _put(store, **kwargs):
    writer = CasWriter(store, sleep=_no_sleep)
    return asyncio.run(
        writer.put("k", b"mine", version=0, has_mark=b"mine".__eq__, **kwargs)
    )


class TestCasWriter(testtools.TestCase):
    """Guards against a wrong result of a write whose answer was lost.

    The store may have applied the write, may apply it later or may never have
    received it.
    """

    def test_write_with_lost_answer_is_recognised_by_its_mark(self):
        store = _ScriptedStore("lost_answer")
        self.assertThat(_put(store), Equals(Success(1)))
        self.assertThat(store.writes, Equals([b"mine"]))

    def test_write_takes_effect_once_if_its_first_request_is_late(self):
        store = _ScriptedStore("late")
        self.assertThat(_put(store), Equals(Success(1)))
        self.assertThat(store.writes, Equals([b"mine"]))

    def test_write_of_another_writer_is_reported_as_conflict(self):
        store = _ScriptedStore("lost_request")
        store.write(b"other", 0)
        outcome = _put(store)
        self.assertThat(outcome.failure().code, Equals(Code.CAS_CONFLICT))

    def test_write_that_may_have_been_replaced_is_unsettled(self):
        store = _ScriptedStore()
        store.write(b"mine", 0)
        store.write(b"other", 1)
        outcome = _put(store)
        self.assertThat(outcome.failure().code, Equals(Code.WRITE_UNSETTLED))

    def test_outage_is_unsettled_only_if_a_request_timed_out(self):
        down = _put(_ScriptedStore("down", "down"), attempts=2)
        lost = _put(_ScriptedStore("lost_request", "down"), attempts=2)
        self.assertThat(
            [down.failure().code, lost.failure().code],
            Equals([Code.STORE_UNAVAILABLE, Code.WRITE_UNSETTLED]),
        )
        self.assertIsInstance(down, Failure)
