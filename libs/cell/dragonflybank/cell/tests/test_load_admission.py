"""Tests of refusals under overload, with the load that they answer."""

import asyncio
import random

import attrs
import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals, GreaterThan, LessThan

from dragonflybank.cell.capacity import reserve
from dragonflybank.cell.frontend import CellFrontend
from dragonflybank.cell.jobs import Job, JobPhase, Step
from dragonflybank.cell.keys import job_key
from dragonflybank.cell.load_admission import (
    estimate_start_delays,
    excess_delay_s,
    overload_retry_after_s,
)
from dragonflybank.cell.messages import StartDelay
from dragonflybank.cell.phase_cache import JobPhaseCache
from dragonflybank.cell.relay import RelayedStore
from dragonflybank.cell.state import AttemptPhase
from dragonflybank.cell.tests.builders import (
    QUEUES,
    add_job,
    get_step,
    make_executor,
)
from dragonflybank.cell.workload import Workload
from dragonflybank.model.codes import Code
from dragonflybank.standins.cell.simulated_cell import (
    SimulatedCell,
    SubmissionLoad,
)
from dragonflybank.standins.cell.store import MemoryStore
from dragonflybank.standins.cell.virtual_time import (
    VirtualClock,
    run_in_virtual_time,
)

NOW = 100.0


def _job(queue: str, *, estimate_s: float = 2.0, number: int = 1) -> Job:
    steps = (Step(1, millicores=1000, estimate_s=estimate_s),)
    return Job(f"{number:016x}", QUEUES[queue], "text", steps, NOW)


class TestEstimate(testtools.TestCase):
    """Guards against delays that leave out work or count useless work."""

    def _delays(self, *jobs: tuple[str, int], slots: int = 6):
        """Returns the delays in seconds by priority.

        Args:
            *jobs: Queue and number of tasks of 4 cores and 10 s each.
            slots: Number of hosts that make calls for advice.
        """
        workload = Workload()
        for number, (queue, count) in enumerate(jobs, 1):
            spec = Step(count, millicores=4000, estimate_s=10.0)
            add_job(workload, number, spec, queue=queue, at=NOW)
        found = estimate_start_delays(
            workload.ready,
            [make_executor(f"e{n}", cores=50) for n in range(2)],
            advice_slots=slots,
            now=NOW,
            unix_time=NOW,
        )
        return {delay.priority: round(delay.seconds, 3) for delay in found}

    def test_work_of_the_same_or_a_higher_priority_is_ahead(self):
        # 100 cores, of which 80 are usable: 8 tasks are 4 s of work.
        delays = self._delays(("lookup", 8), ("sweep", 16))
        self.assertThat(delays, Equals({0: 4.0, 2: 12.0}))

    def test_calls_for_advice_take_their_time(self):
        # 40 calls of 0.6 s on four hosts.
        delays = self._delays(*[("verify", 1)] * 40, slots=6)
        self.assertThat(delays[1], Equals(20.0))
        delays = self._delays(*[("verify", 1)] * 40, slots=2)
        self.assertThat(delays[1], Equals(24.0))

    def test_work_that_has_become_useless_is_not_ahead(self):
        workload = Workload()
        spec = Step(100, millicores=4000, estimate_s=10.0)
        add_job(workload, 1, spec, queue="lookup", at=NOW)
        for unix_time, count in ((NOW, 1), (NOW + 100.0, 0)):
            found = estimate_start_delays(
                workload.ready,
                [make_executor("e", cores=50)],
                advice_slots=6,
                now=NOW,
                unix_time=unix_time,
            )
            self.assertThat(len(found), Equals(count))

    def test_cores_of_long_running_tasks_are_not_usable(self):
        workload, executor = Workload(), make_executor("e", cores=50)
        lasting = Step(1, millicores=30_000, lasting=True)
        service = add_job(workload, 1, lasting, at=NOW)
        reserve(
            executor,
            get_step(service).tasks[0],
            1,
            phase=AttemptPhase.RUNNING,
            now=NOW,
        )
        workload.ready.clear()
        spec = Step(8, millicores=4000, estimate_s=10.0)
        add_job(workload, 2, spec, queue="sweep", at=NOW)
        found = estimate_start_delays(
            workload.ready,
            [executor],
            advice_slots=6,
            now=NOW,
            unix_time=NOW,
        )
        # 20 cores, of which 16 are usable, for 320 core-seconds.
        self.assertThat([d.seconds for d in found], Equals([20.0]))

    def test_work_that_cannot_start_is_not_ahead(self):
        # Neither a gang too wide for the service nor a task too large for each
        # executor takes capacity from a new job.
        executors = [make_executor(f"e{n}", cores=8) for n in range(4)]
        for spec, count in (
            (Step(8, millicores=4000, estimate_s=20.0, gang=True), 1),
            (Step(9, millicores=4000, estimate_s=20.0, gang=True), 0),
            (Step(9, millicores=8000, estimate_s=20.0), 1),
            (Step(9, millicores=9000, estimate_s=20.0), 0),
        ):
            workload = Workload()
            add_job(workload, 1, spec, queue="sweep", at=NOW)
            found = estimate_start_delays(
                workload.ready,
                executors,
                advice_slots=6,
                now=NOW,
                unix_time=NOW,
            )
            self.assertThat((spec, len(found)), Equals((spec, count)))

    def test_nothing_is_known_without_executors(self):
        workload = Workload()
        add_job(workload, 1, Step(100, millicores=4000, estimate_s=10.0))
        found = estimate_start_delays(
            workload.ready, [], advice_slots=6, now=NOW, unix_time=NOW
        )
        self.assertThat(found, Equals(()))


