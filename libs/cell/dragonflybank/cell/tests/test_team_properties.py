"""Properties of caps and shares over drawn teams, steps and running work."""

import itertools

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.matchers import Equals

from dragonflybank.cell.jobs import Step
from dragonflybank.cell.scheduling import Scheduler
from dragonflybank.cell.tests.builders import (
    ManualClock,
    add_job,
    get_step,
    make_config,
    make_executor,
)
from dragonflybank.cell.tests.scheduler_fakes import FakeLeader

TEAMS = ("a", "b", "c")
OVERAGE = 0.1
EXECUTORS, CORES = 4, 16

drawn_teams = st.fixed_dictionaries(
    {
        team: st.tuples(
            st.sampled_from((0, 6, 12, 30)), st.sampled_from((0.5, 1.0, 4.0))
        )
        for team in TEAMS
    }
)
drawn_jobs = st.lists(
    st.tuples(
        st.sampled_from(TEAMS),
        st.sampled_from(("lookup", "sweep")),
        st.integers(1, 6),
        st.integers(1, 9),
        st.booleans(),
        st.booleans(),
    ),
    min_size=1,
    max_size=12,
)


class _Attempts:
    """Records the state of the cell at each start of a step."""

    def __init__(self, manager, usage, steps, executors):
        self._manager = manager
        self._usage = usage
        self._steps = steps
        self._executors = executors
        self.unfair = []
        self.above = []

    def reserve_attempts(self, step, pairs, number, now):
        """See `AttemptManager.reserve_attempts`."""
        team = step.job_state.job.team
        before = self._usage.used(team).millicores
        self._check_share(step)
        made = self._manager.reserve_attempts(step, pairs, number, now)
        after = self._usage.used(team).millicores
        cap = self._usage.cap(team).millicores
        is_first = 2 * before < cap and len(step.job_state.attempts()) == 1
        is_lone_gang = (
            step.spec.gang and not before and after <= cap * (1 + OVERAGE)
        )
        if cap and after > cap and not is_first and not is_lone_gang:
            self.above.append((team, before, after, cap))
        if cap and after > cap * (1 + OVERAGE) + step.spec.millicores:
            self.above.append((team, before, after, cap))
        return made

    def start_attempts(self, step, attempts):
        """See `AttemptManager.start_attempts`."""

    def _weighted_share(self, team):
        used = self._usage.used(team).millicores
        return used / self._usage.teams[team].weight

    def _check_share(self, step):
        """Records steps that waited although their team was to come first.

        The tasks of one step are started together, so shares count from before
        its first task. A step is passed over if it did not fit when its team
        had its turn, after which executors only become fuller.
        """
        state = step.job_state
        if state.attempts():
            return
        own = self._weighted_share(state.job.team)
        for other in self._steps:
            rival = other.job_state
            is_rival = (
                rival.queue is state.queue
                and rival.is_beyond_rate == state.is_beyond_rate
                and rival.job.team != state.job.team
                and not rival.attempts()
            )
            if (
                is_rival
                and self._weighted_share(rival.job.team) < own
                and not other.spec.gang
                and self._fits(other)
                and self._usage.room_for(rival.job.team, other.spec, 1)
                and not self._waits_for_gang(other)
            ):
                self.unfair.append((step.name, other.name))

    def _waits_for_gang(self, step):
        """Returns whether a gang of the same team needs the rest of its cap."""
        team = step.job_state.job.team
        return any(
            gang.spec.gang
            and gang.job_state.job.team == team
            and gang.job_state.queue.priority < step.job_state.queue.priority
            and gang.waiting_tasks()
            and not self._usage.room_for(team, gang.spec, gang.spec.count)
            for gang in self._steps
        )

    def _fits(self, step):
        return any(
            e.free_millicores >= step.spec.millicores for e in self._executors
        )


class TestProperties(testtools.TestCase):
    """Guards against passed caps, unfair order and needless waits."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(drawn_teams, drawn_jobs, st.booleans())
    def test_starts_keep_caps_and_shares(self, teams, jobs, is_late):
        executors = [
            make_executor(f"e{n}", cores=CORES) for n in range(EXECUTORS)
        ]
        leader = FakeLeader(executors, ManualClock())
        workload = leader.workload
        workload.adopt_config(
            make_config(
                caps={name: cap for name, (cap, _) in teams.items()},
                weights={name: weight for name, (_, weight) in teams.items()},
            )
        )
        steps = [
            get_step(
                add_job(
                    workload,
                    number,
                    Step(count, 1000 * cores, gang=gang, filling=filling),
                    queue=queue,
                    team=team,
                    at=0.01 * number,
                )
            )
            for number, (team, queue, count, cores, gang, filling) in enumerate(
                jobs, 1
            )
        ]
        leader.attempts = _Attempts(
            leader.attempts, workload.team_usage, steps, executors
        )
        now = 2.5 if is_late else 0.5
        Scheduler(leader, None).place_waiting_steps(now, now)
        self.assertThat(leader.attempts.above, Equals([]))
        self.assertThat(leader.attempts.unfair, Equals([]))
        if is_late:
            self.assertThat(self._lost(steps, executors, workload), Equals([]))

    def _lost(self, steps, executors, workload):
        """Returns steps that wait though there is room for two of their tasks.

        Nothing of their job runs, and their team and the service are below half
        of their capacity. A gang counts as a whole.
        """
        used = sum(e.used_millicores for e in executors)
        is_idle = 2 * used < 1000 * CORES * EXECUTORS
        usage = workload.team_usage
        return [
            step.name
            for step in steps
            if is_idle
            and step.waiting_tasks()
            and not step.job_state.attempts()
            and usage.is_below_half(step.job_state.job.team)
            and self._room(step, executors) >= 2 * self._tasks(step)
            and self._may_run(step, usage)
        ]

    def _tasks(self, step):
        return step.spec.count if step.spec.gang else 1

    def _room(self, step, executors):
        need = 0 if step.spec.filling else step.spec.millicores
        if not need:
            return 2 * step.spec.count
        return sum(e.free_millicores // need for e in executors)

    def _may_run(self, step, usage):
        """Returns whether a gang fits into the cap with what runs already."""
        cap = usage.cap(step.job_state.job.team).millicores
        used = usage.used(step.job_state.job.team).millicores
        total = self._tasks(step) * step.spec.millicores
        return not step.spec.gang or not cap or used + total <= cap


class TestOrder(testtools.TestCase):
    """Guards against a round whose cost grows with the square of the steps."""

    def test_each_step_of_a_round_is_considered_once(self):
        executors = [make_executor("e", cores=CORES)]
        leader = FakeLeader(executors, ManualClock())
        names = [f"team-{n}" for n in range(20)]
        leader.workload.adopt_config(make_config(caps=dict.fromkeys(names, 0)))
        usage = leader.workload.team_usage
        calls = itertools.count()
        share = usage.weighted_share

        def counted(*args):
            next(calls)
            return share(*args)

        usage.weighted_share = counted
        for number in range(500):
            name = names[number % 20]
            add_job(leader.workload, number + 1, Step(1, 64_000), team=name)
        Scheduler(leader, None).place_waiting_steps(0.5, 0.5)
        self.assertThat(next(calls), Equals(500))
