"""Tests that encoded messages and stored values keep their names.

Messages between hosts, values in the store, settings files, log lines and
records are written under the names of attributes and the values of enums. A
renamed attribute would make hosts of different builds reject each other's
messages and leave stored jobs unreadable.
"""

import attrs
import msgspec
from testtools import TestCase
from testtools.matchers import Equals

from dragonflybank.adapter import settings as adapter_settings
from dragonflybank.cell import election as cell_election
from dragonflybank.cell import jobs as cell_jobs
from dragonflybank.cell import messages as cell_messages
from dragonflybank.cell import ports as cell_ports
from dragonflybank.cell import suspension_records as cell_suspensions
from dragonflybank.cell.metrics import CellMetrics
from dragonflybank.cluster import messages as cluster_messages
from dragonflybank.cluster import owner_messages as cluster_owner_messages
from dragonflybank.cluster import work_messages as cluster_work_messages
from dragonflybank.config import edits as config_edits
from dragonflybank.config import operator as config_operator
from dragonflybank.config import settings as config_settings
from dragonflybank.config import topology as config_topology
from dragonflybank.host.metrics import HostMetrics
from dragonflybank.jobs import entries as jobs_entries
from dragonflybank.jobs import results as jobs_results
from dragonflybank.jobs import value as jobs_value
from dragonflybank.model import codes as model_codes
from dragonflybank.model import decisions as model_decisions
from dragonflybank.model import leases as model_leases
from dragonflybank.model import resources as model_resources
from dragonflybank.model import topology as model_topology
from dragonflybank.model import work as model_work
from dragonflybank.operators import commands as operators_commands
from dragonflybank.operators import view as operators_view
from dragonflybank.standins import records as standins_records

