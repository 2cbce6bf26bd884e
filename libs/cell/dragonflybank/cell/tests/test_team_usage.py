"""Tests of the caps of teams."""

import asyncio
import logging

import testtools
from testtools.matchers import Equals, LessThan

from dragonflybank.cell.attempt_starts import start_reserved
from dragonflybank.cell.attempts import AttemptManager
from dragonflybank.cell.capacity import release
from dragonflybank.cell.jobs import (
    JobPhase,
    Progress,
    Step,
    TaskId,
    decode_progress,
    encode_record,
)
from dragonflybank.cell.ports import RunningAttempt
from dragonflybank.cell.scheduling import Scheduler
from dragonflybank.cell.state import AttemptPhase
from dragonflybank.cell.step_holds import is_start_within_cap
from dragonflybank.cell.team_report import (
    OTHER_TEAMS,
    summarise_teams,
    update_team_gauges,
)
from dragonflybank.cell.tests.builders import (
    ManualClock,
    add_job,
    get_step,
    make_config,
    make_executor,
)
from dragonflybank.cell.tests.scheduler_fakes import FakeLeader
from dragonflybank.cell.tickets import record_advice
from dragonflybank.standins.cell.virtual_time import run_in_virtual_time


def _step(count: int, cores: int, **kwargs) -> Step:
    return Step(count, millicores=1000 * cores, estimate_s=1.0, **kwargs)


class _NoAdvice:
    """Counts the calls for advice that are wanted."""

    is_mostly_idle = True

    def __init__(self):
        self.wanted = 0

    def acquire_slot(self, *, priority, duration_s, now):
        self.wanted += 1


class _Sending:
    """Stands in for the committer, the fleet and its links.

    Args:
        while_stored: Called while a placement is being stored.
    """

    def __init__(self, while_stored):
        self.executors = {"e0": make_executor("e0")}
        self.started = []
        self._while_stored = while_stored

    def mark_changed(self, state, *, urgent):
        """See `Committer.mark_changed`."""

    async def wait_until_stored(self):
        """See `Committer.wait_until_stored`."""
        self._while_stored()

    def link(self, executor):
        """Returns the link to any executor."""
        return self

    def start(self, attempt, ticket):
        """See `ExecutorLink.start`."""
        self.started.append(attempt)


class _Case(testtools.TestCase):
    """A cell of four executors of 64 cores; team a may use 20 cores."""

    def setUp(self):
        super().setUp()
        executors = [make_executor(f"e{n}") for n in range(4)]
        self.leader = FakeLeader(executors, ManualClock())
        self.workload = self.leader.workload
        self.workload.adopt_config(make_config(caps={"a": 20, "b": 0}))
        self.dispatcher = _NoAdvice()
        self.scheduler = Scheduler(self.leader, self.dispatcher)

    def _add(self, number, *steps, team="a", **kwargs):
        return get_step(
            add_job(self.workload, number, *steps, team=team, **kwargs)
        )

    def _decide(self, now=0.0):
        self.scheduler.place_waiting_steps(now, now)

    def _cores(self, team="a"):
        return self.workload.team_usage.used(team).millicores // 1000


