"""Tests of executors that restart under their identifier (issue 36)."""

import asyncio
from collections.abc import Callable

import testtools
from testtools.matchers import Equals

from dragonflybank.cell.jobs import Job, Step
from dragonflybank.standins.cell.checks import find_violations
from dragonflybank.standins.cell.executors import AttemptRun, MemoryExecutor
from dragonflybank.standins.cell.simulated_cell import SimulatedCell
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time

SEED = 1
DARK_S = 0.05
# The clock of the first incarnation is ahead of that of the next one.
SETTLED_S = 20.0
# Longer than any lease and any late call.
LONG_RUN_S = 60.0
WAIT_LIMIT_S = 10.0


class TestRestartedExecutor(testtools.TestCase):
    """Guards against tasks that run twice beside a restart (TWICE)."""

    def test_start_at_an_incarnation_that_the_leader_has_not_heard_of(self):
        for lost_share in (0.0, 1.0):
            self._assert_holds(self._start_at_unheard_incarnation, lost_share)

    def test_poll_that_acknowledges_ends_of_a_former_incarnation(self):
        self._assert_holds(self._poll_at_next_incarnation)

    def test_late_poll_acknowledges_ends_that_nobody_has_read(self):
        self._assert_holds(self._late_poll_at_next_incarnation)

    def test_new_leader_counts_the_longest_lease(self):
        self._assert_holds(self._leader_killed_beside_longest_lease)

    def test_new_leader_hears_an_executor_with_the_longest_lease(self):
        self._assert_holds(self._cut_after_claim_by_new_leader)

    def test_start_for_a_former_incarnation_is_executed_late(self):
        self._assert_holds(self._late_start_at_next_incarnation)

    def _assert_holds(self, drive: Callable, *args) -> None:
        async def main():
            cell = SimulatedCell(SEED, executors=2)
            await cell.start()
            await asyncio.sleep(SETTLED_S)
            await drive(cell, *args)
            return find_violations(cell.history, cell.executors.values())

        found = run_in_virtual_time(main())
        self.assertThat("\n".join(found), Equals(""))

    async def _start_at_unheard_incarnation(
        self, cell: SimulatedCell, lost_share: float
    ) -> None:
        """The task at the new incarnation outlives the lease that was asked."""
        executor = await _occupy_all_but_one(cell, run_s=5.0)
        await _wait_for_poll(executor)
        await executor.restart_after(DARK_S)
        executor.faults.lost_share = lost_share
        await _submit(cell, run_s=LONG_RUN_S)
        run = await _wait_for_run(executor)
        self.assertThat(run.executor, Equals(f"{executor.info.id}/2"))
        executor.faults.is_cut = True
        await asyncio.sleep(20.0)

    async def _poll_at_next_incarnation(self, cell: SimulatedCell) -> None:
        """The next poll after a restart has the last acknowledgement."""
        executor = await _occupy_all_but_one(cell, run_s=60.0)
        await _run_to_its_end(cell, executor)
        await _wait_for_poll(executor)
        await executor.restart_after(DARK_S)
        await _submit(cell, run_s=0.5)
        run = await _wait_for_run(executor)
        self.assertThat(run.executor, Equals(f"{executor.info.id}/2"))
        await asyncio.sleep(20.0)

    async def _late_poll_at_next_incarnation(self, cell: SimulatedCell) -> None:
        """A poll has effect when the executor is cut off after an end."""
        executor = await _occupy_all_but_one(cell, run_s=60.0)
        await _run_to_its_end(cell, executor)
        await _delay_next_poll(executor, late_s=8.0)
        await executor.restart_after(DARK_S)
        # The polls after it show the leader that the executor restarted.
        await asyncio.sleep(5.0)
        await _submit(cell, run_s=0.8)
        await asyncio.sleep(0.3)
        executor.faults.is_cut = True
        await asyncio.sleep(4.0)
        executor.faults.is_cut = False
        await asyncio.sleep(30.0)

    async def _leader_killed_beside_longest_lease(
        self, cell: SimulatedCell
    ) -> None:
        """A late poll of the former leader renews the new incarnation's lease.

        The executor grants 10 s, since the poll names a time on the clock of
        its former incarnation.
        """
        executor = await _occupy_all_but_one(cell, run_s=8.0)
        await _submit(cell, run_s=LONG_RUN_S)
        await _run_to_its_end(cell, executor)
        await _delay_next_poll(executor, late_s=7.0)
        await executor.restart_after(DARK_S)
        await _submit(cell, run_s=LONG_RUN_S)
        await _wait_for_run_on_any(cell)
        executor.faults.is_cut = True
        cell.kill_host(cell.leader())
        await asyncio.sleep(40.0)

    async def _cut_after_claim_by_new_leader(self, cell: SimulatedCell) -> None:
        """A start of the former leader got more than the new leader asks for.

        That one is elected, hears the executor, and asks for 6 s.
        """
        executor = await _occupy_all_but_one(cell, run_s=5.0)
        await _wait_for_poll(executor)
        await executor.restart_after(DARK_S)
        await _submit(cell, run_s=LONG_RUN_S)
        run = await _wait_for_run(executor)
        self.assertThat(run.executor, Equals(f"{executor.info.id}/2"))
        cell.kill_host(cell.leader())
        leader = await cell.wait_for_leader()
        await _wait_until(lambda: _has_claimed(cell, leader, executor))
        executor.faults.is_cut = True
        await asyncio.sleep(20.0)

    async def _late_start_at_next_incarnation(
        self, cell: SimulatedCell
    ) -> None:
        """A start has effect after its lease on the former clock is over."""
        executor = await _occupy_all_but_one(cell, run_s=4.0)
        executor.faults.late_share = 1.0
        executor.faults.late_range_s = (9.0, 9.0)
        await _submit(cell, run_s=LONG_RUN_S)
        await asyncio.sleep(0.3)
        self.assertThat(executor.running, Equals({}))
        executor.faults.late_share = 0.0
        executor.faults.is_cut = True
        await executor.restart_after(DARK_S)
        await asyncio.sleep(40.0)


