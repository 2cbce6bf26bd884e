"""The cells of the matrix: which fault strikes at which step."""

__all__ = [
    "CELLS",
    "NOT_PLAYED",
    "NO_MEANING",
    "Cell",
    "cell_named",
    "state_of",
]

import attrs

from dragonflybank.bench.matrix.faults import FAULTS, Fault
from dragonflybank.bench.matrix.steps import STEPS, Step

_CONFIG = ("stage", "apply", "spread", "restart")
_WORK = tuple(s.name for s in STEPS if s.name not in _CONFIG)
_ALL = _WORK + _CONFIG
_STARTS = ("record", "start_sent", "start_done", "run", "result_back")
_WORKER_FAULTS = ("worker_lost", "worker_paused", "worker_sick", "list_late")

# The steps that are played for each fault. The cells that could break "runs
# in two places", "runs at most once", "told not run but ran" or "accepted
# work lost" are all played; of the others as many as CI has time for.
_PLAYED: dict[str, tuple[str, ...]] = {
    "killed": _ALL,
    "paused": _ALL,
    "replaced": (*_STARTS, "claim", "drain", "takeover", "restart"),
    "worker_lost": _WORK,
    "worker_paused": _WORK,
    "worker_sick": ("queue", "choose", "start_sent", "start_done", "run"),
    "store_down": _ALL,
    "store_slow": _ALL,
    "answer_lost": _ALL,
    "watch_silent": ("record", "claim", *_CONFIG),
    "list_late": ("queue", "choose", "claim", "start_sent", "run", "takeover"),
    "silent": _ALL,
    "cut": ("accept", *_STARTS, "renew", "cancel", "takeover", *_CONFIG),
    "race": ("record", "drain", "takeover", *_CONFIG),
    "wave": ("accept", "queue", "start_done", "run", "cancel", "takeover"),
    "sizes": ("accept", "queue", "run", "takeover"),
    "never": ("accept", "queue", "run", "takeover"),
    "killed_and_killed": (*_STARTS, "cancel", "apply"),
    "paused_and_paused": (*_STARTS, "cancel"),
    "killed_and_store_down": (*_STARTS, "takeover"),
    "paused_and_store_down": ("record", "start_sent", "run"),
    "killed_and_answer_lost": ("record", "start_done", "cancel", "apply"),
    "paused_and_answer_lost": ("record", "start_done"),
    "killed_and_worker_lost": ("start_sent", "start_done", "run"),
    "killed_and_silent": ("record", "start_sent", "run"),
    "paused_and_store_slow": ("record", "start_sent"),
    "cut_and_store_down": ("run", "apply"),
    "killed_and_cut": ("start_sent", "run"),
}
NO_MEANING: dict[tuple[str, str], str] = {
    **{
        (fault.name, step): "no worker takes part in the step"
        for fault in FAULTS
        if any(name in fault.name for name in _WORKER_FAULTS)
        for step in _CONFIG
    },
    ("killed_and_killed", "takeover"): "no host would be left",
}
NOT_PLAYED: dict[tuple[str, str], str] = {
    (fault.name, step.name): "not yet proved, for the time that CI has"
    for fault in FAULTS
    for step in STEPS
    if step.name not in _PLAYED[fault.name]
    and (fault.name, step.name) not in NO_MEANING
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
        """Name of the cell's test without its prefix."""
        return f"{self.fault.name}__{self.step.name}"


CELLS = tuple(
    Cell(fault, step)
    for fault in FAULTS
    for step in STEPS
    if step.name in _PLAYED[fault.name]
)


def cell_named(name: str) -> Cell:
    """Returns the cell of a name."""
    return next(cell for cell in CELLS if cell.name == name)


def state_of(fault: Fault, step: Step, failing: frozenset[str]) -> str:
    """Returns ``proved``, ``failing``, ``not yet proved`` or ``-``.

    Args:
        fault: Row.
        step: Column.
        failing: Names of the cells that are listed in KNOWN-RED.txt.
    """
    if (fault.name, step.name) in NO_MEANING:
        return "-"
    name = Cell(fault, step).name
    if name in failing:
        return "failing"
    is_played = any(cell.name == name for cell in CELLS)
    return "proved" if is_played else "not yet proved"
