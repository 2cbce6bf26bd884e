"""Writes docs/fault-matrix.md: ``python -m dragonflybank.bench.matrix.page``.

The page is generated from the table of cells that the test runs and from
KNOWN-RED.txt.
"""

__all__ = ["PAGE", "PROOFS", "ROOT", "Proof", "main", "render"]

import collections
import pathlib
from collections.abc import Iterable, Sequence

import attrs

from dragonflybank.bench.matrix.faults import FAULTS
from dragonflybank.bench.matrix.steps import STEPS
from dragonflybank.bench.matrix.table import (
    CELLS,
    NOT_APPLICABLE,
    NOT_COVERED,
    cell_state,
)

ROOT = pathlib.Path(__file__).parents[5]
PAGE = ROOT / "docs" / "fault-matrix.md"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
_TESTS = "libs/bench/dragonflybank/bench/matrix/tests"
_BROKEN = f"{_TESTS}/test_broken.py::TestBroken::"
_MARKS = {
    "proved": "proved",
    "failing": "**failing**",
    "not yet proved": "not yet",
    "-": "-",
}


@attrs.frozen
class Proof:
    """The mechanism behind an invariant and the tests that prove it.

    Attributes:
        invariant: Its number and a short description.
        mechanism: How the system ensures it.
        check: Function that checks it.
        faults: Names of the rows whose cells prove it.
        steps: Names of the columns whose cells prove it, empty for all.
        broken_test: Test in which the check reports a broken mechanism.
    """

    invariant: str
    mechanism: str
    check: str
    faults: tuple[str, ...]
    steps: tuple[str, ...]
    broken_test: str


PROOFS = (
    Proof(
        "I1 no VM above its size",
        "the one owner counts grants; a new owner counts the worker's list"
        " (D1, D2, D11)",
        "invariants.check_sizes",
        ("killed", "paused", "answer_lost", "silent", "sizes", "wave"),
        ("choose", "claim", "start_sent", "start_done", "takeover"),
        f"{_BROKEN}test_i1_owner_that_does_not_count_grants",
    ),
    Proof(
        "I2 no task runs in two places",
        "the worker compares the epoch of each start; resolve before a new"
        " attempt (D1, D4)",
        "invariants.check_single_runs",
        ("killed", "paused", "worker_lost", "worker_paused", "cut"),
        ("start_sent", "start_done", "run", "renew", "takeover"),
        f"{_BROKEN}test_i2_owner_that_ignores_its_epoch",
    ),
    Proof(
        "I2 no task runs in two places, after a lapse",
        "a task of a silent worker is started again only when its lease has"
        " expired in the worst case (D4)",
        "invariants.check_single_runs",
        ("worker_lost", "worker_paused"),
        ("start_sent", "start_done", "run", "renew", "result_back"),
        f"{_BROKEN}test_i2_home_that_does_not_wait_for_the_lease",
    ),
    Proof(
        "I3 the whole answer to the own request",
        "answers carry the request's identity, length and digest; results"
        " are held at the worker until they are journalled",
        "answers.check_answers",
        ("killed", "paused", "silent", "store_down", "store_slow"),
        ("accept", "result_back", "result_told", "drain"),
        f"{_BROKEN}test_i3_host_that_swaps_two_answers",
    ),
    Proof(
        "I4 told not run, did not run",
        "only a code that proves it leads to not run; lost answers are"
        " settled first (D4, D5)",
        "answers.check_not_run",
        ("answer_lost", "store_slow", "paused", "wave", "never"),
        ("accept", "record", "start_done", "cancel"),
        f"{_BROKEN}test_i4_not_run_after_a_lost_answer",
    ),
    Proof(
        "I5 not repeatable runs at most once",
        "the start is journalled before it is sent; the epoch fences late"
        " starts; unknown is final (D4)",
        "invariants.check_single_starts",
        ("killed", "paused", "worker_lost", "worker_paused", "answer_lost"),
        ("record", "start_sent", "start_done", "run", "result_back"),
        f"{_BROKEN}test_i5_start_that_is_sent_twice",
    ),
    Proof(
        "I6 nothing new for a leaving endpoint",
        "leaving by the VM list or by the worker's own answer (D16)",
        "invariants.check_leaving",
        ("list_late",),
        (),
        f"{_BROKEN}test_i6_owner_that_does_not_read_the_vm_list",
    ),
    Proof(
        "I7 a graceful shutdown cuts off nothing",
        "a draining host finishes its requests before it exits (D16)",
        "answers.check_drains",
        ("store_down", "store_slow", "silent", "worker_lost", "wave"),
        ("drain", "restart"),
        f"{_BROKEN}test_i7_host_that_exits_with_a_request_in_progress",
    ),
    Proof(
        "I8 no generation reverts",
        "apply is a CAS on the value that it read (D7)",
        "invariants.check_generations",
        ("race", "answer_lost", "store_slow", "killed"),
        ("stage", "apply", "spread"),
        f"{_BROKEN}test_i8_apply_that_writes_an_older_generation",
    ),
    Proof(
        "I8 in force everywhere within 16 s",
        "generations in gossip, watches and polls; only a greater one is"
        " adopted (D7)",
        "invariants.check_generations",
        ("watch_silent", "silent", "paused", "cut", "killed"),
        ("apply", "spread", "restart"),
        f"{_BROKEN}test_i8_host_that_adopts_an_older_generation",
    ),
)


