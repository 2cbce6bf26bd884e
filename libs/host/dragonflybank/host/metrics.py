"""Prometheus metrics of a scheduler host."""

__all__ = ["HostMetrics"]

import prometheus_client

LOOKUP_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.2, 5.0)


class HostMetrics:
    """Metrics of one scheduler host, with a separate registry."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.answers = self._make_counter(
            "answers", "Answers to callers", "kind", "outcome"
        )
        self.lookup_seconds = prometheus_client.Histogram(
            "dragonflybank_lookup_seconds",
            "Time from the arrival of a lookup to its answer",
            buckets=LOOKUP_BUCKETS_S,
            registry=self.registry,
        )
        self.forwards = self._make_counter(
            "forwards", "Lookups forwarded to another host", "scope"
        )
        self.retries = self._make_counter(
            "retries", "Lookups sent again", "granted"
        )
        self.peer_calls = self._make_counter(
            "peer_calls", "Calls to other hosts", "kind", "code"
        )
        self.peer_bytes = self._make_counter(
            "peer_bytes",
            "Bytes sent to and received from hosts",
            "scope",
            "direction",
        )
        self.owned_workers = self._make_gauge("owned_workers", "Workers owned")
        self.open_shards = self._make_gauge(
            "open_shards", "Job shards kept here"
        )
        self.config_generation = self._make_gauge(
            "config_generation", "Generation of the configuration in force"
        )

    def count_peer_bytes(self, scope: str, sent: int, received: int) -> None:
        """Adds to the bytes exchanged with other hosts.

        Args:
            scope: ``within_region``, ``between_regions`` or ``unknown``.
            sent: Number of bytes sent.
            received: Number of bytes received.
        """
        self.peer_bytes.labels(scope, "sent").inc(sent)
        self.peer_bytes.labels(scope, "received").inc(received)

    def exposition(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def _make_counter(self, name: str, help_text: str, *labels: str):
        return prometheus_client.Counter(
            f"dragonflybank_{name}", help_text, labels, registry=self.registry
        )

    def _make_gauge(self, name: str, help_text: str):
        return prometheus_client.Gauge(
            f"dragonflybank_{name}", help_text, registry=self.registry
        )
