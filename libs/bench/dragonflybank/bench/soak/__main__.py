"""Runs the soak: ``python -m dragonflybank.bench.soak --seeds 1-50``."""

__all__ = ["Arguments", "main"]

import asyncio
import pathlib
import shutil
import sys
import time
from typing import Annotated

import attrs
import cappa

from dragonflybank.bench.soak.faults import TROUBLES
from dragonflybank.bench.soak.runner import SoakSettings, run_seed


@attrs.define
class Arguments:
    """Arguments of the soak.

    Attributes:
        seeds: Seeds as FIRST-LAST or one number; 0 takes the time as the seed.
        seconds: Time in which jobs are submitted and faults begin.
        hosts: Number of hosts.
        executors: Number of executors.
        series: Number of series of faults that run concurrently.
        jobs_per_s: Average rate of submissions in jobs per second.
        long_share: Share of the jobs whose tasks run for 8 to 20 s.
        trouble: Which faults to draw from, a key of `TROUBLES`.
        logs: Folder for the logs of seeds with violations.
        keep_logs: Whether to keep the logs of seeds without violations too.
    """

    seeds: Annotated[str, cappa.Arg(long=True)] = "1"
    seconds: Annotated[float, cappa.Arg(long=True)] = 20.0
    hosts: Annotated[int, cappa.Arg(long=True)] = 3
    executors: Annotated[int, cappa.Arg(long=True)] = 6
    series: Annotated[int, cappa.Arg(long=True)] = 2
    jobs_per_s: Annotated[float, cappa.Arg(long=True)] = 5.0
    long_share: Annotated[float, cappa.Arg(long=True)] = 0.05
    trouble: Annotated[str, cappa.Arg(long=True, choices=list(TROUBLES))] = (
        "all"
    )
    logs: Annotated[str, cappa.Arg(long=True)] = "build/soak"
    keep_logs: Annotated[bool, cappa.Arg(long=True)] = False


def main(arguments: Arguments) -> int:
    """Runs the seeds one after another; returns how many had violations."""
    first, _, last = arguments.seeds.partition("-")
    start = int(first) or int(time.time())
    settings = SoakSettings(
        seconds=arguments.seconds,
        jobs_per_s=arguments.jobs_per_s,
        hosts=arguments.hosts,
        executors=arguments.executors,
        series=arguments.series,
        long_share=arguments.long_share,
        faults=TROUBLES[arguments.trouble],
    )
    failed = 0
    for seed in range(start, int(last or start) + 1):
        folder = pathlib.Path(arguments.logs) / str(seed)
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        violations, notes = asyncio.run(run_seed(seed, folder, settings))
        (folder / "notes.txt").write_text("\n".join([*notes, *violations]))
        verdict = "; ".join(violations[:5]) or "kept"
        print(f"seed {seed}: {notes[-1].strip()}: {verdict}", flush=True)
        failed += bool(violations)
        if not violations and not arguments.keep_logs:
            shutil.rmtree(folder)
    return failed


if __name__ == "__main__":
    sys.exit(1 if main(cappa.parse(Arguments)) else 0)
