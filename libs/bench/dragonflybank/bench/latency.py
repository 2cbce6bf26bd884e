"""Latency of lookups through real hosts, at base load and at a load peak."""

__all__ = ["load_note", "lookup_latency", "lookup_rows", "processor_s"]

import asyncio
import pathlib
from collections.abc import Mapping, Sequence

import psutil

from dragonflybank.bench.deployment import LoopbackDeployment
from dragonflybank.bench.process_runs import (
    DEPLOYMENT_FOLDERS,
    LoadPhase,
    TimedLookup,
    first_class_of_kind,
    percentile_s,
    running_deployment,
    send_lookups,
    waits_until_start,
)
from dragonflybank.bench.table import Better, Row
from dragonflybank.model.work import WorkKind
from dragonflybank.standins.invariants import check_all

START_BOUND_S = 1.2
START_SOURCE = "section 1: urgent work starts within 1.2 s"
# The load peak has ten times the base rate from one arrival to the next.
PHASES = {
    "calm": LoadPhase(50.0, 8.0),
    "at a tenfold crest": LoadPhase(500.0, 6.0),
    "after the crest": LoadPhase(50.0, 3.0),
}
PERCENTILES = (50.0, 99.0, 99.9)
SETTLE_S = 1.0


def lookup_latency() -> list[Row]:
    """Returns the rows of each deployment."""
    return [
        row
        for f in DEPLOYMENT_FOLDERS
        for row in asyncio.run(_measure_latency(f))
    ]


async def _measure_latency(folder: pathlib.Path) -> list[Row]:
    async with running_deployment(folder) as (deployment, callers):
        await send_lookups(
            deployment, callers, [LoadPhase(20.0, SETTLE_S)], seed=1
        )
        rows = []
        for seed, (name, phase) in enumerate(PHASES.items()):
            before = processor_s(deployment)
            samples = await send_lookups(
                deployment, callers, [phase], seed=seed
            )
            note = load_note(samples, before, processor_s(deployment), phase)
            rows += await lookup_rows(deployment, name, samples, note)
        records = [
            record
            for program in ("workers", "store", "vmlist")
            for record in await deployment.read_records(program)
        ]
        violations = check_all(records, callers.answers)
        rows.append(
            Row(
                "wrong answers and other violations of I1 to I8",
                "number",
                deployment.topology.name,
                float(len(violations)),
                bound=0.0,
                bound_source="section 1: I1 to I8",
                note="; ".join(str(v) for v in violations[:2]),
            )
        )
    return rows


async def lookup_rows(
    deployment: LoopbackDeployment,
    name: str,
    samples: Sequence[TimedLookup],
    note: str,
) -> list[Row]:
    """Returns the rows of the lookups of one phase.

    Args:
        deployment: Deployment that served them.
        name: Name of the phase.
        samples: The lookups.
        note: Conditions of the measurement.
    """
    where = deployment.topology.name
    timeout_s = first_class_of_kind(deployment, WorkKind.LOOKUP).timeout_s
    start_waits = await waits_until_start(deployment, samples)
    response_times = [s.response_time_s for s in samples]
    in_time = sum(1 for s in samples if s.is_in_time(timeout_s))
    return [
        *(
            Row(
                f"wait of a lookup until its start, {name}, p{p:g}",
                "s",
                where,
                percentile_s(start_waits, p),
                bound=START_BOUND_S,
                bound_source=START_SOURCE,
                note=note,
            )
            for p in PERCENTILES
        ),
        *(
            Row(
                f"time to the answer of a lookup, {name}, p{p:g}",
                "s",
                where,
                percentile_s(response_times, p),
                bound=timeout_s,
                bound_source="time-out of the class",
                note=note,
            )
            for p in PERCENTILES
        ),
        Row(
            f"lookups answered in time, {name}",
            "share",
            where,
            in_time / len(samples),
            better=Better.HIGHER,
            note=note,
        ),
    ]


def processor_s(deployment: LoopbackDeployment) -> dict[str, float]:
    """Returns the CPU time of each process so far, in seconds."""
    pids = {name: host.process.pid for name, host in deployment.hosts.items()}
    pids["stand-in workers"] = deployment.pid_of("workers")
    pids["generator"] = psutil.Process().pid
    times = {
        name: psutil.Process(pid).cpu_times() for name, pid in pids.items()
    }
    return {name: used.user + used.system for name, used in times.items()}


def load_note(
    samples: Sequence[TimedLookup],
    before: Mapping[str, float],
    after: Mapping[str, float],
    phase: LoadPhase,
) -> str:
    """Returns a note that shows which process limited a phase.

    Args:
        samples: Lookups of the phase.
        before: CPU time of the processes before it.
        after: Processor time after it.
        phase: The phase.
    """
    share = {n: (after[n] - before[n]) / phase.duration_s for n in after}
    generator = share.pop("generator")
    workers = share.pop("stand-in workers")
    late_ms = 1e3 * percentile_s((s.send_delay_s for s in samples), 99.0)
    return (
        f"{len(samples)} lookups; share of a core: generator {generator:.2f},"
        f" stand-in workers {workers:.2f}, busiest host"
        f" {max(share.values()):.2f}; sent late, p99 {late_ms:.0f} ms"
    )