class TestStarts(_Case):
    """Guards against starts above a cap, and against needless waits."""

    def test_a_wide_step_is_cut_to_the_tasks_that_fit(self):
        step = self._add(1, _step(9, 6))
        self._decide()
        self.assertThat(len(step.waiting_tasks()), Equals(6))
        release(step.tasks[0].attempts[0])
        self._decide()
        self.assertThat(self._cores(), Equals(18))

    def test_filling_tasks_count_the_cores_that_they_declare(self):
        self._add(1, _step(9, 6, filling=True))
        self._decide()
        self.assertThat(self._cores(), Equals(18))

    def test_a_gang_over_its_cap_holds_back_nobody_else(self):
        self._add(1, _step(1, 15))
        self._decide()
        gang = self._add(2, _step(3, 6, gang=True), queue="verify")
        # It would be lower than the gang in the order and wants all executors.
        self._add(3, _step(4, 64), team="b", queue="sweep")
        release(next(self.workload.attempts()))
        self._add(4, _step(1, 15))
        self._decide()
        self.assertThat(len(gang.waiting_tasks()), Equals(3))
        self.assertThat(self.scheduler.reserved_millicores, Equals({}))
        self.assertThat(self.dispatcher.wanted, Equals(0))
        self.assertThat(self._cores("b"), Equals(3 * 64))

    def test_a_gang_may_use_the_overage_only_while_its_team_runs_nothing(self):
        gang = self._add(1, _step(2, 11, gang=True), queue="sweep")
        first = self._add(2, _step(1, 1))
        self._decide()
        self.assertThat(len(gang.waiting_tasks()), Equals(2))
        release(first.tasks[0].attempts[0])
        first.tasks[0].done = True
        self._decide()
        self.assertThat(self._cores(), Equals(22))

    def test_small_work_of_the_same_team_does_not_starve_its_gang(self):
        first = self._add(1, _step(4, 5), queue="sweep")
        self._decide()
        gang = self._add(2, _step(3, 6, gang=True))
        self._add(3, _step(9, 5), queue="sweep")
        for task in first.tasks:
            release(task.attempts[0])
            task.done = True
            self._decide()
        self.assertThat(gang.waiting_tasks(), Equals([]))

    def _run_urgent_load(self, steps, *, until, cores):
        """Runs rounds beside urgent tasks of 1 s, two of them at a time."""
        for turn in range(10 * until):
            now = turn / 10
            self.leader.clock.time_s = now
            if turn % 5 == 0:
                spec = _step(1, cores)
                steps.append(self._add(turn + 100, spec, at=now))
            for attempt in list(self.workload.attempts()):
                if attempt.began_at <= now - 1.0:
                    release(attempt)
                    self.workload.finish_task(attempt.task, 1, now)
            self._decide(now)
            yield now

    def test_urgent_work_of_the_same_team_does_not_starve_its_gang(self):
        urgent = []
        gang = None
        for now in self._run_urgent_load(urgent, until=10, cores=2):
            if now == 2.0:
                gang = self._add(1, _step(3, 6, gang=True), queue="sweep")
            if gang and gang.tasks[0].attempts:
                break
        self.assertThat(now, LessThan(2.0 + 3.0))
        # No urgent task has waited as long as the gang.
        held = [s.ready_at for s in urgent if s.waiting_tasks()]
        self.assertThat(now - min(held), LessThan(1.5))

    def test_a_gang_that_can_never_fit_holds_back_nothing(self):
        self._add(1, _step(3, 10, gang=True))
        step = self._add(2, _step(1, 5), queue="sweep")
        self._decide()
        self.assertThat(step.waiting_tasks(), Equals([]))

    def test_a_gang_without_suitable_executors_holds_back_nothing(self):
        self._add(1, _step(1, 8), queue="sweep")
        self._decide()
        self._add(2, _step(3, 6, gang=True, label="absent"))
        for now in (0.1, 2.0, 2.1):
            step = self._add(int(10 * now) + 3, _step(1, 2), queue="sweep")
            self._decide(now)
            self.assertThat(step.waiting_tasks(), Equals([]))

    def test_a_large_task_starts_below_half_of_the_cap(self):
        self._add(1, _step(1, 9))
        large = self._add(2, _step(2, 15), queue="sweep")
        self._decide()
        self.assertThat(len(large.waiting_tasks()), Equals(1))
        self.assertThat(self._cores(), LessThan(22 + 15))

    def test_an_overdue_job_uses_what_is_reserved_for_a_gang(self):
        # No executor has the cores that the gang needs, until the others end.
        busy = self._add(1, _step(4, 20), team="b")
        self._decide()
        self.assertThat(busy.waiting_tasks(), Equals([]))
        self._add(2, _step(4, 60, gang=True), team="b")
        late = self._add(3, Step(1, millicores=5000), queue="sweep")
        self._decide(1.0)
        self.assertThat(len(late.waiting_tasks()), Equals(1))
        self._decide(2.0)
        self.assertThat(late.waiting_tasks(), Equals([]))

    def test_work_of_teams_waits_for_the_first_configuration(self):
        leader = FakeLeader([make_executor("e")], ManualClock())
        job = add_job(leader.workload, 1, _step(1, 1), team="a")
        scheduler = Scheduler(leader, None)
        scheduler.place_waiting_steps(0.0, 0.0)
        self.assertThat(leader.attempts.started, Equals([]))
        leader.workload.adopt_config(make_config(caps={}))
        scheduler.place_waiting_steps(0.0, 0.0)
        self.assertThat(len(job.attempts()), Equals(1))


