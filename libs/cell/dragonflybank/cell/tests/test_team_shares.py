"""Tests of the rates and the order of teams."""

import testtools
from testtools.matchers import Equals

from dragonflybank.cell.jobs import Step
from dragonflybank.cell.load_admission import estimate_start_delays
from dragonflybank.cell.scheduling import Scheduler
from dragonflybank.cell.team_shares import MIN_BURST_JOBS, is_beyond_rate
from dragonflybank.cell.tests.builders import (
    ManualClock,
    add_job,
    get_step,
    make_config,
    make_executor,
)
from dragonflybank.cell.tests.scheduler_fakes import FakeLeader
from dragonflybank.cell.workload import Workload

BURST = int(MIN_BURST_JOBS)
TASK = Step(1, millicores=1000, estimate_s=9.0)


class TestRates(testtools.TestCase):
    """Guards against a team that takes the place of teams within their rate."""

    def setUp(self):
        super().setUp()
        self.leader = FakeLeader([make_executor("e", cores=13)], ManualClock())
        self.workload = self.leader.workload
        self.config = make_config(caps={"hot": 0, "other": 0})
        self.workload.adopt_config(self.config)

    def _add(self, workload, number, team="hot", **kwargs):
        return get_step(add_job(workload, number, TASK, team=team, **kwargs))

    def _decide(self, now=0.1):
        Scheduler(self.leader, None).place_waiting_steps(now, now)

    def test_jobs_beyond_the_rate_come_after_lower_queues_of_others(self):
        steps = [self._add(self.workload, n) for n in range(1, 21)]
        other = self._add(self.workload, 99, "other", queue="sweep")
        self._decide()
        beyond = [step for step in steps if is_beyond_rate(step)]
        self.assertThat(len(beyond), Equals(20 - BURST))
        self.assertThat(other.waiting_tasks(), Equals([]))
        # They are not lost, and use what is left.
        running = [s for s in beyond if not s.waiting_tasks()]
        self.assertThat(len(running), Equals(13 - BURST - 1))

    def test_a_new_leader_decides_alike_in_whatever_order_jobs_are_loaded(self):
        def beyond(order):
            workload = Workload()
            workload.adopt_config(self.config)
            steps = [self._add(workload, n, at=0.05 * n) for n in order]
            workload.rate_meter.judge_new(workload.team_usage.teams)
            return {s.name for s in steps if is_beyond_rate(s)}

        first = beyond(range(1, 41))
        self.assertThat(len(first), Equals(40 - BURST - 1))
        self.assertThat(beyond(reversed(range(1, 41))), Equals(first))

    def test_an_overdue_job_beyond_the_rate_counts_as_within_it(self):
        self.leader.fleet.executors["e"] = make_executor("e", cores=64)
        wide = Step(1, millicores=40_000, estimate_s=9.0)
        for number in range(1, BURST + 1):
            self._add(self.workload, number)
        late = get_step(add_job(self.workload, 50, wide, team="hot"))
        other = get_step(
            add_job(self.workload, 60, wide, team="other", queue="sweep")
        )
        self._decide(2.0)
        self.assertThat(is_beyond_rate(late), Equals(True))
        self.assertThat(late.waiting_tasks(), Equals([]))
        self.assertThat(len(other.waiting_tasks()), Equals(1))

    def test_the_backlog_beyond_the_rate_delays_nobody_at_admission(self):
        for number in range(1, 400):
            self._add(self.workload, number)
        self._decide()
        delays = estimate_start_delays(
            self.workload.ready,
            self.leader.fleet.executors.values(),
            advice_slots=0,
            now=0.1,
            unix_time=0.1,
        )
        self.assertThat(delays, Equals(()))
