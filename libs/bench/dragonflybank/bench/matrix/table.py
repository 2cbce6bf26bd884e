"""The cells of the matrix: which fault is injected at which step."""

__all__ = [
    "CELLS",
    "NOT_APPLICABLE",
    "NOT_COVERED",
    "Cell",
    "cell_state",
    "find_cell",
]

import attrs

from dragonflybank.bench.matrix.faults import FAULTS, Fault
from dragonflybank.bench.matrix.steps import STEPS, Step

_CONFIG_STEPS = ("stage", "apply", "spread", "restart")
_WORK_STEPS = tuple(s.name for s in STEPS if s.name not in _CONFIG_STEPS)
_ALL_STEPS = _WORK_STEPS + _CONFIG_STEPS
_START_STEPS = ("record", "start_sent", "start_done", "run", "result_back")
_WORKER_FAULTS = ("worker_lost", "worker_paused", "worker_sick", "list_late")

# The steps at which each fault is tested. All cells are tested in which a task
# could run in two places or more than once, run although its caller got the
# answer that it did not, or be lost after its acceptance. Of the other cells,
# as many are tested as CI has time for.
_COVERED_STEPS: dict[str, tuple[str, ...]] = {
    "killed": _ALL_STEPS,
    "paused": _ALL_STEPS,
    "replaced": (*_START_STEPS, "claim", "drain", "takeover", "restart"),
    "worker_lost": _WORK_STEPS,
    "worker_paused": _WORK_STEPS,
    "worker_sick": ("queue", "choose", "start_sent", "start_done", "run"),
    "store_down": _ALL_STEPS,
    "store_slow": _ALL_STEPS,
    "answer_lost": _ALL_STEPS,
    "watch_silent": ("record", "claim", *_CONFIG_STEPS),
    "list_late": ("queue", "choose", "claim", "start_sent", "run", "takeover"),
    "silent": _ALL_STEPS,
    "cut": (
        "accept",
        *_START_STEPS,
        "renew",
        "cancel",
        "takeover",
        *_CONFIG_STEPS,
    ),
    "race": ("record", "drain", "takeover", *_CONFIG_STEPS),
    "wave": ("accept", "queue", "start_done", "run", "cancel", "takeover"),
    "sizes": ("accept", "queue", "run", "takeover"),
    "never": ("accept", "queue", "run", "takeover"),
    "killed_and_killed": (*_START_STEPS, "cancel", "apply"),
    "paused_and_paused": (*_START_STEPS, "cancel"),
    "killed_and_store_down": (*_START_STEPS, "takeover"),
    "paused_and_store_down": ("record", "start_sent", "run"),
    "killed_and_answer_lost": ("record", "start_done", "cancel", "apply"),
    "paused_and_answer_lost": ("record", "start_done"),
    "killed_and_worker_lost": ("start_sent", "start_done", "run"),
    "killed_and_silent": ("record", "start_sent", "run"),
    "paused_and_store_slow": ("record", "start_sent"),
    "cut_and_store_down": ("run", "apply"),
    "killed_and_cut": ("start_sent", "run"),
}
NOT_APPLICABLE: dict[tuple[str, str], str] = {
    **{
        (fault.name, step): "no worker takes part in the step"
        for fault in FAULTS
        if any(name in fault.name for name in _WORKER_FAULTS)
        for step in _CONFIG_STEPS
    },
    ("killed_and_killed", "takeover"): "no host would be left",
}
NOT_COVERED: dict[tuple[str, str], str] = {
    (fault.name, step.name): "not yet proved, for the time that CI has"
    for fault in FAULTS
    for step in STEPS
    if step.name not in _COVERED_STEPS[fault.name]
    and (fault.name, step.name) not in NOT_APPLICABLE
}


@attrs.frozen
class Cell:
    """A fault at a step.

    Attributes:
        fault: The fault.
        step: The step.
    """

    fault: Fault
    step: Step

    @property
    def name(self) -> str:
        """Name of the cell's test without the prefix ``test_``."""
        return f"{self.fault.name}__{self.step.name}"


CELLS = tuple(
    Cell(fault, step)
    for fault in FAULTS
    for step in STEPS
    if step.name in _COVERED_STEPS[fault.name]
)


def find_cell(name: str) -> Cell:
    """Returns the cell with a name."""
    return next(cell for cell in CELLS if cell.name == name)


def cell_state(fault: Fault, step: Step, failing: frozenset[str]) -> str:
    """Returns ``proved``, ``failing``, ``not yet proved`` or ``-``.

    Args:
        fault: Fault of the cell.
        step: Step of the cell.
        failing: Names of the cells that are listed in KNOWN-RED.txt.
    """
    if (fault.name, step.name) in NOT_APPLICABLE:
        return "-"
    name = Cell(fault, step).name
    if name in failing:
        return "failing"
    is_covered = any(cell.name == name for cell in CELLS)
    return "proved" if is_covered else "not yet proved"
