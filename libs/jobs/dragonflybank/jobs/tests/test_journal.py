"""Tests of group commits, store faults and fencing of the journal."""

import asyncio

from dragonflybank.jobs.journal import Journal
from dragonflybank.jobs.tests import fakes
from dragonflybank.jobs.transitions import new_entry, request_cancel
from dragonflybank.model.codes import Code
from dragonflybank.model.work import WorkClass

KEY = ("courts", "k")


def entry_of(key="k"):
    return new_entry(fakes.make_spec(key), WorkClass("sweep"), 1.0)


async def open_journal(store, host="h1", sleep=fakes.no_sleep):
    journal = Journal(store, "oulu/0", host, sleep=sleep)
    (await journal.open(0.0)).unwrap()
    return journal


async def read_after_takeover(store):
    return (await open_journal(store, "h2")).table.settled(KEY)


class TestGroupCommit(fakes.AsyncTestCase):
    """Guards against a rate of store writes that grows with the load."""

    async def test_changes_during_a_write_share_the_next_one(self):
        store = fakes.FakeStore()
        journal = await open_journal(store)
        store.faults.append("slow")
        changes = [
            asyncio.create_task(journal.commit(entry_of(str(n)), now=1.0))
            for n in range(50)
        ]
        await fakes.wait_until(lambda: len(store.writes) == 2)
        changes.append(
            asyncio.create_task(journal.commit(entry_of("last"), now=2.0))
        )
        await asyncio.sleep(0)
        self.assertIs(None, journal.table.settled(("courts", "0")))
        store.gate.set()
        outcomes = await asyncio.gather(*changes)
        self.assertEqual([None] * 51, [o.unwrap() for o in outcomes])
        self.assertEqual(3, len(store.writes))

    async def test_writes_wait_for_the_interval(self):
        store, gate, waits = fakes.FakeStore(), asyncio.Event(), []

        async def sleep(seconds):
            waits.append(seconds)
            await gate.wait()

        journal = await open_journal(store, sleep=sleep)
        await journal.commit(entry_of("a"), now=1.0)
        second = asyncio.create_task(journal.commit(entry_of("b"), now=1.0))
        for _ in range(20):
            await asyncio.sleep(0)
        self.assertEqual((2, 0.1), (len(store.writes), waits[0]))
        gate.set()
        await second
        self.assertEqual(3, len(store.writes))


class TestStoreFaults(fakes.AsyncTestCase):
    """Guards against a wrong answer about the outcome of a write."""

    async def test_write_without_effect_is_reverted(self):
        store = fakes.FakeStore()
        journal = await open_journal(store)
        store.mode = "down"
        outcome = await journal.commit(entry_of(), now=1.0)
        self.assertEqual(Code.STORE_UNAVAILABLE, fakes.code_of(outcome))
        self.assertIs(None, journal.table.latest(KEY))
        store.mode = "ok"
        (await journal.commit(entry_of("other"), now=2.0)).unwrap()
        self.assertIs(None, await read_after_takeover(store))

    async def test_writes_with_lost_answers_are_settled(self):
        for faults in (["effect"], ["lost"], ["late"], ["lost", "effect"]):
            store = fakes.FakeStore()
            journal = await open_journal(store)
            store.faults.extend(faults)
            (await journal.commit(entry_of(), now=1.0)).unwrap()
            store.deliver_late()
            (await journal.commit(entry_of("b"), now=2.0)).unwrap()
            self.assertEqual(
                entry_of(), await read_after_takeover(store), str(faults)
            )

    async def test_unsettled_write_is_never_reported_as_not_made(self):
        store = fakes.FakeStore()
        journal = await open_journal(store)
        store.mode = "late"
        changed = request_cancel(entry_of(), 2.0)
        outcomes = [
            await journal.commit(entry_of(), now=1.0),
            await journal.wait_settled(KEY),
            await journal.commit(changed, now=2.0),
            await journal.commit(entry_of("b"), now=2.0),
        ]
        unsettled = [Code.WRITE_UNSETTLED] * 3
        self.assertEqual(
            [*unsettled, Code.STORE_UNAVAILABLE],
            [fakes.code_of(outcome) for outcome in outcomes],
        )
        store.deliver_late()
        store.mode = "ok"
        await fakes.wait_until(lambda: not journal.is_stalled)
        self.assertTrue(journal.is_open)
        self.assertEqual(entry_of(), await read_after_takeover(store))

    async def test_change_after_an_unsettled_write_is_reverted_alone(self):
        store = fakes.FakeStore()
        journal = await open_journal(store)
        store.faults.extend(["lost"] * 4)
        first = asyncio.create_task(journal.commit(entry_of(), now=1.0))
        await fakes.wait_until(lambda: len(store.writes) > 1)
        changed = request_cancel(entry_of(), 2.0)
        later = asyncio.create_task(journal.commit(changed, now=2.0))
        self.assertEqual(Code.WRITE_UNSETTLED, fakes.code_of(await first))
        self.assertEqual(Code.STORE_UNAVAILABLE, fakes.code_of(await later))
        await fakes.wait_until(lambda: not journal.is_stalled)
        self.assertEqual(entry_of(), journal.table.latest(KEY))
        self.assertEqual(entry_of(), await read_after_takeover(store))


