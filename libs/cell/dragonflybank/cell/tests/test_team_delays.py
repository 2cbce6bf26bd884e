"""Tests of refusals by team, with the loads that they answer."""

import asyncio

import testtools
from testtools.matchers import Equals, GreaterThan, LessThan

from dragonflybank.cell.jobs import Job, Step
from dragonflybank.cell.load_admission import (
    MIN_REPORTED_DELAY_S,
    excess_delay_s,
)
from dragonflybank.cell.messages import StartDelay, TeamDelay
from dragonflybank.cell.phase_cache import JobPhaseCache
from dragonflybank.cell.team_delays import MAX_DELAYS, estimate_team_delays
from dragonflybank.cell.tests.builders import QUEUES, add_job, make_config
from dragonflybank.cell.workload import Workload

NOW = 100.0
CHECK = Step(2, millicores=4000, estimate_s=0.5)
SWEEP = Step(20, millicores=4000, estimate_s=3.0)


class TestTeamDelays(testtools.TestCase):
    """Guards against refusals of teams that keep their rate and cap."""

    def _delays(
        self,
        jobs: dict[str, int],
        *,
        caps: dict[str, int],
        step: Step = CHECK,
        queue: str = "lookup",
        unix_time: float = NOW,
    ):
        """Returns the delays with 100 usable cores.

        Args:
            jobs: Number of jobs that each team sends at once.
            caps: Cap in cores by team, 0 for none.
            step: Their step.
            queue: Their queue.
            unix_time: Time of the estimate.
        """
        workload = Workload()
        workload.adopt_config(
            make_config(caps=caps, weights=dict.fromkeys(caps, 4.0))
        )
        numbers = iter(range(1, 100_000))
        for team, count in jobs.items():
            for _ in range(count):
                number = next(numbers)
                add_job(workload, number, step, queue=queue, at=NOW, team=team)
        meter, usage = workload.rate_meter, workload.team_usage
        meter.judge_new(usage.teams)
        return estimate_team_delays(
            workload.ready,
            usage,
            over_rate=meter.teams_over_rate(usage.teams, unix_time),
            usable_millicores={"directory": 100_000.0},
            min_delay_s=MIN_REPORTED_DELAY_S,
            unix_time=unix_time,
        )

    def _excess_s(self, delays, team: str, queue: str = "lookup") -> float:
        step = SWEEP if queue == "sweep" else CHECK
        job = Job(f"{7:016x}", QUEUES[queue], "", (step,), NOW, team=team)
        return excess_delay_s(job, delays)

    def test_a_team_that_sends_many_times_its_rate_is_refused_alone(self):
        delays = self._delays(
            {"hot": 160, "calm": 4}, caps={"hot": 0, "calm": 0}
        )
        self.assertThat(self._excess_s(delays, "hot"), GreaterThan(0.0))
        self.assertThat(self._excess_s(delays, "calm"), Equals(0.0))
        self.assertThat(self._excess_s(delays, ""), Equals(0.0))

    def test_urgent_work_is_not_refused_for_heavy_work_of_its_team(self):
        # The team keeps its rate, and its sweeps fill the cell for 29 s.
        delays = self._delays(
            {"calm": 12}, caps={"calm": 0}, step=SWEEP, queue="sweep"
        )
        self.assertThat(self._excess_s(delays, "calm"), Equals(0.0))
        self.assertThat(self._excess_s(delays, "calm", "sweep"), Equals(0.0))

    def test_a_team_is_admitted_again_once_its_rate_allows(self):
        jobs, caps = {"hot": 60, "calm": 40}, {"hot": 0, "calm": 0}
        during = self._delays(jobs, caps=caps, step=SWEEP, queue="sweep")
        self.assertThat({d.team for d in during}, Equals({"hot", "calm"}))
        later = self._delays(
            jobs, caps=caps, step=SWEEP, queue="sweep", unix_time=NOW + 1.0
        )
        self.assertThat(later, Equals(()))

    def test_a_team_at_its_cap_waits_for_its_own_work(self):
        # 12 jobs of 4 core-seconds on one core.
        delays = self._delays(
            {"small": 12, "calm": 2}, caps={"small": 1, "calm": 0}
        )
        self.assertThat(self._excess_s(delays, "small"), GreaterThan(40.0))
        self.assertThat(self._excess_s(delays, "calm"), Equals(0.0))

    def test_work_of_lower_priority_does_not_delay_checks_under_a_cap(self):
        delays = self._delays(
            {"small": 8}, caps={"small": 20}, step=SWEEP, queue="sweep"
        )
        self.assertThat(self._excess_s(delays, "small"), Equals(0.0))
        self.assertThat(
            self._excess_s(delays, "small", "sweep"), GreaterThan(20.0)
        )

    def test_rows_are_bounded_for_many_teams(self):
        caps = {f"team-{n}": 1 for n in range(200)}
        delays = self._delays(dict.fromkeys(caps, 12), caps=caps)
        self.assertThat(len(delays), Equals(MAX_DELAYS))

    def test_short_waits_refuse_nobody(self):
        delays = self._delays({"hot": 20}, caps={"hot": 0})
        self.assertThat(len(delays), LessThan(1))


class TestTransfer(testtools.TestCase):
    """Guards against hosts of earlier versions that refuse every team."""

    def test_team_delays_travel_apart_from_those_of_all_jobs(self):
        for_all = StartDelay("directory", 0, 3.0)
        for_team = TeamDelay("directory", 0, 9.0, "small")
        leader, host = JobPhaseCache(), JobPhaseCache()
        leader.start_epoch(7)
        leader.update_pending({}, (for_all, for_team), hosts=0, now=1.0)
        reply = asyncio.run(leader.wait_for_changes(0, 0, wait_s=0.0))
        self.assertThat(reply.start_delays, Equals((for_all,)))
        host.apply_changes(reply, 1.0)
        self.assertThat(
            host.current_start_delays(1.0), Equals((for_all, for_team))
        )
