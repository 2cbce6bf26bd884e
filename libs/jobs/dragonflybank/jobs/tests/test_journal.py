"""Tests of group commits and of the store's faults."""

import asyncio

import testtools
from testtools.matchers import Equals, HasLength, Is, LessThan

from dragonflybank.jobs.journal import Journal
from dragonflybank.jobs.tests.fakes import FakeStore, no_sleep, spec_of, until
from dragonflybank.jobs.transitions import accepted_entry, request_cancel
from dragonflybank.model.codes import Code
from dragonflybank.model.work import WorkClass

KEY = ("courts", "k")


def entry_of(key="k"):
    return accepted_entry(spec_of(key), WorkClass("sweep"), 1.0)


async def opened(store, host="h1", sleep=no_sleep):
    journal = Journal(store, "oulu/0", host, sleep=sleep)
    (await journal.open(0.0)).unwrap()
    return journal


async def reopened(store):
    return (await opened(store, "h2")).table.settled(KEY)


def code_of(outcome):
    return outcome.failure().code


class TestGroupCommit(testtools.TestCase):
    """Guards against store writes that grow with the load."""

    def test_changes_during_a_write_share_the_next_one(self):
        async def run():
            store = FakeStore()
            journal = await opened(store)
            outcomes = await asyncio.gather(
                *(journal.commit(entry_of(str(n)), now=1.0) for n in range(50))
            )
            return outcomes, store.writes

        outcomes, writes = asyncio.run(run())
        self.assertThat([o.unwrap() for o in outcomes], Equals([None] * 50))
        self.assertThat(len(writes), LessThan(4))

    def test_writes_wait_for_the_interval(self):
        async def run():
            store, gate, waits = FakeStore(), asyncio.Event(), []

            async def sleep(seconds):
                waits.append(seconds)
                await gate.wait()

            journal = await opened(store, sleep=sleep)
            await journal.commit(entry_of("a"), now=1.0)
            second = asyncio.create_task(journal.commit(entry_of("b"), now=1.0))
            for _ in range(20):
                await asyncio.sleep(0)
            before = len(store.writes)
            gate.set()
            await second
            return before, len(store.writes), waits[0]

        self.assertThat(asyncio.run(run()), Equals((2, 3, 0.1)))


class TestStoreFaults(testtools.TestCase):
    """Guards against an untrue answer about a write."""

    def test_write_without_effect_is_taken_back(self):
        async def run():
            store = FakeStore()
            journal = await opened(store)
            store.mode = "down"
            outcome = await journal.commit(entry_of(), now=1.0)
            latest = journal.table.latest(KEY)
            store.mode = "ok"
            again = await journal.commit(entry_of("other"), now=2.0)
            return outcome, latest, again, await reopened(store)

        outcome, latest, again, found = asyncio.run(run())
        self.assertThat(code_of(outcome), Equals(Code.STORE_UNAVAILABLE))
        self.assertThat((latest, found), Equals((None, None)))
        self.assertThat(again.unwrap(), Is(None))

    def test_lost_answers_are_settled(self):
        for faults in (["effect"], ["lost"], ["late"], ["lost", "effect"]):

            async def run(faults=faults):
                store = FakeStore()
                journal = await opened(store)
                store.faults.extend(faults)
                outcome = await journal.commit(entry_of(), now=1.0)
                store.deliver()
                second = await journal.commit(entry_of("b"), now=2.0)
                return outcome, second, await reopened(store)

            outcome, second, found = asyncio.run(run())
            self.assertThat(outcome.unwrap(), Is(None), str(faults))
            self.assertThat(second.unwrap(), Is(None), str(faults))
            self.assertThat(found, Equals(entry_of()), str(faults))

    def test_unsettled_write_is_never_refused_as_not_made(self):
        async def run():
            store = FakeStore()
            journal = await opened(store)
            store.mode = "late"
            first = await journal.commit(entry_of(), now=1.0)
            changed = request_cancel(entry_of(), 2.0)
            codes = [
                code_of(first),
                code_of(await journal.settle(KEY)),
                code_of(await journal.commit(changed, now=2.0)),
                code_of(await journal.commit(entry_of("b"), now=2.0)),
            ]
            store.deliver()
            store.mode = "ok"
            await until(lambda: not journal.is_stalled)
            return codes, journal.is_open, await reopened(store)

        codes, is_open, found = asyncio.run(run())
        unsettled = Code.WRITE_UNSETTLED
        self.assertThat(
            codes, Equals([unsettled] * 3 + [Code.STORE_UNAVAILABLE])
        )
        self.assertThat(is_open, Is(True))
        self.assertThat(found, Equals(entry_of()))

    def test_change_behind_an_unsettled_write_is_taken_back_alone(self):
        async def run():
            store = FakeStore()
            journal = await opened(store)
            store.faults.extend(["lost"] * 4)
            first = asyncio.create_task(journal.commit(entry_of(), now=1.0))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            later = asyncio.create_task(
                journal.commit(request_cancel(entry_of(), 2.0), now=2.0)
            )
            codes = code_of(await first), code_of(await later)
            await until(lambda: not journal.is_stalled)
            return codes, journal.table.latest(KEY), await reopened(store)

        codes, latest, found = asyncio.run(run())
        self.assertThat(
            codes, Equals((Code.WRITE_UNSETTLED, Code.STORE_UNAVAILABLE))
        )
        self.assertThat((latest, found), Equals((entry_of(), entry_of())))