class TestHoldLog(_Case):
    """Guards against a backlog that fills the log of the leader."""

    def test_a_step_is_logged_less_often_the_longer_it_waits(self):
        self._add(1, _step(1, 20))
        self._decide()
        for number in range(2, 102):
            self._add(number, _step(1, 5))
        name = "dragonflybank.cell.step_holds"
        with self.assertLogs(name, logging.INFO) as first:
            self._decide(0.1)
        self.assertThat(len(first.records), Equals(100))
        with self.assertLogs(name, logging.INFO) as later:
            for turn in range(2, 300):
                self._decide(turn / 10)
        self.assertThat(len(later.records), LessThan(6 * 100))


class TestChangedCaps(_Case):
    """Guards against starts by a cap that is no longer in force."""

    def _adopt(self, version, cores):
        caps = {"b": 0} if cores is None else {"a": cores, "b": 0}
        self.workload.adopt_config(make_config(version, caps=caps))

    def test_a_cap_below_usage_stops_nothing_and_starts_nothing(self):
        step = self._add(1, _step(4, 5))
        self._decide()
        waiting = self._add(2, _step(1, 5))
        self._adopt(2, 10)
        for task in step.tasks[:3]:
            self._decide()
            self.assertThat(len(waiting.waiting_tasks()), Equals(1))
            release(task.attempts[0])
            task.done = True
        self._decide()
        self.assertThat(self._cores(), Equals(10))

    def test_two_versions_within_one_round_count_by_the_newer(self):
        step = self._add(1, _step(9, 5))
        self._adopt(3, 15)
        self._adopt(2, 40)
        self._decide()
        self.assertThat(len(step.waiting_tasks()), Equals(6))

    def test_a_change_whose_answer_was_lost_counts_once_it_is_read(self):
        # The writer repeats a change that took effect: it is adopted twice,
        # and an earlier value may be read in between.
        step = self._add(1, _step(9, 5))
        for version, cores in ((2, 10), (1, 20), (2, 10)):
            self._adopt(version, cores)
            self._decide()
        self.assertThat(len(step.waiting_tasks()), Equals(7))

    def test_a_dropped_team_keeps_its_cap(self):
        step = self._add(1, _step(9, 5))
        self._adopt(2, None)
        self._decide()
        self.assertThat(len(step.waiting_tasks()), Equals(5))

    def test_without_teams_nothing_is_capped(self):
        step = self._add(1, _step(9, 5))
        self.workload.adopt_config(make_config(2, caps={}))
        self._decide()
        self.assertThat(step.waiting_tasks(), Equals([]))

    def _reserve(self, step):
        """Reserves the tasks of a step, which then waits for tickets."""
        pairs = [
            (task, self.leader.fleet.executors["e0"]) for task in step.tasks
        ]
        attempts = self.leader.attempts.reserve_attempts(step, pairs, 1, 0.0)
        record_advice(step, ["e0"], {"e0": "ticket"}, valid_until=9.0)
        return attempts

    def test_reserved_attempts_are_checked_again_before_their_start(self):
        step = self._add(1, _step(3, 6), queue="verify")
        attempts = self._reserve(step)
        self._adopt(2, 14)
        start_reserved(self.leader, step, attempts, 0.0)
        self.assertThat(self._cores(), Equals(12))
        self.assertThat(len(self.leader.attempts.started), Equals(2))

    def test_a_reserved_gang_is_started_whole_or_not_at_all(self):
        step = self._add(1, _step(3, 6, gang=True), queue="verify")
        attempts = self._reserve(step)
        self._adopt(2, 17)
        self.assertThat(is_start_within_cap(step, attempts), Equals(True))
        self._adopt(3, 16)
        start_reserved(self.leader, step, attempts, 0.0)
        self.assertThat(self._cores(), Equals(0))
        self.assertThat(self.leader.attempts.started, Equals([]))

    def test_the_check_of_reservations_ends_though_links_are_closed(self):
        # A leader that closes has no links, and its attempts are not stopped.
        for number, is_gang in enumerate((False, True), 1):
            step = self._add(number, _step(2, 6, gang=is_gang), queue="verify")
            attempts = self._reserve(step)
            self._adopt(number + 1, 5)
            stops = []
            self.leader.attempts.stop = lambda attempt, _, to=stops: (
                to.append(attempt) if len(to) < 9 else self.fail("no end")
            )
            start_reserved(self.leader, step, attempts, 0.0)
            self.assertThat(len(stops), Equals(2))
            self.assertThat(self.leader.attempts.started, Equals([]))

    def test_a_cap_lowered_while_a_placement_is_stored_stops_its_start(self):
        step = self._add(1, _step(3, 6))
        sending = _Sending(lambda: self._adopt(2, 14))
        self.leader.attempts = AttemptManager(self.leader)
        self.leader.committer = self.leader.fleet = sending

        async def start():
            attempts = self._reserve(step)
            self.leader.attempts.start_attempts(step, attempts)
            await asyncio.sleep(1.0)

        run_in_virtual_time(start())
        self.assertThat(len(sending.started), Equals(2))
        self.assertThat(self._cores(), Equals(12))


