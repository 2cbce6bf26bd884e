"""Prometheus metrics of a host of a cell."""

__all__ = ["CellMetrics"]

import prometheus_client

# From well below the objective of urgent work to far above that of batch work.
WAIT_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)
CALL_BUCKETS_S = (0.002, 0.005, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)


class CellMetrics:
    """The metrics of one host, in their own registry.

    To keep the number of time series small, labels are result codes, kinds of
    ends and calls, and queue priorities, but never names of jobs or executors.
    A bounded number of teams is named, see `team_report`.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.answers = self._counter(
            "answers", "Answers to callers", "call", "code"
        )
        self.keys_refused = self._counter(
            "keys_refused", "Calls that were refused for their API key"
        )
        self.starts = self._counter(
            "starts", "Answers of executors to orders to start", "reply"
        )
        self.ends = self._counter("ends", "Ended attempts", "kind")
        self.jobs_ended = self._counter("jobs_ended", "Ended jobs", "phase")
        self.executors_lost = self._counter(
            "executors_lost", "Executors whose attempts were lost", "reason"
        )
        self.lease_suspensions = self._counter(
            "lease_suspensions",
            "Suspensions of the leases of silent executors",
            "event",
        )
        self.malformed_inputs = self._counter(
            "malformed_inputs", "Documents that could not be decoded", "source"
        )
        self.isolated_faults = self._counter(
            "isolated_faults",
            "Unexpected exceptions that were isolated from other work",
            "place",
        )
        self.client_limits = self._counter(
            "client_limits",
            "Requests and connections of clients that met a limit",
            "reason",
        )
        self.elections = self._counter("elections", "Elections won")
        self.store_calls = self._counter(
            "store_calls", "Calls to the store", "call", "outcome"
        )
        self.store_call_seconds = self._histogram(
            "store_call_seconds", "Time of calls to the store", CALL_BUCKETS_S
        )
        self.placement_wait_seconds = self._histogram(
            "placement_wait_seconds",
            "Time from a step being ready to the placement of a task",
            WAIT_BUCKETS_S,
            "priority",
        )
        self.job_seconds = self._histogram(
            "job_seconds",
            "Time from a job's acceptance to its end",
            WAIT_BUCKETS_S,
            "priority",
        )
        self.waiting_steps = self._gauge(
            "waiting_steps", "Steps with tasks to place"
        )
        self.executors = self._gauge(
            "executors", "Executors that the leader knows", "state"
        )
        self.free_cores = self._gauge("free_cores", "Free processors")
        self.start_delay_seconds = self._gauge(
            "start_delay_seconds",
            "Expected wait of a new job under overload, 0 without overload",
        )
        self.team_used_cores = self._gauge(
            "team_used_cores", "Processors that a team's attempts use", "team"
        )
        self.team_waiting_steps = self._gauge(
            "team_waiting_steps", "Steps of a team with tasks to place", "team"
        )
        self.config_version = self._gauge(
            "config_version", "Version of the configuration in force"
        )
        # In this name, board means the cache of job phases.
        self.board_age_seconds = self._gauge(
            "board_age_seconds", "Age of the job states that callers are told"
        )

    def exposition(self) -> bytes:
        """Returns the metrics in Prometheus' text format."""
        return prometheus_client.generate_latest(self.registry)

    def _counter(self, name: str, text: str, *labels: str):
        return prometheus_client.Counter(
            f"dragonflybank_{name}", text, labels, registry=self.registry
        )

    def _gauge(self, name: str, text: str, *labels: str):
        return prometheus_client.Gauge(
            f"dragonflybank_{name}", text, labels, registry=self.registry
        )

    def _histogram(self, name: str, text: str, buckets, *labels: str):
        return prometheus_client.Histogram(
            f"dragonflybank_{name}",
            text,
            labels,
            buckets=buckets,
            registry=self.registry,
        )
