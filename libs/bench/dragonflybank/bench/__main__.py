"""Runs all benchmarks, prints the table and writes it as JSON.

The exit code is 1 if a bound is missed. Run ``python -m
dragonflybank.bench [name ...]`` to run only some of them.
"""

__all__ = ["BENCHMARKS", "main"]

import pathlib
import sys
from collections.abc import Callable, Sequence

from dragonflybank.bench.blocking import blocking
from dragonflybank.bench.capacity_model import capacity_model
from dragonflybank.bench.config_propagation import apply_in_force
from dragonflybank.bench.control_cost import control_cost
from dragonflybank.bench.control_slopes import control_slopes
from dragonflybank.bench.decisions import (
    backlog_decisions,
    lookup_decisions,
    placement_decisions,
)
from dragonflybank.bench.failover import host_failover
from dragonflybank.bench.latency import lookup_latency
from dragonflybank.bench.load_peak import crest
from dragonflybank.bench.lookups_behind_batch import lookups_behind_patient_work
from dragonflybank.bench.packing import packing
from dragonflybank.bench.table import Row, missed, render, write_json

Benchmark = Callable[[], list[Row]]
# A new benchmark is added here.
BENCHMARKS: tuple[Benchmark, ...] = (
    placement_decisions,
    lookup_decisions,
    backlog_decisions,
    packing,
    blocking,
    crest,
    lookup_latency,
    lookups_behind_patient_work,
    control_cost,
    control_slopes,
    capacity_model,
    apply_in_force,
    host_failover,
)
JSON_PATH = pathlib.Path("build/bench.json")


def main(
    names: Sequence[str] = (),
    *,
    benchmarks: Sequence[Benchmark] = BENCHMARKS,
    path: pathlib.Path = JSON_PATH,
) -> int:
    """Runs benchmarks and returns the exit code.

    Args:
        names: Names of the functions to run; all if it is empty.
        benchmarks: The registered functions.
        path: File for the JSON list.

    Returns:
        0 if each bound is met, 1 if one is missed, 2 for an unknown name.
    """
    unknown = set(names) - {function.__name__ for function in benchmarks}
    if unknown:
        print(f"unknown benchmarks: {', '.join(sorted(unknown))}")
        return 2
    rows = [
        row
        for function in benchmarks
        if not names or function.__name__ in names
        for row in function()
    ]
    print(render(rows))
    write_json(rows, path)
    late = missed(rows)
    print(f"{len(rows)} rows, {len(late)} bounds missed; see {path}")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