class TestFailures(_Case):
    """Guards against usage that is forgotten when something fails."""

    def _successor(self, *progress):
        """Returns a new leader that has loaded one job for each progress."""
        leader = FakeLeader([make_executor("e0")], ManualClock())
        leader.attempts = AttemptManager(leader)
        leader.on_task_started = lambda state: None
        leader.workload.adopt_config(make_config(caps={"a": 20}))
        for number, stored in enumerate(progress, 1):
            add_job(
                leader.workload,
                number,
                _step(3, 6),
                team="a",
                progress=decode_progress(encode_record(stored)),
            )
        leader.attempts.restore_placed()
        return leader

    def _used(self, leader):
        return leader.workload.team_usage.used("a").millicores // 1000

    def test_a_reservation_dies_with_its_leader(self):
        step = self._add(1, _step(3, 6))
        pairs = [(step.tasks[0], self.leader.fleet.executors["e0"])]
        self.leader.attempts.reserve_attempts(step, pairs, 1, 0.0)
        self.assertThat(self._cores(), Equals(6))
        successor = self._successor(step.job_state.progress)
        self.assertThat(self._used(successor), Equals(0))

    def test_a_new_leader_counts_records_before_it_hears_executors(self):
        placed = {f"0.0.{n}": (1, f"gone-{n}") for n in range(3)}
        leader = self._successor(Progress(placed=placed), Progress())
        self.assertThat(self._used(leader), Equals(18))
        Scheduler(leader, None).place_waiting_steps(0.0, 0.0)
        self.assertThat(self._used(leader), Equals(18))

    def test_a_late_report_counts_though_the_cap_was_counted_free(self):
        leader = self._successor(Progress(), Progress())
        executor = leader.fleet.executors["e0"]
        row = RunningAttempt(TaskId(f"{1:016x}", 0, 0, 0), 1)
        step = leader.workload.find_task(row.task).step
        for task in get_step(leader.workload.jobs[f"{2:016x}"]).tasks:
            leader.attempts.reserve_attempts(
                task.step, [(task, executor)], 1, 0.0
            )
        leader.attempts.process_running(executor, (row,), 0.0, 0.0)
        self.assertThat(self._used(leader), Equals(24))
        Scheduler(leader, None).place_waiting_steps(0.0, 0.0)
        self.assertThat(len(step.waiting_tasks()), Equals(2))
        self.assertThat(step.tasks[0].attempts[0].is_ending, Equals(False))

    def test_an_orphan_of_an_ended_job_counts_for_its_team(self):
        ended = self._add(1, _step(1, 15)).job_state
        self.workload.end_job(ended, JobPhase.CANCELLED, 0.0)
        self.workload.drop_if_idle(ended)
        executor = self.leader.fleet.executors["e0"]
        executor.orphan_attempts.add((TaskId(ended.job.id, 0, 0, 0), 1))
        step = self._add(2, _step(3, 5))
        self._decide()
        self.assertThat(len(step.waiting_tasks()), Equals(2))
        executor.orphan_attempts.clear()
        self._decide()
        self.assertThat(step.waiting_tasks(), Equals([]))

    def test_every_phase_of_an_attempt_counts_once(self):
        step = self._add(1, _step(1, 5, duplicates=True))
        executor = self.leader.fleet.executors["e0"]
        pairs = [(step.tasks[0], executor)]
        copies = [
            *self.leader.attempts.reserve_attempts(step, pairs, 1, 0.0),
            *self.leader.attempts.reserve_attempts(step, pairs, 2, 0.0),
        ]
        copies[0].phase = AttemptPhase.STOPPING
        executor.silent_since = 0.0
        self.assertThat(self._cores(), Equals(10))
        for attempt in copies * 2:
            release(attempt)
        self.assertThat(self._cores(), Equals(0))