CODES = model_codes.Code
KEYS_BY_CLASS = {
    cluster_messages.Gossip: "entries",
    cluster_messages.FetchConfig: "generation",
    cluster_messages.ConfigValue: "generation value",
    cluster_owner_messages.ReserveRequest: (
        "request_id work_class need count avoid hold_s"
    ),
    cluster_owner_messages.ReserveReply: "reservations",
    cluster_owner_messages.ReleaseRequest: "reservations",
    cluster_owner_messages.StartRequest: "start work_class payload",
    cluster_owner_messages.StartAnswer: "reply",
    cluster_owner_messages.StopRequest: "starts",
    cluster_owner_messages.ResolveRequest: "start",
    cluster_owner_messages.HandoverRequest: "workers query",
    cluster_owner_messages.HandoverReply: "released waiting",
    cluster_work_messages.LookupRequest: (
        "request_id team work_class payload timeout_s hops"
    ),
    cluster_work_messages.LookupReply: "request_id result",
    cluster_work_messages.SubmitJob: "spec",
    cluster_work_messages.QueryJob: "team key wait_s",
    cluster_work_messages.CancelJob: "team key",
    cluster_work_messages.JobReply: "record",
    cluster_work_messages.TaskFinished: "event",
    cluster_work_messages.FinishedReply: "journalled",
    cluster_work_messages.ListWork: "table limit",
    cluster_work_messages.WorkRows: "columns rows",
    cell_messages.SyncRequest: (
        "address epoch number version needs_config accepts_packed accepts_ends "
        "shortfall pending_number suspensions_revision"
    ),
    cell_messages.SyncReply: (
        "epoch number is_whole states pending config over_term start_delays "
        "peers packed packed_ends executors pending_number team_delays "
        "suspensions suspensions_revision"
    ),
    cell_suspensions.LateStart: "task attempt held_s",
    cell_suspensions.Suspension: (
        "executor incarnation term number held_s late age_s"
    ),
    cell_suspensions.SuspensionRecord: "suspensions",
    cell_suspensions.SuspensionAge: "term number age_s",
    cell_messages.StartDelay: "service priority seconds",
    cell_messages.TeamDelay: "service priority seconds team",
    cell_messages.AdviceRequest: "step executors timeout_s",
    cell_messages.AdviceReply: "tickets",
    cell_messages.KeyWrittenRequest: "epoch key value revision",
    cell_messages.ReadRequest: "key",
    cell_messages.ReadReply: "value revision",
    cell_messages.WriteRequest: "expected puts",
    cell_messages.WriteReply: "revision",
    cell_jobs.TaskId: "job occurrence step index",
    cell_jobs.Step: (
        "count millicores memory_mb accelerators estimate_s after gang "
        "same_rack label near_rack max_per_executor checkpoints "
        "duplicates lasting image tail_target_s filling max_unavailable"
    ),
    cell_jobs.AdviceTiming: "base_s each_s valid_s",
    cell_jobs.Queue: (
        "name host prefix service priority objective_s slack "
        "max_attempts advised version is_public"
    ),
    cell_jobs.Job: (
        "id queue spec steps accepted_at start_at interval_s repeat team"
    ),
    cell_jobs.Progress: "phase done failed saved placed ended_at queue",
    cell_election.LeaderRecord: "name address term",
    jobs_entries.Ending: "state problem",
    jobs_entries.Entry: (
        "record repeatable gang running stored has_result_keys ran "
        "ending failures"
    ),
    jobs_entries.Tombstone: (
        "team job_key work_class state spec_digest result_digest "
        "problem finished_at has_result_keys"
    ),
    jobs_results.StoredResult: "mark digest text",
    jobs_value.ShardValue: ("shard home mark written_at records tombstones"),
    model_codes.Problem: "code detail field accepted retry_after_s",
    model_decisions.Decision: (
        "at kind subject chosen reason passed_over code"
    ),
    model_leases.TaskEvent: ("task_id worker state result reason run_s peak"),
    model_leases.Reservation: (
        "id worker host epoch grant expires_at incarnation"
    ),
    model_leases.Resolution: "kind event",
    model_resources.Resources: (
        "cores memory_mb accelerators slots connections"
    ),
    model_topology.VmInfo: (
        "name address port region failure_domain rack role state size"
    ),
    model_topology.CapacitySummary: (
        "host region at free_lookup_slots free largest queue_s quarantined"
    ),
    model_work.WorkClass: (
        "name kind repeatable priority value size expected_s timeout_s "
        "can_checkpoint"
    ),
    model_work.JobSpec: ("team key work_class payload tasks size expected_s"),
    model_work.StartRecord: (
        "task_id worker epoch grant sent_at reservation incarnation"
    ),
    model_work.JobRecord: (
        "spec state accepted_at attempt starts results problem "
        "finished_at failed_on not_before grant_factor"
    ),
    model_work.Answer: (
        "outcome code state length digest result detail retry_after_s "
        "ask field accepted"
    ),
    operators_view.WorkerRow: (
        "name region rack owner epoch state tasks free_cores "
        "free_memory_mb free_slots"
    ),
    operators_view.HostRow: (
        "name region status silent_s generation free_lookup_slots queue_s"
    ),
    operators_view.TeamUsage: "team running waiting",
    operators_view.ClassUsage: "work_class median_s p95_s measured",
    operators_commands.WorkRow: (
        "team key work_class state region host worker tasks attempt "
        "age_s code detail"
    ),
    standins_records.Record: "at",
    standins_records.WorkerUp: "at worker incarnation size",
    standins_records.ClaimWon: "at worker host epoch",
    standins_records.TaskStarted: (
        "at worker task_id work_class epoch grant payload_digest"
    ),
    standins_records.TaskEnded: "at worker task_id state reason",
    standins_records.LookupStarted: (
        "at worker request_id work_class grant payload_digest"
    ),
    standins_records.LookupEnded: "at worker request_id state reason",
    standins_records.Refused: "at server kind subject reason",
    standins_records.StoreWritten: "at key version length generation deleted",
    standins_records.StoreAnswered: "at key version",
    standins_records.ChangeAnswered: "at",
    standins_records.GenerationRead: "at key version generation",
    standins_records.GenerationSeen: "at host generation incarnation",
    standins_records.HostDrained: "at host exited_at",
    standins_records.LeavingAnnounced: "at vm source leaving",
    standins_records.FaultSet: "at server fault",
    adapter_settings.StoreSettings: "address writes_per_s reads_per_s",
    adapter_settings.PlatformBounds: (
        "max_lease_ms stop_grace_ms early_ms status_s grace_s"
    ),
    adapter_settings.TeamBounds: "quota_overage",
    adapter_settings.VmLimits: "link_mbps max_fds",
    adapter_settings.AdapterSettings: (
        "name zone ip callers_address ready_address metrics_address "
        "peer_ports store region zones advice_address cores core_share "
        "memory_mb heartbeat_ms bounds team_bounds limits"
    ),
    config_settings.Address: "address port",
    config_settings.Seed: "name region address port",
    config_settings.Intervals: "vmlist_s hold_s drain_s",
    config_settings.RegionLatency: "regions one_way_s",
    config_settings.Settings: (
        "name region store_url vmlist_url failure_domain rack http peer "
        "seeds intervals lookup_reserve price_per_mb shards_per_region "
        "results_per_s latencies"
    ),
    config_topology.Rack: "name region failure_domain",
    config_topology.HostSpec: "name region failure_domain http peer",
    config_topology.Latencies: "within_region_s between_regions_s client_s",
    config_topology.Topology: (
        "name regions racks workers hosts latencies price_per_mb"
    ),
    config_operator.Team: (
        "name region shards max_running lookups_per_s weight"
    ),
    config_operator.Limits: (
        "lookup_queue team_queue quarantine_share retry_budget"
    ),
    config_operator.BreakWindow: "start end days",
    config_operator.OperatorConfig: (
        "generation classes teams breaks limits history"
    ),
    config_edits.Edit: "path old new",
    config_edits.Change: "name author based_on edits id staged_at",
    config_edits.AppliedChange: (
        "generation name author applied_by applied_at edits id"
    ),
    config_edits.Difference: "path old current new changed_by",
}
VALUES_BY_ENUM = {
    cluster_messages.RequestKind: (
        "gossip",
        "fetch_config",
        "lookup",
        "job_submit",
        "job_query",
        "job_cancel",
        "reserve",
        "release",
        "start",
        "stop",
        "resolve",
        "task_finished",
        "handover",
        "list_work",
    ),
    cell_jobs.JobPhase: (
        "queued",
        "running",
        "completed",
        "failed",
        "cancelled",
    ),
    model_codes.Code: (
        ("OK", 0),
        ("BAD_SETTINGS", 101),
        ("BAD_COMMAND", 102),
        ("BAD_REQUEST", 103),
        ("BAD_CONFIGURATION", 104),
        ("UNKNOWN_KEY", 105),
        ("OVER_QUOTA", 201),
        ("OVERLOADED", 202),
        ("CAN_NEVER_RUN", 203),
        ("STORE_UNAVAILABLE", 204),
        ("DRAINING", 205),
        ("NO_WORKER", 206),
        ("BREAK_CLOSED", 207),
        ("CHANGE_CONFLICT", 208),
        ("KEY_REUSED", 209),
        ("UNKNOWN_JOB", 210),
        ("CANCELLED_BEFORE_START", 211),
        ("ANSWER_LOST", 301),
        ("WORKER_LOST", 302),
        ("WRITE_UNSETTLED", 303),
        ("ASK_AGAIN", 304),
        ("TASK_FAILED", 401),
        ("SIZE_EXCEEDED", 402),
        ("FAILED_ON_UNLIKE_WORKERS", 403),
        ("CANCELLED_AFTER_START", 404),
        ("STALE_EPOCH", 501),
        ("TIMED_OUT", 502),
        ("UNREACHABLE", 503),
        ("CAS_CONFLICT", 504),
        ("NOT_OWNER", 505),
        ("NOT_HOME", 506),
        ("FULL", 507),
    ),
    model_leases.TaskState: ("running", "done", "failed", "stopped", "lapsed"),
    model_leases.StartReply: ("started", "known"),
    model_leases.ResolutionKind: (
        "adopted",
        "finished",
        "not_started",
        "lease_lapsed",
        "undecided",
    ),
    model_topology.VmState: ("live", "leaving"),
    model_topology.VmRole: ("worker", "host"),
    model_work.WorkKind: ("lookup", "batch", "gang", "service"),
    model_work.JobState: (
        "queued",
        "starting",
        "running",
        "done",
        "failed",
        "cancelled",
        "unknown",
    ),
    model_work.Outcome: (
        "done",
        "not_run",
        "refused",
        "unknown",
        "failed",
        "pending",
    ),
    operators_commands.Listing: ("running", "waiting", "refused", "finished"),
    operators_commands.Table: (
        "workers",
        "hosts",
        "teams",
        "classes",
        "config",
        "staged",
    ),
    operators_commands.Op: ("=", "!=", "<", "<=", ">", ">=", "~"),
    cell_ports.EndKind: (
        "done",
        "failed",
        "stopped",
        "lapsed",
        "broken",
        "alone",
    ),
    cell_ports.CommandReply: (
        "ok",
        "fenced",
        "old",
        "late",
        "no_room",
        "no_ticket",
        "unhealthy",
        "other_instance",
        "bad",
    ),
}
RECORD_NAMES = (
    "ChangeAnswered ClaimWon FaultSet GenerationRead GenerationSeen "
    "HostDrained LeavingAnnounced LookupEnded LookupStarted Refused "
    "StoreAnswered StoreWritten TaskEnded TaskStarted WorkerUp"
)
METRICS = (
    "dragonflybank_answers_total",
    "dragonflybank_keys_refused_total",
    "dragonflybank_keys_refused_created",
    "dragonflybank_starts_total",
    "dragonflybank_ends_total",
    "dragonflybank_jobs_ended_total",
    "dragonflybank_executors_lost_total",
    "dragonflybank_lease_suspensions_total",
    "dragonflybank_malformed_inputs_total",
    "dragonflybank_isolated_faults_total",
    "dragonflybank_client_limits_total",
    "dragonflybank_elections_total",
    "dragonflybank_elections_created",
    "dragonflybank_store_calls_total",
    "dragonflybank_store_call_seconds",
    "dragonflybank_store_call_seconds_created",
    "dragonflybank_placement_wait_seconds",
    "dragonflybank_job_seconds",
    "dragonflybank_waiting_steps",
    "dragonflybank_executors",
    "dragonflybank_free_cores",
    "dragonflybank_start_delay_seconds",
    "dragonflybank_team_used_cores",
    "dragonflybank_team_waiting_steps",
    "dragonflybank_config_version",
    "dragonflybank_board_age_seconds",
    "dragonflybank_answers_total",
    "dragonflybank_lookup_seconds",
    "dragonflybank_lookup_seconds_created",
    "dragonflybank_forwards_total",
    "dragonflybank_retries_total",
    "dragonflybank_peer_calls_total",
    "dragonflybank_peer_bytes_total",
    "dragonflybank_owned_workers",
    "dragonflybank_open_shards",
    "dragonflybank_config_generation",
)