class TestExcess(testtools.TestCase):
    """Guards against refusals of jobs that could be useful."""

    def test_only_jobs_that_would_end_after_the_hard_deadline_exceed_it(self):
        # The objective of a sweep of 2 s is 11 s, its hard deadline 33 s.
        for wait_s, excess_s in ((5.0, 0.0), (30.9, 0.0), (40.0, 9.0)):
            delays = (StartDelay("directory", 1, wait_s),)
            found = excess_delay_s(_job("sweep"), delays)
            self.assertThat(round(found, 3), Equals(excess_s))

    def test_delays_of_lower_priorities_and_other_services_do_not_count(self):
        delays = (
            StartDelay("directory", 1, 1000.0),
            StartDelay("other", 0, 1000.0),
        )
        self.assertThat(excess_delay_s(_job("lookup"), delays), Equals(0.0))

    def test_recurring_jobs_and_jobs_without_a_delay_are_in_time(self):
        delays = (StartDelay("directory", 0, 1000.0),)
        recurring = attrs.evolve(_job("sweep"), repeat=3, interval_s=5.0)
        self.assertThat(excess_delay_s(recurring, delays), Equals(0.0))
        self.assertThat(excess_delay_s(_job("sweep"), ()), Equals(0.0))

    def test_refused_callers_return_spread_over_time(self):
        times = {overload_retry_after_s(f"{n:016x}", 10.0) for n in range(50)}
        self.assertThat(min(times) >= 10.0, Equals(True))
        self.assertThat(max(times) <= 15.0, Equals(True))
        self.assertThat(len(times), GreaterThan(20))