class TestFence(testtools.TestCase):
    """Guards against two homes that both change a shard."""

    def test_former_home_loses_the_shard(self):
        async def run():
            store = FakeStore()
            former = await opened(store)
            await former.commit(entry_of(), now=1.0)
            present = await opened(store, "h2")
            outcomes = await asyncio.gather(
                *(former.commit(entry_of(str(n)), now=2.0) for n in range(9))
            )
            return outcomes, former, present

        outcomes, former, present = asyncio.run(run())
        codes = {code_of(outcome) for outcome in outcomes}
        self.assertThat(codes, Equals({Code.NOT_HOME}))
        self.assertThat(
            (former.is_open, present.is_open), Equals((False, True))
        )
        self.assertThat(list(former.table.items()), HasLength(0))

    def test_write_lost_to_another_home_stays_unsettled(self):
        # The late write came first and the new home read it.
        async def run():
            store, gate = FakeStore(), asyncio.Event()

            async def sleep(seconds):
                if len(store.writes) > 4:
                    await gate.wait()

            former = await opened(store, sleep=sleep)
            store.mode = "late"
            first = await former.commit(entry_of(), now=1.0)
            await until(lambda: len(store.writes) > 4)
            store.deliver()
            store.mode = "ok"
            found = await reopened(store)
            gate.set()
            await until(lambda: not former.is_open)
            return code_of(first), found

        self.assertThat(
            asyncio.run(run()), Equals((Code.WRITE_UNSETTLED, entry_of()))
        )

    def test_shard_written_recently_is_left_to_its_home(self):
        async def run():
            store = FakeStore()
            await opened(store)
            other = Journal(store, "oulu/0", "h2", sleep=no_sleep)
            early = await other.open(59.0, min_idle_s=60.0)
            return code_of(early), (await other.open(61.0, min_idle_s=60.0))

        early, late = asyncio.run(run())
        self.assertThat(early, Equals(Code.NOT_HOME))
        self.assertThat(late.unwrap(), Is(None))

    def test_released_shard_is_taken_at_once(self):
        async def run():
            store = FakeStore()
            former = await opened(store)
            waiting = asyncio.create_task(former.commit(entry_of(), now=1.0))
            await asyncio.sleep(0)
            await former.close(2.0)
            other = Journal(store, "oulu/0", "h2", sleep=no_sleep)
            (await other.open(3.0, min_idle_s=60.0)).unwrap()
            return (await waiting).unwrap(), other.table.settled(KEY)

        self.assertThat(asyncio.run(run()), Equals((None, entry_of())))
