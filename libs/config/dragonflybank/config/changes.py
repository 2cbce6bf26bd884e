"""Staged changes as functions over values.

A change is a list of edits of paths. Paths are ``class.NAME``,
``class.NAME.FIELD``, ``class.NAME.size.FIELD``, ``team.NAME[.FIELD]``,
``limits.FIELD`` and ``break.HH:MM-HH:MM[.days]``. Two changes conflict only
if a path of one is a path of the other or a part of it.
"""

__all__ = [
    "HISTORY_KEPT",
    "Action",
    "EditRequest",
    "applied_as",
    "apply",
    "diff",
    "stage",
    "unknown_change",
    "withdraw",
]

import enum
from collections.abc import Iterable, Sequence
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from dragonflybank.config.breaks import is_break_open, next_break
from dragonflybank.config.decode import combined, document_of
from dragonflybank.config.edits import (
    AppliedChange,
    Change,
    Difference,
    Edit,
    overlaps,
)
from dragonflybank.config.operator import (
    OperatorConfig,
    decode_operator_document,
    find_team,
)
from dragonflybank.config.paths import find, is_row, is_row_name, put
from dragonflybank.model.codes import Code, Problem, failure

# Bounds the stored value: 50 changes of some edits each are about 50 KB.
HISTORY_KEPT = 50


class Action(enum.StrEnum):
    """What an edit does to a path."""

    SET = "set"
    ADD = "add"
    REMOVE = "remove"


@attrs.frozen
class EditRequest:
    """An edit as an operator asks for it.

    Attributes:
        action: What to do.
        path: Path of the configuration.
        value: New JSON value; None to remove.
    """

    action: Action
    path: str
    value: Any = None


def stage(
    cfg: OperatorConfig,
    name: str,
    author: str,
    requests: Sequence[EditRequest],
    *,
    change_id: str,
    now: float,
) -> Result[Change, Problem]:
    """Returns a change based on a configuration.

    Args:
        cfg: The configuration in force.
        name: Name of the change.
        author: Operator who stages it.
        requests: Edits in order.
        change_id: Unique identity of this staging.
        now: Seconds since 1970.

    Returns:
        The change; all faults as one problem with code 104.
    """
    document = document_of(cfg)
    edits, faults = [], []
    for each in requests:
        old = find(document, each.path)
        fault = _fault_of(document, each, old)
        if fault is not None:
            faults.append(fault)
            continue
        edits.append(Edit(each.path, old, each.value))
        put(document, each.path, each.value)
    if faults:
        return Failure(combined(faults))
    change = Change(name, author, cfg.generation, tuple(edits), change_id, now)
    return _checked(cfg, document).map(lambda _: change)


def diff(cfg: OperatorConfig, change: Change) -> tuple[Difference, ...]:
    """Returns what a change would do to a configuration."""
    document = document_of(cfg)
    return tuple(
        Difference(
            edit.path,
            edit.old,
            find(document, edit.path),
            edit.new,
            _changed_by(cfg, change, edit),
        )
        for edit in change.edits
    )


def apply(
    cfg: OperatorConfig, change: Change, *, by: str, now: float
) -> Result[OperatorConfig, Problem]:
    """Returns the configuration of the next generation.

    A change that is in the history already leaves the configuration as it is.

    Args:
        cfg: The configuration in force.
        change: The staged change.
        by: Operator who applies it.
        now: Seconds since 1970.

    Returns:
        The configuration; ``BREAK_CLOSED`` outside a break;
        ``CHANGE_CONFLICT`` if a path was changed since; ``BAD_CONFIGURATION``
        if the outcome is not accepted.
    """
    if applied_as(cfg, change.id) is not None:
        return Success(cfg)
    if not is_break_open(cfg, now):
        return _break_closed(cfg, now)
    document = document_of(cfg)
    conflicts = []
    for edit in change.edits:
        conflict = _conflict(cfg, change, edit, find(document, edit.path))
        if conflict is None:
            put(document, edit.path, edit.new)
        else:
            conflicts.append(conflict)
    if conflicts:
        return Failure(combined(conflicts))
    return _checked(cfg, document).map(
        lambda changed: _next_generation(cfg, changed, change, by, now)
    )


