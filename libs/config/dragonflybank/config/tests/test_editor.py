"""Tests of the configuration editor over a store with faults."""

import asyncio

import testtools
from returns.result import Success
from testtools.matchers import Contains, Equals, HasLength

from dragonflybank.config.changes import EditAction, EditRequest
from dragonflybank.config.editor import ConfigEditor
from dragonflybank.config.tests.memory_store import (
    MemoryStore,
    WriteFault,
    no_wait,
)
from dragonflybank.config.tests.test_changes import CFG, CLOSED, OPEN
from dragonflybank.model.codes import Code

WEIGHT = "team.workshops.weight"


def set_to(path, value):
    return [EditRequest(EditAction.SET, path, value)]


async def make_editor():
    store = MemoryStore()
    editor = ConfigEditor(store, sleep=no_wait)
    (await editor.create(CFG)).unwrap()
    return store, editor


class TestConfigEditor(testtools.TestCase):
    """Guards against wrong reports to an operator when writes fail."""

    def run_with(self, steps):
        async def run():
            return await steps(*await make_editor())

        return asyncio.run(run())

    def test_staged_change_is_applied_and_removed(self):
        async def steps(store, editor):
            await editor.stage("w", "anna", set_to(WEIGHT, 2), now=OPEN)
            done = (await editor.apply("w", "ben", now=OPEN)).unwrap()
            cfg = (await editor.active_config()).unwrap()
            return done.generation, cfg.generation, await editor.list_staged()

        found = self.run_with(steps)
        self.assertThat(found, Equals((2, 2, Success(()))))

    def test_apply_retries_until_a_lost_answer_is_resolved(self):
        # Guards against reporting a change as refused that is in force.
        async def steps(store, editor):
            await editor.stage("w", "anna", set_to(WEIGHT, 2), now=OPEN)
            store.faults = [WriteFault.ANSWER_LOST] + [WriteFault.CALL_LOST] * 9
            done = (await editor.apply("w", "anna", now=OPEN)).unwrap()
            cfg = (await editor.active_config()).unwrap()
            return done.generation, cfg.generation, len(cfg.history)

        self.assertThat(self.run_with(steps), Equals((2, 2, 1)))

    def test_write_with_unknown_effect_is_retried_during_an_outage(self):
        # Guards against reporting a conflict or refusal while an earlier call
        # may still arrive.
        async def steps(store, editor):
            await editor.stage("w", "anna", set_to(WEIGHT, 2), now=OPEN)
            store.faults = [WriteFault.CALL_DELAYED] + [
                WriteFault.CALL_LOST
            ] * 300
            done = (await editor.apply("w", "anna", now=OPEN)).unwrap()
            (delayed,) = store.deliver_delayed()
            cfg = (await editor.active_config()).unwrap()
            return done.generation, cfg.generation, delayed.failure().code

        self.assertThat(self.run_with(steps), Equals((2, 2, Code.CAS_CONFLICT)))

    def test_delayed_call_does_not_restore_an_older_generation(self):
        async def steps(store, editor):
            await editor.stage("w", "anna", set_to(WEIGHT, 2), now=OPEN)
            store.faults = [WriteFault.CALL_DELAYED]
            await editor.apply("w", "anna", now=OPEN)
            await editor.stage("u", "anna", set_to(WEIGHT, 4), now=OPEN)
            await editor.apply("u", "anna", now=OPEN)
            (delayed,) = store.deliver_delayed()
            cfg = (await editor.active_config()).unwrap()
            return delayed.failure().code, cfg.generation, cfg.teams[0].weight

        self.assertThat(
            self.run_with(steps), Equals((Code.CAS_CONFLICT, 3, 4.0))
        )

    def test_lost_answer_is_resolved_after_another_change(self):
        # Guards against applying a change twice when its answer was lost and
        # another change has replaced the stored value since.
        async def steps(store, editor):
            other = ConfigEditor(store, sleep=no_wait)
            await editor.stage("w", "anna", set_to(WEIGHT, 2), now=OPEN)
            await other.stage(
                "q", "ben", set_to("limits.team_queue", 7), now=OPEN
            )
            store.faults = [WriteFault.ANSWER_LOST]
            task = asyncio.create_task(editor.apply("w", "anna", now=OPEN))

            async def race():
                (await other.apply("q", "ben", now=OPEN)).unwrap()

            original, count = store.put, 0

            async def put(key, value, *, version):
                nonlocal count
                count += 1
                if count == 2:
                    await race()
                return await original(key, value, version=version)

            store.put = put
            done = (await task).unwrap()
            cfg = (await editor.active_config()).unwrap()
            return done.generation, [each.name for each in cfg.history]

        self.assertThat(self.run_with(steps), Equals((2, ["w", "q"])))

    def test_concurrent_changes_of_different_paths_both_succeed(self):
        async def steps(store, editor):
            other = ConfigEditor(store, sleep=no_wait)
            await editor.stage("w", "anna", set_to(WEIGHT, 2), now=OPEN)
            await other.stage(
                "q", "ben", set_to("limits.team_queue", 7), now=OPEN
            )

            async def race():
                (await other.apply("q", "ben", now=OPEN)).unwrap()

            store.before_put = race
            done = (await editor.apply("w", "anna", now=OPEN)).unwrap()
            return done.generation, (
                await editor.active_config()
            ).unwrap().generation

        self.assertThat(self.run_with(steps), Equals((3, 3)))

    def test_concurrent_change_of_the_same_path_names_the_winner(self):
        async def steps(store, editor):
            other = ConfigEditor(store, sleep=no_wait)
            await editor.stage("w", "anna", set_to(WEIGHT, 2), now=OPEN)
            await other.stage("v", "ben", set_to(WEIGHT, 3), now=OPEN)

            async def race():
                (await other.apply("v", "ben", now=OPEN)).unwrap()

            store.before_put = race
            return (await editor.apply("w", "anna", now=OPEN)).failure()

        failed = self.run_with(steps)
        self.assertThat(failed.code, Equals(Code.CHANGE_CONFLICT))
        self.assertThat(failed.detail, Contains("ben set"))
        self.assertThat(failed.detail, Contains("generation 2 is in force"))

    def test_change_applied_by_two_operators_is_applied_once(self):
        async def steps(store, editor):
            other = ConfigEditor(store, sleep=no_wait)
            await editor.stage("w", "anna", set_to(WEIGHT, 2), now=OPEN)

            async def race():
                (await other.apply("w", "ben", now=OPEN)).unwrap()

            store.before_put = race
            first = (await editor.apply("w", "anna", now=OPEN)).unwrap()
            again = (await editor.apply("w", "anna", now=OPEN)).unwrap()
            cfg = (await editor.active_config()).unwrap()
            return first.generation, again.generation, cfg.generation

        self.assertThat(self.run_with(steps), Equals((2, 2, 2)))

    def test_apply_outside_the_break_changes_nothing(self):
        async def steps(store, editor):
            await editor.stage("w", "anna", set_to(WEIGHT, 2), now=CLOSED)
            failed = (await editor.apply("w", "anna", now=CLOSED)).failure()
            staged = (await editor.list_staged()).unwrap()
            return (
                failed.code,
                len(staged),
                (await editor.active_config()).unwrap(),
            )

        found = self.run_with(steps)
        self.assertThat(found, Equals((Code.BREAK_CLOSED, 1, CFG)))

    def test_outage_without_effect_is_reported_as_refused(self):
        async def steps(store, editor):
            await editor.stage("w", "anna", set_to(WEIGHT, 2), now=OPEN)
            store.faults = [WriteFault.REFUSED] * 20
            failed = (await editor.apply("w", "anna", now=OPEN)).failure()
            return failed.code, (
                await editor.active_config()
            ).unwrap().generation

        self.assertThat(
            self.run_with(steps), Equals((Code.STORE_UNAVAILABLE, 1))
        )

    def test_only_the_author_may_replace_a_staged_change(self):
        # Guards against a change that another operator replaces between diff
        # and apply.
        async def steps(store, editor):
            await editor.stage("w", "anna", set_to(WEIGHT, 2), now=OPEN)
            await editor.stage("w", "anna", set_to(WEIGHT, 3), now=OPEN)
            failed = await editor.stage("w", "ben", set_to(WEIGHT, 4), now=OPEN)
            return failed.failure().code, (await editor.list_staged()).unwrap()

        code, staged = self.run_with(steps)
        self.assertThat(code, Equals(Code.CHANGE_CONFLICT))
        self.assertThat(staged[0].edits[0].new, Equals(3))

    def test_stage_and_withdraw_retry_after_lost_answers(self):
        async def steps(store, editor):
            store.faults = [WriteFault.ANSWER_LOST, WriteFault.CALL_LOST]
            made = await editor.stage("w", "anna", set_to(WEIGHT, 2), now=OPEN)
            listed = (await editor.list_staged()).unwrap()
            store.faults = [WriteFault.ANSWER_LOST, WriteFault.CALL_LOST]
            gone = await editor.withdraw("w")
            return made, listed, gone, (await editor.list_staged()).unwrap()

        made, listed, gone, left = self.run_with(steps)
        self.assertThat(listed, Equals((made.unwrap(),)))
        self.assertThat((gone, left), Equals((made, ())))

    def test_create_is_refused_if_a_configuration_exists(self):
        async def steps(store, editor):
            return (await editor.create(CFG)).failure().code

        self.assertThat(self.run_with(steps), Equals(Code.CHANGE_CONFLICT))

    def test_failure_for_an_unknown_change_lists_the_staged_changes(self):
        async def steps(store, editor):
            await editor.stage("w", "anna", set_to(WEIGHT, 2), now=OPEN)
            names = ("x", "../active")
            return [(await editor.diff(name)).failure() for name in names]

        failed = self.run_with(steps)
        self.assertThat(failed, HasLength(2))
        self.assertThat(failed[0].accepted, Equals("w"))