class TestReports(_Case):
    """Guards against logs and metrics that grow with the number of teams."""

    def test_a_held_step_is_logged_once_a_second_with_its_cap(self):
        records = []
        handler = logging.Handler()
        handler.emit = records.append
        logger = logging.getLogger("dragonflybank.cell.step_holds")
        logger.addHandler(handler)
        logger.setLevel(logging.INFO)
        self.addCleanup(logger.removeHandler, handler)
        self.addCleanup(logger.setLevel, logging.NOTSET)
        self._add(1, _step(5, 5))
        for n in range(200):
            self._decide(0.01 * n)
        self.assertThat(len(records), Equals(2))
        self.assertThat(records[0].step, Equals(f"{1:016x}.0.0"))
        self.assertThat(
            (records[0].reason, records[0].cap_millicores),
            Equals(("cap", 20_000)),
        )

    def test_reports_name_a_bounded_number_of_teams(self):
        names = [f"team-{n:03}" for n in range(200)]
        caps = dict.fromkeys(names, 10)
        self.workload.adopt_config(make_config(2, caps=caps))
        for number, name in enumerate(names, 1):
            self._add(number, _step(1, 1), team=name)
        self._add(999, _step(2, 1), team=names[-1])
        self._decide()
        summary = summarise_teams(self.workload)
        self.assertThat(len(summary), Equals(10))
        self.assertThat(summary[names[-1]]["cores"], Equals(3))
        update_team_gauges(self.workload, self.leader.metrics)
        gauge = self.leader.metrics.team_used_cores
        values = {
            s.labels["team"]: s.value
            for m in gauge.collect()
            for s in m.samples
        }
        self.assertThat(len(values), Equals(51))
        self.assertThat(values[OTHER_TEAMS], Equals(154))
