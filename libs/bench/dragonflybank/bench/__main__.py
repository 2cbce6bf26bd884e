"""Runs the benchmarks, prints the table of results and writes it as JSON.

Usage: ``python -m dragonflybank.bench [NAME ...]``. Without names all
benchmarks run. The exit status is 1 if a bound is missed.
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
from dragonflybank.bench.table import (
    Row,
    missed_bounds,
    render_table,
    write_json,
)

Benchmark = Callable[[], list[Row]]
# The function names are the command line arguments.
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
    """Runs benchmarks and returns the exit status.

    Args:
        names: Names of the benchmarks to run; all of them if empty.
        benchmarks: The available benchmarks.
        path: Output file for the JSON list.

    Returns:
        0 if all bounds are met, 1 if one is missed, 2 for an unknown name.
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
    print(render_table(rows))
    write_json(rows, path)
    missed_rows = missed_bounds(rows)
    print(f"{len(rows)} rows, {len(missed_rows)} bounds missed; see {path}")
    return 1 if missed_rows else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