async def _submit(cell: SimulatedCell, *, run_s: float, cores: int = 1) -> Job:
    """Submits a job of one task without advice."""
    step = Step(1, millicores=1000 * cores, memory_mb=1000, estimate_s=run_s)
    job = cell.make_job("lookup", step, run_s=run_s)
    await cell.submit(job)
    return job


async def _occupy_all_but_one(
    cell: SimulatedCell, *, run_s: float
) -> MemoryExecutor:
    """Occupies one of two executors, so that tasks get to the other one.

    Args:
        cell: The cell.
        run_s: Time for which the executor is occupied, in seconds.

    Returns:
        The other executor.
    """
    await _submit(cell, run_s=run_s, cores=32)
    first, second = cell.executors.values()
    await _wait_until(lambda: first.running or second.running)
    return second if first.running else first


async def _run_to_its_end(
    cell: SimulatedCell, executor: MemoryExecutor
) -> None:
    """Runs a short task at the executor until just after its end."""
    job = await _submit(cell, run_s=0.3)
    await _wait_until(
        lambda: any(
            run.task.job == job.id and run.ended_at for run in executor.runs
        )
    )


async def _wait_for_run(executor: MemoryExecutor) -> AttemptRun:
    """Returns the first run of the present incarnation."""
    await _wait_until(lambda: executor.running)
    return next(iter(executor.running.values()))


async def _wait_for_run_on_any(cell: SimulatedCell) -> None:
    """Waits until a task runs that was submitted last."""
    job = list(cell.history.jobs)[-1]
    await _wait_until(
        lambda: any(
            run.task.job == job
            for executor in cell.executors.values()
            for run in executor.runs
        )
    )


def _has_claimed(
    cell: SimulatedCell, leader: str, executor: MemoryExecutor
) -> bool:
    known = cell.hosts[leader].leader.fleet.executors.get(executor.info.id)
    return known is not None and known.claimed


async def _wait_for_poll(executor: MemoryExecutor) -> None:
    """Waits until a poll waits at the executor."""
    await asyncio.sleep(0.2)
    before = executor.poll_count
    await _wait_until(lambda: executor.poll_count > before)


async def _delay_next_poll(executor: MemoryExecutor, *, late_s: float) -> None:
    """Lets the poll after an end be executed late."""
    executor.faults.late_share = 1.0
    executor.faults.late_range_s = (late_s, late_s)
    await asyncio.sleep(0.2)
    executor.faults.late_share = 0.0


async def _wait_until(is_true: Callable[[], object]) -> None:
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not is_true():  # noqa: ASYNC110 - in virtual time
            await asyncio.sleep(0.005)