def withdraw(
    staged: Sequence[Change], name: str
) -> Result[tuple[Change, ...], Problem]:
    """Returns the staged changes without one of them."""
    left = tuple(change for change in staged if change.name != name)
    if len(left) == len(staged):
        return unknown_change(name, (change.name for change in staged))
    return Success(left)


def unknown_change(name: str, names: Iterable[str]) -> Failure:
    """Returns the failure for a change that is not staged."""
    return failure(
        Code.BAD_COMMAND,
        f"no change {name} is staged",
        field=name,
        accepted=", ".join(sorted(names)) or "no change is staged",
    )


def applied_as(cfg: OperatorConfig, change_id: str) -> AppliedChange | None:
    """Returns the history entry of a change, None if it has none."""
    return next((done for done in cfg.history if done.id == change_id), None)


def _fault_of(document, req: EditRequest, old: Any) -> Problem | None:
    if req.action is not Action.SET and not is_row(req.path):
        return _fault(
            req.path, "only rows are added or removed", "class, team, break"
        )
    if req.action is Action.SET and is_row_name(req.path):
        # A new name would orphan the work that is kept under the old one.
        return _fault(req.path, "names the row", "remove the row and add it")
    if req.action is Action.ADD:
        if old is None:
            return None
        return _fault(req.path, "exists already", "set, or another name")
    if old is not None:
        return None
    return _fault(req.path, "unknown path", _accepted_paths(document, req.path))


def _fault(path: str, detail: str, accepted: str) -> Problem:
    return Problem(Code.BAD_CONFIGURATION, f"{path}: {detail}", path, accepted)


def _accepted_paths(document, path: str) -> str:
    parent = path.rpartition(".")[0]
    value = find(document, parent) if parent else None
    if isinstance(value, dict):
        return ", ".join(f"{parent}.{name}" for name in value)
    return (
        "class.NAME, class.NAME.FIELD, team.NAME, team.NAME.FIELD,"
        " limits.FIELD, break.HH:MM-HH:MM"
    )


def _break_closed(cfg: OperatorConfig, now: float) -> Failure:
    opens = next_break(cfg, now)
    wait_s = 0.0 if opens is None else opens - now
    windows = ", ".join(window.name for window in cfg.breaks)
    return failure(
        Code.BREAK_CLOSED,
        f"the break is closed; it opens in {wait_s:.0f} s",
        accepted=f"apply within {windows} UTC",
        retry_after_s=wait_s,
    )


def _conflict(cfg, change, edit: Edit, current: Any) -> Problem | None:
    changed_by = _changed_by(cfg, change, edit)
    if not changed_by and current == edit.old:
        return None
    who = changed_by or f"it is {current!r} now, it was {edit.old!r}"
    return Problem(
        Code.CHANGE_CONFLICT,
        f"{edit.path} was changed since generation {change.based_on}: {who};"
        f" generation {cfg.generation} is in force",
        edit.path,
        "stage the change again",
    )


def _changed_by(cfg, change: Change, edit: Edit) -> str:
    return "; ".join(
        f"{done.author} set {other.path} to {other.new!r} in {done.name}"
        f" (generation {done.generation})"
        for done in cfg.history
        if done.generation > change.based_on
        for other in done.edits
        if overlaps(edit.path, other.path)
    )


def _checked(cfg, document) -> Result[OperatorConfig, Problem]:
    return decode_operator_document(document).bind(
        lambda changed: _with_fixed_teams(cfg, changed)
    )


def _with_fixed_teams(cfg, changed) -> Result[OperatorConfig, Problem]:
    # The shard of a job is derived from both; a change would hide the jobs.
    faults = [
        _fault(
            f"team.{team.name}.{field}",
            "cannot be changed while the team exists",
            str(getattr(before, field)),
        )
        for team in changed.teams
        if (before := find_team(cfg, team.name)) is not None
        for field in ("region", "shards")
        if getattr(team, field) != getattr(before, field)
    ]
    return Failure(combined(faults)) if faults else Success(changed)


def _next_generation(cfg, changed, change, by, now) -> OperatorConfig:
    generation = cfg.generation + 1
    done = AppliedChange(
        generation=generation,
        name=change.name,
        author=change.author,
        applied_by=by,
        applied_at=now,
        edits=change.edits,
        id=change.id,
    )
    history = (*cfg.history, done)[-HISTORY_KEPT:]
    return attrs.evolve(changed, generation=generation, history=history)
