"""Tests of entries and replies that do not show that attempts are over."""

import asyncio

import attrs
import testtools
from testtools.matchers import Equals, Not

from dragonflybank.standins.cell.simulated_cell import (
    SimulatedCell,
    SubmissionLoad,
)
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time

ELSEWHERE = "10.9.9.9:80"


class TestForeignEntries(testtools.TestCase):
    """Guards against tasks that are started again while they run (TWICE)."""

    def _after(self, act, *, is_answered: bool = True) -> tuple[bool, object]:
        """Acts on an executor that runs attempts.

        Args:
            act: Gets the fleet and the executor.
            is_answered: Whether the executor has answered this leader.

        Returns:
            Whether all its attempts still count as running, and the executor.
        """

        async def main():
            cell = SimulatedCell(1)
            await cell.start()
            running = asyncio.create_task(cell.run_load(SubmissionLoad()))
            await asyncio.sleep(6.0)
            fleet = cell.hosts[cell.leader()].leader.fleet
            executor = max(
                fleet.executors.values(), key=lambda e: len(e.attempts)
            )
            before = dict(executor.attempts)
            self.assertThat(before, Not(Equals({})))
            if not is_answered:
                executor.answered_incarnation = 0
                executor.claimed = False
            act(fleet, executor)
            kept = executor.attempts == before
            running.cancel()
            return kept, executor

        return run_in_virtual_time(main())

    def _entry(self, executor, **changes):
        return attrs.evolve(executor.info, **changes)

    def test_an_entry_at_another_address_is_not_used(self):
        for changes in ({}, {"service": "archive", "incarnation": 99}):
            kept, executor = self._after(
                lambda fleet, e, c=changes: fleet.on_listed(
                    self._entry(e, address=ELSEWHERE, **c)
                )
            )
            self.assertThat(kept, Equals(True))
            self.assertThat(executor.is_listed, Equals(False))
            self.assertThat(executor.info.address, Not(Equals(ELSEWHERE)))

    def test_its_own_entry_puts_an_executor_back_into_use(self):
        def act(fleet, executor):
            own = executor.info
            fleet.on_listed(self._entry(executor, address=ELSEWHERE))
            fleet.on_listed(own)

        kept, executor = self._after(act)
        self.assertThat((kept, executor.is_listed), Equals((True, True)))

    def test_a_newer_incarnation_at_its_address_is_left_to_its_reply(self):
        kept, executor = self._after(
            lambda fleet, e: fleet.on_listed(self._entry(e, incarnation=99))
        )
        self.assertThat(kept, Equals(True))
        self.assertThat(executor.info.incarnation, Equals(1))

    def test_a_newer_incarnation_elsewhere_ends_its_attempts(self):
        kept, executor = self._after(
            lambda fleet, e: fleet.on_listed(
                self._entry(e, incarnation=2, address=ELSEWHERE)
            )
        )
        self.assertThat(kept, Equals(False))
        self.assertThat(executor.info.address, Equals(ELSEWHERE))

    def test_the_removal_of_a_draining_entry_elsewhere_proves_nothing(self):
        def act(fleet, executor):
            foreign = self._entry(executor, address=ELSEWHERE, draining=True)
            fleet.on_listed(foreign, written_after=float("inf"))
            fleet.on_unlisted(executor.info.id)

        for is_answered in (True, False):
            kept, _ = self._after(act, is_answered=is_answered)
            self.assertThat(kept, Equals(True))

    def test_the_first_entry_of_a_new_leader_may_be_foreign(self):
        def act(fleet, executor):
            own = executor.info
            for incarnation in (99, 1):
                foreign = attrs.evolve(
                    own, address=ELSEWHERE, incarnation=incarnation
                )
                fleet.on_listed(foreign)
                fleet.on_listed(own)

        kept, executor = self._after(act, is_answered=False)
        self.assertThat(kept, Equals(True))
        self.assertThat(executor.info.incarnation, Equals(1))
        self.assertThat(executor.info.address, Not(Equals(ELSEWHERE)))

    def test_another_executor_at_a_foreign_address_proves_nothing(self):
        kept, _ = self._after(
            lambda fleet, e: fleet.on_other_instance(e), is_answered=False
        )
        self.assertThat(kept, Equals(True))

    def test_another_executor_at_its_own_address_ends_its_attempts(self):
        kept, _ = self._after(lambda fleet, e: fleet.on_other_instance(e))
        self.assertThat(kept, Equals(False))
