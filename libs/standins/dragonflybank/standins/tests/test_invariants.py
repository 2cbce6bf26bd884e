"""Tests that each check reports records that violate its invariant."""

import json

import attrs
import testtools
from testtools.matchers import Equals

from dragonflybank.model.hashing import digest
from dragonflybank.model.leases import TaskState
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import Outcome
from dragonflybank.standins import records as rec
from dragonflybank.standins.answers import CallerAnswer
from dragonflybank.standins.invariants import check_all
from dragonflybank.standins.simulation import expected_result

PAYLOAD = json.dumps({"answer": "a"})
PAYLOAD_DIGEST = digest(PAYLOAD.encode())
SIZE = Resources(cores=2, memory_mb=100, slots=2, connections=2)
GRANT = Resources(cores=1, memory_mb=50, slots=1, connections=1)
UP = [rec.WorkerUp(0, w, w + "-1", SIZE) for w in ("w1", "w2")]


def _start(at, task="t/k/1/0", worker="w1", work_class="sweep", grant=GRANT):
    return rec.TaskStarted(
        at, worker, task, work_class, 1, grant, PAYLOAD_DIGEST
    )


def _end(at, task="t/k/1/0", worker="w1", state=TaskState.DONE):
    return rec.TaskEnded(at, worker, task, state)


def _lookup(at, request="r1", worker="w1"):
    return rec.LookupStarted(
        at, worker, request, "die_lookup", GRANT, PAYLOAD_DIGEST
    )


def _answer(outcome, *, key="k", work_class="sweep", asked_at=1.0, at=3.0):
    result = expected_result(work_class, PAYLOAD)
    if outcome is not Outcome.DONE:
        result = ""
    body = result.encode()
    return CallerAnswer(
        "t",
        key,
        work_class,
        PAYLOAD,
        asked_at,
        at,
        outcome,
        len(body),
        digest(body),
        result,
        host="h1",
    )


def _config_written(at, version, generation):
    return rec.StoreWritten(at, "config/active", version, 9, generation)


