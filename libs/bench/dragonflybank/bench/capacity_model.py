"""Calculated resource usage at the design size.

A run of 1,600 workers is too large for one machine. These functions measure
encoded sizes and the processor time of single steps with the real types.
docs/CAPACITY.md combines the results with the slopes of `control_slopes`.
"""

__all__ = ["capacity_model"]

import json
import time
from collections.abc import Callable

from dragonflybank.bench.control_cost import (
    BUDGET,
    BYTES_BOUND,
    PROCESSOR_BOUND,
)
from dragonflybank.bench.control_slopes import fit_line
from dragonflybank.bench.table import Better, Row
from dragonflybank.cluster.entries import HostEntry
from dragonflybank.cluster.gossip import (
    FANOUT,
    ROUND_INTERVAL_S,
    gossip_message,
)
from dragonflybank.cluster.membership import Membership
from dragonflybank.cluster.messages import encode, encode_request
from dragonflybank.cluster.server import FRAME_BYTES
from dragonflybank.config.settings import VMLIST_INTERVAL_S
from dragonflybank.jobs.entries import Entry
from dragonflybank.jobs.journal import WRITE_INTERVAL_S
from dragonflybank.jobs.retention import make_tombstone
from dragonflybank.jobs.table import ShardTable
from dragonflybank.jobs.value import EncodedItem, decode_shard
from dragonflybank.jobs.value_size import ACCEPT_LIMIT_BYTES
from dragonflybank.model.resources import Resources
from dragonflybank.model.topology import CapacitySummary, VmInfo, VmRole
from dragonflybank.model.work import JobRecord, JobSpec, JobState, StartRecord
from dragonflybank.platform.vmlist import decode_vm, encode_vm

DESIGN_SIZE = "size to design for"
WORKERS = 1600
HOSTS = (6, 12, 24, 48, 96)
REGIONS = ("north", "south")
SHARDS = 8 * len(REGIONS)
STARTS_PER_S = 270
RUNNING_TASKS = 6400
JOBS_PER_DAY = 21_000
HOURS_PER_DAY = 24
TASK_COUNTS = (50, 100, 200, 400, 800)
TASKS_PER_JOB = 10
NOW = 1_800_000_000.0
GRANT = Resources(4, 8192, 1, 1, 1)
TIMED_RUNS = 20
MS_PER_S = 1e3
STORE_SOURCE = "platform: several hundred writes a second, taken as 300"


def capacity_model() -> list[Row]:
    """Returns the rows of all models."""
    return [*_vm_list_rows(), *_gossip_rows(), *_journal_rows()]


def _vm_list_rows() -> list[Row]:
    """Returns the traffic and processor time of the periodic VM list reads."""
    vms = [_make_vm(n) for n in range(WORKERS)]
    body = json.dumps({"vms": [encode_vm(vm) for vm in vms]}, default=str)

    def decode_list() -> None:
        for row in json.loads(body)["vms"]:
            decode_vm(row)

    seconds = _min_time_s(decode_list)
    return [
        _row(
            "VM list traffic of a host",
            "B/s",
            len(body) / VMLIST_INTERVAL_S,
            BYTES_BOUND,
            BUDGET,
            f"{WORKERS} rows of {len(body) / WORKERS:.0f} B,"
            f" every {VMLIST_INTERVAL_S:g} s",
        ),
        _row(
            "processor of a host for the VM list",
            "cores",
            seconds / VMLIST_INTERVAL_S,
            PROCESSOR_BOUND,
            BUDGET,
            "JSON and rows only, without HTTP",
        ),
    ]


def _gossip_rows() -> list[Row]:
    """Returns the gossip traffic of a host as the number of hosts grows."""
    sizes = {n: _gossip_bytes(n) for n in HOSTS}
    rates = {n: _gossip_bytes_per_s(n, sizes[n]) for n in HOSTS}
    note = ", ".join(f"{n}: {rate:.0f}" for n, rate in rates.items())
    largest = HOSTS[-1]
    return [
        _row(
            f"gossip traffic of a host, {largest} hosts",
            "B/s",
            rates[largest],
            BYTES_BOUND,
            BUDGET,
            f"sent and received, {sizes[largest]} B for a message with its"
            f" reply; half is sent; by hosts: {note}",
        )
    ]