class TestFrontend(testtools.TestCase):
    """Guards against a refusal of a job that was or will be stored."""

    def _submit(self, *, is_stored: bool, age_s: float = 0.0):
        async def main():
            store, clock = MemoryStore(random.Random(1)), VirtualClock()
            cache = JobPhaseCache()
            cache.start_delays = (StartDelay("directory", 0, 60.0),)
            cache.synced_at = clock.now() - age_s
            frontend = CellFrontend(
                RelayedStore(
                    store.client("host"),
                    None,
                    is_store_answering=lambda: True,
                    get_relay_address=lambda: "",
                ),
                cache,
                clock=clock,
                notify_leader=lambda epoch, item: None,
            )
            job = _job("lookup")
            if is_stored:
                store.put(job_key(job.id), b"stored before")
            got = await frontend.submit(job, timeout_s=3.0)
            return got, store.get(job_key(job.id))

        return run_in_virtual_time(main())

    def test_new_job_is_refused_at_once_and_not_stored(self):
        got, stored = self._submit(is_stored=False)
        self.assertThat(got.failure().code, Equals(Code.OVERLOADED))
        self.assertThat(got.failure().retry_after_s, GreaterThan(50.0))
        self.assertThat(stored, Equals(None))

    def test_job_that_is_stored_already_is_not_refused(self):
        got, _ = self._submit(is_stored=True)
        self.assertThat(got, Equals(Success(None)))

    def test_outdated_delays_refuse_nothing(self):
        got, _ = self._submit(is_stored=False, age_s=5.0)
        self.assertThat(got, Equals(Success(None)))


class TestOverload(testtools.TestCase):
    """Guards against a backlog that outlasts the load that caused it.

    Lookups need nine times the cores of the cell for ten seconds.
    """

    def test_lookups_are_in_time_again_two_seconds_after_the_peak(self):
        async def main():
            cell = SimulatedCell(7, executors=3)
            await cell.start()
            await cell.wait_for_leader()
            await asyncio.sleep(1.0)
            clock = VirtualClock()
            outcomes = []

            async def call(number: int):
                sent_at = clock.now()
                steps = (Step(4, millicores=16_000, estimate_s=1.0),)
                queue = cell._queues["lookup"]
                job = Job(f"{number:016x}", queue, "text", steps, sent_at)
                cell._run_times_s[job.id] = 1.0
                cell.history.jobs[job.id] = job
                host = list(cell.hosts.values())[number % 3]
                got = await host.frontend.submit(job, timeout_s=3.0)
                if isinstance(got, Failure):
                    cell.history.refused.add(job.id)
                    outcomes.append((sent_at, got.failure().code, 0.0))
                    return
                cell.history.accepted[job.id] = clock.now()
                phase = await cell.wait_until_final(job, timeout_s=60.0)
                outcomes.append((sent_at, phase, clock.now() - sent_at))

            began_at = clock.now()
            calls = []
            for number in range(130):
                # Ten a second for ten seconds, then one a second.
                gap_s = 0.1 if number < 100 else 1.0
                calls.append(asyncio.create_task(call(number + 1)))
                await asyncio.sleep(gap_s)
            await asyncio.gather(*calls)
            return cell, outcomes, began_at

        cell, outcomes, began_at = run_in_virtual_time(main())
        started = {
            record.task.job
            for executor in cell.executors.values()
            for record in executor.runs
        }
        refused = [o for o in outcomes if o[1] is Code.OVERLOADED]
        self.assertThat(len(refused), GreaterThan(0))
        self.assertThat(started & cell.history.refused, Equals(set()))
        accepted = [o for o in outcomes if o[1] is not Code.OVERLOADED]
        self.assertThat({o[1] for o in accepted}, Equals({JobPhase.COMPLETED}))
        # The objective is 2.4 s; states are asked for every 0.5 s.
        later = [o for o in accepted if o[0] >= began_at + 12.0]
        self.assertThat(len(later), GreaterThan(25))
        self.assertThat(max(o[2] for o in later), LessThan(2.4 + 0.5))


class TestCalmLoad(testtools.TestCase):
    """Guards against refusals without overload."""

    def test_usual_load_is_never_refused(self):
        async def main():
            cell = SimulatedCell(3)
            await cell.start()
            found = await cell.run_load(SubmissionLoad(jobs_per_s=8.0))
            return found, cell.history.refused

        found, refused = run_in_virtual_time(main())
        self.assertThat(found, Equals([]))
        self.assertThat(refused, Equals(set()))
