"""Paths into the JSON document of the operator configuration."""

__all__ = ["find", "is_row", "is_row_name", "put"]

from typing import Any

_LISTS = {"class": "classes", "team": "teams", "break": "breaks"}
_KEY_FIELDS = {
    "class": ("name",),
    "team": ("name",),
    "break": ("start", "end"),
}
_LIMITS = "limits"


def find(document: dict, path: str) -> Any:
    """Returns the value at a path, None if there is none.

    Example:
        >>> find({"limits": {"team_queue": 5}}, "limits.team_queue")
        5
    """
    root, *rest = path.split(".")
    if not rest:
        return None
    if root in _LISTS:
        value = _row(document, root, rest.pop(0))
    else:
        value = document.get(_LIMITS) if root == _LIMITS else None
    for part in rest:
        value = value.get(part) if isinstance(value, dict) else None
    return value


def put(document: dict, path: str, value: Any) -> None:
    """Sets the value at a path that `find` knows, or adds or removes a row.

    Args:
        document: The document; it is changed in place.
        path: Path.
        value: New value; None removes the row.
    """
    root, *rest = path.split(".")
    if root in _LISTS and len(rest) == 1:
        _put_row(document[_LISTS[root]], root, rest[0], value)
        return
    parent = find(document, path.rpartition(".")[0])
    if path.count(".") == 1:
        parent = document[_LIMITS]
    parent[rest[-1]] = value


def is_row(path: str) -> bool:
    """Returns whether a path names a class, a team or a break.

    Example:
        >>> is_row("team.courts"), is_row("team.courts.weight")
        (True, False)
    """
    root, *rest = path.split(".")
    return root in _LISTS and len(rest) == 1 and bool(rest[0])


def is_row_name(path: str) -> bool:
    """Returns whether a path is a field that names its row."""
    root, *rest = path.split(".")
    return len(rest) == 2 and rest[1] in _KEY_FIELDS.get(root, ())


def _put_row(rows: list, root: str, name: str, value: Any) -> None:
    rows[:] = [row for row in rows if _name(root, row) != name]
    if value is None:
        return
    # The name in the path counts; a value that is no object is left for the
    # check of the document to refuse.
    named = {**value, **_key(root, name)} if isinstance(value, dict) else value
    rows.append(named)


def _row(document: dict, root: str, name: str) -> Any:
    rows = document.get(_LISTS[root], ())
    return next((row for row in rows if _name(root, row) == name), None)


def _name(root: str, row: Any) -> str | None:
    if not isinstance(row, dict):
        return None
    if root == "break":
        return f"{row.get('start')}-{row.get('end')}"
    return row.get("name")


def _key(root: str, name: str) -> dict:
    if root == "break":
        start, _, end = name.partition("-")
        return {"start": start, "end": end}
    return {"name": name}
