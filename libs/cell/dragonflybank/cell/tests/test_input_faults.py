"""Tests that a job whose handling raises does not end each leader."""

import asyncio
from unittest import mock

import attrs
import testtools
from testtools.matchers import Equals

from dragonflybank.cell import group_commit
from dragonflybank.cell.jobs import JobPhase, Step
from dragonflybank.cell.keys import INPUT_FAULTS_KEY, progress_key
from dragonflybank.cell.workload import Workload
from dragonflybank.standins.cell.simulated_cell import SimulatedCell
from dragonflybank.standins.cell.store import MemoryStore
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time

BAD_JOB = "bad0000000000000"
STEP = Step(2, millicores=1000, memory_mb=1000, estimate_s=0.5)


@attrs.frozen
class _Outcome:
    """What a cell did with one bad job among others.

    Attributes:
        phases: Final phases of the other jobs.
        bad_runs: Number of attempts of the bad job.
        terms: Number of leaderships until the bad job was set aside.
        later_terms: Number of leaderships after another 5 s.
        counted: Value of the metric of isolated faults on all hosts.
    """

    phases: set
    bad_runs: int
    terms: int
    later_terms: int
    counted: float


class TestInputFaults(testtools.TestCase):
    """Guards against an input that ends every leader in turn."""

    def _play(self, place: str, *, jobs: int = 4, **changes) -> _Outcome:
        async def main() -> _Outcome:
            cell = SimulatedCell(1)
            await cell.start()
            await cell.wait_for_leader()
            bad = cell.make_job("lookup", STEP, run_s=0.5, job_id=BAD_JOB)
            bad = attrs.evolve(bad, **changes)
            others = [
                cell.make_job("lookup", STEP, run_s=0.5) for _ in range(jobs)
            ]
            # All are written in one transaction at first.
            accepted = await asyncio.gather(
                *(cell.submit(job) for job in (bad, *others))
            )
            self.assertThat(set(accepted), Equals({True}))
            phases = await asyncio.gather(
                *(cell.wait_until_final(j, timeout_s=20.0) for j in others)
            )
            terms = _term(cell)
            await asyncio.sleep(5.0)
            later_terms = _term(cell)
            runs = [
                run
                for executor in cell.executors.values()
                for run in executor.runs
                if run.task.job == BAD_JOB
            ]
            counted = sum(
                host.metrics.isolated_faults.labels(place)._value.get()
                for host in cell.hosts.values()
            )
            return _Outcome(set(phases), len(runs), terms, later_terms, counted)

        return run_in_virtual_time(main())

    def _assert_set_aside(self, found: _Outcome) -> None:
        # Two leaderships end, and the third goes on.
        self.assertThat(
            found, Equals(_Outcome({JobPhase.COMPLETED}, 0, 3, 3, 2.0))
        )

    def test_a_recurring_job_that_cannot_be_opened_is_set_aside(self):
        open_due = Workload._open_due

        def raise_for_bad_job(self, state, until, now):
            if state.job.id == BAD_JOB and state.occurrences:
                raise MemoryError
            open_due(self, state, until, now)

        with mock.patch.object(Workload, "_open_due", raise_for_bad_job):
            found = self._play(
                "round of decisions", start_at=1002.0, interval_s=1.0, repeat=5
            )
        self.assertThat(found.phases, Equals({JobPhase.COMPLETED}))
        self.assertThat((found.later_terms, found.counted), Equals((3, 2.0)))

    def test_a_record_that_cannot_be_encoded_is_set_aside(self):
        encode_record = group_commit.encode_record

        def raise_for_bad_job(record):
            if any(key.startswith("0.0.0") for key in record.placed):
                raise TypeError
            return encode_record(record)

        with mock.patch.object(
            group_commit, "encode_record", raise_for_bad_job
        ):
            found = self._play("group commit", jobs=0)
        self.assertThat((found.bad_runs, found.later_terms), Equals((0, 3)))

    def test_a_record_whose_transaction_raises_is_found_among_others(self):
        commit = MemoryStore.commit

        def raise_for_bad_job(self, txn):
            if progress_key(BAD_JOB) in txn.puts:
                raise ValueError
            return commit(self, txn)

        with mock.patch.object(MemoryStore, "commit", raise_for_bad_job):
            self._assert_set_aside(self._play("group commit"))

    def test_unreadable_records_do_not_end_a_leader(self):
        async def main() -> JobPhase | None:
            cell = SimulatedCell(1)
            cell.store.put(INPUT_FAULTS_KEY, b'[{"job": 5}, "\xff')
            await cell.start()
            job = cell.make_job("lookup", STEP, run_s=0.5)
            await cell.submit(job)
            return await cell.wait_until_final(job, timeout_s=10.0)

        self.assertThat(run_in_virtual_time(main()), Equals(JobPhase.COMPLETED))


def _term(cell: SimulatedCell) -> int:
    return cell.hosts[cell.leader()].leader.leadership.term