def encoded_keys(cls):
    """Returns the keys under which an instance of a class is written."""
    instance = cls.__new__(cls)
    for field in attrs.fields(cls):
        object.__setattr__(instance, field.name, 0)
    by_msgspec = msgspec.json.decode(msgspec.json.encode(instance))
    by_attrs = attrs.asdict(instance)
    assert by_msgspec == by_attrs, (cls, by_msgspec, by_attrs)
    return " ".join(by_attrs)


class TestEncodedNames(TestCase):
    """The names under which values leave a process."""

    def test_classes_are_written_under_these_keys(self):
        written = {cls: encoded_keys(cls) for cls in KEYS_BY_CLASS}
        self.assertThat(written, Equals(KEYS_BY_CLASS))

    def test_enums_are_written_as_these_values(self):
        written = {
            cls: tuple(
                (each.name, each.value) if cls is CODES else each.value
                for each in cls
            )
            for cls in VALUES_BY_ENUM
        }
        self.assertThat(written, Equals(VALUES_BY_ENUM))

    def test_records_are_written_under_the_names_of_their_classes(self):
        names = sorted(cls.__name__ for cls in standins_records.RECORD_TYPES)
        self.assertThat(" ".join(names), Equals(RECORD_NAMES))

    def test_metrics_have_these_names(self):
        exposed = CellMetrics().exposition() + HostMetrics().exposition()
        lines = exposed.decode().splitlines()
        types = [line.split()[2] for line in lines if line[:6] == "# TYPE"]
        self.assertThat(tuple(types), Equals(METRICS))
