"""Pure functions that stage, compare and apply configuration changes.

A change is a list of edits of paths. Paths are ``class.NAME``,
``class.NAME.FIELD``, ``class.NAME.size.FIELD``, ``team.NAME[.FIELD]``,
``limits.FIELD`` and ``break.HH:MM-HH:MM[.days]``. Two changes conflict only
if a path of one equals, contains or is contained in a path of the other.
"""

__all__ = [
    "MAX_HISTORY_ENTRIES",
    "EditAction",
    "EditRequest",
    "apply",
    "diff",
    "find_applied_change",
    "stage",
    "unknown_change_failure",
    "withdraw",
]

import enum
from collections.abc import Iterable, Sequence
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from dragonflybank.config.breaks import is_break_open, next_break_start
from dragonflybank.config.decode import combine_problems, to_document
from dragonflybank.config.edits import (
    AppliedChange,
    Change,
    Difference,
    Edit,
    paths_overlap,
)
from dragonflybank.config.operator import (
    OperatorConfig,
    decode_operator_document,
    find_team,
)
from dragonflybank.config.paths import (
    is_key_field_path,
    is_row_path,
    set_value,
    value_at,
)
from dragonflybank.model.codes import Code, Problem, failure

# Bounds the size of the stored configuration: 50 changes with a few edits each
# take about 50 KB.
MAX_HISTORY_ENTRIES = 50


class EditAction(enum.StrEnum):
    """What an edit does to a path."""

    SET = "set"
    ADD = "add"
    REMOVE = "remove"


@attrs.frozen
class EditRequest:
    """An edit that an operator requests.

    Attributes:
        action: Whether to set, add or remove the path.
        path: Path in the configuration.
        value: New JSON value; None to remove.
    """

    action: EditAction
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
    """Returns a change whose edits are valid for a configuration.

    Args:
        cfg: The configuration in force.
        name: Name of the change.
        author: Operator who stages it.
        requests: Edits in order.
        change_id: Unique identifier of this staging.
        now: Seconds since 1970.

    Returns:
        The change, or one problem with code 104 that lists all faults.
    """
    document = to_document(cfg)
    edits, faults = [], []
    for req in requests:
        old = value_at(document, req.path)
        fault = _check_request(document, req, old)
        if fault is not None:
            faults.append(fault)
            continue
        edits.append(Edit(req.path, old, req.value))
        set_value(document, req.path, req.value)
    if faults:
        return Failure(combine_problems(faults))
    change = Change(name, author, cfg.generation, tuple(edits), change_id, now)
    return _decode_and_check(cfg, document).map(lambda _: change)


def diff(cfg: OperatorConfig, change: Change) -> tuple[Difference, ...]:
    """Returns the effect that a change would have on a configuration."""
    document = to_document(cfg)
    return tuple(
        Difference(
            edit.path,
            edit.old,
            value_at(document, edit.path),
            edit.new,
            _changed_by(cfg, change, edit),
        )
        for edit in change.edits
    )


def apply(
    cfg: OperatorConfig, change: Change, *, by: str, now: float
) -> Result[OperatorConfig, Problem]:
    """Returns the configuration of the next generation.

    If the history already contains the change, the configuration is returned
    unmodified.

    Args:
        cfg: The configuration in force.
        change: The staged change.
        by: Operator who applies it.
        now: Seconds since 1970.

    Returns:
        The configuration; ``BREAK_CLOSED`` outside a break;
        ``CHANGE_CONFLICT`` if a path was changed after the change was staged;
        ``BAD_CONFIGURATION`` if the resulting configuration is invalid.
    """
    if find_applied_change(cfg, change.id) is not None:
        return Success(cfg)
    if not is_break_open(cfg, now):
        return _break_closed(cfg, now)
    document = to_document(cfg)
    conflicts = []
    for edit in change.edits:
        conflict = _find_conflict(
            cfg, change, edit, value_at(document, edit.path)
        )
        if conflict is None:
            set_value(document, edit.path, edit.new)
        else:
            conflicts.append(conflict)
    if conflicts:
        return Failure(combine_problems(conflicts))
    return _decode_and_check(cfg, document).map(
        lambda changed: _next_generation(cfg, changed, change, by, now)
    )


