"""Tests of queues that a configuration redefines while jobs are accepted."""

import asyncio

import attrs
import testtools
from testtools.matchers import Equals

from dragonflybank.cell.jobs import CellConfig, Job, JobPhase, Progress, Step
from dragonflybank.cell.load_admission import estimate_start_delays
from dragonflybank.cell.queue_definitions import QueueDefinitions
from dragonflybank.cell.step_order import step_rank
from dragonflybank.cell.tests.builders import (
    QUEUES,
    add_job,
    get_step,
    make_executor,
)
from dragonflybank.cell.workload import Workload
from dragonflybank.standins.cell.checks import find_violations
from dragonflybank.standins.cell.simulated_cell import SimulatedCell
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time

OLD, NEW, THIRD = "service-a", "service-b", "service-c"
WIDE = Step(1, millicores=32_000, memory_mb=1000, estimate_s=1.0)
FINISH_S = 14.0


def _config(version: int, *queues) -> CellConfig:
    stamped = tuple(attrs.evolve(q, version=version) for q in queues)
    return CellConfig(version, {"front": stamped}, {})


class TestQueueDefinitions(testtools.TestCase):
    """Guards against a wrong or outdated definition of a job's queue."""

    def setUp(self):
        super().setUp()
        self.accepted = attrs.evolve(QUEUES["sweep"], version=5)

    def _latest(self, version, **changes):
        moved = attrs.evolve(self.accepted, **changes)
        definitions = QueueDefinitions(_config(version, moved))
        return definitions.latest(self.accepted)

    def test_a_newer_configuration_redefines_a_queue(self):
        found = self._latest(6, service=NEW)
        self.assertThat((found.service, found.version), Equals((NEW, 6)))

    def test_an_older_configuration_does_not(self):
        # The leader may learn of a change later than the accepting host.
        found = self._latest(4, service=OLD)
        self.assertThat(found, Equals(self.accepted))

    def test_a_renamed_queue_is_found_by_host_and_prefix(self):
        found = self._latest(6, name="sweep-2", service=NEW)
        self.assertThat(found.service, Equals(NEW))

    def test_a_dropped_queue_keeps_its_definition(self):
        found = QueueDefinitions(_config(6)).latest(self.accepted)
        self.assertThat(found, Equals(self.accepted))


class TestWaitingWork(testtools.TestCase):
    """Guards against decisions by the definition of the acceptance."""

    def setUp(self):
        super().setUp()
        self.workload = Workload()
        self.state = add_job(self.workload, 1, Step(2), queue="sweep")

    def _redefine(self, version=2, **changes):
        moved = attrs.evolve(QUEUES["sweep"], **changes)
        return self.workload.adopt_config(_config(version, moved))

    def test_the_order_follows_the_new_priority(self):
        lookup = add_job(self.workload, 2, Step(1), queue="lookup")
        self._redefine(priority=-1)
        ranks = [step_rank(get_step(s), 0.1) for s in (self.state, lookup)]
        self.assertThat(ranks, Equals(sorted(ranks)))

    def test_the_backlog_counts_for_the_new_service(self):
        step = Step(100, millicores=4000, estimate_s=3.0)
        add_job(self.workload, 2, step, queue="sweep")
        self._redefine(service=NEW)
        delays = estimate_start_delays(
            self.workload.ready,
            [make_executor("e1"), make_executor("e2", service=NEW)],
            advice_slots=0,
            now=0.0,
            unix_time=0.0,
        )
        self.assertThat({d.service for d in delays}, Equals({NEW}))

    def test_pending_jobs_count_for_a_renamed_queue(self):
        self._redefine(name="sweep-2")
        counts = self.workload.count_pending_by_queue()
        self.assertThat(counts, Equals({"sweep-2": 1}))

    def test_advice_of_the_former_definition_is_dropped(self):
        step = get_step(self.state)
        step.advice_by_executor["e1"] = None
        self._redefine(objective_s=9.0)
        self.assertThat(step.advice_by_executor, Equals({"e1": None}))
        self._redefine(version=3, service=NEW)
        self.assertThat(step.advice_by_executor, Equals({}))

    def test_accepted_jobs_keep_their_limit_of_attempts(self):
        self._redefine(max_attempts=1)
        task = get_step(self.state).tasks[0]
        self.assertThat(self.workload.fail_task(task, 1), Equals(False))

    def test_only_changes_beside_the_version_are_stored(self):
        self.assertThat(self._redefine(), Equals([]))
        self.assertThat(self.state.progress.queue, Equals(None))
        self.assertThat(
            self._redefine(version=3, service=NEW), Equals([self.state])
        )
        self.assertThat(self.state.progress.queue.service, Equals(NEW))

    def test_a_stored_definition_outlives_its_queue(self):
        stored = attrs.evolve(QUEUES["sweep"], service=NEW, version=2)
        progress = Progress(queue=stored)
        self.workload.adopt_config(_config(3))
        state = add_job(
            self.workload, 3, Step(1), queue="sweep", progress=progress
        )
        self.workload.update_queue(state)
        self.assertThat(state.queue.service, Equals(NEW))


