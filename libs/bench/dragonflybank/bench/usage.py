"""Resource usage of a run: calls, bytes, CPU time and memory."""

__all__ = [
    "UsageCounters",
    "UsageRates",
    "metric_value",
    "rates_between",
    "read_counters",
]

import asyncio
import collections
import time
from collections.abc import Mapping

import attrs
import psutil

from dragonflybank.bench.deployment import LoopbackDeployment

# Calls that carry work; all other kinds are control calls.
WORK_CALL_KINDS = frozenset({"execute", "start", "stop", "ack"})


@attrs.frozen
class UsageCounters:
    """Counters of a run, read at one time.

    Attributes:
        read_at: Time in seconds since 1970.
        store_calls: Calls to the store by kind.
        waiting_watches: Open watch calls at the store.
        worker_calls: Control calls to all workers by kind.
        http_bytes: Bytes of control calls to the store, the VM list and the
            workers.
        processor_s: CPU time of each host in seconds.
        memory_bytes: Resident memory of each host in bytes.
        peer_bytes_sent: Bytes sent between hosts by scope, summed over the
            hosts.
        peer_bytes: Bytes that each host sent to and received from its peers.
    """

    read_at: float
    store_calls: Mapping[str, int]
    waiting_watches: int
    worker_calls: Mapping[str, int]
    http_bytes: Mapping[str, int]
    processor_s: Mapping[str, float]
    memory_bytes: Mapping[str, int]
    peer_bytes_sent: Mapping[str, float]
    peer_bytes: Mapping[str, float]


@attrs.frozen
class UsageRates:
    """Resource usage during an interval.

    Attributes:
        duration_s: Length of the interval in seconds.
        store_calls_per_s: Store calls per second by kind.
        waiting_watches: Open watch calls at the store at the end.
        worker_calls_per_s: Control calls per second for each worker.
        worker_bytes_per_s: Bytes per second of the control calls for each
            worker.
        mean_host_cores: CPU time per second, mean of the hosts.
        max_host_cores: CPU time per second of the busiest host.
        mean_memory_bytes: Resident memory, mean of the hosts.
        max_memory_bytes: Resident memory of the host that uses most.
        peer_bytes_per_s: Bytes per second that a host sends to and receives
            from other hosts, mean of the hosts.
        http_bytes_per_s: Bytes per second of a host's control calls to the
            store, the VM list and the workers, mean of the hosts.
        inter_region_bytes_per_s: Bytes per second between regions, sum of
            the hosts.
    """

    duration_s: float
    store_calls_per_s: Mapping[str, float]
    waiting_watches: int
    worker_calls_per_s: float
    worker_bytes_per_s: float
    mean_host_cores: float
    max_host_cores: float
    mean_memory_bytes: float
    max_memory_bytes: float
    peer_bytes_per_s: float
    http_bytes_per_s: Mapping[str, float]
    inter_region_bytes_per_s: float

    @property
    def control_bytes_per_s(self) -> float:
        """Peer and HTTP control bytes per second, mean of the hosts."""
        return self.peer_bytes_per_s + sum(self.http_bytes_per_s.values())

    @property
    def total_store_calls_per_s(self) -> float:
        """Store calls per second of all kinds."""
        return sum(self.store_calls_per_s.values())


async def read_counters(deployment: LoopbackDeployment) -> UsageCounters:
    """Reads all counters of a run."""
    started_at = time.time()
    names = [worker.name for worker in deployment.topology.workers]
    # All at once: one after another, hundreds of workers take seconds on a
    # busy machine. That time differs at both ends of an interval, which makes
    # the rates wrong.
    store, vmlist, *workers = await asyncio.gather(
        deployment.read_call_counts("store", "store"),
        deployment.read_call_counts("vmlist", "vmlist"),
        *(deployment.read_call_counts("workers", name) for name in names),
    )
    read_at = (started_at + time.time()) / 2
    calls: collections.Counter[str] = collections.Counter()
    worker_bytes = 0
    for counted in workers:
        calls.update(counted["calls"])
        worker_bytes += _control_bytes(counted["bytes"])
    sent, received = await _peer_bytes(deployment)
    processes = {
        name: psutil.Process(host.process.pid)
        for name, host in deployment.hosts.items()
        if host.process.is_running
    }
    times = {name: p.cpu_times() for name, p in processes.items()}
    return UsageCounters(
        read_at,
        store["calls"],
        store["waiting_watches"],
        {k: n for k, n in calls.items() if k not in WORK_CALL_KINDS},
        {
            "store": _control_bytes(store["bytes"]),
            "VM list": _control_bytes(vmlist["bytes"]),
            "workers": worker_bytes,
        },
        {name: used.user + used.system for name, used in times.items()},
        {name: p.memory_info().rss for name, p in processes.items()},
        sent,
        received,
    )


def rates_between(
    before: UsageCounters, after: UsageCounters, workers: int
) -> UsageRates:
    """Returns the resource usage between two readings of the counters.

    Args:
        before: Counters at the start of the interval.
        after: Counters at its end.
        workers: Number of workers.
    """
    duration_s = after.read_at - before.read_at
    hosts = len(after.memory_bytes)
    cores = [
        (after.processor_s[name] - before.processor_s[name]) / duration_s
        for name in after.processor_s
    ]
    peer_bytes_per_s = (
        _increase_of_sum(before.peer_bytes, after.peer_bytes)
        / duration_s
        / hosts
    )
    http = {
        part: (after.http_bytes[part] - before.http_bytes[part]) / duration_s
        for part in after.http_bytes
    }
    return UsageRates(
        duration_s,
        {
            kind: (count - before.store_calls.get(kind, 0)) / duration_s
            for kind, count in after.store_calls.items()
        },
        after.waiting_watches,
        _increase_of_sum(before.worker_calls, after.worker_calls)
        / duration_s
        / workers,
        http["workers"] / workers,
        sum(cores) / hosts,
        max(cores),
        sum(after.memory_bytes.values()) / hosts,
        max(after.memory_bytes.values()),
        peer_bytes_per_s,
        {part: rate / hosts for part, rate in http.items()},
        (
            after.peer_bytes_sent.get("between_regions", 0.0)
            - before.peer_bytes_sent.get("between_regions", 0.0)
        )
        / duration_s,
    )


def metric_value(text: str, name: str) -> float:
    """Returns a metric without labels from Prometheus text, or 0."""
    lines = (line for line in text.splitlines() if line.startswith(name + " "))
    return float(next(lines, f"{name} 0").split()[1])


async def _peer_bytes(deployment) -> tuple[dict, dict]:
    """Returns bytes sent by scope, and bytes sent and received by host."""
    by_scope: collections.Counter[str] = collections.Counter()
    by_host: collections.Counter[str] = collections.Counter()
    for name, host in deployment.hosts.items():
        for line in (await deployment.read_metrics(host)).splitlines():
            if not line.startswith("dragonflybank_peer_bytes_total"):
                continue
            labels, _, value = line.partition("} ")
            by_host[name] += float(value)
            if 'direction="sent"' in labels:
                by_scope[labels.partition('scope="')[2].split('"')[0]] += float(
                    value
                )
    return dict(by_scope), dict(by_host)


def _control_bytes(by_kind: Mapping[str, int]) -> int:
    return sum(n for kind, n in by_kind.items() if kind not in WORK_CALL_KINDS)


def _increase_of_sum(before: Mapping, after: Mapping) -> float:
    return sum(after.values()) - sum(before.values())