class TestFencing(fakes.AsyncTestCase):
    """Guards against two homes that change the same shard."""

    async def test_write_of_a_former_home_is_rejected(self):
        store = fakes.FakeStore()
        former = await open_journal(store)
        await former.commit(entry_of(), now=1.0)
        present = await open_journal(store, "h2")
        outcomes = await asyncio.gather(
            *(former.commit(entry_of(str(n)), now=2.0) for n in range(9))
        )
        self.assertEqual({Code.NOT_HOME}, {fakes.code_of(o) for o in outcomes})
        self.assertEqual((False, True), (former.is_open, present.is_open))
        self.assertEqual([], list(former.table.items()))

    async def test_unsettled_write_before_a_takeover_stays_unsettled(self):
        # The late request takes effect before the takeover, so the new home
        # reads it.
        store, gate = fakes.FakeStore(), asyncio.Event()

        async def sleep(seconds):
            if len(store.writes) > 4:
                await gate.wait()

        former = await open_journal(store, sleep=sleep)
        store.mode = "late"
        first = await former.commit(entry_of(), now=1.0)
        await fakes.wait_until(lambda: len(store.writes) > 4)
        store.deliver_late()
        store.mode = "ok"
        self.assertEqual(entry_of(), await read_after_takeover(store))
        gate.set()
        await fakes.wait_until(lambda: not former.is_open)
        self.assertEqual(Code.WRITE_UNSETTLED, fakes.code_of(first))

    async def test_release_without_an_answer_ends_after_a_takeover(self):
        # The former home tried again for good, and never opened the shard.
        store = fakes.FakeStore()
        former = await open_journal(store)
        store.faults.append("lost")
        await former.release(2.0)
        present = await open_journal(store, "h2")
        (await present.commit(entry_of(), now=3.0)).unwrap()
        self.assertTrue(await former.release(4.0))
        self.assertEqual((False, True), (former.is_open, present.is_open))

    async def test_recently_written_shard_is_not_taken_over(self):
        store = fakes.FakeStore()
        await open_journal(store)
        other = Journal(store, "oulu/0", "h2", sleep=fakes.no_sleep)
        early = await other.open(59.0, min_idle_s=60.0)
        self.assertEqual(Code.NOT_HOME, fakes.code_of(early))
        (await other.open(61.0, min_idle_s=60.0)).unwrap()

    async def test_released_shard_is_taken_over_at_once(self):
        store = fakes.FakeStore()
        former = await open_journal(store)
        waiting = asyncio.create_task(former.commit(entry_of(), now=1.0))
        await asyncio.sleep(0)
        await former.close(2.0)
        other = Journal(store, "oulu/0", "h2", sleep=fakes.no_sleep)
        (await other.open(3.0, min_idle_s=60.0)).unwrap()
        (await waiting).unwrap()
        self.assertEqual(entry_of(), other.table.settled(KEY))