def _gossip_bytes_per_s(hosts: int, size: int) -> float:
    """Returns bytes per second of gossip with the peers of the region."""
    near_peers = hosts // len(REGIONS) - 1
    return 2 * min(FANOUT, near_peers) * size / ROUND_INTERVAL_S


def _gossip_bytes(hosts: int) -> int:
    """Returns the bytes of a gossip message and its reply."""
    membership = Membership("host-000", REGIONS[0], "127.0.0.1:7000", now=NOW)
    summary = CapacitySummary(
        "host-000", REGIONS[0], NOW, 40, GRANT, GRANT, 0.0
    )
    membership.update_own_entry(summary=summary, generation=1200)
    others = (
        HostEntry(
            f"host-{n:03}",
            int(NOW * 1000),
            100_000,
            REGIONS[n % len(REGIONS)],
            address=f"127.0.0.1:{7000 + n}",
            generation=1200,
        )
        for n in range(1, hosts)
    )
    for entry in others:
        membership.merge((entry,), NOW)
    body = encode(gossip_message(membership.entries_to_send(NOW)))
    message = len(encode_request("gossip", "host-000", body)) + FRAME_BYTES
    reply = len(encode((None, gossip_message(())))) + FRAME_BYTES
    return message + reply


def _journal_rows() -> list[Row]:
    """Returns the size and the processor time of a shard's value."""
    running = [(float(n), float(len(_encoded_shard(n)))) for n in TASK_COUNTS]
    bytes_per_running_task, _ = fit_line(running)
    ended = [
        (float(n), float(len(_encoded_shard(n, done=True))))
        for n in TASK_COUNTS
    ]
    bytes_per_ended_task, _ = fit_line(ended)
    tombstones = [
        (float(n), float(len(_encoded_tombstones(n)))) for n in TASK_COUNTS
    ]
    bytes_per_tombstone, _ = fit_line(tombstones)
    tasks = RUNNING_TASKS / SHARDS
    jobs_per_hour = JOBS_PER_DAY / HOURS_PER_DAY / SHARDS
    stored_bytes = (
        tasks * bytes_per_running_task
        + jobs_per_hour * TASKS_PER_JOB * bytes_per_ended_task
        + JOBS_PER_DAY / SHARDS * bytes_per_tombstone
    )
    free_bytes = ACCEPT_LIMIT_BYTES - stored_bytes
    time_to_refusal_s = (
        free_bytes * SHARDS / (STARTS_PER_S * bytes_per_ended_task)
    )
    note = f"{SHARDS} shards of equal load"
    return [
        _row(
            "bytes of a running task in its shard",
            "B",
            bytes_per_running_task,
            note=note,
        ),
        _row("bytes of an ended task, kept 1 h", "B", bytes_per_ended_task),
        _row("bytes of a tombstone, kept 24 h", "B", bytes_per_tombstone),
        _row(
            "shard value",
            "B",
            stored_bytes,
            float(ACCEPT_LIMIT_BYTES),
            "store values of at most 1 MB; new work is refused above 700 KB",
            f"{note}: {tasks:.0f} running tasks, an hour of jobs of"
            f" {TASKS_PER_JOB} tasks, a day of tombstones",
        ),
        _row(
            f"time at {STARTS_PER_S} starts a second until shards refuse work",
            "s",
            time_to_refusal_s,
            note="the requirements do not say how long the peak lasts; tasks"
            " that end at once; other values as in the row before",
            better=Better.HIGHER,
        ),
        *_journal_cost_rows(int(tasks)),
        _row(
            "store writes of all journals, at most",
            "calls/s",
            SHARDS / WRITE_INTERVAL_S,
            300.0,
            STORE_SOURCE,
            note,
        ),
    ]