class TestChecks(testtools.TestCase):
    """Guards against a check that misses a violation."""

    def assert_violations(self, records, answers=(), *, expected):
        found = check_all([*UP, *records], answers)
        self.assertThat([v.invariant for v in found], Equals(expected))

    def test_correct_records_have_no_violation(self):
        records = [
            _config_written(0, 1, 1),
            rec.LeavingAnnounced(1, "w2", "vmlist"),
            _start(2),
            _lookup(2),
            _end(3),
            rec.LookupEnded(3, "w1", "r1", TaskState.DONE),
            _start(3, "t/k2/1/0", grant=SIZE),
            _end(4, "t/k2/1/0", state=TaskState.FAILED),
            _start(4, "t/k2/2/0", "w2"),
            rec.HostDrained(5, "h1", 9),
            rec.GenerationSeen(20, "h1", 1),
        ]
        answers = [
            _answer(Outcome.DONE),
            _answer(Outcome.DONE, key="", work_class="die_lookup"),
            _answer(Outcome.UNKNOWN, key="k2"),
        ]
        self.assert_violations(records, answers, expected=[])

    def test_i1_grants_and_lookups_above_the_size(self):
        records = [_start(1), _lookup(1), _start(2, "t/k2/1/0")]
        self.assert_violations(records, expected=["I1"])

    def test_i2_two_runs_of_a_task_at_once(self):
        records = [_start(1), _start(2, "t/k/2/0", "w2"), _end(3)]
        self.assert_violations(records, expected=["I2"])

    def test_i2_run_that_ends_after_later_runs(self):
        records = [
            _start(1),
            _start(2, "t/k/2/0", "w2"),
            _end(3, "t/k/2/0", "w2"),
            _start(4, "t/k/3/0", "w2"),
            _end(5),
        ]
        self.assert_violations(records, expected=["I2", "I2"])

    def test_i3_answer_to_another_request(self):
        records = [_start(1), _end(2)]
        other = expected_result("sweep", "other")
        wrong = attrs.evolve(
            _answer(Outcome.DONE),
            result=other,
            length=len(other),
            digest=digest(other.encode()),
        )
        self.assert_violations(records, [wrong], expected=["I3", "I3"])

    def test_i3_truncated_answer(self):
        records = [_start(1), _end(2)]
        whole = _answer(Outcome.DONE)
        for cut in ({"digest": digest(b"more")}, {"length": 1}):
            answers = [attrs.evolve(whole, **cut)]
            self.assert_violations(records, answers, expected=["I3"])

    def test_i3_job_with_a_missing_task(self):
        records = [_start(1), _end(2), _start(2, "t/k/1/1"), _end(3, "t/k/1/1")]
        text = expected_result("sweep", PAYLOAD)
        body = f"{text}, {text}"
        two = attrs.evolve(
            _answer(Outcome.DONE),
            result=body,
            length=len(body),
            digest=digest(body.encode()),
            tasks=2,
        )
        self.assert_violations(records, [two], expected=[])
        self.assert_violations(records[:2], [two], expected=["I3"])

    def test_i3_result_without_a_finished_run(self):
        self.assert_violations([], [_answer(Outcome.DONE)], expected=["I3"])

    def test_i3_request_without_a_final_answer(self):
        answers = [_answer(None), _answer(Outcome.PENDING, at=4)]
        self.assert_violations([], answers, expected=["I3"])

    def test_i4_refused_work_that_ran_before_or_after_the_answer(self):
        for at in (1, 5):
            for outcome in (Outcome.NOT_RUN, Outcome.REFUSED):
                answers = [_answer(outcome)]
                self.assert_violations([_start(at)], answers, expected=["I4"])

    def test_i4_refused_lookup_that_ran(self):
        answers = [_answer(Outcome.REFUSED, key="", work_class="die_lookup")]
        self.assert_violations([_lookup(2)], answers, expected=["I4"])

    def test_i4_only_a_later_request_allows_a_start(self):
        refused = _answer(Outcome.REFUSED)
        later = _answer(Outcome.UNKNOWN, asked_at=4, at=9)
        self.assert_violations([_start(5)], [refused, later], expected=[])
        refused_again = attrs.evolve(refused, asked_at=4, at=4.5)
        self.assert_violations(
            [_start(5)], [refused, refused_again], expected=["I4", "I4"]
        )
        earlier = attrs.evolve(later, asked_at=2)
        self.assert_violations([_start(5)], [refused, earlier], expected=["I4"])

    def test_i5_second_attempt_of_billed_work(self):
        records = [
            _start(1, work_class="simulation"),
            _end(2, state=TaskState.FAILED),
            _start(3, "t/k/2/0", "w2", "simulation"),
        ]
        self.assert_violations(records, expected=["I5"])

    def test_i5_second_start_of_a_lookup_that_is_not_repeatable(self):
        records = [*UP, _lookup(1), _lookup(2, "r2", "w2")]
        found = check_all(records, non_repeatable={"die_lookup"})
        self.assertThat([v.invariant for v in found], Equals(["I5"]))

    def test_i6_start_on_a_leaving_vm(self):
        for source in ("vmlist", "worker"):
            leaving = rec.LeavingAnnounced(1, "w1", source)
            self.assert_violations([leaving, _start(6)], expected=[])
            self.assert_violations([leaving, _start(6.1)], expected=["I6"])
            self.assert_violations([leaving, _lookup(6.1)], expected=["I6"])

    def test_i6_announcement_ends_when_the_vm_is_replaced(self):
        leaving = rec.LeavingAnnounced(1, "w1", "worker")
        again = attrs.evolve(UP[0], at=4)
        self.assert_violations([leaving, again, _start(9)], expected=[])

    def test_i7_answer_cut_off_by_a_drain(self):
        drain = rec.HostDrained(2, "h1", 9)
        cut = attrs.evolve(_answer(None), was_cut=True)
        self.assert_violations([drain], [cut], expected=["I3", "I7"])
        before = attrs.evolve(cut, at=1.5)
        after = attrs.evolve(cut, asked_at=10, at=11)
        for other in (before, after, attrs.evolve(cut, host="h2")):
            self.assert_violations([drain], [other], expected=["I3"])

    def test_i8_generation_that_decreases(self):
        self.assert_violations(
            [_config_written(1, 1, 2), _config_written(2, 2, 1)],
            expected=["I8"],
        )
        seen = [rec.GenerationSeen(at, "h1", 9 - at) for at in (1, 2)]
        self.assert_violations(seen, expected=["I8"])

    def test_i8_generation_in_force_too_late(self):
        late = rec.GenerationSeen(17.2, "h1", 1)
        for known in (
            rec.StoreAnswered(1.1, "config/active", 1),
            rec.ChangeAnswered(1.1),
            rec.GenerationRead(1.1, "config/active", 1, 2),
            rec.GenerationSeen(1.1, "h2", 2),
        ):
            in_time = attrs.evolve(late, at=17)
            records = [_config_written(1, 1, 2), known]
            self.assert_violations([*records, in_time], expected=[])
            self.assert_violations([*records, late], expected=["I8"])

    def test_i8_time_starts_when_a_change_is_first_known(self):
        records = [
            _config_written(1, 1, 2),
            rec.GenerationSeen(1.1, "h2", 2),
            rec.StoreAnswered(9, "config/active", 1),
            rec.ChangeAnswered(9),
            rec.GenerationSeen(17.2, "h1", 1),
        ]
        self.assert_violations(records, expected=["I8"])

    def test_i8_change_that_is_not_known_yet(self):
        # The store applied the write and went down before it answered.
        records = [
            rec.StoreAnswered(0.5, "config/active", 1),
            _config_written(1, 2, 2),
            rec.StoreAnswered(2, "shards/1", 9),
            rec.GenerationSeen(19, "h1", 1),
            rec.GenerationRead(20, "config/active", 2, 2),
            rec.GenerationSeen(35, "h1", 1),
        ]
        self.assert_violations(records, expected=[])
        late = rec.GenerationSeen(36.1, "h1", 1)
        self.assert_violations([*records, late], expected=["I8"])

    def test_i8_value_without_a_generation(self):
        self.assert_violations([_config_written(1, 1, 0)], expected=["I8"])


class TestRecords(testtools.TestCase):
    """Guards against a record that changes when it is encoded as JSON."""

    def test_each_type_is_decoded_as_it_was_encoded(self):
        samples = {float: 1.5, int: 2, str: "k/ä", bool: True}
        samples |= {Resources: SIZE, TaskState: TaskState.LAPSED}
        for kind in rec.RECORD_TYPES:
            values = [samples[f.type] for f in attrs.fields(kind)]
            record = kind(*values)
            row = json.loads(json.dumps(rec.encode_record(record)))
            self.assertThat(rec.decode_record(row), Equals(record))
