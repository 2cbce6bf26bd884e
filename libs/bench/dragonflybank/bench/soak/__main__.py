"""Plays the soak: ``python -m dragonflybank.bench.soak --seeds 1-50``."""

__all__ = ["Arguments", "main"]

import asyncio
import pathlib
import shutil
import sys
import time
from typing import Annotated

import attrs
import cappa

from dragonflybank.bench.soak.runner import Soak, play_seed


@attrs.define
class Arguments:
    """Arguments of the soak.

    Attributes:
        seeds: Seeds, as FIRST-LAST or one number; 0 draws one.
        seconds: Time for which jobs and faults come.
        hosts: Number of hosts.
        executors: Number of executors.
        series: Number of series of faults that overlap.
        jobs_per_s: Jobs a second.
        logs: Folder for the logs of seeds that fail.
    """

    seeds: Annotated[str, cappa.Arg(long=True)] = "1"
    seconds: Annotated[float, cappa.Arg(long=True)] = 20.0
    hosts: Annotated[int, cappa.Arg(long=True)] = 3
    executors: Annotated[int, cappa.Arg(long=True)] = 6
    series: Annotated[int, cappa.Arg(long=True)] = 2
    jobs_per_s: Annotated[float, cappa.Arg(long=True)] = 5.0
    logs: Annotated[str, cappa.Arg(long=True)] = "build/soak"


def main(arguments: Arguments) -> int:
    """Plays the seeds one after another; returns the number that failed."""
    first, _, last = arguments.seeds.partition("-")
    start = int(first) or int(time.time())
    soak = Soak(
        seconds=arguments.seconds,
        jobs_per_s=arguments.jobs_per_s,
        hosts=arguments.hosts,
        executors=arguments.executors,
        series=arguments.series,
    )
    failed = 0
    for seed in range(start, int(last or start) + 1):
        folder = pathlib.Path(arguments.logs) / str(seed)
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        found, notes = asyncio.run(play_seed(seed, folder, soak))
        (folder / "notes.txt").write_text("\n".join([*notes, *found]))
        verdict = "; ".join(found[:5]) or "kept"
        print(f"seed {seed}: {notes[-1].strip()}: {verdict}", flush=True)
        failed += bool(found)
        if not found:
            shutil.rmtree(folder)
    return failed


if __name__ == "__main__":
    sys.exit(1 if main(cappa.parse(Arguments)) else 0)