def _journal_cost_rows(tasks: int) -> list[Row]:
    """Returns the costs of commits and of a takeover of one shard."""
    table = _make_table(tasks, done=False)
    job = next(iter(table.items()))

    def commit() -> None:
        table.apply({job.key: EncodedItem.from_item(job)})
        table.encode("north/0", "host-000", "mark", NOW)

    value = table.encode("north/0", "host-000", "mark", NOW)
    commit_s = _min_time_s(commit)
    per_s = min(1 / WRITE_INTERVAL_S, STARTS_PER_S / SHARDS)
    return [
        _row(
            "processor of a shard's home for commits",
            "cores",
            commit_s * per_s,
            PROCESSOR_BOUND,
            BUDGET,
            f"{commit_s * MS_PER_S:.2f} ms for {len(value)} B,"
            f" {per_s:.0f} times a second, without HTTP",
        ),
        _row(
            "bytes to the store for one shard's commits",
            "B/s",
            len(value) * per_s,
            BYTES_BOUND,
            BUDGET,
            "the whole value is written each time",
        ),
        _row(
            "reading a shard at a takeover",
            "ms",
            MS_PER_S * _min_time_s(lambda: decode_shard(value)),
        ),
    ]


def _row(
    measure: str,
    unit: str,
    value: float,
    bound: float | None = None,
    source: str = "",
    note: str = "",
    better: Better = Better.LOWER,
) -> Row:
    return Row(
        measure,
        unit,
        DESIGN_SIZE,
        value,
        better=better,
        bound=bound,
        bound_source=source,
        note=note,
    )


def _make_table(tasks: int, *, done: bool) -> ShardTable:
    table = ShardTable()
    size = TASKS_PER_JOB
    jobs = (_make_job(n, size, done=done) for n in range(tasks // size))
    table.apply({job.key: EncodedItem.from_item(job) for job in jobs})
    return table


def _encoded_shard(tasks: int, *, done: bool = False) -> bytes:
    table = _make_table(tasks, done=done)
    return table.encode("north/0", "host-000", "mark", NOW)


def _encoded_tombstones(count: int) -> bytes:
    table = ShardTable()
    tombstones = (
        make_tombstone(_make_job(n, 1, done=True)) for n in range(count)
    )
    table.apply(
        {
            tombstone.key: EncodedItem.from_item(tombstone)
            for tombstone in tombstones
        }
    )
    return table.encode("north/0", "host-000", "mark", NOW)


def _make_job(number: int, tasks: int, *, done: bool) -> Entry:
    """Returns a job whose tasks all run or, if ``done``, have all ended."""
    spec = JobSpec("team-07", f"job-{number:06}", "training", "x", tasks)
    starts = tuple(
        StartRecord(
            f"{spec.team}/{spec.key}/1/{index}",
            f"worker-{index:04}",
            3,
            GRANT,
            NOW,
            f"host-000-{number}",
            f"worker-{index:04}-1800000000000000000",
        )
        for index in range(tasks)
    )
    results = {s.task_id: "x" * 80 for s in starts} if done else {}
    record = JobRecord(
        spec,
        JobState.DONE if done else JobState.RUNNING,
        accepted_at=NOW,
        attempt=1,
        starts=() if done else starts,
        results=results,
        finished_at=NOW if done else 0.0,
    )
    running = () if done else tuple(s.task_id for s in starts)
    return Entry(record, running=running, ran=True)


def _make_vm(number: int) -> VmInfo:
    return VmInfo(
        f"worker-{number:04}",
        "10.0.0.1",
        7000,
        REGIONS[number % len(REGIONS)],
        "north-a",
        "north-r12",
        VmRole.WORKER,
        size=Resources(64, 262_144, 4, 8, 64),
    )


def _min_time_s(step: Callable[[], None]) -> float:
    """Returns the shortest of several run times, in seconds.

    Other load on the machine only adds to a run time.
    """
    times = []
    for _ in range(TIMED_RUNS):
        begin = time.perf_counter()
        step()
        times.append(time.perf_counter() - begin)
    return min(times)
