"""What the processes of a run spend: calls, bytes, processor time, memory."""

__all__ = ["Counts", "Spent", "metric", "spent_between", "take_counts"]

import asyncio
import collections
import time
from collections.abc import Mapping

import attrs
import psutil

from dragonflybank.bench.deployment import LoopbackDeployment

# Calls that carry work and not control.
WORK_KINDS = frozenset({"execute", "start", "stop", "ack"})


@attrs.frozen
class Counts:
    """Counters of a run at one moment.

    Attributes:
        at: Time in seconds since 1970.
        store: Calls of the store by kind.
        watches: Watches that wait at the store.
        workers: Calls of all workers by kind.
        http_bytes: Bytes of control calls at the store, the VM list and the
            workers.
        processor_s: Processor time of each host in seconds.
        memory: Resident memory of each host in bytes.
        peer_sent: Bytes sent to hosts by scope, summed over the hosts.
        peer_bytes: Bytes sent and received of each host.
    """

    at: float
    store: Mapping[str, int]
    watches: int
    workers: Mapping[str, int]
    http_bytes: Mapping[str, int]
    processor_s: Mapping[str, float]
    memory: Mapping[str, int]
    peer_sent: Mapping[str, float]
    peer_bytes: Mapping[str, float]


@attrs.frozen
class Spent:
    """What was spent in an interval, each second.

    Attributes:
        seconds: Length of the interval.
        store: Store calls a second by kind.
        watches: Watches that wait at the store at its end.
        worker_calls: Control calls a second for each worker.
        worker_bytes: Bytes of control calls a second for each worker.
        processor: Mean share of a core of a host.
        processor_most: Share of a core of the busiest host.
        memory: Mean resident memory of a host in bytes.
        memory_most: Resident memory of the largest host in bytes.
        peer_bytes: Mean bytes a second that a host sends to and receives
            from other hosts.
        http_bytes: Mean bytes a second of a host's control calls to the
            store, the VM list and the workers.
        between_bytes: Bytes a second between regions, all hosts.
    """

    seconds: float
    store: Mapping[str, float]
    watches: int
    worker_calls: float
    worker_bytes: float
    processor: float
    processor_most: float
    memory: float
    memory_most: float
    peer_bytes: float
    http_bytes: Mapping[str, float]
    between_bytes: float

    @property
    def control_bytes(self) -> float:
        """Mean bytes a second of a host for all of these together."""
        return self.peer_bytes + sum(self.http_bytes.values())

    @property
    def store_calls(self) -> float:
        """Store calls a second of all kinds."""
        return sum(self.store.values())


async def take_counts(deployment: LoopbackDeployment) -> Counts:
    """Reads all counters of a run."""
    begin = time.time()
    names = [worker.name for worker in deployment.topology.workers]
    # One after the other, hundreds of workers took seconds on a busy machine,
    # which differed at both ends of an interval and spoilt its rates.
    store, vmlist, *workers = await asyncio.gather(
        deployment.calls("store", "store"),
        deployment.calls("vmlist", "vmlist"),
        *(deployment.calls("workers", name) for name in names),
    )
    at = (begin + time.time()) / 2
    calls: collections.Counter[str] = collections.Counter()
    worker_bytes = 0
    for found in workers:
        calls.update(found["calls"])
        worker_bytes += _control_bytes(found["bytes"])
    sent, received = await _peer_bytes(deployment)
    processes = {
        name: psutil.Process(host.process.pid)
        for name, host in deployment.hosts.items()
        if host.process.is_running
    }
    times = {name: p.cpu_times() for name, p in processes.items()}
    return Counts(
        at,
        store["calls"],
        store["waiting_watches"],
        {k: n for k, n in calls.items() if k not in WORK_KINDS},
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


def spent_between(before: Counts, after: Counts, workers: int) -> Spent:
    """Returns what was spent between two moments.

    Args:
        before: Counters at the beginning.
        after: Counters at the end.
        workers: Number of workers.
    """
    seconds = after.at - before.at
    hosts = len(after.memory)
    shares = [
        (after.processor_s[name] - before.processor_s[name]) / seconds
        for name in after.processor_s
    ]
    peer = _difference(before.peer_bytes, after.peer_bytes) / seconds / hosts
    http = {
        part: (after.http_bytes[part] - before.http_bytes[part]) / seconds
        for part in after.http_bytes
    }
    return Spent(
        seconds,
        {
            kind: (count - before.store.get(kind, 0)) / seconds
            for kind, count in after.store.items()
        },
        after.watches,
        _difference(before.workers, after.workers) / seconds / workers,
        http["workers"] / workers,
        sum(shares) / hosts,
        max(shares),
        sum(after.memory.values()) / hosts,
        max(after.memory.values()),
        peer,
        {part: rate / hosts for part, rate in http.items()},
        (
            after.peer_sent.get("between_regions", 0.0)
            - before.peer_sent.get("between_regions", 0.0)
        )
        / seconds,
    )


def metric(text: str, name: str) -> float:
    """Returns a metric without labels from Prometheus' text, 0 if absent."""
    lines = (line for line in text.splitlines() if line.startswith(name + " "))
    return float(next(lines, f"{name} 0").split()[1])


async def _peer_bytes(deployment) -> tuple[dict, dict]:
    """Returns bytes sent by scope, and bytes in both directions by host."""
    by_scope: collections.Counter[str] = collections.Counter()
    by_host: collections.Counter[str] = collections.Counter()
    for name, host in deployment.hosts.items():
        for line in (await deployment.metrics(host)).splitlines():
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
    return sum(n for kind, n in by_kind.items() if kind not in WORK_KINDS)


def _difference(before: Mapping, after: Mapping) -> float:
    return sum(after.values()) - sum(before.values())