def main() -> None:
    """Writes the page."""
    PAGE.write_text(render())


def render() -> str:
    """Returns the page's text."""
    failing = failing_cells(KNOWN_RED.read_text())
    return "\n".join(
        [
            *_introduction(failing),
            *_cell_section(failing),
            *_step_section(),
            *_invariant_section(failing),
            *_skipped_section(),
        ]
    )


def failing_cells(known_red: str) -> frozenset[str]:
    """Returns the names of the cells that KNOWN-RED.txt lists."""
    prefix = f"test: {_TESTS}/test_matrix.py::TestFaultMatrix::test_"
    lines = known_red.splitlines()
    return frozenset(
        line.removeprefix(prefix) for line in lines if line.startswith(prefix)
    )


def _introduction(failing) -> list[str]:
    counts = collections.Counter(
        cell_state(fault, step, failing) for fault in FAULTS for step in STEPS
    )
    return [
        "# Fault matrix",
        "",
        "Generated by `python -m dragonflybank.bench.matrix.page` from the"
        " table that",
        "`libs/bench/dragonflybank/bench/matrix/tests/test_matrix.py` plays."
        " Do not edit.",
        "",
        "A row is a fault, a column the step at which it strikes. In each"
        " cell three scheduler hosts run as",
        "processes; lookups, a billed job and a repeatable job of six tasks"
        " go through them. Afterwards all",
        "checks I1 to I8 pass over what the stand-ins recorded and callers"
        " were told, each job has an expected",
        "final answer, and the deployment serves again.",
        "",
        f"{counts['proved']} cells are proved, {counts['failing']} are"
        f" failing (listed in KNOWN-RED.txt), {counts['not yet proved']} are"
        f" not yet proved, {counts['-']} have no meaning (-).",
        "",
    ]


def _cell_section(failing) -> list[str]:
    rows = [
        [fault.title]
        + [_MARKS[cell_state(fault, step, failing)] for step in STEPS]
        for fault in FAULTS
    ]
    return [
        "## Cells",
        "",
        *_markdown_table(["fault", *_step_titles()], rows),
        "",
    ]


def _step_section() -> list[str]:
    rows = [[step.title, step.injection_point] for step in STEPS]
    return [
        "## Steps",
        "",
        *_markdown_table(["step", "when and where the fault strikes"], rows),
        "",
    ]


def _invariant_section(failing) -> list[str]:
    rows = [
        [
            proof.invariant,
            proof.mechanism,
            f"`{proof.check}`",
            ", ".join(_cells_of_proof(proof, failing)),
            f"`{proof.broken_test.rsplit('::', 1)[1]}`",
        ]
        for proof in PROOFS
    ]
    header = ["invariant", "mechanism", "check", "cells", "broken on purpose"]
    return [
        "## Invariants",
        "",
        "Every check runs in every cell; the named cells are those that"
        " strain the mechanism. The last column names",
        "the test of `test_broken.py` in which the check reports a scheduler"
        " with the mechanism broken on purpose.",
        "",
        *_markdown_table(header, rows),
        "",
    ]


def _skipped_section() -> list[str]:
    reasons = collections.defaultdict(list)
    for (fault, step), reason in (
        *NOT_APPLICABLE.items(),
        *NOT_COVERED.items(),
    ):
        reasons[reason].append(f"{fault}__{step}")
    rows = [
        [reason, ", ".join(f"`{name}`" for name in sorted(names))]
        for reason, names in reasons.items()
    ]
    header = ["reason", "cells"]
    return [
        "## Cells that are not played",
        "",
        *_markdown_table(header, rows),
        "",
    ]


def _cells_of_proof(proof: Proof, failing) -> Iterable[str]:
    for cell in CELLS:
        is_row = cell.fault.name in proof.faults
        is_column = not proof.steps or cell.step.name in proof.steps
        if is_row and is_column and cell.name not in failing:
            yield f"`{cell.name}`"


def _step_titles() -> list[str]:
    return [step.title for step in STEPS]


def _markdown_table(
    header: Sequence[str], rows: Iterable[Sequence[str]]
) -> list[str]:
    rule = ["---"] * len(header)
    return [f"| {' | '.join(row)} |" for row in (header, rule, *rows)]


if __name__ == "__main__":
    main()