def withdraw(
    staged: Sequence[Change], name: str
) -> Result[tuple[Change, ...], Problem]:
    """Returns the staged changes without the named one."""
    remaining = tuple(change for change in staged if change.name != name)
    if len(remaining) == len(staged):
        return unknown_change_failure(name, (change.name for change in staged))
    return Success(remaining)


def unknown_change_failure(name: str, names: Iterable[str]) -> Failure:
    """Returns the failure for a name under which no change is staged.

    Args:
        name: The requested name.
        names: Names of the staged changes.
    """
    return failure(
        Code.BAD_COMMAND,
        f"no change {name} is staged",
        field=name,
        accepted=", ".join(sorted(names)) or "no change is staged",
    )


def find_applied_change(
    cfg: OperatorConfig, change_id: str
) -> AppliedChange | None:
    """Returns the history entry of a change, None if it was not applied."""
    return next(
        (applied for applied in cfg.history if applied.id == change_id), None
    )


def _check_request(document, req: EditRequest, old: Any) -> Problem | None:
    if req.action is not EditAction.SET and not is_row_path(req.path):
        return _configuration_problem(
            req.path, "only rows are added or removed", "class, team, break"
        )
    if req.action is EditAction.SET and is_key_field_path(req.path):
        # Jobs are stored under the old name and would be orphaned.
        return _configuration_problem(
            req.path, "names the row", "remove the row and add it"
        )
    if req.action is EditAction.ADD:
        if old is None:
            return None
        return _configuration_problem(
            req.path, "exists already", "set, or another name"
        )
    if old is not None:
        return None
    return _configuration_problem(
        req.path, "unknown path", _accepted_paths(document, req.path)
    )


def _configuration_problem(path: str, detail: str, accepted: str) -> Problem:
    return Problem(Code.BAD_CONFIGURATION, f"{path}: {detail}", path, accepted)


def _accepted_paths(document, path: str) -> str:
    parent = path.rpartition(".")[0]
    value = value_at(document, parent) if parent else None
    if isinstance(value, dict):
        return ", ".join(f"{parent}.{name}" for name in value)
    return (
        "class.NAME, class.NAME.FIELD, team.NAME, team.NAME.FIELD,"
        " limits.FIELD, break.HH:MM-HH:MM"
    )


def _break_closed(cfg: OperatorConfig, now: float) -> Failure:
    opens_at = next_break_start(cfg, now)
    wait_s = 0.0 if opens_at is None else opens_at - now
    windows = ", ".join(window.name for window in cfg.breaks)
    return failure(
        Code.BREAK_CLOSED,
        f"the break is closed; it opens in {wait_s:.0f} s",
        accepted=f"apply within {windows} UTC",
        retry_after_s=wait_s,
    )


def _find_conflict(cfg, change, edit: Edit, current: Any) -> Problem | None:
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
        f"{applied.author} set {other.path} to {other.new!r} in {applied.name}"
        f" (generation {applied.generation})"
        for applied in cfg.history
        if applied.generation > change.based_on
        for other in applied.edits
        if paths_overlap(edit.path, other.path)
    )


def _decode_and_check(cfg, document) -> Result[OperatorConfig, Problem]:
    return decode_operator_document(document).bind(
        lambda changed: _check_fixed_team_fields(cfg, changed)
    )


def _check_fixed_team_fields(cfg, changed) -> Result[OperatorConfig, Problem]:
    # A job's shard is derived from both fields, so existing jobs would no
    # longer be found after a change.
    faults = [
        _configuration_problem(
            f"team.{team.name}.{field}",
            "cannot be changed while the team exists",
            str(getattr(before, field)),
        )
        for team in changed.teams
        if (before := find_team(cfg, team.name)) is not None
        for field in ("region", "shards")
        if getattr(team, field) != getattr(before, field)
    ]
    return Failure(combine_problems(faults)) if faults else Success(changed)


def _next_generation(cfg, changed, change, by, now) -> OperatorConfig:
    generation = cfg.generation + 1
    applied = AppliedChange(
        generation=generation,
        name=change.name,
        author=change.author,
        applied_by=by,
        applied_at=now,
        edits=change.edits,
        id=change.id,
    )
    history = (*cfg.history, applied)[-MAX_HISTORY_ENTRIES:]
    return attrs.evolve(changed, generation=generation, history=history)
