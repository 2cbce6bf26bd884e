"""Access by path to the JSON document of the operator configuration."""

__all__ = ["is_key_field_path", "is_row_path", "set_value", "value_at"]

from typing import Any

_LIST_FIELDS = {"class": "classes", "team": "teams", "break": "breaks"}
_KEY_FIELDS = {
    "class": ("name",),
    "team": ("name",),
    "break": ("start", "end"),
}
_LIMITS = "limits"


def value_at(document: dict, path: str) -> Any:
    """Returns the value at a path, None if the path does not exist.

    Example:
        >>> value_at({"limits": {"team_queue": 5}}, "limits.team_queue")
        5
    """
    root, *rest = path.split(".")
    if not rest:
        return None
    if root in _LIST_FIELDS:
        value = _find_row(document, root, rest.pop(0))
    else:
        value = document.get(_LIMITS) if root == _LIMITS else None
    for part in rest:
        value = value.get(part) if isinstance(value, dict) else None
    return value


def set_value(document: dict, path: str, value: Any) -> None:
    """Sets the value at an existing path, or adds or removes a row.

    Args:
        document: The document; it is modified in place.
        path: Path that `value_at` finds, or the path of a row.
        value: New value; None removes a row.
    """
    root, *rest = path.split(".")
    if root in _LIST_FIELDS and len(rest) == 1:
        _set_row(document[_LIST_FIELDS[root]], root, rest[0], value)
        return
    parent = value_at(document, path.rpartition(".")[0])
    if path.count(".") == 1:
        parent = document[_LIMITS]
    parent[rest[-1]] = value


def is_row_path(path: str) -> bool:
    """Returns whether a path identifies a class, a team or a break.

    Example:
        >>> is_row_path("team.courts"), is_row_path("team.courts.weight")
        (True, False)
    """
    root, *rest = path.split(".")
    return root in _LIST_FIELDS and len(rest) == 1 and bool(rest[0])


def is_key_field_path(path: str) -> bool:
    """Returns whether a path is a field that identifies its row."""
    root, *rest = path.split(".")
    return len(rest) == 2 and rest[1] in _KEY_FIELDS.get(root, ())


def _set_row(rows: list, root: str, name: str, value: Any) -> None:
    rows[:] = [row for row in rows if _row_name(root, row) != name]
    if value is None:
        return
    # The name in the path takes precedence over one in the value. A value that
    # is not an object is rejected later, when the document is decoded.
    named = (
        {**value, **_key_values(root, name)}
        if isinstance(value, dict)
        else value
    )
    rows.append(named)


def _find_row(document: dict, root: str, name: str) -> Any:
    rows = document.get(_LIST_FIELDS[root], ())
    return next((row for row in rows if _row_name(root, row) == name), None)


def _row_name(root: str, row: Any) -> str | None:
    if not isinstance(row, dict):
        return None
    if root == "break":
        return f"{row.get('start')}-{row.get('end')}"
    return row.get("name")


def _key_values(root: str, name: str) -> dict:
    if root == "break":
        start, _, end = name.partition("-")
        return {"start": start, "end": end}
    return {"name": name}