class TestMovedQueues(testtools.TestCase):
    """Guards against accepted jobs that wait for a service they have left.

    Each service has two executors of 32 cores; all services but the one that
    the queue is moved to are full.
    """

    def _play(self, main, services=(OLD, NEW)):
        async def play():
            cell = SimulatedCell(
                1, executors=2 * len(services), advised=False, services=services
            )
            await cell.start()
            await cell.wait_for_leader()
            await asyncio.sleep(1.0)
            await main(cell)
            violations = find_violations(cell.history, cell.executors.values())
            self.assertThat(violations, Equals([]))

        run_in_virtual_time(play())

    async def _fill(self, cell, queue: str) -> list[Job]:
        blockers = [cell.make_job(queue, WIDE, run_s=1000.0) for _ in range(2)]
        for job in blockers:
            await cell.submit(job)
        await asyncio.sleep(1.0)
        return blockers

    async def _submit(self, cell, queue: str, *steps: Step) -> list[Job]:
        jobs = [cell.make_job(queue, *steps, run_s=1.0) for _ in range(4)]
        for job in jobs:
            await cell.submit(job)
        return jobs

    async def _assert_completed(self, cell, jobs: list[Job]) -> None:
        phases = await asyncio.gather(
            *(cell.wait_until_final(job, timeout_s=FINISH_S) for job in jobs)
        )
        self.assertThat(phases, Equals([JobPhase.COMPLETED] * len(jobs)))

    def _services_of(self, cell, jobs: list[Job], step: int = 0) -> set[str]:
        ids = {job.id for job in jobs}
        return {
            executor.info.service
            for executor in cell.executors.values()
            for run in executor.runs
            if run.task.job in ids and run.task.step == step
        }

    def test_waiting_jobs_run_on_the_service_their_queue_is_moved_to(self):
        async def main(cell):
            await self._fill(cell, "lookup")
            jobs = await self._submit(cell, "sweep", WIDE)
            cell.configure(2, moved_queues={"sweep": NEW})
            await self._assert_completed(cell, jobs)
            self.assertThat(self._services_of(cell, jobs), Equals({NEW}))

        self._play(main)

    def test_later_steps_follow_and_running_tasks_stay(self):
        async def main(cell):
            last = attrs.evolve(WIDE, after=(0,))
            first, second = (
                cell.make_job("sweep", WIDE, last, run_s=2.0) for _ in range(2)
            )
            await cell.submit(first)
            await cell.submit(second)
            await asyncio.sleep(1.0)
            cell.configure(2, moved_queues={"sweep": NEW})
            await self._assert_completed(cell, [first, second])
            for step, service in ((0, OLD), (1, NEW)):
                found = self._services_of(cell, [first, second], step)
                self.assertThat(found, Equals({service}))

        self._play(main)

    def test_a_queue_can_be_moved_again_and_back(self):
        async def main(cell):
            blockers = await self._fill(cell, "lookup")
            jobs = await self._submit(cell, "sweep", WIDE)
            for version, service in ((2, NEW), (3, OLD), (4, THIRD), (5, OLD)):
                cell.configure(version, moved_queues={"sweep": service})
            await asyncio.sleep(2.0)
            self.assertThat(self._services_of(cell, jobs), Equals(set()))
            for job in blockers:
                await cell.cancel(job)
            await self._assert_completed(cell, jobs)
            self.assertThat(self._services_of(cell, jobs), Equals({OLD}))

        self._play(main, (OLD, NEW, THIRD))

    def test_a_new_leader_knows_a_move(self):
        async def main(cell):
            await self._fill(cell, "lookup")
            jobs = await self._submit(cell, "sweep", WIDE)
            cell.kill_host(cell.leader())
            cell.configure(2, moved_queues={"sweep": NEW})
            await self._assert_completed(cell, jobs)
            self.assertThat(self._services_of(cell, jobs), Equals({NEW}))

        self._play(main)

    def test_a_new_leader_knows_a_move_of_a_queue_that_was_dropped(self):
        async def main(cell):
            cell.configure(2, moved_queues={"verify": NEW})
            await asyncio.sleep(1.0)
            await self._fill(cell, "lookup")
            blockers = await self._fill(cell, "verify")
            jobs = await self._submit(cell, "sweep", WIDE)
            cell.configure(3, moved_queues={"sweep": NEW})
            await asyncio.sleep(1.0)
            cell.configure(4, dropped_queues=("sweep",))
            await asyncio.sleep(1.0)
            cell.kill_host(cell.leader())
            await cell.wait_for_leader()
            for job in blockers:
                await cell.cancel(job)
            await self._assert_completed(cell, jobs)
            self.assertThat(self._services_of(cell, jobs), Equals({NEW}))

        self._play(main)
